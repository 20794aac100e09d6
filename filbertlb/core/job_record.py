"""A job's row in the table service and its transitions.

The row decides what a caller is told. Every change is a pure function
of the row; the caller writes the result on condition of the version
that it read, and only then answers from it.
"""

from __future__ import annotations

from typing import Any

import attrs
from attrs import evolve
from msgspec import DecodeError
from msgspec.json import decode as decode_json
from msgspec.json import encode as encode_json

from filbertlb.core.charts import IllegalTransitionError
from filbertlb.core.charts import state_chart
from filbertlb.core.gang_plan import GangMember
from filbertlb.core.gang_plan import GangOutcome
from filbertlb.core.gang_plan import GangPlan
from filbertlb.core.gang_plan import WriteStatus
from filbertlb.core.job_outcome import latest_ran
from filbertlb.core.job_outcome import state_after
from filbertlb.core.model import FINAL_JOB_STATES
from filbertlb.core.model import JobSpec
from filbertlb.core.model import JobState
from filbertlb.core.refusals import StaleEpochError
from filbertlb.core.scheduling import JobEnd
from filbertlb.errors import ConflictError
from filbertlb.errors import InvalidInputError
from filbertlb.errors import Ran

_TRIGGER_BY_STATE = {
    JobState.QUEUED: "requeue",
    JobState.SUCCEEDED: "succeed",
    JobState.FAILED: "fail",
    JobState.CANCELLED: "cancel",
    JobState.UNKNOWN: "lose",
}


class JobStateError(ConflictError):
    """The job's state does not allow the change."""

    code = "job_state"


class AttemptReplacedError(ConflictError):
    """The job's row does not carry this attempt any more."""

    code = "attempt_replaced"


class MalformedJobRecordError(InvalidInputError):
    """The row does not hold a job."""

    code = "malformed_job_record"
    status = 500


@attrs.frozen
class Attempt:
    """The attempt that a job's row carries.

    Parameters
    ----------
    number : int
        Counts the job's attempts from 1.
    members : tuple of GangMember
        Agents by member index, as they were at the decision.
    unresolved : tuple of int
        Members whose end is awaited while the job is ``UNKNOWN``.
    """

    attempt_id: str
    number: int
    scope: str
    members: tuple[GangMember, ...]
    unresolved: tuple[int, ...] = ()


@attrs.frozen
class JobRecord:
    """A job as its row holds it.

    Parameters
    ----------
    epoch : int
        Highest epoch of a decider that changed the row.
    attempts : int
        Number of attempts that were decided.
    attempt : Attempt, optional
        The attempt under way or not yet resolved.
    checkpoints : tuple of str
        Checkpoints to go on from, by member; empty for none.
    failures : int
        Attempts in which a member failed.
    ran : Ran
        Whether any member of any attempt has started.
    not_before_s : float
        Wall time before which no attempt is made, in seconds.
    cancel_requested : bool
        The caller has given the job up.
    """

    spec: JobSpec
    state: JobState = JobState.QUEUED
    epoch: int = 0
    attempts: int = 0
    attempt: Attempt | None = None
    checkpoints: tuple[str, ...] = ()
    failures: int = 0
    ran: Ran = Ran.NO
    code: str = ""
    detail: str = ""
    not_before_s: float = 0.0
    cancel_requested: bool = False

    @property
    def is_final(self) -> bool:
        """Tell whether the job's answer will not change any more."""
        return self.state in FINAL_JOB_STATES

    def carries(self, attempt_id: str) -> bool:
        """Tell whether an attempt is the one under way."""
        return (
            self.attempt is not None and self.attempt.attempt_id == attempt_id
        )


def new_attempt_id(job_id: str, epoch: int, serial: int) -> str:
    """Return an attempt identifier that sorts in the order of issue.

    Parameters
    ----------
    epoch : int
        Epoch of the decider in its scope.
    serial : int
        Counts the decider's attempts of all jobs.
    """
    return f"{epoch:010d}.{serial:010d}.{job_id}"


def encode(record: JobRecord) -> bytes:
    """Return the row's value."""
    return encode_json(record)


def decode(value: bytes) -> JobRecord:
    """Return the job that a row holds.

    Raises
    ------
    MalformedJobRecordError
        If the value is not a job.
    """
    try:
        return decode_json(value, type=JobRecord)
    except DecodeError as error:
        raise MalformedJobRecordError(
            f"row {value[:60]!r} is not a job: {error}"
        ) from error


def decided(record: JobRecord, plan: GangPlan) -> JobRecord:
    """Record the decision to start an attempt, or to go on with it.

    Raises
    ------
    StaleEpochError
        If a decider of a higher epoch has changed the row.
    JobStateError
        If the job is not queued and the attempt not under way.
    """
    _check_epoch(record, plan.epoch)
    if record.carries(plan.attempt_id) and record.state is JobState.STARTING:
        return evolve(record, epoch=plan.epoch)
    number = record.attempts + 1
    attempt = Attempt(plan.attempt_id, number, plan.scope, plan.members)
    return _move(
        record,
        "place",
        epoch=plan.epoch,
        attempts=number,
        attempt=attempt,
        code="",
        detail="",
    )


def settle_decision(
    record: JobRecord, plan: GangPlan, *, is_unchanged: bool
) -> WriteStatus | None:
    """Return the fate of a decision whose answer was lost.

    Parameters
    ----------
    record : JobRecord
        The row as it was read back.
    is_unchanged : bool
        The row still has the version on which the write depended.

    Returns
    -------
    WriteStatus or None
        None if the same conditional write may be sent again.
    """
    if is_unchanged:
        return None
    is_ours = record.carries(plan.attempt_id) and record.epoch == plan.epoch
    return WriteStatus.OK if is_ours else WriteStatus.CONFLICT


def started(record: JobRecord, plan: GangPlan) -> JobRecord:
    """Record that every member runs.

    Raises
    ------
    StaleEpochError, AttemptReplacedError, JobStateError
        If the row has moved on.
    """
    _check_attempt(record, plan.attempt_id, plan.epoch)
    known = evolve(record, epoch=plan.epoch, ran=Ran.YES)
    if record.state in {JobState.RUNNING, JobState.STOPPING}:
        return known
    return _move(known, "release")


def stopping(record: JobRecord, plan: GangPlan) -> JobRecord:
    """Record that a running attempt gives its resources back.

    Raises
    ------
    StaleEpochError, AttemptReplacedError, JobStateError
        If the row has moved on.
    """
    _check_attempt(record, plan.attempt_id, plan.epoch)
    if record.state is JobState.STOPPING:
        return evolve(record, epoch=plan.epoch)
    return _move(record, "stop", epoch=plan.epoch)


def cancelled(record: JobRecord) -> JobRecord:
    """Record the caller's request to give the job up.

    A queued job is cancelled at once; one under way is stopped by its
    decider. A final job keeps its state.
    """
    if record.is_final:
        return record
    requested = evolve(record, cancel_requested=True)
    match record.state:
        case JobState.QUEUED:
            return _move(requested, "cancel")
        case JobState.STARTING | JobState.RUNNING:
            return _move(requested, "stop")
        case _:
            return requested


def closed(
    record: JobRecord,
    outcome: GangOutcome,
    epoch: int,
    *,
    max_failures: int,
    not_before_s: float = 0.0,
) -> JobRecord:
    """Record how an attempt ended.

    Parameters
    ----------
    max_failures : int
        Failed attempts after which the job is final.
    not_before_s : float
        Wall time of the next attempt, if there is one, in seconds.

    Raises
    ------
    StaleEpochError, AttemptReplacedError
        If the row has moved on, or another decider has the attempt.
    """
    if outcome.is_superseded:
        raise AttemptReplacedError(
            f"attempt {outcome.attempt_id!r} has another decider"
        )
    _check_epoch(record, epoch)
    if record.attempt is None:
        return _never_decided(record, outcome, not_before_s)
    _check_attempt(record, outcome.attempt_id, epoch)
    has_failed = outcome.end is JobEnd.FAILED
    ended = evolve(
        record,
        epoch=epoch,
        ran=latest_ran(record.ran, outcome.ran),
        failures=record.failures + has_failed,
        checkpoints=outcome.checkpoints or record.checkpoints,
        code=outcome.code,
        detail=outcome.detail,
        not_before_s=not_before_s,
    )
    state = state_after(ended, outcome, max_failures)
    attempt = None
    if state is JobState.UNKNOWN:
        attempt = evolve(record.attempt, unresolved=outcome.lost_members)
    return _move(ended, *_triggers(record.state, state), attempt=attempt)


def _never_decided(
    record: JobRecord, outcome: GangOutcome, not_before_s: float
) -> JobRecord:
    if record.state is not JobState.QUEUED:
        return record
    return evolve(
        record,
        code=outcome.code,
        detail=outcome.detail,
        not_before_s=not_before_s,
    )


def _check_epoch(record: JobRecord, epoch: int) -> None:
    if epoch < record.epoch:
        raise StaleEpochError(
            f"epoch {epoch!r} was superseded by {record.epoch!r}; give "
            "up the scope"
        )


def _check_attempt(record: JobRecord, attempt_id: str, epoch: int) -> None:
    _check_epoch(record, epoch)
    if not record.carries(attempt_id):
        raise AttemptReplacedError(
            f"job {record.spec.job_id!r} does not carry attempt "
            f"{attempt_id!r}; read the row again"
        )


def _triggers(before: JobState, after: JobState) -> tuple[str, ...]:
    """Return the chart's triggers that lead to the state after a run.

    The end of an attempt may be known before its start is written.
    """
    if before is after:
        return ()
    trigger = _TRIGGER_BY_STATE[after]
    if before is JobState.STARTING and after is JobState.SUCCEEDED:
        return ("release", trigger)
    is_under_way = before in {JobState.STARTING, JobState.RUNNING}
    if is_under_way and after is JobState.CANCELLED:
        return ("stop", trigger)
    return (trigger,)


def _move(record: JobRecord, *triggers: str, **changes: Any) -> JobRecord:
    """Return the job after transitions of its chart, and changes."""
    state = record.state.value
    try:
        for trigger in triggers:
            state = state_chart("job").after(state, trigger)
    except IllegalTransitionError as error:
        raise _state_error(record) from error
    return evolve(record, state=JobState(state), **changes)


def _state_error(record: JobRecord) -> JobStateError:
    return JobStateError(
        f"job {record.spec.job_id!r} is {record.state.value!r}; read the "
        "row again"
    )

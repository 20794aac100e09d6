"""State transitions of the record of a job.

Each transition is a pure function of the record. Its result is written
conditionally on the version that was read, and an answer is given only after
that write has succeeded.
"""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from attrs import evolve

from filbertlb.core.charts import IllegalTransitionError
from filbertlb.core.charts import state_chart
from filbertlb.core.gang_plan import WriteStatus
from filbertlb.core.job_outcome import combine_ran
from filbertlb.core.job_outcome import next_job_state
from filbertlb.core.job_record import Attempt
from filbertlb.core.job_record import AttemptReplacedError
from filbertlb.core.job_record import JobRecord
from filbertlb.core.job_record import JobStateError
from filbertlb.core.model import JobState
from filbertlb.core.refusals import StaleEpochError
from filbertlb.core.scheduling import JobEnd
from filbertlb.errors import Ran

if TYPE_CHECKING:
    from filbertlb.core.gang_plan import GangOutcome
    from filbertlb.core.gang_plan import GangPlan

_TRIGGER_BY_STATE = {
    JobState.QUEUED: "requeue",
    JobState.SUCCEEDED: "succeed",
    JobState.FAILED: "fail",
    JobState.CANCELLED: "cancel",
    JobState.UNKNOWN: "lose",
}


def decided(record: JobRecord, plan: GangPlan) -> JobRecord:
    """Record the decision to start an attempt, or to continue it.

    Raises
    ------
    StaleEpochError
        If a decider with a higher epoch has changed the row.
    JobStateError
        If the job is neither queued nor starting this attempt.
    """
    _check_epoch(record, plan.epoch)
    if (
        record.has_attempt(plan.attempt_id)
        and record.state is JobState.STARTING
    ):
        return evolve(record, epoch=plan.epoch)
    number = record.attempts + 1
    attempt = Attempt(plan.attempt_id, number, plan.scope, plan.members)
    return _transition(
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
    """Determine the outcome of a write whose reply was lost.

    Parameters
    ----------
    record : JobRecord
        The record read back after the write.
    is_unchanged : bool
        Whether the row still has the version that the write was
        conditional on.

    Returns
    -------
    Written or None
        None if the write has had no effect so far and the same
        conditional write may be sent again.
    """
    if is_unchanged:
        return None
    is_applied = (
        record.has_attempt(plan.attempt_id) and record.epoch == plan.epoch
    )
    return WriteStatus.OK if is_applied else WriteStatus.CONFLICT


def started(record: JobRecord, plan: GangPlan) -> JobRecord:
    """Record that every member of an attempt is running.

    Raises
    ------
    StaleEpochError, AttemptReplacedError, JobStateError
        If the row has changed since the attempt was scheduled.
    """
    _check_attempt(record, plan.attempt_id, plan.epoch)
    updated = evolve(record, epoch=plan.epoch, ran=Ran.YES)
    if record.state in {JobState.RUNNING, JobState.STOPPING}:
        return updated
    return _transition(updated, "release")


def stopping(record: JobRecord, plan: GangPlan) -> JobRecord:
    """Record that a running attempt is being stopped.

    Raises
    ------
    StaleEpochError, AttemptReplacedError, JobStateError
        If the row has changed since the attempt was scheduled.
    """
    _check_attempt(record, plan.attempt_id, plan.epoch)
    if record.state is JobState.STOPPING:
        return evolve(record, epoch=plan.epoch)
    return _transition(record, "stop", epoch=plan.epoch)


def cancelled(record: JobRecord) -> JobRecord:
    """Record a caller's request to cancel the job.

    A queued job is cancelled immediately. A starting or running job
    changes to ``STOPPING``, and the decider of its scope then stops
    it. A job in a final state is returned unchanged.
    """
    if record.is_final:
        return record
    requested = evolve(record, cancel_requested=True)
    match record.state:
        case JobState.QUEUED:
            return _transition(requested, "cancel")
        case JobState.STARTING | JobState.RUNNING:
            return _transition(requested, "stop")
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
    """Record the outcome of an attempt.

    Parameters
    ----------
    max_failures : int
        Number of failed attempts at which the job is not retried.
    not_before_s : float
        Earliest wall time of the next attempt, if there is one, in
        seconds.

    Raises
    ------
    StaleEpochError, AttemptReplacedError
        If the row has changed since the attempt was scheduled, or
        another decider has taken the attempt over.
    """
    if outcome.is_superseded:
        raise AttemptReplacedError(
            f"another decider has taken over attempt {outcome.attempt_id!r}"
        )
    _check_epoch(record, epoch)
    if record.attempt is None:
        return _close_unscheduled(record, outcome, not_before_s)
    _check_attempt(record, outcome.attempt_id, epoch)
    has_failed = outcome.end is JobEnd.FAILED
    ended = evolve(
        record,
        epoch=epoch,
        ran=combine_ran(record.ran, outcome.ran),
        failures=record.failures + has_failed,
        checkpoints=outcome.checkpoints or record.checkpoints,
        code=outcome.code,
        detail=outcome.detail,
        not_before_s=not_before_s,
    )
    state = next_job_state(ended, outcome, max_failures)
    attempt = None
    if state is JobState.UNKNOWN:
        attempt = evolve(record.attempt, unresolved=outcome.lost_members)
    return _transition(ended, *_triggers(record.state, state), attempt=attempt)


def _close_unscheduled(
    record: JobRecord, outcome: GangOutcome, not_before_s: float
) -> JobRecord:
    """Record the outcome of an attempt that the row never contained."""
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
            f"epoch {epoch!r} was superseded by {record.epoch!r}; stop "
            "scheduling in this scope"
        )


def _check_attempt(record: JobRecord, attempt_id: str, epoch: int) -> None:
    _check_epoch(record, epoch)
    if not record.has_attempt(attempt_id):
        raise AttemptReplacedError(
            f"job {record.spec.job_id!r}: attempt {attempt_id!r} is not its "
            "current attempt; read the row again"
        )


def _triggers(before: JobState, after: JobState) -> tuple[str, ...]:
    """Return the state chart triggers that lead from one state to another.

    Two triggers are needed if the outcome of an attempt is known before
    its start has been written.
    """
    if before is after:
        return ()
    trigger = _TRIGGER_BY_STATE[after]
    if before is JobState.STARTING and after is JobState.SUCCEEDED:
        return ("release", trigger)
    is_active = before in {JobState.STARTING, JobState.RUNNING}
    if is_active and after is JobState.CANCELLED:
        return ("stop", trigger)
    return (trigger,)


def _transition(
    record: JobRecord, *triggers: str, **changes: Any
) -> JobRecord:
    """Apply state chart transitions and set further fields."""
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

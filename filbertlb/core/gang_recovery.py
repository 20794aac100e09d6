"""Recovery of attempts by a decider that has taken over a scope."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.core.gang import Gang
from filbertlb.core.gang_plan import GangPlan
from filbertlb.core.gang_result import StopCause
from filbertlb.core.gang_run import GangRun
from filbertlb.core.model import JobState
from filbertlb.core.scheduling import JobEnd
from filbertlb.core.task_phase import ENDED_PHASES
from filbertlb.core.task_phase import STARTING_PHASES
from filbertlb.messages import Abort
from filbertlb.messages import Stop
from filbertlb.messages import StopMode
from filbertlb.messages import TaskEndedAck
from filbertlb.messages import TaskPhase

if TYPE_CHECKING:
    from collections.abc import Mapping

    from filbertlb.core.gang_plan import GangEffect
    from filbertlb.core.gang_plan import GangTimeouts
    from filbertlb.core.job_record import JobRecord
    from filbertlb.messages import TaskStatus


@attrs.frozen
class AgentReport:
    """Parts of an agent's newest announcement that gangs need."""

    incarnation: str
    statuses: tuple[TaskStatus, ...] = ()


@attrs.frozen
class RecoveredGang:
    """A gang that was taken over, and its first effects."""

    gang: Gang
    effects: tuple[GangEffect, ...]


def recover(
    record: JobRecord,
    epoch: int,
    report_by_endpoint_id: Mapping[str, AgentReport],
    timeouts: GangTimeouts,
    now_s: float,
) -> RecoveredGang | None:
    """Take over an attempt under a new epoch.

    Call it once the agents have had time to announce themselves. If
    the row holds no attempt, no member was released: None is returned
    and reservations that remain at the agents expire.

    Parameters
    ----------
    record : JobRecord
        The job's row.
    epoch : int
        Epoch of the new decider.
    report_by_endpoint_id : mapping
        Announcements received since the takeover began.
    now_s : float
        The decider's monotonic time in seconds.
    """
    if record.attempt is None:
        return None
    plan = _plan_from_record(record, epoch)
    run = GangRun(plan, timeouts)
    phases = _reported_phases(plan, report_by_endpoint_id)
    effects = _initial_effects(run, record, phases, timeouts, now_s)
    gang = Gang(plan, timeouts, run)
    for endpoint_id in dict.fromkeys(m.endpoint_id for m in plan.members):
        report = report_by_endpoint_id.get(endpoint_id)
        if report is not None:
            effects += gang.announced(
                endpoint_id, report.incarnation, report.statuses, now_s
            )
    return RecoveredGang(gang, tuple(effects))


def needs_recovery(
    record: JobRecord,
    report_by_endpoint_id: Mapping[str, AgentReport],
) -> bool:
    """Return whether the row's attempt is to be recovered now.

    A job in state ``UNKNOWN`` is recovered once an agent announces a
    member whose end is awaited.
    """
    if record.attempt is None:
        return False
    if record.state is not JobState.UNKNOWN:
        return True
    attempt = record.attempt
    return any(
        status.token.member in attempt.unresolved
        for report in report_by_endpoint_id.values()
        for status in report.statuses
        if status.token.attempt_id == attempt.attempt_id
    )


def orphan_command(
    status: TaskStatus, record: JobRecord | None, epoch: int
) -> Abort | Stop | TaskEndedAck | None:
    """Return the command that cleans up an orphaned member.

    Parameters
    ----------
    status : TaskStatus
        Announced status of a member that belongs to the decider's
        scope but to none of its gangs.
    record : JobRecord, optional
        The job's row, read after the announcement was received; None
        if there is no such row.
    epoch : int
        Epoch of the decider.

    Returns
    -------
    Abort, Stop, TaskEndedAck or None
        None if the row holds the attempt, which is to be recovered.
    """
    attempt_id = status.token.attempt_id
    if record is not None and record.has_attempt(attempt_id):
        return None
    token = attrs.evolve(status.token, epoch=epoch)
    if status.phase in ENDED_PHASES:
        return TaskEndedAck(token)
    if status.phase in STARTING_PHASES:
        return Abort(token)
    return Stop(token, StopMode.CANCEL, 0.0)


def _plan_from_record(record: JobRecord, epoch: int) -> GangPlan:
    assert record.attempt is not None
    spec = record.spec
    return GangPlan(
        attempt_id=record.attempt.attempt_id,
        job_id=spec.job_id,
        organisation_id=spec.organisation_id,
        scope=record.attempt.scope,
        epoch=epoch,
        members=record.attempt.members,
        needs=spec.shape.each,
        command=spec.command,
        checkpoints=record.checkpoints,
    )


def _reported_phases(
    plan: GangPlan, report_by_endpoint_id: Mapping[str, AgentReport]
) -> list[TaskPhase | None]:
    """Return each member's phase as announced; None if it was not."""
    phase_by_member_and_endpoint = {
        (status.token.member, endpoint_id): status.phase
        for endpoint_id, report in report_by_endpoint_id.items()
        for status in report.statuses
        if status.token.attempt_id == plan.attempt_id
    }
    return [
        phase_by_member_and_endpoint.get((index, member.endpoint_id))
        for index, member in enumerate(plan.members)
    ]


def _initial_effects(
    run: GangRun,
    record: JobRecord,
    phases: list[TaskPhase | None],
    timeouts: GangTimeouts,
    now_s: float,
) -> list[GangEffect]:
    match record.state:
        case JobState.RUNNING:
            return run.adopt()
        case JobState.STARTING if not {None, TaskPhase.HELD} & set(phases):
            return run.claim()
        case JobState.UNKNOWN if _may_still_succeed(record, phases):
            # The caller passes the announcements, which complete the
            # members' results.
            return []
    return run.give_up(
        now_s,
        _stop_cause(record),
        _stop_mode(record),
        timeouts.stop_within_s,
    )


def _may_still_succeed(
    record: JobRecord, phases: list[TaskPhase | None]
) -> bool:
    """Return whether a gang with lost members may still succeed."""
    viable_phases = {TaskPhase.RUNNING, TaskPhase.SUCCEEDED}
    return not record.cancel_requested and viable_phases.issuperset(phases)


def _stop_cause(record: JobRecord) -> StopCause:
    if record.cancel_requested:
        return StopCause(JobEnd.CANCELLED)
    if record.state is JobState.STOPPING:
        return StopCause(JobEnd.STOPPED)
    return StopCause(
        JobEnd.WORKER_LOST,
        "start_interrupted",
        "the start was taken over before every member was armed",
    )


def _stop_mode(record: JobRecord) -> StopMode:
    if record.cancel_requested:
        return StopMode.CANCEL
    if record.spec.checkpointable:
        return StopMode.CHECKPOINT
    return StopMode.STOP

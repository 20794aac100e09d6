"""What a new decider does with the attempts that it finds."""

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
    """Newest announcement of an agent, as far as gangs need it."""

    incarnation: str
    statuses: tuple[TaskStatus, ...] = ()


@attrs.frozen
class Recovery:
    """A gang that was taken over, and what is to be done first."""

    gang: Gang
    effects: tuple[GangEffect, ...]


def recover(
    record: JobRecord,
    epoch: int,
    report_by_endpoint_id: Mapping[str, AgentReport],
    bounds: GangTimeouts,
    now_s: float,
) -> Recovery | None:
    """Take an attempt over under a new epoch.

    Call it once the agents have had the time to announce themselves.
    Without a record nothing was released: holds expire by themselves
    and None is returned.

    Parameters
    ----------
    record : JobRecord
        The job's row.
    epoch : int
        Epoch of the new decider.
    report_by_endpoint_id : mapping
        Announcements that were received since the takeover began.
    now_s : float
        The decider's monotonic time in seconds.
    """
    if record.attempt is None:
        return None
    plan = _plan(record, epoch)
    run = GangRun(plan, bounds)
    phases = _phases(plan, report_by_endpoint_id)
    effects = _first_step(run, record, phases, bounds, now_s)
    gang = Gang(plan, bounds, run)
    for endpoint_id in dict.fromkeys(m.endpoint_id for m in plan.members):
        report = report_by_endpoint_id.get(endpoint_id)
        if report is not None:
            effects += gang.announced(
                endpoint_id, report.incarnation, report.statuses, now_s
            )
    return Recovery(gang, tuple(effects))


def needs_recovery(
    record: JobRecord,
    report_by_endpoint_id: Mapping[str, AgentReport],
) -> bool:
    """Tell whether a row under way is worth a recovery now.

    An unresolved job is recovered once an agent announces a member
    whose end was awaited.
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
    """Return what to do with a member that no gang of ours accounts for.

    Parameters
    ----------
    status : TaskStatus
        A member as its agent announced it; its scope is ours.
    record : JobRecord, optional
        The job's row, read after the announcement came; None if there
        is no such row.
    epoch : int
        Our epoch.

    Returns
    -------
    Abort, Stop, TaskEndedAck or None
        None if the row carries the attempt, which is to be recovered.
    """
    attempt_id = status.token.attempt_id
    if record is not None and record.carries(attempt_id):
        return None
    token = attrs.evolve(status.token, epoch=epoch)
    if status.phase in ENDED_PHASES:
        return TaskEndedAck(token)
    if status.phase in STARTING_PHASES:
        return Abort(token)
    return Stop(token, StopMode.CANCEL, 0.0)


def _plan(record: JobRecord, epoch: int) -> GangPlan:
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


def _phases(
    plan: GangPlan, report_by_endpoint_id: Mapping[str, AgentReport]
) -> list[TaskPhase | None]:
    """Return each member's phase at its agent, None if it has none."""
    phase_by_place = {
        (status.token.member, endpoint_id): status.phase
        for endpoint_id, report in report_by_endpoint_id.items()
        for status in report.statuses
        if status.token.attempt_id == plan.attempt_id
    }
    return [
        phase_by_place.get((index, member.endpoint_id))
        for index, member in enumerate(plan.members)
    ]


def _first_step(
    run: GangRun,
    record: JobRecord,
    phases: list[TaskPhase | None],
    bounds: GangTimeouts,
    now_s: float,
) -> list[GangEffect]:
    match record.state:
        case JobState.RUNNING:
            return run.adopt()
        case JobState.STARTING if not {None, TaskPhase.HELD} & set(phases):
            return run.claim()
        case JobState.UNKNOWN if _is_whole(record, phases):
            # What the agents announce is all that is needed.
            return []
    return run.give_up(
        now_s,
        _give_up_cause(record),
        _give_up_mode(record),
        bounds.stop_within_s,
    )


def _is_whole(record: JobRecord, phases: list[TaskPhase | None]) -> bool:
    """Tell whether a gang that had lost members may still succeed."""
    alive = {TaskPhase.RUNNING, TaskPhase.SUCCEEDED}
    return not record.cancel_requested and alive.issuperset(phases)


def _give_up_cause(record: JobRecord) -> StopCause:
    if record.cancel_requested:
        return StopCause(JobEnd.CANCELLED)
    if record.state is JobState.STOPPING:
        return StopCause(JobEnd.STOPPED)
    return StopCause(
        JobEnd.WORKER_LOST,
        "start_interrupted",
        "the start was taken over before every member was armed",
    )


def _give_up_mode(record: JobRecord) -> StopMode:
    if record.cancel_requested:
        return StopMode.CANCEL
    if record.spec.checkpointable:
        return StopMode.CHECKPOINT
    return StopMode.STOP

"""Results of the members of a released gang, and its outcome."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import attrs

from filbertlb.core.gang_plan import GangOutcome
from filbertlb.core.scheduling import JobEnd
from filbertlb.errors import Ran
from filbertlb.messages import TaskPhase

if TYPE_CHECKING:
    from collections.abc import Sequence

    from filbertlb.core.gang_plan import GangPlan
    from filbertlb.core.gang_plan import WriteStatus


class MemberStage(StrEnum):
    """State of one member as known to the decider.

    ``UNCONFIRMED`` members may have been released; ``NOT_RUN`` ones
    are proved never to start, and the agents of ``LOST`` ones cannot
    report their result.
    """

    UNCONFIRMED = "unconfirmed"
    RUNNING = "running"
    ENDED = "ended"
    NOT_RUN = "not_run"
    LOST = "lost"


@attrs.define
class MemberResult:
    """State and result of one member of a released gang.

    Parameters
    ----------
    ran : Ran
        Whether the member started.
    phase : TaskPhase, optional
        Final phase of the member's task; None until it is reported.
    """

    stage: MemberStage = MemberStage.UNCONFIRMED
    ran: Ran = Ran.UNKNOWN
    phase: TaskPhase | None = None
    detail: str = ""
    checkpoint: str = ""

    @property
    def is_final(self) -> bool:
        """Return whether no further report is awaited from the member."""
        is_awaited = (
            self.stage is MemberStage.RUNNING
            or self.stage is MemberStage.UNCONFIRMED
        )
        return not is_awaited

    @property
    def has_succeeded(self) -> bool:
        """Return whether the member's task succeeded."""
        return self.phase is TaskPhase.SUCCEEDED

    def started(self) -> None:
        """Record that the member runs, unless it has ended."""
        self.ran = Ran.YES
        if self.stage is not MemberStage.ENDED:
            self.stage = MemberStage.RUNNING

    def not_run(self) -> None:
        """Record that the member is proved never to start."""
        if self.ran is Ran.YES:
            self.lost()
            return
        self.stage = MemberStage.NOT_RUN
        self.ran = Ran.NO

    def lost(self) -> None:
        """Record that the member's result is unknown for now."""
        self.stage = MemberStage.LOST


@attrs.frozen
class StopCause:
    """Why the members of a gang are stopped.

    Parameters
    ----------
    end : JobEnd
        How the attempt ends unless all members succeed.
    code : str
        Code of the first failure; empty if the stop was requested.
    """

    end: JobEnd
    code: str = ""
    detail: str = ""


def first_stop_cause(results: Sequence[MemberResult]) -> StopCause | None:
    """Return why the gang can no longer succeed, or None if it can."""
    for member, result in enumerate(results):
        if result.is_final and not result.has_succeeded:
            return _stop_cause(member, result)
    return None


def _stop_cause(member: int, result: MemberResult) -> StopCause:
    match result.phase:
        case TaskPhase.FAILED:
            return StopCause(JobEnd.FAILED, "member_failed", result.detail)
        case TaskPhase.STOPPED:
            return StopCause(JobEnd.STOPPED, "member_stopped", result.detail)
        case _:
            return StopCause(
                JobEnd.WORKER_LOST,
                "member_lost",
                f"member {member!r} has no result: {result.stage.value!r}",
            )


def gang_ran(results: Sequence[MemberResult]) -> Ran:
    """Return whether any member started."""
    values = {result.ran for result in results}
    if Ran.YES in values:
        return Ran.YES
    return Ran.UNKNOWN if Ran.UNKNOWN in values else Ran.NO


def gang_outcome(
    plan: GangPlan,
    results: Sequence[MemberResult],
    cause: StopCause | None,
    written: WriteStatus,
    *,
    is_superseded: bool = False,
) -> GangOutcome:
    """Return the outcome of a gang whose members are all final.

    The gang succeeded only if every member did.
    """
    failed = _members_in(results, TaskPhase.FAILED)
    lost = tuple(
        index
        for index, result in enumerate(results)
        if result.stage is MemberStage.LOST
    )
    checkpoints = tuple(result.checkpoint for result in results)
    return GangOutcome(
        attempt_id=plan.attempt_id,
        end=_job_end(results, cause),
        ran=gang_ran(results),
        code="" if cause is None else cause.code,
        detail="" if cause is None else cause.detail,
        failed_members=failed,
        lost_members=lost,
        may_have_succeeded=all(
            result.has_succeeded or result.stage is MemberStage.LOST
            for result in results
        ),
        # Checkpoints are consistent only if every member took one.
        checkpoints=checkpoints if all(checkpoints) else (),
        written=written,
        is_superseded=is_superseded,
    )


def _members_in(
    results: Sequence[MemberResult], phase: TaskPhase
) -> tuple[int, ...]:
    return tuple(
        index for index, result in enumerate(results) if result.phase is phase
    )


def _job_end(
    results: Sequence[MemberResult], cause: StopCause | None
) -> JobEnd:
    if all(result.has_succeeded for result in results):
        return JobEnd.SUCCEEDED
    if cause is None:
        return JobEnd.STOPPED
    requested_ends = {JobEnd.CANCELLED, JobEnd.STOPPED}
    if cause.end not in requested_ends and gang_ran(results) is Ran.NO:
        return JobEnd.NOT_STARTED
    return cause.end

"""What is known of a released gang's members, and its outcome."""

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
    """What the decider knows of one member.

    ``UNCONFIRMED`` members may have been released; ``NOT_RUN`` ones
    are proved never to start, and ``LOST`` ones cannot be asked.
    """

    UNCONFIRMED = "unconfirmed"
    RUNNING = "running"
    ENDED = "ended"
    NOT_RUN = "not_run"
    LOST = "lost"


@attrs.define
class MemberResult:
    """One member of a released gang.

    Parameters
    ----------
    ran : Ran
        Whether it started.
    phase : TaskPhase, optional
        How it ended.
    """

    stage: MemberStage = MemberStage.UNCONFIRMED
    ran: Ran = Ran.UNKNOWN
    phase: TaskPhase | None = None
    detail: str = ""
    checkpoint: str = ""

    @property
    def is_final(self) -> bool:
        """Tell whether nothing more is awaited from the member."""
        is_open = (
            self.stage is MemberStage.RUNNING
            or self.stage is MemberStage.UNCONFIRMED
        )
        return not is_open

    @property
    def has_succeeded(self) -> bool:
        """Tell whether the member ended with success."""
        return self.phase is TaskPhase.SUCCEEDED

    def started(self) -> None:
        """Record that the member runs, unless its end is known."""
        self.ran = Ran.YES
        if self.stage is not MemberStage.ENDED:
            self.stage = MemberStage.RUNNING

    def not_run(self) -> None:
        """Record the proof that the member never starts."""
        if self.ran is Ran.YES:
            self.lost()
            return
        self.stage = MemberStage.NOT_RUN
        self.ran = Ran.NO

    def lost(self) -> None:
        """Record that the member's end cannot be known for now."""
        self.stage = MemberStage.LOST


@attrs.frozen
class StopCause:
    """Why the members of a gang are stopped.

    Parameters
    ----------
    end : JobEnd
        How the run ends unless all members succeed.
    code : str
        Code of the first failure; empty if it was asked for.
    """

    end: JobEnd
    code: str = ""
    detail: str = ""


def first_cause(results: Sequence[MemberResult]) -> StopCause | None:
    """Return why the gang cannot succeed any more, or None."""
    for member, result in enumerate(results):
        if result.is_final and not result.has_succeeded:
            return _cause(member, result)
    return None


def _cause(member: int, result: MemberResult) -> StopCause:
    match result.phase:
        case TaskPhase.FAILED:
            return StopCause(JobEnd.FAILED, "member_failed", result.detail)
        case TaskPhase.STOPPED:
            return StopCause(JobEnd.STOPPED, "member_stopped", result.detail)
        case _:
            return StopCause(
                JobEnd.WORKER_LOST,
                "member_lost",
                f"member {member!r} is {result.stage.value!r}",
            )


def gang_ran(results: Sequence[MemberResult]) -> Ran:
    """Return whether any member started."""
    known = {result.ran for result in results}
    if Ran.YES in known:
        return Ran.YES
    return Ran.UNKNOWN if Ran.UNKNOWN in known else Ran.NO


def gang_outcome(
    plan: GangPlan,
    results: Sequence[MemberResult],
    cause: StopCause | None,
    written: WriteStatus,
    *,
    is_superseded: bool = False,
) -> GangOutcome:
    """Return the outcome of a gang whose members are all final.

    It succeeded only if every member did.
    """
    failed = _members(results, TaskPhase.FAILED)
    lost = tuple(
        index
        for index, result in enumerate(results)
        if result.stage is MemberStage.LOST
    )
    checkpoints = tuple(result.checkpoint for result in results)
    return GangOutcome(
        attempt_id=plan.attempt_id,
        end=_end(results, cause),
        ran=gang_ran(results),
        code="" if cause is None else cause.code,
        detail="" if cause is None else cause.detail,
        failed_members=failed,
        lost_members=lost,
        may_have_succeeded=all(
            result.has_succeeded or result.stage is MemberStage.LOST
            for result in results
        ),
        # Only a whole set of checkpoints is consistent.
        checkpoints=checkpoints if all(checkpoints) else (),
        written=written,
        is_superseded=is_superseded,
    )


def _members(
    results: Sequence[MemberResult], phase: TaskPhase
) -> tuple[int, ...]:
    return tuple(
        index for index, result in enumerate(results) if result.phase is phase
    )


def _end(results: Sequence[MemberResult], cause: StopCause | None) -> JobEnd:
    if all(result.has_succeeded for result in results):
        return JobEnd.SUCCEEDED
    if cause is None:
        return JobEnd.STOPPED
    requested = {JobEnd.CANCELLED, JobEnd.STOPPED}
    if cause.end not in requested and gang_ran(results) is Ran.NO:
        return JobEnd.NOT_STARTED
    return cause.end

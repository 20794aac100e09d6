"""Start of a gang up to the barrier: all members armed, or all aborted.

No release is sent in this stage: a start that ends early and that no
successor continues provably did not run.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from filbertlb.core.gang_commands import PendingCommands
from filbertlb.core.gang_plan import Closed
from filbertlb.core.gang_plan import GangOutcome
from filbertlb.core.gang_plan import GangPhase
from filbertlb.core.gang_plan import WriteDecision
from filbertlb.core.gang_plan import WriteStatus
from filbertlb.core.refusals import ReservationContendedError
from filbertlb.core.refusals import StaleEpochError
from filbertlb.core.scheduling import JobEnd
from filbertlb.errors import Ran
from filbertlb.messages import Abort
from filbertlb.messages import Arm
from filbertlb.messages import Refused
from filbertlb.messages import Reserve

if TYPE_CHECKING:
    from filbertlb.core.gang_plan import GangCommand
    from filbertlb.core.gang_plan import GangEffect
    from filbertlb.core.gang_plan import GangPlan
    from filbertlb.core.gang_plan import GangTimeouts
    from filbertlb.messages import Done


class GangStart:
    """One attempt from its reservations to the barrier.

    Every method returns the effects that the caller carries out. The
    start has finished when ``phase`` is ``READY`` or ``CLOSED``.

    Parameters
    ----------
    plan : GangPlan
        The attempt.
    timeouts : GangTimeouts
        Time limit of each step.
    """

    def __init__(self, plan: GangPlan, timeouts: GangTimeouts) -> None:
        self.plan = plan
        self.phase = GangPhase.RESERVING
        self.outcome: GangOutcome | None = None
        self._timeouts = timeouts
        self._pending = PendingCommands(timeouts.resend_s)
        self._deadline_s = math.inf
        self._written = WriteStatus.NOT_SENT
        self._may_be_recorded = False
        self._write_due_s = math.inf
        self._end = JobEnd.NOT_STARTED
        self._code = ""
        self._detail = ""
        self._failed_members: tuple[int, ...] = ()
        self._is_superseded = False

    def begin(self, now_s: float) -> list[GangEffect]:
        """Reserve the members' resources at all agents."""
        self._deadline_s = now_s + self._timeouts.reserve_s
        plan = self.plan
        reserves: dict[int, GangCommand] = {
            member: Reserve(
                token=plan.token(member),
                job_id=plan.job_id,
                organisation_id=plan.organisation_id,
                needs=plan.needs,
                hold_s=self._timeouts.hold_s,
            )
            for member in range(len(plan.members))
        }
        return [*self._pending.replace(reserves, plan, now_s)]

    def answered(
        self,
        member: int,
        command: GangCommand,
        reply: Done | Refused,
        now_s: float,
    ) -> list[GangEffect]:
        """Handle an agent's reply to one command."""
        if not self._pending.is_pending(member, command):
            return []
        if isinstance(reply, Refused):
            return self._reply_refused(member, reply, now_s)
        self._pending.discard(member)
        if self._pending.members:
            return []
        match self.phase:
            case GangPhase.RESERVING:
                return self._decide(now_s)
            case GangPhase.ARMING:
                self.phase = GangPhase.READY
                return []
            case _:
                return self._close()

    def decision_written(
        self, written: WriteStatus, now_s: float
    ) -> list[GangEffect]:
        """Handle the result of the conditional write."""
        if self._written is not WriteStatus.OK:
            self._written = written
        if written is not WriteStatus.CONFLICT:
            self._may_be_recorded = True
        if self.phase is not GangPhase.DECIDING:
            return []
        if written is WriteStatus.OK:
            return self._arm(now_s)
        if written is WriteStatus.CONFLICT:
            return self._abort(now_s, "decision_conflict")
        self._write_due_s = now_s + self._timeouts.resend_s
        return []

    def member_lost(self, member: int, now_s: float) -> list[GangEffect]:
        """Abort the start because an agent is lost or has restarted."""
        if self.phase is GangPhase.ABORTING:
            return self._discard_abort(member)
        self._failed_members = (member,)
        return self._abort(now_s, "member_lost")

    def cancel(self, now_s: float, end: JobEnd) -> list[GangEffect]:
        """Abort the start on request."""
        self._end = end
        return self._abort(now_s, end.value)

    def tick(self, now_s: float) -> list[GangEffect]:
        """Resend unanswered commands and enforce the step's time limit."""
        if self._deadline_s > now_s:
            return self._resend(now_s)
        if self.phase is GangPhase.ABORTING:
            return self._close()
        self._failed_members = self._pending.members
        return self._abort(now_s, f"{self.phase.value}_timeout")

    def next_due_s(self) -> float:
        """Return the time at which the next tick is due."""
        return min(
            self._deadline_s, self._write_due_s, self._pending.next_due_s()
        )

    def _resend(self, now_s: float) -> list[GangEffect]:
        if self._write_due_s <= now_s:
            self._write_due_s = math.inf
            return [WriteDecision(self.plan)]
        return [*self._pending.tick(self.plan, now_s)]

    def _reply_refused(
        self, member: int, refused: Refused, now_s: float
    ) -> list[GangEffect]:
        if refused.code == StaleEpochError.code:
            self._is_superseded = True
            self._code = refused.code
            return self._close()
        if self.phase is GangPhase.ABORTING:
            return self._discard_abort(member)
        if refused.code == ReservationContendedError.code:
            # The command stays pending and is resent: the gang of lower
            # precedence ends or gives its reservation up.
            return []
        self._failed_members = (member,)
        self._detail = refused.message
        return self._abort(now_s, refused.code)

    def _decide(self, now_s: float) -> list[GangEffect]:
        self.phase = GangPhase.DECIDING
        self._deadline_s = now_s + self._timeouts.decide_s
        return [WriteDecision(self.plan)]

    def _arm(self, now_s: float) -> list[GangEffect]:
        self.phase = GangPhase.ARMING
        self._deadline_s = now_s + self._timeouts.barrier_s
        self._write_due_s = math.inf
        plan = self.plan
        arms: dict[int, GangCommand] = {
            member: Arm(
                token=plan.token(member),
                hold_s=self._timeouts.arm_hold_s,
                command=plan.command,
                checkpoint=plan.checkpoint(member),
            )
            for member in range(len(plan.members))
        }
        return [*self._pending.replace(arms, plan, now_s)]

    def _abort(self, now_s: float, code: str) -> list[GangEffect]:
        if self.phase in {GangPhase.ABORTING, GangPhase.CLOSED}:
            return []
        self._code = code
        self.phase = GangPhase.ABORTING
        self._deadline_s = now_s + self._timeouts.abort_s
        self._write_due_s = math.inf
        plan = self.plan
        aborts: dict[int, GangCommand] = {
            member: Abort(plan.token(member))
            for member in range(len(plan.members))
        }
        return [*self._pending.replace(aborts, plan, now_s)]

    def _discard_abort(self, member: int) -> list[GangEffect]:
        self._pending.discard(member)
        return [] if self._pending.members else self._close()

    def _close(self) -> list[GangEffect]:
        self.phase = GangPhase.CLOSED
        self._deadline_s = math.inf
        self._pending.replace({}, self.plan, 0.0)
        has_successor = (
            self._is_superseded or self._written is WriteStatus.CONFLICT
        )
        # A successor may continue from the record and release members.
        may_run = has_successor and self._may_be_recorded
        self.outcome = GangOutcome(
            attempt_id=self.plan.attempt_id,
            end=self._end,
            ran=Ran.UNKNOWN if may_run else Ran.NO,
            code=self._code,
            detail=self._detail,
            failed_members=self._failed_members,
            written=self._written,
            is_superseded=has_successor,
        )
        return [Closed(self.outcome)]

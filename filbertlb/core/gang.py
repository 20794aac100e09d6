"""State machine of one gang at its decider, from reservation to end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from filbertlb.core.gang_plan import GangPhase
from filbertlb.core.gang_plan import WriteStatus
from filbertlb.core.gang_result import StopCause
from filbertlb.core.gang_run import GangRun
from filbertlb.core.gang_start import GangStart
from filbertlb.core.scheduling import JobEnd
from filbertlb.errors import Ran
from filbertlb.messages import StopMode

if TYPE_CHECKING:
    from collections.abc import Sequence

    from filbertlb.core.gang_plan import GangCommand
    from filbertlb.core.gang_plan import GangEffect
    from filbertlb.core.gang_plan import GangOutcome
    from filbertlb.core.gang_plan import GangPlan
    from filbertlb.core.gang_plan import GangTimeouts
    from filbertlb.messages import Done
    from filbertlb.messages import Refused
    from filbertlb.messages import TaskStatus


class Gang:
    """One attempt of a job: its start, then its run.

    The methods that drive it take the decider's monotonic time in
    seconds and return the effects, which the caller carries out in
    order.

    Parameters
    ----------
    plan : GangPlan
        The attempt.
    timeouts : GangTimeouts
        Time limit of each step.
    stage : GangStart or GangRun, optional
        Stage restored by a takeover; a new start by default.
    """

    def __init__(
        self,
        plan: GangPlan,
        timeouts: GangTimeouts,
        stage: GangStart | GangRun | None = None,
    ) -> None:
        self._timeouts = timeouts
        self._stage = stage or GangStart(plan, timeouts)

    @property
    def plan(self) -> GangPlan:
        """Return the attempt with the agents' current incarnations."""
        return self._stage.plan

    @property
    def phase(self) -> GangPhase:
        """Return the phase of the attempt."""
        return self._stage.phase

    @property
    def outcome(self) -> GangOutcome | None:
        """Return the outcome, or None until the attempt has ended."""
        return self._stage.outcome

    @property
    def ran(self) -> Ran:
        """Return whether any member started: yes, no or unknown."""
        if isinstance(self._stage, GangRun):
            return self._stage.ran
        return Ran.NO if self.outcome is None else self.outcome.ran

    def begin(self, now_s: float) -> list[GangEffect]:
        """Send the reservations of a new start."""
        if isinstance(self._stage, GangRun):
            return []
        return self._stage.begin(now_s)

    def answered(
        self,
        member: int,
        command: GangCommand,
        reply: Done | Refused,
        now_s: float,
    ) -> list[GangEffect]:
        """Handle an agent's reply to one command."""
        effects = self._stage.answered(member, command, reply, now_s)
        if self.phase is not GangPhase.READY:
            return effects
        self._stage = GangRun(self.plan, self._timeouts)
        return self._stage.release(now_s)

    def decision_written(
        self, written: WriteStatus, now_s: float
    ) -> list[GangEffect]:
        """Handle the result of a ``WriteDecision``."""
        return self._stage.decision_written(written, now_s)

    def announced(
        self,
        endpoint_id: str,
        incarnation: str,
        statuses: Sequence[TaskStatus],
        now_s: float,
    ) -> list[GangEffect]:
        """Handle an announcement of an agent's newest incarnation."""
        if isinstance(self._stage, GangRun):
            return self._stage.announced(
                endpoint_id, incarnation, statuses, now_s
            )
        effects: list[GangEffect] = []
        for member in self.plan.at(endpoint_id):
            if incarnation != self.plan.members[member].incarnation:
                effects += self._stage.member_lost(member, now_s)
        return effects

    def ended(self, status: TaskStatus, now_s: float) -> list[GangEffect]:
        """Handle the report of a member's end."""
        if isinstance(self._stage, GangStart):
            return []
        return self._stage.ended(status, now_s)

    def lost(self, endpoint_id: str, now_s: float) -> list[GangEffect]:
        """Handle the loss of an endpoint."""
        effects: list[GangEffect] = []
        for member in self.plan.at(endpoint_id):
            effects += self._stage.member_lost(member, now_s)
        return effects

    def cancel(self, now_s: float) -> list[GangEffect]:
        """Cancel the job on its caller's request."""
        if isinstance(self._stage, GangStart):
            return self._stage.cancel(now_s, JobEnd.CANCELLED)
        return self._stage.give_up(
            now_s,
            StopCause(JobEnd.CANCELLED),
            StopMode.CANCEL,
            self._timeouts.stop_within_s,
        )

    def stop(
        self, now_s: float, *, checkpoint: bool, within_s: float
    ) -> list[GangEffect]:
        """Stop the job to reclaim its resources; it is queued again."""
        if isinstance(self._stage, GangStart):
            return self._stage.cancel(now_s, JobEnd.NOT_STARTED)
        mode = StopMode.CHECKPOINT if checkpoint else StopMode.STOP
        cause = StopCause(JobEnd.STOPPED)
        return self._stage.give_up(now_s, cause, mode, within_s)

    def tick(self, now_s: float) -> list[GangEffect]:
        """Resend unanswered commands and enforce the time limits."""
        return self._stage.tick(now_s)

    def next_due_s(self) -> float:
        """Return the time at which the next tick is due."""
        return self._stage.next_due_s()

    def acknowledge_ends(self) -> list[GangEffect]:
        """Acknowledge the ends of all members once the row is written."""
        if isinstance(self._stage, GangStart):
            return []
        return self._stage.acknowledge_ends()

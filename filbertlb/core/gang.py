"""The decider's side of one gang, from reservation to its end."""

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

    Every method takes the decider's monotonic time in seconds and
    returns the effects that the caller carries out in order.

    Parameters
    ----------
    plan : GangPlan
        The attempt.
    bounds : GangTimeouts
        Times of each step.
    stage : GangStart or GangRun, optional
        What a takeover found; a new start by default.
    """

    def __init__(
        self,
        plan: GangPlan,
        bounds: GangTimeouts,
        stage: GangStart | GangRun | None = None,
    ) -> None:
        self._bounds = bounds
        self._stage = stage or GangStart(plan, bounds)

    @property
    def plan(self) -> GangPlan:
        """Return the attempt with the agents' present incarnations."""
        return self._stage.plan

    @property
    def phase(self) -> GangPhase:
        """Return where the attempt stands."""
        return self._stage.phase

    @property
    def outcome(self) -> GangOutcome | None:
        """Return how the attempt ended, or None before."""
        return self._stage.outcome

    @property
    def ran(self) -> Ran:
        """Return whether any member started, as far as is known."""
        if isinstance(self._stage, GangRun):
            return self._stage.ran
        return Ran.NO if self.outcome is None else self.outcome.ran

    def begin(self, now_s: float) -> list[GangEffect]:
        """Reserve for a new start."""
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
        """Take an agent's reply to one command."""
        effects = self._stage.answered(member, command, reply, now_s)
        if self.phase is not GangPhase.READY:
            return effects
        self._stage = GangRun(self.plan, self._bounds)
        return self._stage.release(now_s)

    def decision_written(
        self, written: WriteStatus, now_s: float
    ) -> list[GangEffect]:
        """Take the result of a ``WriteDecision``."""
        return self._stage.decision_written(written, now_s)

    def announced(
        self,
        endpoint_id: str,
        incarnation: str,
        statuses: Sequence[TaskStatus],
        now_s: float,
    ) -> list[GangEffect]:
        """Take an announcement of the newest incarnation of an agent."""
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
        """Take the report of a member's end."""
        if isinstance(self._stage, GangStart):
            return []
        return self._stage.ended(status, now_s)

    def lost(self, endpoint_id: str, now_s: float) -> list[GangEffect]:
        """Take it that an endpoint is gone."""
        effects: list[GangEffect] = []
        for member in self.plan.at(endpoint_id):
            effects += self._stage.member_lost(member, now_s)
        return effects

    def cancel(self, now_s: float) -> list[GangEffect]:
        """Give the job up on its caller's request."""
        if isinstance(self._stage, GangStart):
            return self._stage.cancel(now_s, JobEnd.CANCELLED)
        return self._stage.give_up(
            now_s,
            StopCause(JobEnd.CANCELLED),
            StopMode.CANCEL,
            self._bounds.stop_within_s,
        )

    def stop(
        self, now_s: float, *, checkpoint: bool, within_s: float
    ) -> list[GangEffect]:
        """Take the resources back; the job is queued again."""
        if isinstance(self._stage, GangStart):
            return self._stage.cancel(now_s, JobEnd.NOT_STARTED)
        mode = StopMode.CHECKPOINT if checkpoint else StopMode.STOP
        cause = StopCause(JobEnd.STOPPED)
        return self._stage.give_up(now_s, cause, mode, within_s)

    def tick(self, now_s: float) -> list[GangEffect]:
        """Repeat unanswered commands and enforce the bounds."""
        return self._stage.tick(now_s)

    def next_due_s(self) -> float:
        """Return the time of the next tick that has work to do."""
        return self._stage.next_due_s()

    def acknowledge_ends(self) -> list[GangEffect]:
        """Acknowledge all ends: the row holds the outcome."""
        if isinstance(self._stage, GangStart):
            return []
        return self._stage.acknowledge_ends()

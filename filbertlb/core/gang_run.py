"""A gang from its release until every member has ended.

From the first release on, only the agents know what ran. A member
that fails or is lost makes the rest give up: members that have not
started are aborted and those that run are stopped.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from filbertlb.core.gang_commands import PendingCommands
from filbertlb.core.gang_plan import Closed
from filbertlb.core.gang_plan import GangPhase
from filbertlb.core.gang_plan import Send
from filbertlb.core.gang_plan import Started
from filbertlb.core.gang_plan import WriteDecision
from filbertlb.core.gang_plan import WriteStatus
from filbertlb.core.gang_result import first_stop_cause
from filbertlb.core.gang_result import gang_outcome
from filbertlb.core.gang_result import gang_ran
from filbertlb.core.gang_result import MemberResult
from filbertlb.core.gang_result import MemberStage
from filbertlb.core.gang_result import StopCause
from filbertlb.core.refusals import AlreadyStartedError
from filbertlb.core.refusals import StaleEpochError
from filbertlb.core.refusals import StaleIncarnationError
from filbertlb.core.scheduling import JobEnd
from filbertlb.core.task_phase import ENDED_PHASES
from filbertlb.core.task_phase import STARTING_PHASES
from filbertlb.errors import Ran
from filbertlb.messages import Abort
from filbertlb.messages import Refused
from filbertlb.messages import Release
from filbertlb.messages import Stop
from filbertlb.messages import StopMode
from filbertlb.messages import TaskEndedAck

if TYPE_CHECKING:
    from collections.abc import Sequence

    from filbertlb.core.gang_plan import GangCommand
    from filbertlb.core.gang_plan import GangEffect
    from filbertlb.core.gang_plan import GangOutcome
    from filbertlb.core.gang_plan import GangPlan
    from filbertlb.core.gang_plan import GangTimeouts
    from filbertlb.messages import Done
    from filbertlb.messages import TaskStatus


class GangRun:
    """One attempt from its release to the end of all members.

    Parameters
    ----------
    plan : GangPlan
        The attempt.
    bounds : GangTimeouts
        Times of each step.
    """

    def __init__(
        self,
        plan: GangPlan,
        bounds: GangTimeouts,
    ) -> None:
        self.plan = plan
        self.phase = GangPhase.RELEASING
        self.outcome: GangOutcome | None = None
        self.results = [MemberResult() for _ in plan.members]
        self._bounds = bounds
        self._pending = PendingCommands(bounds.resend_s)
        self._deadline_s = math.inf
        self._write_due_s = math.inf
        self._written = WriteStatus.OK
        self._cause: StopCause | None = None
        self._stop_mode = StopMode.STOP
        self._stop_within_s = bounds.stop_within_s
        self._stopped: set[int] = set()

    @property
    def ran(self) -> Ran:
        """Return whether any member started."""
        return gang_ran(self.results)

    def release(self, now_s: float) -> list[GangEffect]:
        """Release every member that is not known to run."""
        self.phase = GangPhase.RELEASING
        self._deadline_s = now_s + self._bounds.release_s
        releases: dict[int, GangCommand] = {
            member: Release(self.plan.token(member))
            for member in self._at(MemberStage.UNCONFIRMED)
        }
        sends = self._pending.replace(releases, self.plan, now_s)
        return [*sends, *self._advance(now_s)]

    def claim(self) -> list[GangEffect]:
        """Write the record under this epoch, then release.

        From then on the former decider cannot report the attempt as
        not run.
        """
        self.phase = GangPhase.DECIDING
        return [WriteDecision(self.plan)]

    def adopt(self) -> list[GangEffect]:
        """Watch a gang that the row says is running."""
        self.phase = GangPhase.RUNNING
        for result in self.results:
            result.started()
        return []

    def decision_written(
        self, written: WriteStatus, now_s: float
    ) -> list[GangEffect]:
        """Take the result of the write that ``claim`` asked for."""
        if self.phase is not GangPhase.DECIDING:
            return []
        self._written = written
        if written is WriteStatus.CONFLICT:
            return self._supersede()
        if written is WriteStatus.UNKNOWN:
            self._write_due_s = now_s + self._bounds.resend_s
            return []
        self._write_due_s = math.inf
        return self.release(now_s)

    def answered(
        self,
        member: int,
        command: GangCommand,
        reply: Done | Refused,
        now_s: float,
    ) -> list[GangEffect]:
        """Take an agent's reply to one command."""
        if not self._pending.is_pending(member, command):
            return []
        if isinstance(reply, Refused):
            return self._refused(member, command, reply, now_s)
        self._pending.discard(member)
        if isinstance(command, Abort):
            self.results[member].not_run()
        elif isinstance(command, Release):
            self.results[member].started()
        return self._advance(now_s)

    def ended(self, status: TaskStatus, now_s: float) -> list[GangEffect]:
        """Take the report of a member's end."""
        member = status.token.member
        result = self.results[member]
        if self.outcome or result.stage is MemberStage.ENDED:
            return []
        self._pending.discard(member)
        result.stage = MemberStage.ENDED
        result.ran = Ran.YES
        result.phase = status.phase
        result.detail = status.detail
        result.checkpoint = status.checkpoint
        return self._advance(now_s)

    def announced(
        self,
        endpoint_id: str,
        incarnation: str,
        statuses: Sequence[TaskStatus],
        now_s: float,
    ) -> list[GangEffect]:
        """Take the newest announcement of an agent.

        A restarted agent that announces a member has adopted its task;
        one that does not has lost it.
        """
        status_by_member = {
            status.token.member: status
            for status in statuses
            if status.token.attempt_id == self.plan.attempt_id
        }
        effects: list[GangEffect] = []
        for member in self.plan.at(endpoint_id):
            status = status_by_member.get(member)
            if status is not None:
                effects += self._seen(member, incarnation, status, now_s)
            elif incarnation != self.plan.members[member].incarnation:
                effects += self.member_lost(member, now_s)
            else:
                effects += self._ask_after(member, now_s)
        return effects

    def member_lost(self, member: int, now_s: float) -> list[GangEffect]:
        """Take it that a member cannot be asked any more."""
        if self.outcome or self.results[member].is_final:
            return []
        self._pending.discard(member)
        self.results[member].lost()
        return self._advance(now_s)

    def give_up(
        self,
        now_s: float,
        cause: StopCause,
        mode: StopMode,
        within_s: float,
    ) -> list[GangEffect]:
        """Abort or stop all members.

        A cancellation takes the place of a stop that is under way.
        """
        if self.outcome:
            return []
        if self._cause is None or self._cause.end is JobEnd.STOPPED:
            self._cause = cause
        self._stop_mode = mode
        self._stop_within_s = within_s
        return self._stop_rest(now_s)

    def tick(self, now_s: float) -> list[GangEffect]:
        """Repeat unanswered commands and enforce the step's bound."""
        if self._write_due_s <= now_s:
            self._write_due_s = math.inf
            return [WriteDecision(self.plan)]
        if self._deadline_s > now_s:
            return [*self._pending.tick(self.plan, now_s)]
        silent = self._pending.members
        self._cause = StopCause(
            JobEnd.WORKER_LOST,
            "release_timeout",
            f"members {silent!r} did not confirm their release",
        )
        return self._stop_rest(now_s)

    def next_due_s(self) -> float:
        """Return the time of the next tick that has work to do."""
        return min(
            self._deadline_s, self._write_due_s, self._pending.next_due_s()
        )

    def acknowledge_ends(self) -> list[GangEffect]:
        """Acknowledge all ends: the row holds the outcome.

        While the end of a lost member is awaited, the other ends stay
        with their agents: a later recovery needs them.
        """
        plan = self.plan
        outcome = self.outcome
        if (
            outcome is None
            or outcome.is_superseded
            or outcome.awaits_lost_members
        ):
            return []
        return [
            Send(
                member,
                plan.members[member].endpoint_id,
                TaskEndedAck(plan.token(member)),
            )
            for member in self._at(MemberStage.ENDED)
        ]

    def _refused(
        self,
        member: int,
        command: GangCommand,
        refused: Refused,
        now_s: float,
    ) -> list[GangEffect]:
        if refused.code == StaleEpochError.code:
            return self._supersede()
        if isinstance(command, Release) and self._cause is None:
            self._cause = StopCause(
                JobEnd.WORKER_LOST, refused.code, refused.message
            )
        self._take_refusal(member, command, refused)
        return self._advance(now_s)

    def _take_refusal(
        self, member: int, command: GangCommand, refused: Refused
    ) -> None:
        result = self.results[member]
        if refused.ran is Ran.NO:
            self._pending.discard(member)
            result.not_run()
        elif refused.code == AlreadyStartedError.code:
            self._pending.discard(member)
            result.started()
        elif refused.code != StaleIncarnationError.code:
            # The agent has closed or forgotten the member.
            self._pending.discard(member)
            if refused.ran is Ran.YES:
                result.ran = Ran.YES
            result.lost()
        # A restarted agent announces soon what it has adopted.

    def _ask_after(self, member: int, now_s: float) -> list[GangEffect]:
        """Ask about a member that runs but was not announced.

        An abort does not touch a member that runs. One that was closed
        before this gang was taken over is found out by it.
        """
        is_running = self.results[member].stage is MemberStage.RUNNING
        if not is_running or member in self._pending.members:
            return []
        ask: dict[int, GangCommand] = {member: Abort(self.plan.token(member))}
        return [*self._pending.add(ask, self.plan, now_s)]

    def _seen(
        self,
        member: int,
        incarnation: str,
        status: TaskStatus,
        now_s: float,
    ) -> list[GangEffect]:
        result = self.results[member]
        if self.outcome or status.phase in STARTING_PHASES:
            return []
        if incarnation != self.plan.members[member].incarnation:
            self.plan = self.plan.with_incarnation(member, incarnation)
            self._stopped.discard(member)
        if status.phase in ENDED_PHASES:
            return self.ended(status, now_s)
        if result.stage in {MemberStage.UNCONFIRMED, MemberStage.LOST}:
            self._pending.discard(member)
            result.started()
        return self._advance(now_s)

    def _advance(self, now_s: float) -> list[GangEffect]:
        """Act on what is known of the members now."""
        if all(result.is_final for result in self.results):
            return self._close()
        if self.phase is GangPhase.STOPPING:
            return self._stop_running(now_s)
        if self._cause is None:
            self._cause = first_stop_cause(self.results)
        if self._cause is not None:
            return self._stop_rest(now_s)
        has_unconfirmed = bool(self._at(MemberStage.UNCONFIRMED))
        if self.phase is GangPhase.RELEASING and not has_unconfirmed:
            self.phase = GangPhase.RUNNING
            self._deadline_s = math.inf
            return [Started(self.plan)]
        return []

    def _stop_rest(self, now_s: float) -> list[GangEffect]:
        self.phase = GangPhase.STOPPING
        self._deadline_s = math.inf
        self._write_due_s = math.inf
        self._stopped.clear()
        aborts: dict[int, GangCommand] = {
            member: Abort(self.plan.token(member))
            for member in self._at(MemberStage.UNCONFIRMED)
        }
        sends = self._pending.replace(aborts, self.plan, now_s)
        return [*sends, *self._stop_running(now_s)]

    def _stop_running(self, now_s: float) -> list[GangEffect]:
        stops: dict[int, GangCommand] = {
            member: Stop(
                self.plan.token(member), self._stop_mode, self._stop_within_s
            )
            for member in self._at(MemberStage.RUNNING)
            if member not in self._stopped
        }
        self._stopped.update(stops)
        return [*self._pending.add(stops, self.plan, now_s)]

    def _at(self, stage: MemberStage) -> list[int]:
        return [
            member
            for member, result in enumerate(self.results)
            if result.stage is stage
        ]

    def _supersede(self) -> list[GangEffect]:
        return self._close(is_superseded=True)

    def _close(self, *, is_superseded: bool = False) -> list[GangEffect]:
        self.phase = GangPhase.CLOSED
        self._deadline_s = math.inf
        self._write_due_s = math.inf
        self._pending.replace({}, self.plan, 0.0)
        cause = self._cause or first_stop_cause(self.results)
        self.outcome = gang_outcome(
            self.plan,
            self.results,
            cause,
            self._written,
            is_superseded=is_superseded,
        )
        return [Closed(self.outcome)]

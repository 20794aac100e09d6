"""Run of a gang from its release until every member has ended.

Once a release has been sent, only the agents know which members ran. If a
member fails or is lost, members that have not started are aborted and
running members are stopped.
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
    timeouts : GangTimeouts
        Time limit of each step.
    """

    def __init__(
        self,
        plan: GangPlan,
        timeouts: GangTimeouts,
    ) -> None:
        self.plan = plan
        self.phase = GangPhase.RELEASING
        self.outcome: GangOutcome | None = None
        self.results = [MemberResult() for _ in plan.members]
        self._timeouts = timeouts
        self._pending = PendingCommands(timeouts.resend_s)
        self._deadline_s = math.inf
        self._write_due_s = math.inf
        self._written = WriteStatus.OK
        self._cause: StopCause | None = None
        self._stop_mode = StopMode.STOP
        self._stop_within_s = timeouts.stop_within_s
        self._stop_sent: set[int] = set()

    @property
    def ran(self) -> Ran:
        """Return whether any member started."""
        return gang_ran(self.results)

    def release(self, now_s: float) -> list[GangEffect]:
        """Release every member whose start is unconfirmed."""
        self.phase = GangPhase.RELEASING
        self._deadline_s = now_s + self._timeouts.release_s
        releases: dict[int, GangCommand] = {
            member: Release(self.plan.token(member))
            for member in self._members_in(MemberStage.UNCONFIRMED)
        }
        sends = self._pending.replace(releases, self.plan, now_s)
        return [*sends, *self._advance(now_s)]

    def claim(self) -> list[GangEffect]:
        """Write the record under this epoch, then release.

        Once it is written, the former decider can no longer report
        that the attempt did not run.
        """
        self.phase = GangPhase.DECIDING
        return [WriteDecision(self.plan)]

    def adopt(self) -> list[GangEffect]:
        """Take over a gang whose row is in state ``RUNNING``."""
        self.phase = GangPhase.RUNNING
        for result in self.results:
            result.started()
        return []

    def decision_written(
        self, written: WriteStatus, now_s: float
    ) -> list[GangEffect]:
        """Handle the result of the write that ``claim`` requested."""
        if self.phase is not GangPhase.DECIDING:
            return []
        self._written = written
        if written is WriteStatus.CONFLICT:
            return self._supersede()
        if written is WriteStatus.UNKNOWN:
            self._write_due_s = now_s + self._timeouts.resend_s
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
        """Handle an agent's reply to one command."""
        if not self._pending.is_pending(member, command):
            return []
        if isinstance(reply, Refused):
            return self._reply_refused(member, command, reply, now_s)
        self._pending.discard(member)
        if isinstance(command, Abort):
            self.results[member].not_run()
        elif isinstance(command, Release):
            self.results[member].started()
        return self._advance(now_s)

    def ended(self, status: TaskStatus, now_s: float) -> list[GangEffect]:
        """Handle the report of a member's end."""
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
        """Handle the newest announcement of an agent.

        A restarted agent announces the members whose tasks it adopted;
        members that it does not announce are lost.
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
                effects += self._status_announced(
                    member, incarnation, status, now_s
                )
            elif incarnation != self.plan.members[member].incarnation:
                effects += self.member_lost(member, now_s)
            else:
                effects += self._probe(member, now_s)
        return effects

    def member_lost(self, member: int, now_s: float) -> list[GangEffect]:
        """Record that a member's agent can no longer report on it."""
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

        A cancellation supersedes a stop in progress.
        """
        if self.outcome:
            return []
        if self._cause is None or self._cause.end is JobEnd.STOPPED:
            self._cause = cause
        self._stop_mode = mode
        self._stop_within_s = within_s
        return self._stop_remaining(now_s)

    def tick(self, now_s: float) -> list[GangEffect]:
        """Resend unanswered commands and enforce the step's time limit."""
        if self._write_due_s <= now_s:
            self._write_due_s = math.inf
            return [WriteDecision(self.plan)]
        if self._deadline_s > now_s:
            return [*self._pending.tick(self.plan, now_s)]
        unconfirmed = self._pending.members
        self._cause = StopCause(
            JobEnd.WORKER_LOST,
            "release_timeout",
            f"members {unconfirmed!r} did not confirm their release",
        )
        return self._stop_remaining(now_s)

    def next_due_s(self) -> float:
        """Return the time at which the next tick is due."""
        return min(
            self._deadline_s, self._write_due_s, self._pending.next_due_s()
        )

    def acknowledge_ends(self) -> list[GangEffect]:
        """Acknowledge the ends of all members once the row is written.

        While the end of a lost member is awaited, nothing is
        acknowledged: a later recovery needs the other ends, which the
        agents keep until then.
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
            for member in self._members_in(MemberStage.ENDED)
        ]

    def _reply_refused(
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
        self._record_refusal(member, command, refused)
        return self._advance(now_s)

    def _record_refusal(
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
            # The agent has closed the member or no longer remembers it.
            self._pending.discard(member)
            if refused.ran is Ran.YES:
                result.ran = Ran.YES
            result.lost()
        # For StaleIncarnationError the member stays as it is: the
        # restarted agent will announce the tasks that it adopted.

    def _probe(self, member: int, now_s: float) -> list[GangEffect]:
        """Send an abort to learn the state of an unannounced member.

        The agent refuses to abort a member that runs, which changes
        nothing. Any other reply shows that the member was closed
        before this decider took the gang over.
        """
        is_running = self.results[member].stage is MemberStage.RUNNING
        if not is_running or member in self._pending.members:
            return []
        ask: dict[int, GangCommand] = {member: Abort(self.plan.token(member))}
        return [*self._pending.add(ask, self.plan, now_s)]

    def _status_announced(
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
            self._stop_sent.discard(member)
        if status.phase in ENDED_PHASES:
            return self.ended(status, now_s)
        if result.stage in {MemberStage.UNCONFIRMED, MemberStage.LOST}:
            self._pending.discard(member)
            result.started()
        return self._advance(now_s)

    def _advance(self, now_s: float) -> list[GangEffect]:
        """Take the next step that the members' states allow."""
        if all(result.is_final for result in self.results):
            return self._close()
        if self.phase is GangPhase.STOPPING:
            return self._stop_running(now_s)
        if self._cause is None:
            self._cause = first_stop_cause(self.results)
        if self._cause is not None:
            return self._stop_remaining(now_s)
        has_unconfirmed = bool(self._members_in(MemberStage.UNCONFIRMED))
        if self.phase is GangPhase.RELEASING and not has_unconfirmed:
            self.phase = GangPhase.RUNNING
            self._deadline_s = math.inf
            return [Started(self.plan)]
        return []

    def _stop_remaining(self, now_s: float) -> list[GangEffect]:
        self.phase = GangPhase.STOPPING
        self._deadline_s = math.inf
        self._write_due_s = math.inf
        self._stop_sent.clear()
        aborts: dict[int, GangCommand] = {
            member: Abort(self.plan.token(member))
            for member in self._members_in(MemberStage.UNCONFIRMED)
        }
        sends = self._pending.replace(aborts, self.plan, now_s)
        return [*sends, *self._stop_running(now_s)]

    def _stop_running(self, now_s: float) -> list[GangEffect]:
        stops: dict[int, GangCommand] = {
            member: Stop(
                self.plan.token(member), self._stop_mode, self._stop_within_s
            )
            for member in self._members_in(MemberStage.RUNNING)
            if member not in self._stop_sent
        }
        self._stop_sent.update(stops)
        return [*self._pending.add(stops, self.plan, now_s)]

    def _members_in(self, stage: MemberStage) -> list[int]:
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

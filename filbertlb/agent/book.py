"""Reservations and running tasks of one worker, kept by its agent.

The worker itself starts every task that it is sent, so all starts go
through this book. It checks the fencing epoch, the incarnation, the
free capacity and the order of commands, and starts each member at most
once.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import evolve

from filbertlb.agent.allocations import Allocations
from filbertlb.agent.closed_tokens import ClosedToken
from filbertlb.agent.closed_tokens import ClosedTokens
from filbertlb.agent.effects import BookAnswer
from filbertlb.agent.effects import ForgetTask
from filbertlb.agent.effects import ReportEnd
from filbertlb.agent.effects import StartTask
from filbertlb.agent.effects import StopTask
from filbertlb.agent.member import BookMember
from filbertlb.core.refusals import AgentDrainingError
from filbertlb.core.refusals import AlreadyStartedError
from filbertlb.core.refusals import NotArmedError
from filbertlb.core.refusals import NotHeldError
from filbertlb.core.refusals import ReportBacklogError
from filbertlb.core.refusals import StaleEpochError
from filbertlb.core.refusals import StaleIncarnationError
from filbertlb.core.refusals import TokenClosedError
from filbertlb.core.refusals import TokenTooOldError
from filbertlb.core.task_phase import ENDED_PHASES
from filbertlb.core.task_phase import STARTING_PHASES
from filbertlb.errors import FilbertlbError
from filbertlb.errors import Ran
from filbertlb.messages import Abort
from filbertlb.messages import Arm
from filbertlb.messages import Done
from filbertlb.messages import Refused
from filbertlb.messages import Release
from filbertlb.messages import Reserve
from filbertlb.messages import Stop
from filbertlb.messages import StopMode
from filbertlb.messages import TaskEnded
from filbertlb.messages import TaskEndedAck
from filbertlb.messages import TaskPhase

if TYPE_CHECKING:
    from filbertlb.agent.effects import BookEffect
    from filbertlb.core.model import Resources
    from filbertlb.messages import TaskStatus
    from filbertlb.messages import Token

BookCommand = Reserve | Arm | Release | Abort | Stop | TaskEndedAck

_CLOSED_LIMIT = 4096
_CLOSED_KEEP_S = 600.0
_UNACKNOWLEDGED_LIMIT = 4096
_REPORT_PERIOD_S = 1.0


class ReservationBook:
    """Reserved, running and ended members on one worker.

    Parameters
    ----------
    incarnation : str
        Incarnation of this agent, which tokens have to name.
    capacity : Resources
        Resources of the worker.
    closed_limit : int
        Maximum number of closed members whose records are retained.
    closed_keep_s : float
        Maximum time for which these records are retained, in seconds.
    """

    def __init__(
        self,
        incarnation: str,
        capacity: Resources,
        *,
        closed_limit: int = _CLOSED_LIMIT,
        closed_keep_s: float = _CLOSED_KEEP_S,
    ) -> None:
        self.incarnation = incarnation
        self.draining = False
        self._epoch_by_scope: dict[str, int] = {}
        self._allocations = Allocations(capacity)
        self._closed = ClosedTokens(closed_limit, closed_keep_s)

    @property
    def free(self) -> Resources:
        """Return the resources that are neither reserved nor in use."""
        return self._allocations.free_without(())

    def next_due_s(self) -> float:
        """Return the time of the next expiry, stop or report."""
        due = (
            min(member.expires_s, member.stop_due_s, member.report_due_s)
            for member in self._allocations.members()
        )
        return min(due, default=math.inf)

    def statuses(self) -> tuple[TaskStatus, ...]:
        """Return all members that are not closed.

        They are held, armed or running, or their end has not been
        acknowledged yet.
        """
        return tuple(member.status for member in self._allocations.members())

    def drain(self) -> None:
        """Start draining: refuse to reserve or arm further members."""
        self.draining = True

    def adopt(self, status: TaskStatus) -> None:
        """Add a task that the previous agent process started.

        Parameters
        ----------
        status : TaskStatus
            The running or ended task as the worker reports it. The
            incarnation in its token is replaced by this agent's.
        """
        token = evolve(status.token, incarnation=self.incarnation)
        has_ended = status.phase in ENDED_PHASES
        self._allocations.add(
            BookMember(
                token=token,
                job_id=status.job_id,
                organisation_id=status.organisation_id,
                needs=status.needs,
                phase=status.phase,
                checkpoint=status.checkpoint,
                detail=status.detail,
                report_due_s=-math.inf if has_ended else math.inf,
            )
        )

    def handle(self, command: BookCommand, now_s: float) -> BookAnswer:
        """Execute a command, or refuse it.

        Parameters
        ----------
        now_s : float
            The agent's own monotonic time in seconds.

        Returns
        -------
        BookAnswer
            Reply, and the effects to execute before it is sent.
        """
        self._expire(now_s)
        try:
            return self._dispatch(command, now_s)
        except FilbertlbError as error:
            refused = Refused(error.code, error.message, error.ran)
            return BookAnswer(refused)

    def ended(
        self,
        token: Token,
        phase: TaskPhase,
        now_s: float,
        *,
        detail: str = "",
        checkpoint: str = "",
    ) -> list[BookEffect]:
        """Record the end of a member and return its report."""
        member = self._allocations.get(token)
        if member is None or member.phase is not TaskPhase.RUNNING:
            return []
        member.phase = phase
        member.detail = detail
        member.checkpoint = checkpoint or member.checkpoint
        member.stop_due_s = math.inf
        return [self._report(member, now_s)]

    def tick(self, now_s: float) -> list[BookEffect]:
        """Expire holds, enforce stops and repeat unacknowledged reports."""
        self._expire(now_s)
        self._closed.prune(now_s)
        effects: list[BookEffect] = []
        for member in self._allocations.members():
            if member.stop_due_s <= now_s:
                member.stop_mode = StopMode.CANCEL
                member.stop_due_s = now_s + _REPORT_PERIOD_S
                effects.append(StopTask(member.token, StopMode.CANCEL, 0.0))
            if member.report_due_s <= now_s:
                effects.append(self._report(member, now_s))
        return effects

    def _dispatch(self, command: BookCommand, now_s: float) -> BookAnswer:
        self._check_epoch(command.token)
        if isinstance(command, TaskEndedAck):
            # Valid whichever incarnation reported the end.
            return self._acknowledge(command, now_s)
        self._check_incarnation(command.token)
        match command:
            case Reserve():
                return self._reserve(command, now_s)
            case Arm():
                return self._arm(command, now_s)
            case Release():
                return self._release(command, now_s)
            case Abort():
                return self._abort(command, now_s)
            case Stop():
                return self._stop(command, now_s)

    def _check_epoch(self, token: Token) -> None:
        highest = self._epoch_by_scope.get(token.scope, token.epoch)
        if token.epoch < highest:
            raise StaleEpochError(
                f"epoch {token.epoch!r} of scope {token.scope!r} was "
                f"superseded by epoch {highest!r}; release the scope",
                ran=self._known_ran(token),
            )
        self._epoch_by_scope[token.scope] = token.epoch

    def _check_incarnation(self, token: Token) -> None:
        if token.incarnation != self.incarnation:
            raise StaleIncarnationError(
                f"token for incarnation {token.incarnation!r} reached "
                f"incarnation {self.incarnation!r}; read the agent's "
                "announcement",
                ran=self._known_ran(token),
            )

    def _known_ran(self, token: Token) -> Ran:
        """Return whether the member ran, if later commands can't change it.

        A member that is held or armed, or for which nothing is
        recorded, may still be started, so the result is ``UNKNOWN``.
        """
        member = self._allocations.get(token)
        if member is not None and member.phase not in STARTING_PHASES:
            return Ran.YES
        closed = self._closed.get(token)
        return Ran.UNKNOWN if closed is None else closed.ran

    def _reserve(self, command: Reserve, now_s: float) -> BookAnswer:
        member = self._allocations.get(command.token)
        if member is not None:
            return self._done_answer(member, command.token)
        self._check_not_closed(command.token)
        self._check_accepts_work()
        for preempted in self._allocations.holds_to_preempt(command):
            self._close(preempted, now_s, "preempted by another gang")
        member = BookMember(
            token=command.token,
            job_id=command.job_id,
            organisation_id=command.organisation_id,
            needs=command.needs,
            phase=TaskPhase.HELD,
            expires_s=now_s + command.hold_s,
        )
        self._allocations.add(member)
        return self._done_answer(member, command.token)

    def _arm(self, command: Arm, now_s: float) -> BookAnswer:
        member = self._require_member(command.token, now_s)
        if member.phase is TaskPhase.HELD:
            if self.draining:
                raise AgentDrainingError("the agent is draining")
            member.phase = TaskPhase.ARMED
            member.expires_s = now_s + command.hold_s
            member.command = command.command
            member.checkpoint = command.checkpoint
        return self._done_answer(member, command.token)

    def _release(self, command: Release, now_s: float) -> BookAnswer:
        member = self._require_member(command.token, now_s)
        if member.phase is TaskPhase.HELD:
            # The refusal proves that the member did not run, so a
            # duplicate of this command must not start it later.
            self._close(member, now_s, "released before it was armed")
            raise NotArmedError(
                f"member {command.token.member!r} of "
                f"{command.token.attempt_id!r} was not armed"
            )
        if member.phase is not TaskPhase.ARMED:
            return self._done_answer(member, command.token)
        member.phase = TaskPhase.RUNNING
        member.expires_s = math.inf
        start = StartTask(
            token=command.token,
            job_id=member.job_id,
            organisation_id=member.organisation_id,
            needs=member.needs,
            command=member.command,
            checkpoint=member.checkpoint,
        )
        return self._done_answer(member, command.token, start)

    def _abort(self, command: Abort, now_s: float) -> BookAnswer:
        member = self._allocations.get(command.token)
        if member is None:
            return self._abort_unknown(command.token, now_s)
        if member.phase not in STARTING_PHASES:
            raise AlreadyStartedError(
                f"member {command.token.member!r} of "
                f"{command.token.attempt_id!r} is {member.phase.value!r}; "
                "stop it instead",
                ran=Ran.YES,
            )
        self._close(member, now_s, "aborted")
        return BookAnswer(Done(command.token, TaskPhase.STOPPED, "aborted"))

    def _abort_unknown(self, token: Token, now_s: float) -> BookAnswer:
        closed = self._closed.get(token)
        if closed is not None and closed.ran is not Ran.NO:
            raise TokenClosedError(closed.reason, ran=closed.ran)
        if closed is None:
            self._add_tombstone(token, now_s, "aborted before it was reserved")
        return BookAnswer(Done(token, TaskPhase.STOPPED, "aborted"))

    def _stop(self, command: Stop, now_s: float) -> BookAnswer:
        member = self._allocations.get(command.token)
        if member is None or member.phase in STARTING_PHASES:
            return self._abort(Abort(command.token), now_s)
        if member.phase is not TaskPhase.RUNNING:
            return self._done_answer(member, command.token)
        if not member.is_escalated_by(command.mode):
            return self._done_answer(member, command.token)
        member.stop_mode = command.mode
        due_s = now_s + command.within_s
        member.stop_due_s = min(member.stop_due_s, due_s)
        stop = StopTask(command.token, command.mode, command.within_s)
        return self._done_answer(member, command.token, stop)

    def _acknowledge(self, command: TaskEndedAck, now_s: float) -> BookAnswer:
        member = self._allocations.get(command.token)
        if member is None:
            return BookAnswer(Done(command.token, TaskPhase.STOPPED))
        if member.phase not in ENDED_PHASES:
            raise AlreadyStartedError(
                f"member {command.token.member!r} of "
                f"{command.token.attempt_id!r} has not ended",
                ran=self._known_ran(command.token),
            )
        self._close(member, now_s, "ended", Ran.YES)
        forget = ForgetTask(member.token)
        return self._done_answer(member, command.token, forget)

    def _require_member(self, token: Token, now_s: float) -> BookMember:
        """Return a member and store the token's epoch with it.

        An unknown member is closed, so that no delayed reservation can
        start it after the refusal.
        """
        member = self._allocations.get(token)
        if member is not None:
            member.token = token
            return member
        self._check_not_closed(token)
        self._add_tombstone(
            token, now_s, "command arrived before the reservation"
        )
        raise NotHeldError(
            f"no reservation for member {token.member!r} of "
            f"{token.attempt_id!r}"
        )

    def _check_not_closed(self, token: Token) -> None:
        closed = self._closed.get(token)
        if closed is not None:
            raise TokenClosedError(
                f"member {token.member!r} of {token.attempt_id!r} is "
                f"closed: {closed.reason}",
                ran=closed.ran,
            )
        self._check_not_too_old(token)

    def _check_not_too_old(self, token: Token) -> None:
        if self._closed.is_too_old(token):
            raise TokenTooOldError(
                f"attempt {token.attempt_id!r} is not newer than attempts "
                "whose records were discarded; start a new attempt",
                ran=Ran.UNKNOWN,
            )

    def _check_accepts_work(self) -> None:
        if self.draining:
            raise AgentDrainingError("the agent is draining")
        ended = sum(
            member.phase in ENDED_PHASES
            for member in self._allocations.members()
        )
        if ended >= _UNACKNOWLEDGED_LIMIT:
            raise ReportBacklogError(
                f"{ended!r} ended members are not yet acknowledged"
            )

    def _expire(self, now_s: float) -> None:
        expired = [
            member
            for member in self._allocations.members()
            if member.expires_s <= now_s
        ]
        for member in expired:
            self._close(
                member, now_s, f"{member.phase.value} past its time limit"
            )

    def _close(
        self,
        member: BookMember,
        now_s: float,
        reason: str,
        ran: Ran = Ran.NO,
    ) -> None:
        self._allocations.remove(member)
        self._closed.add(
            ClosedToken(member.token, member.phase, ran, reason, now_s)
        )

    def _add_tombstone(self, token: Token, now_s: float, reason: str) -> None:
        self._check_not_too_old(token)
        self._closed.add(
            ClosedToken(token, TaskPhase.STOPPED, Ran.NO, reason, now_s)
        )

    def _report(self, member: BookMember, now_s: float) -> ReportEnd:
        member.report_due_s = now_s + _REPORT_PERIOD_S
        return ReportEnd(TaskEnded(member.status))

    def _done_answer(
        self, member: BookMember, token: Token, *effects: BookEffect
    ) -> BookAnswer:
        return BookAnswer(Done(token, member.phase, member.detail), effects)

"""The agent of a worker: executes the effects of its book."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import attrs
from gevent import sleep
from gevent import spawn
from loguru import logger

from filbertlb.agent.effects import ForgetTask
from filbertlb.agent.effects import ReportEnd
from filbertlb.agent.effects import StartTask
from filbertlb.agent.effects import StopTask
from filbertlb.agent.labels import decode_label
from filbertlb.agent.labels import encode_label
from filbertlb.agent.labels import ForeignTaskError
from filbertlb.agent.runner import DrainNow
from filbertlb.core.revision_gate import OlderRevisionError
from filbertlb.errors import FilbertlbError
from filbertlb.logs import log_context
from filbertlb.messages import Abort
from filbertlb.messages import Arm
from filbertlb.messages import Refused
from filbertlb.messages import Release
from filbertlb.messages import Reserve
from filbertlb.messages import Stop
from filbertlb.messages import StopMode
from filbertlb.messages import TaskEndedAck
from filbertlb.messages import TaskPhase
from filbertlb.messages import TaskStatus
from filbertlb.messages import Token
from filbertlb.transport.codec import Envelope
from filbertlb.transport.link import OutboxFullError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from filbertlb.agent.book import ReservationBook
    from filbertlb.agent.effects import BookEffect
    from filbertlb.backend.base import TaskReport
    from filbertlb.backend.base import WorkerBackend
    from filbertlb.core.clock import Clock
    from filbertlb.tasks import Mailbox
    from filbertlb.transport.link import Link

POLL_INTERVAL_RATIO = 0.02
MIN_POLL_INTERVAL_S = 0.1
MAX_POLL_INTERVAL_S = 2.0
RETRY_PERIOD_S = 0.5
COMMANDS = (Reserve, Arm, Release, Abort, Stop, TaskEndedAck)
ENDED_PHASES = (TaskPhase.SUCCEEDED, TaskPhase.FAILED, TaskPhase.STOPPED)


_OLDER_REVISION = Refused(
    OlderRevisionError.code,
    "the decider uses an older configuration than this agent has seen",
)


@attrs.frozen
class _MemberEnded:
    """End of a member as reported by the worker."""

    token: Token
    phase: TaskPhase
    detail: str = ""
    checkpoint: str = ""


@attrs.frozen
class _DeferredReply:
    """Reply to a command, sent after its effects are executed."""

    envelope: Envelope
    message: Any


class WorkerAgent:
    """Behaviour of the agent of a worker.

    Parameters
    ----------
    link : Link
        Link of this process.
    book : ReservationBook
        Decides which members are held, started and stopped.
    backend : WorkerBackend
        Connection to the worker.
    mailbox : Mailbox
        Mailbox of this task.
    clock : Clock
        Source of time.
    revision : callable
        Returns the highest configuration revision seen by this agent.
    """

    def __init__(
        self,
        link: Link,
        book: ReservationBook,
        backend: WorkerBackend,
        mailbox: Mailbox,
        clock: Clock,
        revision: Callable[[], int],
    ) -> None:
        self._link = link
        self._book = book
        self._backend = backend
        self._mailbox = mailbox
        self._clock = clock
        self._revision = revision
        self._label_by_token: dict[Token, str] = {}
        self._decider_by_scope: dict[str, tuple[int, str]] = {}
        for cls in COMMANDS:
            link.subscribe(cls, mailbox.deliver)

    def adopt_running(self) -> None:
        """Adopt the tasks that the previous agent process started.

        Ended tasks are adopted and reported as well, because their
        decider may not have received the report. If it has, it
        acknowledges the repeated report.

        Raises
        ------
        FilbertlbError
            If the worker does not answer.
        """
        usage = self._backend.usage()
        labels = (*usage.ended_task_ids, *usage.task_ids)
        for label in dict.fromkeys(labels):
            report = self._backend.status(label)
            if report is None:
                continue
            try:
                status = decode_label(label)
            except ForeignTaskError as error:
                logger.warning("{}", error.message)
                continue
            self._adopt(label, status, report)

    def receive(self, message: Any, now_s: float) -> None:
        """Handle a command or a message from a greenlet of this agent."""
        if isinstance(message, Envelope):
            self._handle_command(message, now_s)
        elif isinstance(message, _MemberEnded):
            effects = self._book.ended(
                message.token,
                message.phase,
                now_s,
                detail=message.detail,
                checkpoint=message.checkpoint,
            )
            self._execute(effects)
        elif isinstance(message, _DeferredReply):
            self._link.reply(message.envelope, message.message)
        elif isinstance(message, DrainNow):
            self._book.drain()

    def tick(self, now_s: float) -> None:
        """Execute the due effects of the book."""
        self._execute(self._book.tick(now_s))

    def next_due_s(self, now_s: float) -> float:
        """Return the time of the next tick in seconds."""
        return self._book.next_due_s()

    def _handle_command(self, envelope: Envelope, now_s: float) -> None:
        command = envelope.message
        token = command.token
        epoch, _ = self._decider_by_scope.get(token.scope, (0, ""))
        if token.epoch >= epoch:
            self._decider_by_scope[token.scope] = (
                token.epoch,
                envelope.sender,
            )
        is_behind = envelope.revision < self._revision()
        if isinstance(command, Reserve) and is_behind:
            self._link.reply(envelope, _OLDER_REVISION)
            return
        answer = self._book.handle(command, now_s)
        starts = [e for e in answer.effects if isinstance(e, StartTask)]
        self._execute(e for e in answer.effects if e not in starts)
        for start in starts:
            spawn(self._start, start, _DeferredReply(envelope, answer.reply))
        if not starts:
            self._link.reply(envelope, answer.reply)

    def _execute(self, effects: Iterable[BookEffect]) -> None:
        for effect in effects:
            match effect:
                case StopTask():
                    spawn(self._stop, effect)
                case ReportEnd():
                    self._report(effect)
                case ForgetTask():
                    self._label_by_token.pop(_member_token(effect.token), None)
                case StartTask():
                    spawn(self._start, effect, None)

    def _report(self, effect: ReportEnd) -> None:
        scope = effect.message.status.token.scope
        _, address = self._decider_by_scope.get(scope, (0, ""))
        if not address:
            return
        try:
            self._link.send(address, effect.message)
        except OutboxFullError as error:
            logger.warning(
                "report of an ended member not sent, retrying: {}",
                error.message,
            )

    def _adopt(
        self, label: str, status: TaskStatus, report: TaskReport
    ) -> None:
        adopted = attrs.evolve(
            status,
            phase=report.phase,
            detail=report.detail,
            checkpoint=report.checkpoint,
        )
        self._book.adopt(adopted)
        self._label_by_token[_member_token(status.token)] = label
        if report.phase not in ENDED_PHASES:
            spawn(self._watch, status.token, label)

    def _start(self, start: StartTask, reply: _DeferredReply | None) -> None:
        with log_context(job_id=start.job_id):
            logger.debug("member {} starts", start.token.member)
            self._start_and_watch(start, reply)

    def _start_and_watch(
        self, start: StartTask, reply: _DeferredReply | None
    ) -> None:
        label = encode_label(
            TaskStatus(
                start.token,
                start.job_id,
                start.organisation_id,
                TaskPhase.RUNNING,
                start.needs,
            )
        )
        self._label_by_token[_member_token(start.token)] = label
        try:
            self._backend.start(
                label, start.command, start.needs, start.checkpoint
            )
        except FilbertlbError as error:
            # An error does not prove that the task did not start; the
            # status polled from the worker decides.
            logger.warning(
                "start of task {} not confirmed: {}", label, error.message
            )
        if reply is not None:
            self._mailbox.post(reply)
        self._watch(start.token, label)

    def _watch(self, token: Token, label: str) -> None:
        started_s = self._clock.monotonic()
        report = self._poll(label)
        while report is not None and report.phase == TaskPhase.RUNNING:
            # Long tasks are polled less often: the interval grows with
            # the run time, so the delay it adds to their completion
            # stays a small share of that time.
            ran_s = self._clock.monotonic() - started_s
            sleep(_poll_interval_s(ran_s))
            report = self._poll(label)
        if report is None:
            ended = _MemberEnded(
                token, TaskPhase.FAILED, "the worker no longer knows the task"
            )
        else:
            ended = _MemberEnded(
                token, report.phase, report.detail, report.checkpoint
            )
        self._mailbox.post(ended)

    def _poll(self, label: str) -> TaskReport | None:
        while True:
            try:
                return self._backend.status(label)
            except FilbertlbError:
                sleep(RETRY_PERIOD_S)

    def _stop(self, effect: StopTask) -> None:
        label = self._label_by_token.get(_member_token(effect.token))
        if label is None:
            return
        if effect.mode == StopMode.CHECKPOINT:
            self._call_worker(self._backend.checkpoint, label)
        self._call_worker(self._backend.stop, label)

    def _call_worker(self, call: Any, label: str) -> None:
        try:
            call(label)
        except FilbertlbError as error:
            # The book repeats the stop until the member has ended.
            logger.warning("task {}: {}", label, error.message)


def _poll_interval_s(ran_s: float) -> float:
    """Return the time until a running task is polled again."""
    return min(
        max(POLL_INTERVAL_RATIO * ran_s, MIN_POLL_INTERVAL_S),
        MAX_POLL_INTERVAL_S,
    )


def _member_token(token: Token) -> Token:
    """Return a token without the parts that change between agents.

    Epoch, scope and incarnation are cleared, so that it identifies the
    member whichever decider or agent process handles it.
    """
    return attrs.evolve(token, incarnation="", scope="", epoch=0)

"""The agent of a runner: executes the actions of its slot book."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import attrs
from gevent import spawn
from loguru import logger

from filbertlb.agent.slot_records import Reply
from filbertlb.agent.slot_records import Start
from filbertlb.core.revision_gate import OlderRevisionError
from filbertlb.errors import FilbertlbError
from filbertlb.logs import log_context
from filbertlb.messages import Invoke
from filbertlb.messages import InvokeResult
from filbertlb.messages import Refused
from filbertlb.messages import TaskEndedAck
from filbertlb.messages import Token
from filbertlb.messages import Tombstone
from filbertlb.transport.codec import Envelope

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from filbertlb.agent.slot_records import Action
    from filbertlb.agent.slots import SlotBook
    from filbertlb.backend.base import RunnerBackend
    from filbertlb.tasks import Mailbox
    from filbertlb.transport.link import Link

EXPIRY_PERIOD_S = 0.1


@attrs.frozen
class _Finished:
    """Answer of the runner, or the reason why there is none."""

    token: Token
    message: InvokeResult | Refused


@attrs.frozen
class DrainNow:
    """Tells the task of an agent to start draining."""


class RunnerAgent:
    """Behaviour of the agent of a runner.

    Parameters
    ----------
    link : Link
        Link of this process.
    book : SlotBook
        Decides which requests start.
    backend : RunnerBackend
        Connection to the runner.
    mailbox : Mailbox
        Mailbox of this task, which also receives the results of its
        requests.
    max_run_s : float
        Maximum time that the runner may take for a request, in
        seconds.
    revision : callable
        Returns the highest configuration revision seen by this agent.
    """

    def __init__(
        self,
        link: Link,
        book: SlotBook,
        backend: RunnerBackend,
        mailbox: Mailbox,
        max_run_s: float,
        revision: Callable[[], int],
    ) -> None:
        self._link = link
        self._book = book
        self._backend = backend
        self._mailbox = mailbox
        self._max_run_s = max_run_s
        self._revision = revision
        self._due_s = 0.0
        self._waiters_by_token: dict[Token, list[Envelope]] = {}
        for cls in (Invoke, Tombstone, TaskEndedAck):
            link.subscribe(cls, mailbox.deliver)

    def receive(self, message: Any, now_s: float) -> None:
        """Handle a message from an entry or the end of a request."""
        if isinstance(message, Envelope):
            self._handle_envelope(message, now_s)
        elif isinstance(message, _Finished):
            self._complete(message, now_s)
        elif isinstance(message, DrainNow):
            self._execute(self._book.drain())

    def tick(self, now_s: float) -> None:
        """Refuse queued requests whose time to start has passed."""
        self._due_s = now_s + EXPIRY_PERIOD_S
        self._execute(self._book.expire(now_s))

    def next_due_s(self, now_s: float) -> float:
        """Return the time of the next tick in seconds."""
        return self._due_s

    def _handle_envelope(self, envelope: Envelope, now_s: float) -> None:
        message = envelope.message
        if isinstance(message, Invoke):
            # Several callers of an entry may wait for the same token.
            waiters = self._waiters_by_token.setdefault(message.token, [])
            waiters.append(envelope)
            if envelope.revision < self._revision():
                self._refuse_older_revision(message.token)
            else:
                self._execute(self._book.offer(message, now_s))
        elif isinstance(message, Tombstone):
            answer, actions = self._book.tombstone(message.token)
            self._link.reply(envelope, answer)
            self._execute(actions)
        elif isinstance(message, TaskEndedAck):
            self._book.acknowledge(message.token)

    def _refuse_older_revision(self, token: Token) -> None:
        """Refuse a request of an entry with an older configuration.

        The token is tombstoned, so the refusal proves that the request
        never starts, even if another process sends it again.
        """
        tombstoned, actions = self._book.tombstone(token)
        refused = Refused(
            OlderRevisionError.code,
            "the entry uses an older configuration than this agent has seen",
            tombstoned.ran,
            token,
        )
        self._answer(Reply(token, refused))
        self._execute(actions)

    def _complete(self, finished: _Finished, now_s: float) -> None:
        message = finished.message
        if isinstance(message, InvokeResult):
            actions = self._book.finish(message, now_s)
        else:
            actions = self._book.fail(finished.token, message, now_s)
        self._execute(actions)

    def _execute(self, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, Start):
                spawn(self._invoke, action.invoke)
            elif isinstance(action, Reply):
                self._answer(action)

    def _answer(self, reply: Reply) -> None:
        for envelope in self._waiters_by_token.pop(reply.token, []):
            self._link.reply(envelope, reply.message)

    def _invoke(self, invoke: Invoke) -> None:
        with log_context(request_id=invoke.request_id):
            logger.debug("request to {} starts", invoke.path)
            self._mailbox.post(
                _Finished(invoke.token, self._call_runner(invoke))
            )

    def _call_runner(self, invoke: Invoke) -> InvokeResult | Refused:
        try:
            answer = self._backend.invoke(
                invoke.path, invoke.body, self._max_run_s
            )
        except FilbertlbError as error:
            logger.warning("request to the runner failed: {}", error.message)
            return Refused(error.code, error.message, error.ran, invoke.token)
        return InvokeResult(
            invoke.token,
            invoke.request_id,
            answer.status,
            answer.body,
            answer.content_type,
        )

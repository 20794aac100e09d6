"""Queued, running and ended requests of a runner, kept by its agent.

Only the agent decides whether a request starts on its runner. A token
starts at most once. It never starts if it names a previous incarnation,
if it is tombstoned, or if its time to start has passed on the agent's
clock. Every refusal is recorded, so that a late duplicate of a refused
request cannot start after the refusal was taken as proof that the
request did not run.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

from filbertlb.agent.slot_records import EndedRecords
from filbertlb.agent.slot_records import Reply
from filbertlb.agent.slot_records import SlotLimits
from filbertlb.agent.slot_records import SlotRecord
from filbertlb.agent.slot_records import SlotState
from filbertlb.agent.slot_records import Start
from filbertlb.agent.slot_records import Waiting
from filbertlb.errors import Ran
from filbertlb.messages import InvokeResult
from filbertlb.messages import Refused
from filbertlb.messages import Tombstoned

if TYPE_CHECKING:
    from filbertlb.agent.slot_records import Action
    from filbertlb.messages import Invoke
    from filbertlb.messages import Token


@attrs.define
class SlotBook:
    """Request state of a runner's agent, without I/O.

    Parameters
    ----------
    incarnation : str
        Incarnation of this agent; tokens that name another one are
        refused.
    limits : SlotLimits
        Limits on slots, queues and records.
    draining : bool
        Whether new work is refused.
    """

    incarnation: str
    limits: SlotLimits = SlotLimits()
    draining: bool = False
    _ended: EndedRecords = attrs.field(init=False)
    _live_by_token: dict[Token, SlotRecord] = attrs.Factory(dict)
    _urgent: deque[Token] = attrs.Factory(deque)
    _normal: deque[Token] = attrs.Factory(deque)
    _scopes: set[str] = attrs.Factory(set)
    _running: int = 0

    def __attrs_post_init__(self) -> None:
        self._ended = EndedRecords(
            self.limits.max_records, self.limits.max_result_bytes
        )

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        return self._running

    @property
    def in_flight(self) -> int:
        """Return the number of queued and running requests."""
        return len(self._live_by_token)

    @property
    def unacknowledged(self) -> int:
        """Return the number of answers that must be acknowledged."""
        return self._ended.unacknowledged

    @property
    def idle(self) -> bool:
        """Return whether a draining agent may exit without losing work."""
        return not self._live_by_token and not self.unacknowledged

    def offer(self, invoke: Invoke, now_s: float) -> list[Action]:
        """Start, queue or refuse a request, or answer a known token.

        Parameters
        ----------
        invoke : Invoke
            The request as received.
        now_s : float
            The agent's monotonic time in seconds.

        Returns
        -------
        list of Action
            Actions to execute in order; the last one concerns the
            request itself.
        """
        token = invoke.token
        known = self._known_token_action(token)
        if known is not None:
            return [known]
        actions = self.expire(now_s)
        self._scopes.add(token.scope)
        refusal = self._admission_refusal(invoke)
        if refusal is not None:
            return [*actions, self._refuse(token, *refusal)]
        self._live_by_token[token] = SlotRecord(
            token, SlotState.QUEUED, invoke, now_s + invoke.within_s
        )
        self._queue(invoke.urgent).append(token)
        started = self._start(now_s)
        if any(action.invoke.token == token for action in started):
            return [*actions, *started]
        return [*actions, *started, Waiting(token)]

    def finish(self, result: InvokeResult, now_s: float) -> list[Action]:
        """Complete a running token with the runner's full answer."""
        return self._complete(result.token, result, now_s)

    def fail(
        self, token: Token, refusal: Refused, now_s: float
    ) -> list[Action]:
        """Complete a running token without a full answer.

        Parameters
        ----------
        refusal : Refused
            ``ran`` is ``NO`` only if no byte of the request was sent to
            the runner, and ``UNKNOWN`` if the runner's answer was cut
            short.
        """
        return self._complete(token, refusal, now_s)

    def tombstone(self, token: Token) -> tuple[Tombstoned, list[Action]]:
        """Prevent a token from starting, unless it has already started.

        Returns
        -------
        tuple
            The answer, and the further actions to execute.
        """
        if token.incarnation != self.incarnation:
            return Tombstoned(token, Ran.UNKNOWN), []
        live = self._live_by_token.get(token)
        if live is not None and live.state is SlotState.QUEUED:
            reply = self._refuse_queued(
                live, "tombstoned", "it was tombstoned"
            )
            return Tombstoned(token, Ran.NO), [reply]
        record = live or self._ended.record_by_token.get(token)
        if record is not None:
            return Tombstoned(token, record.ran), []
        if self._exceeds_scope_limit(token.scope):
            return Tombstoned(token, Ran.NO), []
        if self._ended.forgotten(token):
            return Tombstoned(token, Ran.UNKNOWN), []
        self._scopes.add(token.scope)
        self._refuse(token, "tombstoned", "the token was tombstoned")
        return Tombstoned(token, Ran.NO), []

    def acknowledge(self, token: Token) -> None:
        """Drop an answer that is recorded elsewhere."""
        self._ended.drop_result(
            token,
            "result_recorded",
            "the request ran and its answer is recorded in its attempt",
        )

    def expire(self, now_s: float) -> list[Action]:
        """Refuse queued requests whose time to start has passed."""
        late = [
            record
            for record in self._live_by_token.values()
            if record.state is SlotState.QUEUED and now_s >= record.start_by_s
        ]
        return [
            self._refuse_queued(
                record, "expired", "its time to start passed in the queue"
            )
            for record in late
        ]

    def drain(self) -> list[Action]:
        """Start draining: refuse new and queued requests."""
        self.draining = True
        waiting = [
            record
            for record in self._live_by_token.values()
            if record.state is SlotState.QUEUED
        ]
        return [
            self._refuse_queued(record, "draining", "the endpoint is draining")
            for record in waiting
        ]

    def _known_token_action(self, token: Token) -> Action | None:
        if token.incarnation != self.incarnation:
            return _refusal(
                token,
                "former_incarnation",
                f"the token names incarnation {token.incarnation!r}, but this "
                f"agent is {self.incarnation!r}; resolve the attempt",
                Ran.UNKNOWN,
            )
        if token in self._live_by_token:
            return Waiting(token)
        record = self._ended.record_by_token.get(token)
        if record is not None:
            assert record.reply is not None
            return Reply(token, record.reply)
        if self._exceeds_scope_limit(token.scope):
            # This incarnation refuses all requests of the scope until it
            # exits, so the refusal needs no record.
            return _refusal(
                token,
                "too_many_entries",
                f"entry {token.scope!r} exceeds the limit of "
                f"{self.limits.max_scopes} tracked entries; restart the "
                "agent",
                Ran.NO,
            )
        if self._ended.forgotten(token):
            return _refusal(
                token,
                "token_too_old",
                f"dispatch {token.epoch} of {token.scope!r} is not newer than "
                "dispatches whose records were discarded; resolve the attempt",
                Ran.UNKNOWN,
            )
        return None

    def _admission_refusal(self, invoke: Invoke) -> tuple[str, str] | None:
        if self.draining:
            return "draining", "the endpoint is draining; try another one"
        if invoke.within_s <= 0:
            return "expired", "the time to start had already passed on arrival"
        if self._running < self.limits.slots:
            return None
        bound = self.limits.queue
        if invoke.urgent:
            bound = self.limits.urgent_queue
        if len(self._queue(invoke.urgent)) < bound:
            return None
        return "queue_full", f"all {bound} queue slots are taken"

    def _exceeds_scope_limit(self, scope: str) -> bool:
        if scope in self._scopes:
            return False
        return len(self._scopes) >= self.limits.max_scopes

    def _queue(self, urgent: bool) -> deque[Token]:
        return self._urgent if urgent else self._normal

    def _start(self, now_s: float) -> list[Start]:
        started = []
        while self._running < self.limits.slots:
            queue = self._urgent or self._normal
            if not queue:
                break
            record = self._live_by_token[queue.popleft()]
            record.state = SlotState.RUNNING
            self._running += 1
            assert record.invoke is not None
            left_s = record.start_by_s - now_s
            started.append(Start(attrs.evolve(record.invoke, within_s=left_s)))
        return started

    def _complete(
        self, token: Token, reply: InvokeResult | Refused, now_s: float
    ) -> list[Action]:
        record = self._live_by_token.get(token)
        if record is None or record.state is not SlotState.RUNNING:
            return []
        del self._live_by_token[token]
        self._running -= 1
        assert record.invoke is not None
        self._record_ended(token, reply, record.invoke.idempotent)
        actions = self.expire(now_s)
        return [Reply(token, reply), *actions, *self._start(now_s)]

    def _refuse_queued(self, record: SlotRecord, code: str, why: str) -> Reply:
        assert record.invoke is not None
        del self._live_by_token[record.token]
        self._queue(record.invoke.urgent).remove(record.token)
        return self._refuse(
            record.token, code, f"the request did not start: {why}"
        )

    def _refuse(self, token: Token, code: str, message: str) -> Reply:
        reply = _refusal(token, code, message, Ran.NO)
        self._record_ended(token, reply.message)
        return reply

    def _record_ended(
        self,
        token: Token,
        reply: InvokeResult | Refused,
        idempotent: bool = False,
    ) -> None:
        record = SlotRecord(token, SlotState.ENDED, reply=reply)
        record.idempotent = idempotent
        self._ended.add(record)


def _refusal(token: Token, code: str, message: str, ran: Ran) -> Reply:
    return Reply(token, Refused(code, message, ran, token))

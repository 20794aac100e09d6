"""Records of the tokens received by the agent of a runner."""

from __future__ import annotations

from collections import OrderedDict
from enum import StrEnum

import attrs

from filbertlb.errors import Ran
from filbertlb.messages import Invoke
from filbertlb.messages import InvokeResult
from filbertlb.messages import Refused
from filbertlb.messages import Token


class SlotState(StrEnum):
    """State of a token at its agent."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


@attrs.define
class SlotRecord:
    """Record of one token.

    Parameters
    ----------
    invoke : Invoke, optional
        The request, while it is queued or running.
    start_by_s : float
        Time on the agent's monotonic clock after which the request
        must not start.
    reply : InvokeResult or Refused, optional
        Reply to all messages about a token that has ended.
    idempotent : bool
        Whether the request may be run again if its answer is lost.
    """

    token: Token
    state: SlotState
    invoke: Invoke | None = None
    start_by_s: float = 0.0
    reply: InvokeResult | Refused | None = None
    idempotent: bool = False

    @property
    def ran(self) -> Ran:
        """Return whether the request has started, as far as known."""
        if self.state is SlotState.QUEUED:
            return Ran.NO
        if isinstance(self.reply, Refused):
            return self.reply.ran
        return Ran.YES


@attrs.define
class EndedRecords:
    """Records of ended tokens, bounded in number and bytes.

    Discarding a record raises the floor of its entry to the record's
    dispatch serial. Tokens of the same entry at or below the floor
    count as already seen, so a duplicate never starts, however late it
    arrives.

    Parameters
    ----------
    max_records : int
        Maximum number of records.
    max_result_bytes : int
        Maximum total size of the stored answers; the oldest are dropped
        first.
    """

    max_records: int
    max_result_bytes: int
    result_bytes: int = 0
    record_by_token: OrderedDict[Token, SlotRecord] = attrs.Factory(
        OrderedDict
    )
    result_tokens: OrderedDict[Token, int] = attrs.Factory(OrderedDict)
    floor_by_scope: dict[str, int] = attrs.Factory(dict)

    def add(self, record: SlotRecord) -> None:
        """Add a record and discard the oldest beyond the limits."""
        self.record_by_token[record.token] = record
        if isinstance(record.reply, InvokeResult):
            size = len(record.reply.body)
            self.result_tokens[record.token] = size
            self.result_bytes += size
        self._trim()

    def drop_result(self, token: Token, code: str, message: str) -> None:
        """Drop a stored answer but keep the record that its token ran."""
        size = self.result_tokens.pop(token, None)
        if size is None:
            return
        self.result_bytes -= size
        record = self.record_by_token[token]
        record.reply = Refused(code, message, Ran.YES, token)

    @property
    def unacknowledged(self) -> int:
        """Return the number of answers that may be stored only here.

        They are not acknowledged yet. Answers to idempotent requests
        do not count, because such a request can be run again.
        """
        return sum(
            not self.record_by_token[token].idempotent
            for token in self.result_tokens
        )

    def forgotten(self, token: Token) -> bool:
        """Return whether a token's record may have been discarded."""
        return token.epoch <= self.floor_by_scope.get(token.scope, -1)

    def _trim(self) -> None:
        while self.result_bytes > self.max_result_bytes:
            self.drop_result(
                next(iter(self.result_tokens)),
                "result_dropped",
                "the request ran but its answer was dropped: the limit on "
                "the size of stored answers was reached",
            )
        while len(self.record_by_token) > self.max_records:
            self._forget(next(iter(self.record_by_token)))

    def _forget(self, token: Token) -> None:
        size = self.result_tokens.pop(token, 0)
        self.result_bytes -= size
        del self.record_by_token[token]
        floor = self.floor_by_scope.get(token.scope, -1)
        self.floor_by_scope[token.scope] = max(floor, token.epoch)


@attrs.frozen
class SlotLimits:
    """Limits of a slot book.

    Parameters
    ----------
    slots : int
        Requests that run concurrently.
    queue : int
        Maximum number of queued requests, not counting urgent ones.
    urgent_queue : int
        Maximum number of queued urgent requests.
    max_records : int
        Maximum number of records of ended tokens.
    max_result_bytes : int
        Maximum total size of answers stored until acknowledged.
    max_scopes : int
        Maximum number of entry incarnations that are tracked.
    """

    slots: int = 8
    queue: int = 8
    urgent_queue: int = 8
    max_records: int = 10_000
    max_result_bytes: int = 16 * 1024 * 1024
    max_scopes: int = 4096


@attrs.frozen
class Start:
    """Send the request to the runner now."""

    invoke: Invoke


@attrs.frozen
class Waiting:
    """The request is queued or running; its reply follows."""

    token: Token


@attrs.frozen
class Reply:
    """Send the message to all callers waiting for the token."""

    token: Token
    message: InvokeResult | Refused


Action = Start | Waiting | Reply

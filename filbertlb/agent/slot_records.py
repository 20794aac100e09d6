"""Records of the tokens that a runner's agent has seen."""

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
    """Where a token stands at its agent."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


@attrs.define
class SlotRecord:
    """One token.

    Parameters
    ----------
    invoke : Invoke, optional
        The request while it waits or runs.
    start_by_s : float
        The agent's own monotonic time after which it must not start.
    reply : InvokeResult or Refused, optional
        What everyone who asks about an ended token is told.
    idempotent : bool
        Whether the request can simply be run again if its answer is
        lost.
    """

    token: Token
    state: SlotState
    invoke: Invoke | None = None
    start_by_s: float = 0.0
    reply: InvokeResult | Refused | None = None
    idempotent: bool = False

    @property
    def ran(self) -> Ran:
        """Return what is known about the start of the token."""
        if self.state is SlotState.QUEUED:
            return Ran.NO
        if isinstance(self.reply, Refused):
            return self.reply.ran
        return Ran.YES


@attrs.define
class EndedRecords:
    """Ended tokens, within bounds of count and bytes.

    A token that is forgotten leaves the serial of its dispatch behind:
    every token of the same entry with that serial or a lower one counts
    as seen. So a late duplicate never starts, however late it is.

    Parameters
    ----------
    max_records : int
        Ended tokens that are remembered one by one.
    max_result_bytes : int
        Bytes of answers that are kept; the oldest go first.
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
        """Remember an ended token and forget the oldest ones."""
        self.record_by_token[record.token] = record
        if isinstance(record.reply, InvokeResult):
            size = len(record.reply.body)
            self.result_tokens[record.token] = size
            self.result_bytes += size
        self._trim()

    def drop_result(self, token: Token, code: str, message: str) -> None:
        """Give up an answer but remember that its token ran."""
        size = self.result_tokens.pop(token, None)
        if size is None:
            return
        self.result_bytes -= size
        record = self.record_by_token[token]
        record.reply = Refused(code, message, Ran.YES, token)

    @property
    def unacknowledged(self) -> int:
        """Return the number of answers that only this agent may have."""
        return sum(
            not self.record_by_token[token].idempotent
            for token in self.result_tokens
        )

    def forgotten(self, token: Token) -> bool:
        """Tell whether a token without record may have been seen."""
        return token.epoch <= self.floor_by_scope.get(token.scope, -1)

    def _trim(self) -> None:
        while self.result_bytes > self.max_result_bytes:
            self.drop_result(
                next(iter(self.result_tokens)),
                "result_dropped",
                "the work ran but its answer is no longer kept; the "
                "bound on kept answers was reached",
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
    """Bounds of a book.

    Parameters
    ----------
    slots : int
        Requests that run at once.
    queue : int
        Requests that wait for a slot, urgent ones apart.
    urgent_queue : int
        Urgent requests that wait for a slot.
    max_records : int
        Ended tokens that are remembered one by one.
    max_result_bytes : int
        Bytes of answers that are kept until acknowledged.
    max_scopes : int
        Incarnations of entries that are remembered.
    """

    slots: int = 8
    queue: int = 8
    urgent_queue: int = 8
    max_records: int = 10_000
    max_result_bytes: int = 16 * 1024 * 1024
    max_scopes: int = 4096


@attrs.frozen
class Start:
    """Send this request to the runner now."""

    invoke: Invoke


@attrs.frozen
class Waiting:
    """The token waits or runs; its reply follows."""

    token: Token


@attrs.frozen
class Reply:
    """Send this to everyone who asked about the token."""

    token: Token
    message: InvokeResult | Refused


Action = Start | Waiting | Reply

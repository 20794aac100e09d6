"""Budget of the bytes that a process holds for its connections.

Answers clients that hold memory without making progress: bodies that are
stopped short of their end, many large bodies at once, and responses that
nobody reads. Memory held for incomplete requests, running requests and
unread responses is reserved before it is used. When the budget is short,
connections that hold most and progress least are closed first; a request
for which no room can be made is refused before it runs.

Nothing here does I/O; callers pass the time and close the connections that
a decision names.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import Any
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

KIB = 1024
MIB = 1024 * KIB
SMALL_BYTES = 64 * KIB
"""Most that a connection holds for a small request; a job is under 16 KiB."""
SMALL_SHARE = 1 / 8
"""Share of the budget that only small requests use."""
ADDRESS_SHARE = 3 / 4
"""Share of the budget for the large requests of one client address.

One address may be that of a load balancer with all callers behind it.
"""
PROGRESS_BYTES = 16 * KIB
"""Bytes that count as progress, so that single bytes now and then do not."""
STALLED_S = 1.0
"""Time without progress after which a connection may be closed for others.

A round trip between regions and a retransmission take less.
"""
CONNECTION_BYTES = 16 * KIB
"""Memory of a connection that sends nothing; measured as 15 KiB."""
HELD_SHARE = 1 / 5
"""Share of the machine's memory that is the budget.

An entry without load takes 45 MB of 160, its connections up to 20 MB and
answers that it reads up to 48 MB.
"""
CONNECTIONS_SHARE = 1 / 8
"""Share of the machine's memory for connections without a request."""
FILE_DESCRIPTORS = 200
"""Descriptors that the platform sets aside for files."""
OWN_DESCRIPTORS = 200
"""Descriptors for calls of the store, workers and other entries."""
MIN_CONNECTIONS = 32
ANSWER_SHARE = 1 / 5
"""Share of the machine's memory for one answer that the process reads.

On the smallest machine this is a full page of the store, 500 rows of 64 KiB.
"""
ANSWERS_SHARE = 3 / 10
"""Share of the machine's memory for all answers that are being read."""
LOG_PERIOD_S = 10.0
"""Least time between two log lines about one kind of refusal."""


class Phase(Enum):
    """What a connection does."""

    IDLE = "idle"
    READING = "reading"
    RUNNING = "running"
    WRITING = "writing"


class Verdict(Enum):
    """Outcome of a reservation."""

    GRANTED = "granted"
    PROCESS_FULL = "process_full"
    ADDRESS_FULL = "address_full"


@attrs.define(eq=False)
class Connection:
    """What is held for one connection.

    Parameters
    ----------
    address : str
        The client's address without its port.
    progress_s : float
        When it last changed its phase or made progress.
    large_bytes : int
        Part of the held bytes that counts for the client's address.
    owner : object, optional
        Whoever can close it; not used here.
    """

    address: str
    progress_s: float
    owner: Any = None
    phase: Phase = Phase.IDLE
    held_bytes: int = 0
    large_bytes: int = 0
    closing: bool = False
    served: bool = False
    _moved_bytes: int = 0

    def enter(self, phase: Phase, now_s: float) -> None:
        """Change the phase."""
        self.phase = phase
        self.progress_s = now_s
        self._moved_bytes = 0

    def move(self, count: int, now_s: float) -> None:
        """Note bytes that were received or sent."""
        self._moved_bytes += count
        if self._moved_bytes >= PROGRESS_BYTES:
            self._moved_bytes = 0
            self.progress_s = now_s


@attrs.frozen
class Decision:
    """Outcome of a reservation, and the connections to close for it."""

    verdict: Verdict
    closed: tuple[Connection, ...] = ()


_GRANTED = Decision(Verdict.GRANTED)


@attrs.frozen
class MachineBounds:
    """Bounds of a process that follow from its machine.

    Parameters
    ----------
    held_bytes : int
        Budget for requests and responses.
    connections : int
        Most connections of all listeners together.
    answer_bytes, answers_bytes : int
        Largest answer to a call, and most bytes of all answers being read.
    """

    held_bytes: int
    connections: int
    answer_bytes: int
    answers_bytes: int


def machine_bounds(memory_bytes: int, descriptors: int) -> MachineBounds:
    """Return the bounds for a machine's memory and descriptors."""
    connections = min(
        descriptors - FILE_DESCRIPTORS - OWN_DESCRIPTORS,
        int(memory_bytes * CONNECTIONS_SHARE) // CONNECTION_BYTES,
    )
    return MachineBounds(
        int(memory_bytes * HELD_SHARE),
        max(MIN_CONNECTIONS, connections),
        int(memory_bytes * ANSWER_SHARE),
        int(memory_bytes * ANSWERS_SHARE),
    )


@attrs.define
class AnswerBudget:
    """Budget of the bytes held for answers that are being read.

    Answers stores and workers whose answers do not end, or which are many
    and large at the same time.

    Parameters
    ----------
    answer_bytes : int
        Largest answer.
    total_bytes : int
        Most bytes of all answers being read. Answers of up to 64 KiB do
        not count, so that large ones never keep them from being read.

    Attributes
    ----------
    refused : int
        Answers that were not read to their end.
    """

    answer_bytes: int
    total_bytes: int
    held_bytes: int = 0
    refused: int = 0

    def grow(self, held: int, count: int) -> bool:
        """Reserve the next part of an answer of which some bytes are held."""
        if held + count <= SMALL_BYTES:
            return True
        over_answer = held + count > self.answer_bytes
        if over_answer or self.held_bytes + count > self.total_bytes:
            self.refused += 1
            return False
        self.held_bytes += count
        return True

    def release(self, count: int) -> None:
        """Release what was reserved for one answer."""
        self.held_bytes -= count


class Admission:
    """Budget of one process over all its listeners.

    Parameters
    ----------
    limit_bytes : int
        Most bytes held for requests and responses.

    Attributes
    ----------
    held_bytes : int
        Bytes held now.
    refusals : Counter
        Requests refused and connections closed since the start, by kind.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.connections: set[Connection] = set()
        self.refusals: Counter[str] = Counter()
        self._large_limit_bytes = int(limit_bytes * (1 - SMALL_SHARE))
        self._address_limit_bytes = int(limit_bytes * ADDRESS_SHARE)
        self._bytes_by_address: dict[str, int] = {}
        self._logged_by_kind: dict[str, tuple[float, int]] = {}

    def open(
        self, address: str, now_s: float, owner: Any = None
    ) -> Connection:
        """Return the record of a new connection."""
        connection = Connection(address, now_s, owner)
        self.connections.add(connection)
        return connection

    def close(self, connection: Connection) -> None:
        """Forget a connection and release what it holds."""
        self.release(connection)
        self.connections.discard(connection)

    def release(self, connection: Connection) -> None:
        """Release all bytes of a connection."""
        self.held_bytes -= connection.held_bytes
        connection.held_bytes = 0
        if connection.large_bytes:
            self._hold_large(connection, -connection.large_bytes)

    def reserve(
        self, connection: Connection, count: int, now_s: float
    ) -> Decision:
        """Reserve bytes that a request is about to take."""
        held = connection.held_bytes + count
        total = self.held_bytes + count
        if connection.closing:
            return Decision(Verdict.PROCESS_FULL)
        if held > SMALL_BYTES:
            return self._reserve_large(connection, count, now_s)
        closed: tuple[Connection, ...] = ()
        if total > self.limit_bytes:
            excess = total - self.limit_bytes
            others = self._others(connection)
            closed = _stalled(others, excess, now_s)
            closed = closed or _largest(others, excess)
            if not closed:
                return Decision(Verdict.PROCESS_FULL)
            self._release_all(closed)
        connection.held_bytes = held
        self.held_bytes += count
        return Decision(Verdict.GRANTED, closed) if closed else _GRANTED

    def _reserve_large(
        self, connection: Connection, count: int, now_s: float
    ) -> Decision:
        closed: tuple[Connection, ...] = ()
        address_bytes = self._bytes_by_address.get(connection.address, 0)
        excess = address_bytes + count - self._address_limit_bytes
        if excess > 0:
            neighbours = self._others(connection, connection.address)
            closed = _stalled(neighbours, excess, now_s)
            if not closed:
                return Decision(Verdict.ADDRESS_FULL)
            self._release_all(closed)
        excess = self.held_bytes + count - self._large_limit_bytes
        if excess > 0:
            more = _stalled(self._others(connection), excess, now_s)
            if not more:
                return Decision(Verdict.PROCESS_FULL, closed)
            self._release_all(more)
            closed += more
        connection.held_bytes += count
        self.held_bytes += count
        self._hold_large(connection, count)
        return Decision(Verdict.GRANTED, closed) if closed else _GRANTED

    def respond(
        self, connection: Connection, count: int, now_s: float
    ) -> tuple[Connection, ...]:
        """Hold a response in place of its request; return what to close.

        The request has run, so its response is never refused.
        """
        connection.enter(Phase.WRITING, now_s)
        self.release(connection)
        connection.held_bytes = count
        self.held_bytes += count
        excess = self.held_bytes - self.limit_bytes
        if excess <= 0:
            return ()
        closed = _stalled(self._others(connection), excess, now_s)
        self._release_all(closed)
        return closed

    def make_room(
        self, connections: Iterable[Connection], count: int, now_s: float
    ) -> tuple[Connection, ...]:
        """Return stalled connections to close so that others can connect."""
        stalled = [
            one
            for one in connections
            if one.phase is not Phase.RUNNING
            and not one.closing
            and now_s - one.progress_s >= STALLED_S
        ]
        # Clients that never completed a request go before kept connections.
        stalled.sort(key=lambda one: (one.served, one.progress_s))
        closed = tuple(stalled[:count])
        self._release_all(closed)
        return closed

    def count_refusal(self, kind: str, now_s: float) -> int:
        """Count a refusal; return how many to report now, mostly none."""
        self.refusals[kind] += 1
        logged_s, unreported = self._logged_by_kind.get(kind, (None, 0))
        unreported += 1
        if logged_s is not None and now_s - logged_s < LOG_PERIOD_S:
            self._logged_by_kind[kind] = (logged_s, unreported)
            return 0
        self._logged_by_kind[kind] = (now_s, 0)
        return unreported

    def _hold_large(self, connection: Connection, count: int) -> None:
        connection.large_bytes += count
        total = self._bytes_by_address.get(connection.address, 0) + count
        if total:
            self._bytes_by_address[connection.address] = total
        else:
            del self._bytes_by_address[connection.address]

    def _others(
        self, connection: Connection, address: str | None = None
    ) -> list[Connection]:
        """Return connections whose memory can be taken back."""
        return [
            one
            for one in self.connections
            if one is not connection
            and one.held_bytes
            and one.phase in (Phase.READING, Phase.WRITING)
            and (address is None or one.address == address)
        ]

    def _release_all(self, connections: Iterable[Connection]) -> None:
        for connection in connections:
            connection.closing = True
            self.release(connection)


def _stalled(
    connections: Iterable[Connection], excess_bytes: int, now_s: float
) -> tuple[Connection, ...]:
    """Return stalled connections that hold enough, the worst first."""
    stalled = [
        one for one in connections if now_s - one.progress_s >= STALLED_S
    ]
    stalled.sort(
        key=lambda one: one.held_bytes * (now_s - one.progress_s),
        reverse=True,
    )
    return _enough(stalled, excess_bytes)


def _largest(
    connections: Iterable[Connection], excess_bytes: int
) -> tuple[Connection, ...]:
    """Return incomplete large requests that hold enough."""
    large = [
        one
        for one in connections
        if one.phase is Phase.READING and one.held_bytes > SMALL_BYTES
    ]
    large.sort(key=lambda one: one.held_bytes, reverse=True)
    return _enough(large, excess_bytes)


def _enough(
    connections: list[Connection], excess_bytes: int
) -> tuple[Connection, ...]:
    """Return the first connections that hold the excess; none if too few."""
    found = []
    for connection in connections:
        if excess_bytes <= 0:
            break
        found.append(connection)
        excess_bytes -= connection.held_bytes
    return tuple(found) if excess_bytes <= 0 else ()

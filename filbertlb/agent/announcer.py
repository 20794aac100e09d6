"""Announces an endpoint to the entries, often and small."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.errors import FilbertlbError
from filbertlb.messages import AnnounceAck
from filbertlb.transport.link import OutboxFullError

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from filbertlb.messages import Announce
    from filbertlb.transport.codec import Envelope
    from filbertlb.transport.link import Link

DEFAULT_PERIOD_S = 1.0
MIN_PERIOD_S = 0.2
JITTER = 0.2
LOOKUP_PERIOD_S = 3.0
ENTRY_SILENCE_S = 10.0


@attrs.define
class _Entry:
    heard_at_s: float
    period_s: float = DEFAULT_PERIOD_S
    due_s: float = 0.0


class Announcer:
    """Behaviour that repeats an endpoint's announcement.

    Entries are learned from the answers of other entries and, while
    none answers, from the table service.

    Parameters
    ----------
    link : Link
        This process's link.
    describe : callable
        Returns the announcement of now, given its sequence number.
    look_up : callable
        Returns the addresses of entries from the table service.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        link: Link,
        describe: Callable[[int], Announce],
        look_up: Callable[[], tuple[str, ...]],
        rng: Random,
    ) -> None:
        self._link = link
        self._describe = describe
        self._look_up = look_up
        self._rng = rng
        self._sequence = 0
        self._look_up_due_s = 0.0
        self._entry_by_address: dict[str, _Entry] = {}

    def receive(self, message: Envelope, now_s: float) -> None:
        """Take an entry's answer, or send at once on a nudge."""
        ack = message.message
        if isinstance(ack, AnnounceAck):
            self._heard(message.sender, ack, now_s)

    def announce_now(self) -> None:
        """Make the next announcement to every entry due."""
        for entry in self._entry_by_address.values():
            entry.due_s = 0.0

    def tick(self, now_s: float) -> None:
        """Send what is due."""
        if now_s >= self._look_up_due_s and not self._answered(now_s):
            self._look_up_due_s = now_s + LOOKUP_PERIOD_S
            self._find_entries(now_s)
        due = [
            address
            for address, entry in self._entry_by_address.items()
            if entry.due_s <= now_s
        ]
        if not due:
            return
        self._sequence += 1
        announce = self._describe(self._sequence)
        for address in due:
            self._send(address, announce, now_s)

    def next_due_s(self, now_s: float) -> float:
        """Return the time of the next announcement in seconds."""
        dues = [entry.due_s for entry in self._entry_by_address.values()]
        if not self._answered(now_s):
            dues.append(self._look_up_due_s)
        return min(dues, default=now_s + DEFAULT_PERIOD_S)

    def _answered(self, now_s: float) -> bool:
        return any(
            now_s - entry.heard_at_s < LOOKUP_PERIOD_S
            for entry in self._entry_by_address.values()
        )

    def _find_entries(self, now_s: float) -> None:
        try:
            addresses = self._look_up()
        except FilbertlbError as error:
            logger.warning("entries can't be looked up: {}", error.message)
            return
        for address in addresses:
            self._entry_by_address.setdefault(
                address, _Entry(now_s - LOOKUP_PERIOD_S)
            )

    def _heard(self, address: str, ack: AnnounceAck, now_s: float) -> None:
        entry = self._entry_by_address.setdefault(address, _Entry(now_s))
        entry.heard_at_s = now_s
        entry.period_s = max(MIN_PERIOD_S, ack.period_s)
        for other in ack.entry_addresses:
            self._entry_by_address.setdefault(other, _Entry(now_s))
        silent = [
            known
            for known, other_entry in self._entry_by_address.items()
            if now_s - other_entry.heard_at_s > ENTRY_SILENCE_S
        ]
        for known in silent:
            del self._entry_by_address[known]

    def _send(self, address: str, announce: Announce, now_s: float) -> None:
        entry = self._entry_by_address[address]
        spread = self._rng.uniform(1 - JITTER, 1 + JITTER)
        entry.due_s = now_s + entry.period_s * spread
        try:
            self._link.send(address, announce)
        except OutboxFullError:
            logger.debug("outbox of {} is full", address)

"""Sends announcements of an endpoint to the entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.core.announcing import Announcer
from filbertlb.core.membership import BEATS_PER_ANSWER
from filbertlb.errors import FilbertlbError
from filbertlb.messages import AnnounceAck
from filbertlb.messages import Beat
from filbertlb.transport.codec import Envelope
from filbertlb.transport.link import OutboxFullError

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from filbertlb.core.announcing import AnnounceTarget
    from filbertlb.core.membership_times import MembershipTimes
    from filbertlb.messages import Announce
    from filbertlb.transport.link import Link

CHECK_PERIOD_S = 0.1
LOOKUP_PERIOD_S = 2.0
ENTRY_EXPIRY_S = 30.0
MAX_MISSED_ANSWERS = 2
"""Consecutive answers missed before entries are looked up again."""


class AnnouncerTask:
    """Behaviour that announces an endpoint periodically.

    Entry addresses come from the answers of other entries and, while
    no entry answers, from the table service.

    Parameters
    ----------
    link : Link
        Link of this process.
    describe : callable
        Returns the current announcement for a sequence number.
    look_up : callable
        Returns the entry addresses stored in the table service.
    times : MembershipTimes
        Announcement periods.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        link: Link,
        describe: Callable[[int], Announce],
        look_up: Callable[[], tuple[str, ...]],
        times: MembershipTimes,
        rng: Random,
    ) -> None:
        self.schedule = Announcer(times, rng)
        self._link = link
        self._describe = describe
        self._look_up = look_up
        self._heard_at_by_entry: dict[str, float] = {}
        self._look_up_due_s = 0.0
        self._tick_due_s = 0.0
        self._period_s = times.period_s
        self._last_answer_s = float("-inf")
        self._last_described: Announce | None = None

    def receive(self, message: Envelope, now_s: float) -> None:
        """Process the answer of an entry."""
        ack = message.message
        if isinstance(ack, AnnounceAck):
            self._last_answer_s = now_s
            self._period_s = ack.period_s
            self._update_entries(message.sender, ack, now_s)
            self.schedule.handle_ack(
                message.sender,
                ack.sequence,
                ack.period_s,
                ack.wants_full,
                now_s,
            )

    def tick(self, now_s: float) -> None:
        """Send due announcements, after an entry lookup if needed."""
        self._tick_due_s = now_s + CHECK_PERIOD_S
        self._detect_change(now_s)
        silent_s = now_s - self._last_answer_s
        max_silent_s = MAX_MISSED_ANSWERS * BEATS_PER_ANSWER * self._period_s
        if silent_s > max_silent_s and now_s >= self._look_up_due_s:
            self._look_up_due_s = now_s + LOOKUP_PERIOD_S
            self._look_up_entries(now_s)
        for target in self.schedule.due(now_s):
            self._send(target)

    def next_due_s(self, now_s: float) -> float:
        """Return the time of the next tick in seconds."""
        # Each tick also checks whether the endpoint has changed.
        return self._tick_due_s

    def _detect_change(self, now_s: float) -> None:
        described = attrs.evolve(self._describe(0), in_flight=0)
        if described == self._last_described:
            return
        self._last_described = described
        if described.draining:
            self.schedule.drain(now_s)
        self.schedule.announce_change(now_s)

    def _look_up_entries(self, now_s: float) -> None:
        try:
            addresses = self._look_up()
        except FilbertlbError as error:
            logger.warning(
                "entry lookup in the table service failed: {}", error.message
            )
            return
        for address in addresses:
            self._heard_at_by_entry[address] = now_s
        self.schedule.set_entries(self._heard_at_by_entry, now_s)

    def _update_entries(
        self, sender: str, ack: AnnounceAck, now_s: float
    ) -> None:
        for address in (sender, *ack.entry_addresses):
            self._heard_at_by_entry[address] = now_s
        for address, heard_at_s in list(self._heard_at_by_entry.items()):
            if now_s - heard_at_s > ENTRY_EXPIRY_S:
                del self._heard_at_by_entry[address]
        self.schedule.set_entries(self._heard_at_by_entry, now_s)

    def _send(self, target: AnnounceTarget) -> None:
        announce = self._describe(target.sequence)
        message: Announce | Beat = announce
        if not target.full:
            message = Beat(
                announce.endpoint_id,
                announce.incarnation,
                target.sequence,
                target.full_sequence,
                announce.in_flight,
            )
        try:
            self._link.send(target.entry, message)
        except OutboxFullError:
            logger.debug(
                "outbox of {} is full, announcement skipped", target.entry
            )

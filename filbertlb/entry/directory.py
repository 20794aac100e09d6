"""Membership directory of an entry: endpoints and other entries.

It is soft state, rebuilt from announcements within seconds.
"""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

import attrs

from filbertlb.core.announcing import announce_period_s
from filbertlb.core.members import ChangeKind
from filbertlb.core.membership import EndpointTable
from filbertlb.core.membership import EntryTable
from filbertlb.core.membership_times import MembershipTimes
from filbertlb.messages import Announce
from filbertlb.messages import AnnounceAck
from filbertlb.messages import Beat
from filbertlb.messages import EntryHello
from filbertlb.transport.link import OutboxFullError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from filbertlb.core.membership import MessageOutcome
    from filbertlb.messages import Role
    from filbertlb.transport.codec import Envelope
    from filbertlb.transport.link import Link

TICK_PERIOD_S = 0.25
CONTROL_BYTES_PER_S = 9000.0
EXCHANGE_BYTES = 245.0
"""Bytes of a beat and its share of an acknowledgement, with framing."""


class EndpointListener(Protocol):
    """Receives changes in the membership of endpoints."""

    def endpoint_seen(self, announce: Announce) -> None:
        """Handle an announcement; must not block."""
        ...

    def endpoint_lost(self, announce: Announce) -> None:
        """Handle an endpoint that was declared dead; must not block."""
        ...


@attrs.frozen
class KnownEndpoint:
    """Latest announcement of an endpoint.

    Parameters
    ----------
    heard_at_s : float
        Monotonic time of its last message, in seconds.
    """

    announce: Announce
    heard_at_s: float


class Directory:
    """Task behaviour that tracks the live endpoints and entries.

    Parameters
    ----------
    link : Link
        This process's link.
    entry_id : str
        Id of this entry.
    make_hello : callable
        Returns this entry's hello message.
    revision : callable
        Returns the configuration revision in force here.
    times : MembershipTimes
        Times of announcements and of failure detection.
    """

    def __init__(
        self,
        link: Link,
        entry_id: str,
        make_hello: Callable[[], EntryHello],
        revision: Callable[[], int],
        times: MembershipTimes | None = None,
    ) -> None:
        self.times = times or MembershipTimes()
        self.endpoint_table = EndpointTable(self.times)
        self.entry_table = EntryTable(self.times)
        self.listeners: list[EndpointListener] = []
        self._link = link
        self._entry_id = entry_id
        self._make_hello = make_hello
        self._revision = revision
        self._seed_addresses: set[str] = set()
        self._hello_due_s = 0.0
        self._tick_due_s = 0.0

    def seed(self, addresses: Iterable[str]) -> None:
        """Also send hellos to these addresses until an entry there replies."""
        self._seed_addresses.update(addresses)
        self._seed_addresses.discard(self._link.address)

    def endpoint_ids(self) -> list[str]:
        """Return the ids of endpoints that may get new work."""
        return sorted(self.endpoint_table.members.usable_ids())

    def entry_ids(self) -> list[str]:
        """Return the ids of this entry and the other live ones."""
        others = set(self.entry_table.usable_ids())
        return sorted(others | {self._entry_id})

    def endpoints(self, role: Role) -> list[KnownEndpoint]:
        """Return the endpoints of a role that may get new work."""
        members = self.endpoint_table.members
        return [
            KnownEndpoint(
                announce, members.by_id[announce.endpoint_id].heard_at_s
            )
            for announce in self.endpoint_table.usable()
            if announce.role == role
        ]

    def address_of(self, endpoint_id: str) -> str | None:
        """Return the address of an endpoint, or None if unknown."""
        announce = self.endpoint_table.announce_by_id.get(endpoint_id)
        return None if announce is None else announce.address

    def revision_by_id(self) -> dict[str, int]:
        """Return the revision last announced by each known process."""
        hellos = self.entry_table.hello_by_id
        announces = self.endpoint_table.announce_by_id
        return {
            **{key: hello.revision for key, hello in hellos.items()},
            **{key: known.revision for key, known in announces.items()},
        }

    def entry_addresses(self) -> tuple[str, ...]:
        """Return the live entries' addresses; own only if not draining."""
        others = set(self.entry_table.addresses()) - {self._link.address}
        if self._make_hello().draining:
            return tuple(sorted(others))
        return (self._link.address, *sorted(others))

    def receive(self, envelope: Envelope, now_s: float) -> None:
        """Handle an announcement, a beat or a hello."""
        message = envelope.message
        if isinstance(message, EntryHello):
            self._receive_hello(message, now_s)
        elif isinstance(message, Announce | Beat):
            self._receive_announcement(envelope, message, now_s)

    def tick(self, now_s: float) -> None:
        """Send hellos that are due and report endpoints found dead."""
        self._tick_due_s = now_s + TICK_PERIOD_S
        if now_s >= self._hello_due_s:
            self._hello_due_s = now_s + self.times.period_s
            self._send_hellos()
        self.entry_table.tick(now_s)
        known = dict(self.endpoint_table.announce_by_id)
        for change in self.endpoint_table.tick(now_s):
            if change.kind is ChangeKind.DEAD:
                self._notify_lost(known[change.member_id])

    def next_due_s(self, now_s: float) -> float:
        """Return the time of the next tick in seconds."""
        return self._tick_due_s

    def _receive_announcement(
        self, envelope: Envelope, message: Announce | Beat, now_s: float
    ) -> None:
        table = self.endpoint_table
        period_s = self._announce_period_s()
        if isinstance(message, Announce):
            heard = table.announced(message, period_s, now_s)
        else:
            is_behind = self._is_behind(message)
            heard = table.beat(message, period_s, now_s, is_behind)
        if heard.answer:
            self._acknowledge(
                envelope.sender, message.sequence, heard, period_s
            )
        if not heard.accepted:
            return
        announce = table.announce_by_id[message.endpoint_id]
        should_notify = isinstance(message, Announce) or heard.changes
        for listener in self.listeners if should_notify else ():
            listener.endpoint_seen(announce)

    def _is_behind(self, beat: Beat) -> bool:
        """Tell whether an endpoint last announced an older revision."""
        known = self.endpoint_table.announce_by_id.get(beat.endpoint_id)
        return known is not None and known.revision < self._revision()

    def _acknowledge(
        self,
        address: str,
        sequence: int,
        heard: MessageOutcome,
        period_s: float,
    ) -> None:
        ack = AnnounceAck(
            self._entry_id,
            self.entry_addresses(),
            period_s,
            self._revision(),
            sequence,
            heard.wants_full,
        )
        self._send(address, ack)

    def _announce_period_s(self) -> float:
        return announce_period_s(
            max(1, len(self.endpoint_table.announce_by_id)),
            EXCHANGE_BYTES,
            CONTROL_BYTES_PER_S,
            self.times,
        )

    def _notify_lost(self, announce: Announce) -> None:
        for listener in self.listeners:
            listener.endpoint_lost(announce)

    def _receive_hello(self, hello: EntryHello, now_s: float) -> None:
        if hello.entry_id != self._entry_id:
            self.entry_table.heard(hello, now_s)
            self._seed_addresses.discard(hello.address)

    def _send_hellos(self) -> None:
        hello = self._make_hello()
        known = set(self.entry_table.addresses())
        for address in (known | self._seed_addresses) - {self._link.address}:
            self._send(address, hello)

    def _send(self, address: str, message: AnnounceAck | EntryHello) -> None:
        try:
            self._link.send(address, message)
        except OutboxFullError:
            # Hellos and acknowledgements are sent periodically.
            return

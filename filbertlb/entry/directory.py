"""What an entry knows of the endpoints and of the other entries.

It is soft state, rebuilt from announcements within seconds.
"""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

import attrs

from filbertlb.messages import Announce
from filbertlb.messages import AnnounceAck
from filbertlb.messages import EntryHello
from filbertlb.messages import Role

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from filbertlb.transport.codec import Envelope
    from filbertlb.transport.link import Link

ANNOUNCE_PERIOD_S = 1.0
HELLO_PERIOD_S = 1.0
SILENCE_S = 5.0


class EndpointListener(Protocol):
    """Whoever acts on the coming and going of endpoints."""

    def endpoint_seen(self, announce: Announce) -> None:
        """Take an announcement; must not block."""
        ...

    def endpoint_lost(self, announce: Announce) -> None:
        """Take the silence of an endpoint; must not block."""
        ...


@attrs.define
class KnownEndpoint:
    """Newest announcement of an endpoint.

    Parameters
    ----------
    heard_at_s : float
        Monotonic time of its receipt in seconds.
    """

    announce: Announce
    heard_at_s: float


@attrs.define
class KnownEntry:
    """Newest greeting of another entry."""

    hello: EntryHello
    heard_at_s: float


class Directory:
    """Behaviour that keeps endpoints and entries up to date.

    Parameters
    ----------
    link : Link
        This process's link.
    entry_id : str
        This entry.
    greet : callable
        Returns this entry's greeting.
    """

    def __init__(
        self, link: Link, entry_id: str, greet: Callable[[], EntryHello]
    ) -> None:
        self.endpoint_by_id: dict[str, KnownEndpoint] = {}
        self.entry_by_id: dict[str, KnownEntry] = {}
        self.listeners: list[EndpointListener] = []
        self._link = link
        self._entry_id = entry_id
        self._greet = greet
        self._seed_addresses: set[str] = set()
        self._hello_due_s = 0.0

    def seed(self, addresses: Iterable[str]) -> None:
        """Greet these addresses too, until they answer."""
        self._seed_addresses.update(addresses)
        self._seed_addresses.discard(self._link.address)

    def endpoints(self, role: Role) -> list[KnownEndpoint]:
        """Return the endpoints of a role."""
        return [
            known
            for known in self.endpoint_by_id.values()
            if known.announce.role == role
        ]

    def revision_by_id(self) -> dict[str, int]:
        """Return the revision that each known process has announced."""
        entries = {
            entry_id: known.hello.revision
            for entry_id, known in self.entry_by_id.items()
        }
        endpoints = {
            endpoint_id: known.announce.revision
            for endpoint_id, known in self.endpoint_by_id.items()
        }
        return entries | endpoints

    def entry_addresses(self) -> tuple[str, ...]:
        """Return the addresses of this entry and all live ones."""
        others = [
            known.hello.address
            for known in self.entry_by_id.values()
            if not known.hello.draining
        ]
        return (self._link.address, *others)

    def receive(self, envelope: Envelope, now_s: float) -> None:
        """Take an announcement or a greeting."""
        message = envelope.message
        if isinstance(message, Announce):
            self._announced(envelope, message, now_s)
        elif isinstance(message, EntryHello):
            self._greeted(message, now_s)

    def tick(self, now_s: float) -> None:
        """Greet the others and drop who has been silent."""
        if now_s >= self._hello_due_s:
            self._hello_due_s = now_s + HELLO_PERIOD_S
            self._greet_all()
        self._drop_silent(now_s)

    def next_due_s(self, now_s: float) -> float:
        """Return the time of the next tick in seconds."""
        return self._hello_due_s

    def _announced(
        self, envelope: Envelope, announce: Announce, now_s: float
    ) -> None:
        known = self.endpoint_by_id.get(announce.endpoint_id)
        if known is not None and _is_older(announce, known.announce):
            return
        self.endpoint_by_id[announce.endpoint_id] = KnownEndpoint(
            announce, now_s
        )
        ack = AnnounceAck(
            self._entry_id,
            self.entry_addresses(),
            ANNOUNCE_PERIOD_S,
        )
        self._link.send(envelope.sender, ack)
        for listener in self.listeners:
            listener.endpoint_seen(announce)

    def _greeted(self, hello: EntryHello, now_s: float) -> None:
        if hello.entry_id == self._entry_id:
            return
        self.entry_by_id[hello.entry_id] = KnownEntry(hello, now_s)
        self._seed_addresses.discard(hello.address)

    def _greet_all(self) -> None:
        hello = self._greet()
        addresses = {k.hello.address for k in self.entry_by_id.values()}
        for address in addresses | self._seed_addresses:
            self._link.send(address, hello)

    def _drop_silent(self, now_s: float) -> None:
        limit_s = now_s - SILENCE_S
        for endpoint_id, known in list(self.endpoint_by_id.items()):
            if known.heard_at_s < limit_s:
                del self.endpoint_by_id[endpoint_id]
                for listener in self.listeners:
                    listener.endpoint_lost(known.announce)
        for entry_id, entry in list(self.entry_by_id.items()):
            if entry.heard_at_s < limit_s:
                del self.entry_by_id[entry_id]


def _is_older(new: Announce, old: Announce) -> bool:
    return new.incarnation == old.incarnation and new.sequence <= old.sequence

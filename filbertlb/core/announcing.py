"""When an agent announces its endpoint, to whom and how fully."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from filbertlb.core.membership_times import MembershipTimes

CHANGE_DELAY_S = 0.1
"""Longest time by which a change waits for others to go with it."""

MEMBERSHIP_SHARE = 0.7
"""Share of a daemon's control budget that announcements may use."""


def announce_period_s(
    members: int,
    bytes_per_exchange: float,
    budget_bytes_per_s: float,
    times: MembershipTimes,
) -> float:
    """Return the period that an entry tells its members, in seconds.

    Parameters
    ----------
    members : int
        Members that announce themselves at this period.
    bytes_per_exchange : float
        Bytes of one beat and its answer.
    budget_bytes_per_s : float
        Bytes a second that the entry may spend on control.
    """
    share = budget_bytes_per_s * MEMBERSHIP_SHARE
    needed_s = members * bytes_per_exchange / share
    return min(max(needed_s, times.period_s), times.max_period_s)


@attrs.frozen
class AnnounceTarget:
    """An entry to announce to now.

    Parameters
    ----------
    sequence : int
        Sequence of the announcement.
    full : bool
        Whether the whole announcement is needed; a beat will do if not.
    full_sequence : int
        Sequence of the full announcement that a beat stands for.
    """

    entry: str
    sequence: int
    full: bool
    full_sequence: int


@attrs.define
class _Peer:
    due_s: float
    period_s: float
    full_sent: int = 0
    full_acked: int = 0
    drain_acked: bool = False


class Announcer:
    """Plans the announcements of one endpoint.

    An entry that decides for the endpoint's scope tells a short period,
    the others a long one; a leaving endpoint repeats itself to each
    entry until that one has acknowledged.

    Parameters
    ----------
    times : MembershipTimes
        Times of announcements.
    rng : Random
        Source of jitter.
    """

    def __init__(self, times: MembershipTimes, rng: Random) -> None:
        self.sequence = 0
        self.draining = False
        self._times = times
        self._rng = rng
        self._peer_by_entry: dict[str, _Peer] = {}
        self._changed_at = 1
        self._drain_from = 0

    def set_entries(self, entries: Iterable[str], now_s: float) -> None:
        """Announce to these entries from now on.

        New ones are met within one period at random, so that a new
        entry isn't met by all endpoints at once.
        """
        wanted = set(entries)
        for entry in self._peer_by_entry.keys() - wanted:
            del self._peer_by_entry[entry]
        for entry in sorted(wanted - self._peer_by_entry.keys()):
            delay_s = self._rng.random() * self._times.period_s
            self._peer_by_entry[entry] = _Peer(
                now_s + delay_s, self._times.period_s
            )

    def announce_change(self, now_s: float) -> None:
        """Announce soon, in full: the state of the endpoint changed."""
        self._changed_at = self.sequence + 1
        for peer in self._peer_by_entry.values():
            peer.due_s = min(peer.due_s, now_s + CHANGE_DELAY_S)

    def drain(self, now_s: float) -> None:
        """Announce at once, again and again, that the endpoint leaves."""
        if self.draining:
            return
        self.draining = True
        self._changed_at = self._drain_from = self.sequence + 1
        for peer in self._peer_by_entry.values():
            peer.due_s = now_s

    def is_drain_acknowledged(self) -> bool:
        """Tell whether every entry has acknowledged the leaving."""
        return self.draining and all(
            peer.drain_acked for peer in self._peer_by_entry.values()
        )

    def due(self, now_s: float) -> list[AnnounceTarget]:
        """Return the announcements to send now and plan the next."""
        targets = []
        for entry, peer in self._peer_by_entry.items():
            if peer.due_s <= now_s:
                targets.append(self._send(entry, peer))
                peer.due_s = now_s + self._wait_s(peer)
        return targets

    def next_due_s(self) -> float | None:
        """Return the monotonic time of the next call of ``due``."""
        dues = (peer.due_s for peer in self._peer_by_entry.values())
        return min(dues, default=None)

    def handle_ack(
        self,
        entry: str,
        sequence: int,
        period_s: float,
        wants_full: bool,
        now_s: float,
    ) -> None:
        """Take note of an entry's answer.

        A shorter period than before, as from a new decider, is met
        within that period from now on.
        """
        peer = self._peer_by_entry.get(entry)
        if peer is None:
            return
        peer.period_s = period_s
        peer.due_s = min(peer.due_s, now_s + self._wait_s(peer))
        if wants_full:
            peer.full_sent = peer.full_acked = 0
            peer.due_s = min(peer.due_s, now_s + CHANGE_DELAY_S)
        elif peer.full_sent and sequence >= peer.full_sent:
            peer.full_acked = peer.full_sent
        if self.draining and sequence >= self._drain_from:
            peer.drain_acked = True

    def _send(self, entry: str, peer: _Peer) -> AnnounceTarget:
        self.sequence += 1
        full = peer.full_acked < self._changed_at
        if full:
            peer.full_sent = self.sequence
        return AnnounceTarget(entry, self.sequence, full, peer.full_sent)

    def _wait_s(self, peer: _Peer) -> float:
        if self.draining and not peer.drain_acked:
            return self._times.drain_repeat_s
        early = self._rng.random() * self._times.jitter
        return peer.period_s * (1.0 - early)

"""Schedule of the announcements that an agent sends to entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from filbertlb.core.membership_times import MembershipTimes

CHANGE_DELAY_S = 0.1
"""Longest delay, in seconds, for coalescing changes in one announcement."""

MEMBERSHIP_SHARE = 0.7
"""Share of a daemon's control bandwidth that announcements may use."""


def announce_period_s(
    members: int,
    bytes_per_exchange: float,
    budget_bytes_per_s: float,
    times: MembershipTimes,
) -> float:
    """Return the announcement period that fits the bandwidth, in seconds.

    The period is stretched so that announcements and their answers stay
    within ``MEMBERSHIP_SHARE`` of the budget, up to ``max_period_s``.

    Parameters
    ----------
    members : int
        Number of members that announce themselves at this period.
    bytes_per_exchange : float
        Bytes of one beat and of its answer.
    budget_bytes_per_s : float
        Bandwidth of the entry for control messages, in bytes per second.
    """
    share = budget_bytes_per_s * MEMBERSHIP_SHARE
    needed_s = members * bytes_per_exchange / share
    return min(max(needed_s, times.period_s), times.max_period_s)


@attrs.frozen
class AnnounceTarget:
    """Announcement that is due to one entry.

    Parameters
    ----------
    sequence : int
        Sequence number of the announcement.
    full : bool
        Whether to send the full announcement; otherwise a beat is
        enough.
    full_sequence : int
        Sequence number of the full announcement that a beat refers to.
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

    The entry that decides for the scope of the endpoint asks for a short
    period, the others for a long one. An endpoint that drains repeats its
    announcement to each entry until that entry acknowledges it.

    Parameters
    ----------
    times : MembershipTimes
        Periods and jitter of announcements.
    rng : Random
        Source of jitter.
    """

    def __init__(self, times: MembershipTimes, rng: Random) -> None:
        self.sequence = 0
        self.draining = False
        self._times = times
        self._rng = rng
        self._peer_by_entry: dict[str, _Peer] = {}
        self._change_sequence = 1
        self._drain_sequence = 0

    def set_entries(self, entries: Iterable[str], now_s: float) -> None:
        """Set the entries to announce to.

        The first announcement to a new entry is delayed by a random part
        of one period, so that not all endpoints announce themselves to
        the new entry at once.
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
        """Schedule a full announcement after a change of the endpoint."""
        self._change_sequence = self.sequence + 1
        for peer in self._peer_by_entry.values():
            peer.due_s = min(peer.due_s, now_s + CHANGE_DELAY_S)

    def drain(self, now_s: float) -> None:
        """Announce the drain at once and repeat it until acknowledged."""
        if self.draining:
            return
        self.draining = True
        self._change_sequence = self._drain_sequence = self.sequence + 1
        for peer in self._peer_by_entry.values():
            peer.due_s = now_s

    def is_drain_acknowledged(self) -> bool:
        """Return whether every entry has acknowledged the drain."""
        return self.draining and all(
            peer.drain_acked for peer in self._peer_by_entry.values()
        )

    def due(self, now_s: float) -> list[AnnounceTarget]:
        """Return the announcements to send now and schedule the next."""
        targets = []
        for entry, peer in self._peer_by_entry.items():
            if peer.due_s <= now_s:
                targets.append(self._send(entry, peer))
                peer.due_s = now_s + self._wait_s(peer)
        return targets

    def next_due_s(self) -> float | None:
        """Return the monotonic time at which to call ``due`` next."""
        due_times = (peer.due_s for peer in self._peer_by_entry.values())
        return min(due_times, default=None)

    def handle_ack(
        self,
        entry: str,
        sequence: int,
        period_s: float,
        wants_full: bool,
        now_s: float,
    ) -> None:
        """Process an acknowledgement from an entry.

        If the period became shorter, for example because the entry now
        decides for the scope, the next announcement is sent within the
        new period.
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
        if self.draining and sequence >= self._drain_sequence:
            peer.drain_acked = True

    def _send(self, entry: str, peer: _Peer) -> AnnounceTarget:
        self.sequence += 1
        full = peer.full_acked < self._change_sequence
        if full:
            peer.full_sent = self.sequence
        return AnnounceTarget(entry, self.sequence, full, peer.full_sent)

    def _wait_s(self, peer: _Peer) -> float:
        if self.draining and not peer.drain_acked:
            return self._times.drain_repeat_s
        jitter = self._rng.random() * self._times.jitter
        return peer.period_s * (1.0 - jitter)

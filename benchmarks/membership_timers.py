"""Announcement timers and ways of spreading, in virtual time.

The plain way, a fixed period with jitter and answers from entries, is
compared with two ideas of Brandon, "Design and Analysis of a Gossip
Algorithm": exponential timers, and a root that answers each caller with
the caller before it as a random peer.
"""

from __future__ import annotations

from bisect import bisect
from heapq import heapify
from heapq import heappop
from heapq import heappush
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from filbertlb.core.membership_times import MembershipTimes

    Wait = Callable[[], float]

BUCKET_S = 0.1
DEATHS_PER_MEMBER = 50


@attrs.frozen
class TimerResult:
    """How a timer did.

    Parameters
    ----------
    peak_share : float
        Most messages in one bucket, relative to the mean.
    false_suspects_per_hour : float
        Members wrongly suspected an hour, for all members.
    detect_p50_s, detect_p99_s : float
        Time from a death to its suspicion at the same threshold.
    """

    peak_share: float
    false_suspects_per_hour: float
    detect_p50_s: float
    detect_p99_s: float


def jittered(times: MembershipTimes, period_s: float, rng: Random) -> Wait:
    """Return the waits of the plain way."""

    def wait() -> float:
        return period_s * (1.0 - rng.random() * times.jitter)

    return wait


def exponential(times: MembershipTimes, period_s: float, rng: Random) -> Wait:
    """Return memoryless waits of the same mean."""
    mean_s = period_s * (1.0 - times.jitter / 2)

    def wait() -> float:
        return rng.expovariate(1.0 / mean_s)

    return wait


def run_timer(
    wait: Wait,
    members: int,
    threshold_s: float,
    loss: float,
    duration_s: float,
    rng: Random,
) -> TimerResult:
    """Let members announce themselves and watch them."""
    dues = [(rng.random() * wait(), index) for index in range(members)]
    heapify(dues)
    heard_by_member: list[list[float]] = [[0.0] for _ in range(members)]
    bucket_counts: dict[int, int] = {}
    false_suspects = 0
    while dues[0][0] < duration_s:
        now_s, index = heappop(dues)
        heappush(dues, (now_s + wait(), index))
        bucket = int(now_s / BUCKET_S)
        bucket_counts[bucket] = bucket_counts.get(bucket, 0) + 1
        if rng.random() < loss:
            continue
        heard = heard_by_member[index]
        false_suspects += now_s - heard[-1] > threshold_s
        heard.append(now_s)
    detects_s = sorted(
        _detect_s(heard, rng.random() * duration_s, threshold_s)
        for heard in heard_by_member
        for _ in range(DEATHS_PER_MEMBER)
    )
    mean = sum(bucket_counts.values()) / (duration_s / BUCKET_S)
    return TimerResult(
        peak_share=max(bucket_counts.values()) / mean,
        false_suspects_per_hour=false_suspects * 3600.0 / duration_s,
        detect_p50_s=detects_s[len(detects_s) // 2],
        detect_p99_s=detects_s[int(len(detects_s) * 0.99)],
    )


def _detect_s(heard: list[float], died_s: float, threshold_s: float) -> float:
    last_s = heard[bisect(heard, died_s) - 1]
    return max(0.0, last_s + threshold_s - died_s)


def spread_by_entries(
    members: int, entries: int, period_s: float, hello_s: float, rng: Random
) -> list[float]:
    """Return when each member knows a revision that one entry knows."""
    entry_knows_s = [0.0]
    entry_knows_s += [rng.random() * hello_s for _ in range(entries - 1)]
    known_s = []
    for _ in range(members):
        # Each member announces itself to every entry once a period.
        firsts_s = []
        for knows_s in entry_knows_s:
            offset_s = rng.random() * period_s
            while offset_s < knows_s:
                offset_s += period_s
            firsts_s.append(offset_s)
        known_s.append(min(firsts_s))
    return sorted(known_s)


def spread_by_samples(
    members: int, period_s: float, rng: Random
) -> list[float]:
    """Return when each member knows what one member knows at first.

    At exponential times a member gets the root's last caller as a peer
    and asks that one; no entry knows the revision.
    """
    known_s = {0: 0.0}
    last_caller = 0
    dues = [(rng.expovariate(1 / period_s), i) for i in range(members)]
    heapify(dues)
    while len(known_s) < members:
        now_s, index = heappop(dues)
        heappush(dues, (now_s + rng.expovariate(1 / period_s), index))
        peer, last_caller = last_caller, index
        if peer in known_s or index in known_s:
            known_s.setdefault(index, now_s)
            known_s.setdefault(peer, now_s)
    return sorted(known_s.values())

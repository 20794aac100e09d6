"""The site's shared budget of reads and writes of the table service."""

from __future__ import annotations

from collections import OrderedDict
from enum import IntEnum
from typing import Generic
from typing import TypeVar

import attrs

SITE_WRITES_PER_S = 300.0
SITE_READS_PER_S = 1000.0
USED_SHARE = 0.8
BURST_S = 0.25
MIN_ENTRIES = 3
MAX_BATCH = 50

T = TypeVar("T")


@attrs.define
class TokenBucket:
    """Allows a rate on average and a short burst.

    Parameters
    ----------
    rate_per_s : float
        Tokens added each second.
    burst : float
        Most tokens that are saved.
    """

    rate_per_s: float
    burst: float
    _saved: float = 0.0
    _at_s: float | None = None

    def set_rate(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Change the rate from now on."""
        self._refill(now_s)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._saved = min(self._saved, burst)

    def available(self, now_s: float) -> int:
        """Return how many tokens can be taken now."""
        self._refill(now_s)
        return int(self._saved + 1e-9)

    def take(self, count: int, now_s: float) -> bool:
        """Take tokens, or none if there are too few."""
        if count > self.available(now_s):
            return False
        self._saved -= count
        return True

    def wait_s(self, count: int, now_s: float) -> float:
        """Return the seconds until so many tokens are there."""
        self._refill(now_s)
        return max(0.0, count - self._saved) / self.rate_per_s

    def _refill(self, now_s: float) -> None:
        if self._at_s is not None:
            added = (now_s - self._at_s) * self.rate_per_s
            self._saved = min(self.burst, self._saved + max(0.0, added))
        self._at_s = now_s


@attrs.define
class TableBudget:
    """Share of the site's budget that one entry uses.

    An entry that has just started knows few of the others, so it never
    reckons with fewer than ``min_entries``. A full bucket and a second
    of the rate together stay within the site's budget.

    Parameters
    ----------
    writes, reads : TokenBucket
        This entry's buckets; rows written and calls that read.
    """

    site_writes_per_s: float = SITE_WRITES_PER_S
    site_reads_per_s: float = SITE_READS_PER_S
    min_entries: int = MIN_ENTRIES
    writes: TokenBucket = attrs.field(init=False)
    reads: TokenBucket = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.writes = TokenBucket(1.0, 1.0)
        self.reads = TokenBucket(1.0, 1.0)
        self.set_live_entries(self.min_entries, 0.0)

    def set_live_entries(self, count: int, now_s: float) -> None:
        """Share the site's budget among the live entries."""
        share = USED_SHARE / max(self.min_entries, count)
        for bucket, site_per_s in (
            (self.writes, self.site_writes_per_s),
            (self.reads, self.site_reads_per_s),
        ):
            rate_per_s = site_per_s * share
            burst = max(1.0, rate_per_s * BURST_S)
            bucket.set_rate(rate_per_s, burst, now_s)


class WritePriority(IntEnum):
    """Order in which waiting writes are sent; the lowest goes first."""

    ACCEPT = 0
    ANSWER = 1
    CANCEL = 2
    HOUSEKEEPING = 3


@attrs.frozen
class PendingWrite(Generic[T]):
    """A write that waits for the budget.

    Parameters
    ----------
    key : str
        Row key; a newer write of the same key takes the older's place.
    alone : bool
        Sent by itself, since it failed in a batch.
    """

    key: str
    priority: WritePriority
    payload: T
    alone: bool = False


@attrs.define
class WriteBacklog(Generic[T]):
    """Waiting writes, sent in batches within the budget.

    Parameters
    ----------
    bound : int
        Most writes that wait.
    max_batch : int
        Most rows of one transaction.
    """

    bound: int = 10_000
    max_batch: int = MAX_BATCH
    _by_priority: dict[WritePriority, OrderedDict[str, PendingWrite[T]]] = (
        attrs.Factory(lambda: {one: OrderedDict() for one in WritePriority})
    )

    def __len__(self) -> int:
        return sum(map(len, self._by_priority.values()))

    def add(self, write: PendingWrite[T]) -> bool:
        """Take in a write; return False if all places are taken."""
        for waiting in self._by_priority.values():
            if waiting.pop(write.key, None) is not None:
                self._by_priority[write.priority][write.key] = write
                return True
        if len(self) >= self.bound:
            return False
        self._by_priority[write.priority][write.key] = write
        return True

    def take(self, bucket: TokenBucket, now_s: float) -> list[PendingWrite[T]]:
        """Return the next batch that the budget allows, maybe empty."""
        room = min(self.max_batch, bucket.available(now_s))
        batch: list[PendingWrite[T]] = []
        for waiting in self._by_priority.values():
            for write in list(waiting.values()):
                if len(batch) >= room or (write.alone and batch):
                    break
                batch.append(waiting.pop(write.key))
                if write.alone:
                    room = 0
        bucket.take(len(batch), now_s)
        return batch

    def requeue(self, batch: list[PendingWrite[T]], *, alone: bool) -> None:
        """Queue a batch again at the front, unless newer writes wait.

        Parameters
        ----------
        alone : bool
            Whether the transaction conflicted, so that each write is
            sent by itself; False if the service was unavailable.
        """
        for write in reversed(batch):
            waiting = self._by_priority[write.priority]
            if any(write.key in one for one in self._by_priority.values()):
                continue
            waiting[write.key] = attrs.evolve(
                write, alone=alone or write.alone
            )
            waiting.move_to_end(write.key, last=False)

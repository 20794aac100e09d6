"""Rate limits of reads and writes at the table service of a site."""

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
    """Token bucket that limits the average rate and allows short bursts.

    Parameters
    ----------
    rate_per_s : float
        Tokens added per second.
    burst : float
        Capacity of the bucket.
    """

    rate_per_s: float
    burst: float
    _tokens: float = 0.0
    _refilled_at_s: float | None = None

    def set_rate(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Change the rate and the capacity from now on."""
        self._refill(now_s)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def available(self, now_s: float) -> int:
        """Return the number of whole tokens that are available."""
        self._refill(now_s)
        return int(self._tokens + 1e-9)

    def take(self, count: int, now_s: float) -> bool:
        """Take tokens; take none and return False if too few are there."""
        if count > self.available(now_s):
            return False
        self._tokens -= count
        return True

    def wait_s(self, count: int, now_s: float) -> float:
        """Return the time until ``count`` tokens are available."""
        self._refill(now_s)
        return max(0.0, count - self._tokens) / self.rate_per_s

    def _refill(self, now_s: float) -> None:
        if self._refilled_at_s is not None:
            added = (now_s - self._refilled_at_s) * self.rate_per_s
            self._tokens = min(self.burst, self._tokens + max(0.0, added))
        self._refilled_at_s = now_s


@attrs.define
class TableBudget:
    """Share of the site's rate limits that one entry may use.

    An entry that has just started doesn't know all others yet, so the
    share is computed for at least ``min_entries``. ``USED_SHARE`` and
    ``BURST_S`` are such that a full bucket plus the tokens of one second
    stay within the limits of the site.

    Parameters
    ----------
    writes, reads : TokenBucket
        Buckets of this entry, for rows written and read calls.
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
        """Divide the limits of the site among the live entries."""
        share = USED_SHARE / max(self.min_entries, count)
        for bucket, site_per_s in (
            (self.writes, self.site_writes_per_s),
            (self.reads, self.site_reads_per_s),
        ):
            rate_per_s = site_per_s * share
            burst = max(1.0, rate_per_s * BURST_S)
            bucket.set_rate(rate_per_s, burst, now_s)


class WritePriority(IntEnum):
    """Priority of pending writes; the lowest value is sent first."""

    ACCEPT = 0
    ANSWER = 1
    CANCEL = 2
    HOUSEKEEPING = 3


@attrs.frozen
class PendingWrite(Generic[T]):
    """Write that waits for tokens.

    Parameters
    ----------
    key : str
        Row key; a newer write replaces a pending one of the same key.
    alone : bool
        Whether to send the write in a transaction of its own because its
        batch conflicted.
    """

    key: str
    priority: WritePriority
    payload: T
    alone: bool = False


@attrs.define
class WriteBacklog(Generic[T]):
    """Pending writes, sent in batches within the rate limit.

    Parameters
    ----------
    max_size : int
        Largest number of pending writes.
    max_batch : int
        Largest number of rows in one transaction.
    """

    max_size: int = 10_000
    max_batch: int = MAX_BATCH
    _by_priority: dict[WritePriority, OrderedDict[str, PendingWrite[T]]] = (
        attrs.Factory(lambda: {one: OrderedDict() for one in WritePriority})
    )

    def __len__(self) -> int:
        return sum(map(len, self._by_priority.values()))

    def add(self, write: PendingWrite[T]) -> bool:
        """Add a write; return False if the backlog is full."""
        for waiting in self._by_priority.values():
            if waiting.pop(write.key, None) is not None:
                self._by_priority[write.priority][write.key] = write
                return True
        if len(self) >= self.max_size:
            return False
        self._by_priority[write.priority][write.key] = write
        return True

    def take(self, bucket: TokenBucket, now_s: float) -> list[PendingWrite[T]]:
        """Take the next batch within the rate limit; it may be empty."""
        max_rows = min(self.max_batch, bucket.available(now_s))
        batch: list[PendingWrite[T]] = []
        for waiting in self._by_priority.values():
            for write in list(waiting.values()):
                if len(batch) >= max_rows or (write.alone and batch):
                    break
                batch.append(waiting.pop(write.key))
                if write.alone:
                    max_rows = 0
        bucket.take(len(batch), now_s)
        return batch

    def requeue(self, batch: list[PendingWrite[T]], *, alone: bool) -> None:
        """Put a batch back at the front, except for superseded writes.

        Parameters
        ----------
        alone : bool
            Whether to send each write in its own transaction, because
            the batch conflicted; False if the service was unavailable.
        """
        for write in reversed(batch):
            waiting = self._by_priority[write.priority]
            if any(write.key in one for one in self._by_priority.values()):
                continue
            waiting[write.key] = attrs.evolve(
                write, alone=alone or write.alone
            )
            waiting.move_to_end(write.key, last=False)

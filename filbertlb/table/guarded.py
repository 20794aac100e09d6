"""Table service with a circuit breaker and rate limits."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

from gevent import sleep

from filbertlb.core.breaker import TableBreakerOpenError
from filbertlb.table.base import RowConflictError
from filbertlb.table.base import TableUnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from filbertlb.core.breaker import CircuitBreaker
    from filbertlb.core.clock import Clock
    from filbertlb.core.table_budget import TableBudget
    from filbertlb.core.table_budget import TokenBucket
    from filbertlb.table.base import Row
    from filbertlb.table.base import TableService
    from filbertlb.table.base import Write

MAX_WAIT_S = 5.0

_T = TypeVar("_T")


class TableBusyError(TableUnavailableError):
    """The entry has used up its share of the table service's call rate."""

    code = "table_busy"


class GuardedTable:
    """Table service client with a circuit breaker and rate limits.

    Parameters
    ----------
    inner : TableService
        The service that is called.
    breaker : CircuitBreaker
        Rejects calls while the service fails.
    budget : TableBudget
        Limits the rates of reads and writes to this entry's share.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        inner: TableService,
        breaker: CircuitBreaker,
        budget: TableBudget,
        clock: Clock,
    ) -> None:
        self._inner = inner
        self._breaker = breaker
        self._budget = budget
        self._clock = clock

    def get(self, key: str) -> Row | None:
        """Return the row of a key, or None if there is none."""
        self._take_tokens(self._budget.reads, 1)
        return self._call(lambda: self._inner.get(key))

    def scan(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> list[Row]:
        """Return rows whose keys start with a prefix, in key order."""
        self._take_tokens(self._budget.reads, 1)
        return self._call(
            lambda: self._inner.scan(prefix, after=after, limit=limit)
        )

    def commit(self, writes: Sequence[Write]) -> tuple[int, ...]:
        """Apply the writes atomically and return their new versions."""
        self._take_tokens(self._budget.writes, len(writes))
        return self._call(lambda: self._inner.commit(writes))

    def _take_tokens(self, bucket: TokenBucket, count: int) -> None:
        """Wait until a bucket holds enough tokens, and take them.

        The wait spreads a burst of calls over time.

        Raises
        ------
        TableBusyError
            If the wait would exceed ``MAX_WAIT_S``.
        """
        # A bucket never holds more than its burst, so a larger request
        # could never be granted.
        count = min(count, int(bucket.burst))
        deadline_s = self._clock.monotonic() + MAX_WAIT_S
        while not bucket.take(count, self._clock.monotonic()):
            wait_s = bucket.wait_s(count, self._clock.monotonic())
            if self._clock.monotonic() + wait_s > deadline_s:
                raise TableBusyError(
                    "the instance's share of the table service is used up; "
                    f"try again after {wait_s:.3g} s",
                    retry_after_s=wait_s,
                )
            sleep(wait_s)

    def _call(self, call: Callable[[], _T]) -> _T:
        started_s = self._clock.monotonic()
        try:
            self._breaker.check(started_s)
        except TableBreakerOpenError as error:
            raise TableUnavailableError(
                error.message, retry_after_s=error.retry_after_s
            ) from error
        try:
            answer = call()
        except RowConflictError:
            self._record_success(started_s)
            raise
        except Exception:
            self._breaker.failed(started_s, self._clock.monotonic())
            raise
        self._record_success(started_s)
        return answer

    def _record_success(self, started_s: float) -> None:
        now_s = self._clock.monotonic()
        self._breaker.succeeded(now_s - started_s, now_s)

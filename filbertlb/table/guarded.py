"""Table service behind a circuit breaker and a share of the budget."""

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

LONGEST_WAIT_S = 5.0

_T = TypeVar("_T")


class TableBusyError(TableUnavailableError):
    """The entry's share of the table service is used up for a while."""

    code = "table_busy"


class GuardedTable:
    """Keeps an entry's calls within its share, and off a failing service.

    Parameters
    ----------
    inner : TableService
        The service.
    breaker : CircuitBreaker
        Stops calls while the service fails.
    budget : TableBudget
        This entry's share.
    clock : Clock
        Source of time.
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
        """Return the row of a key, or None."""
        self._pay(self._budget.reads, 1)
        return self._guarded(lambda: self._inner.get(key))

    def scan(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> list[Row]:
        """Return rows whose keys start with a prefix, in key order."""
        self._pay(self._budget.reads, 1)
        return self._guarded(
            lambda: self._inner.scan(prefix, after=after, limit=limit)
        )

    def commit(self, writes: Sequence[Write]) -> tuple[int, ...]:
        """Apply all writes or none and return their new versions."""
        self._pay(self._budget.writes, len(writes))
        return self._guarded(lambda: self._inner.commit(writes))

    def _pay(self, bucket: TokenBucket, count: int) -> None:
        """Wait for tokens, so that a burst spreads over time."""
        # More than a full bucket can't be saved up.
        count = min(count, int(bucket.burst))
        until_s = self._clock.monotonic() + LONGEST_WAIT_S
        while not bucket.take(count, self._clock.monotonic()):
            wait_s = bucket.wait_s(count, self._clock.monotonic())
            if self._clock.monotonic() + wait_s > until_s:
                raise TableBusyError(
                    "the instance's share of the table service is used up; "
                    f"try again after {wait_s:.3g} s",
                    retry_after_s=wait_s,
                )
            sleep(wait_s)

    def _guarded(self, call: Callable[[], _T]) -> _T:
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
            self._succeeded(started_s)
            raise
        except Exception:
            self._breaker.failed(self._clock.monotonic())
            raise
        self._succeeded(started_s)
        return answer

    def _succeeded(self, started_s: float) -> None:
        now_s = self._clock.monotonic()
        self._breaker.succeeded(now_s - started_s, now_s)

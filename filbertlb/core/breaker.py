"""Circuit breaker in front of the table service."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import attrs

from filbertlb.errors import UnavailableError

if TYPE_CHECKING:
    from random import Random

FAILURE_THRESHOLD = 5
OPEN_BASE_S = 0.25
OPEN_CAP_S = 2.0
SLOW_CALL_S = 2.0
LONG_CALL_S = 1.0
"""Duration from which each call counts that fails, whatever ends it."""


class TableBreakerOpenError(UnavailableError):
    """The circuit breaker is open; the call to the table wasn't sent."""

    code = "table_breaker_open"


class BreakerState(StrEnum):
    """States of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@attrs.define
class CircuitBreaker:
    """Blocks calls to a failing service, except for single probes.

    Parameters
    ----------
    rng : Random
        Source of jitter, so that entries whose breakers opened together
        don't probe at the same time.
    failures : int
        Number of consecutive failed or slow calls that open the breaker.
    slow_s : float
        Latency from which a call counts as failed, in seconds.
    """

    rng: Random
    failures: int = FAILURE_THRESHOLD
    slow_s: float = SLOW_CALL_S
    state: BreakerState = BreakerState.CLOSED
    _consecutive_failures: int = 0
    _consecutive_openings: int = 0
    _probe_at_s: float = 0.0
    _counted_at_s: float = float("-inf")

    def check(self, now_s: float) -> None:
        """Check that a call may be sent; its outcome must be reported.

        Raises
        ------
        TableBreakerOpenError
            If the breaker allows no call now.
        """
        if self.state is BreakerState.CLOSED:
            return
        if self.state is BreakerState.OPEN and now_s >= self._probe_at_s:
            self.state = BreakerState.HALF_OPEN
            # Allows another probe if the outcome of this one is never
            # reported.
            self._probe_at_s = now_s + self.slow_s
            return
        if self.state is BreakerState.HALF_OPEN and (
            now_s >= self._probe_at_s
        ):
            self._probe_at_s = now_s + self.slow_s
            return
        remaining_s = max(0.0, self._probe_at_s - now_s)
        raise TableBreakerOpenError(
            "circuit breaker of the table service is open, call not sent; "
            f"retry after {remaining_s:.3g} s",
            retry_after_s=remaining_s,
        )

    def succeeded(self, latency_s: float, now_s: float) -> None:
        """Record an answered call with its latency in seconds."""
        if latency_s >= self.slow_s:
            self.failed(now_s - latency_s, now_s)
            return
        self.state = BreakerState.CLOSED
        self._consecutive_failures = 0
        self._consecutive_openings = 0

    def failed(self, started_s: float, now_s: float) -> None:
        """Record a call that failed or got no answer.

        Calls that were in progress together and end at once, as by the reset
        of a connection, are evidence of one failure. Long ones each count, so
        that a service that answers nobody is detected soon.

        Parameters
        ----------
        started_s : float
            Monotonic time at which the call was sent, in seconds.
        """
        is_long = now_s - started_s >= LONG_CALL_S
        if started_s < self._counted_at_s and not is_long:
            return
        self._counted_at_s = now_s
        self._consecutive_failures += 1
        if self.state is BreakerState.OPEN:
            return
        probing = self.state is BreakerState.HALF_OPEN
        if probing or self._consecutive_failures >= self.failures:
            self._open(now_s)

    def _open(self, now_s: float) -> None:
        max_wait_s = min(
            OPEN_CAP_S, OPEN_BASE_S * 2**self._consecutive_openings
        )
        self._consecutive_openings += 1
        self.state = BreakerState.OPEN
        self._probe_at_s = now_s + max_wait_s * self.rng.uniform(0.5, 1.0)

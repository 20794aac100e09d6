"""Circuit breaker in front of the table service."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import attrs

from filbertlb.errors import UnavailableError

if TYPE_CHECKING:
    from random import Random

FAILURES = 5
OPEN_BASE_S = 0.25
OPEN_CAP_S = 2.0
SLOW_S = 2.0


class TableBreakerOpenError(UnavailableError):
    """The table service fails; the call was not sent."""

    code = "table_breaker_open"


class BreakerState(StrEnum):
    """States of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@attrs.define
class CircuitBreaker:
    """Stops calls to a service that fails, and lets single ones probe.

    Parameters
    ----------
    rng : Random
        Spreads the probes of entries that failed together.
    failures : int
        Failed or slow calls in a row that open it.
    slow_s : float
        Seconds from which a call counts as failed.
    """

    rng: Random
    failures: int = FAILURES
    slow_s: float = SLOW_S
    state: BreakerState = BreakerState.CLOSED
    _failed_in_a_row: int = 0
    _opened: int = 0
    _probe_at_s: float = 0.0

    def check(self, now_s: float) -> None:
        """Let a call pass; each one that passes is then reported.

        Raises
        ------
        TableBreakerOpenError
            If it must not be sent now.
        """
        if self.state is BreakerState.CLOSED:
            return
        if self.state is BreakerState.OPEN and now_s >= self._probe_at_s:
            self.state = BreakerState.HALF_OPEN
            # A probe that is never reported must not block the next.
            self._probe_at_s = now_s + self.slow_s
            return
        if self.state is BreakerState.HALF_OPEN and (
            now_s >= self._probe_at_s
        ):
            self._probe_at_s = now_s + self.slow_s
            return
        left_s = max(0.0, self._probe_at_s - now_s)
        raise TableBreakerOpenError(
            "the table service fails and is not asked; try again after "
            f"{left_s:.3g} s",
            retry_after_s=left_s,
        )

    def succeeded(self, latency_s: float, now_s: float) -> None:
        """Take in an answered call and how long it took, in seconds."""
        if latency_s >= self.slow_s:
            self.failed(now_s)
            return
        self.state = BreakerState.CLOSED
        self._failed_in_a_row = 0
        self._opened = 0

    def failed(self, now_s: float) -> None:
        """Take in a call that failed or got no answer."""
        self._failed_in_a_row += 1
        if self.state is BreakerState.OPEN:
            return
        probing = self.state is BreakerState.HALF_OPEN
        if probing or self._failed_in_a_row >= self.failures:
            self._open(now_s)

    def _open(self, now_s: float) -> None:
        bound_s = min(OPEN_CAP_S, OPEN_BASE_S * 2**self._opened)
        self._opened += 1
        self.state = BreakerState.OPEN
        self._probe_at_s = now_s + bound_s * self.rng.uniform(0.5, 1.0)

"""Adaptive concurrency limit, driven by latency and refusals."""

from __future__ import annotations

import attrs

WINDOW_ANSWERS = 100
BASELINE_DRIFT_FACTOR = 1.0005
LATENCY_TOLERANCE = 2.0
DECREASE_FACTOR = 0.9


@attrs.define
class AdaptiveLimit:
    """Concurrency limit with additive increase, multiplicative decrease.

    The limit grows by one per round of answers. It is decreased when an
    endpoint's queue is full, when a request isn't answered in time, and
    when the mean latency of a window of answers is far above the baseline.
    With AIMD, the limits of entries that share endpoints converge to equal
    values.

    The baseline is the lowest mean latency of a window. It drifts up slowly
    so that an outdated minimum doesn't persist.

    Parameters
    ----------
    limit : float
        Current limit.
    min_limit, max_limit : float
        Bounds of the limit.
    """

    limit: float = 8.0
    min_limit: float = 4.0
    max_limit: float = 512.0
    _mean_s: float = 0.0
    _baseline_s: float = 0.0
    _sum_s: float = 0.0
    _answers: int = 0
    _answers_since_decrease: int = 0
    _in_slow_start: bool = True

    @property
    def service_s(self) -> float:
        """Return the recent mean latency in seconds; 0 if unknown."""
        return self._mean_s

    def answered(self, latency_s: float, in_flight: int) -> None:
        """Record the latency of an answered request, in seconds.

        Parameters
        ----------
        in_flight : int
            Requests in flight when the answer arrived. The limit only
            grows if at least half of it is used.
        """
        self._sum_s += latency_s
        self._answers += 1
        self._answers_since_decrease += 1
        self._mean_s = self._mean_s or latency_s
        self._baseline_s = self._baseline_s or latency_s
        if self._answers >= WINDOW_ANSWERS:
            self._end_window()
        if in_flight >= self.limit / 2:
            # Slow start: the limit doubles with every round of answers
            # until the first decrease.
            step = 1.0 if self._in_slow_start else 1 / self.limit
            self._set(self.limit + step)

    def overloaded(self) -> None:
        """Decrease the limit after a full queue or an unanswered request."""
        # Signals within one round of answers have the same cause, so the
        # limit is decreased once.
        if self._answers_since_decrease >= self.limit:
            self._answers_since_decrease = 0
            self._in_slow_start = False
            self._set(self.limit * DECREASE_FACTOR)

    def _end_window(self) -> None:
        self._mean_s = self._sum_s / self._answers
        self._baseline_s = min(
            self._baseline_s * BASELINE_DRIFT_FACTOR, self._mean_s
        )
        self._sum_s = 0.0
        self._answers = 0
        if self._mean_s > self._baseline_s * LATENCY_TOLERANCE:
            self.overloaded()

    def _set(self, limit: float) -> None:
        self.limit = max(self.min_limit, min(self.max_limit, limit))

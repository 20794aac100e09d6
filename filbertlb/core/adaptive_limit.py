"""Limit on concurrent requests that follows measured latency."""

from __future__ import annotations

from math import sqrt

import attrs

WINDOW = 50
PROBE_EVERY = 60
PROBE_WINDOWS = 2
PROBE_FACTOR = 0.25
FORGET_FACTOR = 1.002
TOLERANCE = 1.5
LOWEST_GRADIENT = 0.5
SMOOTHING = 0.5
TIMEOUT_FACTOR = 0.95


@attrs.define
class AdaptiveLimit:
    """Grows while latency is as usual and shrinks when it rises.

    The usual latency is the lowest mean of a window of answers; it is
    forgotten slowly, and now and then the limit is lowered so that a
    queue which stands at the endpoints empties and the usual latency
    can be seen. Its ratio to the mean of the last window is the
    gradient; the limit moves towards its product with the gradient
    plus its square root, so that it keeps probing for more.

    Parameters
    ----------
    limit : float
        Present limit.
    lowest, highest : float
        Bounds of the limit.
    """

    limit: float = 8.0
    lowest: float = 4.0
    highest: float = 512.0
    _mean_s: float = 0.0
    _usual_s: float = 0.0
    _sum_s: float = 0.0
    _answers: int = 0
    _windows: int = 0
    _limit_before_probe: float = 0.0

    @property
    def service_s(self) -> float:
        """Return the recent latency in seconds; 0 if unknown."""
        return self._mean_s

    def answered(self, latency_s: float, in_flight: int) -> None:
        """Take in the latency of one answered request, in seconds.

        Parameters
        ----------
        in_flight : int
            Requests in flight when it was answered; a limit that is
            not used is not raised.
        """
        self._sum_s += latency_s
        self._answers += 1
        self._mean_s = self._mean_s or latency_s
        self._usual_s = self._usual_s or latency_s
        if self._answers >= WINDOW:
            self._end_window()
        if self._limit_before_probe:
            return
        gradient = TOLERANCE * self._usual_s / max(self._mean_s, 1e-9)
        gradient = max(LOWEST_GRADIENT, min(1.0, gradient))
        if gradient == 1.0 and in_flight < self.limit / 2:
            return
        wanted = self.limit * gradient + sqrt(self.limit)
        step = SMOOTHING * (wanted - self.limit) / self.limit
        self._set(self.limit + step)

    def timed_out(self) -> None:
        """Shrink after a request that was not answered in time."""
        self._set(self.limit * TIMEOUT_FACTOR)

    def _end_window(self) -> None:
        self._mean_s = self._sum_s / self._answers
        self._usual_s = min(self._usual_s * FORGET_FACTOR, self._mean_s)
        self._sum_s = 0.0
        self._answers = 0
        self._windows += 1
        phase = self._windows % PROBE_EVERY
        if phase == 0:
            self._limit_before_probe = self.limit
            self._set(self.limit * PROBE_FACTOR)
        if phase == PROBE_WINDOWS and self._limit_before_probe:
            self._set(self._limit_before_probe)
            self._limit_before_probe = 0.0

    def _set(self, limit: float) -> None:
        self.limit = max(self.lowest, min(self.highest, limit))

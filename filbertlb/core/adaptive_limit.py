"""Limit on concurrent requests that follows latency and refusals."""

from __future__ import annotations

import attrs

WINDOW = 100
FORGET_FACTOR = 1.0005
TOLERANCE = 2.0
CUT_FACTOR = 0.9


@attrs.define
class AdaptiveLimit:
    """Grows by one in a round of answers and is cut on overload.

    Signs of overload are a full queue at an endpoint, a request that
    was not answered in time, and a window of answers that took much
    longer than usual. Additive growth and multiplicative cuts give
    entries that share the endpoints equal limits in the end.

    The usual latency is the lowest mean of a window of answers, and is
    forgotten slowly.

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
    _since_cut: int = 0
    _is_starting: bool = True

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
        self._since_cut += 1
        self._mean_s = self._mean_s or latency_s
        self._usual_s = self._usual_s or latency_s
        if self._answers >= WINDOW:
            self._end_window()
        if in_flight >= self.limit / 2:
            # Until the first cut it doubles with every round.
            step = 1.0 if self._is_starting else 1 / self.limit
            self._set(self.limit + step)

    def overloaded(self) -> None:
        """Cut after a full queue or a request not answered in time."""
        # All signs within one round are about the same overload.
        if self._since_cut >= self.limit:
            self._since_cut = 0
            self._is_starting = False
            self._set(self.limit * CUT_FACTOR)

    def _end_window(self) -> None:
        self._mean_s = self._sum_s / self._answers
        self._usual_s = min(self._usual_s * FORGET_FACTOR, self._mean_s)
        self._sum_s = 0.0
        self._answers = 0
        if self._mean_s > self._usual_s * TOLERANCE:
            self.overloaded()

    def _set(self, limit: float) -> None:
        self.limit = max(self.lowest, min(self.highest, limit))

"""Smoothed latency of an endpoint."""

from __future__ import annotations

import attrs

WEIGHT = 0.1
FORGET_AFTER_S = 10.0


@attrs.define
class LatencyAverage:
    """Exponentially weighted average that goes stale.

    Parameters
    ----------
    weight : float
        Weight of a new measurement.
    forget_after_s : float
        Seconds without a measurement after which the average is
        forgotten, so that an endpoint that was slow is tried again.
    """

    weight: float = WEIGHT
    forget_after_s: float = FORGET_AFTER_S
    _average_s: float = 0.0
    _measured_at_s: float = 0.0

    def add(self, latency_s: float, now_s: float) -> None:
        """Take in one measurement, in seconds."""
        before_s = self.value_s(now_s)
        if before_s:
            latency_s = before_s + self.weight * (latency_s - before_s)
        self._average_s = latency_s
        self._measured_at_s = now_s

    def value_s(self, now_s: float) -> float:
        """Return the average in seconds; 0 if unknown."""
        if now_s - self._measured_at_s > self.forget_after_s:
            return 0.0
        return self._average_s

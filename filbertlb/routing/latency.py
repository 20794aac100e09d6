"""Moving average of the latency of an endpoint."""

from __future__ import annotations

import attrs

WEIGHT = 0.1
EXPIRE_AFTER_S = 10.0


@attrs.define
class LatencyAverage:
    """Exponentially weighted moving average that expires.

    Parameters
    ----------
    weight : float
        Weight of a new measurement, between 0 and 1.
    expire_after_s : float
        Seconds without a measurement after which the average is
        discarded, so that an endpoint that was slow is tried again.
    """

    weight: float = WEIGHT
    expire_after_s: float = EXPIRE_AFTER_S
    _average_s: float = 0.0
    _measured_at_s: float = 0.0

    def add(self, latency_s: float, now_s: float) -> None:
        """Add a latency measurement, in seconds."""
        previous_s = self.value_s(now_s)
        if previous_s:
            latency_s = previous_s + self.weight * (latency_s - previous_s)
        self._average_s = latency_s
        self._measured_at_s = now_s

    def value_s(self, now_s: float) -> float:
        """Return the average in seconds; 0 if unknown or expired."""
        if now_s - self._measured_at_s > self.expire_after_s:
            return 0.0
        return self._average_s

"""Ends of leases as times on a worker's clock."""

from __future__ import annotations

import attrs

SLOWEST_RATE = 0.98
"""Rate of the slowest clock that a worker may have."""
MAX_READING_AGE_S = 5.0
"""Age up to which a reading is kept before one that proves less.

A reading that was wrong is believed for no longer.
"""
MAX_INCARNATIONS = 4
"""Incarnations whose clocks are known at once."""


@attrs.frozen
class WorkerClock:
    """Reading of the clock of one incarnation of a worker.

    Parameters
    ----------
    clock_ms : int
        Time that it showed.
    read_s : float
        Monotonic time at which the agent got the reading. It may be older,
        and a lease then ends earlier.
    """

    incarnation: str
    clock_ms: int
    read_s: float

    def deadline_ms(self, end_s: float) -> int:
        """Return a time on this clock that is reached by a monotonic time."""
        passes_ms = 1000 * SLOWEST_RATE * (end_s - self.read_s)
        return max(0, int(self.clock_ms + passes_ms))


@attrs.define
class WorkerClocks:
    """Latest readings by incarnation, of which some are kept."""

    _by_incarnation: dict[str, WorkerClock] = attrs.Factory(dict)

    def record(self, incarnation: str, clock_ms: int, read_s: float) -> None:
        """Record a reading; 0 is none.

        One that was long on its way is dropped if a recent one proves that
        the clock is further on: it would only shorten leases.
        """
        if not clock_ms:
            return
        reading = WorkerClock(incarnation, clock_ms, read_s)
        known = self._by_incarnation.pop(incarnation, None)
        if (
            known is not None
            and read_s - known.read_s <= MAX_READING_AGE_S
            and known.deadline_ms(read_s) > clock_ms
        ):
            reading = known
        self._by_incarnation[incarnation] = reading
        if len(self._by_incarnation) > MAX_INCARNATIONS:
            del self._by_incarnation[next(iter(self._by_incarnation))]

    def get(self, incarnation: str) -> WorkerClock | None:
        """Return the latest reading of an incarnation; None if unknown."""
        return self._by_incarnation.get(incarnation)

"""Clock interface, so that simulations and tests can control time."""

from __future__ import annotations

import time
from typing import Protocol

import attrs


class Clock(Protocol):
    """Source of monotonic time and wall time."""

    def monotonic(self) -> float:
        """Return monotonic time in seconds, from an arbitrary origin."""
        ...

    def wall(self) -> float:
        """Return wall time in seconds since the Unix epoch."""
        ...


class SystemClock:
    """Clock of the operating system.

    Its monotonic time counts the time that the machine is suspended.
    """

    def monotonic(self) -> float:
        """Return monotonic time in seconds, from an arbitrary origin."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return wall time in seconds since the Unix epoch."""
        return time.time()


@attrs.define
class VirtualClock:
    """Simulated clock that changes only through `advance`.

    Parameters
    ----------
    now_s : float
        Current virtual time in seconds, both monotonic and wall time.
    """

    now_s: float = 0.0

    def monotonic(self) -> float:
        """Return the current virtual time in seconds."""
        return self.now_s

    def wall(self) -> float:
        """Return the current virtual time in seconds."""
        return self.now_s

    def advance(self, seconds: float) -> None:
        """Advance the virtual time by a number of seconds."""
        self.now_s += seconds

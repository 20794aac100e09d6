"""Sources of time, so that decisions run under a given clock."""

from __future__ import annotations

import time
from typing import Protocol

import attrs


class Clock(Protocol):
    """Monotonic time and wall time."""

    def monotonic(self) -> float:
        """Return seconds that never go backwards."""
        ...

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        ...


class SystemClock:
    """The clock of the machine."""

    def monotonic(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


@attrs.define
class VirtualClock:
    """A clock that moves only when it is told to.

    Parameters
    ----------
    now_s : float
        Present time in seconds.
    """

    now_s: float = 0.0

    def monotonic(self) -> float:
        """Return the present virtual time in seconds."""
        return self.now_s

    def wall(self) -> float:
        """Return the present virtual time in seconds."""
        return self.now_s

    def advance(self, seconds: float) -> None:
        """Move the time forward by a number of seconds."""
        self.now_s += seconds

"""Planned stops: drain on the first signal, leave on the second."""

from __future__ import annotations

import signal
from enum import IntEnum
from typing import Protocol
from typing import TYPE_CHECKING

from gevent import signal_handler
from gevent import sleep
from gevent import Timeout
from gevent.event import Event
from loguru import logger

if TYPE_CHECKING:
    from filbertlb.core.clock import Clock

DRAIN_POLL_S = 0.05


class StopCode(IntEnum):
    """Exit codes of the roles."""

    DRAINED = 0
    CUT_SHORT = 6


class Drainable(Protocol):
    """A role that can leave without cutting anything in flight."""

    def drain(self) -> None:
        """Refuse new work from now on."""
        ...

    def idle(self) -> bool:
        """Tell whether nothing is left in flight."""
        ...


def serve_until_stopped(
    role: Drainable, clock: Clock, drain_s: float
) -> StopCode:
    """Wait for SIGTERM or SIGINT, drain and return the exit code.

    Parameters
    ----------
    drain_s : float
        Longest time for work in flight, in seconds.

    Returns
    -------
    StopCode
        ``DRAINED`` if all work in flight ended, ``CUT_SHORT`` if the
        time was over or a second signal came.
    """
    first = Event()
    second = Event()

    def on_signal() -> None:
        (second if first.is_set() else first).set()

    handlers = [
        signal_handler(number, on_signal)
        for number in (signal.SIGTERM, signal.SIGINT)
    ]
    first.wait()
    logger.info("draining for at most {} s", drain_s)
    role.drain()
    code = _drained(role, clock, drain_s, second)
    for handler in handlers:
        handler.cancel()
    logger.info("stops: {}", code.name.lower())
    return code


def _drained(
    role: Drainable, clock: Clock, drain_s: float, second: Event
) -> StopCode:
    until_s = clock.monotonic() + drain_s
    # Announcements of the drain and late answers need a moment.
    sleep(DRAIN_POLL_S)
    while not role.idle():
        if second.is_set() or clock.monotonic() >= until_s:
            return StopCode.CUT_SHORT
        with Timeout(DRAIN_POLL_S, False):
            second.wait()
    return StopCode.DRAINED

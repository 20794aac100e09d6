"""Interface between an agent and the worker beside it."""

from __future__ import annotations

from enum import StrEnum
from typing import Protocol
from typing import TYPE_CHECKING

import attrs

from filbertlb.errors import UnavailableError

if TYPE_CHECKING:
    from filbertlb.batch.model import Order
    from filbertlb.batch.model import Run
    from filbertlb.batch.model import RunEnd

LEASE_S = 6.0
"""Longest lease that a worker gives."""
CLOCK_DRIFT = 1.02
"""A worker's clock may be 2% slow."""


class WorkerSilentError(UnavailableError):
    """The worker gave no usable answer about what it holds."""

    code = "worker_silent"


class StartResult(StrEnum):
    """What became of a call to start a run."""

    STARTED = "started"
    NO_ROOM = "no_room"
    TOO_OLD = "too_old"
    TOO_LATE = "too_late"
    FENCED = "fenced"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other_incarnation"
    UNKNOWN = "unknown"


@attrs.frozen
class StartCall:
    """Start a run now."""

    order: Order
    payload: str


@attrs.frozen
class StopCall:
    """Stop a run now."""

    task: str
    attempt: int


@attrs.frozen
class ListedEnd:
    """The end of a run as the worker lists it."""

    number: int
    end: RunEnd


@attrs.frozen
class RunListing:
    """What a worker holds.

    Parameters
    ----------
    ends_complete : bool
        All unacknowledged ends are listed.
    """

    running: tuple[Run, ...]
    ends: tuple[ListedEnd, ...]
    ends_complete: bool
    incarnation: str = ""


class WorkerLink(Protocol):
    """Calls to one worker; every call carries the fencing token."""

    def start(
        self, order: Order, payload: str, fence: int, extend_lease: bool
    ) -> StartResult:
        """Start a run.

        Parameters
        ----------
        extend_lease : bool
            Give the worker a whole lease; else a start is refused.
        """
        ...

    def stop(self, task: str, attempt: int, fence: int) -> bool:
        """Stop a run; return whether the worker answered."""
        ...

    def list_runs(
        self, fence: int, acked_number: int, extend_lease: bool, wait_s: float
    ) -> RunListing:
        """Return what the worker holds.

        Parameters
        ----------
        acked_number : int
            Highest number of an end that is stored.
        wait_s : float
            Longest wait for an end.

        Raises
        ------
        WorkerSilentError
            If there is no usable answer.
        """
        ...

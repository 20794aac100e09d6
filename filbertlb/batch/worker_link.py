"""Interface between an agent and the worker on the same machine."""

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
"""Time from the decision on a call to the end of the lease that it sends.

A run that the decider gives up has ended, by times that all follow from one
contact, the sending of a stored report::

    extended before    contact + CONTACT_LOST_S
    lease ends by      contact + CONTACT_LOST_S + LEASE_S
    given up after     contact + DEAD_AFTER_S

where ``DEAD_AFTER_S >= CONTACT_LOST_S + LEASE_S``. The end is a time on the
agent's clock, which a worker's clock of ``SLOWEST_RATE`` reaches in time.
"""
MAX_LEASE_S = 10.0
"""Longest lease that a worker grants, by its clock, if none is stated.

A call that was meant for the incarnation before may get that much.
"""
CLOCK_DRIFT = 1.02
"""Factor by which the decider waits longer than a lease lasts."""


class WorkerSilentError(UnavailableError):
    """The worker gave no usable answer about what it holds."""

    code = "worker_silent"


class WorkerDownError(WorkerSilentError):
    """The worker refuses connections: its process has ended."""

    code = "worker_down"


class StartResult(StrEnum):
    """Outcome of a call to start a run."""

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
    """A call that starts a run.

    Parameters
    ----------
    payload : str
        The work as the worker gets it; the agent does not read it.
    lease_end_s : float, optional
        Monotonic time to which the call extends the lease; None for none.
    """

    order: Order
    payload: str
    lease_end_s: float | None = None


@attrs.frozen
class StopCall:
    """A call that stops a run."""

    task: str
    attempt: int


@attrs.frozen
class ListedEnd:
    """The end of a run as the worker lists it.

    Parameters
    ----------
    number : int
        The agent acknowledges the end up to this number, which never
        decreases in a listing.
    """

    number: int
    end: RunEnd


@attrs.frozen
class RunListing:
    """The runs of a worker: those that run and those that ended.

    Parameters
    ----------
    ends_complete : bool
        All unacknowledged ends are listed.
    incarnation : str
        Incarnation of the worker that answered; empty if not given.
    """

    running: tuple[Run, ...]
    ends: tuple[ListedEnd, ...]
    ends_complete: bool
    incarnation: str = ""


class WorkerLink(Protocol):
    """Calls to one worker.

    Each call carries the agent's fencing token, so that a worker refuses
    calls of an agent process that has been replaced.
    """

    def start(
        self,
        order: Order,
        payload: str,
        fence: int,
        lease_end_s: float | None,
    ) -> StartResult:
        """Start a run.

        Parameters
        ----------
        lease_end_s : float, optional
            Monotonic time by which the lease of all runs ends unless it is
            extended again; None to extend none. The worker refuses the
            start if no lease is left.
        """
        ...

    def stop(self, task: str, attempt: int, fence: int) -> bool:
        """Stop a run; return whether the worker answered."""
        ...

    def list_runs(
        self,
        incarnation: str,
        fence: int,
        acked_number: int,
        lease_end_s: float | None,
        wait_s: float,
    ) -> RunListing:
        """Return the worker's runs and their ends, by a long poll.

        Parameters
        ----------
        incarnation : str
            Incarnation that the call is meant for.
        acked_number : int
            Highest number of an end that is stored; the worker drops
            the ends up to it.
        lease_end_s : float, optional
            Monotonic time by which the lease of all runs ends unless it is
            extended again; None to extend none.
        wait_s : float
            Maximum time to wait for an end, in seconds.

        Raises
        ------
        WorkerSilentError
            If the worker gives no usable answer; a WorkerDownError if its
            process has ended.
        """
        ...

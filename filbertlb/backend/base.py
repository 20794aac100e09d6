"""Interfaces to the runners and workers that do the work."""

from __future__ import annotations

from typing import Protocol

import attrs

from filbertlb.core.model import Resources
from filbertlb.errors import ConflictError
from filbertlb.errors import OutcomeUnknownError
from filbertlb.errors import UnavailableError
from filbertlb.messages import TaskPhase


class BackendRefusedError(UnavailableError):
    """The backend was never reached or refused; nothing started."""

    code = "backend_refused"


class BackendOutcomeUnknownError(OutcomeUnknownError):
    """The call was sent, but no whole answer came back."""

    code = "backend_outcome_unknown"


class CheckpointFailedError(ConflictError):
    """The task does not run or cannot be checkpointed."""

    code = "checkpoint_failed"


@attrs.frozen
class Answer:
    """A runner's whole answer to one request.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes
        Whole body.
    content_type : str
        Media type of the body.
    """

    status: int
    body: bytes
    content_type: str = "application/json"


@attrs.frozen
class TaskReport:
    """One task as the worker knows it.

    Parameters
    ----------
    phase : TaskPhase
        ``RUNNING``, ``SUCCEEDED``, ``FAILED`` or ``STOPPED``.
    detail : str
        Why it failed, for people.
    checkpoint : str
        Reference of the last checkpoint; empty for none.
    """

    task_id: str
    phase: TaskPhase
    detail: str = ""
    checkpoint: str = ""


@attrs.frozen
class Usage:
    """What a worker reports as in use, with a lag.

    Parameters
    ----------
    used : Resources
        Sum over the tasks that ran at ``as_of_s``; it may exceed the
        worker's capacity.
    task_ids : tuple of str
        Tasks that ran at ``as_of_s``.
    as_of_s : float
        Worker's own time of the report in seconds.
    ended_task_ids : tuple of str
        Tasks that ended last, oldest first, without a lag. An agent
        that was replaced meanwhile learns of their ends from here.
    """

    used: Resources = Resources()
    task_ids: tuple[str, ...] = ()
    as_of_s: float = 0.0
    ended_task_ids: tuple[str, ...] = ()


class RunnerBackend(Protocol):
    """A runner: answers requests on its slots."""

    def invoke(self, path: str, body: bytes, timeout_s: float) -> Answer:
        """Run one request and return its whole answer.

        A call is sent at most once.

        Parameters
        ----------
        timeout_s : float
            Longest wait for the whole answer in seconds.

        Raises
        ------
        BackendRefusedError
            If the request was never sent; it did not run.
        BackendOutcomeUnknownError
            If it was sent, but no whole answer came in time.
        """
        ...


class WorkerBackend(Protocol):
    """A worker: runs tasks, whether they fit or not.

    Every method raises ``BackendRefusedError`` if the call was never
    sent and ``BackendOutcomeUnknownError`` if its answer was lost.
    """

    def start(
        self,
        task_id: str,
        command: str,
        needs: Resources,
        checkpoint: str = "",
    ) -> None:
        """Start a task, from a checkpoint if one is given.

        The worker checks nothing: a second call starts it again.
        """
        ...

    def status(self, task_id: str) -> TaskReport | None:
        """Return what is known of a task; None if it never started."""
        ...

    def checkpoint(self, task_id: str) -> str:
        """Save a running task's progress and return its reference.

        Raises
        ------
        CheckpointFailedError
            If the task does not run or cannot be checkpointed.
        """
        ...

    def throttle(self, task_id: str, share: float = 0.5) -> None:
        """Slow a running task down to a share of its full speed."""
        ...

    def stop(self, task_id: str) -> None:
        """Stop a task; without effect if it does not run."""
        ...

    def usage(self) -> Usage:
        """Return the worker's last report of what is in use."""
        ...

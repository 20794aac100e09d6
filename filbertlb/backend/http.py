"""Runner and worker over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from filbertlb.backend.base import Answer
from filbertlb.backend.base import BackendOutcomeUnknownError
from filbertlb.backend.base import BackendRefusedError
from filbertlb.backend.base import CheckpointFailedError
from filbertlb.backend.base import Usage
from filbertlb.backend.wire import CheckpointReply
from filbertlb.backend.wire import StartCall
from filbertlb.backend.wire import StatusReply
from filbertlb.backend.wire import TaskCall
from filbertlb.backend.wire import TaskReply
from filbertlb.backend.wire import ThrottleCall
from filbertlb.backend.wire import UsageCall
from filbertlb.httpcall import CallNotSentError
from filbertlb.httpcall import CallOutcomeUnknownError
from filbertlb.httpcall import HttpCaller
from filbertlb.typedcall import TypedCaller

if TYPE_CHECKING:
    from filbertlb.backend.base import TaskReport
    from filbertlb.core.model import Resources

RUNNER_CONNECTIONS = 60
WORKER_CONNECTIONS = 4
WORKER_TIMEOUT_S = 5.0


class HttpRunner:
    """A runner that takes requests as HTTP POST.

    Any status is an answer, as only the caller knows what it means.

    Parameters
    ----------
    base_url : str
        Such as ``http://10.0.0.1:8080``.
    connections : int
        Most connections to the runner at once.
    """

    def __init__(
        self, base_url: str, connections: int = RUNNER_CONNECTIONS
    ) -> None:
        self._caller = HttpCaller(base_url, connections)

    def invoke(self, path: str, body: bytes, timeout_s: float) -> Answer:
        """Run one request and return its whole answer."""
        try:
            reply = self._caller.post(path, body, timeout_s)
        except CallNotSentError as error:
            raise BackendRefusedError(error.message) from error
        except CallOutcomeUnknownError as error:
            raise BackendOutcomeUnknownError(error.message) from error
        return Answer(reply.status, reply.body, reply.content_type)

    def close(self) -> None:
        """Close the kept connections."""
        self._caller.close()


class HttpWorker:
    """A worker that takes its calls as HTTP POST with JSON bodies.

    Parameters
    ----------
    base_url : str
        Such as ``http://10.0.0.1:8080``.
    timeout_s : float
        Longest wait for one answer in seconds.
    """

    def __init__(
        self, base_url: str, timeout_s: float = WORKER_TIMEOUT_S
    ) -> None:
        self._caller = HttpCaller(base_url, WORKER_CONNECTIONS)
        self._typed = TypedCaller(
            self._caller,
            timeout_s,
            refused=BackendRefusedError,
            unknown=BackendOutcomeUnknownError,
            errors=(CheckpointFailedError,),
        )

    def start(
        self,
        task_id: str,
        command: str,
        needs: Resources,
        checkpoint: str = "",
    ) -> None:
        """Start a task, from a checkpoint if one is given."""
        call = StartCall(task_id, command, needs, checkpoint)
        self._typed.call("/tasks/start", call, TaskReply)

    def status(self, task_id: str) -> TaskReport | None:
        """Return what is known of a task; None if it never started."""
        call = TaskCall(task_id)
        return self._typed.call("/tasks/status", call, StatusReply).report

    def checkpoint(self, task_id: str) -> str:
        """Save a running task's progress and return its reference."""
        call = TaskCall(task_id)
        reply = self._typed.call("/tasks/checkpoint", call, CheckpointReply)
        return reply.checkpoint

    def throttle(self, task_id: str, share: float = 0.5) -> None:
        """Slow a running task down to a share of its full speed."""
        call = ThrottleCall(task_id, share)
        self._typed.call("/tasks/throttle", call, TaskReply)

    def stop(self, task_id: str) -> None:
        """Stop a task; without effect if it does not run."""
        self._typed.call("/tasks/stop", TaskCall(task_id), TaskReply)

    def usage(self) -> Usage:
        """Return the worker's last report of what is in use."""
        return self._typed.call("/usage", UsageCall(), Usage)

    def close(self) -> None:
        """Close the kept connections."""
        self._caller.close()

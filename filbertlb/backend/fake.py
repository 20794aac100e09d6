"""Runner and worker in process, driven by their command strings.

A command is a JSON object, such as ``{"run_s": 0.2, "fail": false}``;
its members are those of :class:`FakeCommand`. A request's body to the
runner is such a command as well.
"""

from __future__ import annotations

from json import dumps
from typing import TYPE_CHECKING

import attrs
from gevent import sleep

from filbertlb.backend.base import Answer
from filbertlb.backend.base import BackendOutcomeUnknownError
from filbertlb.backend.base import BackendRefusedError
from filbertlb.backend.base import CheckpointFailedError
from filbertlb.backend.base import TaskReport
from filbertlb.backend.base import Usage
from filbertlb.backend.ledger import Ledger
from filbertlb.core.clock import SystemClock
from filbertlb.core.model import Resources
from filbertlb.decoding import convert_value
from filbertlb.decoding import decode_json
from filbertlb.decoding import MalformedDataError
from filbertlb.errors import InvalidInputError
from filbertlb.messages import TaskPhase

if TYPE_CHECKING:
    from collections.abc import Callable

    from filbertlb.core.clock import Clock


@attrs.frozen
class FakeCommand:
    """What a fake task or request is to do.

    Parameters
    ----------
    run_s : float
        Run time at full speed in seconds.
    fail : bool
        Whether it fails at the end of its run time.
    key : str
        The work's own key, counted in the ledger; empty for none.
    result : str
        Text of a request's answer.
    checkpointable : bool
        Whether a checkpoint of it can be taken.
    """

    run_s: float = 0.0
    fail: bool = False
    key: str = ""
    result: str = ""
    checkpointable: bool = True


@attrs.define
class BackendFaults:
    """Failures that a fake backend shows on demand.

    Parameters
    ----------
    down : bool
        Every call is refused.
    fail_all : bool
        Every task and request fails.
    lose_answers : int
        Number of coming starts and requests that run without an
        answer.
    """

    down: bool = False
    fail_all: bool = False
    lose_answers: int = 0

    def enter(self) -> None:
        """Refuse the call if the backend is down."""
        if self.down:
            raise BackendRefusedError("the backend is down")

    def leave(self) -> None:
        """Lose the answer if one is to be lost."""
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise BackendOutcomeUnknownError("the answer was lost")


def parse_command(text: str | bytes) -> FakeCommand:
    """Return the command of a JSON text; an empty one is the default.

    Raises
    ------
    MalformedDataError
        If the text is not a JSON object with the right members.
    """
    return decode_json(text, FakeCommand) if text else FakeCommand()


@attrs.define
class FakeRunner:
    """Answers requests after the run time that their body states.

    Parameters
    ----------
    sleep_s : callable
        Waits a number of seconds; replaced under a virtual clock.
    """

    ledger: Ledger = attrs.Factory(Ledger)
    faults: BackendFaults = attrs.Factory(BackendFaults)
    sleep_s: Callable[[float], None] = sleep
    in_flight: int = 0
    peak_in_flight: int = 0

    def invoke(self, path: str, body: bytes, timeout_s: float) -> Answer:
        """Run one request and return its whole answer."""
        self.faults.enter()
        try:
            command = parse_command(body)
        except MalformedDataError as error:
            return Answer(400, _json({"error": str(error)}))
        self.ledger.started(command.key or path, command.key)
        failed = command.fail or self.faults.fail_all
        self._run(command, timeout_s, failed)
        self.faults.leave()
        answer = {"path": path, "key": command.key, "result": command.result}
        return Answer(500 if failed else 200, _json(answer))

    def _run(
        self, command: FakeCommand, timeout_s: float, failed: bool
    ) -> None:
        self.in_flight += 1
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)
        try:
            self.sleep_s(min(command.run_s, timeout_s))
        finally:
            self.in_flight -= 1
        # A runner finishes the work even when nobody waits any more.
        if not failed:
            self.ledger.done(command.key)
        if command.run_s > timeout_s:
            raise BackendOutcomeUnknownError(
                f"no answer within {timeout_s!r} s; ask for the outcome "
                "or raise the timeout"
            )


ENDED_LISTED = 200
"""Ends that a worker names in its report of usage."""


@attrs.define
class _Task:
    """One start of a task; its progress follows from the clock."""

    command: FakeCommand
    needs: Resources
    started_at_s: float
    progress_s: float
    share: float = 1.0
    phase: TaskPhase = TaskPhase.RUNNING
    ended_at_s: float | None = None
    detail: str = ""
    checkpoint: str = ""
    progress_at_s: float = 0.0

    def move_to(self, now_s: float) -> bool:
        """Bring progress up to date; return whether the task ended."""
        if self.phase != TaskPhase.RUNNING:
            return False
        left_s = self.command.run_s - self.progress_s
        ends_at_s = self.progress_at_s + left_s / self.share
        if ends_at_s <= now_s:
            self.progress_s = self.command.run_s
            self.ended_at_s = ends_at_s
            return True
        self.progress_s += (now_s - self.progress_at_s) * self.share
        self.progress_at_s = now_s
        return False

    def ran_at(self, at_s: float) -> bool:
        """Tell whether the task ran at a time."""
        ended_at_s = self.ended_at_s
        return self.started_at_s <= at_s and (
            ended_at_s is None or at_s < ended_at_s
        )


@attrs.define
class FakeWorker:
    """Runs tasks in the time that their commands state.

    It checks nothing: it starts what it is given, whether it fits or
    not, and again when it is told to again.

    Parameters
    ----------
    usage_lag_s : float
        Age of the usage that is reported in seconds.
    """

    ledger: Ledger = attrs.Factory(Ledger)
    faults: BackendFaults = attrs.Factory(BackendFaults)
    clock: Clock = attrs.Factory(SystemClock)
    usage_lag_s: float = 0.0
    _task_by_id: dict[str, _Task] = attrs.Factory(dict)

    def start(
        self,
        task_id: str,
        command: str,
        needs: Resources,
        checkpoint: str = "",
    ) -> None:
        """Start a task, from a checkpoint if one is given."""
        self.faults.enter()
        now_s = self.clock.monotonic()
        task = _Task(FakeCommand(), needs, now_s, 0.0, progress_at_s=now_s)
        self._task_by_id[task_id] = task
        try:
            task.command = parse_command(command)
            task.progress_s = _progress_s(checkpoint)
        except (MalformedDataError, KeyError, TypeError) as error:
            self._end(task, TaskPhase.FAILED, now_s, str(error))
        self.ledger.started(task_id, task.command.key)
        self.faults.leave()

    def status(self, task_id: str) -> TaskReport | None:
        """Return what is known of a task; None if it never started."""
        self.faults.enter()
        task = self._current(task_id)
        if task is None:
            return None
        return TaskReport(task_id, task.phase, task.detail, task.checkpoint)

    def checkpoint(self, task_id: str) -> str:
        """Save a running task's progress and return its reference."""
        self.faults.enter()
        task = self._current(task_id)
        if task is None or task.phase != TaskPhase.RUNNING:
            raise CheckpointFailedError(
                f"task {task_id!r} does not run; check its status first"
            )
        if not task.command.checkpointable:
            raise CheckpointFailedError(
                f"task {task_id!r} cannot be checkpointed; stop it instead"
            )
        task.checkpoint = dumps({"progress_s": task.progress_s})
        return task.checkpoint

    def throttle(self, task_id: str, share: float = 0.5) -> None:
        """Slow a running task down to a share of its full speed."""
        if not 0 < share <= 1:
            raise InvalidInputError(
                f"share {share!r} is not above 0 and at most 1"
            )
        self.faults.enter()
        task = self._current(task_id)
        if task is not None:
            task.share = share

    def stop(self, task_id: str) -> None:
        """Stop a task; without effect if it does not run."""
        self.faults.enter()
        task = self._current(task_id)
        if task is not None and task.phase == TaskPhase.RUNNING:
            self._end(task, TaskPhase.STOPPED, self.clock.monotonic())

    def usage(self) -> Usage:
        """Return what was in use some time ago."""
        self.faults.enter()
        as_of_s = self.clock.monotonic() - self.usage_lag_s
        used = Resources()
        task_ids = []
        for task_id in sorted(self._task_by_id):
            task = self._current(task_id)
            if task is not None and task.ran_at(as_of_s):
                used += task.needs
                task_ids.append(task_id)
        ended = sorted(
            (task.ended_at_s, task_id)
            for task_id, task in self._task_by_id.items()
            if task.ended_at_s is not None
        )
        last = tuple(task_id for _, task_id in ended[-ENDED_LISTED:])
        return Usage(used, tuple(task_ids), as_of_s, last)

    def _current(self, task_id: str) -> _Task | None:
        task = self._task_by_id.get(task_id)
        if task is not None and task.move_to(self.clock.monotonic()):
            self._finish(task)
        return task

    def _finish(self, task: _Task) -> None:
        if task.command.fail or self.faults.fail_all:
            task.phase = TaskPhase.FAILED
            task.detail = "the command failed"
            return
        task.phase = TaskPhase.SUCCEEDED
        self.ledger.done(task.command.key)

    def _end(
        self, task: _Task, phase: TaskPhase, now_s: float, detail: str = ""
    ) -> None:
        task.phase = phase
        task.detail = detail
        task.ended_at_s = now_s


def _json(answer: dict[str, str]) -> bytes:
    return dumps(answer, sort_keys=True).encode()


def _progress_s(checkpoint: str) -> float:
    if not checkpoint:
        return 0.0
    return convert_value(decode_json(checkpoint)["progress_s"], float)

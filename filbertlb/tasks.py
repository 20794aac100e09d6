"""Tasks that own their state and take typed messages in order."""

from __future__ import annotations

from contextlib import contextmanager
from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

from gevent import sleep
from gevent import spawn
from gevent.queue import Empty
from gevent.queue import Full
from gevent.queue import Queue
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

    from filbertlb.core.clock import Clock

MAILBOX_ITEMS = 10_000
LONGEST_NAP_S = 1.0
SHORTEST_NAP_S = 0.001
RESTART_DELAY_S = 0.25
"""Pause before a task runs again after an unexpected error."""


class Behaviour(Protocol):
    """What a task does with its messages and as time passes."""

    def receive(self, message: Any, now_s: float) -> None:
        """Take one message."""
        ...

    def tick(self, now_s: float) -> None:
        """Do what is due."""
        ...

    def next_due_s(self, now_s: float) -> float:
        """Return the monotonic time of the next tick in seconds."""
        ...


class Mailbox:
    """Bounded queue of a task's messages."""

    def __init__(self, name: str) -> None:
        self.dropped = 0
        self._name = name
        self._queue: Queue = Queue(MAILBOX_ITEMS)

    def post(self, message: Any) -> bool:
        """Queue a message; return False if the mailbox is full."""
        try:
            self._queue.put_nowait(message)
        except Full:
            self.dropped += 1
            logger.warning("mailbox of {} is full", self._name)
            return False
        return True

    def deliver(self, message: Any) -> None:
        """Queue a message, or drop it if the mailbox is full."""
        self.post(message)

    def get(self, timeout_s: float) -> Any:
        """Return the next message.

        Raises
        ------
        Empty
            If none came within ``timeout_s`` seconds.
        """
        # Even a task that is late lets the others run.
        return self._queue.get(timeout=max(SHORTEST_NAP_S, timeout_s))


def run_behaviour(
    behaviour: Behaviour, mailbox: Mailbox, clock: Clock
) -> None:
    """Pass messages and time to a behaviour until killed.

    A tick that is due comes before the next message, so that messages
    never put it off. A failure in one message is logged and does not
    stop the task.
    """
    while True:
        now_s = clock.monotonic()
        due_s = behaviour.next_due_s(now_s)
        if due_s <= now_s:
            _guarded(behaviour.tick, now_s)
            due_s = behaviour.next_due_s(now_s)
        nap_s = min(due_s - now_s, LONGEST_NAP_S)
        try:
            message = mailbox.get(nap_s)
        except Empty:
            _guarded(behaviour.tick, clock.monotonic())
            continue
        _guarded(behaviour.receive, message, clock.monotonic())


def _guarded(call: Any, *arguments: Any) -> None:
    try:
        call(*arguments)
    except Exception:
        logger.exception("failure in a task")


@contextmanager
def running_task(
    behaviour: Behaviour, mailbox: Mailbox, clock: Clock
) -> Iterator[None]:
    """Run a behaviour in a task of its own and end it at the end."""
    task = spawn(run_behaviour, behaviour, mailbox, clock)
    try:
        yield
    finally:
        task.kill()


def run_again_after_errors(task: Callable[[], None]) -> None:
    """Run a task until it returns; after an unexpected error run it again."""
    while True:
        try:
            task()
        except Exception:
            logger.exception("a task failed and starts again")
            sleep(RESTART_DELAY_S)
        else:
            return


@contextmanager
def running_all(tasks: Iterable[Callable[[], None]]) -> Iterator[None]:
    """Run tasks that start again after errors; kill them at the end."""
    greenlets = [spawn(run_again_after_errors, task) for task in tasks]
    try:
        yield
    finally:
        for greenlet in greenlets:
            greenlet.kill()

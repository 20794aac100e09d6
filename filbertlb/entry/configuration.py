"""Keeps the newest configuration in force on an entry."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from gevent import spawn
from gevent import Timeout
from gevent.event import Event
from loguru import logger

from filbertlb.core.revision_gate import RevisionGate
from filbertlb.core.revisions import NO_REVISION
from filbertlb.errors import FilbertlbError
from filbertlb.errors import UnavailableError
from filbertlb.table.configuration import ConfigurationStore

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from filbertlb.core.clock import Clock
    from filbertlb.core.revisions import Revision
    from filbertlb.core.site import SiteConfig
    from filbertlb.table.base import TableService

POLL_PERIOD_S = 2.0
CATCH_UP_PERIOD_S = 0.2


class NoConfigurationError(UnavailableError):
    """No configuration is known on this instance yet."""

    code = "no_configuration"


class ConfigWatcher:
    """Reads the head and puts newer revisions in force.

    Parameters
    ----------
    table : TableService
        Holds the revisions.
    clock : Clock
        Source of time.
    """

    def __init__(self, table: TableService, clock: Clock) -> None:
        self.gate = RevisionGate()
        self.store = ConfigurationStore(table, clock)
        self.listeners: list[Callable[[SiteConfig], None]] = []
        self._clock = clock
        self._wake = Event()

    @property
    def config(self) -> SiteConfig:
        """Return the configuration in force.

        Raises
        ------
        NoConfigurationError
            If there is none.
        """
        revision = self.gate.in_force
        if revision is None:
            raise NoConfigurationError(
                "no configuration is in force here; apply one with "
                "'filbertlb config apply', or wait until it is read",
                retry_after_s=POLL_PERIOD_S,
            )
        return revision.config

    def number(self) -> int:
        """Return the number of the revision in force."""
        return self.gate.number

    def observe(self, number: int) -> None:
        """Take note of a revision number in a message."""
        if self.gate.observe(number):
            self._wake.set()

    def install(self, revision: Revision) -> None:
        """Put a revision in force if it is newer."""
        if not self.gate.install(revision):
            return
        logger.info("configuration revision {} in force", revision.number)
        for listener in self.listeners:
            listener(revision.config)

    def refresh(self) -> None:
        """Read the head once and catch up with it.

        Raises
        ------
        FilbertlbError
            If the table service fails.
        """
        asked_at_s = self._clock.monotonic()
        head = self.store.head_number()
        self.gate.confirm(head, asked_at_s)
        if head != NO_REVISION and head > self.gate.number:
            self.install(self.store.revision(head))
            self.gate.confirm(head, asked_at_s)

    def catch_up(self) -> None:
        """Read the head if a newer revision is known or none is here.

        Raises
        ------
        FilbertlbError
            If the table service fails.
        """
        gate = self.gate
        if gate.number == NO_REVISION or gate.highest_seen > gate.number:
            self.refresh()

    def try_catch_up(self) -> None:
        """Catch up if the table service lets us; go on if not."""
        try:
            self.catch_up()
        except FilbertlbError as error:
            logger.warning("configuration not read: {}", error.message)

    def run(self) -> None:
        """Refresh until killed, at once when a newer one is heard of."""
        while True:
            period_s = POLL_PERIOD_S
            try:
                self.refresh()
            except FilbertlbError as error:
                logger.warning("configuration not read: {}", error.message)
                period_s = CATCH_UP_PERIOD_S * 5
            if self.gate.highest_seen > self.gate.number:
                period_s = min(period_s, CATCH_UP_PERIOD_S)
            with Timeout(period_s, False):
                self._wake.wait()
            self._wake.clear()


@contextmanager
def watching(watcher: ConfigWatcher) -> Iterator[None]:
    """Keep the configuration up to date while the block runs."""
    task = spawn(watcher.run)
    try:
        yield
    finally:
        task.kill()
        watcher.gate.stop()

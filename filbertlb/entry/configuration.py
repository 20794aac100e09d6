"""Keeps an entry's configuration up to date with the table service."""

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
    """Polls the head revision and puts newer revisions in force.

    Parameters
    ----------
    table : TableService
        Stores the revisions.
    clock : Clock
        Source of time.
    """

    def __init__(self, table: TableService, clock: Clock) -> None:
        self.revision_gate = RevisionGate()
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
        revision = self.revision_gate.in_force
        if revision is None:
            raise NoConfigurationError(
                "no configuration is in force on this instance; apply one "
                "with 'filbertlb config apply' or retry later",
                retry_after_s=POLL_PERIOD_S,
            )
        return revision.config

    def number(self) -> int:
        """Return the number of the revision in force."""
        return self.revision_gate.number

    def observe(self, number: int) -> None:
        """Record a revision number seen in a message; poll if it is newer."""
        if self.revision_gate.observe(number):
            self._wake.set()

    def install(self, revision: Revision) -> None:
        """Put a revision in force if it is newer."""
        if not self.revision_gate.install(revision):
            return
        logger.info("configuration revision {} in force", revision.number)
        for listener in self.listeners:
            listener(revision.config)

    def refresh(self) -> None:
        """Read the head number and put that revision in force if newer.

        Raises
        ------
        FilbertlbError
            If the table service fails.
        """
        request_time_s = self._clock.monotonic()
        head = self.store.head_number()
        self.revision_gate.confirm(head, request_time_s)
        if head != NO_REVISION and head > self.revision_gate.number:
            self.install(self.store.revision(head))
            self.revision_gate.confirm(head, request_time_s)

    def catch_up(self) -> None:
        """Refresh if a newer revision was seen or none is in force.

        Raises
        ------
        FilbertlbError
            If the table service fails.
        """
        revision_gate = self.revision_gate
        if (
            revision_gate.number == NO_REVISION
            or revision_gate.highest_seen > revision_gate.number
        ):
            self.refresh()

    def try_catch_up(self) -> None:
        """Catch up; log a failure instead of raising it."""
        try:
            self.catch_up()
        except FilbertlbError as error:
            logger.warning("configuration not read: {}", error.message)

    def run(self) -> None:
        """Poll until killed, at once when a newer revision is seen."""
        while True:
            period_s = POLL_PERIOD_S
            try:
                self.refresh()
            except FilbertlbError as error:
                logger.warning("configuration not read: {}", error.message)
                period_s = CATCH_UP_PERIOD_S * 5
            if self.revision_gate.highest_seen > self.revision_gate.number:
                period_s = min(period_s, CATCH_UP_PERIOD_S)
            with Timeout(period_s, False):
                self._wake.wait()
            self._wake.clear()


@contextmanager
def running_watcher(watcher: ConfigWatcher) -> Iterator[None]:
    """Poll for new configurations while the block runs."""
    task = spawn(watcher.run)
    try:
        yield
    finally:
        task.kill()
        watcher.revision_gate.stop()

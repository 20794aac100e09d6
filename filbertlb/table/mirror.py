"""A process's copy of one table, kept up to date by its changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from gevent import sleep
from gevent.event import Event
from loguru import logger

from filbertlb.errors import FilbertlbError
from filbertlb.table.base import HistoryLostError

if TYPE_CHECKING:
    from collections.abc import Callable

    from filbertlb.core.clock import Clock
    from filbertlb.table.base import Changes
    from filbertlb.table.base import Row
    from filbertlb.table.base import Snapshot
    from filbertlb.table.base import WatchedTable

WAIT_S = 1.0
"""Longest wait for a change; a silent connection shows soon after."""
RETRY_S = 0.25
GATHER_S = 0.02
"""Pause before the next call, so that changes come in batches."""


@attrs.define
class Mirror:
    """Rows of one table, never older than what was seen before.

    Attributes
    ----------
    version : int
        Changes up to here are in.
    changed : Event
        Set on each change; who waits clears it.
    """

    row_by_key: dict[str, Row] = attrs.Factory(dict)
    seen_s_by_key: dict[str, float] = attrs.Factory(dict)
    version: int = 0
    loaded: bool = False
    changed: Event = attrs.Factory(Event)
    _deleted_at: dict[str, int] = attrs.Factory(dict)
    _listeners: list[Callable[[str, Row | None], None]] = attrs.Factory(list)

    def add_listener(
        self, listener: Callable[[str, Row | None], None]
    ) -> None:
        """Call a listener with the key and new row of each change."""
        self._listeners.append(listener)

    def replace(self, snapshot: Snapshot, now_s: float) -> None:
        """Take in all rows; what is missing was deleted."""
        present = {row.key for row in snapshot.rows}
        for key, row in list(self.row_by_key.items()):
            if key not in present and row.version <= snapshot.version:
                self.delete(key, snapshot.version)
        for row in snapshot.rows:
            self.put(row, now_s)
        self.version = max(self.version, snapshot.version)
        self.loaded = True
        self.changed.set()

    def apply(self, changes: Changes, now_s: float) -> None:
        """Take in changes."""
        for row in changes.rows:
            self.put(row, now_s)
        for key, version in changes.deleted.items():
            self.delete(key, version)
        self.version = max(self.version, changes.version)

    def put(self, row: Row, now_s: float) -> None:
        """Take in one row unless a newer state of it is known."""
        known = self.row_by_key.get(row.key)
        newest = self._deleted_at.get(row.key, 0)
        if known is not None:
            newest = known.version
        if row.version <= newest:
            return
        self._deleted_at.pop(row.key, None)
        self.row_by_key[row.key] = row
        self.seen_s_by_key[row.key] = now_s
        self._tell(row.key, row)

    def delete(self, key: str, version: int) -> None:
        """Take in a deletion unless a newer row is known."""
        known = self.row_by_key.get(key)
        if known is not None and known.version <= version:
            del self.row_by_key[key]
            self.seen_s_by_key.pop(key, None)
            self._deleted_at[key] = version
            self._tell(key, None)

    def _tell(self, key: str, row: Row | None) -> None:
        for listener in self._listeners:
            listener(key, row)
        self.changed.set()


@attrs.define
class Follower:
    """Task that keeps a mirror up to date.

    Attributes
    ----------
    contact_s : float
        Monotonic time at which the last answered call was sent.
    failure : FilbertlbError, optional
        Why the newest call failed.
    """

    table: WatchedTable
    name: str
    mirror: Mirror
    clock: Clock
    prefix: str = ""
    gather_s: float = GATHER_S
    contact_s: float = float("-inf")
    failure: FilbertlbError | None = None

    def run(self) -> None:
        """Follow the table until killed."""
        while True:
            try:
                self._step()
            except FilbertlbError as error:
                self._failed(error)
                sleep(RETRY_S)

    def _step(self) -> None:
        sent_s = self.clock.monotonic()
        if not self.mirror.loaded:
            snapshot = self.table.snapshot(self.prefix or f"{self.name}/")
            self.mirror.replace(snapshot, self.clock.monotonic())
        else:
            changes = self._changes()
            if changes is not None:
                self.mirror.apply(changes, self.clock.monotonic())
        if self.failure is not None:
            logger.info("table {} answers again", self.name)
            self.failure = None
        self.contact_s = max(self.contact_s, sent_s)
        sleep(self.gather_s)

    def _changes(self) -> Changes | None:
        try:
            return self.table.changes(self.name, self.mirror.version, WAIT_S)
        except HistoryLostError as error:
            logger.info(
                "changes of {} after version {} are gone, reading all: {}",
                *(self.name, self.mirror.version, error),
            )
            self.mirror.loaded = False
            return None

    def _failed(self, error: FilbertlbError) -> None:
        if self.failure is None:
            logger.warning(
                "table {} lost at version {}: {}",
                *(self.name, self.mirror.version, error),
            )
        self.failure = error

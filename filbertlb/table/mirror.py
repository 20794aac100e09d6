"""Local copy of a table, kept up to date from its change feed."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import attrs
from gevent import sleep
from gevent.event import Event
from gevent.pool import Pool
from loguru import logger

from filbertlb.errors import FilbertlbError
from filbertlb.table.base import HistoryLostError
from filbertlb.table.version_times import VersionTimes

if TYPE_CHECKING:
    from collections.abc import Callable

    from filbertlb.core.clock import Clock
    from filbertlb.table.base import Changes
    from filbertlb.table.base import Row
    from filbertlb.table.base import Snapshot
    from filbertlb.table.base import WatchedTable

CHANGES_WAIT_S = 1.0
"""Longest wait for a change in one call.

Short, so that a connection that stopped answering is noticed soon.
"""
RETRY_DELAY_S = 0.25
"""Time between the calls that find out whether the table answers again."""
MAX_RETRY_DELAY_S = 1.0
"""Longest pause between reads that fail though the table answers."""
MAX_PROBES = 8
"""Calls without an answer yet up to which another one is sent."""
MIN_CHANGES_BYTES = 512 * 1024
"""Size up to which changes are read whatever the size of the table."""
CHANGES_TO_TABLE = 2
"""Size of changes, as a multiple of all values, above which the whole table
is read instead; values are a third longer in an answer.
"""
BATCH_DELAY_S = 0.02
"""Pause before the next call, so that it returns a batch of changes."""


@attrs.define
class Mirror:
    """Local copy of the rows of one table.

    A row is only ever replaced by a newer version of it.

    Attributes
    ----------
    row_by_key : dict of str to Row
        Present rows.
    seen_s_by_key : dict of str to float
        Monotonic time at which each row was received.
    version : int
        Every change up to this version is applied.
    loaded : bool
        Whether a snapshot was applied since the change history was last
        lost.
    changed : Event
        Set on each change; the waiting task clears it.
    versions : VersionTimes
        Times by which versions of the table service had been reached.
    value_bytes : int
        Size of all values.
    """

    row_by_key: dict[str, Row] = attrs.Factory(dict)
    seen_s_by_key: dict[str, float] = attrs.Factory(dict)
    version: int = 0
    loaded: bool = False
    changed: Event = attrs.Factory(Event)
    versions: VersionTimes = attrs.Factory(VersionTimes)
    value_bytes: int = 0
    _deletion_version_by_key: dict[str, int] = attrs.Factory(dict)
    _listeners: list[Callable[[str, Row | None], None]] = attrs.Factory(list)

    def add_listener(
        self, listener: Callable[[str, Row | None], None]
    ) -> None:
        """Call a listener on each change with the key and new row.

        The row is None if it was deleted.
        """
        self._listeners.append(listener)

    def replace(
        self, snapshot: Snapshot, now_s: float, sent_s: float | None = None
    ) -> None:
        """Apply a snapshot; rows that are missing in it were deleted.

        Parameters
        ----------
        sent_s : float, optional
            Monotonic time at which the snapshot was asked for. Its rows may
            be newer than its version.
        """
        present = {row.key for row in snapshot.rows}
        for key, row in list(self.row_by_key.items()):
            if key not in present and row.version <= snapshot.version:
                self.delete(key, snapshot.version)
        for row in snapshot.rows:
            self.put(row, now_s)
        self._advance(snapshot.version, now_s, snapshot.clock_ms, sent_s)
        self.loaded = True
        self.changed.set()

    def apply(self, changes: Changes, now_s: float) -> None:
        """Apply changes."""
        for row in changes.rows:
            self.put(row, now_s)
        for key, version in changes.deleted.items():
            self.delete(key, version)
        self._advance(changes.version, now_s, changes.clock_ms)

    def put(self, row: Row, now_s: float) -> None:
        """Apply one row unless a newer write or deletion is known."""
        known = self.row_by_key.get(row.key)
        newest = self._deletion_version_by_key.get(row.key, 0)
        if known is not None:
            newest = known.version
        if row.version <= newest:
            return
        self._deletion_version_by_key.pop(row.key, None)
        self.value_bytes += len(row.value)
        if known is not None:
            self.value_bytes -= len(known.value)
        self.row_by_key[row.key] = row
        self.seen_s_by_key[row.key] = now_s
        self._notify_listeners(row.key, row)

    def delete(self, key: str, version: int) -> None:
        """Apply a deletion unless a newer row is known."""
        known = self.row_by_key.get(key)
        if known is not None and known.version <= version:
            del self.row_by_key[key]
            self.value_bytes -= len(known.value)
            self.seen_s_by_key.pop(key, None)
            self._deletion_version_by_key[key] = version
            self._notify_listeners(key, None)

    def _advance(
        self,
        version: int,
        now_s: float,
        clock_ms: int,
        sent_s: float | None = None,
    ) -> None:
        self.version = max(self.version, version)
        self.versions.observe(self.version, now_s, clock_ms, sent_s)

    def _notify_listeners(self, key: str, row: Row | None) -> None:
        for listener in self._listeners:
            listener(key, row)
        self.changed.set()


@attrs.define
class Follower:
    """Task that keeps a mirror up to date.

    Attributes
    ----------
    table : WatchedTable
        Table service that is polled.
    name : str
        Name of the table.
    mirror : Mirror
        Copy to update.
    clock : Clock
        Source of monotonic time.
    prefix : str
        Prefix of the keys in snapshots; the whole table by default.
    batch_delay_s : float
        Pause after each call in seconds.
    contact_s : float
        Monotonic time at which the last answered call was sent.
    complete_s : float
        Monotonic time up to which the mirror has all changes.
    failure : FilbertlbError, optional
        Failure of the latest call; None if it succeeded.
    random : Random
        Source of the jitter of retries.
    """

    table: WatchedTable
    name: str
    mirror: Mirror
    clock: Clock
    prefix: str = ""
    batch_delay_s: float = BATCH_DELAY_S
    contact_s: float = float("-inf")
    complete_s: float = float("-inf")
    failure: FilbertlbError | None = None
    random: Random = attrs.Factory(Random)
    _failed_reads: int = 0

    def run(self) -> None:
        """Poll the table for changes until the task is killed."""
        while True:
            try:
                self._step()
            except FilbertlbError as error:
                self._record_failure(error)
                self._wait_for_answer()
            except Exception as error:
                # Without this task the copy would look up to date for ever.
                logger.exception("following of {} failed", self.name)
                self._record_failure(FilbertlbError(repr(error)))
                sleep(RETRY_DELAY_S)

    def _wait_for_answer(self) -> None:
        """Wait until the table answers a call.

        Calls are sent beside each other, as one that was sent while the
        table was silent gets no answer once it is back. They ask for no
        rows: a table that is slow, or behind a slow link, would become
        slower by each of them.
        """
        sleep(self._retry_delay_s())
        answered = Event()
        probes = Pool(MAX_PROBES)
        probes.spawn(self._probe, answered)
        while not answered.wait(RETRY_DELAY_S):
            if probes.free_count():
                probes.spawn(self._probe, answered)

    def _retry_delay_s(self) -> float:
        """Return the pause after a failed read, with jitter."""
        self._failed_reads += 1
        longest_s = RETRY_DELAY_S * 2 ** (self._failed_reads - 1)
        jitter = self.random.uniform(0.5, 1.0)
        return jitter * min(MAX_RETRY_DELAY_S, longest_s)

    def _probe(self, answered: Event) -> None:
        """Set the event if the table answers."""
        try:
            self.table.newest_version(self.name)
        except FilbertlbError:
            return
        answered.set()

    def _step(self) -> None:
        sent_s = self.clock.monotonic()
        if not self.mirror.loaded:
            snapshot = self.table.snapshot(self.prefix or f"{self.name}/")
            self.mirror.replace(snapshot, self.clock.monotonic(), sent_s)
            self.complete_s = sent_s
        else:
            changes = self._read_changes()
            if changes is not None:
                self.mirror.apply(changes, self.clock.monotonic())
                self.complete_s = sent_s
        if self.failure is not None:
            logger.info("table {} answers again", self.name)
            self.failure = None
            self._failed_reads = 0
        self.contact_s = max(self.contact_s, sent_s)
        sleep(self.batch_delay_s)

    def _read_changes(self) -> Changes | None:
        try:
            return self.table.changes(
                self.name,
                self.mirror.version,
                CHANGES_WAIT_S,
                self._limit_bytes(),
            )
        except HistoryLostError as error:
            logger.info(
                "changes of table {} after version {} cannot be read, "
                "reading the whole table: {}",
                *(self.name, self.mirror.version, error),
            )
            self.mirror.loaded = False
            return None

    def _limit_bytes(self) -> int:
        """Return the size of changes above which a snapshot is smaller."""
        return max(
            MIN_CHANGES_BYTES, CHANGES_TO_TABLE * self.mirror.value_bytes
        )

    def _record_failure(self, error: FilbertlbError) -> None:
        if self.failure is None:
            logger.warning(
                "table {} lost at version {}: {}",
                *(self.name, self.mirror.version, error),
            )
        self.failure = error

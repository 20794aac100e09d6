"""In-memory table service with fault injection."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from gevent import sleep

from filbertlb.table.base import ABSENT
from filbertlb.table.base import Changes
from filbertlb.table.base import HistoryLostError
from filbertlb.table.base import MAX_CHANGES_BYTES
from filbertlb.table.base import Row
from filbertlb.table.base import RowConflictError
from filbertlb.table.base import Snapshot
from filbertlb.table.base import TableUnavailableError
from filbertlb.table.base import WriteOutcomeUnknownError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from filbertlb.table.base import Write


@attrs.define
class Faults:
    """Failures that an in-memory service simulates.

    Parameters
    ----------
    down : bool
        Refuse every call.
    delay_s : float
        Delay of every call in seconds.
    lose_acks : int
        Number of next transactions that are applied but whose answer
        is lost.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_acks: int = 0


@attrs.define
class MemoryTable:
    """Table service that keeps its rows in memory.

    Parameters
    ----------
    faults : Faults
        Failures to simulate.
    reads : int
        Number of reads so far.
    writes : int
        Number of rows written so far.
    clock_ms : int
        Time of the service's clock in its answers; 0 for none.
    """

    faults: Faults = attrs.Factory(Faults)
    reads: int = 0
    writes: int = 0
    clock_ms: int = 0
    _row_by_key: dict[str, Row] = attrs.Factory(dict)
    _last_version: int = ABSENT
    _deletion_version_by_key: dict[str, int] = attrs.Factory(dict)
    _history_start: int = ABSENT

    def get(self, key: str) -> Row | None:
        """Return the row of a key, or None if there is none."""
        self._simulate_faults()
        self.reads += 1
        return self._row_by_key.get(key)

    def scan(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> list[Row]:
        """Return rows whose keys start with a prefix, in key order."""
        self._simulate_faults()
        self.reads += 1
        keys = sorted(
            key
            for key in self._row_by_key
            if key.startswith(prefix) and key > after
        )
        return [self._row_by_key[key] for key in keys[:limit]]

    def commit(self, writes: Sequence[Write]) -> tuple[int, ...]:
        """Apply the writes atomically and return their new versions."""
        self._simulate_faults()
        for write in writes:
            self._check_version(write)
        versions = tuple(self._apply(write) for write in writes)
        self.writes += len(writes)
        if self.faults.lose_acks > 0:
            self.faults.lose_acks -= 1
            raise WriteOutcomeUnknownError("the answer was lost")
        return versions

    def snapshot(self, prefix: str) -> Snapshot:
        """Return all rows under a prefix."""
        rows = self.scan(prefix, limit=len(self._row_by_key))
        return Snapshot(tuple(rows), self._last_version, self.clock_ms)

    def newest_version(self, table: str) -> int:
        """Return the newest version of all tables."""
        self._simulate_faults()
        return self._last_version

    def changes(
        self,
        table: str,
        after: int,
        wait_s: float,
        limit_bytes: int = MAX_CHANGES_BYTES,
    ) -> Changes:
        """Return the changes after a version, without waiting."""
        self._simulate_faults()
        if after < self._history_start:
            raise HistoryLostError(
                f"changes after version {after!r} are no longer kept; read "
                "the whole table"
            )
        rows = [
            row
            for row in self.scan(f"{table}/", limit=len(self._row_by_key))
            if row.version > after
        ]
        deleted = {
            key: version
            for key, version in self._deletion_version_by_key.items()
            if key.startswith(f"{table}/") and version > after
        }
        return Changes(tuple(rows), deleted, self._last_version, self.clock_ms)

    def discard_history(self) -> None:
        """Discard the history of all changes so far."""
        self._history_start = self._last_version

    def _simulate_faults(self) -> None:
        if self.faults.delay_s:
            sleep(self.faults.delay_s)
        if self.faults.down:
            raise TableUnavailableError("the table service is down")

    def _current_version(self, key: str) -> int:
        row = self._row_by_key.get(key)
        return ABSENT if row is None else row.version

    def _check_version(self, write: Write) -> None:
        if write.expected_version is None:
            return
        current = self._current_version(write.key)
        if current != write.expected_version:
            raise RowConflictError(
                f"row {write.key!r} is at version {current}, not "
                f"{write.expected_version}; read it again"
            )

    def _apply(self, write: Write) -> int:
        if write.value is None:
            if self._row_by_key.pop(write.key, None) is not None:
                self._last_version += 1
                self._deletion_version_by_key[write.key] = self._last_version
            return ABSENT
        # All keys share one counter, so a row that is deleted and created
        # again never gets a version that it had before.
        self._last_version += 1
        row = Row(write.key, write.value, self._last_version)
        self._row_by_key[write.key] = row
        return row.version

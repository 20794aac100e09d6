"""Table service held in memory, with switches for its failures."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from gevent import sleep

from filbertlb.table.base import ABSENT
from filbertlb.table.base import Changes
from filbertlb.table.base import HistoryLostError
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
    """Failures that a stand-in shows on demand.

    Parameters
    ----------
    down : bool
        Every call is refused.
    delay_s : float
        Seconds that every call takes.
    lose_acks : int
        Number of coming transactions that are written without an
        answer.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_acks: int = 0


@attrs.define
class MemoryTable:
    """Transactional rows in one process.

    Parameters
    ----------
    faults : Faults
        Failures shown to callers.
    """

    faults: Faults = attrs.Factory(Faults)
    reads: int = 0
    writes: int = 0
    _row_by_key: dict[str, Row] = attrs.Factory(dict)
    _last_version: int = ABSENT
    _deleted_at: dict[str, int] = attrs.Factory(dict)
    _history_from: int = ABSENT

    def get(self, key: str) -> Row | None:
        """Return the row of a key, or None."""
        self._enter()
        self.reads += 1
        return self._row_by_key.get(key)

    def scan(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> list[Row]:
        """Return rows whose keys start with a prefix, in key order."""
        self._enter()
        self.reads += 1
        keys = sorted(
            key
            for key in self._row_by_key
            if key.startswith(prefix) and key > after
        )
        return [self._row_by_key[key] for key in keys[:limit]]

    def commit(self, writes: Sequence[Write]) -> tuple[int, ...]:
        """Apply all writes or none and return their new versions."""
        self._enter()
        for write in writes:
            self._check(write)
        versions = tuple(self._apply(write) for write in writes)
        self.writes += len(writes)
        if self.faults.lose_acks > 0:
            self.faults.lose_acks -= 1
            raise WriteOutcomeUnknownError("the answer was lost")
        return versions

    def snapshot(self, prefix: str) -> Snapshot:
        """Return all rows under a prefix."""
        rows = self.scan(prefix, limit=len(self._row_by_key))
        return Snapshot(tuple(rows), self._last_version)

    def changes(self, table: str, after: int, wait_s: float) -> Changes:
        """Return what changed after a version, without waiting."""
        self._enter()
        if after < self._history_from:
            raise HistoryLostError(
                f"changes after {after!r} are gone; read the table again"
            )
        rows = [
            row
            for row in self.scan(f"{table}/", limit=len(self._row_by_key))
            if row.version > after
        ]
        deleted = {
            key: version
            for key, version in self._deleted_at.items()
            if key.startswith(f"{table}/") and version > after
        }
        return Changes(tuple(rows), deleted, self._last_version)

    def forget_history(self) -> None:
        """Drop the record of all changes so far."""
        self._history_from = self._last_version

    def _enter(self) -> None:
        if self.faults.delay_s:
            sleep(self.faults.delay_s)
        if self.faults.down:
            raise TableUnavailableError("the table service is down")

    def _version(self, key: str) -> int:
        row = self._row_by_key.get(key)
        return ABSENT if row is None else row.version

    def _check(self, write: Write) -> None:
        if write.expected_version is None:
            return
        current = self._version(write.key)
        if current != write.expected_version:
            raise RowConflictError(
                f"row {write.key!r} is at version {current}, not "
                f"{write.expected_version}; read it again"
            )

    def _apply(self, write: Write) -> int:
        if write.value is None:
            if self._row_by_key.pop(write.key, None) is not None:
                self._last_version += 1
                self._deleted_at[write.key] = self._last_version
            return ABSENT
        # One counter for all keys: a deleted and recreated row never
        # shows a version that it had before.
        self._last_version += 1
        row = Row(write.key, write.value, self._last_version)
        self._row_by_key[write.key] = row
        return row.version

"""Registration of entries in the table service, for discovery."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import attrs
import msgspec
from gevent import sleep
from gevent import spawn
from loguru import logger

from filbertlb.errors import FilbertlbError
from filbertlb.ranges import Count
from filbertlb.table.base import Write
from filbertlb.table.rows import decode_row
from filbertlb.table.rows import UnreadableRowError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from filbertlb.table.base import TableService

ENTRY_PREFIX = "entries/"
REFRESH_PERIOD_S = 15.0
RETRY_PERIOD_S = 1.0
STALE_REFRESHES = 4


@attrs.frozen
class EntryRow:
    """Addresses at which an entry listens.

    Parameters
    ----------
    beat : int
        Incremented at every refresh; a row whose beat stops changing
        belongs to an entry that is gone.
    """

    entry_id: str
    address: str
    url: str
    beat: Count = 0


def look_up_entries(table: TableService) -> list[EntryRow]:
    """Return the rows of all registered entries, but unreadable ones.

    Raises
    ------
    TableUnavailableError
        If the table service does not answer.
    """
    entries = []
    for row in table.scan(ENTRY_PREFIX):
        try:
            entries.append(decode_row(row, EntryRow))
        except UnreadableRowError as error:
            logger.error("row {} names no entry: {}", row.key, error)
    return entries


class _Registrar:
    """Refreshes an entry's row and deletes stale rows of other entries."""

    def __init__(
        self,
        table: TableService,
        row: EntryRow,
        on_refresh: Callable[[list[EntryRow]], None],
    ) -> None:
        self._table = table
        self._row = row
        self._on_refresh = on_refresh
        self._unchanged_by_id: dict[str, tuple[int, int]] = {}

    def run(self) -> None:
        """Refresh until killed."""
        while True:
            try:
                self.refresh()
                sleep(REFRESH_PERIOD_S)
            except FilbertlbError as error:
                logger.warning(
                    "entry registration failed, retrying: {}", error.message
                )
                sleep(RETRY_PERIOD_S)

    def refresh(self) -> None:
        """Write this entry's row and read those of all entries."""
        self._row = attrs.evolve(self._row, beat=self._row.beat + 1)
        value = msgspec.json.encode(self._row)
        key = ENTRY_PREFIX + self._row.entry_id
        self._table.commit((Write(key, value),))
        rows = look_up_entries(self._table)
        self._on_refresh([row for row in rows if not self._is_stale(row)])

    def _is_stale(self, row: EntryRow) -> bool:
        beat, unchanged = self._unchanged_by_id.get(row.entry_id, (-1, 0))
        unchanged = unchanged + 1 if beat == row.beat else 0
        self._unchanged_by_id[row.entry_id] = (row.beat, unchanged)
        if unchanged < STALE_REFRESHES:
            return False
        self._table.commit((Write(ENTRY_PREFIX + row.entry_id, None),))
        return True

    def deregister(self) -> None:
        """Delete this entry's row."""
        key = ENTRY_PREFIX + self._row.entry_id
        try:
            self._table.commit((Write(key, None),))
        except FilbertlbError as error:
            logger.warning(
                "entry's row not deleted, it becomes stale: {}", error.message
            )


@contextmanager
def registered(
    table: TableService,
    row: EntryRow,
    on_refresh: Callable[[list[EntryRow]], None],
) -> Iterator[None]:
    """Keep an entry registered while the block runs.

    Parameters
    ----------
    on_refresh : callable
        Receives the rows of all live entries at every refresh.
    """
    registrar = _Registrar(table, row, on_refresh)
    task = spawn(registrar.run)
    try:
        yield
    finally:
        task.kill()
        registrar.deregister()

"""Interface to the platform's transactional table service."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

import attrs

from filbertlb.errors import ConflictError
from filbertlb.errors import FilbertlbError
from filbertlb.errors import OutcomeUnknownError
from filbertlb.errors import UnavailableError

if TYPE_CHECKING:
    from collections.abc import Sequence

ABSENT = 0
"""Version of a key that holds no row."""


class RowConflictError(ConflictError):
    """A conditional write met another version of a row.

    Nothing of the transaction was written.
    """

    code = "row_conflict"


class TableUnavailableError(UnavailableError):
    """The table service refused the call; nothing was written."""

    code = "table_unavailable"


class WriteOutcomeUnknownError(OutcomeUnknownError):
    """The answer was lost; the transaction may have been written."""

    code = "write_outcome_unknown"


class HistoryLostError(FilbertlbError):
    """The changes asked for are no longer kept; read everything again."""

    code = "history_lost"


@attrs.frozen
class Row:
    """One stored value.

    Parameters
    ----------
    key : str
        Path-like key.
    value : bytes
        Encoded value.
    version : int
        Grows with every write of the key; at least 1.
    """

    key: str
    value: bytes
    version: int


@attrs.frozen
class Write:
    """One conditional write of a transaction.

    Parameters
    ----------
    key : str
        Path-like key.
    value : bytes, optional
        New value; None deletes the row.
    expected_version : int, optional
        Version that must be current; ``ABSENT`` for no row and None
        for any.
    """

    key: str
    value: bytes | None
    expected_version: int | None = None


class TableService(Protocol):
    """What the system asks of the platform's table service."""

    def get(self, key: str) -> Row | None:
        """Return the row of a key, or None.

        Raises
        ------
        TableUnavailableError
            If the service does not answer.
        """
        ...

    def scan(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> list[Row]:
        """Return rows whose keys start with a prefix, in key order.

        Raises
        ------
        TableUnavailableError
            If the service does not answer.
        """
        ...

    def commit(self, writes: Sequence[Write]) -> tuple[int, ...]:
        """Apply all writes or none and return their new versions.

        Raises
        ------
        RowConflictError
            If an expected version is not current; nothing is written.
        TableUnavailableError
            If the service refused; nothing is written.
        WriteOutcomeUnknownError
            If the answer was lost.
        """
        ...


@attrs.frozen
class Snapshot:
    """All rows under a prefix.

    Parameters
    ----------
    version : int
        Changes after this version are not all in it.
    """

    rows: tuple[Row, ...]
    version: int


@attrs.frozen
class Changes:
    """What changed in a table after a version.

    Parameters
    ----------
    deleted : dict of str to int
        Keys of deleted rows with the version of the deletion.
    version : int
        Where to go on.
    """

    rows: tuple[Row, ...]
    deleted: dict[str, int]
    version: int


class WatchedTable(TableService, Protocol):
    """Table service that tells what changes.

    The part of a key before its first slash names a table.
    """

    def snapshot(self, prefix: str) -> Snapshot:
        """Return all rows under a prefix.

        Raises
        ------
        TableUnavailableError
            If the service does not answer.
        """
        ...

    def changes(self, table: str, after: int, wait_s: float) -> Changes:
        """Return what changed after a version; wait for the first change.

        Raises
        ------
        HistoryLostError
            If these changes are no longer kept.
        TableUnavailableError
            If the service does not answer.
        """
        ...

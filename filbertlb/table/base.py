"""Interface to the platform's transactional table service."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

import attrs

from filbertlb.errors import ConflictError
from filbertlb.errors import FilbertlbError
from filbertlb.errors import OutcomeUnknownError
from filbertlb.errors import UnavailableError
from filbertlb.ranges import Count

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_CHANGES_BYTES = 64 * 1024 * 1024
ABSENT = 0
"""Version of a key that holds no row."""


class RowConflictError(ConflictError):
    """The expected version of a row is not its current version.

    The whole transaction was rejected; nothing was written.
    """

    code = "row_conflict"


class TableUnavailableError(UnavailableError):
    """The table service refused the call; nothing was written."""

    code = "table_unavailable"


class WriteOutcomeUnknownError(OutcomeUnknownError):
    """No answer arrived; the transaction may have been applied."""

    code = "write_outcome_unknown"


class TableRejectedError(FilbertlbError):
    """The service rejects the call as such; trying again does not help."""

    code = "table_rejected"


class HistoryLostError(FilbertlbError):
    """The requested changes are no longer kept; read the whole table."""

    code = "history_lost"


@attrs.frozen
class Row:
    """A stored row.

    Parameters
    ----------
    key : str
        Path-like key.
    value : bytes
        Encoded value.
    version : int
        Increases with every write of the key; at least 1.
    """

    key: str
    value: bytes
    version: Count


@attrs.frozen
class Write:
    """One write of a transaction, optionally conditional.

    Parameters
    ----------
    key : str
        Path-like key.
    value : bytes, optional
        New value; None deletes the row.
    expected_version : int, optional
        Version that the row must have, ``ABSENT`` if there must be no
        row; None makes the write unconditional.
    """

    key: str
    value: bytes | None
    expected_version: Count | None = None


@attrs.frozen
class TransactionLimits:
    """Largest transaction that a table service accepts.

    Parameters
    ----------
    entries : int
        Number of entries: writes, and expected versions of writes.
    total_bytes : int
        Size of the whole transaction.
    row_bytes : int
        Size of one stored value.
    """

    entries: int = 100
    total_bytes: int = 1_000_000
    row_bytes: int = 65_536


def stored_bytes(value: bytes | None) -> int:
    """Return the size of a stored value, which is in base64."""
    return 0 if value is None else (len(value) + 2) // 3 * 4


class TableService(Protocol):
    """Operations that this system uses of the platform's table service."""

    def get(self, key: str) -> Row | None:
        """Return the row of a key, or None if there is none.

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

        Parameters
        ----------
        after : str
            Only rows with keys greater than this one.
        limit : int
            Maximum number of rows.

        Raises
        ------
        TableUnavailableError
            If the service does not answer.
        """
        ...

    def commit(self, writes: Sequence[Write]) -> tuple[int, ...]:
        """Apply the writes atomically and return their new versions.

        The version of a deleted row is ``ABSENT``.

        Raises
        ------
        RowConflictError
            If an expected version is not current; nothing is written.
        TableUnavailableError
            If the service refused the call; nothing is written.
        WriteOutcomeUnknownError
            If no answer arrived; the writes may have been applied.
        """
        ...


@attrs.frozen
class Snapshot:
    """All rows under a prefix.

    Parameters
    ----------
    version : int
        Every change up to this version is included; later changes may
        be missing.
    clock_ms : int
        Time of the service's steady clock; 0 if it tells none.
    """

    rows: tuple[Row, ...]
    version: Count
    clock_ms: Count = 0


@attrs.frozen
class Changes:
    """Changes of a table after a version.

    Parameters
    ----------
    rows : tuple of Row
        Rows that were created or changed.
    deleted : dict of str to int
        Version of the deletion by key of the deleted row.
    version : int
        Version after which the next request continues.
    clock_ms : int
        Time of the service's steady clock; 0 if it tells none.
    """

    rows: tuple[Row, ...]
    deleted: dict[str, int]
    version: Count
    clock_ms: Count = 0


class WatchedTable(TableService, Protocol):
    """Table service that also serves snapshots and change feeds.

    A table holds the keys that share the part before the first slash. The
    versions of rows, snapshots and changes of all tables come from one
    counter, which increases with each transaction.
    """

    def snapshot(self, prefix: str) -> Snapshot:
        """Return all rows under a prefix.

        Raises
        ------
        TableUnavailableError
            If the service does not answer.
        """
        ...

    def newest_version(self, table: str) -> int:
        """Return the newest version of all tables by a call without rows.

        Raises
        ------
        TableUnavailableError
            If the service does not answer.
        """
        ...

    def changes(
        self,
        table: str,
        after: int,
        wait_s: float,
        limit_bytes: int = MAX_CHANGES_BYTES,
    ) -> Changes:
        """Return the changes after a version, waiting for the first one.

        They may hold several versions of one row.

        Parameters
        ----------
        table : str
            Name of the table.
        after : int
            Version up to which the caller knows the table.
        wait_s : float
            Longest wait for a change in seconds.
        limit_bytes : int
            Size from which changes are not worth reading.

        Raises
        ------
        HistoryLostError
            If changes since this version are no longer kept, or are larger
            than ``limit_bytes``.
        TableUnavailableError
            If the service does not answer.
        """
        ...

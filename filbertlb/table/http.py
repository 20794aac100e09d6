"""HTTP client of the table service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from filbertlb.httpcall import HttpCaller
from filbertlb.table.base import RowConflictError
from filbertlb.table.base import TableUnavailableError
from filbertlb.table.base import WriteOutcomeUnknownError
from filbertlb.table.wire import CommitCall
from filbertlb.table.wire import CommitReply
from filbertlb.table.wire import GetCall
from filbertlb.table.wire import GetReply
from filbertlb.table.wire import ScanCall
from filbertlb.table.wire import ScanReply
from filbertlb.typedcall import TypedCaller

if TYPE_CHECKING:
    from collections.abc import Sequence

    from filbertlb.table.base import Row
    from filbertlb.table.base import Write

TABLE_TIMEOUT_S = 2.0


class HttpTable:
    """Client of a table service over HTTP.

    Parameters
    ----------
    base_url : str
        URL of the service, such as ``http://10.0.0.1:8080``.
    timeout_s : float
        Timeout of one call in seconds.
    """

    def __init__(
        self, base_url: str, timeout_s: float = TABLE_TIMEOUT_S
    ) -> None:
        self._caller = HttpCaller(base_url)
        self._typed = TypedCaller(
            self._caller,
            timeout_s,
            refused=TableUnavailableError,
            unknown=WriteOutcomeUnknownError,
            errors=(RowConflictError,),
        )

    def get(self, key: str) -> Row | None:
        """Return the row of a key, or None if there is none."""
        return self._typed.read("/table/get", GetCall(key), GetReply).row

    def scan(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> list[Row]:
        """Return rows whose keys start with a prefix, in key order."""
        call = ScanCall(prefix, after, limit)
        return list(self._typed.read("/table/scan", call, ScanReply).rows)

    def commit(self, writes: Sequence[Write]) -> tuple[int, ...]:
        """Apply the writes atomically and return their new versions."""
        call = CommitCall(tuple(writes))
        return self._typed.call("/table/commit", call, CommitReply).versions

    def close(self) -> None:
        """Close the connections that are kept open."""
        self._caller.close()

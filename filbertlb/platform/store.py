"""The platform's row store as the product's table service."""

from __future__ import annotations

from base64 import b64decode
from base64 import b64encode
from typing import Any
from typing import TYPE_CHECKING
from urllib.parse import urlencode

import msgspec

from filbertlb.errors import FilbertlbError
from filbertlb.httpcall import CallNotSentError
from filbertlb.httpcall import CallOutcomeUnknownError
from filbertlb.httpcall import HttpCaller
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

    from filbertlb.httpcall import Reply
    from filbertlb.table.base import Write

READ_TIMEOUT_S = 0.8
WRITE_TIMEOUT_S = 1.2
"""A slow store takes 0.6 s for a transaction."""
FEED_SLACK_S = 0.8
PAGE_ROWS = 500

HTTP_OK = 200
HTTP_GONE = 410
HTTP_CONFLICT = 412
REFUSED = frozenset((429, 503))


class TableRejectedError(FilbertlbError):
    """The store rejects the call as such; trying again does not help."""

    code = "table_rejected"


class _StoredRow(msgspec.Struct, rename="camel"):
    table: str
    key: str
    # Number of the transaction that wrote the row, no version of a schema.
    schema_version: int = 0
    value: str = ""
    part: str = ""
    deleted: bool = False


class _Rows(msgspec.Struct, rename="camel"):
    rows: list[_StoredRow] = []
    has_more: bool = False
    # Number of the newest transaction in the store.
    schema_version: int = 0


class PlatformTable:
    """Rows of the platform's store under path-like keys.

    The part of a key before its first slash is the store's table, the
    rest its key there. All rows share one partition, so that any of
    them can be written in one transaction.

    Parameters
    ----------
    address : str
        Host and port of the store.
    """

    def __init__(self, address: str) -> None:
        self._caller = HttpCaller(f"http://{address}")
        self._feeds = HttpCaller(f"http://{address}")
        self._newest = 0

    def get(self, key: str) -> Row | None:
        """Return the row of a key, or None."""
        table, _, name = key.partition("/")
        found = self._page(table, name, limit=1)
        for row in found.rows:
            if row.key == name:
                return _row(row)
        return None

    def scan(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> list[Row]:
        """Return rows whose keys start with a prefix, in key order."""
        rows = self.snapshot(prefix).rows
        return [row for row in rows if row.key > after][:limit]

    def snapshot(self, prefix: str) -> Snapshot:
        """Return all rows under a prefix.

        Pages are read one after the other; the version is that of the
        first, so that changes between them come again.
        """
        table, _, start = prefix.partition("/")
        name, version = start, -1
        rows: list[Row] = []
        while True:
            page = self._page(table, name, limit=PAGE_ROWS)
            if version < 0:
                version = page.schema_version
            for row in page.rows:
                if not row.key.startswith(start):
                    return Snapshot(tuple(rows), version)
                rows.append(_row(row))
            if not page.has_more or not page.rows:
                return Snapshot(tuple(rows), version)
            name = page.rows[-1].key + "\0"

    def changes(self, table: str, after: int, wait_s: float) -> Changes:
        """Return what changed after a version; wait for the first change."""
        query = urlencode(
            {"table": table, "after": after, "waitMs": int(wait_s * 1000)}
        )
        reply = self._get(
            self._feeds,
            f"/filbertlb/rows-feed?{query}",
            wait_s + FEED_SLACK_S,
        )
        if reply.status == HTTP_GONE:
            raise HistoryLostError(
                f"changes of {table!r} after {after!r} are gone; read all"
            )
        found = self._decoded(reply)
        rows = []
        deleted = {}
        for row in found.rows:
            if row.deleted:
                deleted[f"{row.table}/{row.key}"] = row.schema_version
            else:
                rows.append(_row(row))
        return Changes(tuple(rows), deleted, found.schema_version)

    def commit(self, writes: Sequence[Write]) -> tuple[int, ...]:
        """Apply all writes or none and return their new versions."""
        body = msgspec.json.encode(_transaction(writes))
        try:
            reply = self._caller.post(
                "/filbertlb/rows-tx", body, WRITE_TIMEOUT_S, _JSON
            )
        except CallNotSentError as error:
            raise TableUnavailableError(error.message) from error
        except CallOutcomeUnknownError as error:
            raise WriteOutcomeUnknownError(error.message) from error
        if reply.status == HTTP_CONFLICT:
            keys = [write.key for write in writes]
            raise RowConflictError(f"a row of {keys!r} is newer; read again")
        version = self._decoded(reply).schema_version
        self._newest = max(self._newest, version)
        return tuple(
            ABSENT if write.value is None else version for write in writes
        )

    def close(self) -> None:
        """Close the kept connections."""
        self._caller.close()
        self._feeds.close()

    def _page(self, table: str, name: str, limit: int) -> _Rows:
        query = urlencode(
            {"table": table, "part": "", "from": name, "limit": limit}
        )
        newest = self._newest
        reply = self._get(
            self._caller, f"/filbertlb/rows-get?{query}", READ_TIMEOUT_S
        )
        found = self._decoded(reply)
        if found.schema_version < newest:
            raise TableUnavailableError(
                f"read of {table!r} is stale: version "
                f"{found.schema_version!r} after {newest!r}; read again"
            )
        self._newest = max(self._newest, found.schema_version)
        return found

    def _get(self, caller: HttpCaller, path: str, timeout_s: float) -> Reply:
        try:
            return caller.get(path, timeout_s)
        except (CallNotSentError, CallOutcomeUnknownError) as error:
            raise TableUnavailableError(error.message) from error

    def _decoded(self, reply: Reply) -> _Rows:
        if reply.status in REFUSED:
            raise TableUnavailableError(
                f"the store refuses calls with status {reply.status!r}"
            )
        if reply.status != HTTP_OK:
            raise TableRejectedError(
                f"the store answers {reply.status!r}: {reply.body[:200]!r}"
            )
        try:
            return msgspec.json.decode(reply.body, type=_Rows)
        except msgspec.MsgspecError as error:
            raise WriteOutcomeUnknownError(
                f"the store's answer cannot be read: {error}"
            ) from error


_JSON = {"Content-Type": "application/json"}


def _row(stored: _StoredRow) -> Row:
    return Row(
        f"{stored.table}/{stored.key}",
        b64decode(stored.value),
        stored.schema_version,
    )


def _transaction(writes: Sequence[Write]) -> dict[str, Any]:
    conditions = []
    puts = []
    removals = []
    for write in writes:
        table, _, name = write.key.partition("/")
        place: dict[str, Any] = {"table": table, "part": "", "key": name}
        if write.expected_version is not None:
            conditions.append(
                place | {"schemaVersion": write.expected_version}
            )
        if write.value is None:
            removals.append(place)
        else:
            puts.append(place | {"value": b64encode(write.value).decode()})
    return {"precondition": conditions, "puts": puts, "remove": removals}

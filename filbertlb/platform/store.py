"""Table service backed by the platform's row store."""

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
FEED_TIMEOUT_MARGIN_S = 0.8
"""Added to the long-poll wait of a feed call to get its timeout."""
ROWS_PER_PAGE = 500

HTTP_OK = 200
HTTP_GONE = 410
HTTP_PRECONDITION_FAILED = 412
REFUSAL_STATUSES = frozenset((429, 503))
"""Statuses with which the store refuses a call without any effect."""


class TableRejectedError(FilbertlbError):
    """The store rejects the call as such; trying again does not help."""

    code = "table_rejected"


class _StoredRow(msgspec.Struct, rename="camel"):
    table: str
    key: str
    # Number of the transaction that wrote the row, despite its name.
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
    """Table service that maps path-like keys to rows of the store.

    The part of a key before its first slash names the table in the store,
    the rest is the key within that table. All rows share one partition,
    so that one transaction can write any of them.

    Parameters
    ----------
    address : str
        Host and port of the store.
    """

    def __init__(self, address: str) -> None:
        self._caller = HttpCaller(f"http://{address}")
        # Separate connections, as feed calls wait for changes.
        self._feed_caller = HttpCaller(f"http://{address}")
        self._newest_version = 0

    def get(self, key: str) -> Row | None:
        """Return the row of a key, or None."""
        table, _, name = key.partition("/")
        page = self._read_page(table, name, limit=1)
        for row in page.rows:
            if row.key == name:
                return _decode_row(row)
        return None

    def scan(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> list[Row]:
        """Return rows whose keys start with a prefix, in key order."""
        rows = self.snapshot(prefix).rows
        return [row for row in rows if row.key > after][:limit]

    def snapshot(self, prefix: str) -> Snapshot:
        """Return all rows under a prefix.

        The version is that of the first page, so that reading changes from
        it also returns changes made while later pages were read.
        """
        table, _, start = prefix.partition("/")
        name, version = start, -1
        rows: list[Row] = []
        while True:
            page = self._read_page(table, name, limit=ROWS_PER_PAGE)
            if version < 0:
                version = page.schema_version
            for row in page.rows:
                if not row.key.startswith(start):
                    return Snapshot(tuple(rows), version)
                rows.append(_decode_row(row))
            if not page.has_more or not page.rows:
                return Snapshot(tuple(rows), version)
            name = page.rows[-1].key + "\0"

    def changes(self, table: str, after: int, wait_s: float) -> Changes:
        """Return changes after a version; wait up to ``wait_s`` for one."""
        query = urlencode(
            {"table": table, "after": after, "waitMs": int(wait_s * 1000)}
        )
        reply = self._get(
            self._feed_caller,
            f"/filbertlb/rows-feed?{query}",
            wait_s + FEED_TIMEOUT_MARGIN_S,
        )
        if reply.status == HTTP_GONE:
            raise HistoryLostError(
                f"changes of {table!r} after version {after!r} are no longer "
                "stored; read a snapshot"
            )
        changed = self._decode_reply(reply)
        rows = []
        deleted = {}
        for row in changed.rows:
            if row.deleted:
                deleted[f"{row.table}/{row.key}"] = row.schema_version
            else:
                rows.append(_decode_row(row))
        return Changes(tuple(rows), deleted, changed.schema_version)

    def commit(self, writes: Sequence[Write]) -> tuple[int, ...]:
        """Apply all writes or none and return their new versions."""
        body = msgspec.json.encode(_encode_transaction(writes))
        try:
            reply = self._caller.post(
                "/filbertlb/rows-tx", body, WRITE_TIMEOUT_S, _JSON_HEADERS
            )
        except CallNotSentError as error:
            raise TableUnavailableError(error.message) from error
        except CallOutcomeUnknownError as error:
            raise WriteOutcomeUnknownError(error.message) from error
        if reply.status == HTTP_PRECONDITION_FAILED:
            keys = [write.key for write in writes]
            raise RowConflictError(
                f"a row of {keys!r} is not at its expected version; read again"
            )
        version = self._decode_reply(reply).schema_version
        self._newest_version = max(self._newest_version, version)
        return tuple(
            ABSENT if write.value is None else version for write in writes
        )

    def close(self) -> None:
        """Close the pooled connections."""
        self._caller.close()
        self._feed_caller.close()

    def _read_page(self, table: str, name: str, limit: int) -> _Rows:
        """Read rows of a table from a key on.

        Raises
        ------
        TableUnavailableError
            If the store did not answer, or with a state older than one
            read or written before.
        """
        query = urlencode(
            {"table": table, "part": "", "from": name, "limit": limit}
        )
        newest_version = self._newest_version
        reply = self._get(
            self._caller, f"/filbertlb/rows-get?{query}", READ_TIMEOUT_S
        )
        page = self._decode_reply(reply)
        if page.schema_version < newest_version:
            raise TableUnavailableError(
                f"stale read of {table!r}: got version "
                f"{page.schema_version!r} after {newest_version!r}; read again"
            )
        self._newest_version = max(self._newest_version, page.schema_version)
        return page

    def _get(self, caller: HttpCaller, path: str, timeout_s: float) -> Reply:
        try:
            return caller.get(path, timeout_s)
        except (CallNotSentError, CallOutcomeUnknownError) as error:
            raise TableUnavailableError(error.message) from error

    def _decode_reply(self, reply: Reply) -> _Rows:
        if reply.status in REFUSAL_STATUSES:
            raise TableUnavailableError(
                f"the store refused the call with status {reply.status!r}"
            )
        if reply.status != HTTP_OK:
            raise TableRejectedError(
                f"the store rejected the call with status {reply.status!r}: "
                f"{reply.body[:200]!r}"
            )
        try:
            return msgspec.json.decode(reply.body, type=_Rows)
        except msgspec.MsgspecError as error:
            raise WriteOutcomeUnknownError(
                f"cannot decode reply of the store: {error}"
            ) from error


_JSON_HEADERS = {"Content-Type": "application/json"}


def _decode_row(stored: _StoredRow) -> Row:
    return Row(
        f"{stored.table}/{stored.key}",
        b64decode(stored.value),
        stored.schema_version,
    )


def _encode_transaction(writes: Sequence[Write]) -> dict[str, Any]:
    conditions = []
    puts = []
    removals = []
    for write in writes:
        table, _, name = write.key.partition("/")
        store_key: dict[str, Any] = {"table": table, "part": "", "key": name}
        if write.expected_version is not None:
            conditions.append(
                store_key | {"schemaVersion": write.expected_version}
            )
        if write.value is None:
            removals.append(store_key)
        else:
            puts.append(store_key | {"value": b64encode(write.value).decode()})
    return {"precondition": conditions, "puts": puts, "remove": removals}

"""Table service backed by the platform's row store."""

from __future__ import annotations

from base64 import b64encode
from contextlib import contextmanager
from time import monotonic
from typing import Any
from typing import TYPE_CHECKING
from urllib.parse import urlencode
from zlib import crc32

import attrs
import msgspec
from gevent import sleep
from gevent.pool import Pool
from loguru import logger

from filbertlb.core.response_timeout import ResponseTimeout
from filbertlb.decoding import decode_entries
from filbertlb.decoding import decode_json
from filbertlb.decoding import MalformedDataError
from filbertlb.httpcall import AnswerTooLargeError
from filbertlb.httpcall import CallNotSentError
from filbertlb.httpcall import CallOutcomeUnknownError
from filbertlb.httpcall import HttpCaller
from filbertlb.httpcall import MAX_ANSWER_BYTES
from filbertlb.ranges import Count
from filbertlb.table.base import ABSENT
from filbertlb.table.base import Changes
from filbertlb.table.base import HistoryLostError
from filbertlb.table.base import MAX_CHANGES_BYTES
from filbertlb.table.base import Row
from filbertlb.table.base import RowConflictError
from filbertlb.table.base import Snapshot
from filbertlb.table.base import TableRejectedError
from filbertlb.table.base import TableUnavailableError
from filbertlb.table.base import TransactionLimits
from filbertlb.table.base import WriteOutcomeUnknownError
from filbertlb.transfers import Transfers

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping
    from collections.abc import Sequence

    from filbertlb.admission import AnswerBudget
    from filbertlb.httpcall import Reply
    from filbertlb.table.base import Write

READ_TIMEOUT_S = 0.8
"""Longest wait for a reply to begin, and for each part of it."""
MAX_READ_TIMEOUT_S = 3.2
"""Longest wait while copies of tables are read from a slow store."""
READ_BODY_S = 8.0
"""Longest time for a whole reply of ordinary size on a slow link."""
WRITE_TIMEOUT_S = 1.2
"""A slow store takes 0.6 s for a transaction."""
MAX_PAGE_ROWS = 500
FIRST_PAGE_ROWS = 100
SLOW_PAGE_S = 0.4
"""Duration of a page's read from which later pages are smaller."""
PAGE_GROWTH_DIVISOR = 4
"""A page grows by a quarter, so that few pages on a thin link fail."""
MAX_PAGE_TRIES = 5
"""Tries of one page of a snapshot, each of half as many rows."""
PAGE_RETRY_S = 0.1
CONCURRENT_READS = 8
"""Partitions of one table that are read at the same time."""

BEHIND_ALL_KEYS = "~"
"""Start of a range without rows; keys are lower case."""

FEED = "feed"
PAGE = "page"
PROBE = "probe"
ROW = "row"
"""Kinds of reads in logs and metrics."""

HTTP_OK = 200
HTTP_GONE = 410
HTTP_PRECONDITION_FAILED = 412
REFUSAL_STATUSES = frozenset((429, 503))
"""Statuses with which the store refuses a call without any effect."""


class _StoredRow(msgspec.Struct, rename="camel"):
    table: str
    key: str
    # Number of the transaction that wrote the row, despite its name.
    schema_version: Count = 0
    # Base64 in the reply.
    value: bytes = b""
    deleted: bool = False


class _RowKey(msgspec.Struct, rename="camel"):
    table: str
    key: str


class _Rows(msgspec.Struct, rename="camel"):
    rows: list[msgspec.Raw] = []
    has_more: bool = False
    # Number of the newest transaction in the store.
    schema_version: Count = 0
    # The store's steady clock.
    now_ms: Count = 0


@attrs.define
class _TimedRead:
    """A read whose answer the store may hold back.

    Parameters
    ----------
    wait_s : float
        Time for which it may do so.
    response_timeout_s : float
        Time for the answer beyond that.
    """

    wait_s: float
    response_timeout_s: float
    took_s: float = 0.0

    @property
    def timeout_s(self) -> float:
        return self.wait_s + self.response_timeout_s


class PlatformTable:
    """Table service that maps path-like keys to rows of the store.

    The part of a key before its first slash names the table in the store,
    the rest is the key within that table. Rows share one partition, so that
    one transaction can write any of them, except those of the tables in
    ``partitions_by_table``: each partition takes a limited number of
    transactions a second, so tables that many processes write are spread
    over several.

    Parameters
    ----------
    address : str
        Host and port of the store.
    partitions_by_table : mapping of str to int, optional
        Number of partitions of the tables that have more than one.
    limits : TransactionLimits
        Largest transaction that the store accepts.
    answers : AnswerBudget, optional
        Bounds of the store's answers.
    transfers : Transfers, optional
        Counts and logs the reads.

    Attributes
    ----------
    response : ResponseTimeout
        Response time of the store, and the timeout of reads for copies.
    """

    def __init__(
        self,
        address: str,
        partitions_by_table: Mapping[str, int] | None = None,
        limits: TransactionLimits | None = None,
        answers: AnswerBudget | None = None,
        transfers: Transfers | None = None,
    ) -> None:
        self.transfers = transfers or Transfers()
        self.limits = limits or TransactionLimits()
        self._partitions_by_table = dict(partitions_by_table or {})
        url = f"http://{address}"
        self._caller = HttpCaller(url, answers=answers)
        # Separate connections, as feed calls wait for changes.
        self._feed_caller = HttpCaller(url, answers=answers)
        self._newest_version = 0
        # Callers' calls keep to their own bounds; these follow the store.
        self.response = ResponseTimeout(READ_TIMEOUT_S, MAX_READ_TIMEOUT_S)
        self._page_rows = FIRST_PAGE_ROWS

    def get(self, key: str) -> Row | None:
        """Return the row of a key, or None."""
        table, _, name = key.partition("/")
        partition = self._partition_of(table, name)
        page = self._read_page(table, partition, name, 1, READ_TIMEOUT_S)
        for row in _decode_rows(page):
            if row.key == name:
                return _as_row(row)
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
        count = self._partitions_by_table.get(table)
        if count is None:
            return self._partition_snapshot(table, "", start)
        partitions = [_partition_name(number) for number in range(count)]
        reads = Pool(CONCURRENT_READS).imap_unordered(
            lambda partition: self._partition_snapshot(
                table, partition, start
            ),
            partitions,
        )
        snapshots = list(reads)
        rows = tuple(row for snapshot in snapshots for row in snapshot.rows)
        return Snapshot(
            rows,
            min(found.version for found in snapshots),
            max(found.clock_ms for found in snapshots),
        )

    def _partition_snapshot(
        self, table: str, partition: str, start: str
    ) -> Snapshot:
        """Read the rows of one partition page by page."""
        name, version = start, -1
        rows: list[Row] = []
        while True:
            page = self._read_page_with_retries(table, partition, name)
            if version < 0:
                version = page.schema_version
            page_rows = _decode_rows(page)
            for row in page_rows:
                if not row.key.startswith(start):
                    return Snapshot(tuple(rows), version, page.now_ms)
                rows.append(_as_row(row))
            if not page.has_more or not page.rows:
                return Snapshot(tuple(rows), version, page.now_ms)
            if not page_rows:
                # Rows that are left out would count as deleted.
                raise TableUnavailableError(
                    f"page of {table!r} from {name!r} has no readable key"
                )
            name = page_rows[-1].key + "\0"

    def _read_page_with_retries(
        self, table: str, partition: str, name: str
    ) -> _Rows:
        """Read a page whose size follows what the link carries.

        A read of many pages goes on from its last whole page, so a slow
        link makes it slower but does not start it anew.
        """
        for _ in range(MAX_PAGE_TRIES - 1):
            try:
                return self._read_timed_page(table, partition, name)
            except TableUnavailableError as error:
                self._page_rows = max(1, self._page_rows // 2)
                logger.info(
                    "page of {} from {!r} not read, next try with {} rows: {}",
                    *(table, name, self._page_rows, error),
                )
                sleep(PAGE_RETRY_S)
        return self._read_timed_page(table, partition, name)

    def _read_timed_page(self, table: str, partition: str, name: str) -> _Rows:
        limit = self._page_rows
        started_s = monotonic()
        with self._timed() as read:
            page = self._read_page(
                table, partition, name, limit, read.timeout_s
            )
        if monotonic() - started_s > SLOW_PAGE_S:
            self._page_rows = max(1, limit // 2)
        elif len(page.rows) >= limit:
            larger = limit + max(1, limit // PAGE_GROWTH_DIVISOR)
            self._page_rows = min(MAX_PAGE_ROWS, larger)
        return page

    @contextmanager
    def _timed(self, wait_s: float = 0.0) -> Iterator[_TimedRead]:
        """Measure a read whose timeout follows the response time.

        Parameters
        ----------
        wait_s : float
            Time for which the store may hold the answer back.
        """
        read = _TimedRead(wait_s, self.response.current_s)
        started_s = monotonic()
        try:
            yield read
        except TableUnavailableError:
            if monotonic() - started_s >= wait_s + read.response_timeout_s:
                self.response.on_timeout(read.response_timeout_s)
            raise
        read.took_s = monotonic() - started_s

    def newest_version(self, table: str) -> int:
        """Return the newest version of all tables by a call without rows."""
        query = urlencode(
            {"table": table, "part": "", "from": BEHIND_ALL_KEYS, "limit": 1}
        )
        with self._timed() as read, self.transfers.counting(PROBE):
            reply = self._get(
                self._caller, f"/filbertlb/rows-get?{query}", read.timeout_s
            )
        self.response.on_answer(read.took_s, read.took_s)
        return self._decode_reply(reply).schema_version

    def changes(
        self,
        table: str,
        after: int,
        wait_s: float,
        limit_bytes: int = MAX_CHANGES_BYTES,
    ) -> Changes:
        """Return changes after a version; wait up to ``wait_s`` for one."""
        query = urlencode(
            {"table": table, "after": after, "waitMs": int(wait_s * 1000)}
        )
        try:
            with (
                self._timed(wait_s) as read,
                self.transfers.reading(FEED, table, wait_s) as transfer,
            ):
                reply = self._get(
                    self._feed_caller,
                    f"/filbertlb/rows-feed?{query}",
                    read.timeout_s,
                    limit_bytes,
                )
                transfer.size_bytes = len(reply.body)
        except TableUnavailableError as error:
            if isinstance(error.__cause__, AnswerTooLargeError):
                # The same call would fail again; a snapshot is in pages.
                raise HistoryLostError(
                    f"changes of {table!r} after version {after!r} are too "
                    "large to be read at once; read a snapshot"
                ) from error
            raise
        if reply.status == HTTP_GONE:
            raise HistoryLostError(
                f"changes of {table!r} after version {after!r} are no longer "
                "stored; read a snapshot"
            )
        changed = self._decode_reply(reply)
        if not changed.rows:
            # The store has held the answer back for the whole time.
            response_s = max(0.0, read.took_s - wait_s)
            self.response.on_answer(response_s, response_s)
        else:
            self.response.on_answer(0.0, read.took_s)
        rows = []
        deleted = {}
        for row in _decode_rows(changed):
            if row.deleted:
                deleted[f"{row.table}/{row.key}"] = row.schema_version
            else:
                rows.append(_as_row(row))
        return Changes(
            tuple(rows), deleted, changed.schema_version, changed.now_ms
        )

    def commit(self, writes: Sequence[Write]) -> tuple[int, ...]:
        """Apply all writes or none and return their new versions."""
        body = msgspec.json.encode(self._encode_transaction(writes))
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

    def _encode_transaction(self, writes: Sequence[Write]) -> dict[str, Any]:
        conditions = []
        puts = []
        removals = []
        for write in writes:
            table, _, name = write.key.partition("/")
            store_key: dict[str, Any] = {
                "table": table,
                "part": self._partition_of(table, name),
                "key": name,
            }
            if write.expected_version is not None:
                conditions.append(
                    store_key | {"schemaVersion": write.expected_version}
                )
            if write.value is None:
                removals.append(store_key)
            else:
                value = b64encode(write.value).decode()
                puts.append(store_key | {"value": value})
        return {"precondition": conditions, "puts": puts, "remove": removals}

    def close(self) -> None:
        """Close the pooled connections."""
        self._caller.close()
        self._feed_caller.close()

    def _partition_of(self, table: str, name: str) -> str:
        count = self._partitions_by_table.get(table)
        if count is None:
            return ""
        return _partition_name(crc32(name.encode()) % count)

    def _read_page(
        self,
        table: str,
        partition: str,
        name: str,
        limit: int,
        timeout_s: float,
    ) -> _Rows:
        """Read rows of a table from a key on.

        Raises
        ------
        TableUnavailableError
            If the store did not answer, or with a state older than one
            read or written before.
        """
        query = urlencode(
            {"table": table, "part": partition, "from": name, "limit": limit}
        )
        newest_version = self._newest_version
        kind = ROW if limit == 1 else PAGE
        with self.transfers.reading(kind, f"{table}/{name}") as transfer:
            reply = self._get(
                self._caller, f"/filbertlb/rows-get?{query}", timeout_s
            )
            transfer.size_bytes = len(reply.body)
        page = self._decode_reply(reply)
        if page.schema_version < newest_version:
            raise TableUnavailableError(
                f"stale read of {table!r}: got version "
                f"{page.schema_version!r} after {newest_version!r}; read again"
            )
        self._newest_version = max(self._newest_version, page.schema_version)
        return page

    def _get(
        self,
        caller: HttpCaller,
        path: str,
        timeout_s: float,
        limit_bytes: int = MAX_ANSWER_BYTES,
    ) -> Reply:
        try:
            return caller.get(
                path,
                timeout_s,
                body_s=READ_BODY_S,
                limit_bytes=limit_bytes,
            )
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
            return decode_json(reply.body, _Rows)
        except MalformedDataError as error:
            raise WriteOutcomeUnknownError(
                f"cannot decode reply of the store: {error}"
            ) from error


_JSON_HEADERS = {"Content-Type": "application/json"}


def _partition_name(number: int) -> str:
    return f"p{number:02d}"


def _decode_rows(page: _Rows) -> list[_StoredRow]:
    """Decode the rows of a reply; odd ones have an empty value.

    A row that were left out would look deleted, while its empty value is
    unreadable to whoever needs it. Only one without a key is left out.
    """
    rows = []
    for entry in page.rows:
        try:
            rows.append(decode_json(entry, _StoredRow))
        except MalformedDataError as error:
            logger.warning("odd row in the store's reply: {}", error)
            rows += (
                _StoredRow(found.table, found.key, page.schema_version)
                for found in decode_entries((entry,), _RowKey)
            )
    return rows


def _as_row(stored: _StoredRow) -> Row:
    return Row(
        f"{stored.table}/{stored.key}", stored.value, stored.schema_version
    )

"""Stand-in of the platform's row store, speaking its protocol.

Rows, conditional transactions and the feed of changes are kept in
memory. The feed brings each version of a row that was written meanwhile.
:class:`StoreFaults` brings about what the real one shows.
"""

from __future__ import annotations

from base64 import b64decode
from base64 import b64encode
from collections.abc import Callable
from errno import ECONNRESET
from json import loads
from time import monotonic
from typing import Any
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

import attrs
from gevent import sleep

from filbertlb.platform.http import json_application
from filbertlb.platform.http import JsonResponse

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

Place = tuple[str, str, str]
PAGE_ROWS = 500
OPERATOR_TABLES = frozenset(("op", "servers"))
MAX_ENTRIES = 100
"""Entries of one transaction: conditions, puts and removals."""
MAX_TRANSACTION_BYTES = 1_000_000
MAX_VALUE_CHARACTERS = 65_536
FEED_CHECK_S = 0.01
"""Time between looks for a change that a call for the feed waits for."""


@attrs.define
class StoreFaults:
    """Failures that the store shows while they are set.

    Parameters
    ----------
    refuse : int
        Status of every answer; 0 for none.
    lose_answers : int
        Coming transactions that are applied without an answer.
    hold_back : int
        Coming transactions that get no answer and are applied by
        :meth:`RowStore.apply_held_back`.
    stale_by : int
        Reads show the store as it was so many transactions ago.
    longest_page : int
        Reads of more rows are refused, as those over a thin link fail; 0
        for none.
    missed_prefix : str
        Table and start of the keys whose changes the feed leaves out; empty
        for none.
    delay_s : float
        Time that each answer takes.
    """

    refuse: int = 0
    lose_answers: int = 0
    hold_back: int = 0
    stale_by: int = 0
    longest_page: int = 0
    missed_prefix: str = ""
    delay_s: float = 0.0


@attrs.define
class _Stored:
    value: str | None
    version: int


@attrs.define
class RowStore:
    """Rows in memory with their history."""

    faults: StoreFaults = attrs.Factory(StoreFaults)
    version: int = 0
    history_from: int = 0
    calls: int = 0
    _history: dict[Place, list[_Stored]] = attrs.Factory(dict)
    _held_back: list[dict[str, Any]] = attrs.Factory(list)

    def application(self) -> Callable[..., Iterable[bytes]]:
        """Return the WSGI application."""
        return json_application(self.handle)

    def write(self, table: str, key: str, value: bytes) -> int:
        """Write a row as the operator does; return its version."""
        self.version += 1
        stored = _Stored(b64encode(value).decode(), self.version)
        self._history.setdefault((table, "", key), []).append(stored)
        return self.version

    def remove(self, table: str, key: str) -> None:
        """Delete a row as the operator does."""
        self.version += 1
        stored = _Stored(None, self.version)
        self._history.setdefault((table, "", key), []).append(stored)

    def read(self, table: str, key: str) -> bytes | None:
        """Return the value of a row, or None."""
        stored = self._at((table, "", key), self.version)
        if stored is None or stored.value is None:
            return None
        return b64decode(stored.value)

    def forget_history(self) -> None:
        """Refuse feeds from before now."""
        self.history_from = self.version

    def apply_held_back(self) -> list[int]:
        """Apply what was held back where its conditions still hold."""
        held, self._held_back = self._held_back, []
        return [self._transact(body).status for body in held]

    def handle(self, environ: Mapping[str, Any]) -> JsonResponse:
        """Answer one call."""
        self.calls += 1
        sleep(self.faults.delay_s)
        if self.faults.refuse:
            return JsonResponse(self.faults.refuse, {"code": "refused"})
        path = environ["PATH_INFO"]
        query = {
            name: values[0]
            for name, values in parse_qs(environ["QUERY_STRING"]).items()
        }
        if path == "/filbertlb/rows-tx":
            return self._write(environ["wsgi.input"].read())
        if path == "/filbertlb/rows-get":
            return self._read(query)
        if path == "/filbertlb/rows-feed":
            return self._feed(query)
        return JsonResponse(404, {"code": "not_found"})

    def _write(self, text: bytes) -> JsonResponse:
        body = loads(text)
        if len(text) > MAX_TRANSACTION_BYTES or _exceeds_limits(body):
            return JsonResponse(400, {"code": "too_large"})
        if self.faults.hold_back > 0:
            self.faults.hold_back -= 1
            self._held_back.append(body)
            raise ConnectionResetError(ECONNRESET, "held back")
        answer = self._transact(body)
        if self.faults.lose_answers > 0 and answer.status == 200:
            self.faults.lose_answers -= 1
            raise ConnectionResetError(ECONNRESET, "answer lost")
        return answer

    def _transact(self, body: dict[str, Any]) -> JsonResponse:
        changed = [*body.get("puts", ()), *body.get("remove", ())]
        if any(row["table"] in OPERATOR_TABLES for row in changed):
            return JsonResponse(403, {"code": "forbidden"})
        for row in body.get("precondition", ()):
            stored = self._at(_place(row), self.version)
            current = 0
            if stored is not None and stored.value is not None:
                current = stored.version
            if current != row["schemaVersion"]:
                return JsonResponse(412, {"rows": []})
        self.version += 1
        for row in changed:
            stored = _Stored(row.get("value"), self.version)
            self._history.setdefault(_place(row), []).append(stored)
        return JsonResponse(
            200, {"schemaVersion": self.version, "nowMs": _now_ms()}
        )

    def _read(self, query: Mapping[str, str]) -> JsonResponse:
        version = max(0, self.version - self.faults.stale_by)
        limit = int(query.get("limit", PAGE_ROWS))
        read_partition = (query["table"], query.get("part", ""))
        found = []
        for place in sorted(self._history):
            if place[:2] != read_partition:
                continue
            if place[2] < query.get("from", ""):
                continue
            stored = self._at(place, version)
            if stored is not None and stored.value is not None:
                found.append(_row(place, stored))
        rows = found[:limit]
        if 0 < self.faults.longest_page < len(rows):
            return JsonResponse(503, {"code": "page_too_long"})
        return JsonResponse(
            200,
            {
                "rows": rows,
                "hasMore": len(found) > limit,
                "schemaVersion": version,
                "nowMs": _now_ms(),
            },
        )

    def _feed(self, query: Mapping[str, str]) -> JsonResponse:
        after = int(query["after"])
        latest_s = monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            if after < self.history_from:
                return JsonResponse(410, {"code": "gone"})
            rows = self._changed_rows(query["table"], after)
            if rows or monotonic() >= latest_s:
                break
            sleep(FEED_CHECK_S)
        return JsonResponse(
            200,
            {
                "rows": rows,
                "schemaVersion": self.version,
                "nowMs": _now_ms(),
            },
        )

    def _changed_rows(self, table: str, after: int) -> list[dict[str, Any]]:
        """Return each version of the table's rows written since then."""
        rows: list[dict[str, Any]] = []
        for place, history in self._history.items():
            missed = self.faults.missed_prefix
            if missed and f"{place[0]}/{place[2]}".startswith(missed):
                continue
            if place[0] != table:
                continue
            rows += (
                _row(place, stored)
                for stored in history
                if stored.version > after
            )
        rows.sort(key=lambda row: int(row["schemaVersion"]))
        return rows

    def _at(self, place: Place, version: int) -> _Stored | None:
        for stored in reversed(self._history.get(place, ())):
            if stored.version <= version:
                return stored
        return None


def _exceeds_limits(body: Mapping[str, Any]) -> bool:
    puts = body.get("puts", ())
    entries = [*puts, *body.get("remove", ()), *body.get("precondition", ())]
    return (
        len(entries) > MAX_ENTRIES
        or len({row["part"] for row in entries}) > 1
        or any(len(row["value"]) > MAX_VALUE_CHARACTERS for row in puts)
    )


def _place(row: Mapping[str, Any]) -> Place:
    return (row["table"], row["part"], row["key"])


def _now_ms() -> int:
    return int(monotonic() * 1000)


def _row(place: Place, stored: _Stored) -> dict[str, Any]:
    table, part, key = place
    row: dict[str, Any] = {
        "table": table,
        "part": part,
        "key": key,
        "schemaVersion": stored.version,
    }
    if stored.value is None:
        row["deleted"] = True
    else:
        row["value"] = stored.value
    return row

"""The platform's metadata store: rows, transactions and the feed."""

from __future__ import annotations

import base64
import json
import threading
import time
from typing import Any

from standins.http import Answer
from standins.http import JsonServer

MAX_ROW_BYTES = 65_536
MAX_ENTRIES = 100
PAGE_ROWS = 500
OPERATOR_TABLES = ("op", "servers")

Place = tuple[str, str, str]


class Store:
    """Keeps the newest version of each row; it forgets no history."""

    def __init__(self, port: int) -> None:
        self._changed = threading.Condition()
        self._version = 0
        # Value (None once removed) and version by table, part and key.
        self._rows: dict[Place, tuple[str | None, int]] = {}
        self._server = JsonServer(port, self._handle)

    def operate(self, key: str, value: Any) -> None:
        """Write a row of the operator."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        with self._changed:
            self._version += 1
            self._rows["op", "", key] = (text, self._version)
            self._changed.notify_all()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    def _handle(
        self, method: str, path: str, query: dict[str, str], _: Any, body: Any
    ) -> Answer:
        call = path.removeprefix("/filbertlb/")
        if call == "rows-tx" and method == "POST":
            return self._transact(body)
        if call == "rows-get":
            return self._get(query)
        if call == "rows-feed":
            return self._feed(query)
        return 404, {}

    def _transact(self, body: dict[str, Any]) -> Answer:
        puts, removals = body.get("puts", []), body.get("remove", [])
        conditions = body.get("precondition", [])
        changed = [*puts, *removals]
        entries = [*changed, *conditions]
        if any(row["table"] in OPERATOR_TABLES for row in changed):
            return 403, {}
        if (
            len(entries) > MAX_ENTRIES
            or len({row["part"] for row in entries}) > 1
            or any(len(row["value"]) > MAX_ROW_BYTES for row in puts)
        ):
            return 400, {}
        with self._changed:
            if any(
                self._current_version(row) != row["schemaVersion"]
                for row in conditions
            ):
                rows = [
                    self._row(_place(row))
                    for row in conditions
                    if self._current_version(row)
                ]
                return 412, self._about_rows(rows)
            self._version += 1
            for row in changed:
                self._rows[_place(row)] = (row.get("value"), self._version)
            self._changed.notify_all()
            return 200, self._about_rows([])

    def _get(self, query: dict[str, str]) -> Answer:
        limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
        wanted = (query["table"], query.get("part", ""))
        with self._changed:
            places = sorted(
                place
                for place, (value, _) in self._rows.items()
                if place[:2] == wanted
                and value is not None
                and place[2] >= query.get("from", "")
                and ("target" not in query or place[2] < query["target"])
            )
            rows = [self._row(place) for place in places[:limit]]
            about = self._about_rows(rows)
        return 200, {**about, "hasMore": len(places) > limit}

    def _feed(self, query: dict[str, str]) -> Answer:
        after, table = int(query["after"]), query["table"]
        end_s = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        with self._changed:
            while True:
                places = [
                    place
                    for place, (_, version) in self._rows.items()
                    if place[0] == table and version > after
                ]
                left_s = end_s - time.monotonic()
                if places or left_s <= 0:
                    break
                self._changed.wait(left_s)
            places.sort(key=lambda place: self._rows[place][1])
            return 200, self._about_rows([self._row(p) for p in places])

    def _current_version(self, row: dict[str, Any]) -> int:
        value, version = self._rows.get(_place(row), (None, 0))
        return 0 if value is None else version

    def _row(self, place: Place) -> dict[str, Any]:
        value, version = self._rows[place]
        names = dict(zip(("table", "part", "key"), place, strict=True))
        content = {"deleted": True} if value is None else {"value": value}
        return {**names, "schemaVersion": version, **content}

    def _about_rows(self, rows: list[dict[str, Any]]) -> dict[str, Any]:
        return {
            "rows": rows,
            "schemaVersion": self._version,
            "nowMs": int(time.monotonic() * 1000),
        }


def _place(row: dict[str, Any]) -> Place:
    return (row["table"], row["part"], row["key"])

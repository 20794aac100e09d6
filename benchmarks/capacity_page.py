"""Writes the marked tables of the capacity page."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import Any
from typing import TYPE_CHECKING

from benchmarks.capacity_planned import planned_rows
from benchmarks.capacity_roles import entry_rows
from benchmarks.capacity_roles import number
from benchmarks.capacity_roles import platform_rows
from benchmarks.capacity_roles import Row
from benchmarks.capacity_roles import runner_rows
from benchmarks.capacity_roles import time_rows
from benchmarks.capacity_roles import worker_rows
from benchmarks.capacity_slopes import Line
from benchmarks.capacity_slopes import lines_of

if TYPE_CHECKING:
    from collections.abc import Iterable

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
MEMBERSHIP = Path(__file__).parent / "results" / "membership.json"
HEADERS = (
    "what",
    "today",
    "margin today",
    "design",
    "arithmetic of the design size",
    "limit",
    "margin",
    "carried by",
)
UNITS = {
    "cpu": ("processor time, ms", 1e3),
    "rss_bytes": ("memory, KiB", 1 / 1024),
    "bytes_in": ("links in, B", 1.0),
    "bytes_out": ("links out, B", 1.0),
    "table_reads": ("table reads", 1.0),
    "table_commits": ("table transactions", 1.0),
    "rows_written": ("table rows written", 1.0),
    "table_bytes": ("bytes of table calls", 1.0),
    "frame_bytes": ("bytes on the wire", 1.0),
    "in_force_s": ("time until in force, s", 1.0),
}


class MarkerMissingError(ValueError):
    """The page lacks the marks of a table."""


def table(headers: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    """Return a table of Markdown."""
    headers = tuple(headers)
    lines = [headers, ["---"] * len(headers), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


def measured_table(lines: dict[str, Line]) -> str:
    """Return the table of all slopes."""
    rows = []
    for name in sorted(lines):
        line = lines[name]
        subject, _, field = name.rpartition(".")
        unit, factor = UNITS[field]
        numbers = (line.base, line.slope, line.residual)
        rows.append(
            (f"`{subject}`", unit, *(number(one * factor) for one in numbers))
        )
    return table(("series", "unit", "base", "slope", "worst residual"), rows)


def rows_table(rows: list[Row]) -> str:
    """Return the table of a role."""
    return table(HEADERS, (row.cells() for row in rows))


def tables_of(
    results: dict[str, Any], sizes: dict[str, int]
) -> dict[str, str]:
    """Return the text of each marked table.

    Parameters
    ----------
    results : dict
        Figures of ``measure_capacity``.
    sizes : dict of str to int
        Bytes of messages, from ``measure_membership``.
    """
    lines = lines_of(results)
    return {
        "measured": measured_table(lines),
        "entry": rows_table(entry_rows(lines, "follower")),
        "decider": rows_table(entry_rows(lines, "decider")),
        "worker": rows_table(worker_rows(lines)),
        "runner": rows_table(runner_rows(lines)),
        "platform": rows_table(platform_rows(lines)),
        "times": rows_table(time_rows(lines)),
        "planned": rows_table(planned_rows(lines, sizes)),
    }


def rewritten(text: str, tables: dict[str, str]) -> str:
    """Return the page with its marked tables replaced.

    Raises
    ------
    MarkerMissingError
        If the page lacks the marks of a table.
    """
    for name, content in tables.items():
        pattern = rf"(<!-- begin {name} -->\n).*?(<!-- end {name} -->)"
        text, count = re.subn(
            pattern,
            lambda match, content=content: match[1] + content + match[2],
            text,
            flags=re.DOTALL,
        )
        if count != 1:
            raise MarkerMissingError(
                f"table {name!r} is marked {count} times; mark it once"
            )
    return text


def write_page(results: dict[str, Any]) -> None:
    """Replace the page's tables."""
    sizes = json.loads(MEMBERSHIP.read_text(encoding="utf-8"))["bytes"]
    text = PAGE.read_text(encoding="utf-8")
    PAGE.write_text(
        rewritten(text, tables_of(results, sizes)), encoding="utf-8"
    )

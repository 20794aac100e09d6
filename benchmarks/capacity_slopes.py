"""Slopes and constants fitted to what the roles used."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import attrs
import numpy as np

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

IDLE_ENTRIES = 2
ROUNDING_SHARE = 1e-12
"""Residuals below this share of the largest value are rounding errors."""


@attrs.frozen
class Line:
    """A line through measured points.

    Parameters
    ----------
    base : float
        Value at zero.
    slope : float
        What one more adds.
    residual : float
        Largest distance of a point from the line.
    """

    base: float
    slope: float
    residual: float = 0.0

    def at(self, count: float) -> float:
        """Return the value at a count."""
        return self.base + self.slope * count


def fit(counts: Iterable[float], values: Iterable[float]) -> Line:
    """Return the line of least squares."""
    xs = np.fromiter(counts, float)
    ys = np.fromiter(values, float)
    matrix = np.column_stack([np.ones_like(xs), xs])
    (base, slope), *_ = np.linalg.lstsq(matrix, ys, rcond=None)
    fitted = matrix @ np.array([base, slope])
    return Line(float(base), float(slope), largest_residual(fitted, ys))


def constant(values: Iterable[float]) -> Line:
    """Return the mean of values that depend on nothing measured."""
    ys = np.fromiter(values, float)
    mean = float(ys.mean())
    return Line(mean, 0.0, largest_residual(np.full_like(ys, mean), ys))


def largest_residual(fitted: np.ndarray, values: np.ndarray) -> float:
    """Return the largest residual, or 0 for a mere rounding error.

    Rounding errors differ between processors.
    """
    residual = float(np.abs(fitted - values).max())
    rounding = ROUNDING_SHARE * float(np.abs(values).max())
    return residual if residual > rounding else 0.0


TABLE_FIELDS = ("table_reads", "table_commits", "rows_written", "table_bytes")
ENTRY_ROLES = ("follower", "decider")
AGENT_ROLES = ("worker", "runner")
ANNOUNCEMENTS = ("Announce", "Beat")


def fit_plane(
    counts: Sequence[float], rates: Sequence[float], values: Sequence[float]
) -> tuple[Line, Line]:
    """Fit values that grow with a count and with a rate.

    Returns
    -------
    tuple of Line
        The line over the count, with the base, and that over the rate.
    """
    matrix = np.column_stack([np.ones(len(counts)), counts, rates])
    ys = np.array(values)
    factors, *_ = np.linalg.lstsq(matrix, ys, rcond=None)
    base, by_count, by_rate = (float(one) for one in factors)
    residual = largest_residual(matrix @ factors, ys)
    return Line(base, by_count, residual), Line(0.0, by_rate, residual)


def announcements(use: dict[str, Any], direction: str) -> float:
    """Return the announcements and beats a second."""
    frames = use[f"frames_{direction}"]
    return sum(frames.get(kind, 0.0) for kind in ANNOUNCEMENTS)


def idle_lines(results: dict[str, Any]) -> dict[str, Line]:
    """Return what agents and their announcements add.

    ``ROLE.cpu`` and ``ROLE.rss_bytes`` are over agents, those of an
    entry over all and those of agents over the ones in a process;
    ``beat.ROLE.cpu`` is over announcements and beats a second;
    ``frame.KIND.frame_bytes`` is the size of a message.
    """
    lines = _entry_lines(results["idle"])
    for kind, direction in (("Beat", "in"), ("AnnounceAck", "out")):
        lines[f"frame.{kind}.frame_bytes"] = constant(
            one["use"]["decider"][f"bytes_{direction}_by_kind"][kind]
            / one["use"]["decider"][f"frames_{direction}"][kind]
            for one in results["idle"]
            if kind in one["use"]["decider"][f"frames_{direction}"]
        )
    for role in (*ENTRY_ROLES, *AGENT_ROLES):
        is_agent = role in AGENT_ROLES
        direction, share = ("out", 2) if is_agent else ("in", 1)
        runs = results["idle"]
        counts = [one["agents"] / share for one in runs]
        uses = [one["use"][role] for one in runs]
        rates = [announcements(use, direction) for use in uses]
        lines[f"{role}.cpu"], lines[f"beat.{role}.cpu"] = fit_plane(
            counts, rates, [use["cpu"] for use in uses]
        )
        lines[f"{role}.rss_bytes"] = fit(
            counts, [use["rss_bytes"] for use in uses]
        )
    for role in ENTRY_ROLES:
        for field in TABLE_FIELDS:
            lines[f"{role}.{field}"] = constant(
                one["use"][role][field]
                for one in results["idle"]
                if one["entries"] == IDLE_ENTRIES
            )
    return lines


def _entry_lines(runs: Sequence[dict[str, Any]]) -> dict[str, Line]:
    """Return the bytes that an entry's greetings add, by entries."""
    (many,) = (one for one in runs if one["entries"] != IDLE_ENTRIES)
    same = [one for one in runs if one["agents"] == many["agents"]]

    return {
        f"entries.follower.{field}": fit(
            [one["entries"] for one in same],
            [
                one["use"]["follower"][f"{field}_by_kind"]["EntryHello"]
                for one in same
            ],
        )
        for field in ("bytes_in", "bytes_out")
    }


def _added(one: dict[str, Any], idle: dict[str, Any], get: Callable) -> float:
    """Return what one item of work adds to an idle site."""
    more = get(one["use"]) - get(idle)
    return more * one["window_s"] / one["count"]


def _work_fields(role: str) -> tuple[str, ...]:
    fields = ("cpu", "bytes_in", "bytes_out")
    return fields if role in AGENT_ROLES else (*fields, *TABLE_FIELDS)


def gang_lines(results: dict[str, Any]) -> dict[str, Line]:
    """Return what a gang adds, by its members, by ``gang.ROLE.FIELD``."""
    work = results["work"]
    counts = [one["members"] for one in work["gangs"]]
    lines = {}
    for role in ("follower", "decider", "worker"):
        for field in _work_fields(role):
            values = [
                _added(one, work["idle"], _getter(role, field))
                for one in work["gangs"]
            ]
            lines[f"gang.{role}.{field}"] = fit(counts, values)
    return lines


def request_lines(results: dict[str, Any]) -> dict[str, Line]:
    """Return what a request adds, by ``request.KIND.ROLE.FIELD``."""
    work = results["work"]
    lines = {}
    for one in work["requests"]:
        kind = "idempotent" if one["idempotent"] else "once"
        for role in ("follower", "runner"):
            for field in _work_fields(role):
                added = _added(one, work["idle"], _getter(role, field))
                lines[f"request.{kind}.{role}.{field}"] = Line(added, 0.0)
    return lines


def change_lines(results: dict[str, Any]) -> dict[str, Line]:
    """Return what a configuration change adds, by ``change.FIELD``."""
    work = results["work"]
    one = work["changes"]

    def total(field: str) -> float:
        return sum(
            _added(one, work["idle"], _getter(role, field))
            for role in ENTRY_ROLES
        )

    lines = {
        f"change.{field}": Line(total(field), 0.0) for field in TABLE_FIELDS
    }
    lines["change.in_force_s"] = constant(one["in_force_s"])
    return lines


def running_lines(results: dict[str, Any]) -> dict[str, Line]:
    """Return what a running task adds, by ``running.ROLE.FIELD``.

    ``lone`` is the process of one worker's agent whose worker is behind
    HTTP; ``open.decider.table_reads`` counts open jobs.
    """
    runs = results["work"]["running"]
    lines = {}
    for role, key in (
        ("follower", "tasks"),
        ("decider", "tasks"),
        ("lone", "lone_tasks"),
    ):
        counts = [one[key] for one in runs]
        for field in ("cpu", "rss_bytes"):
            values = [one["use"][role][field] for one in runs]
            lines[f"running.{role}.{field}"] = fit(counts, values)
    jobs = [one["jobs"] for one in runs]
    for field in ("table_reads", "table_bytes"):
        values = [one["use"]["decider"][field] for one in runs]
        lines[f"open.decider.{field}"] = fit(jobs, values)
    return lines


def _getter(role: str, field: str) -> Callable[[dict[str, Any]], float]:
    return lambda use: use[role][field]


def lines_of(results: dict[str, Any]) -> dict[str, Line]:
    """Return all lines by name."""
    return (
        idle_lines(results)
        | gang_lines(results)
        | request_lines(results)
        | change_lines(results)
        | running_lines(results)
    )

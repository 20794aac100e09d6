"""Confirms to each agent which of its reports the decider has processed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from filbertlb.batch.model import ReportMark
    from filbertlb.batch.model import WorkerReport


@attrs.define
class Confirmations:
    """Latest processed report of each worker, and what its agent can read.

    A worker's row is rewritten only for a new agent process, or once an
    agent waits for it, and not for each report.
    """

    _processed_by_node: dict[str, ReportMark] = attrs.Factory(dict)
    _written_by_node: dict[str, ReportMark] = attrs.Factory(dict)

    def processed(self, node: str) -> ReportMark | None:
        """Return the latest processed report of a worker, if any."""
        return self._processed_by_node.get(node)

    def written(self, node: str) -> ReportMark | None:
        """Return the report that a worker's row confirms, if any."""
        return self._written_by_node.get(node)

    def record_processed(self, report: WorkerReport) -> bool:
        """Record a processed report; return whether its row lags behind.

        A report without a registration stands for a row that could not be
        read.
        """
        if not report.registration:
            return False
        self._processed_by_node[report.node] = report.mark
        written = self._written_by_node.get(report.node)
        return written is None or not written.covers(
            report.registration, report.awaited_sequence
        )

    def record_written(self, nodes: Iterable[str]) -> None:
        """Record that the rows of these workers confirm their reports."""
        for node in nodes:
            mark = self._processed_by_node.get(node)
            if mark is not None:
                self._written_by_node[node] = mark

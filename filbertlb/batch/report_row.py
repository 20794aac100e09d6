"""Row in which the agent of a worker stores its reports.

Its version tells agent processes apart: each process that takes the row
over has a range of fencing tokens of its own, above all earlier ones.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from gevent import sleep
from loguru import logger

from filbertlb.batch.model import WORKER_PREFIX
from filbertlb.batch.model import WorkerReport
from filbertlb.errors import FilbertlbError
from filbertlb.table.base import ABSENT
from filbertlb.table.base import Write
from filbertlb.table.rows import decode_row
from filbertlb.table.rows import encode_value
from filbertlb.table.rows import UnreadableRowError

if TYPE_CHECKING:
    from collections.abc import Callable

    from filbertlb.core.clock import Clock
    from filbertlb.table.base import Row
    from filbertlb.table.base import TableService

FENCES_PER_REGISTRATION = 1000
"""Fencing tokens of one registration.

Each is for one incarnation of the worker and one contact with the table.
"""
REGISTRATION_RETRY_S = 0.25


@attrs.define
class ReportRow:
    """Report row of one machine, as one agent process writes it.

    Parameters
    ----------
    table : TableService
        Table with the row.
    clock : Clock
        Clock of the times of registration.
    node : str
        Name of the machine; part of the row's key.
    registration : str
        Token of the agent process.

    Attributes
    ----------
    version : int
        Version that the next write expects; ``ABSENT`` until registered.
    """

    _table: TableService
    _clock: Clock
    _node: str
    _registration: str
    version: int = attrs.field(default=ABSENT, init=False)
    _registration_sent_s: float = attrs.field(
        default=float("-inf"), init=False
    )

    @property
    def key(self) -> str:
        """Key of the row."""
        return WORKER_PREFIX + self._node

    @property
    def first_fence(self) -> int:
        """First fencing token of the range that the version stands for."""
        return self.version * FENCES_PER_REGISTRATION

    def next_fence(self, fence: int) -> int:
        """Return the fencing token that follows another of this process."""
        raised = fence + 1
        if raised % FENCES_PER_REGISTRATION == 0:
            # The range is used up. That of the latest stored report is above
            # it, and no other process has it.
            raised = self.first_fence
        return max(fence, raised)

    def register(
        self, restore: Callable[[WorkerReport | None], None]
    ) -> float:
        """Take the row over; try again until that succeeds.

        Parameters
        ----------
        restore : callable
            Called before the row of an earlier process is written, with
            its last report; None if that cannot be read.

        Returns
        -------
        float
            Monotonic time at which the registration was sent; minus
            infinity if that is not known.
        """
        while True:
            try:
                return self._try_register(restore)
            except FilbertlbError as error:
                logger.warning("registration failed, retrying: {}", error)
            except Exception:
                logger.exception("registration failed unexpectedly")
            sleep(REGISTRATION_RETRY_S)

    def store(self, report: WorkerReport) -> None:
        """Write a report over the one before.

        Raises
        ------
        RowConflictError, WriteOutcomeUnknownError
            If the row may have another version now; :meth:`reload` reads it.
        FilbertlbError
            If the report was not written for another reason.
        """
        write = Write(self.key, encode_value(report), self.version)
        self.version = self._table.commit((write,))[0]

    def reload(self) -> bool:
        """Read the version; return whether the row is still this process's.

        Raises
        ------
        TableUnavailableError
            If the table does not answer.
        """
        row = self._table.get(self.key)
        return self._adopt_version(row, _read_report(row))

    def _try_register(
        self, restore: Callable[[WorkerReport | None], None]
    ) -> float:
        sent_s = self._clock.monotonic()
        row = self._table.get(self.key)
        previous = _read_report(row)
        if self._adopt_version(row, previous):
            return self._registration_sent_s
        if row is not None:
            restore(previous)
        report = self._first_report(previous)
        version = ABSENT if row is None else row.version
        write = Write(self.key, encode_value(report), version)
        # The next try may find this one's row, but not when it was written.
        self._registration_sent_s = sent_s
        self.version = self._table.commit((write,))[0]
        return sent_s

    def _adopt_version(
        self, row: Row | None, report: WorkerReport | None
    ) -> bool:
        """Take over the version of a row that this process has written."""
        if row is None or report is None:
            return False
        if report.registration != self._registration:
            return False
        self.version = row.version
        return True

    def _first_report(self, previous: WorkerReport | None) -> WorkerReport:
        """Return the report to register with; it keeps what was told."""
        report = WorkerReport(self._node, self._registration)
        if previous is None:
            return report
        return attrs.evolve(
            report,
            ended=previous.ended,
            running=previous.running,
            worker=previous.worker,
        )


def _read_report(row: Row | None) -> WorkerReport | None:
    """Return the report in a row; None if there is none to read."""
    if row is None:
        return None
    try:
        return decode_row(row, WorkerReport)
    except UnreadableRowError as error:
        logger.error("unreadable report row counts as missing: {}", error)
        return None

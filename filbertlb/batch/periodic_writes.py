"""Rows that a decider writes from time to time beside its decisions.

They hand on to later processes what this one knows, and delete what nobody
asks for any more.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.batch.durations import DeclaredDurations
from filbertlb.batch.durations import RunTimes
from filbertlb.batch.learned_durations import LearnedDurations
from filbertlb.batch.learned_row import LEARNED_PERIOD_S
from filbertlb.batch.learned_row import learned_write
from filbertlb.batch.learned_row import read_learned
from filbertlb.batch.retention import expired_job_units
from filbertlb.batch.version_marks import marks_write
from filbertlb.batch.version_marks import WRITE_PERIOD_S
from filbertlb.batch.write_plan import divide
from filbertlb.errors import FilbertlbError

if TYPE_CHECKING:
    from filbertlb.batch.durations import DurationModel
    from filbertlb.batch.planner import Planner
    from filbertlb.core.clock import Clock
    from filbertlb.table.base import TableService
    from filbertlb.table.base import TransactionLimits
    from filbertlb.table.lease import LeaseManager
    from filbertlb.table.mirror import Mirror

CLEANUP_PERIOD_S = 10.0
"""Time between two deletions of the rows of ended jobs."""


@attrs.define
class PeriodicWrites:
    """Periodic writes of one process, under the lease that it holds.

    Parameters
    ----------
    table : TableService
        Table with the learned run times.
    mirror : Mirror
        Copy of the state table; it knows the times of its versions.
    keeper : LeaseManager
        Writes the rows under the lease.
    clock : Clock
        Clock by which the writes are due.
    limits : TransactionLimits
        Largest transaction, without the entries of the lease.
    run_times : RunTimes
        Source of the expected run times of tasks.
    """

    _table: TableService
    _mirror: Mirror
    _keeper: LeaseManager
    _clock: Clock
    _limits: TransactionLimits
    _run_times: RunTimes
    _next_marks_s: float = attrs.field(default=0.0, init=False)
    _next_learned_s: float = attrs.field(default=0.0, init=False)
    _next_cleanup_s: float = attrs.field(default=0.0, init=False)

    def durations(self) -> DurationModel:
        """Return the model that a new planner predicts run times with.

        What the planner before learned without storing it is learned again:
        its last decision may not be written.
        """
        if self._run_times is RunTimes.DECLARED:
            return DeclaredDurations()
        return read_learned(self._table, int(self._clock.wall() * 1000))

    def write_due(
        self, planner: Planner, epoch: int, now_ms: int, batch_entries: int
    ) -> None:
        """Write the rows that are due.

        Parameters
        ----------
        epoch : int
            Lease epoch under which the planner decides.
        now_ms : int
            Wall-clock time of the planner's last decision.
        batch_entries : int
            Number of entries that a transaction should have, at most.

        Raises
        ------
        FilbertlbError
            If times of versions or deletions were not written.
        """
        self._hand_on_marks(epoch)
        self._hand_on_run_times(planner.durations, epoch)
        self._delete_ended_jobs(planner, epoch, now_ms, batch_entries)

    def _hand_on_marks(self, epoch: int) -> None:
        """Store the times of versions for processes that start later."""
        now_s = self._clock.monotonic()
        if now_s < self._next_marks_s:
            return
        write = marks_write(self._mirror)
        if write is not None:
            self._keeper.commit((write,), epoch=epoch)
        self._next_marks_s = now_s + WRITE_PERIOD_S

    def _hand_on_run_times(self, durations: DurationModel, epoch: int) -> None:
        """Store what was learned, for the next decider.

        A failure costs only the row, so decisions go on.
        """
        now_s = self._clock.monotonic()
        if (
            not isinstance(durations, LearnedDurations)
            or not durations.changed
            or now_s < self._next_learned_s
        ):
            return
        self._next_learned_s = now_s + LEARNED_PERIOD_S
        try:
            self._keeper.commit((learned_write(durations),), epoch=epoch)
        except FilbertlbError as error:
            logger.warning("learned run times not stored: {}", error)
            return
        durations.changed = False

    def _delete_ended_jobs(
        self, planner: Planner, epoch: int, now_ms: int, batch_entries: int
    ) -> None:
        """Delete the rows of jobs whose retention period is over."""
        now_s = self._clock.monotonic()
        if now_s < self._next_cleanup_s:
            return
        self._next_cleanup_s = now_s + CLEANUP_PERIOD_S
        units = expired_job_units(planner.state, now_ms)
        plan = divide(units, self._limits, batch_entries)
        for unit in plan.transactions:
            self._keeper.commit(unit.writes, epoch=epoch)
            for job_id in unit.jobs:
                planner.state.forget(job_id)
            if unit.jobs:
                logger.info("rows of {} ended jobs deleted", len(unit.jobs))

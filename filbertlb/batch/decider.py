"""Task that holds the lease of a site and writes the planner's decisions."""

from __future__ import annotations

from collections.abc import Callable
from secrets import token_hex
from typing import TYPE_CHECKING

import attrs
from gevent import sleep
from loguru import logger
from msgspec.json import encode

from filbertlb.batch.model import CANCEL_PREFIX
from filbertlb.batch.model import JOB_PREFIX
from filbertlb.batch.model import orders_key
from filbertlb.batch.model import PROGRESS_PREFIX
from filbertlb.batch.model import STATE_TABLE
from filbertlb.batch.model import WORKER_PREFIX
from filbertlb.batch.model import WorkerReport
from filbertlb.batch.planner import Planner
from filbertlb.errors import FilbertlbError
from filbertlb.table.base import Write
from filbertlb.table.lease import LeaseKeeper
from filbertlb.table.rows import decode_row
from filbertlb.table.rows import UnreadableRowError

if TYPE_CHECKING:
    from filbertlb.batch.index import JobIndex
    from filbertlb.core.clock import Clock
    from filbertlb.core.lease import Lease
    from filbertlb.table.base import Row
    from filbertlb.table.base import WatchedTable
    from filbertlb.table.mirror import Mirror

LEASE_TTL_S = 1.8
LEASE_MARGIN_S = 0.3
TICK_S = 0.2
"""Longest pause between decisions, for what comes due by time."""
GATHER_S = 0.01
FORGET_PERIOD_S = 10.0
FORGET_ROWS = 20
KEEP_ENDED_MS = 180_000
"""Ended jobs can be asked for during 120 s; the rest is slack."""


class Decider:
    """Places the jobs of a site while it holds the lease.

    Parameters
    ----------
    guarantees : callable
        Returns the accelerators guaranteed by organisation.
    """

    def __init__(
        self,
        table: WatchedTable,
        mirror: Mirror,
        index: JobIndex,
        clock: Clock,
        node: str,
        scope: str,
        guarantees: Callable[[], dict[str, int]],
    ) -> None:
        self._table = table
        self._mirror = mirror
        self._index = index
        self._clock = clock
        self._guarantees = guarantees
        self._holder_id = f"{node}-{token_hex(4)}"
        self._keeper = LeaseKeeper(
            table,
            scope,
            self._holder_id,
            clock,
            LEASE_TTL_S,
            LEASE_MARGIN_S,
        )
        self._planner: Planner | None = None
        self._epoch = 0
        self._changed: set[str] = set()
        self._forget_s = 0.0
        self._retired = False
        mirror.listen(self._saw)

    @property
    def deciding(self) -> bool:
        """Whether this process places jobs now."""
        return self._planner is not None

    def keep_lease(self) -> None:
        """Renew or take the lease until killed."""
        while not self._retired:
            if self._mirror.loaded:
                self._keeper.step()
            pause_s = self._keeper.next_due_s() - self._clock.monotonic()
            sleep(max(0.05, pause_s))

    def run(self) -> None:
        """Decide until killed."""
        while True:
            self._mirror.changed.wait(TICK_S)
            self._mirror.changed.clear()
            try:
                self._step()
            except FilbertlbError as error:
                logger.warning(
                    "decision of epoch {} not written: {}",
                    *(self._epoch, error),
                )
                self._planner = None
                sleep(TICK_S)
            sleep(GATHER_S)

    def step_down(self) -> None:
        """Give the lease up, so that another process decides at once."""
        self._retired = True
        if self._keeper.held() is None:
            return
        self._planner = None
        try:
            self._keeper.release()
            logger.info("lease of epoch {} given up", self._epoch)
        except FilbertlbError as error:
            logger.warning("lease not given up, it will lapse: {}", error)

    def _saw(self, key: str, _: Row | None) -> None:
        self._changed.add(key)

    def _step(self) -> None:
        lease = None if self._retired else self._keeper.held()
        if lease is None:
            if self._planner is not None:
                logger.warning("lease of epoch {} lost", self._epoch)
            self._planner = None
            return
        if self._planner is None or lease.epoch != self._epoch:
            self._take_over(lease)
        planner = self._planner
        assert planner is not None
        planner.guaranteed = self._guarantees()
        self._feed(planner)
        now_ms = int(self._clock.wall() * 1000)
        planner.decide(self._clock.monotonic(), now_ms)
        self._write(planner)
        self._forget(planner, now_ms)

    def _take_over(self, lease: Lease) -> None:
        """Read all rows anew and start from them."""
        snapshot = self._table.snapshot(f"{STATE_TABLE}/")
        self._mirror.replace(snapshot, self._clock.monotonic())
        self._changed.clear()
        planner = Planner()
        for job in self._index.jobs.values():
            planner.state.add_job(job)
        for job_id, progress in self._index.progress.items():
            if job_id in planner.state.jobs:
                tasks = {
                    task: attrs.evolve(record)
                    for task, record in progress.tasks.items()
                }
                planner.state.add_progress(attrs.evolve(progress, tasks=tasks))
        planner.state.cancelled.update(self._index.cancelled)
        for key in list(self._mirror.row_by_key):
            self._feed_worker(planner, key)
        planner.state.changed_nodes.update(planner.workers)
        planner.state.changed_nodes.update(planner.state.occupied_nodes())
        self._planner = planner
        self._epoch = lease.epoch
        logger.info(
            "deciding with epoch {} from version {}: {} jobs, {} workers",
            *(lease.epoch, snapshot.version, len(planner.state.jobs)),
            len(planner.workers),
        )

    def _feed(self, planner: Planner) -> None:
        changed, self._changed = self._changed, set()
        for key in sorted(changed):
            if key.startswith(JOB_PREFIX):
                job = self._index.jobs.get(key.removeprefix(JOB_PREFIX))
                if job is not None and job.job_id not in planner.state.jobs:
                    planner.state.add_job(job)
            elif key.startswith(CANCEL_PREFIX):
                planner.state.cancelled.add(key.removeprefix(CANCEL_PREFIX))
            else:
                self._feed_worker(planner, key)

    def _feed_worker(self, planner: Planner, key: str) -> None:
        row = self._mirror.row_by_key.get(key)
        if row is None or not key.startswith(WORKER_PREFIX):
            return
        try:
            report = decode_row(row, WorkerReport)
        except UnreadableRowError as error:
            logger.error("row {} ignored: {}", key, error)
            return
        planner.record_report(report, self._mirror.seen_s_by_key[key])

    def _write(self, planner: Planner) -> None:
        state = planner.state
        if not state.changed_jobs and not state.changed_nodes:
            return
        writes = [
            Write(PROGRESS_PREFIX + job_id, encode(state.progress[job_id]))
            for job_id in sorted(state.changed_jobs)
        ]
        writes += [
            Write(orders_key(node), encode(state.orders_of(node, self._epoch)))
            for node in sorted(state.changed_nodes)
        ]
        self._keeper.commit(writes)
        state.changed_jobs.clear()
        state.changed_nodes.clear()

    def _forget(self, planner: Planner, now_ms: int) -> None:
        """Delete the rows of jobs that ended long ago."""
        now_s = self._clock.monotonic()
        if now_s < self._forget_s:
            return
        self._forget_s = now_s + FORGET_PERIOD_S
        old = [
            job_id
            for job_id, progress in planner.state.progress.items()
            if 0 < progress.ended_ms < now_ms - KEEP_ENDED_MS
        ][:FORGET_ROWS]
        if not old:
            return
        prefixes = (JOB_PREFIX, PROGRESS_PREFIX, CANCEL_PREFIX)
        self._keeper.commit(
            [
                Write(prefix + job_id, None)
                for job_id in old
                for prefix in prefixes
            ]
        )
        for job_id in old:
            planner.state.forget(job_id)
        logger.info("rows of {} ended jobs deleted", len(old))

"""Leader of a site: holds the lease and writes the planner's decisions."""

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
from filbertlb.table.lease import LeaseManager
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
MAX_PAUSE_S = 0.2
"""Maximum pause between decisions, for events that depend on time."""
BATCH_DELAY_S = 0.01
"""Pause after a decision, so that the next covers several changes."""
CLEANUP_PERIOD_S = 10.0
CLEANUP_JOBS = 20
"""Maximum number of jobs whose rows are deleted at a time."""
ENDED_JOB_RETENTION_MS = 180_000
"""Callers may query ended jobs for 120 s; the other 60 s are a margin."""


class Decider:
    """Places the jobs of a site while it holds the lease.

    Parameters
    ----------
    guarantees : callable
        Returns the guaranteed accelerators by organisation.
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
        self._keeper = LeaseManager(
            table,
            scope,
            self._holder_id,
            clock,
            LEASE_TTL_S,
            LEASE_MARGIN_S,
        )
        self._planner: Planner | None = None
        self._epoch = 0
        self._changed_keys: set[str] = set()
        self._next_cleanup_s = 0.0
        self._stepped_down = False
        mirror.add_listener(self._on_row_change)

    @property
    def deciding(self) -> bool:
        """Whether this process is the leader and places jobs."""
        return self._planner is not None

    def keep_lease(self) -> None:
        """Acquire and renew the lease until stepping down."""
        while not self._stepped_down:
            if self._mirror.loaded:
                self._keeper.step()
            pause_s = self._keeper.next_due_s() - self._clock.monotonic()
            sleep(max(0.05, pause_s))

    def run(self) -> None:
        """Make and write decisions until killed."""
        while True:
            self._mirror.changed.wait(MAX_PAUSE_S)
            self._mirror.changed.clear()
            try:
                self._step()
            except FilbertlbError as error:
                logger.warning(
                    "decision of epoch {} not written: {}",
                    *(self._epoch, error),
                )
                self._planner = None
                sleep(MAX_PAUSE_S)
            sleep(BATCH_DELAY_S)

    def step_down(self) -> None:
        """Release the lease, so that another process can take over at once."""
        self._stepped_down = True
        if self._keeper.held() is None:
            return
        self._planner = None
        try:
            self._keeper.release()
            logger.info("lease of epoch {} released", self._epoch)
        except FilbertlbError as error:
            logger.warning("lease not released, it will expire: {}", error)

    def _on_row_change(self, key: str, _: Row | None) -> None:
        self._changed_keys.add(key)

    def _step(self) -> None:
        lease = None if self._stepped_down else self._keeper.held()
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
        self._apply_changes(planner)
        now_ms = int(self._clock.wall() * 1000)
        planner.decide(self._clock.monotonic(), now_ms)
        self._write(planner)
        self._delete_ended_jobs(planner, now_ms)

    def _take_over(self, lease: Lease) -> None:
        """Build a new planner from a snapshot of all rows."""
        snapshot = self._table.snapshot(f"{STATE_TABLE}/")
        self._mirror.replace(snapshot, self._clock.monotonic())
        self._changed_keys.clear()
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
            self._apply_worker_row(planner, key)
        planner.state.changed_nodes.update(planner.workers)
        planner.state.changed_nodes.update(planner.state.occupied_nodes())
        self._planner = planner
        self._epoch = lease.epoch
        logger.info(
            "deciding with epoch {} from version {}: {} jobs, {} workers",
            *(lease.epoch, snapshot.version, len(planner.state.jobs)),
            len(planner.workers),
        )

    def _apply_changes(self, planner: Planner) -> None:
        changed, self._changed_keys = self._changed_keys, set()
        for key in sorted(changed):
            if key.startswith(JOB_PREFIX):
                job = self._index.jobs.get(key.removeprefix(JOB_PREFIX))
                if job is not None and job.job_id not in planner.state.jobs:
                    planner.state.add_job(job)
            elif key.startswith(CANCEL_PREFIX):
                planner.state.cancelled.add(key.removeprefix(CANCEL_PREFIX))
            else:
                self._apply_worker_row(planner, key)

    def _apply_worker_row(self, planner: Planner, key: str) -> None:
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

    def _delete_ended_jobs(self, planner: Planner, now_ms: int) -> None:
        """Delete the rows of jobs whose retention period is over."""
        now_s = self._clock.monotonic()
        if now_s < self._next_cleanup_s:
            return
        self._next_cleanup_s = now_s + CLEANUP_PERIOD_S
        expired = [
            job_id
            for job_id, progress in planner.state.progress.items()
            if 0 < progress.ended_ms < now_ms - ENDED_JOB_RETENTION_MS
        ][:CLEANUP_JOBS]
        if not expired:
            return
        prefixes = (JOB_PREFIX, PROGRESS_PREFIX, CANCEL_PREFIX)
        self._keeper.commit(
            [
                Write(prefix + job_id, None)
                for job_id in expired
                for prefix in prefixes
            ]
        )
        for job_id in expired:
            planner.state.forget(job_id)
        logger.info("rows of {} ended jobs deleted", len(expired))

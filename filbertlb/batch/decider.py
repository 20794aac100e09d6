"""Leader of a site: holds the lease and writes the planner's decisions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from contextlib import contextmanager
from secrets import token_hex
from typing import TYPE_CHECKING

import attrs
from gevent import sleep
from gevent import spawn
from loguru import logger

from filbertlb.batch.demand import Demand
from filbertlb.batch.durations import RunTimes
from filbertlb.batch.learned_durations import LearnedDurations
from filbertlb.batch.model import CANCEL_PREFIX
from filbertlb.batch.model import JOB_PREFIX
from filbertlb.batch.model import WORKER_TABLE
from filbertlb.batch.periodic_writes import PeriodicWrites
from filbertlb.batch.placing_context import CheckpointCosts
from filbertlb.batch.run_time_metrics import clear_run_times
from filbertlb.batch.run_time_metrics import sample_run_times
from filbertlb.batch.standing_report import StandingReport
from filbertlb.batch.takeover import apply_report
from filbertlb.batch.takeover import build_planner
from filbertlb.batch.write_plan import changed_units
from filbertlb.batch.write_plan import divide
from filbertlb.errors import FilbertlbError
from filbertlb.table.base import TableRejectedError
from filbertlb.table.base import TableUnavailableError
from filbertlb.table.base import TransactionLimits
from filbertlb.table.lease import LeaseManager
from filbertlb.table.mirror import Follower
from filbertlb.table.mirror import Mirror

if TYPE_CHECKING:
    from collections.abc import Generator

    from filbertlb.batch.evacuation import EvacuationSource
    from filbertlb.batch.index import JobIndex
    from filbertlb.batch.planner import Planner
    from filbertlb.batch.write_plan import WritePlan
    from filbertlb.batch.write_plan import WriteUnit
    from filbertlb.core.clock import Clock
    from filbertlb.core.lease import Lease
    from filbertlb.metrics import Metrics
    from filbertlb.table.base import Row
    from filbertlb.table.base import WatchedTable

LEASE_TTL_S = 1.8
LEASE_MARGIN_S = 0.3
LEASE_ENTRIES = 2
"""Entries of the lease in each transaction: its row and its condition."""
LEASE_BYTES = 1000
"""Size of the lease row in a transaction, at most."""
MAX_PAUSE_S = 0.2
"""Maximum pause between decisions, for events that depend on time."""
BATCH_DELAY_S = 0.01
"""Pause after a decision, so that the next covers several changes."""
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.8
SLOW_MACHINE_DELAY_S = 0.3
"""Time for which slow machines leave a free lease to faster ones."""
STALL_TIMEOUT_S = 2.5
"""Time without a successful decision after which the lease is given up."""
REPORTS_TIMEOUT_S = 5.0
"""Time without the workers' reports after which the lease is given up.

No worker gets new work by then, and none counts as dead.
"""
STAND_ASIDE_S = 2.0
"""Time for which a decider that gave the lease up lets others take it."""


@attrs.define
class Term:
    """Time during which this process decides under one lease epoch.

    Attributes
    ----------
    workers : Follower
        Keeps a copy of the reports of the workers.
    planner : Planner, optional
        None until it is built, and after a write that was not just refused.
    standing : StandingReport
        Outlives the planners of the term, so that nothing is told twice.
    changed_reports : set of str
        Keys of the reports that the planner has not seen.
    """

    epoch: int
    workers: Follower
    standing: StandingReport
    planner: Planner | None = None
    changed_reports: set[str] = attrs.Factory(set)


class Decider:
    """Places the jobs of a site while it holds the lease.

    Parameters
    ----------
    mirror : Mirror
        Copy of the state table that the entry follows.
    guarantees : callable
        Returns the guaranteed accelerators by organisation.
    limits : TransactionLimits, optional
        Largest transaction that the table accepts.
    slow : bool
        This machine's processor is slow, so that others are preferred.
    run_times : RunTimes
        Source of the expected run times of tasks.
    checkpoints : CheckpointCosts, optional
        What a checkpointable run loses if it is stopped.
    evacuations : EvacuationSource, optional
        Requests of operators to evacuate failure domains; None in a
        deployment without them.
    by_benefit : bool
        Ready tasks are ordered by benefit instead of deadline.

    Attributes
    ----------
    lost_core_s : dict of str to float
        Core-seconds lost by preemption that this process decided, by cause.
    failed_jobs : Counter of str
        Jobs that failed while this process decided, by cause.
    run_ends : Counter of str
        Ends of runs that this process has processed, by cause.
    late_ends : Counter of str
        Ends reported to this process of runs that had counted as ended, by
        cause.
    failed_runs : Counter of str
        Failed runs among them, by unit; a run of a gang counts once.
    stands : Counter of str
        Tasks that began to stand while this process decided, by reason.
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
        limits: TransactionLimits | None = None,
        slow: bool = False,
        run_times: RunTimes = RunTimes.DECLARED,
        checkpoints: CheckpointCosts | None = None,
        evacuations: EvacuationSource | None = None,
        by_benefit: bool = False,
    ) -> None:
        self.lost_core_s: dict[str, float] = {}
        self.failed_jobs: Counter[str] = Counter()
        self.run_ends: Counter[str] = Counter()
        self.late_ends: Counter[str] = Counter()
        self.failed_runs: Counter[str] = Counter()
        self.stands: Counter[str] = Counter()
        self._checkpoints = checkpoints or CheckpointCosts()
        self._table = table
        self._mirror = mirror
        self._index = index
        self._clock = clock
        self._guarantees = guarantees
        self._evacuations = evacuations
        self._by_benefit = by_benefit
        self._limits = _without_lease(limits or TransactionLimits())
        self._batch_entries = self._limits.entries
        self._lease_delay_s = SLOW_MACHINE_DELAY_S if slow else 0.0
        self._holder_id = f"{node}-{token_hex(4)}"
        self._keeper = LeaseManager(
            table,
            scope,
            self._holder_id,
            clock,
            LEASE_TTL_S,
            LEASE_MARGIN_S,
            instance=node,
        )
        self._periodic_writes = PeriodicWrites(
            *(table, mirror, self._keeper, clock),
            *(self._limits, run_times),
        )
        self._term: Term | None = None
        self._wake = mirror.changed
        self._changed_keys: set[str] = set()
        self._backoff_s = MIN_BACKOFF_S
        self._last_success_s = clock.monotonic()
        self._aside_until_s = float("-inf")
        self._stepped_down = False
        mirror.add_listener(self._on_row_change)

    @property
    def deciding(self) -> bool:
        """Whether this process is the leader and places jobs."""
        return self._term is not None and self._term.planner is not None

    def sample(self, metrics: Metrics) -> None:
        """Set the gauges of the entry that decides, or clear them."""
        term = self._term
        planner = None if term is None else term.planner
        now_s = self._clock.monotonic()
        views = () if planner is None else planner.workers.values()
        metrics.probation_workers.set(
            sum(view.starts.on_probation(now_s) for view in views)
        )
        durations = None if planner is None else planner.durations
        if isinstance(durations, LearnedDurations):
            sample_run_times(metrics, durations)
        else:
            clear_run_times(metrics)

    @property
    def waiting_groups(self) -> dict[str, int]:
        """Number of ready groups that wait, by reason, while deciding."""
        term = self._term
        if term is None or term.planner is None:
            return {}
        return term.planner.queue_report.count_by_reason

    @property
    def standing_tasks(self) -> dict[str, int]:
        """Number of tasks that stand, by reason, while deciding."""
        term = self._term
        if term is None or term.planner is None:
            return {}
        return term.standing.count_by_reason

    def keep_lease(self) -> None:
        """Acquire and renew the lease until stepping down."""
        while not self._stepped_down:
            now_s = self._clock.monotonic()
            if self._mirror.loaded and now_s >= self._aside_until_s:
                self._step_lease()
            due_s = self._keeper.next_due_s(self._lease_delay_s)
            sleep(max(0.05, due_s - self._clock.monotonic()))

    def _step_lease(self) -> None:
        try:
            self._keeper.step(self._lease_delay_s)
        except Exception:
            # Without this task the entry would never decide again.
            logger.exception("renewal of the lease failed unexpectedly")

    def run(self) -> None:
        """Make and write decisions until killed."""
        while True:
            lease = self._held_lease()
            if lease is None:
                self._wake.wait(MAX_PAUSE_S)
                self._wake.clear()
                continue
            with self._term_of(lease) as term:
                while self._holds(term):
                    self._try_step(term)
            logger.info("lease of epoch {} is no longer held", lease.epoch)

    def step_down(self) -> None:
        """Release the lease, so that another process can take over at once."""
        self._stepped_down = True
        self._release_lease()

    def _held_lease(self) -> Lease | None:
        if self._stepped_down:
            return None
        return self._keeper.held()

    def _holds(self, term: Term) -> bool:
        lease = self._held_lease()
        return lease is not None and lease.epoch == term.epoch

    @contextmanager
    def _term_of(self, lease: Lease) -> Generator[Term]:
        """Follow the reports of the workers while the lease is held."""
        mirror = Mirror(changed=self._wake)
        term = Term(
            lease.epoch,
            Follower(self._table, WORKER_TABLE, mirror, self._clock),
            StandingReport(total_by_reason=self.stands),
        )
        mirror.add_listener(lambda key, _: term.changed_reports.add(key))
        following = spawn(term.workers.run)
        self._term = term
        self._last_success_s = self._clock.monotonic()
        try:
            yield term
        finally:
            self._term = None
            following.kill()

    def _try_step(self, term: Term) -> None:
        """Make and write a decision, or wait after a failure."""
        self._wake.wait(MAX_PAUSE_S)
        self._wake.clear()
        if term.planner is None and not term.workers.mirror.loaded:
            self._leave_if_stalled()
            return
        try:
            self._step(term)
        except FilbertlbError as error:
            self._handle_failure(term, error)
            return
        except Exception as error:
            # Without this task the lease would be renewed by an entry that
            # no longer decides.
            logger.exception("decision failed unexpectedly")
            self._handle_failure(term, error)
            return
        self._last_success_s = self._clock.monotonic()
        self._backoff_s = MIN_BACKOFF_S
        self._leave_if_blind(term)
        sleep(BATCH_DELAY_S)

    def _handle_failure(self, term: Term, error: Exception) -> None:
        """Prepare the next try of a decision that was not written.

        A refused write changed nothing, so its rows stay changed and are
        written next. After any other failure the planner is built anew.
        """
        logger.warning(
            "decision of epoch {} not written, next try in {:.2f} s: {}",
            *(term.epoch, self._backoff_s, error),
        )
        if not isinstance(error, TableUnavailableError):
            term.planner = None
        sleep(self._backoff_s)
        self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s)
        self._leave_if_stalled()

    def _leave_if_stalled(self) -> None:
        """Leave the lease to others if no decision succeeds here."""
        idle_s = self._clock.monotonic() - self._last_success_s
        if idle_s > STALL_TIMEOUT_S:
            self._leave_lease(f"no decision for {idle_s:.1f} s")

    def _leave_if_blind(self, term: Term) -> None:
        """Leave the lease to others if the reports cannot be read here."""
        now_s = self._clock.monotonic()
        age_s = now_s - term.workers.complete_s
        if age_s > REPORTS_TIMEOUT_S:
            self._leave_lease(f"no reports for {age_s:.1f} s")
        elif self._evacuations is not None:
            age_s = self._evacuations.current().age_s(now_s)
            if age_s > REPORTS_TIMEOUT_S:
                self._leave_lease(f"no evacuation requests for {age_s:.1f} s")

    def _leave_lease(self, reason: str) -> None:
        """Release the lease and let others take it."""
        logger.warning("{}: leaving the lease to others", reason)
        self._aside_until_s = self._clock.monotonic() + STAND_ASIDE_S
        self._release_lease()

    def _release_lease(self) -> None:
        lease = self._keeper.held()
        if lease is None:
            return
        try:
            self._keeper.release()
            logger.info("lease of epoch {} released", lease.epoch)
        except FilbertlbError as error:
            logger.warning("lease not released, it will expire: {}", error)

    def _on_row_change(self, key: str, _: Row | None) -> None:
        if self._term is not None:
            self._changed_keys.add(key)

    def _step(self, term: Term) -> None:
        if term.planner is None:
            term.planner = self._take_over(term)
        planner = term.planner
        planner.guaranteed = self._guarantees()
        planner.reports_complete_s = term.workers.complete_s
        if self._evacuations is not None:
            planner.evacuations = self._evacuations.current()
        self._apply_changes(planner, term)
        now_ms = int(self._clock.wall() * 1000)
        planner.decide(self._clock.monotonic(), now_ms)
        self._write(planner, term.epoch, now_ms)
        self._periodic_writes.write_due(
            planner, term.epoch, now_ms, self._batch_entries
        )

    def _take_over(self, term: Term) -> Planner:
        """Build a new planner from the rows of the table.

        The renewal before reading makes the table reject copies of earlier
        transactions that had no answer; one applied after the rows were read
        would be missing in the planner. The evacuation requests are read
        here, so that the first decision follows them.
        """
        self._keeper.renew(term.epoch)
        if self._evacuations is not None:
            self._evacuations.refresh()
        term.changed_reports.clear()
        self._changed_keys.clear()
        started_s = self._clock.monotonic()
        planner = build_planner(
            self._table,
            self._mirror,
            self._index,
            term.workers.mirror,
            self._clock,
            self._periodic_writes.durations(),
        )
        planner.checkpoints = self._checkpoints
        planner.lost_core_s = self.lost_core_s
        planner.failed_jobs = self.failed_jobs
        planner.run_ends = self.run_ends
        planner.late_ends = self.late_ends
        planner.failed_runs = self.failed_runs
        planner.standing = term.standing
        planner.demand = Demand() if self._by_benefit else None
        logger.info(
            "deciding with epoch {} from version {} after {:.2f} s: {} jobs, "
            "{} workers",
            *(term.epoch, self._mirror.version),
            self._clock.monotonic() - started_s,
            *(len(planner.state.jobs), len(planner.workers)),
        )
        return planner

    def _apply_changes(self, planner: Planner, term: Term) -> None:
        changed, self._changed_keys = self._changed_keys, set()
        for key in sorted(changed):
            if key.startswith(JOB_PREFIX):
                job = self._index.jobs.get(key.removeprefix(JOB_PREFIX))
                if job is not None and job.job_id not in planner.state.jobs:
                    planner.state.add_job(job)
            elif key.startswith(CANCEL_PREFIX):
                planner.state.cancelled.add(key.removeprefix(CANCEL_PREFIX))
        reports, term.changed_reports = term.changed_reports, set()
        for key in sorted(reports):
            apply_report(planner, term.workers.mirror, self._mirror, key)

    def _write(self, planner: Planner, epoch: int, now_ms: int) -> None:
        """Write the changed rows, in as many transactions as they need."""
        plan = self._plan_writes(planner, epoch)
        failed: set[str] = set()
        while oversized_jobs := plan.oversized_jobs() - failed:
            for job_id in sorted(oversized_jobs):
                planner.fail_oversized_job(job_id, now_ms)
            failed |= oversized_jobs
            plan = self._plan_writes(planner, epoch)
        for unit in plan.oversized:
            keys = [write.key for write in unit.writes]
            logger.error("rows {} exceed the table's limits", keys)
        for unit in plan.transactions:
            self._commit(unit, epoch)
            planner.state.mark_written(unit.jobs, unit.nodes)

    def _plan_writes(self, planner: Planner, epoch: int) -> WritePlan:
        units = changed_units(planner.state, epoch, self._limits)
        return divide(units, self._limits, self._batch_entries)

    def _commit(self, unit: WriteUnit, epoch: int) -> None:
        """Write a transaction; after a rejection later ones are smaller."""
        try:
            self._keeper.commit(unit.writes, epoch=epoch)
        except TableRejectedError:
            self._batch_entries = max(1, self._batch_entries // 2)
            raise


def _without_lease(limits: TransactionLimits) -> TransactionLimits:
    """Return the limits for the other rows of a transaction."""
    return attrs.evolve(
        limits,
        entries=limits.entries - LEASE_ENTRIES,
        total_bytes=limits.total_bytes - LEASE_BYTES,
    )

"""Default scheduling policy.

It supports capacity guarantees, gang scheduling, reservations for old
jobs, quotas and fair shares.
"""

from __future__ import annotations

from collections import Counter
from itertools import islice
from typing import TYPE_CHECKING

from filbertlb.core.amounts import needed
from filbertlb.core.amounts import offered
from filbertlb.core.queueing import WaitingJob
from filbertlb.core.runs import Run
from filbertlb.core.scheduling import GuaranteeAtRisk
from filbertlb.scheduling.admission import check_job
from filbertlb.scheduling.claims import serve_claims
from filbertlb.scheduling.compaction import compact
from filbertlb.scheduling.config import SchedulerConfig
from filbertlb.scheduling.endings import end_run
from filbertlb.scheduling.explaining import wait_reason
from filbertlb.scheduling.filling import backfill
from filbertlb.scheduling.filling import serve_urgent
from filbertlb.scheduling.organisations import change_organisations
from filbertlb.scheduling.organisations import claim_for_run
from filbertlb.scheduling.overuse import record_usage
from filbertlb.scheduling.overuse import stop_overusing_runs
from filbertlb.scheduling.reservations import hold_for_unplaced_guarantees
from filbertlb.scheduling.reservations import serve_reservations
from filbertlb.scheduling.state import accelerators
from filbertlb.scheduling.state import SchedulerState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from filbertlb.core.model import Assignment
    from filbertlb.core.model import JobSpec
    from filbertlb.core.model import Organisation
    from filbertlb.core.model import Resources
    from filbertlb.core.model import Worker
    from filbertlb.core.scheduling import Decision
    from filbertlb.core.scheduling import RunEnd
    from filbertlb.core.scheduling import WaitReason


class GuaranteedScheduler:
    """Scheduling policy that keeps every guarantee claimable.

    Each call of ``decide`` stops searching at ``config.max_decisions``
    decisions; call it until it returns none. It returns at once if
    nothing has changed and no deadline has passed since the last call.

    Parameters
    ----------
    config : SchedulerConfig, optional
        Bounds, thresholds and weights.
    """

    def __init__(self, config: SchedulerConfig | None = None) -> None:
        self.state = SchedulerState.create(config or SchedulerConfig())
        self._now_s = 0.0
        self._sequence = 0
        self._changed = True
        self._wake_at_s = float("inf")
        self._offline_since_s: dict[str, float] = {}

    def set_organisations(
        self, organisations: Iterable[Organisation], now_s: float
    ) -> None:
        """Replace all organisations.

        Raises
        ------
        GuaranteeRefusedError
            If a new or increased guarantee has no placement in the
            guarantee packing; the state is then unchanged.
        """
        self._mark_changed(now_s)
        by_id = {item.organisation_id: item for item in organisations}
        change_organisations(self.state, by_id, now_s, refuse=True)

    def restore_organisations(
        self, organisations: Iterable[Organisation], now_s: float
    ) -> None:
        """Replace all organisations by previously accepted ones.

        Guarantees without a placement in the guarantee packing are
        reported as at risk instead of refused, so that a new decider can
        take over before it knows all workers.
        """
        self._mark_changed(now_s)
        by_id = {item.organisation_id: item for item in organisations}
        change_organisations(self.state, by_id, now_s, refuse=False)

    def add_worker(self, worker: Worker, now_s: float) -> None:
        """Add a worker, or bring a removed one back online."""
        self._mark_changed(now_s)
        state = self.state
        before = state.cluster.by_id.get(worker.worker_id)
        if before is not None and before.online:
            state.capacity_accelerators -= before.capacity[0]
        added = state.cluster.add(worker)
        self._offline_since_s.pop(worker.worker_id, None)
        state.capacity_accelerators += offered(worker.capacity)[0]
        if before is None:
            state.runs.count_on_new_worker(added)
            state.packing.count_on_new_worker(added)
        state.apply_worker_health(added, now_s)
        state.packing.evict_unclaimed(added)

    def remove_worker(self, worker_id: str, now_s: float) -> tuple[str, ...]:
        """Take a worker offline and return the jobs with members on it.

        Their runs keep occupying the other workers until ``ended`` is
        called.
        """
        self._mark_changed(now_s)
        worker = self.state.cluster.by_id.get(worker_id)
        if worker is None or not worker.online:
            return ()
        self.state.capacity_accelerators -= worker.capacity[0]
        self.state.cluster.remove(worker)
        self._offline_since_s[worker_id] = now_s
        self.state.clear_worker(worker, now_s)
        return tuple(sorted(worker.runs_by_id))

    def submit(self, job: JobSpec, now_s: float) -> None:
        """Queue a job, unless it is known already.

        Raises
        ------
        ImpossibleJobError
            If the job can never run on the known workers, or exceeds its
            quota or the guarantee that it claims.
        """
        organisation = self.state.shares.by_id.get(job.organisation_id)
        check_job(self.state.cluster, organisation, job)
        self.restore(job, now_s)

    def restore(self, job: JobSpec, now_s: float) -> None:
        """Queue a previously accepted job without checking it again."""
        if self._is_known(job.job_id):
            return
        self._mark_changed(now_s)
        self.state.queue.push(self._create_waiting(job), now_s)

    def adopt(self, job: JobSpec, assignment: Assignment) -> None:
        """Register a job that is already running, after a takeover."""
        if job.job_id in self.state.runs.by_id:
            return
        self.cancel(job.job_id, self._now_s)
        self._changed = True
        waiting = self._create_waiting(job)
        run = Run.create(job, waiting.need, assignment.worker_ids, self._now_s)
        self.state.waiting_by_id[job.job_id] = waiting
        self.state.shares.count(job.organisation_id, accelerators(run))
        self.state.runs.start(run)
        claim_for_run(self.state, job.job_id)
        for worker in self.state.runs.workers(run):
            self.state.packing.evict_unclaimed(worker)

    def cancel(self, job_id: str, now_s: float) -> bool:
        """Remove a queued or planned job; return whether it was queued."""
        self._mark_changed(now_s)
        state = self.state
        plan = state.runs.plan_by_id.get(job_id)
        if plan is not None:
            state.drop_plan(plan, now_s)
        if state.queue.pop(job_id) is None:
            return False
        state.set_holds(job_id, {})
        state.health.forget_job(job_id)
        return True

    def ended(self, run_end: RunEnd, now_s: float) -> None:
        """Free the resources of a run; requeue its job if it is retried."""
        self._mark_changed(now_s)
        end_run(self.state, run_end, now_s)

    def report_usage(self, job_id: str, each: Resources, now_s: float) -> None:
        """Record the highest measured use of any member of a run."""
        self._mark_changed(now_s)
        record_usage(self.state, job_id, each)

    def decide(self, now_s: float) -> list[Decision]:
        """Return the decisions to carry out now."""
        if not self._changed and now_s < self._wake_at_s:
            return []
        self._now_s = max(self._now_s, now_s)
        self._changed = False
        out: list[Decision] = []
        self._process_timeouts(now_s)
        self.state.packing.repair(now_s)
        hold_for_unplaced_guarantees(self.state)
        stop_overusing_runs(self.state, out)
        self._start_ready_plans(now_s, out)
        serve_claims(self.state, now_s, out)
        serve_urgent(self.state, now_s, out)
        serve_reservations(self.state, now_s, out)
        backfill(self.state, now_s, out)
        compact(self.state, now_s, out)
        self._changed = len(out) >= self.state.config.max_decisions
        self._wake_at_s = self._next_wake_s(now_s)
        return out

    def is_queued(self, job_id: str) -> bool:
        """Return whether a job is queued or planned; cheaper than ``why``."""
        planned = job_id in self.state.runs.plan_by_id
        return planned or job_id in self.state.queue.by_id

    def why(self, job_id: str, now_s: float) -> WaitReason | None:
        """Return why a queued job waits, or None if it is not queued."""
        del now_s
        return wait_reason(self.state, job_id)

    def risks(self) -> tuple[GuaranteeAtRisk, ...]:
        """Return the guarantees with units that have no placement."""
        missing_by_key = Counter(
            (unit.organisation_id, unit.guarantee.guarantee_id)
            for unit in self.state.packing.unplaced
        )
        return tuple(
            GuaranteeAtRisk(organisation_id, guarantee_id, count)
            for (organisation_id, guarantee_id), count in sorted(
                missing_by_key.items()
            )
        )

    def _mark_changed(self, now_s: float) -> None:
        self._now_s = max(self._now_s, now_s)
        self._changed = True

    def _is_known(self, job_id: str) -> bool:
        state = self.state
        return job_id in state.waiting_by_id or job_id in state.queue.by_id

    def _create_waiting(self, job: JobSpec) -> WaitingJob:
        self._sequence += 1
        place = (job.submitted_at_s, self._sequence, job.job_id)
        since_s = min(job.submitted_at_s, self._now_s)
        return WaitingJob(job, needed(job.shape.each), place, since_s)

    def _process_timeouts(self, now_s: float) -> None:
        """Put workers on probation, end backoffs, drop expired workers."""
        by_id = self.state.cluster.by_id
        for name in self.state.health.release(now_s):
            if name in by_id:
                self.state.apply_worker_health(by_id[name], now_s)
        self.state.queue.release_delayed(now_s)
        self._remove_expired_workers(now_s)

    def _remove_expired_workers(self, now_s: float) -> None:
        """Remove idle workers that are offline past the retention time."""
        cluster = self.state.cluster
        for name, since_s in list(self._offline_since_s.items()):
            expired = now_s - since_s >= self.state.config.forget_offline_s
            if expired and not cluster.by_id[name].runs_by_id:
                cluster.forget(cluster.by_id[name])
                del self._offline_since_s[name]

    def _start_ready_plans(self, now_s: float, out: list[Decision]) -> None:
        for run in list(self.state.runs.plan_by_id.values()):
            if len(out) >= self.state.config.max_decisions:
                return
            if self.state.runs.plan_fits(run):
                out.append(self.state.start_plan(run, now_s))

    def _next_wake_s(self, now_s: float) -> float:
        state = self.state
        wake_at_s = min(
            state.queue.next_ready_s(), state.health.next_release_s()
        )
        thresholds_s = (
            state.config.reserve_after_s,
            state.config.starvation_s,
        )
        oldest = islice(state.queue.oldest(), state.config.max_reservations)
        for waiting in oldest:
            for threshold_s in thresholds_s:
                if waiting.since_s + threshold_s > now_s:
                    wake_at_s = min(wake_at_s, waiting.since_s + threshold_s)
        return wake_at_s

"""The policy that ships: guarantees, gangs, reservations, shares."""

from __future__ import annotations

from collections import Counter
from itertools import islice
from typing import TYPE_CHECKING

from filbertlb.core.amounts import needed
from filbertlb.core.amounts import offered
from filbertlb.core.queueing import Waiting
from filbertlb.core.runs import Run
from filbertlb.core.scheduling import GuaranteeAtRisk
from filbertlb.scheduling.admission import check_job
from filbertlb.scheduling.claims import serve_claims
from filbertlb.scheduling.compaction import compact
from filbertlb.scheduling.config import SchedulerConfig
from filbertlb.scheduling.endings import end_run
from filbertlb.scheduling.explaining import why_waiting
from filbertlb.scheduling.filling import fill
from filbertlb.scheduling.filling import serve_urgent
from filbertlb.scheduling.organisations import change_organisations
from filbertlb.scheduling.organisations import claim_for_run
from filbertlb.scheduling.overuse import protect_neighbours
from filbertlb.scheduling.overuse import take_usage
from filbertlb.scheduling.reservations import hold_for_risks
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

    ``decide`` looks for no more once it has ``config.max_decisions``
    decisions; call it again until it returns none. With nothing changed
    it returns at once.

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
            If a new or grown guarantee has no witness placement;
            nothing changes.
        """
        self._touch(now_s)
        by_id = {item.organisation_id: item for item in organisations}
        change_organisations(self.state, by_id, now_s, refuse=True)

    def restore_organisations(
        self, organisations: Iterable[Organisation], now_s: float
    ) -> None:
        """Replace all organisations by ones that were accepted before.

        Guarantees without a witness are at risk instead of refused, so
        that a new decider can take over before it knows all workers.
        """
        self._touch(now_s)
        by_id = {item.organisation_id: item for item in organisations}
        change_organisations(self.state, by_id, now_s, refuse=False)

    def add_worker(self, worker: Worker, now_s: float) -> None:
        """Add a worker, or put one back that was removed."""
        self._touch(now_s)
        state = self.state
        before = state.cluster.by_id.get(worker.worker_id)
        if before is not None and before.online:
            state.capacity_accelerators -= before.capacity[0]
        added = state.cluster.add(worker)
        self._offline_since_s.pop(worker.worker_id, None)
        state.capacity_accelerators += offered(worker.capacity)[0]
        if before is None:
            state.runs.count_on_new_worker(added)
            state.witness.count_on_new_worker(added)
        state.set_aside(added, now_s)
        state.witness.evict_unclaimed(added)

    def remove_worker(self, worker_id: str, now_s: float) -> tuple[str, ...]:
        """Remove a worker and return the jobs that had members on it.

        Their runs occupy the other workers until ``ended`` is called.
        """
        self._touch(now_s)
        worker = self.state.cluster.by_id.get(worker_id)
        if worker is None or not worker.online:
            return ()
        self.state.capacity_accelerators -= worker.capacity[0]
        self.state.cluster.remove(worker)
        self._offline_since_s[worker_id] = now_s
        self.state.withdraw(worker, now_s)
        return tuple(sorted(worker.runs_by_id))

    def submit(self, job: JobSpec, now_s: float) -> None:
        """Queue a job; one that is known already is left as it is.

        Raises
        ------
        ImpossibleJobError
            If it can never run on what is configured.
        """
        organisation = self.state.shares.by_id.get(job.organisation_id)
        check_job(self.state.cluster, organisation, job)
        self.restore(job, now_s)

    def restore(self, job: JobSpec, now_s: float) -> None:
        """Queue a job that was accepted before, without checks."""
        if self._knows(job.job_id):
            return
        self._touch(now_s)
        self.state.queue.push(self._waiting(job), now_s)

    def adopt(self, job: JobSpec, assignment: Assignment) -> None:
        """Take over a job that runs already, after a takeover."""
        if job.job_id in self.state.runs.by_id:
            return
        self.cancel(job.job_id, self._now_s)
        self._changed = True
        waiting = self._waiting(job)
        run = Run.create(job, waiting.need, assignment.worker_ids, self._now_s)
        self.state.waiting_by_id[job.job_id] = waiting
        self.state.shares.count(job.organisation_id, accelerators(run))
        self.state.runs.start(run)
        claim_for_run(self.state, job.job_id)
        for worker in self.state.runs.workers(run):
            self.state.witness.evict_unclaimed(worker)

    def cancel(self, job_id: str, now_s: float) -> bool:
        """Forget a queued job; return False if it is not queued."""
        self._touch(now_s)
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
        """Free a run's resources; queue the job again if not final."""
        self._touch(now_s)
        end_run(self.state, run_end, now_s)

    def report_usage(self, job_id: str, each: Resources, now_s: float) -> None:
        """Take in the most that a member of a running job uses."""
        self._touch(now_s)
        take_usage(self.state, job_id, each)

    def decide(self, now_s: float) -> list[Decision]:
        """Return the decisions to carry out now."""
        if not self._changed and now_s < self._wake_at_s:
            return []
        self._now_s = max(self._now_s, now_s)
        self._changed = False
        out: list[Decision] = []
        self._release(now_s)
        self.state.witness.repair(now_s)
        hold_for_risks(self.state)
        protect_neighbours(self.state, out)
        self._start_plans(now_s, out)
        serve_claims(self.state, now_s, out)
        serve_urgent(self.state, now_s, out)
        serve_reservations(self.state, now_s, out)
        fill(self.state, now_s, out)
        compact(self.state, now_s, out)
        self._changed = len(out) >= self.state.config.max_decisions
        self._wake_at_s = self._next_wake_s(now_s)
        return out

    def is_queued(self, job_id: str) -> bool:
        """Tell whether a job waits; cheaper than ``why``."""
        planned = job_id in self.state.runs.plan_by_id
        return planned or job_id in self.state.queue.by_id

    def why(self, job_id: str, now_s: float) -> WaitReason | None:
        """Return why a queued job waits, or None if it is not queued."""
        del now_s
        return why_waiting(self.state, job_id)

    def risks(self) -> tuple[GuaranteeAtRisk, ...]:
        """Return the guarantees that have no placement at present."""
        missing = Counter(
            (unit.organisation_id, unit.guarantee.guarantee_id)
            for unit in self.state.witness.unplaced
        )
        return tuple(
            GuaranteeAtRisk(organisation_id, guarantee_id, count)
            for (organisation_id, guarantee_id), count in sorted(
                missing.items()
            )
        )

    def _touch(self, now_s: float) -> None:
        self._now_s = max(self._now_s, now_s)
        self._changed = True

    def _knows(self, job_id: str) -> bool:
        state = self.state
        return job_id in state.waiting_by_id or job_id in state.queue.by_id

    def _waiting(self, job: JobSpec) -> Waiting:
        self._sequence += 1
        place = (job.submitted_at_s, self._sequence, job.job_id)
        since_s = min(job.submitted_at_s, self._now_s)
        return Waiting(job, needed(job.shape.each), place, since_s)

    def _release(self, now_s: float) -> None:
        """Probe workers whose time aside is over; wake retries."""
        by_id = self.state.cluster.by_id
        for name in self.state.health.release(now_s):
            if name in by_id:
                self.state.set_aside(by_id[name], now_s)
        self.state.queue.wake(now_s)
        self._forget_offline(now_s)

    def _forget_offline(self, now_s: float) -> None:
        """Drop empty workers that have been offline for long."""
        cluster = self.state.cluster
        for name, since_s in list(self._offline_since_s.items()):
            long = now_s - since_s >= self.state.config.forget_offline_s
            if long and not cluster.by_id[name].runs_by_id:
                cluster.forget(cluster.by_id[name])
                del self._offline_since_s[name]

    def _start_plans(self, now_s: float, out: list[Decision]) -> None:
        for run in list(self.state.runs.plan_by_id.values()):
            if len(out) >= self.state.config.max_decisions:
                return
            if self.state.runs.plan_fits(run):
                out.append(self.state.start_plan(run, now_s))

    def _next_wake_s(self, now_s: float) -> float:
        state = self.state
        wake_at_s = min(
            state.queue.next_wake_s(), state.health.next_release_s()
        )
        bounds = (state.config.reserve_after_s, state.config.starvation_s)
        oldest = islice(state.queue.oldest(), state.config.max_reservations)
        for waiting in oldest:
            for bound_s in bounds:
                if waiting.since_s + bound_s > now_s:
                    wake_at_s = min(wake_at_s, waiting.since_s + bound_s)
        return wake_at_s

"""Replays arrivals and faults on a policy in virtual time."""

from __future__ import annotations

from heapq import heappop
from heapq import heappush
from itertools import count
from time import perf_counter
from typing import TYPE_CHECKING

import attrs

from benchmarks.arrivals import HOUR_S
from benchmarks.fragmentation import fragmentation
from benchmarks.replayed_job import Job
from filbertlb.core.model import Resources
from filbertlb.core.queueing import Shares
from filbertlb.core.scheduling import ImpossibleJobError
from filbertlb.core.scheduling import JobEnd
from filbertlb.core.scheduling import RunEnd
from filbertlb.core.scheduling import StartJob

if TYPE_CHECKING:
    from collections.abc import Callable

    from benchmarks.arrivals import Arrival
    from benchmarks.arrivals import Fault
    from benchmarks.policies import QueueingPolicy
    from benchmarks.sites import Site
    from filbertlb.core.scheduling import StopJob

TICK_S = 10.0
SAMPLE_S = 300.0
FAIL_AFTER_S = 5.0
STOP_TAKES_S = 0.2
CHECKPOINT_TAKES_S = 5.0


@attrs.define
class Outcome:
    """What one replay measured."""

    jobs: dict[str, Job] = attrs.field(factory=dict)
    refused: int = 0
    decision_us: list[float] = attrs.field(factory=list)
    fragmentation: list[tuple[int, float]] = attrs.field(factory=list)
    lost_to_stops_s: float = 0.0
    lost_to_faults_s: float = 0.0
    busy_s: float = 0.0
    busy_in_window_s: float = 0.0
    overfull: int = 0
    stops: int = 0
    most_tasks: int = 0
    wall_s: float = 0.0


@attrs.define
class Replay:
    """Event heap, fake workers and one policy."""

    site: Site
    policy: QueueingPolicy
    drain_hours: float = 72.0
    outcome: Outcome = attrs.field(factory=Outcome)
    now_s: float = 0.0
    running: dict[str, Job] = attrs.field(factory=dict)
    shares: Shares = attrs.field(factory=Shares)
    lost: set[str] = attrs.field(factory=set)
    bad: set[str] = attrs.field(factory=set)
    by_worker: dict[str, list[Job]] = attrs.field(factory=dict)
    capacity: dict[str, Resources] = attrs.field(factory=dict)
    tasks: int = 0
    _heap: list[tuple[float, int, Callable[[], None]]] = attrs.field(
        factory=list
    )
    _order: count[int] = attrs.field(factory=count)
    _changed: bool = False
    _waiting_arrivals: int = 0

    def run(self, arrivals: list[Arrival], faults: list[Fault]) -> Outcome:
        """Replay everything and return what was measured."""
        began_s = perf_counter()
        for worker in self.site.workers:
            self.policy.add_worker(worker, 0.0)
            self.by_worker[worker.worker_id] = []
            self.capacity[worker.worker_id] = worker.capacity
        self.policy.set_organisations(self.site.organisations, 0.0)
        self.shares.change(
            {item.organisation_id: item for item in self.site.organisations}
        )
        self._waiting_arrivals = len(arrivals)
        for arrival in arrivals:
            self.at(arrival.job.submitted_at_s, self._arrive, arrival)
        for fault in faults:
            self.at(fault.start_s, self._fault, fault)
            self.at(fault.end_s, self._mend, fault)
        self.at(TICK_S, self._tick)
        self.at(SAMPLE_S, self._sample)
        limit_s = (self.site.hours + self.drain_hours) * HOUR_S
        while self._heap and self._heap[0][0] <= limit_s:
            self._step()
        self.outcome.wall_s = perf_counter() - began_s
        return self.outcome

    def at(
        self, time_s: float, action: Callable[..., None], *args: object
    ) -> None:
        """Do something at a time."""
        item = (time_s, next(self._order), lambda: action(*args))
        heappush(self._heap, item)

    def _step(self) -> None:
        self.now_s = self._heap[0][0]
        self._changed = False
        while self._heap and self._heap[0][0] == self.now_s:
            heappop(self._heap)[2]()
        while self._decide():
            pass

    def _decide(self) -> bool:
        began = perf_counter()
        decisions = self.policy.decide(self.now_s)
        if self._changed or decisions:
            cost_us = (perf_counter() - began) * 1e6
            self.outcome.decision_us.append(cost_us)
        self._changed = False
        for decision in decisions:
            if isinstance(decision, StartJob):
                self._start(decision)
            else:
                self._stop(decision)
        return bool(decisions)

    def _tick(self) -> None:
        if self.running or self._waiting_arrivals or self._unfinished():
            self.at(self.now_s + TICK_S, self._tick)

    def _unfinished(self) -> bool:
        return any(job.done_at_s is None for job in self.outcome.jobs.values())

    def _sample(self) -> None:
        if self.now_s < self.site.hours * HOUR_S:
            self.at(self.now_s + SAMPLE_S, self._sample)
        value = fragmentation(self.site, self.running.values(), self.lost)
        if value is not None:
            self.outcome.fragmentation.append(value)

    def _arrive(self, arrival: Arrival) -> None:
        self._changed = True
        self._waiting_arrivals -= 1
        job = Job(arrival, arrival.run_s)
        try:
            self.policy.submit(arrival.job, self.now_s)
        except ImpossibleJobError:
            self.outcome.refused += 1
            return
        job.at_risk = self._excused(arrival)
        job.at_quota = self._is_at_quota(arrival)
        self.outcome.jobs[arrival.job.job_id] = job
        if arrival.cancel_at_s is not None:
            self.at(arrival.cancel_at_s, self._cancel, job)

    def _excused(self, arrival: Arrival) -> bool:
        """Tell whether a claim finds all shapes claimed or at risk."""
        spec = arrival.job
        if spec.guarantee_id is None:
            return False
        claimed = sum(
            other.done_at_s is None
            and other.arrival.job.organisation_id == spec.organisation_id
            and other.arrival.job.guarantee_id == spec.guarantee_id
            for other in self.outcome.jobs.values()
        )
        counts = [
            item.count
            for organisation in self.site.organisations
            for item in organisation.guarantees
            if organisation.organisation_id == spec.organisation_id
            and item.guarantee_id == spec.guarantee_id
        ]
        return claimed >= counts[0] or bool(self.policy.risks())

    def _is_at_quota(self, arrival: Arrival) -> bool:
        spec = arrival.job
        shares = self.shares
        if shares.by_id[spec.organisation_id].quota_accelerators is None:
            return False
        shares.borrowed_by_id[spec.organisation_id] = sum(
            job.arrival.job.shape.total.accelerators
            for job in self.running.values()
            if job.arrival.job.organisation_id == spec.organisation_id
            and not job.arrival.job.guarantee_id
        )
        wanted = spec.shape.total.accelerators
        return not shares.allows(spec.organisation_id, wanted)

    def _cancel(self, job: Job) -> None:
        job_id = job.arrival.job.job_id
        if job.done_at_s is None and self.policy.cancel(job_id, self.now_s):
            self._changed = True
            del self.outcome.jobs[job_id]

    def _start(self, decision: StartJob) -> None:
        job = self.outcome.jobs[decision.assignment.job_id]
        job.worker_ids = decision.assignment.worker_ids
        job.run += 1
        job.started_at_s = self.now_s
        if job.first_start_s is None:
            job.first_start_s = self.now_s
        self.running[decision.assignment.job_id] = job
        for name in job.worker_ids:
            self.by_worker[name].append(job)
        self.tasks += len(job.worker_ids)
        self._check_capacity(job)
        self.outcome.most_tasks = max(self.outcome.most_tasks, self.tasks)
        failed = tuple(sorted(self.bad.intersection(job.worker_ids)))
        if job.arrival.bad and not failed:
            failed = (job.worker_ids[0],)
        if failed:
            end = RunEnd("", JobEnd.FAILED, failed)
            self.at(self.now_s + FAIL_AFTER_S, self._end, job, job.run, end)
        else:
            end = RunEnd("", JobEnd.SUCCEEDED)
            self.at(self.now_s + job.left_s, self._end, job, job.run, end)

    def _check_capacity(self, job: Job) -> None:
        """Count workers that were given more than they have."""
        for name in set(job.worker_ids):
            used = Resources()
            for member in self.by_worker[name]:
                used += member.arrival.job.shape.each
            if not self.capacity[name].fits(used):
                self.outcome.overfull += 1

    def _stop(self, decision: StopJob) -> None:
        job = self.running[decision.job_id]
        self.outcome.stops += 1
        takes_s = CHECKPOINT_TAKES_S if decision.checkpoint else STOP_TAKES_S
        kept = decision.checkpoint and takes_s <= decision.within_s
        end = RunEnd("", JobEnd.STOPPED, (), kept)
        at_s = self.now_s + min(takes_s, decision.within_s)
        self.at(at_s, self._end, job, job.run, end)

    def _end(self, job: Job, run: int, end: RunEnd) -> None:
        job_id = job.arrival.job.job_id
        if job.run != run or job_id not in self.running:
            return
        self._changed = True
        del self.running[job_id]
        for name in job.worker_ids:
            self.by_worker[name].remove(job)
        self.tasks -= len(job.worker_ids)
        self._account(job, end)
        self.policy.ended(attrs.evolve(end, job_id=job_id), self.now_s)
        if not self.policy.is_queued(job_id):
            job.done_at_s = self.now_s
            job.failed = end.end is not JobEnd.SUCCEEDED

    def _account(self, job: Job, end: RunEnd) -> None:
        ran_s = self.now_s - job.started_at_s
        size = job.arrival.job.shape.total.accelerators
        if end.checkpointed:
            job.left_s -= min(job.left_s, ran_s)
        elif end.end is JobEnd.STOPPED:
            self.outcome.lost_to_stops_s += ran_s * size
        elif end.end is not JobEnd.SUCCEEDED:
            self.outcome.lost_to_faults_s += ran_s * size
        self.outcome.busy_s += ran_s * size
        horizon_s = self.site.hours * HOUR_S
        inside_s = min(self.now_s, horizon_s) - job.started_at_s
        self.outcome.busy_in_window_s += max(0.0, inside_s) * size

    def _fault(self, fault: Fault) -> None:
        if not fault.lost:
            self.bad.add(fault.worker_id)
            return
        self._changed = True
        self.lost.add(fault.worker_id)
        jobs = self.policy.remove_worker(fault.worker_id, self.now_s)
        for job_id in jobs:
            job = self.running[job_id]
            end = RunEnd("", JobEnd.WORKER_LOST)
            self._end(job, job.run, end)

    def _mend(self, fault: Fault) -> None:
        if not fault.lost:
            self.bad.discard(fault.worker_id)
            return
        self._changed = True
        self.lost.discard(fault.worker_id)
        for worker in self.site.workers:
            if worker.worker_id == fault.worker_id:
                self.policy.add_worker(worker, self.now_s)

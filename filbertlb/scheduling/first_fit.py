"""Baseline policy: strict FIFO order with first-fit placement."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

from filbertlb.core.amounts import copies
from filbertlb.core.amounts import needed
from filbertlb.core.cluster import Cluster
from filbertlb.core.model import Assignment
from filbertlb.core.run_table import RunTable
from filbertlb.core.runs import Run
from filbertlb.core.scheduling import JobEnd
from filbertlb.core.scheduling import StartJob
from filbertlb.core.scheduling import WaitReason
from filbertlb.core.search import candidate_groups
from filbertlb.core.search import on_one_worker
from filbertlb.scheduling.admission import check_job

if TYPE_CHECKING:
    from collections.abc import Iterable

    from filbertlb.core.cluster import WorkerState
    from filbertlb.core.model import JobSpec
    from filbertlb.core.model import Organisation
    from filbertlb.core.model import Worker
    from filbertlb.core.scheduling import Decision
    from filbertlb.core.scheduling import GuaranteeAtRisk
    from filbertlb.core.scheduling import RunEnd

_MAX_FAILURES = 3


@attrs.define
class FirstFitScheduler:
    """FIFO with first fit: no guarantees, backfill or preemption."""

    cluster: Cluster = attrs.field(factory=Cluster)
    queue: deque[JobSpec] = attrs.field(factory=deque)
    failures_by_id: dict[str, int] = attrs.field(factory=dict)
    runs: RunTable = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Share the cluster with the table of runs."""
        self.runs = RunTable(self.cluster)

    def set_organisations(
        self, organisations: Iterable[Organisation], now_s: float
    ) -> None:
        """Ignore the organisations: there are no guarantees or quotas."""

    def add_worker(self, worker: Worker, now_s: float) -> None:
        """Add a worker, or restore one that was removed."""
        self.runs.count_on_new_worker(self.cluster.add(worker))

    def remove_worker(self, worker_id: str, now_s: float) -> tuple[str, ...]:
        """Remove a worker and return the jobs that had members on it."""
        worker = self.cluster.by_id.get(worker_id)
        if worker is None or not worker.online:
            return ()
        self.cluster.remove(worker)
        return tuple(sorted(worker.runs_by_id))

    def submit(self, job: JobSpec, now_s: float) -> None:
        """Append a job to the queue.

        Raises
        ------
        ImpossibleJobError
            If the job can never fit on the configured workers.
        """
        check_job(self.cluster, None, attrs.evolve(job, guarantee_id=None))
        self.queue.append(job)

    def restore(self, job: JobSpec, now_s: float) -> None:
        """Queue a job that was accepted before, without checking it."""
        if not self.is_queued(job.job_id):
            self.queue.append(job)

    def restore_organisations(
        self, organisations: Iterable[Organisation], now_s: float
    ) -> None:
        """Ignore the organisations: there are no guarantees or quotas."""

    def adopt(self, job: JobSpec, assignment: Assignment) -> None:
        """Register a job that already runs, after a failover."""
        need = needed(job.shape.each)
        self.runs.start(Run.create(job, need, assignment.worker_ids, 0.0))

    def cancel(self, job_id: str, now_s: float) -> bool:
        """Remove a job from the queue; return False if it is not queued."""
        for job in self.queue:
            if job.job_id == job_id:
                self.queue.remove(job)
                return True
        return False

    def ended(self, run_end: RunEnd, now_s: float) -> None:
        """Free a run's resources; requeue its job unless the end is final."""
        run = self.runs.by_id.get(run_end.job_id)
        if run is None:
            return
        self.runs.end(run)
        if run_end.end in (JobEnd.SUCCEEDED, JobEnd.CANCELLED):
            return
        failures = self.failures_by_id.get(run_end.job_id, 0)
        if run_end.end is JobEnd.FAILED:
            failures += 1
        self.failures_by_id[run_end.job_id] = failures
        never_ran = run_end.end is JobEnd.NOT_STARTED
        if never_ran or run.job.idempotent and failures < _MAX_FAILURES:
            self.queue.appendleft(run.job)

    def decide(self, now_s: float) -> list[Decision]:
        """Start jobs from the head of the queue until one does not fit."""
        out: list[Decision] = []
        while self.queue:
            job = self.queue[0]
            worker_ids = self._find_workers(job)
            if worker_ids is None:
                break
            self.queue.popleft()
            need = needed(job.shape.each)
            self.runs.start(Run.create(job, need, worker_ids, now_s))
            out.append(StartJob(Assignment(job.job_id, worker_ids)))
        return out

    def is_queued(self, job_id: str) -> bool:
        """Tell whether a job is queued."""
        return any(job.job_id == job_id for job in self.queue)

    def why(self, job_id: str, now_s: float) -> WaitReason | None:
        """Return why a queued job waits, or None if it is not queued."""
        for index, job in enumerate(self.queue):
            if job.job_id == job_id:
                return WaitReason.QUEUE if index else WaitReason.CAPACITY
        return None

    def risks(self) -> tuple[GuaranteeAtRisk, ...]:
        """Return an empty tuple: there are no guarantees."""
        return ()

    def _find_workers(self, job: JobSpec) -> tuple[str, ...] | None:
        shape = job.shape
        if not on_one_worker(shape):
            for group in candidate_groups(self.cluster, shape, None):
                worker_ids = _first_fit(job, group.workers)
                if worker_ids is not None:
                    return worker_ids
            return None
        domain = shape.failure_domain
        for worker in self.cluster.by_id.values():
            if domain in (None, worker.worker.failure_domain):
                worker_ids = _first_fit(job, [worker])
                if worker_ids is not None:
                    return worker_ids
        return None


def _first_fit(
    job: JobSpec, workers: list[WorkerState]
) -> tuple[str, ...] | None:
    need = needed(job.shape.each)
    chosen: list[str] = []
    for worker in workers:
        if worker.online:
            remaining = job.shape.members - len(chosen)
            count = min(remaining, copies(worker.free, need))
            chosen.extend([worker.worker_id] * count)
    if len(chosen) < job.shape.members:
        return None
    return tuple(chosen)

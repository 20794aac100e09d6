"""Attributes failures to faulty workers or to faulty jobs.

A failed run counts against both the job and the worker. Once one of them
is found to be the cause, its failures no longer count against the other.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from filbertlb.scheduling.config import SchedulerConfig

# From this number of workers on, the failures of a job no longer count
# against the workers.
_JOB_SUSPECT_WORKERS = 2
_FAILURES_PER_WORKER = 2


@attrs.define
class _WorkerRecord:
    """Failures of one worker.

    Parameters
    ----------
    failed_job_ids : dict
        Jobs that failed since the last success, in order.
    probe_s : float
        Seconds for which the worker is set aside next time.
    on_probation : bool
        Whether the worker is being probed after it was set aside; one
        more failure sets it aside again.
    """

    probe_s: float
    failed_job_ids: dict[str, None] = attrs.field(factory=dict)
    on_probation: bool = False


@attrs.define
class Health:
    """Finds faulty workers and faulty jobs from the failures of runs.

    Parameters
    ----------
    config : SchedulerConfig
        Thresholds and probe intervals.
    record_by_id : dict
        Failures by worker.
    failed_runs_by_job : dict
        Workers on which members of each failed run of a job failed, without
        those found to be faulty. A run that failed on these alone is left
        out.
    aside_until_by_id : dict
        Workers that are set aside, with the time at which each one is
        probed, in seconds.
    """

    config: SchedulerConfig
    record_by_id: dict[str, _WorkerRecord] = attrs.field(factory=dict)
    failed_runs_by_job: dict[str, list[set[str]]] = attrs.field(factory=dict)
    aside_until_by_id: dict[str, float] = attrs.field(factory=dict)

    def failed(
        self,
        job_id: str,
        worker_ids: Iterable[str],
        worker_count: int,
        now_s: float,
    ) -> None:
        """Record that a run of a job failed on some workers.

        It is one failure of the job, however many of its members failed.
        """
        failed_on = set(worker_ids)
        sound = failed_on - self.aside_until_by_id.keys()
        runs = self.failed_runs_by_job.setdefault(job_id, [])
        if sound:
            runs.append(sound)
        for worker_id in sorted(failed_on):
            self._count_failure(worker_id, job_id, worker_count, now_s)
        if self._is_suspect(job_id):
            self._clear_worker_failures(job_id)

    def succeeded(self, job_id: str, worker_ids: Iterable[str]) -> None:
        """Record the success of a job."""
        self.failed_runs_by_job.pop(job_id, None)
        for worker_id in worker_ids:
            if self.record_by_id.pop(worker_id, None) is not None:
                self.aside_until_by_id.pop(worker_id, None)

    def forget_job(self, job_id: str) -> None:
        """Drop the failures of a job that is final."""
        self.failed_runs_by_job.pop(job_id, None)

    def is_bad_job(self, job_id: str) -> bool:
        """Return whether a job failed on enough workers that aren't at fault.

        Repeated failures on the same worker count as well, in case there
        are too few workers.
        """
        threshold = self.config.job_failure_workers
        runs = self.failures(job_id)
        enough = (
            runs >= threshold and len(self._failed_on(job_id)) >= threshold
        )
        return enough or runs >= threshold * _FAILURES_PER_WORKER

    def failures(self, job_id: str) -> int:
        """Return how many runs of a job failed on workers not at fault."""
        return len(self.failed_runs_by_job.get(job_id, ()))

    def is_set_aside(self, worker_id: str) -> bool:
        """Return whether a worker is set aside."""
        return worker_id in self.aside_until_by_id

    def is_on_probation(self, worker_id: str) -> bool:
        """Return whether a worker is being probed."""
        record = self.record_by_id.get(worker_id)
        return record is not None and record.on_probation

    def release(self, now_s: float) -> list[str]:
        """Return the workers that are due for a probe; no longer set aside."""
        ready = [
            worker_id
            for worker_id, until_s in self.aside_until_by_id.items()
            if until_s <= now_s
        ]
        for worker_id in ready:
            del self.aside_until_by_id[worker_id]
            self.record_by_id[worker_id].on_probation = True
        return ready

    def next_release_s(self) -> float:
        """Return the time at which the next worker is released, in seconds."""
        return min(self.aside_until_by_id.values(), default=float("inf"))

    def _count_failure(
        self, worker_id: str, job_id: str, worker_count: int, now_s: float
    ) -> None:
        record = self.record_by_id.get(worker_id)
        if record is None:
            record = _WorkerRecord(self.config.probe_base_s)
            self.record_by_id[worker_id] = record
        if not self._is_suspect(job_id):
            record.failed_job_ids[job_id] = None
        enough = len(record.failed_job_ids) >= self.config.worker_failure_jobs
        if worker_id in self.aside_until_by_id or not (
            enough or record.on_probation
        ):
            return
        allowed = max(1, int(worker_count * self.config.max_aside_share))
        if len(self.aside_until_by_id) < allowed:
            self._set_aside(worker_id, record, now_s)

    def _set_aside(
        self, worker_id: str, record: _WorkerRecord, now_s: float
    ) -> None:
        self.aside_until_by_id[worker_id] = now_s + record.probe_s
        record.probe_s = min(record.probe_s * 2, self.config.probe_max_s)
        record.on_probation = False
        for job_id, runs in self.failed_runs_by_job.items():
            without = [failed_on - {worker_id} for failed_on in runs]
            self.failed_runs_by_job[job_id] = list(filter(None, without))

    def _failed_on(self, job_id: str) -> set[str]:
        return set().union(*self.failed_runs_by_job.get(job_id, ()))

    def _is_suspect(self, job_id: str) -> bool:
        return len(self._failed_on(job_id)) >= _JOB_SUSPECT_WORKERS

    def _clear_worker_failures(self, job_id: str) -> None:
        """Stop counting the failures of a job against the workers."""
        for worker_id in self._failed_on(job_id):
            record = self.record_by_id.get(worker_id)
            if record is not None:
                record.failed_job_ids.pop(job_id, None)

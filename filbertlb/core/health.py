"""Tells workers that fail every job from jobs that fail everywhere.

A failure accuses both the job and the worker. Once one of them is
judged, the failures that it caused no longer count against the other.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from filbertlb.scheduling.config import SchedulerConfig

# A job that failed on this many workers no longer accuses any.
_SUSPICIOUS_FAILURES = 2
_REPEATS_PER_WORKER = 2


@attrs.define
class _Record:
    """What is known about one worker.

    Parameters
    ----------
    accusers : dict
        Jobs that failed since the last success, in order.
    probe_s : float
        Length of the next time aside, in seconds.
    on_probation : bool
        It is tried again after a time aside.
    """

    probe_s: float
    accusers: dict[str, None] = attrs.field(factory=dict)
    on_probation: bool = False


@attrs.define
class Health:
    """Judges workers and jobs by the failures of runs."""

    config: SchedulerConfig
    record_by_id: dict[str, _Record] = attrs.field(factory=dict)
    failed_on_by_job: dict[str, Counter[str]] = attrs.field(factory=dict)
    aside_until_by_id: dict[str, float] = attrs.field(factory=dict)

    def failed(
        self,
        job_id: str,
        worker_ids: Iterable[str],
        worker_count: int,
        now_s: float,
    ) -> None:
        """Take in that a job failed on some workers."""
        failed_on = self.failed_on_by_job.setdefault(job_id, Counter())
        for worker_id in sorted(set(worker_ids)):
            if worker_id not in self.aside_until_by_id:
                failed_on[worker_id] += 1
            self._accuse(worker_id, job_id, worker_count, now_s)
        if len(failed_on) >= _SUSPICIOUS_FAILURES:
            self._acquit_workers(job_id)

    def succeeded(self, job_id: str, worker_ids: Iterable[str]) -> None:
        """Take in that a job succeeded."""
        self.failed_on_by_job.pop(job_id, None)
        for worker_id in worker_ids:
            if self.record_by_id.pop(worker_id, None) is not None:
                self.aside_until_by_id.pop(worker_id, None)

    def forget_job(self, job_id: str) -> None:
        """Drop what is kept about a job that is final."""
        self.failed_on_by_job.pop(job_id, None)

    def is_bad_job(self, job_id: str) -> bool:
        """Tell whether a job failed on enough good workers.

        Where there are too few workers, repeated failures count.
        """
        failed_on = self.failed_on_by_job.get(job_id, Counter())
        most = self.config.job_failure_workers
        enough = len(failed_on) >= most
        return enough or failed_on.total() >= most * _REPEATS_PER_WORKER

    def failures(self, job_id: str) -> int:
        """Return on how many good workers a job failed."""
        return len(self.failed_on_by_job.get(job_id, ()))

    def is_set_aside(self, worker_id: str) -> bool:
        """Tell whether a worker is put aside."""
        return worker_id in self.aside_until_by_id

    def is_on_probation(self, worker_id: str) -> bool:
        """Tell whether a worker is being tried again."""
        record = self.record_by_id.get(worker_id)
        return record is not None and record.on_probation

    def release(self, now_s: float) -> list[str]:
        """Return workers whose time aside is over; they are probed."""
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
        """Return when the next time aside ends, in seconds."""
        return min(self.aside_until_by_id.values(), default=float("inf"))

    def _accuse(
        self, worker_id: str, job_id: str, worker_count: int, now_s: float
    ) -> None:
        record = self.record_by_id.get(worker_id)
        if record is None:
            record = _Record(self.config.probe_base_s)
            self.record_by_id[worker_id] = record
        if self.failures(job_id) < _SUSPICIOUS_FAILURES:
            record.accusers[job_id] = None
        enough = len(record.accusers) >= self.config.worker_failure_jobs
        if worker_id in self.aside_until_by_id or not (
            enough or record.on_probation
        ):
            return
        allowed = max(1, int(worker_count * self.config.max_aside_share))
        if len(self.aside_until_by_id) < allowed:
            self._put_aside(worker_id, record, now_s)

    def _put_aside(
        self, worker_id: str, record: _Record, now_s: float
    ) -> None:
        self.aside_until_by_id[worker_id] = now_s + record.probe_s
        record.probe_s = min(record.probe_s * 2, self.config.probe_max_s)
        record.on_probation = False
        for failed_on in self.failed_on_by_job.values():
            failed_on.pop(worker_id, None)

    def _acquit_workers(self, job_id: str) -> None:
        """Drop the accusations of a job that fails everywhere."""
        for worker_id in self.failed_on_by_job[job_id]:
            record = self.record_by_id.get(worker_id)
            if record is not None:
                record.accusers.pop(job_id, None)

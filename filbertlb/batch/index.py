"""Index of the decoded job rows; each entry process has one."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.batch.model import CANCEL_PREFIX
from filbertlb.batch.model import FINAL_STATES
from filbertlb.batch.model import Job
from filbertlb.batch.model import JOB_PREFIX
from filbertlb.batch.model import JobState
from filbertlb.batch.model import JobStatus
from filbertlb.batch.model import STATUS_PREFIX
from filbertlb.batch.stored import decode_job_row
from filbertlb.table.rows import decode_row
from filbertlb.table.rows import UnreadableRowError

if TYPE_CHECKING:
    from filbertlb.table.base import Row


@attrs.define
class JobIndex:
    """Jobs, their status and cancellations by job id."""

    jobs: dict[str, Job] = attrs.Factory(dict)
    status_by_job_id: dict[str, JobStatus] = attrs.Factory(dict)
    cancelled: set[str] = attrs.Factory(set)

    def apply_row(self, key: str, row: Row | None) -> None:
        """Apply a changed or deleted row; rows of other kinds are ignored.

        A row that cannot be decoded is logged and skipped, so that it does
        not stop the processing of other rows.
        """
        try:
            self._apply_row(key, row)
        except UnreadableRowError as error:
            logger.error("row {} ignored: {}", key, error)

    def state(self, job_id: str) -> JobState | None:
        """Return the state reported to callers, or None for an unknown job.

        A job with a cancellation row counts as cancelled even if its tasks
        are still being stopped.
        """
        if job_id not in self.jobs:
            return None
        state = self.status_by_job_id.get(job_id, JobStatus()).state
        if job_id in self.cancelled and state not in FINAL_STATES:
            return JobState.CANCELLED
        return state

    def failure(self, job_id: str) -> str:
        """Return why a job has failed, or an empty string."""
        return self.status_by_job_id.get(job_id, JobStatus()).failure

    def pending(self, queue: str) -> int:
        """Return the number of jobs in a queue that have not started."""
        count = 0
        for job in self.jobs.values():
            if job.queue != queue:
                continue
            status = self.status_by_job_id.get(job.job_id, JobStatus())
            if (
                not status.started
                and self.state(job.job_id) not in FINAL_STATES
            ):
                count += 1
        return count

    def _apply_row(self, key: str, row: Row | None) -> None:
        if key.startswith(JOB_PREFIX):
            job_id = key.removeprefix(JOB_PREFIX)
            if row is None:
                self.jobs.pop(job_id, None)
            else:
                self.jobs[job_id] = decode_job_row(row)
        elif key.startswith(STATUS_PREFIX):
            job_id = key.removeprefix(STATUS_PREFIX)
            if row is None:
                self.status_by_job_id.pop(job_id, None)
            else:
                self.status_by_job_id[job_id] = decode_row(row, JobStatus)
        elif key.startswith(CANCEL_PREFIX):
            job_id = key.removeprefix(CANCEL_PREFIX)
            if row is None:
                self.cancelled.discard(job_id)
            else:
                self.cancelled.add(job_id)

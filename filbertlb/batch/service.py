"""Operations on jobs for callers: submit, state, cancel, count of queued."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.batch.model import CANCEL_PREFIX
from filbertlb.batch.model import Job
from filbertlb.batch.model import JOB_PREFIX
from filbertlb.batch.model import JobState
from filbertlb.errors import NotFoundError
from filbertlb.table.base import ABSENT
from filbertlb.table.base import Row
from filbertlb.table.base import RowConflictError
from filbertlb.table.base import Write
from filbertlb.table.base import WriteOutcomeUnknownError
from filbertlb.table.commit import commit_with_read_back
from filbertlb.table.commit import Proof
from filbertlb.table.rows import encode_value

if TYPE_CHECKING:
    from filbertlb.batch.index import JobIndex
    from filbertlb.core.clock import Clock
    from filbertlb.table.base import TableService
    from filbertlb.table.mirror import Mirror

MAX_SUBMIT_TRIES = 2


class JobUnknownError(NotFoundError):
    """No such job is stored."""

    code = "job_unknown"
    status = 410


@attrs.frozen
class JobService:
    """Submits, shows and cancels jobs for the callers of one entry.

    Errors of the table are passed on: ``TableUnavailableError`` proves
    that nothing was stored, ``WriteOutcomeUnknownError`` does not.
    """

    table: TableService
    mirror: Mirror
    index: JobIndex
    clock: Clock

    def submit(self, job: Job) -> bool:
        """Store a job once; return False if it was stored before."""
        if job.job_id in self.index.jobs:
            logger.info("job {} is already stored", job.job_id)
            return False
        key = JOB_PREFIX + job.job_id
        value = encode_value(job)
        write = Write(key, value, ABSENT)
        try:
            versions = commit_with_read_back(
                self.table,
                (write,),
                Proof(key, write_once=True),
                attempts=MAX_SUBMIT_TRIES,
            )
        except RowConflictError:
            logger.info("job {} was stored by another entry", job.job_id)
            return False
        self._update_mirror(Row(key, value, versions[0]))
        logger.info(
            "job {} accepted: queue {} priority {} organisation {} at "
            "version {}, steps {}",
            *(job.job_id, job.queue, job.priority, job.organisation),
            *(versions[0], "; ".join(str(step) for step in job.steps)),
        )
        if job.advised:
            logger.warning(
                "job {} waits: requesting advice for queue {} is not "
                "implemented yet",
                *(job.job_id, job.queue),
            )
        return True

    def state(self, job_id: str) -> JobState:
        """Return the state of a job.

        Raises
        ------
        JobUnknownError
            If a read of the table finds no such job.
        """
        self._require_stored(job_id)
        state = self.index.state(job_id)
        if state is JobState.FAILED:
            logger.info(
                "job {} is shown as failed: {}",
                *(job_id, self.index.failure(job_id) or "no reason stored"),
            )
        return JobState.QUEUED if state is None else state

    def cancel(self, job_id: str) -> None:
        """Cancel a job; repeated calls have no further effect.

        Raises
        ------
        JobUnknownError
            If a read of the table finds no such job.
        """
        self._require_stored(job_id)
        if job_id in self.index.cancelled:
            return
        write = Write(CANCEL_PREFIX + job_id, b"{}", None)
        try:
            versions = self.table.commit((write,))
        except WriteOutcomeUnknownError:
            versions = self.table.commit((write,))
        self._update_mirror(Row(write.key, b"{}", versions[0]))
        logger.info("job {} cancelled at version {}", job_id, versions[0])

    def pending(self, queue: str) -> int:
        """Return the number of jobs of a queue that have not started."""
        return self.index.pending(queue)

    def _require_stored(self, job_id: str) -> None:
        if job_id in self.index.jobs:
            return
        row = self.table.get(JOB_PREFIX + job_id)
        if row is None:
            raise JobUnknownError(f"job {job_id!r} is not stored")
        self._update_mirror(row)

    def _update_mirror(self, row: Row) -> None:
        if row.version != ABSENT:
            self.mirror.put(row, self.clock.monotonic())

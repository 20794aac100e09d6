"""State of a job after one of its attempts has ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from filbertlb.core.model import JobState
from filbertlb.core.scheduling import JobEnd
from filbertlb.errors import Ran

if TYPE_CHECKING:
    from filbertlb.core.gang_plan import GangOutcome
    from filbertlb.core.job_record import JobRecord


def next_job_state(
    record: JobRecord, outcome: GangOutcome, max_failures: int
) -> JobState:
    """Return the job's state after an attempt.

    Parameters
    ----------
    record : JobRecord
        The job, with a failure of this attempt already counted.
    max_failures : int
        Number of failed attempts at which the job is not retried.
    """
    if outcome.end is JobEnd.SUCCEEDED:
        return JobState.SUCCEEDED
    if outcome.awaits_lost_members and not record.spec.idempotent:
        return JobState.UNKNOWN
    if record.cancel_requested or outcome.end is JobEnd.CANCELLED:
        return JobState.CANCELLED
    if not _can_retry(record, outcome):
        return JobState.FAILED
    has_attempts_left = record.failures < max_failures
    return JobState.QUEUED if has_attempts_left else JobState.FAILED


def combine_ran(before: Ran, now: Ran) -> Ran:
    """Return whether any attempt has started, given earlier and latest."""
    if Ran.YES in {before, now}:
        return Ran.YES
    return Ran.UNKNOWN if Ran.UNKNOWN in {before, now} else Ran.NO


def _can_retry(record: JobRecord, outcome: GangOutcome) -> bool:
    """Return whether another attempt would repeat no executed work.

    A job that is not idempotent and may have started is resumed only
    from a checkpoint taken by the attempt that has just ended.
    """
    if record.spec.idempotent or outcome.ran is Ran.NO:
        return True
    has_checkpoint = outcome.end is JobEnd.STOPPED and bool(
        outcome.checkpoints
    )
    return record.spec.checkpointable and has_checkpoint

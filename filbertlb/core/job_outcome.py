"""What the end of an attempt makes of its job."""

from __future__ import annotations

from typing import TYPE_CHECKING

from filbertlb.core.model import JobState
from filbertlb.core.scheduling import JobEnd
from filbertlb.errors import Ran

if TYPE_CHECKING:
    from filbertlb.core.gang_plan import GangOutcome
    from filbertlb.core.job_record import JobRecord


def state_after(
    record: JobRecord, outcome: GangOutcome, max_failures: int
) -> JobState:
    """Return the job's state after an attempt.

    Parameters
    ----------
    record : JobRecord
        The job with the attempt's failures counted.
    max_failures : int
        Failed attempts after which the job is final.
    """
    if outcome.end is JobEnd.SUCCEEDED:
        return JobState.SUCCEEDED
    if outcome.awaits_lost_members and not record.spec.idempotent:
        return JobState.UNKNOWN
    if record.cancel_requested or outcome.end is JobEnd.CANCELLED:
        return JobState.CANCELLED
    if not _may_run_again(record, outcome):
        return JobState.FAILED
    has_budget = record.failures < max_failures
    return JobState.QUEUED if has_budget else JobState.FAILED


def latest_ran(before: Ran, now: Ran) -> Ran:
    """Return whether any of the attempts has started."""
    if Ran.YES in {before, now}:
        return Ran.YES
    return Ran.UNKNOWN if Ran.UNKNOWN in {before, now} else Ran.NO


def _may_run_again(record: JobRecord, outcome: GangOutcome) -> bool:
    """Tell whether a further attempt executes nothing twice.

    Work that is not idempotent goes on only from a checkpoint that
    this very attempt took.
    """
    if record.spec.idempotent or outcome.ran is Ran.NO:
        return True
    has_resumed = outcome.end is JobEnd.STOPPED and bool(outcome.checkpoints)
    return record.spec.checkpointable and has_resumed

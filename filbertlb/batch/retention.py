"""Deletion of the rows of jobs that ended long ago."""

from __future__ import annotations

from typing import TYPE_CHECKING

from filbertlb.batch.model import CANCEL_PREFIX
from filbertlb.batch.model import JOB_PREFIX
from filbertlb.batch.model import STATUS_PREFIX
from filbertlb.batch.progress_rows import progress_keys
from filbertlb.batch.write_plan import WriteUnit
from filbertlb.table.base import Write

if TYPE_CHECKING:
    from collections.abc import Iterator

    from filbertlb.batch.planner_state import PlannerState

MAX_EXPIRED_JOBS = 20
"""Maximum number of jobs whose rows are deleted at a time."""
ENDED_JOB_RETENTION_MS = 180_000
"""Callers may query ended jobs for 120 s; the other 60 s are a margin."""


def expired_job_units(state: PlannerState, now_ms: int) -> Iterator[WriteUnit]:
    """Yield the deletions of the jobs whose retention period is over.

    The parts of a job's progress come first: while the others are stored,
    the next decider knows of the job and deletes the rest.
    """
    expired = [
        job_id
        for job_id, progress in state.progress.items()
        if 0 < progress.ended_ms < now_ms - ENDED_JOB_RETENTION_MS
    ]
    for job_id in expired[:MAX_EXPIRED_JOBS]:
        *parts, head = progress_keys(state, job_id)
        for key in parts:
            yield WriteUnit((Write(key, None),))
        prefixes = (JOB_PREFIX, STATUS_PREFIX, CANCEL_PREFIX)
        keys = [*(prefix + job_id for prefix in prefixes), head]
        writes = tuple(Write(key, None) for key in keys)
        yield WriteUnit(writes, jobs=frozenset((job_id,)))

"""Which task groups can be placed now, and which jobs are guaranteed to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from filbertlb.batch.job_outcome import job_failure
from filbertlb.batch.planner_state import TaskGroup

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from filbertlb.batch.model import Job
    from filbertlb.batch.planner_state import PlannerState

EARLY_START_MS = 100
"""Maximum time by which an occurrence starts before it is due."""


def ready_groups(state: PlannerState, now_ms: int) -> Iterator[TaskGroup]:
    """Yield the groups with tasks to place whose earlier steps are done."""
    for job, _ in state.unfinished_jobs():
        if job.job_id in state.cancelled or job.advised:
            continue
        if job_failure(state, job) is not None:
            continue
        for occurrence in range(_due_count(job, now_ms)):
            yield from _ready_steps(state, job, occurrence)


def jobs_within_guarantee(
    state: PlannerState, guaranteed: Mapping[str, int]
) -> set[str]:
    """Return the urgent jobs that fit within the guarantees.

    Guaranteed accelerators are assigned in the order of acceptance.

    Parameters
    ----------
    guaranteed : mapping of str to int
        Guaranteed number of accelerators by organisation.
    """
    within_guarantee = set()
    remaining = dict(guaranteed)
    for job, _ in sorted(
        state.unfinished_jobs(), key=lambda item: item[0].accepted_ms
    ):
        if job.priority > 0 or job.job_id in state.cancelled:
            continue
        required = max(step.count * step.needs[0] for step in job.steps)
        if required <= remaining.get(job.organisation, 0):
            remaining[job.organisation] -= required
            within_guarantee.add(job.job_id)
    return within_guarantee


def _ready_steps(
    state: PlannerState, job: Job, occurrence: int
) -> Iterator[TaskGroup]:
    groups = [
        TaskGroup(job, occurrence, index) for index in range(len(job.steps))
    ]
    for group in groups:
        unplaced = state.waiting(group) or state.restarts(group)
        if unplaced and all(
            state.done(groups[index]) for index in group.step.after
        ):
            yield group


def _due_count(job: Job, now_ms: int) -> int:
    """Return the number of occurrences that are due."""
    if not job.times:
        return 1
    since_ms = now_ms + EARLY_START_MS - job.first_due_ms
    if since_ms < 0:
        return 0
    if job.interval_ms <= 0:
        return job.times
    return min(job.times, 1 + since_ms // job.interval_ms)

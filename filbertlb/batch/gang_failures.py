"""Counts the runs of a gang that failed.

A run of a gang fails as a whole: the other members are stopped, or fail too.
So it counts once, however many of its members failed. Its attempt number
identifies it, also for the next decider, which may read the end of another
member of the same run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from filbertlb.batch.model import GangFailures
from filbertlb.batch.model import TaskPhase

if TYPE_CHECKING:
    from collections.abc import Collection

    from filbertlb.batch.model import TaskRecord
    from filbertlb.batch.planner_state import PlannerState


def failed_runs(state: PlannerState, group: str) -> int:
    """Return how many runs of a gang have failed."""
    return _known_failures(state, group).count


def count_failed_run(state: PlannerState, group: str, attempt: int) -> bool:
    """Count a run in which a member has failed.

    Returns
    -------
    bool
        False if it was counted before.

    Notes
    -----
    The member's own record must not contain the failure yet.
    """
    known = _known_failures(state, group)
    is_new = attempt > known.attempt
    if is_new:
        known = GangFailures(known.count + 1, attempt)
    state.set_gang_failures(group, known)
    return is_new


def _known_failures(state: PlannerState, group: str) -> GangFailures:
    known = state.gang_failures(group)
    if known is not None:
        return known
    return _failures_of_members(state.members(group).values())


def _failures_of_members(records: Collection[TaskRecord]) -> GangFailures:
    """Return what the records of the members prove.

    Earlier versions stored the failures of each member only. Each member's
    are of different runs; those of two members may be of the same ones.
    """
    count = max((record.failures for record in records), default=0)
    attempt = max(
        (record.attempt for record in records if _may_have_failed(record)),
        default=0,
    )
    return GangFailures(count, attempt)


def _may_have_failed(record: TaskRecord) -> bool:
    """Return whether the latest run of a member may have failed."""
    return (
        record.failures > 0
        and record.phase is TaskPhase.WAITING
        and record.avoid == record.node
    )

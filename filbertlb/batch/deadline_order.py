"""Order by priority and deadline, for sites that are rarely full.

Groups within their guarantee come first, then the more urgent, then those
that can still meet their deadline.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from filbertlb.batch.placing_context import PlacingContext
    from filbertlb.batch.planner_state import TaskGroup


@attrs.frozen
class DeadlineOrder:
    """Urgency of groups in one placement round."""

    context: PlacingContext

    def sort(self, groups: Iterable[TaskGroup]) -> list[TaskGroup]:
        """Return the groups, most urgent first."""
        return sorted(groups, key=self.sort_key)

    def sort_key(self, group: TaskGroup) -> tuple[int, bool, int, str]:
        """Return the key by which groups are sorted, most urgent first."""
        job = group.job
        guaranteed = job.job_id in self.context.within_guarantee
        priority = 0 if guaranteed else job.priority + 1
        return (
            priority,
            self.is_late(group),
            self.deadline_ms(group),
            group.name,
        )

    def is_late(self, group: TaskGroup) -> bool:
        """Return whether a group misses its deadline even if started now."""
        end_ms = self.context.now_ms + self.context.expected_ms(group)
        return end_ms > self.deadline_ms(group)

    def must_start_now(self, group: TaskGroup) -> bool:
        """Return whether a group may miss its deadline unless started now."""
        work_ms = self.context.durations.upper_ms(group.job, group.step)
        return self.context.now_ms + work_ms >= self.deadline_ms(group)

    def explain(self, group: TaskGroup) -> str:
        """Return why a group has its place, for logs."""
        guaranteed = group.job.job_id in self.context.within_guarantee
        late = "late" if self.is_late(group) else "on time"
        return "guaranteed" if guaranteed else late

    def deadline_ms(self, group: TaskGroup) -> int:
        """Return the deadline of the job, or of the occurrence."""
        job = group.job
        chain_ms = self.context.durations.chain_ms(job)
        return (
            group.earliest_start_ms
            + job.target_ms
            + int(job.slack_factor * chain_ms)
        )

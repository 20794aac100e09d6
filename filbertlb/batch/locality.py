"""Racks that a group of tasks may be placed on.

Answers steps that run much slower across racks, or away from their data.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.fitting import place_tasks
from filbertlb.batch.workers import is_eligible

if TYPE_CHECKING:
    from collections.abc import Sequence

    from filbertlb.batch.placing_context import PlacingContext
    from filbertlb.batch.planner_state import TaskGroup

LOCALITY_WAIT_MS = 4000
"""Maximum wait for a rack where a step runs three times as fast."""


@attrs.frozen
class Locality:
    """Choice of racks in one placement round."""

    context: PlacingContext

    def node_groups(
        self, group: TaskGroup, nodes: Sequence[str]
    ) -> list[Sequence[str]]:
        """Return the sets of nodes that a group may be placed on.

        A group that runs faster within one rack or near its data waits up
        to LOCALITY_WAIT_MS for such a rack, if one is large enough. An
        urgent group waits without limit.
        """
        step = group.step
        if not (step.data_rack or (step.same_rack and step.gang)):
            return [nodes]
        local_groups: list[Sequence[str]] = [
            [node for node in rack if node in nodes]
            for rack in self._racks(group).values()
            if self._fits_if_idle(group, rack)
        ]
        if local_groups and (
            self.context.waited_ms(group) < LOCALITY_WAIT_MS
            or group.job.priority == 0
        ):
            return local_groups
        return [*local_groups, nodes]

    def _racks(self, group: TaskGroup) -> dict[str, list[str]]:
        """Return the eligible nodes of each rack that is near the data."""
        step = group.step
        racks: dict[str, list[str]] = {}
        for node, worker in self.context.available.workers.items():
            if is_eligible(worker, group.job.service, step.required_label):
                racks.setdefault(worker.rack, []).append(node)
        if step.data_rack in racks:
            return {step.data_rack: racks[step.data_rack]}
        return racks

    def _fits_if_idle(self, group: TaskGroup, nodes: Sequence[str]) -> bool:
        """Return whether a group fits on these nodes if they are idle."""
        step = group.step
        workers = self.context.available.workers
        idle = {node: workers[node].capacity for node in nodes}
        count = step.count if step.gang else 1
        return (
            place_tasks(idle, step.needs, count, step.max_per_worker)
            is not None
        )

"""Racks that a group of tasks may be placed on.

Answers steps that run much slower across racks, or away from their data,
while their racks are full and others are not. Such a group waits for a rack
as long as that is expected to end its run sooner, and no longer in total
than the slower run would take more.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.batch.run_observation import CROSS_RACK_FACTOR
from filbertlb.batch.workers import is_eligible
from filbertlb.core.amounts import copies

if TYPE_CHECKING:
    from collections.abc import Sequence

    from filbertlb.batch.placing_context import PlacingContext
    from filbertlb.batch.planner_state import TaskGroup
    from filbertlb.batch.reservations import Reservations

UNKNOWN_RUN_WAIT_MS = 4000
"""Maximum wait for a rack if the run time is not known.

Short runs take about that much longer elsewhere.
"""
IDLE_WAIT_MS = 2500
"""Maximum wait for a rack while most of the service's capacity is idle.

A job with nothing running for 3 s counts as lost then.
"""
IDLE_SHARE = 0.5
"""Share of a service's capacity in use under which IDLE_WAIT_MS applies."""


@attrs.frozen
class Locality:
    """Choice of racks in one placement round."""

    context: PlacingContext
    reservations: Reservations

    def local_groups(
        self, group: TaskGroup, nodes: Sequence[str]
    ) -> list[Sequence[str]]:
        """Return the racks where a group runs fast; none if all are equal.

        Racks that are too small even when idle are left out. If the rack of
        the data has no usable worker, no other is better.
        """
        step = group.step
        if not (step.data_rack or (step.same_rack and step.gang)):
            return []
        racks = self._racks(group)
        if step.data_rack not in racks and not (step.same_rack and step.gang):
            return []
        allowed = set(nodes)
        return [
            [node for node in rack if node in allowed]
            for rack in racks.values()
            if self._fits_if_idle(group, rack)
        ]

    def waits(
        self, group: TaskGroup, local_groups: Sequence[Sequence[str]]
    ) -> bool:
        """Return whether a group that fits elsewhere waits for a rack."""
        now_ms = self.context.now_ms
        wait_since_ms = self.context.state.rack_wait_since_ms
        since_ms = wait_since_ms.get(group.name, now_ms)
        limit_ms = self._max_wait_ms(group)
        if now_ms - since_ms >= limit_ms:
            return False
        start_ms = self.reservations.expected_start_ms(group, local_groups)
        if start_ms is None or start_ms - since_ms > limit_ms:
            return False
        if group.name not in wait_since_ms:
            wait_since_ms[group.name] = now_ms
            logger.info(
                "{} waits for a rack: start expected in {} ms, limit {} ms",
                *(group.name, start_ms - now_ms, limit_ms),
            )
        return True

    def sets_to_reserve(
        self, group: TaskGroup, nodes: Sequence[str]
    ) -> list[Sequence[str]]:
        """Return the sets of nodes where a group is done soonest."""
        local_groups = self.local_groups(group, nodes)
        if not local_groups:
            return [nodes]
        start_ms = self.reservations.expected_start_ms(group, local_groups)
        if start_ms is None:
            return [nodes]
        other_ms = self.reservations.expected_start_ms(group, [nodes])
        if other_ms is None or start_ms - other_ms <= self.slower_ms(group):
            return local_groups
        return [nodes]

    def slower_ms(self, group: TaskGroup) -> int:
        """Return how much longer a task runs elsewhere."""
        run_ms = self.context.expected_ms(group)
        if group.step.long_running or run_ms <= 0:
            return UNKNOWN_RUN_WAIT_MS
        return int((CROSS_RACK_FACTOR - 1) * run_ms)

    def _max_wait_ms(self, group: TaskGroup) -> int:
        slower_ms = self.slower_ms(group)
        if self.is_service_idle(group):
            return min(slower_ms, IDLE_WAIT_MS)
        return slower_ms

    def is_service_idle(self, group: TaskGroup) -> bool:
        """Return whether a group fits twice and most capacity is idle."""
        step = group.step
        available = self.context.available
        nodes = [
            node
            for node, worker in available.workers.items()
            if worker.service == group.job.service
        ]
        for index, needed in enumerate(step.needs):
            if not needed:
                continue
            free = sum(available.room[node][index] for node in nodes)
            total = sum(
                available.workers[node].capacity[index] for node in nodes
            )
            if total - free >= IDLE_SHARE * total:
                return False
        count = step.count if step.gang else 1
        fitting = sum(
            copies(available.room[node], step.needs) for node in nodes
        )
        return fitting >= 2 * count

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
        remaining = step.count if step.gang else 1
        most = step.max_per_worker or remaining
        for node in nodes:
            remaining -= min(most, copies(workers[node].capacity, step.needs))
        return remaining <= 0

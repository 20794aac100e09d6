"""Which workers a group takes, by what is known of their speeds.

Answers sites whose workers run the same task in different times. A gang is
as slow as its slowest member, so one worker that is too slow, or was never
seen at work, makes it late. What a group needs is compared with the speed
that a worker has with some probability, not with the expected one.
"""

from __future__ import annotations

from math import log
from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.worker_speeds import parts_of_equal_speed
from filbertlb.batch.worker_speeds import preference_by_node

if TYPE_CHECKING:
    from collections.abc import Sequence

    from filbertlb.batch.ordering import PlacingOrder
    from filbertlb.batch.placing_context import PlacingContext
    from filbertlb.batch.planner_state import TaskGroup

LEAST_CHANCES = (0.9, 0.5)
"""Probabilities to be on time by which workers are chosen, one after another.

The first leaves a gang of several workers a good chance as a whole.
"""
OVERHEAD_MS = 150
"""Time of a job beside its run: to order and start it, and to tell its end."""


@attrs.define
class SpeedChoice:
    """Choice of workers by speed in one placement round."""

    context: PlacingContext
    order: PlacingOrder
    band_by_node: dict[str, int] = attrs.field(init=False)
    _bounds: dict[float, dict[str, float]] = attrs.field(init=False)
    _preferences: dict[bool, dict[str, int]] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        """Look up what is known of the workers."""
        durations = self.context.durations
        workers = self.context.available.workers
        self.band_by_node = {
            node: durations.speed_band(node) for node in workers
        }
        if len(set(self.band_by_node.values())) < 2:
            self.band_by_node = {}
        self._bounds = {
            chance: {
                node: durations.log_speed_bound(node, chance)
                for node in workers
            }
            for chance in LEAST_CHANCES
        }

    def likely_in_time(
        self, group: TaskGroup, nodes: Sequence[str]
    ) -> list[list[str]]:
        """Return the nodes on which a group is likely on time.

        The first list holds the surest nodes, the next ones also others. It
        is empty if speed doesn't matter or no node is likely fast enough.
        """
        run_ms = self.context.expected_ms(group)
        if run_ms <= 0 or self.order.is_late(group):
            return []
        left_ms = self.order.deadline_ms(group) - self.context.now_ms
        needed = log(run_ms / max(1, left_ms - OVERHEAD_MS))
        choices: list[list[str]] = []
        for chance in LEAST_CHANCES:
            bounds = self._bounds[chance]
            likely = [node for node in nodes if bounds[node] >= needed]
            if len(likely) == len(nodes):
                break
            if likely and (not choices or len(likely) > len(choices[-1])):
                choices.append(likely)
        return choices

    def equal_parts(
        self, group: TaskGroup, node_groups: Sequence[Sequence[str]]
    ) -> list[Sequence[str]]:
        """Return the parts of groups of nodes that have one speed.

        They are empty if speeds don't matter to the group.
        """
        if not (self.band_by_node and group.step.gang):
            return []
        return parts_of_equal_speed(node_groups, self.band_by_node)

    def preference(self, group: TaskGroup) -> dict[str, int] | None:
        """Return the order of nodes by speed; None if all are alike.

        Urgent work and chains of steps take fast workers, since their
        objectives leave the least time for waiting.
        """
        if not self.band_by_node:
            return None
        job = group.job
        prefers_fast = job.priority == 0 or len(job.steps) > 1
        preference = self._preferences.get(prefers_fast)
        if preference is None:
            preference = preference_by_node(self.band_by_node, prefers_fast)
            self._preferences[prefers_fast] = preference
        return preference

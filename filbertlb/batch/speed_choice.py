"""Which workers a group takes, by what is known of their speeds.

Answers sites whose workers run the same task in different times. A gang is
as slow as its slowest member, so one worker that is too slow, or was never
seen at work, makes it late. What a group needs is compared with the speed
that a worker has with some probability, not with the expected one.
"""

from __future__ import annotations

from enum import IntEnum
from math import log
from typing import TYPE_CHECKING

import attrs

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
LAST_RANK = 100
"""Rank after that of all workers on which a group is likely on time."""


class SpeedClass(IntEnum):
    """What is known of a worker's speed, the slowest first."""

    SLOW = 0
    UNSEEN = 1
    USUAL = 2
    FAST = 3


@attrs.define
class SpeedChoice:
    """Choice of workers by speed in one placement round."""

    context: PlacingContext
    order: PlacingOrder
    band_by_node: dict[str, int] = attrs.field(init=False)
    _class_by_node: dict[str, SpeedClass] = attrs.field(init=False)
    _bounds: dict[float, dict[str, float]] = attrs.field(init=False)
    _fastest_first: dict[str, int] = attrs.Factory(dict)
    _slowest_first_by_group: dict[str, dict[str, int]] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        """Look up what is known of the workers."""
        durations = self.context.durations
        workers = self.context.available.workers
        self.band_by_node = {
            node: durations.speed_band(node) for node in workers
        }
        if len(set(self.band_by_node.values())) < 2:
            self.band_by_node = {}
        self._class_by_node = {
            node: speed_class(band, durations.was_seen(node))
            for node, band in self.band_by_node.items()
        }
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
        needed = self._needed_log_speed(group)
        if needed is None:
            return []
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
    ) -> list[list[Sequence[str]]]:
        """Return the parts of groups of nodes that have one speed.

        Returns
        -------
        list of list of sequence of str
            The parts of each speed, the preferred speed first; none if
            speeds don't matter to the group.
        """
        preference = self.preference(group)
        if preference is None or not group.step.gang:
            return []
        parts: dict[int, list[Sequence[str]]] = {}
        for nodes in node_groups:
            nodes_by_rank: dict[int, list[str]] = {}
            for node in nodes:
                nodes_by_rank.setdefault(preference[node], []).append(node)
            for rank, part in nodes_by_rank.items():
                parts.setdefault(rank, []).append(part)
        return [parts[rank] for rank in sorted(parts)]

    def preference(self, group: TaskGroup) -> dict[str, int] | None:
        """Return the order of nodes by speed; None if all are alike.

        Urgent work and chains of steps take fast workers, since their
        objectives leave the least time for waiting. Other work takes the
        slowest on which it is likely on time, and those that were never seen
        at work, so that the others stay free and more becomes known.
        """
        if not self.band_by_node:
            return None
        job = group.job
        if job.priority == 0 or len(job.steps) > 1:
            if not self._fastest_first:
                self._fastest_first = {
                    node: -band for node, band in self.band_by_node.items()
                }
            return self._fastest_first
        ranks = self._slowest_first_by_group.get(group.name)
        if ranks is None:
            ranks = self._slowest_suitable_first(group)
            self._slowest_first_by_group[group.name] = ranks
        return ranks

    def _slowest_suitable_first(self, group: TaskGroup) -> dict[str, int]:
        needed = self._needed_log_speed(group)
        sure = self._bounds[LEAST_CHANCES[0]]
        return {
            node: speed if _suits(speed, sure[node], needed) else LAST_RANK
            for node, speed in self._class_by_node.items()
        }

    def _needed_log_speed(self, group: TaskGroup) -> float | None:
        """Return the speed with which a group that starts now is on time.

        None if it has no run time, or is late on a worker of usual speed.
        """
        run_ms = self.context.expected_ms(group)
        if run_ms <= 0 or self.order.is_late(group):
            return None
        left_ms = self.order.deadline_ms(group) - self.context.now_ms
        return log(run_ms / max(1, left_ms - OVERHEAD_MS))


def _suits(
    speed: SpeedClass, sure_log_speed: float, needed: float | None
) -> bool:
    """Return whether a worker suits work in no hurry.

    Work that is late anyway loses least on those that are not slow.
    """
    if needed is None:
        return speed is not SpeedClass.SLOW
    return sure_log_speed >= needed


def speed_class(band: int, was_seen: bool) -> SpeedClass:
    """Return the class of a worker by its band and whether it was seen."""
    if not was_seen:
        return SpeedClass.UNSEEN
    return {-1: SpeedClass.SLOW, 0: SpeedClass.USUAL}.get(
        band, SpeedClass.FAST
    )

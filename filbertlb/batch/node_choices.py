"""Nodes that tasks may be placed on, by what happened there before.

Answers tasks that crash their workers and workers that fail their runs: a
retry on the same worker would most likely end in the same way.
"""

from __future__ import annotations

from operator import le
from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.crashes import not_crashed_often
from filbertlb.batch.locality import IDLE_WAIT_MS

if TYPE_CHECKING:
    from filbertlb.batch.crashes import Separation
    from filbertlb.batch.locality import Locality
    from filbertlb.batch.placing_context import PlacingContext
    from filbertlb.batch.planner_state import TaskGroup
    from filbertlb.batch.preemption import Preemption
    from filbertlb.batch.probation import Probation


@attrs.frozen
class NodeChoices:
    """Choice of nodes in one placement round."""

    context: PlacingContext
    preemption: Preemption
    locality: Locality
    separation: Separation
    probation: Probation

    def of(self, group: TaskGroup, tasks: list[str]) -> list[list[str]]:
        """Return the nodes to place tasks on, the most preferred first.

        Tasks that may have crashed a worker prefer idle nodes, where the next
        crash harms nobody else. Claims of guarantees are not kept apart from
        others, as their time limit is shorter; restarts of tasks that run
        until cancelled have begun before and are.
        """
        nodes = self._without_repeated_crashes(
            group, self.context.candidates(group), tasks
        )
        restarts = group.step.long_running and any(
            self.separation.is_held(task) for task in tasks
        )
        if restarts or not self.preemption.may_claim_guarantee(group):
            nodes = self.separation.filter(nodes, tasks)
        allowed = self.probation.filter(group, nodes, tasks)
        choices = self._by_past_runs(allowed, tasks)
        if len(allowed) < len(nodes) and self._must_start_anywhere(group):
            choices.append(nodes)
        if not self.context.state.suspects.isdisjoint(tasks):
            occupied = set(self.context.state.occupied_nodes())
            preferred = next(filter(None, choices), [])
            idle = [node for node in preferred if node not in occupied]
            choices.insert(0, idle)
        return choices

    def _without_repeated_crashes(
        self, group: TaskGroup, nodes: list[str], tasks: list[str]
    ) -> list[str]:
        """Return the nodes that have not crashed repeatedly under a task.

        It waits for one of these, if any is large enough. Tasks that run
        until cancelled restart at once, and a gang needs several nodes.
        """
        step = group.step
        if step.long_running or step.gang:
            return nodes
        if self.context.state.suspects.isdisjoint(tasks):
            return nodes
        others = not_crashed_often(
            nodes, map(self.context.state.record, tasks)
        )
        if any(
            all(
                map(
                    le,
                    step.needs,
                    self.context.available.workers[node].capacity,
                )
            )
            for node in others
        ):
            return others
        return nodes

    def _by_past_runs(
        self, nodes: list[str], tasks: list[str]
    ) -> list[list[str]]:
        """Return the nodes to place tasks on by what happened there.

        The last resort is the node of the last failure or crash, the one
        before it those of all crashes.
        """
        records = [self.context.state.record(task) for task in tasks]
        last = {record.avoid for record in records}
        crashed = {
            crash.node for record in records for crash in record.crashes
        }
        choices = [nodes]
        for avoided in (last, last | crashed) if crashed else (last,):
            preferred = [node for node in nodes if node not in avoided]
            if len(preferred) < len(choices[0]):
                choices.insert(0, preferred)
        return choices

    def _must_start_anywhere(self, group: TaskGroup) -> bool:
        """Return whether a group can't wait for a better worker.

        A claim of a guarantee has a time limit, and work that does not run
        while most of the service is idle would count as lost.
        """
        if self.preemption.may_claim_guarantee(group):
            return self.preemption.has_time_limit(group)
        waited_ms = self.context.now_ms - self.context.state.ready_ms(group)
        return waited_ms >= IDLE_WAIT_MS and self.locality.is_service_idle(
            group
        )

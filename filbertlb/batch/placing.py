"""Places task groups that are ready, in order of urgency."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.batch.crashes import Separation
from filbertlb.batch.fitting import place_in_best_group
from filbertlb.batch.locality import Locality
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.ordering import placing_order
from filbertlb.batch.planner_state import ALLOCATED_PHASES
from filbertlb.batch.preemption import Preemption
from filbertlb.batch.reservations import Reservations
from filbertlb.core.amounts import minus

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from filbertlb.batch.fitting import Placement
    from filbertlb.batch.fitting import RunningTask
    from filbertlb.batch.ordering import PlacingOrder
    from filbertlb.batch.placing_context import AvailableCapacity
    from filbertlb.batch.placing_context import PlacingContext
    from filbertlb.batch.planner_state import PlannerState
    from filbertlb.batch.planner_state import TaskGroup

MAX_CHANGED_ROWS = 80
"""Rows changed before placing stops, so that a decision stays short."""


@attrs.define
class Placer:
    """One placement round.

    Attributes
    ----------
    waiting, untried : list of TaskGroup
        Groups with tasks that could not be placed, and those that the round
        did not reach, in their order.
    """

    context: PlacingContext
    order: PlacingOrder = attrs.field(init=False)
    preemption: Preemption = attrs.field(init=False)
    locality: Locality = attrs.field(init=False)
    reservations: Reservations = attrs.field(init=False)
    separation: Separation = attrs.field(init=False)
    waiting: list[TaskGroup] = attrs.field(init=False, factory=list)
    untried: list[TaskGroup] = attrs.field(init=False, factory=list)

    def __attrs_post_init__(self) -> None:
        """Set up the decisions that the round consists of."""
        context = self.context
        self.order = placing_order(context)
        self.preemption = Preemption(context, self.order)
        self.locality = Locality(context)
        self.reservations = Reservations(context)
        self.separation = Separation(context.state, context.now_ms)

    @property
    def state(self) -> PlannerState:
        """Jobs and tasks."""
        return self.context.state

    @property
    def available(self) -> AvailableCapacity:
        """Workers and their free resources."""
        return self.context.available

    def place(self, groups: Iterable[TaskGroup]) -> None:
        """Order the tasks that fit; reserve nodes for the first others."""
        ordered = self.order.sort(groups)
        for number, group in enumerate(ordered):
            changed = len(self.state.changed_jobs)
            if changed + len(self.state.changed_nodes) > MAX_CHANGED_ROWS:
                self.untried = ordered[number:]
                return
            self._place_group(group)
            left = self.state.waiting(group)
            if left:
                self.waiting.append(group)
            waiting = [
                task for task in left if not self.separation.is_held(task)
            ]
            if waiting and self.reservations.may_reserve():
                self.available.reserved |= self._nodes_to_reserve(group)

    def _place_group(self, group: TaskGroup) -> None:
        waiting = self.separation.startable(group)
        if not waiting:
            return
        if group.step.gang:
            placement = self._find_placement(group, group.step.count, waiting)
            if placement is not None:
                self._order(group, waiting, placement)
            return
        for task in sorted(waiting, key=self.separation.is_held):
            placement = self._find_placement(group, 1, [task])
            if placement is None:
                return
            self._order(group, [task], placement)

    def _find_placement(
        self, group: TaskGroup, count: int, tasks: list[str]
    ) -> Placement | None:
        for nodes in self._node_choices(group, tasks):
            placement = self._place_on(group, nodes, count)
            if placement is not None:
                return placement
        return None

    def _node_choices(
        self, group: TaskGroup, tasks: list[str]
    ) -> list[list[str]]:
        """Return the nodes to place tasks on, the most preferred first.

        Nodes are preferred to those where the tasks failed. Tasks that may
        have crashed a worker prefer idle nodes, where the next crash harms
        nobody else. Claims of guarantees are not kept apart from others,
        as their time limit is shorter; restarts of tasks that run until
        cancelled have begun before and are.
        """
        nodes = self.context.candidates(group)
        restarts = group.step.long_running and any(
            self.separation.is_held(task) for task in tasks
        )
        if restarts or not self.preemption.may_claim_guarantee(group):
            nodes = self.separation.filter(nodes, tasks)
        avoided = {self.state.record(task).avoid for task in tasks}
        preferred = [node for node in nodes if node not in avoided]
        choices = [nodes]
        if len(preferred) < len(nodes):
            choices.insert(0, preferred)
        if not self.state.suspects.isdisjoint(tasks):
            occupied = set(self.state.occupied_nodes())
            idle = [node for node in preferred if node not in occupied]
            choices.insert(0, idle)
        return choices

    def _place_on(
        self, group: TaskGroup, nodes: Sequence[str], count: int
    ) -> Placement | None:
        node_groups = self.locality.node_groups(group, nodes)
        placement = self._best_placement(group, node_groups, count, ())
        if placement is not None:
            return placement
        preemptible = self.preemption.preemptible_runs(group)
        if not preemptible:
            return None
        placement = self._best_placement(
            group, node_groups, count, preemptible
        )
        return self.preemption.if_loss_acceptable(placement, group, count)

    def _best_placement(
        self,
        group: TaskGroup,
        node_groups: Sequence[Sequence[str]],
        count: int,
        preemptible: Sequence[RunningTask],
    ) -> Placement | None:
        step = group.step
        return place_in_best_group(
            node_groups,
            self.available.room,
            step.needs,
            count,
            step.max_per_worker,
            preemptible,
            self._tasks_by_node(group) if step.max_per_worker else None,
        )

    def _tasks_by_node(self, group: TaskGroup) -> dict[str, int]:
        """Return the number of tasks of a group by node."""
        used: dict[str, int] = {}
        for record in self.state.members(group.name).values():
            if record.phase in ALLOCATED_PHASES:
                used[record.node] = used.get(record.node, 0) + 1
        return used

    def _nodes_to_reserve(self, group: TaskGroup) -> set[str]:
        """Return the nodes where a group can start soonest."""
        nodes = self.context.candidates(group)
        running = self.reservations.runs_by_remaining_time(nodes)
        count = group.step.count if group.step.gang else 1
        node_groups = self.locality.node_groups(group, nodes)
        placement = self._best_placement(group, node_groups, count, running)
        return set() if placement is None else set(placement.nodes)

    def _order(
        self, group: TaskGroup, tasks: list[str], placement: Placement
    ) -> None:
        for victim in sorted(placement.victims):
            self._preempt(victim, group)
        attempt = 1 + max(self.state.record(task).attempt for task in tasks)
        for task, node in zip(tasks, placement.nodes, strict=True):
            self.state.set_record(
                task,
                attrs.evolve(
                    self.state.record(task),
                    phase=TaskPhase.ORDERED,
                    attempt=attempt,
                    node=node,
                    incarnation=self.available.workers[node].incarnation,
                    since_ms=self.context.now_ms,
                ),
            )
            self.separation.record_order(task, node)
            room = self.available.room[node]
            self.available.room[node] = minus(room, group.step.needs)
        logger.info(
            "order {} attempt {} on {} (waited {} ms, stops {})",
            *(group.name if group.step.gang else tasks[0], attempt),
            *(
                ",".join(placement.nodes),
                self.context.waited_ms(group),
            ),
            sorted(placement.victims),
        )

    def _preempt(self, victim: str, group: TaskGroup) -> None:
        """Stop a gang or a single task for a more urgent group."""
        for task in list(self.state.members(victim)) or [victim]:
            record = self.state.record(task)
            if record.phase is not TaskPhase.ORDERED:
                continue
            self.state.set_phase(task, TaskPhase.STOPPING, self.context.now_ms)
            worker = self.available.workers.get(record.node)
            if worker is not None:
                ordered = self.state.ordered(record.node)
                self.available.room[record.node] = minus(
                    worker.capacity, ordered
                )
        logger.info("stop {} for {}", victim, group.name)

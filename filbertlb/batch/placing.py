"""Places task groups that are ready, in order of urgency."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.batch.crashes import Separation
from filbertlb.batch.fitting import may_hold
from filbertlb.batch.fitting import place_in_best_group
from filbertlb.batch.locality import IDLE_WAIT_MS
from filbertlb.batch.locality import Locality
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.node_choices import NodeChoices
from filbertlb.batch.ordering import placing_order
from filbertlb.batch.planner_state import ALLOCATED_PHASES
from filbertlb.batch.preemption import GUARANTEE_PREEMPTION_DELAY_MS
from filbertlb.batch.preemption import Preemption
from filbertlb.batch.probation import Probation
from filbertlb.batch.reservations import Reservations
from filbertlb.batch.speed_choice import SpeedChoice
from filbertlb.core.amounts import minus

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from filbertlb.batch.fitting import Placement
    from filbertlb.batch.fitting import RunningTask
    from filbertlb.batch.ordering import PlacingOrder
    from filbertlb.batch.placing_context import AvailableCapacity
    from filbertlb.batch.placing_context import PlacingContext
    from filbertlb.batch.planner_state import PlannerState
    from filbertlb.batch.planner_state import TaskGroup
    from filbertlb.core.amounts import Amount

MAX_CHANGED_ROWS = 80
"""Rows changed before placing stops, so that a decision stays short."""
RESTART_HOLD_MS = 2000
"""Time for which resources are held for a gang that is being stopped."""


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
    probation: Probation = attrs.field(init=False)
    node_choices: NodeChoices = attrs.field(init=False)
    speeds: SpeedChoice = attrs.field(init=False)
    waiting: list[TaskGroup] = attrs.field(init=False, factory=list)
    untried: list[TaskGroup] = attrs.field(init=False, factory=list)

    def __attrs_post_init__(self) -> None:
        """Set up the decisions that the round consists of."""
        context = self.context
        self.order = placing_order(context)
        self.preemption = Preemption(context, self.order)
        self.reservations = Reservations(context)
        self.locality = Locality(context, self.reservations)
        self.separation = Separation(context.state, context.now_ms)
        self.probation = Probation(context)
        self.node_choices = NodeChoices(
            *(context, self.preemption, self.locality),
            *(self.separation, self.probation),
        )
        self.speeds = SpeedChoice(context, self.order)

    @property
    def state(self) -> PlannerState:
        """Jobs and tasks."""
        return self.context.state

    @property
    def available(self) -> AvailableCapacity:
        """Workers and their free resources."""
        return self.context.available

    def place(self, groups: Iterable[TaskGroup]) -> None:
        """Order the tasks that fit; hold resources for the first others."""
        ordered = self.order.sort(groups)
        for number, group in enumerate(ordered):
            changed = len(self.state.changed_jobs)
            if changed + len(self.state.changed_nodes) > MAX_CHANGED_ROWS:
                self.untried = ordered[number:]
                return
            if self.state.restarts(group):
                self._reserve_for_restart(group)
                continue
            self._place_group(group)
            left = self.state.waiting(group)
            if left:
                self.waiting.append(group)
            waiting = [
                task for task in left if not self.separation.is_held(task)
            ]
            if waiting and self.reservations.may_reserve():
                self._reserve(group)

    def _place_group(self, group: TaskGroup) -> None:
        waiting = self.separation.startable(group)
        if not waiting:
            return
        if group.step.gang:
            placement = self._find_placement(group, group.step.count, waiting)
            if placement is not None:
                self._order(group, waiting, placement)
            return
        self._place_tasks(group, sorted(waiting, key=self.separation.is_held))

    def _place_tasks(self, group: TaskGroup, tasks: Iterable[str]) -> None:
        """Place single tasks until one does not fit.

        A retry that does not fit keeps only other retries waiting, as those
        have fewer workers to choose from.
        """
        retries_wait = False
        for task in tasks:
            is_retry = self.probation.is_retry([task])
            if is_retry and retries_wait:
                continue
            placement = self._find_placement(group, 1, [task])
            if placement is not None:
                self._order(group, [task], placement)
            elif is_retry:
                retries_wait = True
            else:
                return

    def _find_placement(
        self, group: TaskGroup, count: int, tasks: list[str]
    ) -> Placement | None:
        choices = self.node_choices.of(group, tasks)
        if self.probation.is_retry(tasks):
            placement = self._place_on_proven(group, choices[0], count)
            if placement is not None:
                return placement
        for nodes in choices:
            placement = self._place_on(group, nodes, count)
            if placement is not None:
                return placement
        return None

    def _place_on_proven(
        self, group: TaskGroup, nodes: Sequence[str], count: int
    ) -> Placement | None:
        """Place a retry on free resources of workers that start runs."""
        proven = self.probation.proven(nodes)
        racks = self.locality.local_groups(group, proven)
        return self._place_on_free(group, racks or [proven], count)

    def _place_on(
        self, group: TaskGroup, nodes: Sequence[str], count: int
    ) -> Placement | None:
        placement = self._place_in_time(group, nodes, count)
        if placement is not None:
            return placement
        racks = self.locality.local_groups(group, nodes)
        placement = self._place_on_free(group, racks or [nodes], count)
        if placement is not None:
            return placement
        elsewhere = None
        if racks:
            elsewhere = self._best_placement(group, [nodes], count, ())
        if self.preemption.may_claim_guarantee(group):
            return self._claim(group, nodes, racks, elsewhere, count)
        placement = self.preemption.if_loss_acceptable(
            self._preempting(group, racks or [nodes], count), group
        )
        if placement is not None or elsewhere is None:
            return placement
        return None if self._waits_for_rack(group, racks) else elsewhere

    def _waits_for_rack(
        self, group: TaskGroup, racks: Sequence[Sequence[str]]
    ) -> bool:
        """Return whether a group that fits elsewhere waits for a rack.

        One that may claim a place there soon waits until then.
        """
        claims_soon = self.preemption.has_time_limit(group) and (
            self.locality.slower_ms(group) > GUARANTEE_PREEMPTION_DELAY_MS
        )
        return claims_soon or self.locality.waits(group, racks)

    def _claim(
        self,
        group: TaskGroup,
        nodes: Sequence[str],
        racks: Sequence[Sequence[str]],
        elsewhere: Placement | None,
        count: int,
    ) -> Placement | None:
        """Place tasks that may preempt whatever is lost.

        They wait for runs that end in time. Free resources away from their
        racks are used unless a preemption there costs little.
        """
        latest_ms = self.preemption.latest_wait_ms(group)
        if latest_ms is not None and self.reservations.starts_in_time(
            group, racks or [nodes], latest_ms
        ):
            return None
        local = self._preempting(group, racks, count) if racks else None
        if elsewhere is None:
            elsewhere = self._preempting(group, [nodes], count)
        if local is None or elsewhere is None:
            return local or elsewhere
        gain = self.preemption.gain(group)
        return local if local.cost <= elsewhere.cost + gain else elsewhere

    def _preempting(
        self,
        group: TaskGroup,
        node_groups: Sequence[Sequence[str]],
        count: int,
    ) -> Placement | None:
        """Return the placement that stops the least, if any is allowed.

        What was preempted before is spared if there is another choice; for
        a group that need not preempt, waiting is one.
        """
        preemptible = self._preemptible_runs(group)
        if not preemptible:
            return None
        others = [
            run
            for run in preemptible
            if run.stop_group not in self.state.preempted
        ]
        placement = self._best_placement(group, node_groups, count, others)
        if placement is None and self.preemption.may_claim_guarantee(group):
            return self._best_placement(group, node_groups, count, preemptible)
        return placement

    def _room_for(self, group: TaskGroup) -> Mapping[str, Amount]:
        """Return the resources that a group may use by node.

        A claim of a guarantee has a time limit and disregards reservations.
        Work of unknown length with nothing running while most of the service
        is idle would count as lost, and disregards those that are not firm.
        Other work waits until the reserved start at most.
        """
        if self.reservations.empty or self.preemption.may_claim_guarantee(
            group
        ):
            return self.available.room
        return self.reservations.room_for(group, self._idles_too_long(group))

    def _idles_too_long(self, group: TaskGroup) -> bool:
        """Return whether a group waits while most of the service is idle."""
        if self.reservations.ends_in_known_time(group):
            return False
        waited_ms = self.context.now_ms - self.state.ready_ms(group)
        return (
            waited_ms >= IDLE_WAIT_MS
            and self.locality.is_service_idle(group)
            and not any(
                record.phase in ALLOCATED_PHASES
                for record in self.state.members(group.name).values()
            )
        )

    def _preemptible_runs(self, group: TaskGroup) -> list[RunningTask]:
        """Return the runs that may be stopped for a group.

        What a stop frees on a node with a reservation is held already.
        """
        runs = self.preemption.preemptible_runs(group)
        if self.preemption.may_claim_guarantee(group):
            return runs
        return [
            run
            for run in runs
            if not self.reservations.is_held(run.node, group)
        ]

    def _place_in_time(
        self, group: TaskGroup, nodes: Sequence[str], count: int
    ) -> Placement | None:
        """Place a group on workers on which it is likely on time.

        Returns None if that does not matter or if they are needed.
        """
        for likely in self.speeds.likely_in_time(group, nodes):
            racks = self.locality.local_groups(group, likely)
            node_groups = racks or [likely]
            placement = self._place_on_free(group, node_groups, count)
            if placement is None and self._preemptible_runs(group):
                placement = self.preemption.if_loss_acceptable(
                    self._preempting(group, node_groups, count), group
                )
            if placement is not None:
                return placement
        return None

    def _place_on_free(
        self,
        group: TaskGroup,
        node_groups: Sequence[Sequence[str]],
        count: int,
    ) -> Placement | None:
        """Place a group on free resources of one set of nodes."""
        placement = self._place_on_equal_speed(group, node_groups, count)
        if placement is not None:
            return placement
        return self._best_placement(group, node_groups, count, ())

    def _place_on_equal_speed(
        self,
        group: TaskGroup,
        node_groups: Sequence[Sequence[str]],
        count: int,
    ) -> Placement | None:
        """Place a gang on workers of equal speed if they have room."""
        if count < 2:
            return None
        room, needs = self._room_for(group), group.step.needs
        for parts in self.speeds.equal_parts(group, node_groups):
            large = [
                part for part in parts if may_hold(room, part, needs, count)
            ]
            placement = self._best_placement(group, large, count, ())
            if placement is not None:
                return placement
        return None

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
            self._room_for(group),
            step.needs,
            count,
            step.max_per_worker,
            preemptible,
            self._tasks_by_node(group) if step.max_per_worker else None,
            self.speeds.preference(group),
        )

    def _tasks_by_node(self, group: TaskGroup) -> dict[str, int]:
        """Return the number of tasks of a group by node."""
        used: dict[str, int] = {}
        for record in self.state.members(group.name).values():
            if record.phase in ALLOCATED_PHASES:
                used[record.node] = used.get(record.node, 0) + 1
        return used

    def _reserve(self, group: TaskGroup) -> None:
        """Hold resources where a group can start soonest."""
        nodes = self.probation.filter(
            group, self.context.candidates(group), self.state.waiting(group)
        )
        sets = self.locality.sets_to_reserve(group, nodes)
        self.reservations.reserve(group, sets)

    def _reserve_for_restart(self, group: TaskGroup) -> None:
        """Hold resources for a gang whose last members are being stopped.

        Less urgent tasks that started there meanwhile would be stopped for
        it at once. Members that take long to stop may be on silent workers,
        so nothing is held for them any more.
        """
        records = self.state.members(group.name).values()
        since_ms = max(record.since_ms for record in records)
        if self.context.now_ms - since_ms > RESTART_HOLD_MS:
            return
        avoided = {record.avoid for record in records}
        nodes = [
            node
            for node in self.context.candidates(group)
            if node not in avoided
        ]
        sets = self.locality.sets_to_reserve(group, nodes)
        self.reservations.reserve(group, sets)

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
            self.probation.record_order(node)
            self.reservations.record_order(task, group, node)
            self.context.record_order(node)
            room = self.available.room[node]
            self.available.room[node] = minus(room, group.step.needs)
        self.state.with_reservation.discard(group.name)
        self.state.rack_wait_since_ms.pop(group.name, None)
        logger.info(
            "order {} attempt {} on {} (waited {} ms, stops {}, expects {}, "
            "speeds {})",
            *(group.name if group.step.gang else tasks[0], attempt),
            *(
                ",".join(placement.nodes),
                self.context.waited_ms(group),
            ),
            sorted(placement.victims),
            self.context.durations.explain(group.job, group.step),
            self._explain_speeds(placement.nodes),
        )

    def _explain_speeds(self, nodes: Sequence[str]) -> str:
        """Return what is known of the speeds of nodes, for logs."""
        distinct = dict.fromkeys(nodes)
        return " ".join(map(self.context.durations.explain_speed, distinct))

    def _preempt(self, victim: str, group: TaskGroup) -> None:
        """Stop a gang or a single task for a more urgent group."""
        lost_core_s = self.preemption.lost_core_s(victim)
        cause = self.preemption.cause(group)
        losses = self.context.lost_core_s
        losses[cause] = losses.get(cause, 0.0) + lost_core_s
        run_ms = 0
        for task in list(self.state.members(victim)) or [victim]:
            record = self.state.record(task)
            if record.phase is not TaskPhase.ORDERED:
                continue
            run_ms = max(run_ms, self.context.now_ms - record.since_ms)
            self.state.set_phase(task, TaskPhase.STOPPING, self.context.now_ms)
            self.reservations.record_stop(task, record.node)
            worker = self.available.workers.get(record.node)
            if worker is not None:
                ordered = self.state.ordered(record.node)
                self.available.room[record.node] = minus(
                    worker.capacity, ordered
                )
        self.state.preempted.add(victim)
        logger.info(
            "stop {} for {}: {} after {} ms, {:.1f} core-seconds lost",
            *(victim, group.name, cause, run_ms, lost_core_s),
        )

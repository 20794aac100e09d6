"""Places task groups that are ready, in order of urgency."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.batch.crashes import Separation
from filbertlb.batch.fitting import place_in_best_group
from filbertlb.batch.fitting import place_tasks
from filbertlb.batch.fitting import RunningTask
from filbertlb.batch.model import job_id_of
from filbertlb.batch.model import task_group_of
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.planner_state import ALLOCATED_PHASES
from filbertlb.batch.workers import is_eligible
from filbertlb.core.amounts import minus

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from filbertlb.batch.fitting import Placement
    from filbertlb.batch.model import Step
    from filbertlb.batch.model import Worker
    from filbertlb.batch.planner_state import PlannerState
    from filbertlb.batch.planner_state import TaskGroup
    from filbertlb.batch.workers import WorkerView
    from filbertlb.core.amounts import Amount

CORES_PER_ACCELERATOR = 8
CHECKPOINT_INTERVAL_MS = 2000
"""Maximum work of a checkpointable task since its last checkpoint."""
LOCALITY_WAIT_MS = 4000
"""Maximum wait for a rack where a step runs three times as fast."""
GUARANTEE_PREEMPTION_DELAY_MS = 1000
"""Time that a job within its guarantee waits before it preempts any run.

The rest of the time limit for guaranteed starts is left for stopping runs.
"""
MAX_RESERVED_SHARE = 0.5
"""Maximum share of the workers reserved for waiting groups."""
MIN_REMAINING_MS = 500
"""Assumed remaining time of runs that exceed their estimate."""
BASE_LOSS_LIMIT_CORE_S = 150.0
"""Lost work that is acceptable for any preemption."""
LOSS_LIMIT_PER_CORE_S = 0.15
"""Additional acceptable loss per core-second of the placed work."""
MAX_DURATION_FACTOR = 2.0
"""Assumed maximum duration of a step, as a multiple of its estimate."""
MAX_CHANGED_ROWS = 80
"""Rows changed before placing stops, so that a decision stays short."""


@attrs.define
class AvailableCapacity:
    """Schedulable workers and their free resources during one decision.

    Parameters
    ----------
    room : dict of str to Amount
        Resources not used by ordered runs. Runs that are being stopped
        count as free, since an agent waits for their end before it starts
        other runs.
    reserved : set of str
        Nodes reserved for more urgent groups that wait.
    """

    workers: dict[str, Worker]
    room: dict[str, Amount]
    reserved: set[str] = attrs.Factory(set)


def available_capacity(
    state: PlannerState, views: Mapping[str, WorkerView], now_s: float
) -> AvailableCapacity:
    """Return the free resources of the workers that may get new work."""
    workers = {}
    for node, view in sorted(views.items()):
        worker = view.report.worker
        if worker is not None and view.usable(now_s):
            workers[node] = worker
    room = {
        node: minus(worker.capacity, state.ordered(node))
        for node, worker in workers.items()
    }
    return AvailableCapacity(workers, room)


@attrs.define
class Placer:
    """One placement round.

    Parameters
    ----------
    within_guarantee : set of str
        Ids of urgent jobs that fit within the guarantees of their
        organisations.
    now_ms : int
        Current time in Unix milliseconds.
    """

    state: PlannerState
    available: AvailableCapacity
    within_guarantee: set[str]
    now_ms: int
    separation: Separation = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Find the starts that the new ones are to be separated from."""
        self.separation = Separation(self.state, self.now_ms)

    def place(self, groups: Iterable[TaskGroup]) -> None:
        """Order the tasks that fit; reserve nodes for the first others."""
        max_reserved = int(len(self.available.room) * MAX_RESERVED_SHARE)
        for group in sorted(groups, key=self._sort_key):
            changed = len(self.state.changed_jobs)
            if changed + len(self.state.changed_nodes) > MAX_CHANGED_ROWS:
                return
            self._place_group(group)
            waiting = [
                task
                for task in self.state.waiting(group)
                if not self.separation.is_held(task)
            ]
            if waiting and len(self.available.reserved) < max_reserved:
                self.available.reserved |= self._nodes_to_reserve(group)

    def _sort_key(self, group: TaskGroup) -> tuple[int, bool, int, str]:
        job = group.job
        priority = (
            0 if job.job_id in self.within_guarantee else job.priority + 1
        )
        return (
            priority,
            self._is_late(group),
            _deadline_ms(group),
            group.name,
        )

    def _is_late(self, group: TaskGroup) -> bool:
        """Return whether a group misses its deadline even if started now."""
        return self.now_ms + group.step.estimate_ms > _deadline_ms(group)

    def _place_group(self, group: TaskGroup) -> None:
        waiting = self.state.waiting(group)
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
        nobody else.
        """
        nodes = self._candidates(group)
        if not self._may_claim_guarantee(group):
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

    def _candidates(self, group: TaskGroup) -> list[str]:
        label = group.step.required_label
        return [
            node
            for node, worker in self.available.workers.items()
            if node not in self.available.reserved
            and is_eligible(worker, group.job.service, label)
            and self.state.can_order(group.job, node)
        ]

    def _place_on(
        self, group: TaskGroup, nodes: Sequence[str], count: int
    ) -> Placement | None:
        node_groups = self._node_groups(group, nodes)
        placement = self._best_placement(group, node_groups, count, ())
        if placement is not None:
            return placement
        preemptible = self._preemptible_runs(group)
        if not preemptible:
            return None
        placement = self._best_placement(
            group, node_groups, count, preemptible
        )
        return self._if_loss_acceptable(placement, group, count)

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

    def _if_loss_acceptable(
        self, placement: Placement | None, group: TaskGroup, count: int
    ) -> Placement | None:
        """Return a placement, or None if its preemptions lose too much work.

        The limit grows with the work of the tasks that are placed. It does
        not apply to jobs within their guarantees that have waited for the
        preemption delay.
        """
        if placement is None or self._may_claim_guarantee(group):
            return placement
        own_work = _core_seconds(group.step, count, group.step.estimate_ms)
        acceptable = (
            placement.cost
            <= BASE_LOSS_LIMIT_CORE_S + LOSS_LIMIT_PER_CORE_S * own_work
        )
        return placement if acceptable else None

    def _may_claim_guarantee(self, group: TaskGroup) -> bool:
        """Return whether a group may preempt runs regardless of lost work."""
        waited_ms = self.now_ms - group.earliest_start_ms
        guaranteed = group.job.job_id in self.within_guarantee
        return guaranteed and waited_ms >= GUARANTEE_PREEMPTION_DELAY_MS

    def _must_start_now(self, group: TaskGroup) -> bool:
        """Return whether a group may miss its deadline unless started now."""
        work_ms = int(MAX_DURATION_FACTOR * group.step.estimate_ms)
        return self.now_ms + work_ms >= _deadline_ms(group)

    def _node_groups(
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
        racks: dict[str, list[str]] = {}
        for node, worker in self.available.workers.items():
            if is_eligible(worker, group.job.service, step.required_label):
                racks.setdefault(worker.rack, []).append(node)
        if step.data_rack in racks:
            racks = {step.data_rack: racks[step.data_rack]}
        local_groups: list[Sequence[str]] = [
            [node for node in rack if node in nodes]
            for rack in racks.values()
            if self._fits_if_idle(group, rack)
        ]
        waited_ms = self.now_ms - group.earliest_start_ms
        if local_groups and (
            waited_ms < LOCALITY_WAIT_MS or group.job.priority == 0
        ):
            return local_groups
        return [*local_groups, nodes]

    def _fits_if_idle(self, group: TaskGroup, nodes: Sequence[str]) -> bool:
        """Return whether a group fits on these nodes if they are idle."""
        step = group.step
        idle = {node: self.available.workers[node].capacity for node in nodes}
        count = step.count if step.gang else 1
        return (
            place_tasks(idle, step.needs, count, step.max_per_worker)
            is not None
        )

    def _preemptible_runs(self, group: TaskGroup) -> list[RunningTask]:
        """Return the runs that may be stopped for a group.

        A job within its guarantee may also preempt urgent jobs that exceed
        theirs. Other jobs preempt nothing if they are late anyway.
        """
        if not (
            self._may_claim_guarantee(group) or self._must_start_now(group)
        ):
            return []
        guaranteed = group.job.job_id in self.within_guarantee
        if not guaranteed and self._is_late(group):
            return []
        runs = []
        for node in self.available.room:
            for task in self.state.tasks_on(node):
                if self.state.record(task).phase is not TaskPhase.ORDERED:
                    continue
                job = self.state.jobs[job_id_of(task)]
                exceeds_guarantee = (
                    job.priority == 0
                    and job.job_id not in self.within_guarantee
                )
                if job.priority > group.job.priority or (
                    guaranteed and exceeds_guarantee
                ):
                    runs.append(self._preemptible_run(task, node))
        return runs

    def _preemptible_run(self, task: str, node: str) -> RunningTask:
        """Return a run with the work lost by stopping it as its cost."""
        step = self.state.step_of(task)
        run_ms = self.now_ms - self.state.record(task).since_ms
        if step.checkpointable:
            run_ms = min(run_ms, CHECKPOINT_INTERVAL_MS)
        if step.gang:
            cost = _core_seconds(step, step.count, run_ms)
            return RunningTask(node, step.needs, task_group_of(task), cost)
        return RunningTask(
            node, step.needs, task, _core_seconds(step, 1, run_ms)
        )

    def _nodes_to_reserve(self, group: TaskGroup) -> set[str]:
        """Return the nodes where a group can start soonest.

        Without a reservation, less urgent groups would take resources as
        soon as they become free, and the group would starve.
        """
        nodes = self._candidates(group)
        running = [
            self._run_with_remaining_time(task, node)
            for node in nodes
            for task in self.state.tasks_on(node)
            if self.state.record(task).phase is TaskPhase.ORDERED
        ]
        count = group.step.count if group.step.gang else 1
        node_groups = self._node_groups(group, nodes)
        placement = self._best_placement(group, node_groups, count, running)
        return set() if placement is None else set(placement.nodes)

    def _run_with_remaining_time(self, task: str, node: str) -> RunningTask:
        """Return a run with its remaining time as its cost."""
        step = self.state.step_of(task)
        run_ms = self.now_ms - self.state.record(task).since_ms
        remaining_ms = max(MIN_REMAINING_MS, step.estimate_ms - run_ms)
        return RunningTask(node, step.needs, task, remaining_ms)

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
                    since_ms=self.now_ms,
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
                self.now_ms - group.earliest_start_ms,
            ),
            sorted(placement.victims),
        )

    def _preempt(self, victim: str, group: TaskGroup) -> None:
        """Stop a gang or a single task for a more urgent group."""
        for task in list(self.state.members(victim)) or [victim]:
            record = self.state.record(task)
            if record.phase is not TaskPhase.ORDERED:
                continue
            self.state.set_phase(task, TaskPhase.STOPPING, self.now_ms)
            worker = self.available.workers.get(record.node)
            if worker is not None:
                ordered = self.state.ordered(record.node)
                self.available.room[record.node] = minus(
                    worker.capacity, ordered
                )
        logger.info("stop {} for {}", victim, group.name)


def _core_seconds(step: Step, tasks: int, run_ms: int) -> float:
    """Return the work of tasks of a step in core-seconds.

    An accelerator counts as ``CORES_PER_ACCELERATOR`` cores.
    """
    cores = step.needs[1] / 1000 + CORES_PER_ACCELERATOR * step.needs[0]
    return cores * tasks * run_ms / 1000


def _deadline_ms(group: TaskGroup) -> int:
    """Return the deadline of the job, or of the occurrence."""
    job = group.job
    chain_ms = sum(step.estimate_ms for step in job.steps)
    return (
        group.earliest_start_ms
        + job.target_ms
        + int(job.slack_factor * chain_ms)
    )

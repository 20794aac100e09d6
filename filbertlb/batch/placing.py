"""Places the groups that are ready, most urgent first."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.batch.fitting import place_in_best_group
from filbertlb.batch.fitting import place_tasks
from filbertlb.batch.fitting import RunningTask
from filbertlb.batch.model import job_id_of
from filbertlb.batch.model import task_group_of
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.model import TaskRecord
from filbertlb.batch.planner_state import ALLOCATED_PHASES
from filbertlb.batch.workers import may_run
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
SAVE_INTERVAL_MS = 2000
"""Work since a checkpointable task saved last is at most this long."""
NEAR_PATIENCE_MS = 4000
"""Wait for the rack where a step runs three times as fast."""
CLAIM_PATIENCE_MS = 1000
"""Wait of a guaranteed job for room before it stops costly work.

The rest of the time that a claim may take is for the stop.
"""
KEPT_SHARE = 0.5
"""Share of the workers that may be kept free for groups that wait."""
SHORTEST_REST_MS = 500
CHEAP_LOSS_CORE_S = 150.0
LOSS_PER_OWN_WORK = 0.15
"""Work that a task may throw away for each core-second of its own."""
START_MARGIN = 2.0
"""Longest duration of a step, in terms of its estimate."""
MOST_CHANGED_ROWS = 80
"""A transaction holds at most 100 entries."""


@attrs.define
class Space:
    """Usable workers and their room during one decision.

    Parameters
    ----------
    room : dict of str to Amount
        What is neither ordered nor promised; what is being stopped
        counts as free, since an agent waits for its end.
    kept : set of str
        Nodes that a more urgent group waits for.
    """

    workers: dict[str, Worker]
    room: dict[str, Amount]
    kept: set[str] = attrs.Factory(set)


def space_of(
    state: PlannerState, views: Mapping[str, WorkerView], now_s: float
) -> Space:
    """Return the room on the workers that may get new work."""
    workers = {}
    for node, view in sorted(views.items()):
        worker = view.report.worker
        if worker is not None and view.usable(now_s):
            workers[node] = worker
    room = {
        node: minus(worker.capacity, state.ordered(node))
        for node, worker in workers.items()
    }
    return Space(workers, room)


@attrs.define
class Placer:
    """One round of placing.

    Parameters
    ----------
    covered : set of str
        Urgent jobs that are within their guarantees.
    now_ms : int
        Unix milliseconds.
    """

    state: PlannerState
    space: Space
    covered: set[str]
    now_ms: int

    def place(self, groups: Iterable[TaskGroup]) -> None:
        """Order what fits, and keep room for the first that do not."""
        most_kept = int(len(self.space.room) * KEPT_SHARE)
        for group in sorted(groups, key=self._rank):
            changed = len(self.state.changed_jobs)
            if changed + len(self.state.changed_nodes) > MOST_CHANGED_ROWS:
                return
            self._place_group(group)
            waiting = self.state.waiting(group)
            if waiting and len(self.space.kept) < most_kept:
                self.space.kept |= self._awaited(group)

    def _rank(self, group: TaskGroup) -> tuple[int, bool, int, str]:
        job = group.job
        urgency = 0 if job.job_id in self.covered else job.priority + 1
        return (urgency, self._late(group), _due_ms(group), group.name)

    def _late(self, group: TaskGroup) -> bool:
        """Tell whether a group cannot end in time even if started now."""
        return self.now_ms + group.step.estimate_ms > _due_ms(group)

    def _place_group(self, group: TaskGroup) -> None:
        waiting = self.state.waiting(group)
        if group.step.gang:
            placement = self._find(group, group.step.count, waiting)
            if placement is not None:
                self._order(group, waiting, placement)
            return
        for task in waiting:
            placement = self._find(group, 1, [task])
            if placement is None:
                return
            self._order(group, [task], placement)

    def _find(
        self, group: TaskGroup, count: int, tasks: list[str]
    ) -> Placement | None:
        """Find room for tasks, away from where they failed if possible."""
        nodes = self._candidates(group)
        avoided = {self.state.record(task).avoid for task in tasks}
        preferred = [node for node in nodes if node not in avoided]
        choices = (
            [preferred, nodes] if len(preferred) < len(nodes) else [nodes]
        )
        for choice in choices:
            placement = self._fit(group, choice, count)
            if placement is not None:
                return placement
        return None

    def _candidates(self, group: TaskGroup) -> list[str]:
        label = group.step.required_label
        return [
            node
            for node, worker in self.space.workers.items()
            if node not in self.space.kept
            and may_run(worker, group.job.service, label)
        ]

    def _fit(
        self, group: TaskGroup, nodes: Sequence[str], count: int
    ) -> Placement | None:
        node_groups = self._node_groups(group, nodes)
        placement = self._best(group, node_groups, count, ())
        if placement is not None:
            return placement
        victims = self._victims(group)
        if not victims:
            return None
        placement = self._best(group, node_groups, count, victims)
        return self._affordable(placement, group, count)

    def _best(
        self,
        group: TaskGroup,
        node_groups: Sequence[Sequence[str]],
        count: int,
        victims: Sequence[RunningTask],
    ) -> Placement | None:
        step = group.step
        return place_in_best_group(
            node_groups,
            self.space.room,
            step.needs,
            count,
            step.max_per_worker,
            victims,
            self._used(group) if step.max_per_worker else None,
        )

    def _used(self, group: TaskGroup) -> dict[str, int]:
        """Return how many tasks of a group each node holds."""
        used: dict[str, int] = {}
        for record in self.state.members(group.name).values():
            if record.phase in ALLOCATED_PHASES:
                used[record.node] = used.get(record.node, 0) + 1
        return used

    def _affordable(
        self, placement: Placement | None, group: TaskGroup, count: int
    ) -> Placement | None:
        """Return a fit unless it throws too much work away.

        What is stopped is weighed against the tasks that are placed by
        it. A claim may stop anything once it has waited.
        """
        if placement is None or self._claims_now(group):
            return placement
        own = _core_s(group.step, count, group.step.estimate_ms)
        cheap = placement.cost <= CHEAP_LOSS_CORE_S + LOSS_PER_OWN_WORK * own
        return placement if cheap else None

    def _claims_now(self, group: TaskGroup) -> bool:
        """Tell whether a group may stop whatever its guarantee covers."""
        waited_ms = self.now_ms - group.earliest_start_ms
        claims = group.job.job_id in self.covered
        return claims and waited_ms >= CLAIM_PATIENCE_MS

    def _pressing(self, group: TaskGroup) -> bool:
        """Tell whether a group has to start now to end in time."""
        work_ms = int(START_MARGIN * group.step.estimate_ms)
        return self.now_ms + work_ms >= _due_ms(group)

    def _node_groups(
        self, group: TaskGroup, nodes: Sequence[str]
    ) -> list[Sequence[str]]:
        """Return the sets of nodes that a group may be placed on.

        A group that runs faster within a rack, or near its data, waits
        for such a rack for a while if one is large enough.
        """
        step = group.step
        if not (step.data_rack or (step.same_rack and step.gang)):
            return [nodes]
        racks: dict[str, list[str]] = {}
        for node, worker in self.space.workers.items():
            if may_run(worker, group.job.service, step.required_label):
                racks.setdefault(worker.rack, []).append(node)
        if step.data_rack in racks:
            racks = {step.data_rack: racks[step.data_rack]}
        near: list[Sequence[str]] = [
            [node for node in rack if node in nodes]
            for rack in racks.values()
            if self._could_hold(group, rack)
        ]
        waited_ms = self.now_ms - group.earliest_start_ms
        if near and (waited_ms < NEAR_PATIENCE_MS or group.job.priority == 0):
            return near
        return [*near, nodes]

    def _could_hold(self, group: TaskGroup, nodes: Sequence[str]) -> bool:
        """Tell whether a group fits on nodes that run nothing else."""
        step = group.step
        whole = {node: self.space.workers[node].capacity for node in nodes}
        count = step.count if step.gang else 1
        return (
            place_tasks(whole, step.needs, count, step.max_per_worker)
            is not None
        )

    def _victims(self, group: TaskGroup) -> list[RunningTask]:
        """Return the runs that may be stopped for a more urgent group."""
        if not (self._claims_now(group) or self._pressing(group)):
            return []
        claims = group.job.job_id in self.covered
        if not claims and self._late(group):
            return []
        held = []
        for node in self.space.room:
            for task in self.state.tasks_on(node):
                if self.state.record(task).phase is not TaskPhase.ORDERED:
                    continue
                job = self.state.jobs[job_id_of(task)]
                borrows = job.priority == 0 and job.job_id not in self.covered
                if job.priority > group.job.priority or (claims and borrows):
                    held.append(self._held(task, node))
        return held

    def _held(self, task: str, node: str) -> RunningTask:
        """Return a run with the work that its stop throws away."""
        step = self.state.step_of(task)
        run_ms = self.now_ms - self.state.record(task).since_ms
        if step.checkpointable:
            run_ms = min(run_ms, SAVE_INTERVAL_MS)
        if step.gang:
            cost = _core_s(step, step.count, run_ms)
            return RunningTask(node, step.needs, task_group_of(task), cost)
        return RunningTask(node, step.needs, task, _core_s(step, 1, run_ms))

    def _awaited(self, group: TaskGroup) -> set[str]:
        """Return the nodes where a group can start soonest.

        They are kept from less urgent groups, which would otherwise take
        each part that becomes free.
        """
        nodes = self._candidates(group)
        running = [
            self._remaining(task, node)
            for node in nodes
            for task in self.state.tasks_on(node)
        ]
        count = group.step.count if group.step.gang else 1
        node_groups = self._node_groups(group, nodes)
        placement = self._best(group, node_groups, count, running)
        return set() if placement is None else set(placement.nodes)

    def _remaining(self, task: str, node: str) -> RunningTask:
        """Return a run with the time until its end as its cost."""
        step = self.state.step_of(task)
        run_ms = self.now_ms - self.state.record(task).since_ms
        left_ms = max(SHORTEST_REST_MS, step.estimate_ms - run_ms)
        return RunningTask(node, step.needs, task, left_ms)

    def _order(
        self, group: TaskGroup, tasks: list[str], placement: Placement
    ) -> None:
        for victim in sorted(placement.victims):
            self._preempt(victim, group)
        attempt = 1 + max(self.state.record(task).attempt for task in tasks)
        for task, node in zip(tasks, placement.nodes, strict=True):
            record = self.state.record(task)
            self.state.set_record(
                task,
                TaskRecord(
                    TaskPhase.ORDERED,
                    attempt,
                    record.failures,
                    node,
                    self.space.workers[node].incarnation,
                    record.saved,
                    self.now_ms,
                    record.avoid,
                ),
            )
            room = self.space.room[node]
            self.space.room[node] = minus(room, group.step.needs)
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
        """Stop a group or a single task for a more urgent group."""
        for task in list(self.state.members(victim)) or [victim]:
            record = self.state.record(task)
            if record.phase is not TaskPhase.ORDERED:
                continue
            self.state.set_phase(task, TaskPhase.STOPPING, self.now_ms)
            worker = self.space.workers.get(record.node)
            if worker is not None:
                ordered = self.state.ordered(record.node)
                self.space.room[record.node] = minus(worker.capacity, ordered)
        logger.info("stop {} for {}", victim, group.name)


def _core_s(step: Step, tasks: int, run_ms: int) -> float:
    """Return the work of some tasks of a step in core-seconds."""
    cores = step.needs[1] / 1000 + CORES_PER_ACCELERATOR * step.needs[0]
    return cores * tasks * run_ms / 1000


def _due_ms(group: TaskGroup) -> int:
    """Return until when a job, or an occurrence of it, is on time."""
    job = group.job
    chain_ms = sum(step.estimate_ms for step in job.steps)
    return (
        group.earliest_start_ms
        + job.target_ms
        + int(job.slack_factor * chain_ms)
    )

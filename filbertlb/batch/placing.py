"""Places the units that are ready, most urgent first."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.batch.board import HOLDING
from filbertlb.batch.fitting import best_group
from filbertlb.batch.fitting import fit
from filbertlb.batch.fitting import Held
from filbertlb.batch.model import job_of
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.model import TaskRecord
from filbertlb.batch.model import unit_of
from filbertlb.batch.workers import is_eligible
from filbertlb.core.amounts import minus

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from filbertlb.batch.board import Board
    from filbertlb.batch.board import Unit
    from filbertlb.batch.fitting import Fit
    from filbertlb.batch.model import Step
    from filbertlb.batch.model import Worker
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
"""Share of the workers that may be kept free for units that wait."""
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
        Nodes that a more urgent unit waits for.
    """

    workers: dict[str, Worker]
    room: dict[str, Amount]
    kept: set[str] = attrs.Factory(set)


def space_of(
    board: Board, views: Mapping[str, WorkerView], now_s: float
) -> Space:
    """Return the room on the workers that may get new work."""
    workers = {}
    for node, view in sorted(views.items()):
        worker = view.report.worker
        if worker is not None and view.usable(now_s):
            workers[node] = worker
    room = {
        node: minus(worker.capacity, board.ordered(node))
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

    board: Board
    space: Space
    covered: set[str]
    now_ms: int

    def place(self, units: Iterable[Unit]) -> None:
        """Order what fits, and keep room for the first that do not."""
        most_kept = int(len(self.space.room) * KEPT_SHARE)
        for unit in sorted(units, key=self._rank):
            changed = len(self.board.changed_jobs)
            if changed + len(self.board.changed_nodes) > MOST_CHANGED_ROWS:
                return
            self._place_unit(unit)
            waiting = self.board.waiting(unit)
            if waiting and len(self.space.kept) < most_kept:
                self.space.kept |= self._awaited(unit)

    def _rank(self, unit: Unit) -> tuple[int, bool, int, str]:
        job = unit.job
        urgency = 0 if job.job_id in self.covered else job.priority + 1
        return (urgency, self._late(unit), _due_ms(unit), unit.name)

    def _late(self, unit: Unit) -> bool:
        """Tell whether a unit cannot end in time even if started now."""
        return self.now_ms + unit.step.estimate_ms > _due_ms(unit)

    def _place_unit(self, unit: Unit) -> None:
        waiting = self.board.waiting(unit)
        if unit.step.gang:
            found = self._find(unit, unit.step.count, waiting)
            if found is not None:
                self._order(unit, waiting, found)
            return
        for task in waiting:
            found = self._find(unit, 1, [task])
            if found is None:
                return
            self._order(unit, [task], found)

    def _find(self, unit: Unit, count: int, tasks: list[str]) -> Fit | None:
        """Find room for tasks, away from where they failed if possible."""
        nodes = self._candidates(unit)
        avoided = {self.board.record(task).avoid for task in tasks}
        preferred = [node for node in nodes if node not in avoided]
        choices = (
            [preferred, nodes] if len(preferred) < len(nodes) else [nodes]
        )
        for choice in choices:
            found = self._fit(unit, choice, count)
            if found is not None:
                return found
        return None

    def _candidates(self, unit: Unit) -> list[str]:
        label = unit.step.required_label
        return [
            node
            for node, worker in self.space.workers.items()
            if node not in self.space.kept
            and is_eligible(worker, unit.job.service, label)
        ]

    def _fit(self, unit: Unit, nodes: Sequence[str], count: int) -> Fit | None:
        groups = self._groups(unit, nodes)
        found = self._best(unit, groups, count, ())
        if found is not None:
            return found
        victims = self._victims(unit)
        if not victims:
            return None
        found = self._best(unit, groups, count, victims)
        return self._affordable(found, unit, count)

    def _best(
        self,
        unit: Unit,
        groups: Sequence[Sequence[str]],
        count: int,
        victims: Sequence[Held],
    ) -> Fit | None:
        step = unit.step
        return best_group(
            groups,
            self.space.room,
            step.needs,
            count,
            step.max_per_worker,
            victims,
            self._used(unit) if step.max_per_worker else None,
        )

    def _used(self, unit: Unit) -> dict[str, int]:
        """Return how many tasks of a unit each node holds."""
        used: dict[str, int] = {}
        for record in self.board.members(unit.name).values():
            if record.phase in HOLDING:
                used[record.node] = used.get(record.node, 0) + 1
        return used

    def _affordable(
        self, found: Fit | None, unit: Unit, count: int
    ) -> Fit | None:
        """Return a fit unless it throws too much work away.

        What is stopped is weighed against the tasks that are placed by
        it. A claim may stop anything once it has waited.
        """
        if found is None or self._claims_now(unit):
            return found
        own = _core_s(unit.step, count, unit.step.estimate_ms)
        cheap = found.cost <= CHEAP_LOSS_CORE_S + LOSS_PER_OWN_WORK * own
        return found if cheap else None

    def _claims_now(self, unit: Unit) -> bool:
        """Tell whether a unit may stop whatever its guarantee covers."""
        waited_ms = self.now_ms - unit.begins_ms
        claims = unit.job.job_id in self.covered
        return claims and waited_ms >= CLAIM_PATIENCE_MS

    def _pressing(self, unit: Unit) -> bool:
        """Tell whether a unit has to start now to end in time."""
        work_ms = int(START_MARGIN * unit.step.estimate_ms)
        return self.now_ms + work_ms >= _due_ms(unit)

    def _groups(self, unit: Unit, nodes: Sequence[str]) -> list[Sequence[str]]:
        """Return the sets of nodes that a unit may be placed on.

        A unit that runs faster within a rack, or near its data, waits
        for such a rack for a while if one is large enough.
        """
        step = unit.step
        if not (step.data_rack or (step.same_rack and step.gang)):
            return [nodes]
        racks: dict[str, list[str]] = {}
        for node, worker in self.space.workers.items():
            if is_eligible(worker, unit.job.service, step.required_label):
                racks.setdefault(worker.rack, []).append(node)
        if step.data_rack in racks:
            racks = {step.data_rack: racks[step.data_rack]}
        near: list[Sequence[str]] = [
            [node for node in rack if node in nodes]
            for rack in racks.values()
            if self._could_hold(unit, rack)
        ]
        waited_ms = self.now_ms - unit.begins_ms
        if near and (waited_ms < NEAR_PATIENCE_MS or unit.job.priority == 0):
            return near
        return [*near, nodes]

    def _could_hold(self, unit: Unit, nodes: Sequence[str]) -> bool:
        """Tell whether a unit fits on nodes that run nothing else."""
        step = unit.step
        whole = {node: self.space.workers[node].capacity for node in nodes}
        count = step.count if step.gang else 1
        return fit(whole, step.needs, count, step.max_per_worker) is not None

    def _victims(self, unit: Unit) -> list[Held]:
        """Return the runs that may be stopped for a more urgent unit."""
        if not (self._claims_now(unit) or self._pressing(unit)):
            return []
        claims = unit.job.job_id in self.covered
        if not claims and self._late(unit):
            return []
        held = []
        for node in self.space.room:
            for task in self.board.tasks_on(node):
                if self.board.record(task).phase is not TaskPhase.ORDERED:
                    continue
                job = self.board.jobs[job_of(task)]
                borrows = job.priority == 0 and job.job_id not in self.covered
                if job.priority > unit.job.priority or (claims and borrows):
                    held.append(self._held(task, node))
        return held

    def _held(self, task: str, node: str) -> Held:
        """Return a run with the work that its stop throws away."""
        step = self.board.step_of(task)
        run_ms = self.now_ms - self.board.record(task).since_ms
        if step.checkpointable:
            run_ms = min(run_ms, SAVE_INTERVAL_MS)
        if step.gang:
            cost = _core_s(step, step.count, run_ms)
            return Held(node, step.needs, unit_of(task), cost)
        return Held(node, step.needs, task, _core_s(step, 1, run_ms))

    def _awaited(self, unit: Unit) -> set[str]:
        """Return the nodes where a unit can start soonest.

        They are kept from less urgent units, which would otherwise take
        each part that becomes free.
        """
        nodes = self._candidates(unit)
        running = [
            self._remaining(task, node)
            for node in nodes
            for task in self.board.tasks_on(node)
        ]
        count = unit.step.count if unit.step.gang else 1
        groups = self._groups(unit, nodes)
        found = self._best(unit, groups, count, running)
        return set() if found is None else set(found.nodes)

    def _remaining(self, task: str, node: str) -> Held:
        """Return a run with the time until its end as its cost."""
        step = self.board.step_of(task)
        run_ms = self.now_ms - self.board.record(task).since_ms
        left_ms = max(SHORTEST_REST_MS, step.estimate_ms - run_ms)
        return Held(node, step.needs, task, left_ms)

    def _order(self, unit: Unit, tasks: list[str], found: Fit) -> None:
        for victim in sorted(found.victims):
            self._preempt(victim, unit)
        attempt = 1 + max(self.board.record(task).attempt for task in tasks)
        for task, node in zip(tasks, found.nodes, strict=True):
            record = self.board.record(task)
            self.board.update(
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
            self.space.room[node] = minus(room, unit.step.needs)
        logger.info(
            "order {} attempt {} on {} (waited {} ms, stops {})",
            *(unit.name if unit.step.gang else tasks[0], attempt),
            *(",".join(found.nodes), self.now_ms - unit.begins_ms),
            sorted(found.victims),
        )

    def _preempt(self, victim: str, unit: Unit) -> None:
        """Stop a unit or a single task for a more urgent unit."""
        for task in list(self.board.members(victim)) or [victim]:
            record = self.board.record(task)
            if record.phase is not TaskPhase.ORDERED:
                continue
            self.board.move(task, TaskPhase.STOPPING, self.now_ms)
            worker = self.space.workers.get(record.node)
            if worker is not None:
                ordered = self.board.ordered(record.node)
                self.space.room[record.node] = minus(worker.capacity, ordered)
        logger.info("stop {} for {}", victim, unit.name)


def _core_s(step: Step, tasks: int, run_ms: int) -> float:
    """Return the work of some tasks of a step in core-seconds."""
    cores = step.needs[1] / 1000 + CORES_PER_ACCELERATOR * step.needs[0]
    return cores * tasks * run_ms / 1000


def _due_ms(unit: Unit) -> int:
    """Return until when a job, or an occurrence of it, is on time."""
    job = unit.job
    chain_ms = sum(step.estimate_ms for step in job.steps)
    return unit.begins_ms + job.target_ms + int(job.slack_factor * chain_ms)

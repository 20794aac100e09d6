"""State shared by the parts of one placement round."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.workers import is_eligible
from filbertlb.core.amounts import minus

if TYPE_CHECKING:
    from collections.abc import Mapping

    from filbertlb.batch.demand import Demand
    from filbertlb.batch.durations import DurationModel
    from filbertlb.batch.model import Step
    from filbertlb.batch.model import Worker
    from filbertlb.batch.planner_state import PlannerState
    from filbertlb.batch.planner_state import TaskGroup
    from filbertlb.batch.workers import WorkerView
    from filbertlb.core.amounts import Amount

CORES_PER_ACCELERATOR = 8


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
    reserved: set[str]


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
    return AvailableCapacity(workers, room, set())


@attrs.define
class PlacingContext:
    """Inputs of one placement round.

    Parameters
    ----------
    within_guarantee : set of str
        Ids of urgent jobs that fit within the guarantees of their
        organisations.
    now_ms : int
        Current time in Unix milliseconds.
    demand : Demand, optional
        Demand of organisations and queues if groups are ordered by benefit;
        None if they are ordered by deadline.
    """

    state: PlannerState
    available: AvailableCapacity
    within_guarantee: set[str]
    durations: DurationModel
    now_ms: int
    demand: Demand | None = None

    def expected_ms(self, group: TaskGroup) -> int:
        """Return the expected run time of a task of a group."""
        return self.durations.expected_ms(group.job, group.step)

    def waited_ms(self, group: TaskGroup) -> int:
        """Return the time since a group could start at the earliest."""
        return self.now_ms - group.earliest_start_ms

    def candidates(self, group: TaskGroup) -> list[str]:
        """Return the nodes that tasks of a group may be placed on."""
        label = group.step.required_label
        return [
            node
            for node, worker in self.available.workers.items()
            if node not in self.available.reserved
            and is_eligible(worker, group.job.service, label)
            and self.state.can_order(group.job, node)
        ]


def core_seconds(step: Step, tasks: int, run_ms: int) -> float:
    """Return the work of tasks of a step in core-seconds.

    An accelerator counts as ``CORES_PER_ACCELERATOR`` cores.
    """
    return cores(step.needs) * tasks * run_ms / 1000


def cores(amount: Amount) -> float:
    """Return the cores that resources count as; memory is not counted."""
    return amount[1] / 1000 + CORES_PER_ACCELERATOR * amount[0]

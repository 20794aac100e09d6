"""State shared by the parts of one placement round."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.job_check import MAX_JOB_PAYLOAD_BYTES
from filbertlb.batch.planner_state import MAX_PAYLOAD_BYTES
from filbertlb.batch.workers import is_eligible
from filbertlb.core.amounts import minus

if TYPE_CHECKING:
    from collections.abc import Mapping

    from filbertlb.batch.demand import Demand
    from filbertlb.batch.durations import DurationModel
    from filbertlb.batch.evacuation import Evacuations
    from filbertlb.batch.model import Job
    from filbertlb.batch.model import Worker
    from filbertlb.batch.planner_state import PlannerState
    from filbertlb.batch.planner_state import TaskGroup
    from filbertlb.batch.workers import WorkerView
    from filbertlb.core.amounts import Amount


@attrs.frozen
class CheckpointCosts:
    """What a deployment's checkpoints cost a run that is stopped.

    Parameters
    ----------
    interval_ms : int
        Time between two checkpoints of a run.
    restore_ms : int
        Time until a run that resumes from a checkpoint does new work.
    """

    interval_ms: int = 2000
    restore_ms: int = 100


@attrs.define
class AvailableCapacity:
    """Schedulable workers and their free resources during one decision.

    Parameters
    ----------
    room : dict of str to Amount
        Resources not used by ordered runs. Runs that are being stopped
        count as free, since an agent waits for their end before it starts
        other runs.
    held_back : frozenset of str
        Nodes of failure domains that return to use. They get only jobs
        within their guarantees.
    """

    workers: dict[str, Worker]
    room: dict[str, Amount]
    held_back: frozenset[str] = frozenset()


def available_capacity(
    state: PlannerState,
    views: Mapping[str, WorkerView],
    now_s: float,
    evacuations: Evacuations,
) -> AvailableCapacity:
    """Return the free resources of the workers that may get new work.

    One that is back while its lost tasks are still to be written gets none:
    its orders are written with them, before the progress of other jobs.
    """
    workers = {}
    for node, view in sorted(views.items()):
        worker = view.report.worker
        if (
            worker is not None
            and view.usable(now_s)
            and node not in state.tasks_lost_by_node
            and worker.zone not in evacuations.version_by_domain
        ):
            workers[node] = worker
    room = {
        node: minus(worker.capacity, state.ordered(node))
        for node, worker in workers.items()
    }
    held_back = evacuations.held_back(workers, now_s)
    return AvailableCapacity(workers, room, held_back)


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
    now_s : float
        Current monotonic time.
    views : mapping of str to WorkerView
        The workers by node, with what their reports tell of checkpoints.
    lost_core_s : dict of str to float
        Core-seconds lost by preemption so far, by cause.
    demand : Demand, optional
        Demand of organisations and queues if groups are ordered by benefit;
        None if they are ordered by deadline.
    """

    state: PlannerState
    available: AvailableCapacity
    within_guarantee: set[str]
    durations: DurationModel
    now_ms: int
    now_s: float = 0.0
    views: Mapping[str, WorkerView] = attrs.Factory(dict)
    checkpoints: CheckpointCosts = attrs.Factory(CheckpointCosts)
    lost_core_s: dict[str, float] = attrs.Factory(dict)
    demand: Demand | None = None
    _payload_bytes: dict[str, int] = attrs.Factory(dict)

    def expected_ms(self, group: TaskGroup) -> int:
        """Return the expected run time of a task of a group."""
        return self.durations.expected_ms(group.job, group.step)

    def waited_ms(self, group: TaskGroup) -> int:
        """Return the time since a group could start at the earliest."""
        return self.now_ms - group.earliest_start_ms

    def candidates(self, group: TaskGroup) -> list[str]:
        """Return the nodes that tasks of a group may be placed on."""
        return [
            node
            for node in self.eligible_nodes(group)
            if self._can_order(group.job, node)
        ]

    def eligible_nodes(self, group: TaskGroup) -> list[str]:
        """Return the candidates, also those whose orders row is full."""
        label = group.step.required_label
        excluded: frozenset[str] = frozenset()
        if group.job.job_id not in self.within_guarantee:
            excluded = self.available.held_back
        return [
            node
            for node, worker in self.available.workers.items()
            if node not in excluded
            and is_eligible(worker, group.job.service, label)
        ]

    def record_order(self, node: str) -> None:
        """Record that a task was ordered on a node."""
        self._payload_bytes.pop(node, None)

    def _can_order(self, job: Job, node: str) -> bool:
        """Return whether a node's orders row holds one more run of a job.

        It is asked for each group and node, and most rows have room.
        """
        used = self._payload_bytes.get(node)
        if used is None:
            used = self.state.payload_bytes(node)
            self._payload_bytes[node] = used
        if used + MAX_JOB_PAYLOAD_BYTES <= MAX_PAYLOAD_BYTES:
            return True
        return self.state.can_order(job, node)

"""Circumstances of runs from which their times are learned."""

from __future__ import annotations

from typing import TYPE_CHECKING

from filbertlb.batch.durations import ObservedRun
from filbertlb.batch.model import task_group_of

if TYPE_CHECKING:
    from collections.abc import Mapping

    from filbertlb.batch.model import Step
    from filbertlb.batch.model import Worker
    from filbertlb.batch.planner_state import PlannerState
    from filbertlb.batch.workers import WorkerView

REMOTE_SLOWDOWN = 3.0
"""Ratio of run times away from a step's data, or of a gang across racks."""


def observed_run(
    state: PlannerState, workers: Mapping[str, WorkerView], task: str
) -> ObservedRun:
    """Return the circumstances of the latest run of a task."""
    step, record = state.step_of(task), state.record(task)
    worker = _worker_on(workers, record.node)
    return ObservedRun(
        state.job_of(task),
        step,
        record.node,
        worker,
        _slowdown(state, workers, task, step, worker),
        bool(record.saved),
    )


def _slowdown(
    state: PlannerState,
    workers: Mapping[str, WorkerView],
    task: str,
    step: Step,
    worker: Worker | None,
) -> float:
    racks = {"" if worker is None else worker.rack}
    if step.same_rack and step.gang:
        for member in state.members(task_group_of(task)).values():
            other = _worker_on(workers, member.node)
            racks.add("" if other is None else other.rack)
    remote = len(racks) > 1 or (
        bool(step.data_rack) and racks != {step.data_rack}
    )
    return REMOTE_SLOWDOWN if remote else 1.0


def _worker_on(workers: Mapping[str, WorkerView], node: str) -> Worker | None:
    view = workers.get(node)
    return None if view is None else view.report.worker

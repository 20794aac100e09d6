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
    nodes = {record.node}
    if step.gang:
        members = state.members(task_group_of(task)).values()
        nodes.update(member.node for member in members)
    return ObservedRun(
        state.job_of(task),
        step,
        record.node,
        _worker_on(workers, record.node),
        _slowdown(step, {_rack_of(workers, node) for node in nodes}),
        bool(record.saved),
        tuple(sorted(nodes - {record.node})),
    )


def _slowdown(step: Step, racks: set[str]) -> float:
    """Return the slowdown of a run whose gang uses some racks."""
    spread = step.same_rack and step.gang and len(racks) > 1
    far = bool(step.data_rack) and racks != {step.data_rack}
    return REMOTE_SLOWDOWN if spread or far else 1.0


def _rack_of(workers: Mapping[str, WorkerView], node: str) -> str:
    worker = _worker_on(workers, node)
    return "" if worker is None else worker.rack


def _worker_on(workers: Mapping[str, WorkerView], node: str) -> Worker | None:
    view = workers.get(node)
    return None if view is None else view.report.worker

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

CROSS_RACK_FACTOR = 3.0
"""Run time across racks, or away from the data, relative to the other."""


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


def _slowdown(step: Step, racks: set[str | None]) -> float | None:
    """Return the slowdown of a run whose gang uses some racks.

    None if it depends on a rack that is not known.
    """
    known = racks - {None}
    near_members = step.same_rack and step.gang
    spread = near_members and len(known) > 1
    far = bool(step.data_rack) and not known <= {step.data_rack}
    if spread or far:
        return CROSS_RACK_FACTOR
    if len(known) < len(racks) and (near_members or step.data_rack):
        return None
    return 1.0


def _rack_of(workers: Mapping[str, WorkerView], node: str) -> str | None:
    worker = _worker_on(workers, node)
    return None if worker is None else worker.rack


def _worker_on(workers: Mapping[str, WorkerView], node: str) -> Worker | None:
    view = workers.get(node)
    return None if view is None else view.report.worker

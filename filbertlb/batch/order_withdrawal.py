"""Withdraws orders in evacuated failure domains."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from filbertlb.batch.model import task_group_of
from filbertlb.batch.model import TaskPhase

if TYPE_CHECKING:
    from collections.abc import Mapping

    from filbertlb.batch.evacuation import Evacuations
    from filbertlb.batch.planner_state import PlannerState
    from filbertlb.batch.workers import WorkerView


def withdraw_evacuated_orders(
    state: PlannerState,
    workers: Mapping[str, WorkerView],
    evacuations: Evacuations,
    now_ms: int,
) -> None:
    """Stop orders in evacuated domains whose runs have not begun.

    An agent that carried them out late would start work there after the
    bound. A gang whose members have not all begun is stopped whole. Orders
    of a worker whose domain is not known are withdrawn too.
    """
    if not evacuations.version_by_domain:
        return
    for node in state.occupied_nodes():
        view = workers.get(node)
        versions = _versions_for(view, evacuations)
        if view is None or not versions:
            continue
        for task in state.tasks_on(node):
            record = state.record(task)
            begun = (task, record.attempt) in view.begun
            if record.phase is TaskPhase.ORDERED and not begun:
                _withdraw(state, task, versions, now_ms)


def stop_run(state: PlannerState, task: str, now_ms: int) -> None:
    """Stop the run of a task, with all members if it is one of a gang."""
    gang = state.step_of(task).gang
    for other, record in state.members(task_group_of(task)).items():
        if record.phase is TaskPhase.ORDERED and (gang or other == task):
            state.set_phase(other, TaskPhase.STOPPING, now_ms)


def _versions_for(
    view: WorkerView | None, evacuations: Evacuations
) -> dict[str, int]:
    """Return the versions of the requests that concern a worker."""
    version_by_domain = evacuations.version_by_domain
    if view is None:
        return {}
    if view.zone is None:
        return dict(version_by_domain)
    if view.zone not in version_by_domain:
        return {}
    return {view.zone: version_by_domain[view.zone]}


def _withdraw(
    state: PlannerState, task: str, versions: dict[str, int], now_ms: int
) -> None:
    gang = state.step_of(task).gang
    group = task_group_of(task)
    record = state.record(task)
    nodes = [record.node]
    if gang:
        members = state.members(group).values()
        nodes = sorted({member.node for member in members})
    logger.info(
        "order {} attempt {} on {} withdrawn: not begun on {}, requests "
        "of versions {} evacuate failure domains",
        *(group if gang else task, record.attempt, ",".join(nodes)),
        *(record.node, versions),
    )
    stop_run(state, task, now_ms)

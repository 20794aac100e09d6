"""Whether a job is complete or has to fail, and why."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.crash_evidence import crashes_of
from filbertlb.batch.crash_evidence import must_give_up
from filbertlb.batch.gang_failures import failed_runs
from filbertlb.batch.model import task_group_of
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.planner_state import TaskGroup

if TYPE_CHECKING:
    from filbertlb.batch.model import Job
    from filbertlb.batch.planner_state import PlannerState


class FailureCause(StrEnum):
    """Why a job fails."""

    ATTEMPTS = "attempts"
    CRASHES = "crashes"
    TOO_LARGE = "progress_too_large"


@attrs.frozen
class JobFailure:
    """Why a job has to fail.

    Parameters
    ----------
    unit : str
        Task, or task group of a gang, that is given up.
    count : int
        Its failed runs, or the crashes that it is blamed for.
    runs : int
        Runs that it has had, whatever their ends.
    nodes : tuple of str
        Nodes of the latest of these, as far as they are known.
    """

    cause: FailureCause
    unit: str
    count: int
    runs: int
    nodes: tuple[str, ...]

    @property
    def summary(self) -> str:
        """What is given up and why, without the nodes."""
        return (
            f"{self.unit} is given up after {self.count} {self.cause.value} "
            f"in {self.runs} runs"
        )

    def __str__(self) -> str:
        """Return a short description for logs."""
        return f"{self.summary}, the latest on {','.join(self.nodes)}"


def job_failure(state: PlannerState, job: Job) -> JobFailure | None:
    """Return why a job has to fail, or None if it does not.

    A task that is not done has failed too often, or has ended its workers
    beyond doubt. Tasks that run until cancelled have no such limit. A gang is
    done with its first member that is, also if others fail in the same run.
    """
    return _exhausted_attempts(state, job) or _too_many_crashes(state, job)


def is_complete(state: PlannerState, job: Job) -> bool:
    """Return whether all tasks of all occurrences of a job are done."""
    if any(step.long_running for step in job.steps):
        return False
    return all(
        state.done(TaskGroup(job, occurrence, index))
        for occurrence in range(max(1, job.times))
        for index in range(len(job.steps))
    )


def _exhausted_attempts(state: PlannerState, job: Job) -> JobFailure | None:
    for task, record in state.progress[job.job_id].tasks.items():
        if not record.failures or record.phase is TaskPhase.DONE:
            continue
        step = state.step_of(task)
        if step.long_running:
            continue
        group = task_group_of(task)
        count = failed_runs(state, group) if step.gang else record.failures
        if count < job.attempts:
            continue
        if step.gang:
            return _gang_failure(state, group, count)
        return JobFailure(
            FailureCause.ATTEMPTS, task, count, record.attempt, (record.avoid,)
        )
    return None


def _gang_failure(state: PlannerState, group: str, count: int) -> JobFailure:
    members = state.members(group).values()
    runs = max(record.attempt for record in members)
    nodes = tuple(record.avoid for record in members if record.failures)
    return JobFailure(FailureCause.ATTEMPTS, group, count, runs, nodes)


def _too_many_crashes(state: PlannerState, job: Job) -> JobFailure | None:
    for task, record in state.progress[job.job_id].tasks.items():
        if not record.crashes or record.phase is TaskPhase.DONE:
            continue
        step = state.step_of(task)
        if step.long_running:
            continue
        crashes = crashes_of(state, task)
        if not must_give_up(crashes, job.attempts):
            continue
        unit = task_group_of(task) if step.gang else task
        nodes = tuple(crash.node for crash in crashes)
        return JobFailure(
            FailureCause.CRASHES, unit, len(nodes), record.attempt, nodes
        )
    return None

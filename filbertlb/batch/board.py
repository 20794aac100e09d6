"""All jobs of a site with their tasks, indexed by node."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.model import FINAL_STATES
from filbertlb.batch.model import job_of
from filbertlb.batch.model import JobState
from filbertlb.batch.model import Order
from filbertlb.batch.model import Orders
from filbertlb.batch.model import Progress
from filbertlb.batch.model import task_name
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.model import TaskRecord
from filbertlb.batch.model import unit_of
from filbertlb.core.amounts import plus
from filbertlb.core.amounts import ZERO_AMOUNT

if TYPE_CHECKING:
    from collections.abc import Iterator

    from filbertlb.batch.model import Job
    from filbertlb.batch.model import Step
    from filbertlb.core.amounts import Amount

HOLDING = (TaskPhase.ORDERED, TaskPhase.STOPPING)


@attrs.frozen
class Unit:
    """One step of one occurrence of a job."""

    job: Job
    occurrence: int
    index: int

    @property
    def step(self) -> Step:
        """The step."""
        return self.job.steps[self.index]

    @property
    def name(self) -> str:
        """Name that all of its tasks begin with."""
        return f"{self.job.job_id}.{self.occurrence}.{self.index}"

    @property
    def begins_ms(self) -> int:
        """When it could start first; waits are counted from then."""
        job = self.job
        if not job.times:
            return job.accepted_ms
        due_ms = job.first_due_ms + self.occurrence * job.interval_ms
        return max(job.accepted_ms, due_ms)

    def tasks(self) -> list[str]:
        """Return the names of all tasks."""
        return [
            task_name(self.job.job_id, self.occurrence, self.index, number)
            for number in range(self.step.count)
        ]


@attrs.define
class Board:
    """Jobs, progress and cancellations, with what is to be written.

    Attributes
    ----------
    changed_jobs, changed_nodes : set of str
        What differs from the rows of the table.
    """

    jobs: dict[str, Job] = attrs.Factory(dict)
    progress: dict[str, Progress] = attrs.Factory(dict)
    cancelled: set[str] = attrs.Factory(set)
    changed_jobs: set[str] = attrs.Factory(set)
    changed_nodes: set[str] = attrs.Factory(set)
    _by_node: dict[str, set[str]] = attrs.Factory(dict)

    def add_job(self, job: Job) -> None:
        """Take in an accepted job."""
        self.jobs[job.job_id] = job
        self.progress.setdefault(job.job_id, Progress(job.job_id))

    def add_progress(self, progress: Progress) -> None:
        """Take in progress as it was read."""
        self.progress[progress.job_id] = progress
        for task, record in progress.tasks.items():
            if record.phase in HOLDING:
                self._by_node.setdefault(record.node, set()).add(task)

    def forget(self, job_id: str) -> None:
        """Drop a job that nobody may ask for any more."""
        self.jobs.pop(job_id, None)
        self.progress.pop(job_id, None)
        self.cancelled.discard(job_id)

    def record(self, task: str) -> TaskRecord:
        """Return the state of a task."""
        return self.progress[job_of(task)].tasks.get(task) or TaskRecord()

    def step_of(self, task: str) -> Step:
        """Return the step that a task belongs to."""
        return self.jobs[job_of(task)].steps[int(task.split(".")[2])]

    def update(self, task: str, record: TaskRecord) -> None:
        """Replace the state of a task."""
        job_id = job_of(task)
        tasks = self.progress[job_id].tasks
        former = tasks.get(task)
        if former is not None and former.phase in HOLDING:
            self._by_node[former.node].discard(task)
            self.changed_nodes.add(former.node)
        tasks[task] = record
        if record.phase in HOLDING:
            self._by_node.setdefault(record.node, set()).add(task)
            self.changed_nodes.add(record.node)
        self.changed_jobs.add(job_id)

    def move(self, task: str, phase: TaskPhase, now_ms: int) -> None:
        """Change the phase of a task and nothing else."""
        record = self.record(task)
        self.update(task, attrs.evolve(record, phase=phase, since_ms=now_ms))

    def waiting(self, unit: Unit) -> list[str]:
        """Return the tasks of a unit that may be ordered now.

        A gang waits until all of its members have ended.
        """
        tasks = unit.tasks()
        waiting = [
            task
            for task in tasks
            if self.record(task).phase is TaskPhase.WAITING
        ]
        if unit.step.gang and len(waiting) < len(tasks):
            return []
        return waiting

    def set_state(self, job_id: str, state: JobState, now_ms: int) -> None:
        """Change what callers are told of a job."""
        progress = self.progress[job_id]
        if progress.state is not state:
            progress.state = state
            progress.ended_ms = now_ms if state in FINAL_STATES else 0
            self.changed_jobs.add(job_id)

    def open_jobs(self) -> Iterator[tuple[Job, Progress]]:
        """Return the jobs that have not ended."""
        for job_id, job in list(self.jobs.items()):
            progress = self.progress[job_id]
            if progress.state not in FINAL_STATES:
                yield job, progress

    def holding(self, job_id: str) -> list[str]:
        """Return the tasks of a job that hold room."""
        return [
            task
            for task, record in self.progress[job_id].tasks.items()
            if record.phase in HOLDING
        ]

    def tasks_on(self, node: str) -> list[str]:
        """Return the tasks that hold room on a node, oldest first."""
        return sorted(
            self._by_node.get(node, ()),
            key=lambda task: (self.record(task).since_ms, task),
        )

    def nodes(self) -> list[str]:
        """Return the nodes that hold tasks."""
        return [node for node, tasks in self._by_node.items() if tasks]

    def ordered(self, node: str) -> Amount:
        """Return what the runs ordered on a node need.

        What is being stopped is not counted.
        """
        total = ZERO_AMOUNT
        for task in self._by_node.get(node, ()):
            if self.record(task).phase is TaskPhase.ORDERED:
                total = plus(total, self.step_of(task).needs)
        return total

    def members(self, unit: str) -> dict[str, TaskRecord]:
        """Return the known tasks of a unit."""
        tasks = self.progress[job_of(unit)].tasks
        return {
            task: record
            for task, record in tasks.items()
            if unit_of(task) == unit
        }

    def done(self, unit: Unit) -> bool:
        """Tell whether all tasks of a unit are done."""
        return all(
            self.record(task).phase is TaskPhase.DONE for task in unit.tasks()
        )

    def orders_of(self, node: str, epoch: int) -> Orders:
        """Return the orders row of a node."""
        orders = []
        payloads = {}
        for task in self.tasks_on(node):
            record = self.record(task)
            job_id = job_of(task)
            orders.append(
                Order(
                    task,
                    record.attempt,
                    job_id,
                    self.step_of(task).needs,
                    record.incarnation,
                    record.saved,
                    record.phase is TaskPhase.STOPPING,
                )
            )
            payloads[job_id] = self.jobs[job_id].payload
        return Orders(epoch, tuple(orders), payloads)

"""In-memory state of the planner: jobs and tasks, indexed by node."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.confirmations import Confirmations
from filbertlb.batch.job_check import MAX_JOB_PAYLOAD_BYTES
from filbertlb.batch.model import FINAL_STATES
from filbertlb.batch.model import has_step
from filbertlb.batch.model import job_id_of
from filbertlb.batch.model import JobState
from filbertlb.batch.model import Order
from filbertlb.batch.model import Orders
from filbertlb.batch.model import Progress
from filbertlb.batch.model import task_group_of
from filbertlb.batch.model import task_name
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.model import TaskRecord
from filbertlb.core.amounts import plus
from filbertlb.core.amounts import ZERO_AMOUNT

if TYPE_CHECKING:
    from collections.abc import Iterator

    from filbertlb.batch.model import GangFailures
    from filbertlb.batch.model import Job
    from filbertlb.batch.model import Step
    from filbertlb.batch.model import WorkerReport
    from filbertlb.core.amounts import Amount

ALLOCATED_PHASES = (TaskPhase.ORDERED, TaskPhase.STOPPING)
"""Phases in which a task occupies resources on its node."""

MAX_PAYLOAD_BYTES = 36_000
"""Payloads of one orders row; the table stores 48 KiB of values."""


@attrs.frozen
class TaskGroup:
    """Tasks of one step in one occurrence of a job."""

    job: Job
    occurrence: int
    index: int

    @property
    def step(self) -> Step:
        """Step of the job."""
        return self.job.steps[self.index]

    @property
    def name(self) -> str:
        """Common prefix of the names of its tasks."""
        return f"{self.job.job_id}.{self.occurrence}.{self.index}"

    @property
    def earliest_start_ms(self) -> int:
        """Earliest possible start; waiting time is measured from it."""
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
class PlannerState:
    """Jobs, their progress and cancellations, and unwritten changes.

    Attributes
    ----------
    changed_jobs, changed_statuses, changed_nodes : set of str
        Jobs and nodes whose rows in the table are out of date.
    changed_tasks_by_job : dict of str to set of str
        Tasks whose records in the table are out of date.
    tasks_lost_by_node : dict of str to set of str
        Tasks that left a silent node without its agent's report, by node;
        not yet written.
    split_jobs : set of str
        Jobs whose tasks are stored in rows of their own.
    part_count_by_job : dict of str to int
        Number of these rows that may be stored, also of other jobs.
    ignored_jobs : set of str
        Jobs whose progress is unreadable; nothing is decided about them.
    suspects : set of str
        Unfinished tasks that may have crashed a worker.
    preempted : set of str
        Gangs and single tasks that were preempted and have not been done
        since. They are preempted again only if there is no other choice. It
        is not stored: the next decider does not know of earlier preemptions.
    with_reservation : set of str
        Waiting task groups whose reservation was logged.
    rack_wait_since_ms : dict of str to int
        Time since which a task group that fits elsewhere waits for a rack.
        It is not stored: under the next decider the wait begins again.
    confirmations : Confirmations
        Reports that were processed, as the orders rows tell the agents.
    """

    jobs: dict[str, Job] = attrs.Factory(dict)
    progress: dict[str, Progress] = attrs.Factory(dict)
    cancelled: set[str] = attrs.Factory(set)
    changed_jobs: set[str] = attrs.Factory(set)
    changed_statuses: set[str] = attrs.Factory(set)
    changed_nodes: set[str] = attrs.Factory(set)
    changed_tasks_by_job: dict[str, set[str]] = attrs.Factory(dict)
    tasks_lost_by_node: dict[str, set[str]] = attrs.Factory(dict)
    split_jobs: set[str] = attrs.Factory(set)
    part_count_by_job: dict[str, int] = attrs.Factory(dict)
    ignored_jobs: set[str] = attrs.Factory(set)
    suspects: set[str] = attrs.Factory(set)
    preempted: set[str] = attrs.Factory(set)
    with_reservation: set[str] = attrs.Factory(set)
    rack_wait_since_ms: dict[str, int] = attrs.Factory(dict)
    confirmations: Confirmations = attrs.Factory(Confirmations)
    _tasks_by_node: dict[str, set[str]] = attrs.Factory(dict)

    def add_job(self, job: Job) -> None:
        """Add an accepted job unless it is ignored."""
        if job.job_id in self.ignored_jobs:
            return
        self.jobs[job.job_id] = job
        self.progress.setdefault(job.job_id, Progress(job.job_id))

    def add_progress(self, progress: Progress) -> None:
        """Add the progress of a job as read from the table."""
        self.progress[progress.job_id] = progress
        for task, record in progress.tasks.items():
            if record.phase in ALLOCATED_PHASES:
                self._tasks_by_node.setdefault(record.node, set()).add(task)
            if progress.state not in FINAL_STATES:
                self._update_suspect(task, record)

    def forget(self, job_id: str) -> None:
        """Remove a job whose rows were deleted."""
        self.jobs.pop(job_id, None)
        self.progress.pop(job_id, None)
        self.changed_tasks_by_job.pop(job_id, None)
        self.split_jobs.discard(job_id)
        self.part_count_by_job.pop(job_id, None)
        self.cancelled.discard(job_id)
        self.suspects = {
            task for task in self.suspects if job_id_of(task) != job_id
        }
        self._forget_preemptions(job_id)
        self.with_reservation = {
            name for name in self.with_reservation if job_id_of(name) != job_id
        }
        self.rack_wait_since_ms = {
            group: since_ms
            for group, since_ms in self.rack_wait_since_ms.items()
            if job_id_of(group) != job_id
        }

    def _forget_preemptions(self, job_id: str) -> None:
        self.preempted = {
            name for name in self.preempted if job_id_of(name) != job_id
        }

    def mark_lost(self, task: str, node: str) -> None:
        """Record that a task leaves a silent node."""
        self.tasks_lost_by_node.setdefault(node, set()).add(task)

    def split(self, job_id: str) -> None:
        """Store the tasks of a job in rows of their own from now on."""
        self.split_jobs.add(job_id)
        self.changed_tasks_by_job[job_id] = set(self.progress[job_id].tasks)

    def mark_started(self, job_id: str) -> None:
        """Record that a task of a job has started."""
        self.progress[job_id].started = True
        self._mark_status(job_id)

    def mark_written(
        self, jobs: frozenset[str], nodes: frozenset[str]
    ) -> None:
        """Record that the rows of these jobs and nodes are up to date."""
        self.changed_jobs -= jobs
        self.changed_statuses -= jobs
        self.changed_nodes -= nodes
        for job_id in jobs:
            self.changed_tasks_by_job.pop(job_id, None)
        for node in nodes:
            self.tasks_lost_by_node.pop(node, None)
        self.confirmations.record_written(nodes)

    def confirm(self, report: WorkerReport) -> None:
        """Record that a report was processed, as its agent may wait for."""
        if self.confirmations.record_processed(report):
            self.changed_nodes.add(report.node)

    def _mark_status(self, job_id: str) -> None:
        self.changed_jobs.add(job_id)
        self.changed_statuses.add(job_id)

    def record(self, task: str) -> TaskRecord:
        """Return the record of a task, or a new one if it has none."""
        return self.progress[job_id_of(task)].tasks.get(task) or TaskRecord()

    def may_be_task(self, task: str) -> bool:
        """Return False if a task's name has no step of its known job."""
        job = self.jobs.get(job_id_of(task))
        return job is None or has_step(job, task)

    def job_of(self, task: str) -> Job:
        """Return the job that a task belongs to."""
        return self.jobs[job_id_of(task)]

    def group_of(self, task: str) -> TaskGroup:
        """Return the group that a task belongs to."""
        _, occurrence, index, _ = task.split(".")
        return TaskGroup(self.job_of(task), int(occurrence), int(index))

    def step_of(self, task: str) -> Step:
        """Return the step that a task belongs to."""
        return self.job_of(task).steps[int(task.split(".")[2])]

    def set_record(self, task: str, record: TaskRecord) -> None:
        """Replace the record of a task and mark its rows as changed."""
        job_id = job_id_of(task)
        tasks = self.progress[job_id].tasks
        previous = tasks.get(task)
        if previous is not None and previous.phase in ALLOCATED_PHASES:
            self._tasks_by_node[previous.node].discard(task)
            self.changed_nodes.add(previous.node)
        tasks[task] = record
        if record.phase in ALLOCATED_PHASES:
            self._tasks_by_node.setdefault(record.node, set()).add(task)
            self.changed_nodes.add(record.node)
        self._update_suspect(task, record)
        self._mark_task(task)

    def set_saved(self, task: str, saved: str) -> None:
        """Set the checkpoint from which the next run of a task resumes."""
        self.progress[job_id_of(task)].tasks[task].saved = saved
        self._mark_task(task)

    def _mark_task(self, task: str) -> None:
        job_id = job_id_of(task)
        self.changed_jobs.add(job_id)
        self.changed_tasks_by_job.setdefault(job_id, set()).add(task)

    def _update_suspect(self, task: str, record: TaskRecord) -> None:
        if record.crashes and record.phase is not TaskPhase.DONE:
            self.suspects.add(task)
        else:
            self.suspects.discard(task)

    def drop_records(self, job_id: str) -> None:
        """Remove the records of all tasks of a job."""
        for task in self.allocated_tasks(job_id):
            node = self.record(task).node
            self._tasks_by_node[node].discard(task)
            self.changed_nodes.add(node)
        self.suspects.difference_update(self.progress[job_id].tasks)
        self.progress[job_id].tasks.clear()
        self.changed_tasks_by_job.pop(job_id, None)
        self.progress[job_id].failures_by_gang.clear()

    def set_phase(self, task: str, phase: TaskPhase, now_ms: int) -> None:
        """Change the phase of a task and the time of the change only."""
        record = self.record(task)
        self.set_record(
            task, attrs.evolve(record, phase=phase, since_ms=now_ms)
        )

    def waiting(self, group: TaskGroup) -> list[str]:
        """Return the tasks of a group that can be placed now.

        A gang can be placed only after the runs of all members have ended.
        """
        tasks = group.tasks()
        waiting = [
            task
            for task in tasks
            if self.record(task).phase is TaskPhase.WAITING
        ]
        if group.step.gang and len(waiting) < len(tasks):
            return []
        return waiting

    def restarts(self, group: TaskGroup) -> bool:
        """Return whether a gang starts again once all members are stopped."""
        if not group.step.gang:
            return False
        phases = {self.record(task).phase for task in group.tasks()}
        return TaskPhase.STOPPING in phases and phases.isdisjoint(
            (TaskPhase.ORDERED, TaskPhase.DONE)
        )

    def set_job_state(self, job_id: str, state: JobState, now_ms: int) -> None:
        """Set the state of a job that is reported to callers."""
        progress = self.progress[job_id]
        if progress.state is not state:
            progress.state = state
            progress.ended_ms = now_ms if state in FINAL_STATES else 0
            if state in FINAL_STATES:
                self.suspects.difference_update(progress.tasks)
                self._forget_preemptions(job_id)
            self._mark_status(job_id)

    def fail_job(self, job_id: str, failure: str, now_ms: int) -> None:
        """Set a job to failed, for a reason that callers' logs will tell."""
        self.progress[job_id].failure = failure
        self.set_job_state(job_id, JobState.FAILED, now_ms)

    def unfinished_jobs(self) -> Iterator[tuple[Job, Progress]]:
        """Yield the jobs that are in no final state."""
        for job_id, job in list(self.jobs.items()):
            progress = self.progress[job_id]
            if progress.state not in FINAL_STATES:
                yield job, progress

    def allocated_tasks(self, job_id: str) -> list[str]:
        """Return the tasks of a job that occupy resources."""
        return [
            task
            for task, record in self.progress[job_id].tasks.items()
            if record.phase in ALLOCATED_PHASES
        ]

    def tasks_on(self, node: str) -> list[str]:
        """Return the tasks that occupy a node, oldest first."""
        return sorted(
            self._tasks_by_node.get(node, ()),
            key=lambda task: (self.record(task).since_ms, task),
        )

    def occupied_nodes(self) -> list[str]:
        """Return the nodes that are occupied by tasks."""
        return [node for node, tasks in self._tasks_by_node.items() if tasks]

    def ordered_records(self) -> Iterator[tuple[str, TaskRecord]]:
        """Yield the tasks that are ordered on any node."""
        for tasks in self._tasks_by_node.values():
            for task in tasks:
                record = self.record(task)
                if record.phase is TaskPhase.ORDERED:
                    yield task, record

    def ordered(self, node: str) -> Amount:
        """Return the resources of the runs ordered on a node.

        Runs that are being stopped are not counted.
        """
        total = ZERO_AMOUNT
        for task in self._tasks_by_node.get(node, ()):
            if self.record(task).phase is TaskPhase.ORDERED:
                total = plus(total, self.step_of(task).needs)
        return total

    def can_order(self, job: Job, node: str) -> bool:
        """Return whether a node's orders row holds one more run of a job."""
        tasks = self._tasks_by_node.get(node, ())
        if (len(tasks) + 1) * MAX_JOB_PAYLOAD_BYTES <= MAX_PAYLOAD_BYTES:
            return True
        job_ids = {job.job_id, *map(job_id_of, tasks)}
        return self._bytes_of_payloads(job_ids) <= MAX_PAYLOAD_BYTES

    def payload_bytes(self, node: str) -> int:
        """Return the size of the payloads in a node's orders row."""
        tasks = self._tasks_by_node.get(node, ())
        return self._bytes_of_payloads(set(map(job_id_of, tasks)))

    def _bytes_of_payloads(self, job_ids: set[str]) -> int:
        return sum(
            len(self.jobs[job_id].payload.encode()) for job_id in job_ids
        )

    def members(self, group: str) -> dict[str, TaskRecord]:
        """Return the existing records of the tasks of a group."""
        tasks = self.progress[job_id_of(group)].tasks
        return {
            task: record
            for task, record in tasks.items()
            if task_group_of(task) == group
        }

    def gang_failures(self, group: str) -> GangFailures | None:
        """Return the failed runs of a gang; None if none are stored."""
        return self.progress[job_id_of(group)].failures_by_gang.get(group)

    def set_gang_failures(self, group: str, failures: GangFailures) -> None:
        """Store the failed runs of a gang."""
        job_id = job_id_of(group)
        self.progress[job_id].failures_by_gang[group] = failures
        self.changed_jobs.add(job_id)
        for task in self.members(group):
            self._mark_task(task)

    def ready_ms(self, group: TaskGroup) -> int:
        """Return when the waiting tasks of a group could first be placed.

        That is after the steps before it, and after their own latest runs.
        """
        times_ms = [group.earliest_start_ms]
        for index in group.step.after:
            before = TaskGroup(group.job, group.occurrence, index)
            times_ms += [
                record.since_ms
                for record in self.members(before.name).values()
            ]
        times_ms += [
            self.record(task).since_ms for task in self.waiting(group)
        ]
        return max(times_ms)

    def done(self, group: TaskGroup) -> bool:
        """Return whether all tasks of a group are done."""
        return all(
            self.record(task).phase is TaskPhase.DONE for task in group.tasks()
        )

    def orders_of(self, node: str, epoch: int) -> Orders:
        """Return the value of the orders row of a node.

        Runs whose payloads would make the row too large are ordered once
        older ones have ended.
        """
        orders = []
        payloads: dict[str, str] = {}
        payload_bytes = 0
        for task in self.tasks_on(node):
            record = self.record(task)
            job_id = job_id_of(task)
            if job_id not in payloads:
                payload_bytes += len(self.jobs[job_id].payload.encode())
            if payload_bytes > MAX_PAYLOAD_BYTES:
                break
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
        confirmed = self.confirmations.processed(node)
        return Orders(epoch, tuple(orders), payloads, confirmed)

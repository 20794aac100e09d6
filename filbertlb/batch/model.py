"""Jobs, their progress, orders for workers and reports of workers.

These classes are the values of rows in the table service. Times are Unix
milliseconds unless a name says otherwise.
"""

from __future__ import annotations

from enum import StrEnum
from re import compile as compile_pattern

import attrs

from filbertlb.ranges import Count
from filbertlb.ranges import Factor
from filbertlb.ranges import Int64
from filbertlb.ranges import Percent

_TASK_NAME = compile_pattern(
    r"(?P<job_id>[^.]+)\.[0-9]{1,18}\.(?P<step>[0-9]{1,18})\.[0-9]{1,18}"
)

MAX_SAVED_BYTES = 256
"""Length of a checkpoint; rows hold those of many tasks."""

STATE_TABLE = "state"
"""What every entry follows: jobs, their states and cancellations."""
JOB_PREFIX = "state/job/"
STATUS_PREFIX = "state/status/"
CANCEL_PREFIX = "state/cancel/"
PROGRESS_TABLE = "progress"
"""Tasks of jobs; written and read by the decider only."""
PROGRESS_PREFIX = "progress/"
WORKER_TABLE = "workers"
"""Reports of workers; only the decider follows them."""
WORKER_PREFIX = "workers/"
WORKER_PARTITIONS = 16
"""Partitions of the reports, as each agent writes one every second."""
ORDER_TABLES = 64
"""Number of tables that the orders rows are partitioned over.

An agent watches the table of its own node only, so few changes for other
nodes wake it.
"""


UNKNOWN_CRASHES_PER_H = 60
"""Crashes of a worker an hour that are assumed if none were counted."""

Quantities = tuple[Count, Count, Count]
"""Accelerators, millicores and MiB of memory; never negative."""

RunKey = tuple[str, int]
"""Task and attempt of a run."""


class JobState(StrEnum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    ACTIVE = "active"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset(
    (JobState.COMPLETE, JobState.FAILED, JobState.CANCELLED)
)


class TaskPhase(StrEnum):
    """Phase of a task."""

    WAITING = "waiting"
    ORDERED = "ordered"
    STOPPING = "stopping"
    DONE = "done"


class EndCause(StrEnum):
    """Reason why a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    LOST = "lost"
    """The worker's incarnation ended, or the lease expired unobserved."""
    REFUSED = "refused"
    """The run was not started and will not be."""


@attrs.frozen
class Step:
    """Tasks of a job that have the same requirements.

    Parameters
    ----------
    count : int
        Number of tasks.
    needs : Quantities
        Accelerators, millicores and MiB that one task requires.
    estimate_ms : int
        Estimated duration of one task.
    after : tuple of int
        Indices of the steps that must be done first.
    gang : bool
        The tasks must all run at the same time (gang scheduling).
    same_rack : bool
        The tasks run slower when they are spread over several racks.
    required_label : str
        Label that a worker must have; empty for any worker.
    data_rack : str
        Rack that holds the input data; empty for none.
    max_per_worker : int
        Maximum number of tasks on one worker; 0 for no limit.
    long_running : bool
        The tasks run until the job is cancelled.
    image : str
        Program that the tasks run; empty if the caller does not name it.
    """

    count: Count
    needs: Quantities
    estimate_ms: Count = 0
    after: tuple[Count, ...] = ()
    checkpointable: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: Count = 0
    long_running: bool = False
    image: str = ""

    def __str__(self) -> str:
        """Return a short description for logs."""
        accelerators, millicores, memory_mib = self.needs
        traits = {
            "gang": self.gang,
            "checkpointable": self.checkpointable,
            "long running": self.long_running,
            "same rack": self.same_rack,
            f"near {self.data_rack}": bool(self.data_rack),
            f"on {self.required_label}": bool(self.required_label),
        }
        return " ".join(
            [
                f"{self.count} x {accelerators} accelerators",
                f"{millicores / 1000:g} cores {memory_mib} MiB",
                f"{self.estimate_ms} ms",
                *(name for name, holds in traits.items() if holds),
            ]
        )


@attrs.frozen
class Job:
    """A job as it was accepted; immutable.

    Parameters
    ----------
    payload : str
        Passed to the workers unchanged.
    attempts : int
        Failed runs of one task, or gang, after which the job fails.
    times : int
        Number of scheduled occurrences; 0 if the job runs once,
        immediately.
    first_due_ms, interval_ms : int
        Due time of the first occurrence, and time between occurrences.
    """

    job_id: str
    queue: str
    service: str
    organisation: str
    payload: str
    steps: tuple[Step, ...]
    priority: Int64
    attempts: Count
    slack_factor: Factor
    target_ms: Int64
    accepted_ms: Int64
    times: Count = 0
    first_due_ms: Int64 = 0
    interval_ms: Count = 0
    advised: bool = False


@attrs.frozen
class Crash:
    """Crash of a worker while it had a run of a task.

    Parameters
    ----------
    run_ms : int
        Time from the start of the run until the crash.
    attempt : int
        Number of that run; 0 in rows of earlier versions.
    others_per_h : int
        Crashes an hour that were to be expected without the task, on as many
        workers as its run, or that of its gang, was on.
    """

    node: str
    run_ms: Int64
    attempt: Count = 0
    others_per_h: Count = UNKNOWN_CRASHES_PER_H


@attrs.define
class TaskRecord:
    """State of one task.

    Parameters
    ----------
    attempt : int
        Number of the latest run; the same for all members of a gang.
    failures : int
        Number of failed runs. One of a gang is counted at the member that
        failed first only, as earlier versions add up those of all members.
    node, incarnation : str
        Node and worker incarnation of the latest run.
    saved : str
        Latest checkpoint; empty for none.
    since_ms : int
        Time at which the task entered its phase.
    avoid : str
        Node of the latest failure, refusal or crash; other nodes are
        preferred.
    crashes : tuple of Crash
        Crashes of workers that runs of the task may have caused.
    """

    phase: TaskPhase = TaskPhase.WAITING
    attempt: Count = 0
    failures: Count = 0
    node: str = ""
    incarnation: str = ""
    saved: str = ""
    since_ms: Int64 = 0
    avoid: str = ""
    crashes: tuple[Crash, ...] = ()


@attrs.frozen
class GangFailures:
    """Failed runs of a gang.

    Parameters
    ----------
    count : int
        Number of runs in which at least one member failed.
    attempt : int
        Number of the latest of these runs.
    """

    count: Count = 0
    attempt: Count = 0


@attrs.define
class Progress:
    """State of a job and its tasks; written only by the decider.

    Attributes
    ----------
    failure : str
        Why the job has failed, for logs; empty if it has not.
    failures_by_gang : dict of str to GangFailures
        Failed runs by task group, of gangs that have had any.
    """

    job_id: str
    state: JobState = JobState.QUEUED
    started: bool = False
    tasks: dict[str, TaskRecord] = attrs.Factory(dict)
    ended_ms: Int64 = 0
    failures_by_gang: dict[str, GangFailures] = attrs.Factory(dict)
    failure: str = ""


@attrs.frozen
class ProgressHead:
    """Progress of a job whose tasks are stored in rows of their own.

    Parameters
    ----------
    tasks : int
        Number of tasks in the parts. An earlier version expects the tasks
        themselves here: it cannot read the row and leaves the job alone.
    """

    job_id: str
    state: JobState
    started: bool
    tasks: Count
    ended_ms: Int64 = 0
    failure: str = ""


@attrs.frozen
class ProgressPart:
    """Tasks of a job that are stored in one row.

    Parameters
    ----------
    failures_by_gang : dict of str to GangFailures
        Failed runs of the gangs that these tasks belong to.
    """

    job_id: str
    number: Count
    tasks: dict[str, TaskRecord]
    failures_by_gang: dict[str, GangFailures]


@attrs.frozen
class ProgressRow:
    """What a row of progress may hold: all tasks, or their number."""

    job_id: str
    state: JobState = JobState.QUEUED
    started: bool = False
    tasks: dict[str, TaskRecord] | Count = attrs.Factory(dict)
    ended_ms: Int64 = 0
    failures_by_gang: dict[str, GangFailures] = attrs.Factory(dict)
    failure: str = ""


@attrs.frozen
class JobStatus:
    """What callers are told about a job; written by the decider.

    Parameters
    ----------
    failure : str
        Why the job has failed, for the logs of the process that tells it.
    """

    state: JobState = JobState.QUEUED
    started: bool = False
    failure: str = ""


@attrs.frozen
class Order:
    """One run that a worker must start, keep running or stop."""

    task: str
    attempt: Count
    job_id: str
    needs: Quantities
    incarnation: str
    saved: str = ""
    stop: bool = False

    @property
    def key(self) -> RunKey:
        """Task and attempt."""
        return (self.task, self.attempt)


@attrs.frozen
class ReportMark:
    """Names one report of one agent process.

    Parameters
    ----------
    registration : str
        Token of the agent process.
    sequence : int
        Number of its report.
    """

    registration: str
    sequence: Count

    def covers(self, registration: str, sequence: int) -> bool:
        """Return whether this is a given report or a later one."""
        return self.registration == registration and self.sequence >= sequence


@attrs.frozen
class Orders:
    """Desired runs of one worker; replaces all previous orders.

    Parameters
    ----------
    epoch : int
        Fencing epoch of the decider that wrote the orders.
    payload_by_job_id : dict of str to str
        Payloads of the jobs that the orders refer to.
    confirmed : ReportMark, optional
        Latest report that the decider had processed when it wrote the row.
    """

    epoch: Count
    orders: tuple[Order, ...] = ()
    payload_by_job_id: dict[str, str] = attrs.Factory(dict)
    confirmed: ReportMark | None = None

    def without_newest(self, count: int) -> Orders:
        """Return the row without its last orders, which are the newest.

        Runs that are being stopped are kept: their ends would be lost.
        """
        stops_first = sorted(self.orders, key=lambda order: not order.stop)
        orders = tuple(stops_first[:-count])
        job_ids = {order.job_id for order in orders}
        payloads = {
            job_id: payload
            for job_id, payload in self.payload_by_job_id.items()
            if job_id in job_ids
        }
        return attrs.evolve(self, orders=orders, payload_by_job_id=payloads)


@attrs.frozen
class Run:
    """One run that is active on a worker.

    Parameters
    ----------
    percent : int
        Completed share of the work.
    age_ms : int
        Time since the worker listed that share; 0 if it is not known.
    """

    task: str
    attempt: Count
    saved: str = ""
    percent: Percent = 0
    age_ms: Count = 0

    @property
    def key(self) -> RunKey:
        """Task and attempt."""
        return (self.task, self.attempt)


@attrs.frozen
class RunEnd:
    """End of a run, reported until the decider has processed it.

    Parameters
    ----------
    crashed_after_ms : int, optional
        Time from the start of the run until its worker crashed; None if the
        worker did not crash, or if that is not known.
    run_ms : int, optional
        Time for which the run is known to have lasted; None if its start or
        its end was not observed by the reporting agent.
    """

    task: str
    attempt: Count
    cause: EndCause
    saved: str = ""
    crashed_after_ms: Int64 | None = None
    run_ms: Count | None = None

    @property
    def key(self) -> RunKey:
        """Task and attempt."""
        return (self.task, self.attempt)


@attrs.frozen
class Worker:
    """Worker as described by itself.

    Parameters
    ----------
    incarnation : str
        Identifies one lifetime of the worker process.
    rack : str
        Empty if unknown.
    remaining_ms : int
        Minimum time until the worker exits, while it drains.
    cold_left_ms : int
        Time for which the worker is still slow; 0 if it is not.
    """

    incarnation: str
    service: str
    zone: str
    capacity: Quantities
    labels: tuple[str, ...] = ()
    rack: str = ""
    draining: bool = False
    remaining_ms: Int64 = 0
    cold_left_ms: Int64 = 0


@attrs.frozen
class WorkerReport:
    """Report of an agent about its worker.

    Parameters
    ----------
    registration : str
        Token of the reporting agent process.
    sequence : int
        Increases with each report of a registration.
    answers : bool
        Whether the worker responds to the agent.
    awaited_sequence : int
        The agent waits for orders that confirm a report of its registration
        with this number or a higher one.
    """

    node: str
    registration: str
    sequence: Count = 0
    worker: Worker | None = None
    answers: bool = False
    running: tuple[Run, ...] = ()
    ended: tuple[RunEnd, ...] = ()
    awaited_sequence: Count = 0

    @property
    def mark(self) -> ReportMark:
        """Name of this report."""
        return ReportMark(self.registration, self.sequence)


def task_name(job_id: str, occurrence: int, step: int, index: int) -> str:
    """Return the name of a task: job, occurrence, step and index."""
    return f"{job_id}.{occurrence}.{step}.{index}"


def task_group_of(task: str) -> str:
    """Return the name of the task group that a task belongs to.

    The name consists of the job id, the occurrence and the step.
    """
    return task.rpartition(".")[0]


def job_id_of(task: str) -> str:
    """Return the job id in the name of a task or task group."""
    return task.partition(".")[0]


def has_step(job: Job, task: str) -> bool:
    """Return whether a task's name is that of a step of a job."""
    match = _TASK_NAME.fullmatch(task)
    return (
        match is not None
        and match["job_id"] == job.job_id
        and int(match["step"]) < len(job.steps)
    )


def orders_table(node: str) -> str:
    """Return the name of the table that holds a node's orders row."""
    return f"orders-{sum(node.encode()) % ORDER_TABLES:02d}"


def orders_key(node: str) -> str:
    """Return the key of a node's orders row."""
    return f"{orders_table(node)}/{node}"

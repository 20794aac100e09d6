"""Jobs, their progress, and what workers are told and report.

All of these are values of rows in the table service. Times are Unix
milliseconds unless a name says otherwise.
"""

from __future__ import annotations

from enum import StrEnum

import attrs

from filbertlb.core.amounts import Amount

JOB_PREFIX = "state/job/"
PROGRESS_PREFIX = "state/progress/"
CANCEL_PREFIX = "state/cancel/"
WORKER_PREFIX = "state/worker/"
STATE_TABLE = "state"
ORDER_TABLES = 64
"""Tables that the workers' orders are spread over.

An agent follows one table, so it is woken by few orders of others.
"""


class JobState(StrEnum):
    """What a caller is told about a job."""

    QUEUED = "queued"
    ACTIVE = "active"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset(
    (JobState.COMPLETE, JobState.FAILED, JobState.CANCELLED)
)


class TaskPhase(StrEnum):
    """Where one task of a job stands."""

    WAITING = "waiting"
    ORDERED = "ordered"
    STOPPING = "stopping"
    DONE = "done"


class EndCause(StrEnum):
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    LOST = "lost"
    """The worker's incarnation ended, or its lease ran out unseen."""
    REFUSED = "refused"
    """The run never started and never will."""


@attrs.frozen
class Step:
    """Tasks of one kind within a job.

    Parameters
    ----------
    count : int
        Number of tasks.
    needs : Amount
        Accelerators, millicores and MiB of one task.
    estimate_ms : int
        Rough duration of one task.
    after : tuple of int
        Steps that must be done before.
    gang : bool
        The tasks run together or not at all.
    same_rack : bool
        The tasks are slower when spread over racks.
    max_per_worker : int
        Most tasks on one worker; 0 for no bound.
    long_running : bool
        The tasks run until the job is cancelled.
    """

    count: int
    needs: Amount
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointable: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    long_running: bool = False

    def __str__(self) -> str:
        """Return a short form for logs."""
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
    """A job as it was accepted; never changes.

    Parameters
    ----------
    payload : str
        Passed to the workers as it came.
    attempts : int
        Failed runs after which a task is given up.
    times : int
        Scheduled occurrences; 0 if the job runs once, at once.
    """

    job_id: str
    queue: str
    service: str
    organisation: str
    payload: str
    steps: tuple[Step, ...]
    priority: int
    attempts: int
    slack_factor: float
    target_ms: int
    accepted_ms: int
    times: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0
    advised: bool = False


@attrs.define
class TaskRecord:
    """State of one task.

    Parameters
    ----------
    attempt : int
        Number of the newest run; the members of a gang share it.
    failures : int
        Runs that ended as failed.
    node, incarnation : str
        Where the newest run was ordered.
    saved : str
        Newest checkpoint; empty for none.
    since_ms : int
        When the phase began.
    avoid : str
        Node on which the task failed last.
    """

    phase: TaskPhase = TaskPhase.WAITING
    attempt: int = 0
    failures: int = 0
    node: str = ""
    incarnation: str = ""
    saved: str = ""
    since_ms: int = 0
    avoid: str = ""


@attrs.define
class Progress:
    """How far a job is; written by the decider only."""

    job_id: str
    state: JobState = JobState.QUEUED
    started: bool = False
    tasks: dict[str, TaskRecord] = attrs.Factory(dict)
    ended_ms: int = 0


@attrs.frozen
class Order:
    """One run that a worker is to hold, or to stop."""

    task: str
    attempt: int
    job_id: str
    needs: Amount
    incarnation: str
    saved: str = ""
    stop: bool = False


@attrs.frozen
class Orders:
    """Everything that one worker is to run; replaces what was before.

    Parameters
    ----------
    payload_by_job_id : dict of str to str
        Payloads of the jobs that the orders name.
    """

    epoch: int
    orders: tuple[Order, ...] = ()
    payload_by_job_id: dict[str, str] = attrs.Factory(dict)


@attrs.frozen
class Run:
    """One run that a worker holds.

    Parameters
    ----------
    percent : int
        Share of the work that is done.
    """

    task: str
    attempt: int
    saved: str = ""
    percent: int = 0


@attrs.frozen
class RunEnd:
    """The end of a run, kept until the decider has taken it in."""

    task: str
    attempt: int
    cause: EndCause
    saved: str = ""


@attrs.frozen
class Worker:
    """What a worker says of itself.

    Parameters
    ----------
    incarnation : str
        One life of the worker.
    rack : str
        Empty if unknown.
    remaining_ms : int
        Least time left while it drains.
    """

    incarnation: str
    service: str
    zone: str
    capacity: Amount
    labels: tuple[str, ...] = ()
    rack: str = ""
    draining: bool = False
    remaining_ms: int = 0


@attrs.frozen
class WorkerReport:
    """An agent's row about its worker.

    Parameters
    ----------
    registration : str
        Token of the agent process that writes.
    sequence : int
        Grows with each report of one registration.
    answers : bool
        The worker answers the agent.
    """

    node: str
    registration: str
    sequence: int = 0
    worker: Worker | None = None
    answers: bool = False
    running: tuple[Run, ...] = ()
    ended: tuple[RunEnd, ...] = ()


def task_name(job_id: str, occurrence: int, step: int, index: int) -> str:
    """Return the name of a task: job, occurrence, step and index."""
    return f"{job_id}.{occurrence}.{step}.{index}"


def unit_of(task: str) -> str:
    """Return the job, occurrence and step of a task's name."""
    return task.rpartition(".")[0]


def job_id_of(task: str) -> str:
    """Return the job id of a task's or unit's name."""
    return task.partition(".")[0]


def orders_table(node: str) -> str:
    """Return the table that holds a node's orders."""
    return f"orders-{sum(node.encode()) % ORDER_TABLES:02d}"


def orders_key(node: str) -> str:
    """Return the key of a node's orders row."""
    return f"{orders_table(node)}/{node}"

"""Interface of the policies that decide what runs where."""

from __future__ import annotations

from enum import StrEnum
from typing import Protocol
from typing import TYPE_CHECKING

import attrs

from filbertlb.errors import InvalidInputError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from filbertlb.core.model import Assignment
    from filbertlb.core.model import JobSpec
    from filbertlb.core.model import Organisation
    from filbertlb.core.model import Worker


class ImpossibleJobError(InvalidInputError):
    """The job can never run on what is configured."""

    code = "impossible_job"
    status = 422


class GuaranteeRefusedError(InvalidInputError):
    """No placement exists for all guarantees with the new one."""

    code = "guarantee_refused"
    status = 409


class WaitReason(StrEnum):
    """Why a job waits."""

    QUEUE = "waits_for_older_jobs"
    CAPACITY = "waits_for_capacity"
    ADJACENCY = "waits_for_adjacent_workers"
    GUARANTEE = "waits_because_capacity_is_guaranteed_to_others"
    QUOTA = "waits_for_quota"
    RECLAIM = "waits_for_reclaim"
    OFFLINE = "waits_for_workers_that_are_offline"
    BACKOFF = "waits_after_failures"


class JobEnd(StrEnum):
    """How one run of a job ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    STOPPED = "stopped"
    NOT_STARTED = "not_started"
    WORKER_LOST = "worker_lost"


@attrs.frozen
class StartJob:
    """Start a job on these workers."""

    assignment: Assignment


@attrs.frozen
class StopJob:
    """Take back the resources of a running job.

    Parameters
    ----------
    within_s : float
        Bound on the time until the resources are free, in seconds.
    for_job_id : str
        Job that the resources are for.
    """

    job_id: str
    checkpoint: bool
    within_s: float
    for_job_id: str = ""


@attrs.frozen
class GuaranteeAtRisk:
    """A guarantee that has no placement at present."""

    organisation_id: str
    guarantee_id: str
    missing: int


@attrs.frozen
class RunEnd:
    """What is told about the end of one run of a job.

    Parameters
    ----------
    failed_worker_ids : tuple of str
        Workers whose members failed.
    checkpointed : bool
        Whether the work done is kept.
    """

    job_id: str
    end: JobEnd
    failed_worker_ids: tuple[str, ...] = ()
    checkpointed: bool = False


Decision = StartJob | StopJob


class SchedulingPolicy(Protocol):
    """Pure decisions over typed state; time is always given.

    The caller carries out what ``decide`` returns: a ``StartJob`` is
    final and occupies its workers at once until ``ended`` is called;
    a ``StopJob`` is followed by ``ended`` with ``JobEnd.STOPPED``,
    after which the job is queued again in its old place.
    """

    def set_organisations(
        self, organisations: Iterable[Organisation], now_s: float
    ) -> None:
        """Replace all organisations.

        Raises
        ------
        GuaranteeRefusedError
            If a new or grown guarantee has no witness placement.
        """
        ...

    def add_worker(self, worker: Worker, now_s: float) -> None:
        """Add a worker, or put one back that was removed."""
        ...

    def remove_worker(self, worker_id: str, now_s: float) -> tuple[str, ...]:
        """Remove a worker and return the jobs that had members on it."""
        ...

    def submit(self, job: JobSpec, now_s: float) -> None:
        """Queue a job.

        Raises
        ------
        ImpossibleJobError
            If it can never run on what is configured.
        """
        ...

    def restore(self, job: JobSpec, now_s: float) -> None:
        """Queue a job that was accepted before, without checks."""
        ...

    def restore_organisations(
        self, organisations: Iterable[Organisation], now_s: float
    ) -> None:
        """Replace all organisations by ones that were accepted before."""
        ...

    def adopt(self, job: JobSpec, assignment: Assignment) -> None:
        """Take over a job that runs already, after a takeover."""
        ...

    def cancel(self, job_id: str, now_s: float) -> bool:
        """Forget a queued job; return False if it is not queued."""
        ...

    def ended(self, run_end: RunEnd, now_s: float) -> None:
        """Free a run's resources; requeue the job if it is not final."""
        ...

    def decide(self, now_s: float) -> list[Decision]:
        """Return the decisions to carry out now."""
        ...

    def why(self, job_id: str, now_s: float) -> WaitReason | None:
        """Return why a queued job waits, or None if it is not queued."""
        ...

    def risks(self) -> tuple[GuaranteeAtRisk, ...]:
        """Return the guarantees that have no placement at present."""
        ...

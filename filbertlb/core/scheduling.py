"""Interface of the scheduling policies."""

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
    """Why a job is still queued."""

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
    """Start a job on the assigned workers."""

    assignment: Assignment


@attrs.frozen
class StopJob:
    """Stop a running job to free its resources.

    Parameters
    ----------
    within_s : float
        Bound on the time until the resources are free, in seconds.
    for_job_id : str
        Job that is to use the resources; empty if there is none.
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
    """Report on the end of one run of a job.

    Parameters
    ----------
    failed_worker_ids : tuple of str
        Workers whose members failed.
    checkpointed : bool
        Whether a checkpoint of the run was kept.
    """

    job_id: str
    end: JobEnd
    failed_worker_ids: tuple[str, ...] = ()
    checkpointed: bool = False


Decision = StartJob | StopJob


class SchedulingPolicy(Protocol):
    """Scheduling policy without input, output or a clock of its own.

    The caller passes the current time to each call and carries out the
    decisions that ``decide`` returns. A ``StartJob`` is final and
    occupies its workers at once, until ``ended`` is called. A
    ``StopJob`` is followed by ``ended`` with ``JobEnd.STOPPED``, which
    requeues the job at its previous position.
    """

    def set_organisations(
        self, organisations: Iterable[Organisation], now_s: float
    ) -> None:
        """Replace all organisations.

        Raises
        ------
        GuaranteeRefusedError
            If a new or larger guarantee has no placement in the guarantee
            packing.
        """
        ...

    def add_worker(self, worker: Worker, now_s: float) -> None:
        """Add a worker, or restore one that was removed."""
        ...

    def remove_worker(self, worker_id: str, now_s: float) -> tuple[str, ...]:
        """Remove a worker and return the jobs that had members on it."""
        ...

    def submit(self, job: JobSpec, now_s: float) -> None:
        """Queue a job.

        Raises
        ------
        ImpossibleJobError
            If the job can never fit on the configured workers.
        """
        ...

    def restore(self, job: JobSpec, now_s: float) -> None:
        """Queue a job that was accepted before, without checking it."""
        ...

    def restore_organisations(
        self, organisations: Iterable[Organisation], now_s: float
    ) -> None:
        """Replace all organisations by ones that were accepted before."""
        ...

    def adopt(self, job: JobSpec, assignment: Assignment) -> None:
        """Register a job that already runs, after a failover."""
        ...

    def cancel(self, job_id: str, now_s: float) -> bool:
        """Remove a job from the queue; return False if it is not queued."""
        ...

    def ended(self, run_end: RunEnd, now_s: float) -> None:
        """Free a run's resources; requeue its job unless the end is final."""
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

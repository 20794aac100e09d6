"""Job service for callers: submit, get, wait, cancel and list."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import attrs
from gevent import Timeout
from gevent.event import Event

from filbertlb.core.job_record import JobRecord
from filbertlb.core.job_transitions import cancelled
from filbertlb.core.model import JobClass
from filbertlb.core.model import JobSpec
from filbertlb.core.model import Shape
from filbertlb.entry.job_table import OpenJob
from filbertlb.errors import ConflictError
from filbertlb.errors import NotFoundError
from filbertlb.errors import Ran
from filbertlb.errors import UnavailableError
from filbertlb.messages import JobHint
from filbertlb.table.base import RowConflictError
from filbertlb.table.base import TableUnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable

    from filbertlb.core.clock import Clock
    from filbertlb.entry.job_table import JobTable

JOB_ID_DIGITS = 24
POLL_PERIOD_S = 2.0
MAX_LISTED_JOBS = 1000


class KeyReusedError(ConflictError):
    """An idempotency key was used before for another job."""

    code = "key_reused"


class JobNotFoundError(NotFoundError):
    """The organisation has no such job."""

    code = "job_not_found"


class JobNotAcceptedError(UnavailableError):
    """The submission was not accepted and starts nothing itself.

    Whether the job runs is unknown, since an earlier submission under
    the same key may have been accepted.
    """

    code = "job_not_accepted"
    default_ran = Ran.UNKNOWN


@attrs.frozen
class JobRequest:
    """A caller's description of a job.

    Parameters
    ----------
    shape : Shape
        Number of members, the resources of each and their adjacency.
    job_class : JobClass
        ``urgent``, ``preview``, ``archival`` or ``gang``.
    idempotent : bool
        Whether the job may safely be executed more than once.
    checkpointable : bool
        Whether its tasks can be checkpointed.
    declared_run_s : float
        The caller's estimate of the run time in seconds.
    guarantee_id : str, optional
        Guarantee from which the job claims one shape.
    command : str
        Work description passed to the workers.
    """

    shape: Shape = Shape()
    job_class: JobClass = JobClass.ARCHIVAL
    idempotent: bool = True
    checkpointable: bool = False
    declared_run_s: float = 0.0
    guarantee_id: str | None = None
    command: str = ""


class JobService:
    """Accepts, looks up and cancels jobs for callers.

    Parameters
    ----------
    jobs : JobTable
        Access to the job rows.
    admit : callable
        Returns the job with its scope set; raises if it can never run.
    broadcast_hint : callable
        Notifies all entries that a job's row has changed.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        jobs: JobTable,
        admit: Callable[[JobSpec], JobSpec],
        broadcast_hint: Callable[[JobHint], None],
        clock: Clock,
    ) -> None:
        self._jobs = jobs
        self._admit = admit
        self._broadcast_hint = broadcast_hint
        self._clock = clock
        self._event_by_job_id: dict[str, Event] = {}

    def submit(
        self, organisation_id: str, key: str, request: JobRequest
    ) -> JobRecord:
        """Store a job durably; the same key always returns the same job.

        Raises
        ------
        KeyReusedError
            If the key was used before for a different job.
        ImpossibleJobError
            If the job can never run on the configured capacity.
        JobNotAcceptedError
            If the table service was unavailable; this submission starts
            no run.
        WriteOutcomeUnknownError
            If the job may have been stored; submit it again under the
            same key.
        """
        spec = self._admit(
            _make_spec(organisation_id, key, request, self._clock.wall())
        )
        record = JobRecord(spec)
        try:
            self._jobs.create(record)
        except RowConflictError:
            return self._existing_job(spec)
        except TableUnavailableError as error:
            raise JobNotAcceptedError(
                f"this submission was not accepted and starts no run: "
                f"{error.message}; submit it again with the same key",
                retry_after_s=POLL_PERIOD_S,
            ) from error
        self._broadcast_hint(JobHint(organisation_id, spec.job_id))
        return record

    def get(self, organisation_id: str, job_id: str) -> JobRecord:
        """Return a job as stored in its row.

        Raises
        ------
        JobNotFoundError
            If the organisation has no such job.
        """
        record = self._jobs.get(organisation_id, job_id)
        if record is None:
            raise JobNotFoundError(
                f"organisation {organisation_id!r} has no job {job_id!r}"
            )
        return record

    def wait(
        self, organisation_id: str, job_id: str, within_s: float
    ) -> JobRecord:
        """Return a job once it is final or ``within_s`` has passed."""
        deadline_s = self._clock.monotonic() + within_s
        while True:
            event = self._event_by_job_id.setdefault(job_id, Event())
            record = self.get(organisation_id, job_id)
            remaining_s = deadline_s - self._clock.monotonic()
            if record.is_final or remaining_s <= 0:
                return record
            with Timeout(min(remaining_s, POLL_PERIOD_S), False):
                event.wait()

    def cancel(self, organisation_id: str, job_id: str) -> JobRecord:
        """Request the cancellation of a job and return its new state.

        A queued job is cancelled at once and does not run. A running job
        is stopped; its state shows when it has stopped.
        """
        current = self.get(organisation_id, job_id)
        job = OpenJob(organisation_id, job_id)
        record = self._jobs.update(job, cancelled)
        self._broadcast_hint(JobHint(organisation_id, job_id))
        return record or current

    def list(self, organisation_id: str) -> list[JobRecord]:
        """Return at most ``MAX_LISTED_JOBS`` jobs of an organisation."""
        return self._jobs.organisation_jobs(organisation_id, MAX_LISTED_JOBS)

    def notify_waiters(self, hint: JobHint) -> None:
        """Wake the callers that wait for the job named in a hint."""
        event = self._event_by_job_id.pop(hint.job_id, None)
        if event is not None:
            event.set()

    def _existing_job(self, spec: JobSpec) -> JobRecord:
        record = self.get(spec.organisation_id, spec.job_id)
        expected = attrs.evolve(
            spec, submitted_at_s=record.spec.submitted_at_s
        )
        if record.spec != expected:
            raise KeyReusedError(
                "the idempotency key belongs to another job; use a new key",
                ran=Ran.NO,
            )
        return record


def _make_spec(
    organisation_id: str, key: str, request: JobRequest, now_s: float
) -> JobSpec:
    return JobSpec(
        job_id=_derive_job_id(organisation_id, key),
        organisation_id=organisation_id,
        shape=request.shape,
        job_class=request.job_class,
        idempotent=request.idempotent,
        checkpointable=request.checkpointable,
        declared_run_s=request.declared_run_s,
        submitted_at_s=now_s,
        guarantee_id=request.guarantee_id,
        command=request.command,
    )


def _derive_job_id(organisation_id: str, key: str) -> str:
    """Derive the job ID from the key, so that all entries agree on it."""
    digest = hashlib.sha256(f"{organisation_id}/{key}".encode())
    return digest.hexdigest()[:JOB_ID_DIGITS]

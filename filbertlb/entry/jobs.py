"""Jobs as callers see them: submit, look up, wait, cancel and list."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import attrs
from gevent import Timeout
from gevent.event import Event

from filbertlb.core.job_record import cancelled
from filbertlb.core.job_record import JobRecord
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
LIST_LIMIT = 1000


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
    """What a caller says about a job.

    Parameters
    ----------
    shape : Shape
        Members, what each needs and how near they must be.
    job_class : JobClass
        ``urgent``, ``preview``, ``archival`` or ``gang``.
    idempotent : bool
        Whether a second execution does no harm.
    checkpointable : bool
        Whether its tasks can be checkpointed.
    declared_run_s : float
        The caller's estimate in seconds.
    guarantee_id : str, optional
        Claims one shape of this guarantee.
    command : str
        Passed to the workers.
    """

    shape: Shape = Shape()
    job_class: JobClass = JobClass.ARCHIVAL
    idempotent: bool = True
    checkpointable: bool = False
    declared_run_s: float = 0.0
    guarantee_id: str | None = None
    command: str = ""


class JobService:
    """What entries do for the callers of jobs.

    Parameters
    ----------
    jobs : JobTable
        The rows.
    admit : callable
        Returns a job with its scope, or refuses what can never run.
    announce : callable
        Tells all entries that a job's row has changed.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        jobs: JobTable,
        admit: Callable[[JobSpec], JobSpec],
        announce: Callable[[JobHint], None],
        clock: Clock,
    ) -> None:
        self._jobs = jobs
        self._admit = admit
        self._announce = announce
        self._clock = clock
        self._event_by_job: dict[str, Event] = {}

    def submit(
        self, organisation_id: str, key: str, request: JobRequest
    ) -> JobRecord:
        """Accept a job durably; the same key meets the same job.

        Raises
        ------
        KeyReusedError
            If the key stands for another job.
        ImpossibleJobError
            If it can never run on what is configured.
        JobNotAcceptedError
            If the table service refused; this submission starts nothing.
        WriteOutcomeUnknownError
            If it may exist; ask again under the same key.
        """
        spec = self._admit(
            _spec(organisation_id, key, request, self._clock.wall())
        )
        record = JobRecord(spec)
        try:
            self._jobs.create(record)
        except RowConflictError:
            return self._existing(spec)
        except TableUnavailableError as error:
            raise JobNotAcceptedError(
                f"this submission was not accepted and starts nothing: "
                f"{error.message}; send it again under its key",
                retry_after_s=POLL_PERIOD_S,
            ) from error
        self._announce(JobHint(organisation_id, spec.job_id))
        return record

    def get(self, organisation_id: str, job_id: str) -> JobRecord:
        """Return a job as its row holds it.

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
        """Return a job once it is final, or as it is after a time."""
        until_s = self._clock.monotonic() + within_s
        while True:
            event = self._event_by_job.setdefault(job_id, Event())
            record = self.get(organisation_id, job_id)
            left_s = until_s - self._clock.monotonic()
            if record.is_final or left_s <= 0:
                return record
            with Timeout(min(left_s, POLL_PERIOD_S), False):
                event.wait()

    def cancel(self, organisation_id: str, job_id: str) -> JobRecord:
        """Give a job up and return it as it now stands.

        A queued job is cancelled at once and has not run; one that runs
        is stopped, and its state tells when it is.
        """
        known = self.get(organisation_id, job_id)
        job = OpenJob(organisation_id, job_id)
        record = self._jobs.update(job, cancelled)
        self._announce(JobHint(organisation_id, job_id))
        return record or known

    def list(self, organisation_id: str) -> list[JobRecord]:
        """Return the organisation's jobs."""
        return self._jobs.organisation_jobs(organisation_id, LIST_LIMIT)

    def notify_waiters(self, hint: JobHint) -> None:
        """Wake those who wait for a job."""
        event = self._event_by_job.pop(hint.job_id, None)
        if event is not None:
            event.set()

    def _existing(self, spec: JobSpec) -> JobRecord:
        record = self.get(spec.organisation_id, spec.job_id)
        same = attrs.evolve(spec, submitted_at_s=record.spec.submitted_at_s)
        if record.spec != same:
            raise KeyReusedError(
                "the idempotency key stands for another job; use a new key",
                ran=Ran.NO,
            )
        return record


def _spec(
    organisation_id: str, key: str, request: JobRequest, now_s: float
) -> JobSpec:
    return JobSpec(
        job_id=_job_id(organisation_id, key),
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


def _job_id(organisation_id: str, key: str) -> str:
    """Return the same job id for the same key, through every entry."""
    digest = hashlib.sha256(f"{organisation_id}/{key}".encode())
    return digest.hexdigest()[:JOB_ID_DIGITS]

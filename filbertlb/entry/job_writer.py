"""Reads and writes job rows for the decider without blocking it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gevent import sleep
from gevent.pool import Pool
from loguru import logger

from filbertlb.core import job_transitions
from filbertlb.core.gang_plan import WriteStatus
from filbertlb.core.job_record import AttemptReplacedError
from filbertlb.core.job_record import JobStateError
from filbertlb.core.lease import NotHolderError
from filbertlb.core.refusals import StaleEpochError
from filbertlb.entry.events import DecisionWritten
from filbertlb.entry.events import JobRead
from filbertlb.entry.events import JobsLoaded
from filbertlb.entry.events import MemberChecked
from filbertlb.entry.events import OutcomeWritten
from filbertlb.entry.job_table import OpenJob
from filbertlb.errors import ConflictError
from filbertlb.errors import FilbertlbError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from filbertlb.core.gang_plan import GangOutcome
    from filbertlb.core.gang_plan import GangPlan
    from filbertlb.core.job_record import JobRecord
    from filbertlb.entry.job_table import JobTable
    from filbertlb.messages import TaskStatus
    from filbertlb.table.base import Write
    from filbertlb.table.commit import Proof
    from filbertlb.table.lease import LeaseManager
    from filbertlb.tasks import Mailbox

WRITE_CONCURRENCY = 16
READ_CONCURRENCY = 32
RETRY_PERIOD_S = 0.5
NON_RETRYABLE_ERRORS = (
    AttemptReplacedError,
    JobStateError,
    NotHolderError,
    StaleEpochError,
)


class JobWriter:
    """Reads and writes job rows in greenlet pools.

    Every write is committed under the lease of the scope, in the epoch in
    which it was decided. Results are posted to the decider's mailbox.

    Parameters
    ----------
    jobs : JobTable
        Access to the job rows.
    keeper : LeaseKeeper
        Commits under the lease of the scope.
    scope : str
        The decider's scope.
    mailbox : Mailbox
        The decider's mailbox; receives the results.
    """

    def __init__(
        self,
        jobs: JobTable,
        keeper: LeaseManager,
        scope: str,
        mailbox: Mailbox,
    ) -> None:
        self._jobs = jobs
        self._keeper = keeper
        self._scope = scope
        self._mailbox = mailbox
        self._write_pool = Pool(WRITE_CONCURRENCY)
        self._read_pool = Pool(READ_CONCURRENCY)

    def load_open_jobs(self, epoch: int, skip: frozenset[str]) -> None:
        """Read the open jobs of the scope; posts ``JobsLoaded``.

        Parameters
        ----------
        skip : frozenset of str
            IDs of jobs whose rows are not read.
        """
        self._read_pool.spawn(self._load_open_jobs, epoch, skip)

    def read_job(self, job: OpenJob) -> None:
        """Read one job; posts ``JobRead`` if it exists."""
        self._read_pool.spawn(self._read_job, job)

    def check_member(self, address: str, status: TaskStatus) -> None:
        """Read the job of a gang member; posts ``MemberChecked``."""
        self._read_pool.spawn(self._check_member, address, status)

    def write_decision(self, plan: GangPlan) -> None:
        """Record the decision to start; posts ``DecisionWritten``."""
        self._write_pool.spawn(self._write_decision, plan)

    def write_started(self, plan: GangPlan) -> None:
        """Record that every member of a gang runs; posts nothing."""

        def transition(record: JobRecord) -> JobRecord:
            return job_transitions.started(record, plan)

        self._write_pool.spawn(self._update_with_retry, plan, transition)

    def write_stopping(self, plan: GangPlan) -> None:
        """Record that a gang is being stopped; posts nothing."""

        def transition(record: JobRecord) -> JobRecord:
            return job_transitions.stopping(record, plan)

        self._write_pool.spawn(self._update_with_retry, plan, transition)

    def write_outcome(
        self, plan: GangPlan, outcome: GangOutcome, max_failures: int
    ) -> None:
        """Record the outcome of an attempt; posts ``OutcomeWritten``."""
        self._write_pool.spawn(
            self._write_outcome, plan, outcome, max_failures
        )

    def _load_open_jobs(self, epoch: int, skip: frozenset[str]) -> None:
        while self._holds_lease():
            try:
                references = [
                    job
                    for job in self._jobs.open_jobs(self._scope)
                    if job.job_id not in skip
                ]
                found = self._read_jobs(references)
            except FilbertlbError as error:
                logger.warning(
                    "failed to read open jobs, retrying: {}", error.message
                )
                sleep(RETRY_PERIOD_S)
                continue
            self._mailbox.post(JobsLoaded(epoch, tuple(found)))
            return

    def _read_jobs(self, references: list[OpenJob]) -> list[JobRecord]:
        pool = Pool(READ_CONCURRENCY)
        found = pool.map(self._get_job, references)
        return [job for job in found if job is not None]

    def _get_job(self, job: OpenJob) -> JobRecord | None:
        return self._jobs.get(job.organisation_id, job.job_id)

    def _read_job(self, job: OpenJob) -> None:
        try:
            found = self._get_job(job)
        except FilbertlbError as error:
            # The decider's periodic rescan reads the job later.
            logger.warning("failed to read job: {}", error.message)
            return
        if found is not None:
            self._mailbox.post(JobRead(found))

    def _check_member(self, address: str, status: TaskStatus) -> None:
        job = OpenJob(status.organisation_id, status.job_id)
        try:
            found = self._get_job(job)
        except FilbertlbError as error:
            # The check is repeated when the member is announced again.
            logger.warning(
                "failed to read the job of a gang member: {}", error.message
            )
            return
        self._mailbox.post(MemberChecked(address, status, found))

    def _write_decision(self, plan: GangPlan) -> None:
        def transition(record: JobRecord) -> JobRecord:
            return job_transitions.decided(record, plan)

        try:
            found = self._update(plan, transition)
            written = WriteStatus.CONFLICT if found is None else WriteStatus.OK
        except ConflictError:
            written = WriteStatus.CONFLICT
        except FilbertlbError as error:
            logger.warning(
                "outcome of the decision write is unknown: {}", error.message
            )
            written = WriteStatus.UNKNOWN
        self._mailbox.post(
            DecisionWritten(plan.attempt_id, plan.epoch, written)
        )

    def _write_outcome(
        self, plan: GangPlan, outcome: GangOutcome, max_failures: int
    ) -> None:
        def transition(record: JobRecord) -> JobRecord:
            return job_transitions.closed(
                record, outcome, plan.epoch, max_failures=max_failures
            )

        found = self._update_with_retry(plan, transition)
        self._mailbox.post(OutcomeWritten(plan.attempt_id, plan.epoch, found))

    def _update_with_retry(
        self, plan: GangPlan, transition: Callable[[JobRecord], JobRecord]
    ) -> JobRecord | None:
        """Retry an update until written, superseded or the lease is lost."""
        while self._holds_lease():
            try:
                return self._update(plan, transition)
            except NON_RETRYABLE_ERRORS as error:
                logger.info(
                    "update of job {} dropped: {}", plan.job_id, error.message
                )
                return None
            except FilbertlbError as error:
                logger.warning(
                    "update of job {} failed, retrying: {}",
                    plan.job_id,
                    error.message,
                )
                sleep(RETRY_PERIOD_S)
        return None

    def _update(
        self, plan: GangPlan, transition: Callable[[JobRecord], JobRecord]
    ) -> JobRecord | None:
        def commit(writes: Sequence[Write], proof: Proof) -> None:
            self._keeper.commit(writes, epoch=plan.epoch)

        return self._jobs.update(_job_reference(plan), transition, commit)

    def _holds_lease(self) -> bool:
        return self._keeper.held() is not None


def _job_reference(plan: GangPlan) -> OpenJob:
    return OpenJob(plan.organisation_id, plan.job_id)

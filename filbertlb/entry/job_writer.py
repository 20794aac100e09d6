"""Writes what the decider decides, without making it wait."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gevent import sleep
from gevent.pool import Pool
from loguru import logger

from filbertlb.core import job_record
from filbertlb.core.gang_plan import Written
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
    from typing import Any

    from filbertlb.core.gang_plan import GangOutcome
    from filbertlb.core.gang_plan import GangPlan
    from filbertlb.core.job_record import JobRecord
    from filbertlb.entry.job_table import JobTable
    from filbertlb.messages import TaskStatus
    from filbertlb.table.lease import LeaseManager
    from filbertlb.tasks import Mailbox

WRITERS = 16
READERS = 32
RETRY_PERIOD_S = 0.5
MOVED_ON = (
    AttemptReplacedError,
    JobStateError,
    NotHolderError,
    StaleEpochError,
)


class JobWriter:
    """Carries out the decider's reads and writes in tasks of their own.

    Every write is made under the lease. Results come back as messages
    to the decider's mailbox.

    Parameters
    ----------
    jobs : JobTable
        The rows.
    keeper : LeaseManager
        Commits under the lease of the scope.
    scope : str
        Scope of the decider.
    mailbox : Mailbox
        The decider's mailbox.
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
        self._pool = Pool(WRITERS)
        self._read_pool = Pool(READERS)

    def load(self, epoch: int, known: frozenset[str]) -> None:
        """Read the open jobs; answered by ``JobsLoaded``.

        Parameters
        ----------
        known : frozenset of str
            Jobs that are not to be read.
        """
        self._read_pool.spawn(self._load, epoch, known)

    def read(self, job: OpenJob) -> None:
        """Read one job; answered by ``JobRead``."""
        self._read_pool.spawn(self._read, job)

    def check_member(self, address: str, status: TaskStatus) -> None:
        """Read a member's job; answered by ``MemberChecked``."""
        self._read_pool.spawn(self._check_member, address, status)

    def write_decision(self, plan: GangPlan) -> None:
        """Write a decision; answered by ``DecisionWritten``."""
        self._pool.spawn(self._write_decision, plan)

    def write_started(self, plan: GangPlan) -> None:
        """Write that a gang runs; not answered."""

        def transition(record: JobRecord) -> JobRecord:
            return job_record.started(record, plan)

        self._pool.spawn(self._change_until, _job_of(plan), transition)

    def write_stopping(self, plan: GangPlan) -> None:
        """Write that a gang gives its resources back; not answered."""

        def transition(record: JobRecord) -> JobRecord:
            return job_record.stopping(record, plan)

        self._pool.spawn(self._change_until, _job_of(plan), transition)

    def write_outcome(
        self, plan: GangPlan, outcome: GangOutcome, max_failures: int
    ) -> None:
        """Write how an attempt ended; answered by ``OutcomeWritten``."""
        self._pool.spawn(self._write_outcome, plan, outcome, max_failures)

    def _load(self, epoch: int, known: frozenset[str]) -> None:
        while self._holds():
            try:
                references = [
                    job
                    for job in self._jobs.open_jobs(self._scope)
                    if job.job_id not in known
                ]
                found = self._read_pool_map(references)
            except FilbertlbError as error:
                logger.warning("open jobs can't be read: {}", error.message)
                sleep(RETRY_PERIOD_S)
                continue
            self._mailbox.post(JobsLoaded(epoch, tuple(found)))
            return

    def _read_pool_map(self, references: list[OpenJob]) -> list[JobRecord]:
        pool = Pool(READERS)
        found = pool.map(self._get, references)
        return [job for job in found if job is not None]

    def _get(self, job: OpenJob) -> JobRecord | None:
        return self._jobs.get(job.organisation_id, job.job_id)

    def _read(self, job: OpenJob) -> None:
        try:
            found = self._get(job)
        except FilbertlbError as error:
            # The periodic scan finds the job later.
            logger.warning("job can't be read: {}", error.message)
            return
        if found is not None:
            self._mailbox.post(JobRead(found))

    def _check_member(self, address: str, status: TaskStatus) -> None:
        job = OpenJob(status.organisation_id, status.job_id)
        try:
            found = self._get(job)
        except FilbertlbError as error:
            # The member is announced again.
            logger.warning("member's job not read: {}", error.message)
            return
        self._mailbox.post(MemberChecked(address, status, found))

    def _write_decision(self, plan: GangPlan) -> None:
        def transition(record: JobRecord) -> JobRecord:
            return job_record.decided(record, plan)

        try:
            found = self._change(_job_of(plan), transition)
            written = Written.CONFLICT if found is None else Written.OK
        except ConflictError:
            written = Written.CONFLICT
        except FilbertlbError as error:
            logger.warning("decision not confirmed: {}", error.message)
            written = Written.UNKNOWN
        self._mailbox.post(DecisionWritten(plan.attempt_id, written))

    def _write_outcome(
        self, plan: GangPlan, outcome: GangOutcome, max_failures: int
    ) -> None:
        def transition(record: JobRecord) -> JobRecord:
            return job_record.closed(
                record, outcome, plan.epoch, max_failures=max_failures
            )

        found = self._change_until(_job_of(plan), transition)
        self._mailbox.post(OutcomeWritten(plan.attempt_id, found))

    def _change_until(
        self, job: OpenJob, transition: Callable[[JobRecord], JobRecord]
    ) -> JobRecord | None:
        """Repeat a change until it is written or of no more use."""
        while self._holds():
            try:
                return self._change(job, transition)
            except MOVED_ON as error:
                logger.info("job {} moved on: {}", job.job_id, error.message)
                return None
            except FilbertlbError as error:
                logger.warning("job {}: {}", job.job_id, error.message)
                sleep(RETRY_PERIOD_S)
        return None

    def _change(
        self, job: OpenJob, transition: Callable[[JobRecord], JobRecord]
    ) -> JobRecord | None:
        return self._jobs.change(job, transition, self._commit)

    def _commit(self, writes: Any, proof: Any) -> None:
        self._keeper.commit(writes)

    def _holds(self) -> bool:
        return self._keeper.held() is not None


def _job_of(plan: GangPlan) -> OpenJob:
    return OpenJob(plan.organisation_id, plan.job_id)

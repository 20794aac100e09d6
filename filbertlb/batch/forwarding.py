"""Forwards calls to other entries when the table fails for this entry.

A job is one row that is written conditionally, so two entries that both
try to store it store it once. Forwarded calls are never forwarded again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import attrs
from loguru import logger

from filbertlb.batch.job_check import check_job
from filbertlb.batch.model import Job
from filbertlb.batch.model import JobState
from filbertlb.batch.service import JobUnknownError
from filbertlb.errors import FilbertlbError
from filbertlb.errors import OutcomeUnknownError
from filbertlb.errors import UnavailableError
from filbertlb.table.base import TableUnavailableError
from filbertlb.typedserver import typed

if TYPE_CHECKING:
    from collections.abc import Callable

    from filbertlb.batch.peers import Peers
    from filbertlb.batch.service import JobService
    from filbertlb.table.contact import Contact
    from filbertlb.typedserver import Handler

JOBS_PATH = "/jobs/"
SUBMIT = "submit"
CANCEL = "cancel"
STATE = "state"
NO_EFFECT_ERRORS = (TableUnavailableError, JobUnknownError)
"""Errors by which another entry reports that its call had no effect.

An unknown job is among them because the other entry's read may be older
than what this entry knows of the job.
"""
MAX_ENTRIES_TRIED = 2
FORWARD_TIMEOUT_S = 0.6
"""Timeout of one forwarded call.

Callers usually wait long enough for two of these.
"""

_T = TypeVar("_T")


class NoEntryHelpsError(UnavailableError):
    """The table refused the call here, and so did the other entries."""

    code = "no_entry_helps"


@attrs.frozen
class JobCall:
    """Body of ``POST /jobs/cancel`` and ``POST /jobs/state``."""

    job_id: str


@attrs.frozen
class DoneReply:
    """Answer to ``POST /jobs/submit`` and ``POST /jobs/cancel``."""


@attrs.frozen
class StateReply:
    """Answer to ``POST /jobs/state``."""

    state: JobState


@attrs.define
class JobForwarder:
    """Serves callers also while the table does not answer this entry.

    Parameters
    ----------
    service : JobService
        Serves calls from the table and from this entry's copy of it.
    contact : Contact
        Tells whether the table has answered this entry lately.
    """

    service: JobService
    peers: Peers
    contact: Contact

    def submit(self, job: Job) -> None:
        """Store a job once, through this entry or another one.

        Raises
        ------
        InvalidJobError
            If it cannot be scheduled as it is described.
        UnavailableError
            If it was not stored and will not be.
        OutcomeUnknownError
            If it may have been stored.
        """
        check_job(job)
        self._local_or_forwarded(
            lambda: self.service.submit(job), SUBMIT, job.job_id, job
        )

    def cancel(self, job_id: str) -> None:
        """Cancel a job, through this entry or another one."""
        self._local_or_forwarded(
            lambda: self.service.cancel(job_id),
            CANCEL,
            job_id,
            JobCall(job_id),
        )

    def state(self, job_id: str) -> JobState:
        """Return a job's state.

        While the table does not answer, the state comes from another
        entry, or else from this entry's copy of the table.

        Raises
        ------
        JobUnknownError
            If a read of the table finds no such job.
        """
        if not self.contact.reachable:
            try:
                return self._forward(
                    STATE, job_id, JobCall(job_id), StateReply
                ).state
            except (UnavailableError, OutcomeUnknownError) as error:
                logger.info(
                    "state of job {} comes from this entry's copy: {}",
                    *(job_id, error),
                )
        return self.service.state(job_id)

    def pending(self, queue: str) -> int:
        """Return the number of jobs of a queue that have not started."""
        return self.service.pending(queue)

    def handlers(self) -> dict[str, Handler]:
        """Return the handlers of calls that other entries forward."""

        def submit(job: Job) -> DoneReply:
            self._accept_forwarded(SUBMIT, job.job_id)
            self.service.submit(job)
            return DoneReply()

        def cancel(call: JobCall) -> DoneReply:
            self._accept_forwarded(CANCEL, call.job_id)
            self.service.cancel(call.job_id)
            return DoneReply()

        def state(call: JobCall) -> StateReply:
            self._accept_forwarded(STATE, call.job_id)
            return StateReply(self.service.state(call.job_id))

        return {
            JOBS_PATH + SUBMIT: typed(Job, submit),
            JOBS_PATH + CANCEL: typed(JobCall, cancel),
            JOBS_PATH + STATE: typed(JobCall, state),
        }

    def _accept_forwarded(self, verb: str, job_id: str) -> None:
        self._require_table()
        logger.info("{} of job {} for an entry", verb, job_id)

    def _require_table(self) -> None:
        if not self.contact.reachable:
            raise UnavailableError(
                "the table does not answer this entry in time, last call "
                f"answered was sent {self.contact.age_s:.1f} s ago; try again"
            )

    def _local_or_forwarded(
        self, local: Callable[[], object], verb: str, job_id: str, body: object
    ) -> None:
        """Call locally, and forward the call if that fails."""
        try:
            self._require_table()
            local()
            return
        except (UnavailableError, OutcomeUnknownError) as error:
            failure = error
        try:
            self._forward(verb, job_id, body, DoneReply)
        except UnavailableError as error:
            logger.info(
                "{} of job {} failed here ({}) and there ({})",
                *(verb, job_id, failure, error),
            )
            raise failure from error

    def _forward(
        self, verb: str, job_id: str, body: object, reply_type: type[_T]
    ) -> _T:
        """Forward a call to other entries, one after the other.

        Raises
        ------
        NoEntryHelpsError
            If none of those tried has carried it out or will do so.
        OutcomeUnknownError
            If one of them may have carried it out or may still do so.
        """
        outcome_unknown: OutcomeUnknownError | None = None
        addresses = self.peers.addresses()[:MAX_ENTRIES_TRIED]
        for address in addresses:
            try:
                reply = self.peers.call(
                    address,
                    JOBS_PATH + verb,
                    body,
                    reply_type,
                    FORWARD_TIMEOUT_S,
                    NO_EFFECT_ERRORS,
                )
            except FilbertlbError as error:
                self.peers.mark_failed(address)
                logger.info("entry at {} does not help: {}", address, error)
                if isinstance(error, OutcomeUnknownError):
                    outcome_unknown = error
            else:
                logger.info(
                    "{} of job {} done by the entry at {}",
                    *(verb, job_id, address),
                )
                return reply
        if outcome_unknown is not None:
            raise outcome_unknown
        raise NoEntryHelpsError(
            f"no other entry carried out the call (tried {addresses!r}); "
            "try again"
        )

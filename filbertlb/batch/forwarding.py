"""Entries do for each other what the table refuses one of them.

A job is one conditional row, so two entries that both try to store it
store it once. An entry never hands on what another handed to it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeVar

import attrs
from loguru import logger

from filbertlb.batch.model import Job
from filbertlb.batch.model import JobState
from filbertlb.batch.service import JobUnknownError
from filbertlb.errors import FilbertlbError
from filbertlb.errors import OutcomeUnknownError
from filbertlb.errors import UnavailableError
from filbertlb.table.base import TableUnavailableError
from filbertlb.typedserver import typed

if TYPE_CHECKING:
    from filbertlb.batch.peers import Peers
    from filbertlb.batch.service import JobService
    from filbertlb.typedserver import Handler

JOBS_PATH = "/jobs/"
SUBMIT = "submit"
CANCEL = "cancel"
STATE = "state"
REPORTED = (TableUnavailableError, JobUnknownError)
"""What another entry reports of a job that it did nothing about.

Its read may be behind what this entry knows of the job.
"""
ENTRIES_ASKED = 2
ASK_TIMEOUT_S = 0.6
"""Two of these fit into the time that callers usually wait."""

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
    """Answer to a change that was made."""


@attrs.frozen
class StateReply:
    """Answer to ``POST /jobs/state``."""

    state: JobState


@attrs.define
class JobForwarder:
    """Jobs as callers see them, also while the table is silent here.

    Parameters
    ----------
    service : JobService
        Serves from the table and from this entry's copy of it.
    reachable : callable
        Tells whether the table has answered this entry lately.
    """

    service: JobService
    peers: Peers
    reachable: Callable[[], bool]

    def submit(self, job: Job) -> None:
        """Store a job once, here or by another entry.

        Raises
        ------
        UnavailableError
            If it was not stored and never will be.
        OutcomeUnknownError
            If it may have been stored.
        """
        self._here_or_there(
            lambda: self.service.submit(job), SUBMIT, job.job_id, job
        )

    def cancel(self, job_id: str) -> None:
        """Cancel a job, here or by another entry."""
        self._here_or_there(
            lambda: self.service.cancel(job_id),
            CANCEL,
            job_id,
            JobCall(job_id),
        )

    def state(self, job_id: str) -> JobState:
        """Return a job's state; this entry's own view if none is newer.

        Raises
        ------
        JobUnknownError
            If a fresh read finds no such job.
        """
        if not self.reachable():
            try:
                return self._ask(
                    STATE, job_id, JobCall(job_id), StateReply
                ).state
            except (UnavailableError, OutcomeUnknownError) as error:
                logger.info(
                    "state of job {} is this entry's own view: {}",
                    *(job_id, error),
                )
        return self.service.state(job_id)

    def pending(self, queue: str) -> int:
        """Return the number of a queue's jobs that have not begun."""
        return self.service.pending(queue)

    def handlers(self) -> dict[str, Handler]:
        """Return what serves other entries."""

        def submit(job: Job) -> DoneReply:
            self._serve(SUBMIT, job.job_id)
            self.service.submit(job)
            return DoneReply()

        def cancel(call: JobCall) -> DoneReply:
            self._serve(CANCEL, call.job_id)
            self.service.cancel(call.job_id)
            return DoneReply()

        def state(call: JobCall) -> StateReply:
            self._serve(STATE, call.job_id)
            return StateReply(self.service.state(call.job_id))

        return {
            JOBS_PATH + SUBMIT: typed(Job, submit),
            JOBS_PATH + CANCEL: typed(JobCall, cancel),
            JOBS_PATH + STATE: typed(JobCall, state),
        }

    def _serve(self, verb: str, job_id: str) -> None:
        self._require_table()
        logger.info("{} of job {} for an entry", verb, job_id)

    def _require_table(self) -> None:
        if not self.reachable():
            raise UnavailableError("the table does not answer; try again")

    def _here_or_there(
        self, here: Callable[[], object], verb: str, job_id: str, body: object
    ) -> None:
        """Do something here, or have it done after a failure."""
        try:
            self._require_table()
            here()
            return
        except (UnavailableError, OutcomeUnknownError) as error:
            failure = error
        try:
            self._ask(verb, job_id, body, DoneReply)
        except UnavailableError as error:
            logger.info(
                "{} of job {} failed here ({}) and there ({})",
                *(verb, job_id, failure, error),
            )
            raise failure from error

    def _ask(
        self, verb: str, job_id: str, body: object, reply_type: type[_T]
    ) -> _T:
        """Have another entry do something.

        Raises
        ------
        NoEntryHelpsError
            If none of those asked has done it or ever will.
        OutcomeUnknownError
            If one may have done it or may still do it.
        """
        unclear: OutcomeUnknownError | None = None
        addresses = self.peers.addresses()[:ENTRIES_ASKED]
        for address in addresses:
            try:
                reply = self.peers.call(
                    address,
                    JOBS_PATH + verb,
                    body,
                    reply_type,
                    ASK_TIMEOUT_S,
                    REPORTED,
                )
            except FilbertlbError as error:
                self.peers.mark_failed(address)
                logger.info("entry at {} does not help: {}", address, error)
                if isinstance(error, OutcomeUnknownError):
                    unclear = error
            else:
                logger.info(
                    "{} of job {} done by the entry at {}",
                    *(verb, job_id, address),
                )
                return reply
        if unclear is not None:
            raise unclear
        raise NoEntryHelpsError(f"asked {addresses!r}; try again")

"""Record of a job in the table service.

The stored row is the only source for answers to callers.
"""

from __future__ import annotations

import attrs
from msgspec.json import encode as encode_json

from filbertlb.core.gang_plan import GangMember
from filbertlb.core.model import FINAL_JOB_STATES
from filbertlb.core.model import JobSpec
from filbertlb.core.model import JobState
from filbertlb.decoding import decode_json
from filbertlb.decoding import MalformedDataError
from filbertlb.errors import ConflictError
from filbertlb.errors import InvalidInputError
from filbertlb.errors import Ran
from filbertlb.ranges import Count


class JobStateError(ConflictError):
    """The job's current state does not allow the transition."""

    code = "job_state"


class AttemptReplacedError(ConflictError):
    """The attempt is no longer the current attempt of its job."""

    code = "attempt_replaced"


class MalformedJobRecordError(InvalidInputError):
    """The row does not contain a valid job record."""

    code = "malformed_job_record"
    status = 500


@attrs.frozen
class Attempt:
    """Current attempt of a job.

    Parameters
    ----------
    number : int
        Ordinal of the attempt within the job, from 1.
    members : tuple of GangMember
        Agents by member index, as of the placement decision.
    unresolved : tuple of int
        Indices of members whose outcome is still to be learned while
        the job is ``UNKNOWN``.
    """

    attempt_id: str
    number: Count
    scope: str
    members: tuple[GangMember, ...]
    unresolved: tuple[Count, ...] = ()


@attrs.frozen
class JobRecord:
    """Stored state of a job.

    Parameters
    ----------
    epoch : int
        Highest fencing epoch of a decider that changed the row.
    attempts : int
        Number of attempts that have been scheduled.
    attempt : Attempt, optional
        The attempt in progress or with an unresolved outcome.
    checkpoints : tuple of str
        Checkpoints to resume from, by member index; empty if there are
        none.
    failures : int
        Number of attempts in which a member failed.
    ran : Ran
        Whether any member of any attempt has started.
    not_before_s : float
        Earliest wall time of the next attempt, in seconds.
    cancel_requested : bool
        Whether the caller has requested cancellation.
    """

    spec: JobSpec
    state: JobState = JobState.QUEUED
    epoch: Count = 0
    attempts: Count = 0
    attempt: Attempt | None = None
    checkpoints: tuple[str, ...] = ()
    failures: Count = 0
    ran: Ran = Ran.NO
    code: str = ""
    detail: str = ""
    not_before_s: float = 0.0
    cancel_requested: bool = False

    @property
    def is_final(self) -> bool:
        """Return whether the job is in a final state."""
        return self.state in FINAL_JOB_STATES

    def has_attempt(self, attempt_id: str) -> bool:
        """Return whether the given attempt is the job's current one."""
        return (
            self.attempt is not None and self.attempt.attempt_id == attempt_id
        )


def new_attempt_id(job_id: str, epoch: int, serial: int) -> str:
    """Return an attempt identifier that sorts in order of creation.

    Parameters
    ----------
    epoch : int
        Fencing epoch of the decider in its scope.
    serial : int
        Sequence number of the attempt within the epoch, across all
        jobs.
    """
    return f"{epoch:010d}.{serial:010d}.{job_id}"


def encode(record: JobRecord) -> bytes:
    """Serialise a record as the value of its row."""
    return encode_json(record)


def decode(value: bytes) -> JobRecord:
    """Parse the value of a row.

    Raises
    ------
    MalformedJobRecordError
        If the value is not a valid job record.
    """
    try:
        return decode_json(value, JobRecord)
    except MalformedDataError as error:
        raise MalformedJobRecordError(
            f"row value {value[:60]!r} is not a valid job record: {error}"
        ) from error

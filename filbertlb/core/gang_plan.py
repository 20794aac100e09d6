"""Data types of a gang: one attempt to run all members of a job."""

from __future__ import annotations

from enum import StrEnum

import attrs
from attrs import evolve

from filbertlb.core.model import Resources
from filbertlb.core.scheduling import JobEnd
from filbertlb.errors import Ran
from filbertlb.messages import Abort
from filbertlb.messages import Arm
from filbertlb.messages import Release
from filbertlb.messages import Reserve
from filbertlb.messages import Stop
from filbertlb.messages import TaskEndedAck
from filbertlb.messages import Token

GangCommand = Reserve | Arm | Release | Abort | Stop | TaskEndedAck


class WriteStatus(StrEnum):
    """Status of the conditional write of the decision record."""

    NOT_SENT = "not_sent"
    OK = "ok"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


class GangPhase(StrEnum):
    """Phase of an attempt at its decider."""

    RESERVING = "reserving"
    DECIDING = "deciding"
    ARMING = "arming"
    READY = "ready"
    ABORTING = "aborting"
    RELEASING = "releasing"
    RUNNING = "running"
    STOPPING = "stopping"
    CLOSED = "closed"


@attrs.frozen
class GangMember:
    """Agent of one member and its incarnation."""

    endpoint_id: str
    incarnation: str


@attrs.frozen
class GangPlan:
    """One attempt of a job.

    Parameters
    ----------
    attempt_id : str
        Unique; see :func:`filbertlb.core.job_record.new_attempt_id`.
    scope : str
        Scope of the decider.
    epoch : int
        Fencing epoch of the decider.
    members : tuple of GangMember
        Agents by member index; repeats are allowed.
    needs : Resources
        Resources that each member needs.
    command : str
        Work description passed to the workers.
    checkpoints : tuple of str
        Checkpoints to resume from, by member; empty for none.
    """

    attempt_id: str
    job_id: str
    organisation_id: str
    scope: str
    epoch: int
    members: tuple[GangMember, ...]
    needs: Resources
    command: str = ""
    checkpoints: tuple[str, ...] = ()

    def token(self, member: int) -> Token:
        """Return the token of one member under this epoch."""
        return Token(
            attempt_id=self.attempt_id,
            member=member,
            incarnation=self.members[member].incarnation,
            scope=self.scope,
            epoch=self.epoch,
        )

    def checkpoint(self, member: int) -> str:
        """Return the checkpoint of one member, or an empty string."""
        return self.checkpoints[member] if self.checkpoints else ""

    def at(self, endpoint_id: str) -> tuple[int, ...]:
        """Return the indices of the members on one endpoint."""
        return tuple(
            index
            for index, member in enumerate(self.members)
            if member.endpoint_id == endpoint_id
        )

    def with_incarnation(self, member: int, incarnation: str) -> GangPlan:
        """Return the plan with a new incarnation of a member's agent."""
        members = list(self.members)
        members[member] = evolve(members[member], incarnation=incarnation)
        return evolve(self, members=tuple(members))


@attrs.frozen
class GangTimeouts:
    """Time limits of a gang's start and stop, all in seconds.

    Parameters
    ----------
    hold_s : float
        Time for which an agent keeps a reservation; at least the sum
        of ``reserve_s``, ``decide_s`` and ``barrier_s``.
    arm_hold_s : float
        Time for which an agent keeps a member armed: long enough for
        a successor to take over and release.
    resend_s : float
        Time after which an unanswered command is sent again.
    reserve_s, decide_s, barrier_s, release_s : float
        Longest time for each step before the attempt is aborted.
    abort_s : float
        Longest time for which aborts are resent before a start that
        was never released is closed. Reservations that remain at the
        agents expire.
    stop_within_s : float
        Time that a worker has to stop a member after another member
        failed or was lost.
    """

    hold_s: float = 10.0
    arm_hold_s: float = 30.0
    resend_s: float = 0.25
    reserve_s: float = 3.0
    decide_s: float = 4.0
    barrier_s: float = 3.0
    release_s: float = 3.0
    abort_s: float = 3.0
    stop_within_s: float = 5.0


@attrs.frozen
class Send:
    """Send a command to a member's agent."""

    member: int
    endpoint_id: str
    command: GangCommand


@attrs.frozen
class WriteDecision:
    """Write the decision record if the row's version is unchanged.

    The caller reports the result with ``decision_written``. If the
    answer to the write was lost, the caller reads the row back: the
    result is ``OK`` if the row holds this attempt under this epoch and
    ``CONFLICT`` if it holds anything else. If the version has not
    changed, the same conditional write may be sent again.
    """

    plan: GangPlan


@attrs.frozen
class Started:
    """Every member runs; the job's row can be set to running."""

    plan: GangPlan


@attrs.frozen
class GangOutcome:
    """Result of an attempt.

    Parameters
    ----------
    ran : Ran
        Whether any member started.
    code : str
        Code of the first failure; empty for none.
    failed_members : tuple of int
        Members whose task failed or whose agent refused.
    lost_members : tuple of int
        Members whose result is unknown.
    may_have_succeeded : bool
        Whether every member with a known result succeeded.
    checkpoints : tuple of str
        Checkpoints that this attempt took, by member; empty unless
        every member took one.
    written : WriteStatus
        Whether the row holds the decision to start this attempt.
    is_superseded : bool
        Whether another decider took over; the outcome must then not
        be written.
    """

    attempt_id: str
    end: JobEnd
    ran: Ran
    code: str = ""
    detail: str = ""
    failed_members: tuple[int, ...] = ()
    lost_members: tuple[int, ...] = ()
    may_have_succeeded: bool = False
    checkpoints: tuple[str, ...] = ()
    written: WriteStatus = WriteStatus.NOT_SENT
    is_superseded: bool = False

    @property
    def awaits_lost_members(self) -> bool:
        """Return whether a lost member's result may change the outcome.

        It may prove that no member ran or that all members succeeded.
        """
        is_unclear = self.ran is Ran.UNKNOWN or self.may_have_succeeded
        return bool(self.lost_members) and is_unclear


@attrs.frozen
class Closed:
    """The attempt is over.

    The caller writes the row, then calls ``acknowledge_ends``.
    """

    outcome: GangOutcome


GangEffect = Send | WriteDecision | Started | Closed

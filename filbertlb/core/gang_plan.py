"""Data of one attempt to run the members of a job together."""

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
    """What is known about the conditional write of a decision."""

    NOT_SENT = "not_sent"
    OK = "ok"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


class GangPhase(StrEnum):
    """Where an attempt stands at its decider."""

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
    """Agent of one member, as it was when the attempt began."""

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
        What each member needs.
    command : str
        Work description passed to the workers.
    checkpoints : tuple of str
        Checkpoints to go on from, by member; empty for none.
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
        """Return the members on one endpoint."""
        return tuple(
            index
            for index, member in enumerate(self.members)
            if member.endpoint_id == endpoint_id
        )

    def moved(self, member: int, incarnation: str) -> GangPlan:
        """Return the plan with another incarnation of one agent."""
        members = list(self.members)
        members[member] = evolve(members[member], incarnation=incarnation)
        return evolve(self, members=tuple(members))


@attrs.frozen
class GangTimeouts:
    """Times of the start protocol, all in seconds.

    Parameters
    ----------
    hold_s : float
        Time for which an agent holds; at least the sum of
        ``reserve_s``, ``decide_s`` and ``barrier_s``.
    arm_hold_s : float
        Time for which an agent keeps a member armed: long enough for
        a successor to take over and release.
    resend_s : float
        Time after which an unanswered command is sent again.
    reserve_s, decide_s, barrier_s, release_s : float
        Longest time for each step before the attempt is given up.
    abort_s : float
        Longest time for which aborts are repeated before a start that
        was never released is closed; the holds expire by themselves.
    stop_within_s : float
        Time that a worker has to stop the rest of a broken gang.
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
    """Write the decision record on condition of the row's version.

    The caller answers by ``decision_written``. After a lost answer it
    reads the row back: ``OK`` if the row carries this attempt under
    this epoch, ``CONFLICT`` if it has moved on, and if it has not
    changed, the same conditional write may be sent again.
    """

    plan: GangPlan


@attrs.frozen
class Started:
    """Every member runs; the row may say so."""

    plan: GangPlan


@attrs.frozen
class GangOutcome:
    """How an attempt ended.

    Parameters
    ----------
    ran : Ran
        Whether any member started.
    code : str
        Code of the first failure; empty for none.
    failed_members : tuple of int
        Members whose task failed or whose agent refused.
    lost_members : tuple of int
        Members whose end is not known.
    may_have_succeeded : bool
        Every member whose end is known succeeded.
    checkpoints : tuple of str
        Checkpoints that this attempt took, by member; empty unless
        every member took one.
    written : WriteStatus
        Whether the row carries this attempt.
    is_superseded : bool
        Another decider has the attempt; nothing is to be written.
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
        """Tell whether a lost member's end would change the outcome.

        It may prove that nothing ran, or that all members succeeded.
        """
        is_unclear = self.ran is Ran.UNKNOWN or self.may_have_succeeded
        return bool(self.lost_members) and is_unclear


@attrs.frozen
class Closed:
    """The attempt is over; write the row, then call ``acknowledge_ends``."""

    outcome: GangOutcome


GangEffect = Send | WriteDecision | Started | Closed

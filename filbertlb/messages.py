"""Typed messages between the system's own processes.

``MESSAGE_VERSION`` changes when a message changes so that an older
process would misread it.
"""

from __future__ import annotations

from enum import StrEnum

import attrs

from filbertlb.core.model import Resources
from filbertlb.errors import Ran
from filbertlb.ranges import Count

MESSAGE_VERSION = 1


class Role(StrEnum):
    """What kind of endpoint an agent stands beside."""

    RUNNER = "runner"
    WORKER = "worker"


class StopMode(StrEnum):
    """How a running task is to give up its resources."""

    CHECKPOINT = "checkpoint"
    STOP = "stop"
    CANCEL = "cancel"


class TaskPhase(StrEnum):
    """Where a member stands at its agent."""

    HELD = "held"
    ARMED = "armed"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"


@attrs.frozen
class Token:
    """Right to start one member or request once.

    Parameters
    ----------
    attempt_id : str
        Attempt of a job or request; unique.
    member : int
        Member index; 0 for requests.
    incarnation : str
        Incarnation of the agent for which the token was issued.
    scope : str
        Scope of the decider that issued it; for requests the
        incarnation of the entry that issued it.
    epoch : int
        Fencing epoch of the decider; for requests a serial that grows
        with every token that the entry issues.
    """

    attempt_id: str
    member: Count
    incarnation: str
    scope: str = ""
    epoch: Count = 0


@attrs.frozen
class TaskStatus:
    """One member as its agent knows it."""

    token: Token
    job_id: str
    organisation_id: str
    phase: TaskPhase
    needs: Resources
    detail: str = ""
    checkpoint: str = ""


@attrs.frozen
class Announce:
    """Announcement of an endpoint by its agent.

    Parameters
    ----------
    sequence : int
        Grows with every announcement of an incarnation.
    slots, in_flight : int
        Request slots and those in use; runners only.
    draining : bool
        The endpoint is leaving and takes no new work.
    tasks : tuple of TaskStatus
        Members held, running or ended and not yet acknowledged.
    """

    endpoint_id: str
    incarnation: str
    role: Role
    address: str
    region: str
    failure_domain: str
    rack: str
    sequence: int
    capacity: Resources = Resources()
    slots: int = 0
    in_flight: int = 0
    draining: bool = False
    revision: int = 0
    tasks: tuple[TaskStatus, ...] = ()


@attrs.frozen
class Beat:
    """Announcement of an endpoint that has not changed.

    It stands for the full announcement of sequence ``full`` with the
    values given here; an entry that lacks that one asks for it.
    """

    endpoint_id: str
    incarnation: str
    sequence: int
    full: int
    in_flight: int = 0


@attrs.frozen
class AnnounceAck:
    """Answer to an announcement.

    Parameters
    ----------
    entry_addresses : tuple of str
        Addresses of the live entries.
    period_s : float
        Period at which the agent is to announce, in seconds.
    sequence : int
        Sequence of the announcement or beat that is answered.
    wants_full : bool
        The entry lacks the endpoint's full announcement.
    """

    entry_id: str
    entry_addresses: tuple[str, ...]
    period_s: float
    revision: int = 0
    sequence: int = 0
    wants_full: bool = False


@attrs.frozen
class EntryHello:
    """Heartbeat between entries."""

    entry_id: str
    incarnation: str
    address: str
    failure_domain: str
    revision: int = 0
    draining: bool = False


@attrs.frozen
class JobHint:
    """Tells the decider that a job's row is new or has changed."""

    organisation_id: str
    job_id: str


@attrs.frozen
class Reserve:
    """Asks an agent to hold resources for one member."""

    token: Token
    job_id: str
    organisation_id: str
    needs: Resources
    hold_s: float


@attrs.frozen
class Arm:
    """Asks an agent to keep a held member ready to start at once."""

    token: Token
    hold_s: float
    command: str = ""
    checkpoint: str = ""


@attrs.frozen
class Release:
    """Starts an armed member."""

    token: Token


@attrs.frozen
class Abort:
    """Gives up a held or armed member, or one that never arrived."""

    token: Token


@attrs.frozen
class Stop:
    """Stops a running member."""

    token: Token
    mode: StopMode
    within_s: float


@attrs.frozen
class Done:
    """An agent's positive answer to a command about a member."""

    token: Token
    phase: TaskPhase
    detail: str = ""


@attrs.frozen
class Refused:
    """An agent's refusal: the command had no effect.

    Parameters
    ----------
    code : str
        Code of the error class.
    ran : Ran
        What the agent knows about the work that the token stands for.
    token : Token, optional
        The token that is refused; always given for requests, so that
        a refusal which arrives late is not taken for another one's.
    """

    code: str
    message: str
    ran: Ran = Ran.NO
    token: Token | None = None


@attrs.frozen
class TaskEnded:
    """Reports the end of a member until it is acknowledged."""

    status: TaskStatus


@attrs.frozen
class TaskEndedAck:
    """The end of a member is recorded; the agent may forget it."""

    token: Token


@attrs.frozen
class Invoke:
    """Runs one request on a runner's slot.

    Parameters
    ----------
    within_s : float
        Time that is left before the caller's deadline, in seconds; the
        agent refuses to start later than that on its own clock.
    """

    token: Token
    request_id: str
    organisation_id: str
    path: str
    body: bytes
    within_s: float
    idempotent: bool
    urgent: bool = False


@attrs.frozen
class InvokeResult:
    """A runner's whole answer."""

    token: Token
    request_id: str
    status: int
    body: bytes
    content_type: str = "application/json"


@attrs.frozen
class Drain:
    """Asks an agent to take no new work; it answers with it or Refused.

    Parameters
    ----------
    endpoint_id, incarnation : str
        The endpoint that the operator saw; another one refuses.
    """

    endpoint_id: str
    incarnation: str


@attrs.frozen
class Tombstone:
    """Asks an agent never to start a request token."""

    token: Token


@attrs.frozen
class Tombstoned:
    """Answer to a tombstone: whether the token had started."""

    token: Token
    ran: Ran

"""Events posted to the decider's task."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from filbertlb.core.gang_plan import GangCommand
    from filbertlb.core.gang_plan import WriteStatus
    from filbertlb.core.job_record import JobRecord
    from filbertlb.core.lease import Lease
    from filbertlb.core.site import SiteConfig
    from filbertlb.messages import Announce
    from filbertlb.messages import Done
    from filbertlb.messages import Refused
    from filbertlb.messages import TaskStatus


@attrs.frozen
class LeaseAcquired:
    """The entry has acquired the lease of the scope."""

    lease: Lease


@attrs.frozen
class LeaseLost:
    """The entry no longer holds the lease of the scope."""


@attrs.frozen
class EndpointSeen:
    """An endpoint has announced itself or changed its state."""

    announce: Announce


@attrs.frozen
class EndpointLost:
    """An endpoint was declared dead after missing its beats."""

    announce: Announce


@attrs.frozen
class JobsLoaded:
    """The open jobs of the scope, read under an epoch."""

    epoch: int
    jobs: tuple[JobRecord, ...]


@attrs.frozen
class JobRead:
    """The current record of one job."""

    job: JobRecord


@attrs.frozen
class MemberChecked:
    """The record of a member's job, read after the member was announced.

    Parameters
    ----------
    address : str
        Address of the member's agent.
    job : JobRecord, optional
        None if there is no such job.
    """

    address: str
    status: TaskStatus
    job: JobRecord | None


@attrs.frozen
class CommandAnswered:
    """An agent's reply to one command of a gang."""

    attempt_id: str
    member: int
    command: GangCommand
    reply: Done | Refused


@attrs.frozen
class DecisionWritten:
    """The result of writing a decision record in an epoch."""

    attempt_id: str
    epoch: int
    written: WriteStatus


@attrs.frozen
class OutcomeWritten:
    """The outcome of an attempt was written to its job's row.

    Parameters
    ----------
    epoch : int
        Epoch in which the outcome was decided.
    job : JobRecord, optional
        The written record; None if nothing was written, because the
        row has changed or the lease was lost.
    """

    attempt_id: str
    epoch: int
    job: JobRecord | None


@attrs.frozen
class ConfigChanged:
    """A different configuration has come into force."""

    config: SiteConfig

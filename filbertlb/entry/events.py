"""Messages to the decider's task."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from filbertlb.core.gang_plan import GangCommand
    from filbertlb.core.gang_plan import Written
    from filbertlb.core.job_record import JobRecord
    from filbertlb.core.lease import Lease
    from filbertlb.core.site import SiteConfig
    from filbertlb.messages import Announce
    from filbertlb.messages import Done
    from filbertlb.messages import Refused
    from filbertlb.messages import TaskStatus


@attrs.frozen
class LeaseAcquired:
    """The lease of the scope is held here."""

    lease: Lease


@attrs.frozen
class LeaseLost:
    """The lease of the scope is held here no more."""


@attrs.frozen
class EndpointSeen:
    """A worker's agent has announced itself."""

    announce: Announce


@attrs.frozen
class EndpointLost:
    """A worker's agent has fallen silent."""

    announce: Announce


@attrs.frozen
class JobsLoaded:
    """The open jobs of the scope, read under an epoch."""

    epoch: int
    jobs: tuple[JobRecord, ...]


@attrs.frozen
class JobRead:
    """A job's row as it is now."""

    job: JobRecord


@attrs.frozen
class MemberChecked:
    """The row of a member's job, read after it was announced.

    Parameters
    ----------
    address : str
        Where the member's agent listens.
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
    """What became of a decision record."""

    attempt_id: str
    written: Written


@attrs.frozen
class OutcomeWritten:
    """The row holds how an attempt ended; None if it moved on."""

    attempt_id: str
    job: JobRecord | None


@attrs.frozen
class ConfigChanged:
    """Another configuration is in force."""

    config: SiteConfig

"""Data that placement, routing and the roles share."""

from __future__ import annotations

from enum import StrEnum

import attrs
from attrs.validators import ge


class Adjacency(StrEnum):
    """How near to each other the members of a shape must be."""

    WORKER = "worker"
    RACK = "rack"
    DOMAIN = "domain"


class JobClass(StrEnum):
    """Classes by which waiting and run times are judged and learned."""

    URGENT = "urgent"
    PREVIEW = "preview"
    ARCHIVAL = "archival"
    GANG = "gang"


class JobState(StrEnum):
    """States of a job; ``charts/job.json`` holds the transitions."""

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


FINAL_JOB_STATES = frozenset(
    {JobState.SUCCEEDED, JobState.FAILED, JobState.CANCELLED}
)


@attrs.frozen
class Resources:
    """Amounts of what a worker has or a task needs.

    Parameters
    ----------
    accelerators : int
        Whole accelerators.
    cores : float
        Processor cores.
    memory_gib : float
        Memory in GiB.
    """

    accelerators: int = attrs.field(default=0, validator=ge(0))
    cores: float = attrs.field(default=0.0, validator=ge(0))
    memory_gib: float = attrs.field(default=0.0, validator=ge(0))

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            self.accelerators + other.accelerators,
            self.cores + other.cores,
            self.memory_gib + other.memory_gib,
        )

    def minus(self, other: Resources) -> Resources:
        """Return what is left, each amount at least zero."""
        return Resources(
            max(0, self.accelerators - other.accelerators),
            max(0.0, self.cores - other.cores),
            max(0.0, self.memory_gib - other.memory_gib),
        )

    def times(self, count: int) -> Resources:
        """Return the amounts multiplied by a count."""
        return Resources(
            self.accelerators * count,
            self.cores * count,
            self.memory_gib * count,
        )

    def fits(self, other: Resources) -> bool:
        """Tell whether ``other`` fits into these amounts."""
        return (
            other.accelerators <= self.accelerators
            and other.cores <= self.cores
            and other.memory_gib <= self.memory_gib
        )


@attrs.frozen
class Shape:
    """Members of equal size and how near they must be.

    Parameters
    ----------
    members : int
        Number of members; each member runs on one worker.
    each : Resources
        What one member needs.
    adjacency : Adjacency
        Nearness of all members.
    failure_domain : str, optional
        The only failure domain that will do.
    """

    members: int = attrs.field(default=1, validator=ge(1))
    each: Resources = Resources(accelerators=1)
    adjacency: Adjacency = Adjacency.RACK
    failure_domain: str | None = None

    @property
    def total(self) -> Resources:
        """Return what all members need together."""
        return self.each.times(self.members)


@attrs.frozen
class Guarantee:
    """Shapes that an organisation can claim at any time.

    Parameters
    ----------
    guarantee_id : str
        Unique within the organisation.
    shape : Shape
        The shape that is guaranteed.
    count : int
        How many such shapes may be claimed at once.
    """

    guarantee_id: str
    shape: Shape
    count: int = attrs.field(default=1, validator=ge(1))


@attrs.frozen
class Organisation:
    """A tenant with its guarantees, quota and share.

    Parameters
    ----------
    organisation_id : str
        Name used in tokens, rows and logs.
    guarantees : tuple of Guarantee
        What the organisation can always claim.
    quota_accelerators : int, optional
        Most accelerators in use at once; None is without limit.
    weight : float
        Share of capacity beyond guarantees, relative to others.
    """

    organisation_id: str
    guarantees: tuple[Guarantee, ...] = ()
    quota_accelerators: int | None = None
    weight: float = 1.0


@attrs.frozen
class Worker:
    """A machine with accelerators that runs tasks.

    Parameters
    ----------
    worker_id : str
        Name used in announcements.
    rack : str
        Rack, unique across failure domains.
    failure_domain : str
        Failure domain that holds the rack.
    capacity : Resources
        What the machine has.
    region : str
        Region that holds the failure domain.
    """

    worker_id: str
    rack: str
    failure_domain: str
    capacity: Resources
    region: str = "main"


@attrs.frozen
class JobSpec:
    """What a caller submits.

    Parameters
    ----------
    job_id : str
        Identifier given by the system.
    organisation_id : str
        Organisation that submits.
    shape : Shape
        Members; a job runs whole or not at all.
    job_class : JobClass
        Class for bounds and estimates.
    idempotent : bool
        Whether a second execution does no harm.
    checkpointable : bool
        Whether its tasks can be checkpointed.
    declared_run_s : float
        The caller's own estimate in seconds; never trusted.
    submitted_at_s : float
        Wall time of acceptance in seconds.
    guarantee_id : str, optional
        Claims one shape of this guarantee.
    command : str
        Opaque work description passed to the workers.
    scope : str
        Scope whose decider places the job.
    """

    job_id: str
    organisation_id: str
    shape: Shape = Shape()
    job_class: JobClass = JobClass.ARCHIVAL
    idempotent: bool = True
    checkpointable: bool = False
    declared_run_s: float = 0.0
    submitted_at_s: float = 0.0
    guarantee_id: str | None = None
    command: str = ""
    scope: str = "main"

    @property
    def stoppable(self) -> bool:
        """Tell whether the job may be stopped and run again later."""
        return self.idempotent or self.checkpointable


@attrs.frozen
class Assignment:
    """Workers on which the members of one job run.

    Parameters
    ----------
    job_id : str
        The job.
    worker_ids : tuple of str
        Worker of each member, by member index; repeats are allowed.
    """

    job_id: str
    worker_ids: tuple[str, ...]

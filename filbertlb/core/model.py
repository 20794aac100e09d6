"""Data types shared by placement, routing and the process roles."""

from __future__ import annotations

from enum import StrEnum

import attrs
from attrs.validators import ge

from filbertlb.ranges import Count


class Adjacency(StrEnum):
    """Topology level that all members of a shape must share."""

    WORKER = "worker"
    RACK = "rack"
    DOMAIN = "domain"


class JobClass(StrEnum):
    """Classes by which wait times are bounded and run times estimated."""

    URGENT = "urgent"
    PREVIEW = "preview"
    ARCHIVAL = "archival"
    GANG = "gang"


class JobState(StrEnum):
    """States of a job; ``charts/job.json`` defines the transitions."""

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
    """Resources that a worker has or a task needs.

    Parameters
    ----------
    accelerators : int
        Whole accelerators.
    cores : float
        Processor cores.
    memory_gib : float
        Memory in GiB.
    """

    accelerators: Count = attrs.field(default=0, validator=ge(0))
    cores: float = attrs.field(default=0.0, validator=ge(0))
    memory_gib: float = attrs.field(default=0.0, validator=ge(0))

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            self.accelerators + other.accelerators,
            self.cores + other.cores,
            self.memory_gib + other.memory_gib,
        )

    def minus(self, other: Resources) -> Resources:
        """Return the difference, with negative amounts set to zero."""
        return Resources(
            max(0, self.accelerators - other.accelerators),
            max(0.0, self.cores - other.cores),
            max(0.0, self.memory_gib - other.memory_gib),
        )

    def times(self, count: int) -> Resources:
        """Return each amount multiplied by a count."""
        return Resources(
            self.accelerators * count,
            self.cores * count,
            self.memory_gib * count,
        )

    def fits(self, other: Resources) -> bool:
        """Return whether ``other`` fits into these resources."""
        return (
            other.accelerators <= self.accelerators
            and other.cores <= self.cores
            and other.memory_gib <= self.memory_gib
        )


@attrs.frozen
class Shape:
    """A number of equal members and their topology constraint.

    Parameters
    ----------
    members : int
        Number of members; each member runs on one worker.
    each : Resources
        Resources that one member needs.
    adjacency : Adjacency
        Topology level within which all members must be placed.
    failure_domain : str, optional
        The failure domain in which members must be placed; None allows
        any.
    """

    members: Count = attrs.field(default=1, validator=ge(1))
    each: Resources = Resources(accelerators=1)
    adjacency: Adjacency = Adjacency.RACK
    failure_domain: str | None = None

    @property
    def total(self) -> Resources:
        """Return the resources that all members need together."""
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
        Number of such shapes that may be claimed at once.
    """

    guarantee_id: str
    shape: Shape
    count: int = attrs.field(default=1, validator=ge(1))


@attrs.frozen
class Organisation:
    """A tenant with its guarantees, quota and fair-share weight.

    Parameters
    ----------
    organisation_id : str
        Identifier used in tokens, table rows and logs.
    guarantees : tuple of Guarantee
        Shapes that the organisation can claim at any time.
    quota_accelerators : int, optional
        Maximum number of accelerators in use at once; None is unlimited.
    weight : float
        Fair-share weight for capacity beyond the guarantees.
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
        Identifier used in announcements.
    rack : str
        Name of the rack, unique across failure domains.
    failure_domain : str
        Failure domain that contains the rack.
    capacity : Resources
        Total resources of the machine.
    region : str
        Region that contains the failure domain.
    """

    worker_id: str
    rack: str
    failure_domain: str
    capacity: Resources
    region: str = "main"


@attrs.frozen
class JobSpec:
    """Specification of a job that a caller submitted.

    Parameters
    ----------
    job_id : str
        Identifier assigned on submission.
    organisation_id : str
        Organisation that submitted the job.
    shape : Shape
        Members of the job; they start all together or not at all.
    job_class : JobClass
        Class that selects wait bounds and run-time estimates.
    idempotent : bool
        Whether the job can safely be executed more than once.
    checkpointable : bool
        Whether the tasks of the job can be checkpointed.
    declared_run_s : float
        Run time estimated by the caller, in seconds; not trusted.
    submitted_at_s : float
        Wall-clock time at which the job was accepted, in seconds.
    guarantee_id : str, optional
        Guarantee of which the job claims one shape.
    command : str
        Opaque description of the work, passed on to the workers.
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
        """Return whether the job may be stopped and rerun later."""
        return self.idempotent or self.checkpointable


@attrs.frozen
class Assignment:
    """Workers assigned to the members of one job.

    Parameters
    ----------
    job_id : str
        Identifier of the job.
    worker_ids : tuple of str
        Worker of each member, by member index; a worker may repeat.
    """

    job_id: str
    worker_ids: tuple[str, ...]

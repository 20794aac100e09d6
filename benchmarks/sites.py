"""Clusters, organisations and loads that the measurement runs on."""

from __future__ import annotations

import attrs

from filbertlb.core.model import Adjacency
from filbertlb.core.model import Guarantee
from filbertlb.core.model import JobClass
from filbertlb.core.model import Organisation
from filbertlb.core.model import Resources
from filbertlb.core.model import Shape
from filbertlb.core.model import Worker
from filbertlb.scheduling.config import SchedulerConfig
from filbertlb.scheduling.config import WeightProfile

WORKERS_PER_RACK = 3


@attrs.frozen
class Load:
    """One stream of jobs.

    Parameters
    ----------
    share : float
        Share of the offered accelerator time, or of the offered core
        time where the shapes need no accelerator.
    run_s : tuple of float
        Shortest and longest run time in seconds.
    firm_share, checkpoint_share : float
        Share of jobs that may not be stopped, or can be checkpointed.
    """

    job_class: JobClass
    share: float
    shapes: tuple[Shape, ...]
    run_s: tuple[float, float]
    firm_share: float = 0.0
    checkpoint_share: float = 0.0


@attrs.frozen
class Site:
    """A cluster with its organisations, loads and configuration.

    Parameters
    ----------
    offered : float
        Offered load as a share of the capacity.
    losses_per_worker_day : float
        How often a worker is lost for some minutes.
    claims_per_hour : float
        Claims of each guaranteed shape per hour.
    """

    name: str
    workers: tuple[Worker, ...]
    organisations: tuple[Organisation, ...]
    loads: tuple[Load, ...]
    config: SchedulerConfig
    offered: float
    claims_per_hour: float
    claim_run_s: tuple[float, float]
    hours: float
    losses_per_worker_day: float = 0.3

    @property
    def accelerators(self) -> int:
        """Return the accelerators of all workers."""
        return sum(item.capacity.accelerators for item in self.workers)

    @property
    def cores(self) -> float:
        """Return the cores of all workers."""
        return sum(item.capacity.cores for item in self.workers)


def workers_of(
    domains: tuple[str, ...],
    count: int,
    capacity: Resources,
    regions: int = 1,
) -> tuple[Worker, ...]:
    """Return workers spread evenly over domains, three to a rack."""
    workers = []
    for index in range(count):
        position = index * len(domains) // count
        domain = domains[position]
        first = -(-position * count // len(domains))
        rack = f"{domain}-{(index - first) // WORKERS_PER_RACK}"
        region = f"region-{position * regions // len(domains)}"
        workers.append(Worker(f"w{index}", rack, domain, capacity, region))
    return tuple(workers)


def shape(
    members: int,
    accelerators: int,
    cores: float,
    memory_gib: float,
    adjacency: Adjacency = Adjacency.RACK,
) -> Shape:
    """Return a shape."""
    each = Resources(accelerators, cores, memory_gib)
    return Shape(members, each, adjacency)


def jadran() -> Site:
    """Return Jadran Lens Vault: previews must be quick."""
    domains = ("split-a", "split-b", "zadar-c")
    whole = Guarantee("renders", shape(1, 8, 16, 64), 1)
    half = Guarantee("previews", shape(1, 4, 8, 32), 2)
    return Site(
        "jadran",
        workers_of(domains, 10, Resources(8, 30, 128)),
        (
            Organisation("rental-chain", (whole, half)),
            Organisation("dive-clubs", (half,)),
            Organisation("climbers"),
            Organisation("archive", quota_accelerators=48),
        ),
        (
            Load(JobClass.URGENT, 0.03, (shape(1, 1, 2, 8),), (10, 60)),
            Load(JobClass.PREVIEW, 0.17, (shape(1, 1, 2, 8),), (20, 240)),
            Load(
                JobClass.ARCHIVAL,
                0.35,
                (shape(1, 1, 3, 12), shape(1, 2, 6, 24)),
                (600, 5400),
                0.15,
                0.5,
            ),
            Load(
                JobClass.GANG,
                0.45,
                (shape(2, 4, 8, 32), shape(2, 8, 16, 64)),
                (900, 3600),
                0.0,
                0.6,
            ),
        ),
        SchedulerConfig(starvation_s=5400.0),
        0.7,
        0.4,
        (300, 1800),
        24.0,
    )


def qureshi() -> Site:
    """Return Qureshi Chevre Traders: large runs must not wait."""
    domains = ("chitral", "swat", "mastuj", "gilgit")
    whole = Guarantee("ripeness", shape(1, 8, 64, 128), 1)
    half = Guarantee("payouts", shape(1, 4, 32, 64), 2)
    return Site(
        "qureshi",
        workers_of(domains, 10, Resources(8, 130, 256)),
        (
            Organisation("dairies", (whole,)),
            Organisation("accountants", (half,)),
            Organisation("traders"),
            Organisation("families", (half,), quota_accelerators=56),
        ),
        (
            Load(JobClass.URGENT, 0.03, (shape(1, 1, 4, 8),), (10, 60)),
            Load(JobClass.PREVIEW, 0.22, (shape(1, 1, 8, 16),), (60, 600)),
            Load(
                JobClass.ARCHIVAL,
                0.25,
                (shape(1, 1, 8, 16), shape(1, 2, 16, 32)),
                (600, 3600),
                0.2,
                0.4,
            ),
            Load(
                JobClass.GANG,
                0.5,
                (shape(1, 8, 64, 128), shape(2, 8, 64, 128)),
                (900, 3600),
                0.2,
                0.6,
            ),
        ),
        SchedulerConfig(
            profile=WeightProfile.FRAGMENTATION,
            reserve_after_s=30.0,
            starvation_s=900.0,
        ),
        0.7,
        0.4,
        (300, 1800),
        24.0,
    )


def design(worker_count: int = 750) -> Site:
    """Return the design size, or the same mix on other sizes."""
    domains = tuple(f"domain-{index}" for index in range(7))
    scale = worker_count / 750
    wide = Adjacency.DOMAIN
    large = max(2, round(64 * min(1.0, scale)))
    gang = Guarantee("gang", shape(min(8, large), 1, 4, 16, wide), 1)
    single = Guarantee("single", shape(1, 1, 4, 16), 4)
    count = max(1, round(37 * min(1.0, scale)))
    return Site(
        f"design-{worker_count}",
        workers_of(domains, worker_count, Resources(1, 32, 128), 2),
        tuple(
            Organisation(f"organisation-{index}", (gang, single)[: index % 3])
            for index in range(count)
        ),
        (
            Load(JobClass.URGENT, 0.01, (shape(1, 1, 4, 16),), (30, 300)),
            Load(JobClass.PREVIEW, 0.04, (shape(1, 1, 4, 16),), (300, 1800)),
            Load(
                JobClass.ARCHIVAL,
                0.4,
                (
                    shape(max(2, large // 4), 0, 4, 8, wide),
                    shape(large, 0, 4, 8, wide),
                ),
                (3600, 14400),
                0.1,
                0.5,
            ),
            Load(
                JobClass.GANG,
                0.95,
                (
                    shape(large, 1, 8, 32, wide),
                    shape(max(2, large // 2), 1, 8, 32, wide),
                    shape(max(2, large // 4), 1, 8, 32, wide),
                    shape(3, 1, 8, 32),
                ),
                (3600, 14400),
                0.1,
                0.5,
            ),
        ),
        SchedulerConfig(),
        0.7,
        0.1,
        (1800, 7200),
        24.0,
        0.02,
    )

"""Seeded arrivals and faults, the same for every policy."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import attrs

from filbertlb.core.model import JobClass
from filbertlb.core.model import JobSpec

if TYPE_CHECKING:
    from benchmarks.sites import Load
    from benchmarks.sites import Site
    from filbertlb.core.model import Shape

HOUR_S = 3600.0
BURST_SHARE = 0.4
BURSTS_PER_DAY = 6
BURST_S = 600.0
BAD_JOB_SHARE = 0.005
CANCEL_SHARE = 0.02
CANCEL_AFTER_S = 900.0
LOSS_S = (300.0, 1800.0)
BAD_WORKER_S = 3600.0


@attrs.frozen
class Arrival:
    """A job with what no policy is told.

    Parameters
    ----------
    run_s : float
        Its true run time in seconds.
    bad : bool
        It fails wherever it runs.
    cancel_at_s : float, optional
        When its caller gives up on it if it still waits, in seconds.
    """

    job: JobSpec
    run_s: float
    bad: bool = False
    cancel_at_s: float | None = None


@attrs.frozen
class Fault:
    """A worker that is lost, or that fails all it starts, for a time."""

    worker_id: str
    start_s: float
    end_s: float
    lost: bool


def arrivals_of(site: Site, seed: int) -> list[Arrival]:
    """Return all arrivals of a site, by time."""
    random = Random(f"{site.name}-{seed}")
    bursts = [
        random.uniform(0, site.hours * HOUR_S)
        for _ in range(max(1, round(BURSTS_PER_DAY * site.hours / 24)))
    ]
    arrivals: list[Arrival] = []
    for load in site.loads:
        for item in load.shapes:
            arrivals += _stream(site, load, item, bursts, random)
    arrivals += _claims(site, random)
    arrivals.sort(key=lambda arrival: arrival.job.submitted_at_s)
    return [
        attrs.evolve(
            arrival, job=attrs.evolve(arrival.job, job_id=f"job-{index}")
        )
        for index, arrival in enumerate(arrivals)
    ]


def faults_of(site: Site, seed: int) -> list[Fault]:
    """Return lost workers, and one worker that fails everything."""
    random = Random(f"{site.name}-faults-{seed}")
    horizon_s = site.hours * HOUR_S
    faults = []
    expected = len(site.workers) * site.losses_per_worker_day * site.hours / 24
    for _ in range(max(1, round(expected))):
        start_s = random.uniform(0, horizon_s)
        worker_id = random.choice(site.workers).worker_id
        end_s = start_s + random.uniform(*LOSS_S)
        faults.append(Fault(worker_id, start_s, end_s, True))
    start_s = random.uniform(0.2, 0.6) * horizon_s
    bad = random.choice(site.workers).worker_id
    faults.append(Fault(bad, start_s, start_s + BAD_WORKER_S, False))
    return faults


def _stream(
    site: Site,
    load: Load,
    item: Shape,
    bursts: list[float],
    random: Random,
) -> list[Arrival]:
    mean_run_s = sum(load.run_s) / 2
    total = item.total
    if total.accelerators:
        per_job = total.accelerators * mean_run_s
        capacity = site.accelerators
    else:
        per_job = total.cores * mean_run_s
        capacity = site.cores
    share = site.offered * load.share / len(load.shapes)
    count = round(share * capacity * site.hours * HOUR_S / per_job)
    return [
        _arrival(site, load, item, _time(site, bursts, random), random)
        for _ in range(count)
    ]


def _time(site: Site, bursts: list[float], random: Random) -> float:
    horizon_s = site.hours * HOUR_S
    if random.random() < BURST_SHARE:
        start_s = random.choice(bursts)
        return min(horizon_s, start_s + random.uniform(0, BURST_S))
    return random.uniform(0, horizon_s)


def _arrival(
    site: Site, load: Load, item: Shape, time_s: float, random: Random
) -> Arrival:
    run_s = random.uniform(*load.run_s)
    firm = random.random() < load.firm_share
    checkpoint = not firm and random.random() < load.checkpoint_share
    job = JobSpec(
        "",
        random.choice(site.organisations).organisation_id,
        item,
        load.job_class,
        idempotent=not firm,
        checkpointable=checkpoint,
        declared_run_s=run_s * random.choice((0.1, 1.0, 5.0)),
        submitted_at_s=time_s,
    )
    cancel = random.random() < CANCEL_SHARE
    return Arrival(
        job,
        run_s,
        random.random() < BAD_JOB_SHARE,
        time_s + CANCEL_AFTER_S if cancel else None,
    )


def _claims(site: Site, random: Random) -> list[Arrival]:
    arrivals = []
    for organisation in site.organisations:
        for guarantee in organisation.guarantees:
            rate = site.claims_per_hour * guarantee.count
            for _ in range(round(rate * site.hours)):
                job = JobSpec(
                    "",
                    organisation.organisation_id,
                    guarantee.shape,
                    JobClass.GANG,
                    checkpointable=random.random() < 0.5,
                    submitted_at_s=random.uniform(0, site.hours * HOUR_S),
                    guarantee_id=guarantee.guarantee_id,
                )
                run_s = random.uniform(*site.claim_run_s)
                arrivals.append(Arrival(job, run_s))
    return arrivals

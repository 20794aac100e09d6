"""Figures of one policy on one site, from one or more replays."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import numpy as np

from benchmarks.arrivals import HOUR_S
from filbertlb.core.model import JobClass

if TYPE_CHECKING:
    from collections.abc import Iterable

    from benchmarks.replay import Outcome
    from benchmarks.replayed_job import Job
    from benchmarks.sites import Site

URGENT_BOUND_S = 1.4
LARGE_SHARE_OF_WORKER = 8


@attrs.frozen
class Spread:
    """Quantiles of a list of values."""

    count: int
    mean: float
    p50: float
    p99: float
    most: float

    @classmethod
    def of(cls, values: Iterable[float]) -> Spread | None:
        """Return the quantiles, or None of nothing."""
        array = np.fromiter(values, float)
        if not array.size:
            return None
        return cls(
            int(array.size),
            float(array.mean()),
            float(np.percentile(array, 50)),
            float(np.percentile(array, 99)),
            float(array.max()),
        )


@attrs.frozen
class Figures:
    """What the measurement reports; times are in seconds.

    Parameters
    ----------
    completion_s : Spread
        Submission to the end of all jobs that ended.
    claim_wait_s : Spread, optional
        Wait of claims that found an unclaimed shape not at risk.
    broken_promises : int
        Of these, the ones not started within the bound.
    late_urgent : int
        Urgent jobs within quota that waited longer than the bound.
    late_urgent_at_quota : int
        The same of those whose organisation was at its quota.
    lost_to_stops, lost_to_faults : float
        Share of the accelerator time in use whose work was lost.
    """

    completion_s: Spread | None
    completion_s_by_class: dict[str, Spread | None]
    slowdown: Spread | None
    fragmentation: float
    fragmentation_weighted: float
    large_gang_wait_s: Spread | None
    claim_wait_s: Spread | None
    broken_promises: int
    late_urgent: int
    late_urgent_at_quota: int
    lost_to_stops: float
    lost_to_faults: float
    utilisation: float
    stops: int
    overfull: int
    unfinished: int
    failed: int
    refused: int
    most_tasks: int
    decision_us: Spread | None


def figures_of(site: Site, outcomes: list[Outcome]) -> Figures:
    """Return the figures of replays of one site."""
    jobs = [job for outcome in outcomes for job in outcome.jobs.values()]
    done = [job for job in jobs if job.done_at_s is not None]
    ordinary = [job for job in done if not _spec(job).guarantee_id]
    claims = [
        _wait_s(job)
        for job in jobs
        if _spec(job).guarantee_id and not job.at_risk
    ]
    samples = [item for one in outcomes for item in one.fragmentation]
    free = sum(item[0] for item in samples)
    busy_s = sum(one.busy_s for one in outcomes)
    window_s = len(outcomes) * site.accelerators * site.hours * HOUR_S
    bound_s = site.config.reclaim_within_s
    late = [job for job in ordinary if _is_late(job)]
    return Figures(
        completion_s=Spread.of(_completion_s(job) for job in done),
        completion_s_by_class={
            kind.value: Spread.of(
                _completion_s(job)
                for job in ordinary
                if _spec(job).job_class is kind
            )
            for kind in JobClass
        },
        slowdown=Spread.of(
            _completion_s(job) / job.arrival.run_s for job in done
        ),
        fragmentation=float(np.mean([item[1] for item in samples])),
        fragmentation_weighted=sum(a * b for a, b in samples) / free,
        large_gang_wait_s=Spread.of(
            _wait_s(job) for job in ordinary if _is_large(job)
        ),
        claim_wait_s=Spread.of(claims),
        broken_promises=sum(wait_s > bound_s for wait_s in claims),
        late_urgent=sum(not job.at_quota for job in late),
        late_urgent_at_quota=sum(job.at_quota for job in late),
        lost_to_stops=sum(one.lost_to_stops_s for one in outcomes) / busy_s,
        lost_to_faults=sum(one.lost_to_faults_s for one in outcomes) / busy_s,
        utilisation=sum(one.busy_in_window_s for one in outcomes) / window_s,
        stops=sum(one.stops for one in outcomes),
        overfull=sum(one.overfull for one in outcomes),
        unfinished=len(jobs) - len(done),
        failed=sum(job.failed for job in done),
        refused=sum(one.refused for one in outcomes),
        most_tasks=max(one.most_tasks for one in outcomes),
        decision_us=Spread.of(
            item for one in outcomes for item in one.decision_us
        ),
    )


def _spec(job: Job):
    return job.arrival.job


def _is_late(job: Job) -> bool:
    urgent = _spec(job).job_class is JobClass.URGENT
    return urgent and _wait_s(job) > URGENT_BOUND_S


def _is_large(job: Job) -> bool:
    total = _spec(job).shape.total
    return total.accelerators >= LARGE_SHARE_OF_WORKER


def _completion_s(job: Job) -> float:
    return job.done_at_s - _spec(job).submitted_at_s


def _wait_s(job: Job) -> float:
    if job.first_start_s is None:
        return float("inf") if job.done_at_s is None else 0.0
    return job.first_start_s - _spec(job).submitted_at_s

"""How far the greedy choice is from the best one on small cases.

A case is a small cluster and a list of jobs that all wait at once. The
best choice runs the most accelerators, found by trying every subset of
the jobs in every placement.
"""

from __future__ import annotations

from itertools import combinations_with_replacement
from random import Random

import attrs

from filbertlb.core.model import Adjacency
from filbertlb.core.model import JobSpec
from filbertlb.core.model import Resources
from filbertlb.core.model import Shape
from filbertlb.core.model import Worker
from filbertlb.scheduling.config import SchedulerConfig
from filbertlb.scheduling.config import WeightProfile
from filbertlb.scheduling.first_fit import FirstFitScheduler
from filbertlb.scheduling.guaranteed import GuaranteedScheduler

CASES = 200
WORKERS = 4
WORKERS_PER_RACK = 2
ACCELERATORS = 4
JOBS = 7


@attrs.frozen
class Optimum:
    """Accelerators put to use, as a share of the best choice.

    Parameters
    ----------
    greedy, first_fit : float
        Mean share over all cases.
    greedy_worst : float
        Lowest share of any case.
    greedy_optimal : float
        Share of the cases in which the greedy choice is the best.
    """

    cases: int
    greedy: float
    greedy_worst: float
    greedy_optimal: float
    first_fit: float


def measure_optimum() -> Optimum:
    """Compare on seeded small cases."""
    random = Random(1)
    greedy, baseline = [], []
    for _ in range(CASES):
        jobs = _jobs(random)
        best = _best(jobs)
        config = SchedulerConfig(profile=WeightProfile.FRAGMENTATION)
        greedy.append(_used(GuaranteedScheduler(config), jobs) / best)
        baseline.append(_used(FirstFitScheduler(), jobs) / best)
    return Optimum(
        CASES,
        sum(greedy) / CASES,
        min(greedy),
        sum(share == 1.0 for share in greedy) / CASES,
        sum(baseline) / CASES,
    )


def _jobs(random: Random) -> list[JobSpec]:
    jobs = []
    for index in range(JOBS):
        each = Resources(accelerators=random.choice((1, 1, 2, 3, 4)))
        members = random.choice((1, 1, 2))
        adjacency = random.choice((Adjacency.RACK, Adjacency.DOMAIN))
        item = Shape(members, each, adjacency)
        jobs.append(JobSpec(f"job-{index}", "a", item))
    return jobs


def _used(
    policy: GuaranteedScheduler | FirstFitScheduler, jobs: list[JobSpec]
) -> int:
    for index in range(WORKERS):
        rack = f"rack-{index // WORKERS_PER_RACK}"
        capacity = Resources(ACCELERATORS)
        policy.add_worker(Worker(f"w{index}", rack, "d", capacity), 0.0)
    by_id = {job.job_id: job for job in jobs}
    for job in jobs:
        policy.submit(job, 0.0)
    return sum(
        by_id[decision.assignment.job_id].shape.total.accelerators
        for decision in policy.decide(0.0)
    )


def _best(jobs: list[JobSpec]) -> int:
    """Return the most accelerators that any choice puts to use."""
    seen: dict[tuple[int, tuple[int, ...]], int] = {}

    def search(index: int, free: tuple[int, ...]) -> int:
        if index == len(jobs) or not any(free):
            return 0
        key = (index, free)
        if key not in seen:
            best = search(index + 1, free)
            shape = jobs[index].shape
            for after in _placements(shape, free):
                used = shape.total.accelerators + search(index + 1, after)
                best = max(best, used)
            seen[key] = best
        return seen[key]

    return search(0, (ACCELERATORS,) * WORKERS)


def _placements(shape: Shape, free: tuple[int, ...]):
    workers = range(len(free))
    for chosen in combinations_with_replacement(workers, shape.members):
        racks = {index // WORKERS_PER_RACK for index in chosen}
        if shape.adjacency is Adjacency.RACK and len(racks) > 1:
            continue
        after = list(free)
        for index in chosen:
            after[index] -= shape.each.accelerators
        if min(after) >= 0:
            yield tuple(after)

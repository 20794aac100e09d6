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
from filbertlb.core.model import Guarantee
from filbertlb.core.model import JobSpec
from filbertlb.core.model import Organisation
from filbertlb.core.model import Resources
from filbertlb.core.model import Shape
from filbertlb.core.model import Worker
from filbertlb.core.scheduling import GuaranteeRefusedError
from filbertlb.scheduling.config import SchedulerConfig
from filbertlb.scheduling.config import WeightProfile
from filbertlb.scheduling.first_fit import FirstFitScheduler
from filbertlb.scheduling.guaranteed import GuaranteedScheduler

CASES = 200
WORKERS = 4
WORKERS_PER_RACK = 2
ACCELERATORS = 4
CAPACITY = WORKERS * ACCELERATORS
JOBS = 7
REFUSAL_CASES = 1500


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


@attrs.frozen
class Refusals:
    """Guarantees refused, and of these the ones that would have fitted."""

    cases: int
    refused: int
    wrongly: int


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


def measure_refusals() -> Refusals:
    """Compare refused guarantees with what could be packed."""
    random = Random(1)
    cases = refused = wrong = 0
    while cases < REFUSAL_CASES:
        shapes = [job.shape for job in _jobs(random)][: random.randint(2, 6)]
        if sum(item.total.accelerators for item in shapes) > CAPACITY:
            continue
        cases += 1
        accepted = _is_accepted(shapes)
        possible = _can_pack(shapes, (ACCELERATORS,) * WORKERS)
        refused += not accepted
        wrong += possible and not accepted
    return Refusals(cases, refused, wrong)


def _is_accepted(shapes: list[Shape]) -> bool:
    policy = GuaranteedScheduler()
    _add_workers(policy)
    guarantees = tuple(
        Guarantee(f"guarantee-{index}", item)
        for index, item in enumerate(shapes)
    )
    try:
        policy.set_organisations([Organisation("a", guarantees)], 0.0)
    except GuaranteeRefusedError:
        return False
    return True


def _can_pack(shapes: list[Shape], free: tuple[int, ...]) -> bool:
    return not shapes or any(
        _can_pack(shapes[1:], after) for after in _placements(shapes[0], free)
    )


def _add_workers(policy: GuaranteedScheduler | FirstFitScheduler) -> None:
    for index in range(WORKERS):
        rack = f"rack-{index // WORKERS_PER_RACK}"
        capacity = Resources(ACCELERATORS)
        policy.add_worker(Worker(f"w{index}", rack, "d", capacity), 0.0)


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
    _add_workers(policy)
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

"""Share of free accelerators that cannot serve the shapes in demand."""

from __future__ import annotations

from collections import Counter
from functools import cache
from typing import TYPE_CHECKING

from filbertlb.core.amounts import copies
from filbertlb.core.amounts import minus
from filbertlb.core.amounts import needed
from filbertlb.core.amounts import offered
from filbertlb.core.amounts import times
from filbertlb.core.model import Adjacency

if TYPE_CHECKING:
    from collections.abc import Iterable

    from benchmarks.replayed_job import Job
    from benchmarks.sites import Site
    from filbertlb.core.amounts import Amount
    from filbertlb.core.model import Shape


def fragmentation(
    site: Site, running: Iterable[Job], lost: set[str]
) -> tuple[int, float] | None:
    """Return free accelerators and the share, weighted by demand.

    None where nothing is free.
    """
    free = {
        worker.worker_id: offered(worker.capacity)
        for worker in site.workers
        if worker.worker_id not in lost
    }
    for job in running:
        need = needed(job.arrival.job.shape.each)
        for name, members in Counter(job.worker_ids).items():
            if name in free:
                free[name] = minus(free[name], times(need, members))
    total = sum(amount[0] for amount in free.values())
    if not total:
        return None
    weight_by_shape = _demand(site)
    unusable = sum(
        weight * (1 - min(total, _usable(site, shape, free)) / total)
        for shape, weight in weight_by_shape.items()
    )
    return total, unusable / sum(weight_by_shape.values())


def _usable(site: Site, shape: Shape, free: dict[str, Amount]) -> int:
    """Return the free accelerators that copies of a shape can fill."""
    need = needed(shape.each)
    members_by_group: Counter[str] = Counter()
    for worker in site.workers:
        if worker.worker_id in free:
            if shape.members == 1 or shape.adjacency is Adjacency.WORKER:
                group = worker.worker_id
            elif shape.adjacency is Adjacency.RACK:
                group = worker.rack
            else:
                group = worker.failure_domain
            members_by_group[group] += copies(free[worker.worker_id], need)
    whole = sum(
        members // shape.members for members in members_by_group.values()
    )
    return whole * need[0] * shape.members


@cache
def _demand(site: Site) -> dict[Shape, float]:
    weights: dict[Shape, float] = {}
    for load in site.loads:
        for shape in load.shapes:
            if shape.each.accelerators:
                share = load.share / len(load.shapes)
                weights[shape] = weights.get(shape, 0.0) + share
    return weights

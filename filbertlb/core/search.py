"""Search for workers that can hold the members of a shape."""

from __future__ import annotations

from collections.abc import Callable
from itertools import chain
from itertools import islice
from typing import TYPE_CHECKING

from filbertlb.core.amounts import copies
from filbertlb.core.amounts import covers
from filbertlb.core.amounts import times
from filbertlb.core.model import Adjacency

if TYPE_CHECKING:
    from collections.abc import Container
    from collections.abc import Iterable
    from collections.abc import Mapping

    from filbertlb.core.amounts import Amount
    from filbertlb.core.cluster import Cluster
    from filbertlb.core.cluster import Group
    from filbertlb.core.cluster import WorkerState
    from filbertlb.core.model import Shape

RoomFunction = Callable[["WorkerState"], "Amount"]
"""What a worker offers to the work that is being placed."""

_MAX_CANDIDATES = 32


def on_one_worker(shape: Shape) -> bool:
    """Tell whether all members go to the same worker."""
    return shape.members == 1 or shape.adjacency is Adjacency.WORKER


def find_free(
    cluster: Cluster,
    shape: Shape,
    need: Amount,
    room: RoomFunction,
    avoid: Container[str] = (),
    among: Mapping[str, WorkerState] | None = None,
) -> tuple[str, ...] | None:
    """Find workers with free room, leaving the rest as whole as can be.

    Parameters
    ----------
    room : RoomFunction
        Never more than the worker's free amount.
    avoid : container of str
        Workers that will not do.
    among : mapping, optional
        Only placements that use one of these workers are looked for.
    """
    if not on_one_worker(shape):
        return find_group(cluster, shape, need, room, avoid, among)
    total = times(need, shape.members)
    if among is not None:
        candidates: Iterable[WorkerState] = among.values()
    else:
        by_key = cluster.by_index_key
        candidates = chain.from_iterable(
            by_key[key].values() for key in cluster.index_keys(total)
        )
    fitting = (
        state
        for state in candidates
        if _allowed(state, shape, avoid) and covers(room(state), total)
    )
    best = min(
        islice(fitting, _MAX_CANDIDATES),
        key=lambda state: _waste(state, total),
        default=None,
    )
    return None if best is None else (best.worker_id,) * shape.members


def find_group(
    cluster: Cluster,
    shape: Shape,
    need: Amount,
    room: RoomFunction,
    avoid: Container[str] = (),
    among: Mapping[str, WorkerState] | None = None,
) -> tuple[str, ...] | None:
    """Find the rack or domain that a gang fills best with free room."""
    wanted = times(need, shape.members)
    groups = sorted(
        (
            group
            for group in candidate_groups(cluster, shape, among)
            if group.free_accelerators >= wanted[0]
            and group.free_millicores >= wanted[1]
        ),
        key=lambda group: group.free_accelerators,
    )
    for group in groups:
        workers = [
            state
            for state in group.workers
            if state.free[0] >= need[0] and state.free[1] >= need[1]
        ]
        chosen = fill_workers(workers, shape, need, room, avoid)
        if chosen is not None:
            return chosen
    return None


def find_anywhere(
    cluster: Cluster,
    shape: Shape,
    need: Amount,
    room: RoomFunction,
    avoid: Container[str] = (),
    *,
    usable_only: bool = True,
) -> tuple[str, ...] | None:
    """Find workers by any measure of room; tightest group first.

    Parameters
    ----------
    usable_only : bool
        Whether workers that take no work at present are left out.
    """
    if on_one_worker(shape):
        total = times(need, shape.members)
        best = min(
            (
                state
                for state in cluster.by_id.values()
                if _allowed(state, shape, avoid, usable_only)
                and covers(room(state), total)
            ),
            key=lambda state: sum(room(state)),
            default=None,
        )
        return None if best is None else (best.worker_id,) * shape.members
    groups = candidate_groups(cluster, shape, None)
    sized = [(_group_room(group, room), group.name, group) for group in groups]
    for _, _, group in sorted(sized, key=lambda item: item[:2]):
        chosen = fill_workers(
            group.workers, shape, need, room, avoid, usable_only
        )
        if chosen is not None:
            return chosen
    return None


def placement_options(
    cluster: Cluster, shape: Shape, need: Amount, room: RoomFunction
) -> list[tuple[str, ...]]:
    """Return placements that differ in their group, tightest first.

    Of workers with the same room in the same rack only one is returned.
    """
    if not on_one_worker(shape):
        groups = candidate_groups(cluster, shape, None)
        groups.sort(key=lambda group: _group_room(group, room))
        found = [
            fill_workers(
                group.workers, shape, need, room, fullest_first=fullest_first
            )
            for group in groups
            for fullest_first in (True, False)
        ]
        return list(dict.fromkeys(item for item in found if item))
    total = times(need, shape.members)
    by_kind = {
        (room(state), state.rack.name): (state.worker_id,) * shape.members
        for state in cluster.by_id.values()
        if _allowed(state, shape, ()) and covers(room(state), total)
    }
    return [by_kind[kind] for kind in sorted(by_kind)]


def candidate_groups(
    cluster: Cluster,
    shape: Shape,
    among: Mapping[str, WorkerState] | None,
) -> list[Group]:
    """Return the racks or domains in which a shape may lie."""
    rack = shape.adjacency is Adjacency.RACK
    by_name = cluster.rack_by_name if rack else cluster.domain_by_name
    groups: Iterable[Group] = by_name.values()
    if among is not None:
        workers = among.values()
        near = [state.rack if rack else state.domain for state in workers]
        groups = {group.name: group for group in near}.values()
    domain = shape.failure_domain
    return [
        group
        for group in groups
        if domain is None or group.failure_domain == domain
    ]


def fill_workers(
    workers: list[WorkerState],
    shape: Shape,
    need: Amount,
    room: RoomFunction,
    avoid: Container[str] = (),
    usable_only: bool = True,
    *,
    fullest_first: bool = False,
) -> tuple[str, ...] | None:
    """Place members on adjacent workers, or return None.

    Parameters
    ----------
    fullest_first : bool
        Fill workers with little room before those with much.
    """
    counted = []
    for state in workers:
        usable = state.usable or not usable_only
        if usable and state.worker_id not in avoid:
            count = copies(room(state), need)
            if count:
                counted.append((state, min(count, shape.members)))
    if sum(count for _, count in counted) < shape.members:
        return None
    if fullest_first:
        counted.sort(key=lambda item: item[1])
    else:
        counted.sort(
            key=lambda item: (item[0].rack.free_accelerators, -item[1])
        )
    chosen: list[str] = []
    for state, count in counted:
        wanted = min(count, shape.members - len(chosen))
        chosen.extend([state.worker_id] * wanted)
    return tuple(chosen)


def _allowed(
    state: WorkerState,
    shape: Shape,
    avoid: Container[str],
    usable_only: bool = True,
) -> bool:
    domain = shape.failure_domain
    return (
        (state.usable or not usable_only)
        and state.worker_id not in avoid
        and (domain is None or state.worker.failure_domain == domain)
    )


def _group_room(group: Group, room: RoomFunction) -> int:
    return sum(max(0, room(state)[0]) for state in group.workers)


def _waste(
    state: WorkerState, total: Amount
) -> tuple[int, bool, int, int, int]:
    """Return a key by which placements that spoil less sort first.

    Guaranteed and reserved capacity is spoiled last, then workers that
    are whole, then racks with many whole workers.
    """
    if not total[0]:
        return (0, False, 0, state.free[0], state.order)
    after = state.free[0] - total[0]
    kept = state.held[0] + state.unclaimed_accelerators
    return (
        max(0, kept - after),
        not state.used[0],
        sum(not other.used[0] for other in state.rack.workers),
        state.free[0],
        state.order,
    )

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
"""Returns the amount of a worker that the placed work may use."""

_MAX_CANDIDATES = 32


def on_one_worker(shape: Shape) -> bool:
    """Return whether all members must be placed on the same worker."""
    return shape.members == 1 or shape.adjacency is Adjacency.WORKER


def find_free(
    cluster: Cluster,
    shape: Shape,
    need: Amount,
    room: RoomFunction,
    avoid: Container[str] = (),
    among: Mapping[str, WorkerState] | None = None,
) -> tuple[str, ...] | None:
    """Find workers with enough free room, preferring less fragmentation.

    For a shape on one worker the index of free amounts is searched, and
    the best of the first ``_MAX_CANDIDATES`` workers that fit is taken.

    Parameters
    ----------
    room : RoomFunction
        Must never exceed the worker's free amount.
    avoid : container of str
        Identifiers of workers that must not be used.
    among : mapping, optional
        Restricts the search to these workers, or to the groups that
        contain them.
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
        if _is_candidate(state, shape, avoid) and covers(room(state), total)
    )
    best = min(
        islice(fitting, _MAX_CANDIDATES),
        key=lambda state: _fragmentation_key(state, total),
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
    """Place a gang in the rack or domain with the least free capacity.

    Parameters are those of ``find_free``.
    """
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
    """Find workers with enough room, whatever the room function returns.

    Unlike ``find_free`` this scans all workers, as the room may exceed
    the free amount. Workers or groups with the least room come first.

    Parameters
    ----------
    usable_only : bool
        Whether to leave out workers that may not be given new work.
    """
    if on_one_worker(shape):
        total = times(need, shape.members)
        best = min(
            (
                state
                for state in cluster.by_id.values()
                if _is_candidate(state, shape, avoid, usable_only)
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
    """Return alternative placements, those with the least room first.

    A shape on one worker gets one placement per distinct room and rack,
    other shapes up to two per group.
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
    by_room_and_rack = {
        (room(state), state.rack.name): (state.worker_id,) * shape.members
        for state in cluster.by_id.values()
        if _is_candidate(state, shape, ()) and covers(room(state), total)
    }
    return [by_room_and_rack[key] for key in sorted(by_room_and_rack)]


def candidate_groups(
    cluster: Cluster,
    shape: Shape,
    among: Mapping[str, WorkerState] | None,
) -> list[Group]:
    """Return the racks or domains in which a shape may be placed."""
    by_rack = shape.adjacency is Adjacency.RACK
    by_name = cluster.rack_by_name if by_rack else cluster.domain_by_name
    groups: Iterable[Group] = by_name.values()
    if among is not None:
        workers = among.values()
        containing = [
            state.rack if by_rack else state.domain for state in workers
        ]
        groups = {group.name: group for group in containing}.values()
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
    """Place the members on these workers, or return None if they don't fit.

    Parameters
    ----------
    fullest_first : bool
        Whether workers that fit the fewest members are filled first,
        instead of those in the racks with the least free capacity.
    """
    worker_counts = []
    for state in workers:
        usable = state.usable or not usable_only
        if usable and state.worker_id not in avoid:
            count = copies(room(state), need)
            if count:
                worker_counts.append((state, min(count, shape.members)))
    if sum(count for _, count in worker_counts) < shape.members:
        return None
    if fullest_first:
        worker_counts.sort(key=lambda item: item[1])
    else:
        worker_counts.sort(
            key=lambda item: (item[0].rack.free_accelerators, -item[1])
        )
    chosen: list[str] = []
    for state, count in worker_counts:
        wanted = min(count, shape.members - len(chosen))
        chosen.extend([state.worker_id] * wanted)
    return tuple(chosen)


def _is_candidate(
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


def _fragmentation_key(
    state: WorkerState, total: Amount
) -> tuple[int, bool, int, int, int]:
    """Return a sort key: placements that fragment capacity least first.

    Placements are avoided that use guaranteed or held accelerators, then
    those on workers with no accelerator in use, then those in racks with
    many such workers.
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

"""Best-fit placement of the tasks of a step, optionally with preemption."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.core.amounts import copies
from filbertlb.core.amounts import covers
from filbertlb.core.amounts import is_negative
from filbertlb.core.amounts import minus
from filbertlb.core.amounts import plus

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from filbertlb.core.amounts import Amount


@attrs.frozen
class RunningTask:
    """A run that occupies resources on a node and may be stopped.

    Parameters
    ----------
    stop_group : str
        Runs with the same stop group can only be stopped together: the
        members of a gang, or a single task.
    cost : float
        Cost of stopping the whole stop group, in core-seconds.
    """

    node: str
    needs: Amount
    stop_group: str
    cost: float


@attrs.frozen
class Placement:
    """Nodes chosen for the tasks of a step.

    Parameters
    ----------
    nodes : tuple of str
        Node of each task.
    victims : frozenset of str
        Stop groups that must be stopped to make room.
    cost : float
        Sum of the costs of the victims.
    """

    nodes: tuple[str, ...]
    victims: frozenset[str] = frozenset()
    cost: float = 0.0


@attrs.define
class _PlacementSearch:
    """State of the search for nodes for the tasks of one step.

    Attributes
    ----------
    room : dict of str to Amount
        Free resources by node.
    held : dict of str to list of RunningTask
        Runs that may be stopped, by node.
    members : dict of str to list of RunningTask
        Runs that may be stopped, by stop group.
    used : dict of str to int
        Tasks of the step by node.
    preference : mapping of str to int
        Order of nodes that fit equally well; lower is better.
    share_cost : bool
        Runs are compared by their part of the cost of a stop group and by
        what they free, which finds the group that frees several nodes.
        Otherwise by the whole cost.
    """

    room: dict[str, Amount]
    held: dict[str, list[RunningTask]]
    members: dict[str, list[RunningTask]]
    victims: set[str] = attrs.Factory(set)
    cost: float = 0.0
    used: dict[str, int] = attrs.Factory(dict)
    preference: Mapping[str, int] = attrs.Factory(dict)
    share_cost: bool = False

    def rank_cost(self, run: RunningTask) -> float:
        """Return the cost by which nodes are compared."""
        if self.share_cost:
            return run.cost / len(self.members[run.stop_group])
        return run.cost

    def _rank(self, run: RunningTask) -> float:
        """Return the cost by which the runs of a node are compared."""
        if self.share_cost:
            return self.rank_cost(run) / _size(run.needs)
        return run.cost

    def victims_on(self, node: str, needs: Amount) -> list[RunningTask] | None:
        """Return the cheapest runs to stop so that a task fits, or None."""
        room = self.room[node]
        chosen: list[RunningTask] = []
        for run in sorted(self.held.get(node, ()), key=self._rank):
            if covers(room, needs):
                break
            if run.stop_group not in self.victims:
                room = plus(room, run.needs)
                chosen.append(run)
        if not covers(room, needs):
            return None
        for run in reversed(chosen[:-1]):
            without = minus(room, run.needs)
            if covers(without, needs):
                room = without
                chosen.remove(run)
        return chosen

    def assign(
        self, node: str, needs: Amount, stopped: list[RunningTask]
    ) -> None:
        """Assign a task to a node and free the resources of stopped runs."""
        for stop_group in {run.stop_group for run in stopped}:
            self.victims.add(stop_group)
            self.cost += self.members[stop_group][0].cost
            for run in self.members[stop_group]:
                if run.node in self.room:
                    self.room[run.node] = plus(self.room[run.node], run.needs)
        self.room[node] = minus(self.room[node], needs)
        self.used[node] = self.used.get(node, 0) + 1

    def drop_needless(self, nodes: list[str]) -> None:
        """Spare the costliest victims whose resources are not needed."""
        placed = set(nodes)
        for stop_group in sorted(self.victims, key=self._group_cost)[::-1]:
            room = dict(self.room)
            for run in self.members[stop_group]:
                if run.node in room:
                    room[run.node] = minus(room[run.node], run.needs)
            if any(
                is_negative(room[run.node])
                for run in self.members[stop_group]
                if run.node in placed
            ):
                continue
            self.room = room
            self.victims.discard(stop_group)
            self.cost -= self._group_cost(stop_group)

    def _group_cost(self, stop_group: str) -> float:
        return self.members[stop_group][0].cost


def place_tasks(
    room_by_node: Mapping[str, Amount],
    needs: Amount,
    count: int,
    max_per_worker: int = 0,
    preemptible: Iterable[RunningTask] = (),
    used: Mapping[str, int] | None = None,
    preference: Mapping[str, int] | None = None,
) -> Placement | None:
    """Place identical tasks by best fit.

    Each task goes to the node with the lowest preemption cost, then to the
    one with the least free resources.

    Parameters
    ----------
    room_by_node : mapping of str to Amount
        Free resources of the candidate nodes.
    preemptible : iterable of RunningTask
        Runs that may be stopped.
    used : mapping of str to int, optional
        Number of tasks of the same step on each node.
    preference : mapping of str to int, optional
        Order of nodes that fit equally well; lower is better.

    Returns
    -------
    Placement or None
        None if not all tasks can be placed.
    """
    held: dict[str, list[RunningTask]] = {}
    members: dict[str, list[RunningTask]] = {}
    for run in preemptible:
        held.setdefault(run.node, []).append(run)
        members.setdefault(run.stop_group, []).append(run)
    best: Placement | None = None
    for share_cost in (False, True) if held else (False,):
        search = _PlacementSearch(
            dict(room_by_node), held, members, used=dict(used or {})
        )
        search.share_cost = share_cost
        search.preference = preference or {}
        placement = _search(search, needs, count, max_per_worker)
        if placement is None:
            # Any choice of runs leads to the same number of tasks that fit
            # on a node in the end, so the other search would fail too.
            return best
        if best is None or placement.cost < best.cost:
            best = placement
    return best


def _search(
    search: _PlacementSearch, needs: Amount, count: int, max_per_worker: int
) -> Placement | None:
    nodes: list[str] = []
    for _ in range(count):
        found = _best_node(search, needs, max_per_worker)
        if found is None:
            return None
        node, stopped = found
        search.assign(node, needs, stopped)
        nodes.append(node)
    if len(search.victims) > 1:
        search.drop_needless(nodes)
    return Placement(tuple(nodes), frozenset(search.victims), search.cost)


def place_in_best_group(
    node_groups: Sequence[Sequence[str]],
    room_by_node: Mapping[str, Amount],
    needs: Amount,
    count: int,
    max_per_worker: int,
    preemptible: Sequence[RunningTask] = (),
    used: Mapping[str, int] | None = None,
    preference: Mapping[str, int] | None = None,
) -> Placement | None:
    """Place all tasks within one group of nodes, such as a rack.

    Chooses the group with the lowest preemption cost, then the one with
    the fewest free accelerators.
    """
    best: tuple[float, int, Placement] | None = None
    for node_group in node_groups:
        room = {node: room_by_node[node] for node in node_group}
        placement = place_tasks(
            *(room, needs, count, max_per_worker, preemptible, used),
            preference,
        )
        if placement is None:
            continue
        free = sum(amount[0] for amount in room.values())
        if best is None or (placement.cost, free) < best[:2]:
            best = (placement.cost, free, placement)
    return None if best is None else best[2]


def may_hold(
    room_by_node: Mapping[str, Amount],
    nodes: Iterable[str],
    needs: Amount,
    count: int,
) -> bool:
    """Return whether nodes have room for a number of identical tasks."""
    held = 0
    for node in nodes:
        held += copies(room_by_node[node], needs)
        if held >= count:
            return True
    return False


def _best_node(
    search: _PlacementSearch, needs: Amount, max_per_worker: int
) -> tuple[str, list[RunningTask]] | None:
    best: tuple[float, Amount, int, str] | None = None
    chosen: list[RunningTask] = []
    for node, room in search.room.items():
        if max_per_worker and search.used.get(node, 0) >= max_per_worker:
            continue
        stopped: list[RunningTask] | None = []
        if not covers(room, needs):
            if node not in search.held:
                continue
            stopped = search.victims_on(node, needs)
        if stopped is None:
            continue
        cost = 0.0
        if stopped:
            costs = {run.stop_group: search.rank_cost(run) for run in stopped}
            cost = sum(costs.values())
        rank = (cost, room, search.preference.get(node, 0), node)
        if best is None or rank < best:
            best = rank
            chosen = stopped
    return None if best is None else (best[3], chosen)


def _size(needs: Amount) -> int:
    """Return the size of a run, in accelerators and at least 1."""
    return max(1, needs[0])

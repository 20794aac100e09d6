"""Finds workers for the tasks of one step, making room if allowed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.core.amounts import covers
from filbertlb.core.amounts import minus
from filbertlb.core.amounts import plus

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from filbertlb.core.amounts import Amount


@attrs.frozen
class Held:
    """One run that holds room on a node.

    Parameters
    ----------
    unit : str
        Runs of one unit are stopped together.
    cost : float
        Work lost by stopping the whole unit, in core-seconds.
    """

    node: str
    needs: Amount
    unit: str
    cost: float


@attrs.frozen
class Fit:
    """Where the tasks of a step go.

    Parameters
    ----------
    nodes : tuple of str
        A node for each task.
    victims : frozenset of str
        Units to stop first.
    cost : float
        Work lost by that, in core-seconds.
    """

    nodes: tuple[str, ...]
    victims: frozenset[str] = frozenset()
    cost: float = 0.0


@attrs.define
class _Search:
    room: dict[str, Amount]
    held: dict[str, list[Held]]
    members: dict[str, list[Held]]
    victims: set[str] = attrs.Factory(set)
    cost: float = 0.0
    used: dict[str, int] = attrs.Factory(dict)

    def victims_on(self, node: str, needs: Amount) -> list[Held] | None:
        """Return the cheapest runs whose end makes room, or None."""
        room = self.room[node]
        chosen: list[Held] = []
        for one in sorted(self.held.get(node, ()), key=_cost):
            if covers(room, needs):
                break
            if one.unit not in self.victims:
                room = plus(room, one.needs)
                chosen.append(one)
        if not covers(room, needs):
            return None
        for one in reversed(chosen[:-1]):
            without = minus(room, one.needs)
            if covers(without, needs):
                room = without
                chosen.remove(one)
        return chosen

    def take(self, node: str, needs: Amount, stopped: list[Held]) -> None:
        """Book a task on a node and free what is stopped for it."""
        for unit in {one.unit for one in stopped}:
            self.victims.add(unit)
            self.cost += self.members[unit][0].cost
            for one in self.members[unit]:
                if one.node in self.room:
                    self.room[one.node] = plus(self.room[one.node], one.needs)
        self.room[node] = minus(self.room[node], needs)
        self.used[node] = self.used.get(node, 0) + 1


def fit(
    room_by_node: Mapping[str, Amount],
    needs: Amount,
    count: int,
    max_per_worker: int = 0,
    victims: Iterable[Held] = (),
    used: Mapping[str, int] | None = None,
) -> Fit | None:
    """Place a number of equal tasks, the fullest fitting nodes first.

    Parameters
    ----------
    room_by_node : mapping of str to Amount
        Room on the nodes that may be used.
    victims : iterable of Held
        Runs that may be stopped.
    used : mapping of str to int, optional
        Tasks of the same step that each node has already.

    Returns
    -------
    Fit or None
        None if not all tasks find room.
    """
    search = _Search(dict(room_by_node), {}, {})
    search.used.update(used or {})
    for one in victims:
        search.held.setdefault(one.node, []).append(one)
        search.members.setdefault(one.unit, []).append(one)
    nodes: list[str] = []
    for _ in range(count):
        found = _best(search, needs, max_per_worker)
        if found is None:
            return None
        node, stopped = found
        search.take(node, needs, stopped)
        nodes.append(node)
    return Fit(tuple(nodes), frozenset(search.victims), search.cost)


def place_in_best_group(
    node_groups: Sequence[Sequence[str]],
    room_by_node: Mapping[str, Amount],
    needs: Amount,
    count: int,
    max_per_worker: int,
    victims: Sequence[Held] = (),
    used: Mapping[str, int] | None = None,
) -> Fit | None:
    """Place all tasks within one group of nodes, such as a rack.

    The group where least work is lost wins, then the one with least
    room left.
    """
    best: tuple[float, int, Fit] | None = None
    for node_group in node_groups:
        room = {node: room_by_node[node] for node in node_group}
        found = fit(room, needs, count, max_per_worker, victims, used)
        if found is None:
            continue
        left = sum(amount[0] for amount in room.values())
        if best is None or (found.cost, left) < best[:2]:
            best = (found.cost, left, found)
    return None if best is None else best[2]


def _best(
    search: _Search, needs: Amount, max_per_worker: int
) -> tuple[str, list[Held]] | None:
    best: tuple[float, Amount, str] | None = None
    chosen: list[Held] = []
    for node, room in search.room.items():
        if max_per_worker and search.used.get(node, 0) >= max_per_worker:
            continue
        stopped: list[Held] | None = []
        if not covers(room, needs):
            stopped = search.victims_on(node, needs)
        if stopped is None:
            continue
        cost = sum({one.unit: one.cost for one in stopped}.values())
        rank = (cost, room, node)
        if best is None or rank < best:
            best = rank
            chosen = stopped
    return None if best is None else (best[2], chosen)


def _cost(one: Held) -> float:
    return one.cost

"""Feasible packing of all guaranteed shapes onto workers.

Each shape that an organisation may claim is a unit with a concrete
placement. On every worker the amounts of all units and of runs that may
not be stopped add up to at most the capacity. Claiming a placed unit
therefore needs at most the preemption of runs that may be stopped. A
claimed unit stays on the workers of its run; unclaimed units are moved
if necessary.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

from filbertlb.core.amounts import is_negative
from filbertlb.core.amounts import needed
from filbertlb.core.amounts import plus
from filbertlb.core.amounts import times
from filbertlb.core.guarantee_units import Unit
from filbertlb.core.packing import MAX_SEARCHED_WORKERS
from filbertlb.core.packing import PackingSearch
from filbertlb.core.search import candidate_groups
from filbertlb.core.search import find_anywhere

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from filbertlb.core.amounts import Amount
    from filbertlb.core.cluster import Cluster
    from filbertlb.core.cluster import WorkerState
    from filbertlb.core.model import Guarantee
    from filbertlb.core.model import Organisation
    from filbertlb.core.search import RoomFunction

_REPACK_INTERVAL_S = 1.0

Placements = dict[Unit, tuple[str, ...]]


def open_room(state: WorkerState) -> Amount:
    """Return the capacity free of guarantees and non-preemptible work."""
    return state.open


@attrs.define(eq=False)
class GuaranteePacking:
    """Maintains a placement of every guarantee unit on a cluster.

    Parameters
    ----------
    by_key : dict
        Units by organisation identifier and guarantee identifier.
    unplaced : dict
        Unclaimed units without a placement; a dict keeps their order.
    """

    cluster: Cluster
    by_key: dict[tuple[str, str], list[Unit]] = attrs.field(factory=dict)
    unplaced: dict[Unit, None] = attrs.field(factory=dict)
    _freed_count_at_repair: int = -1
    _unplaced_at_repack: int = 0
    _repacked_at_s: float = float("-inf")

    def units(self) -> Iterator[Unit]:
        """Yield all units."""
        for units in self.by_key.values():
            yield from units

    def unclaimed(self, key: tuple[str, str]) -> Unit | None:
        """Return a unit of a guarantee that can be claimed, or None."""
        for unit in self.by_key.get(key, ()):
            if not unit.claimed_by and unit.worker_ids:
                return unit
        return None

    def change(self, organisations: Iterable[Organisation]) -> list[Unit]:
        """Apply changed guarantees and return the claimed units dropped.

        New units have no placement before the next call of ``repair``.
        """
        wanted = {
            (organisation.organisation_id, guarantee.guarantee_id): guarantee
            for organisation in organisations
            for guarantee in organisation.guarantees
        }
        dropped: list[Unit] = []
        for key in list(self.by_key):
            guarantee = wanted.get(key)
            units = self.by_key[key]
            same = guarantee and guarantee.shape == units[0].guarantee.shape
            keep = guarantee.count if guarantee and same else 0
            units.sort(key=lambda unit: not unit.claimed_by)
            dropped.extend(self._drop_surplus_units(units, keep))
            if not units:
                del self.by_key[key]
        for key, guarantee in wanted.items():
            self._add_missing_units(key, guarantee)
        self._freed_count_at_repair = -1
        return dropped

    def set_placement(self, unit: Unit, worker_ids: tuple[str, ...]) -> None:
        """Set the workers of a unit; an empty tuple removes its placement."""
        for name, members in Counter(unit.worker_ids).items():
            state = self.cluster.by_id.get(name)
            if state is not None and unit in state.units:
                self._remove_from_worker(unit, state, members)
        unit.worker_ids = worker_ids
        for name, members in Counter(worker_ids).items():
            state = self.cluster.by_id.get(name)
            if state is not None:
                self._add_to_worker(unit, state, members)
        if worker_ids or unit.claimed_by:
            self.unplaced.pop(unit, None)
        else:
            self.unplaced[unit] = None

    def count_on_new_worker(self, state: WorkerState) -> None:
        """Account for units placed on a worker that has just been added.

        The run of a claimed unit may be adopted before all of its
        workers are known.
        """
        for unit in self.units():
            members = unit.worker_ids.count(state.worker_id)
            if members and unit not in state.units:
                self._add_to_worker(unit, state, members)

    def claim(self, unit: Unit, job_id: str) -> None:
        """Mark a unit as claimed, which fixes its placement."""
        self._count_unclaimed(unit, -1)
        unit.claimed_by = job_id
        self.unplaced.pop(unit, None)

    def release(self, unit: Unit) -> None:
        """Mark a unit as unclaimed; drop its placement if that is invalid."""
        unit.claimed_by = ""
        self._count_unclaimed(unit, 1)
        if not self._is_valid(unit):
            self.set_placement(unit, ())

    def repair(self, now_s: float) -> None:
        """Place units that have no placement, moving others if necessary.

        Does nothing unless capacity was freed or guarantees changed since
        the last call. Other units are moved only if more units lack a
        placement than after the last attempt, and otherwise at most once
        per ``_REPACK_INTERVAL_S``.
        """
        if (
            not self.unplaced
            or self._freed_count_at_repair == self.cluster.freed_count
        ):
            return
        for unit in sorted(self.unplaced, key=lambda unit: unit.packing_order):
            self.place(unit)
        due = now_s - self._repacked_at_s >= _REPACK_INTERVAL_S
        if due or len(self.unplaced) > self._unplaced_at_repack:
            self.repack()
            self._repacked_at_s = now_s
            self._unplaced_at_repack = len(self.unplaced)
        self._freed_count_at_repair = self.cluster.freed_count

    def evict_unclaimed(self, state: WorkerState) -> None:
        """Remove unclaimed units from a worker that cannot hold them."""
        for unit in list(state.units):
            if state.usable and not is_negative(state.open):
                return
            if not unit.claimed_by:
                self.set_placement(unit, ())

    def place(self, unit: Unit, room: RoomFunction = open_room) -> bool:
        """Place a unit without moving others.

        Returns whether a placement was found.
        """
        shape = unit.guarantee.shape
        found = find_anywhere(self.cluster, shape, unit.need, room)
        if found is not None:
            self.set_placement(unit, found)
        return found is not None

    def save(self) -> Placements:
        """Return the placements of all unclaimed units."""
        return {
            unit: unit.worker_ids
            for unit in self.units()
            if not unit.claimed_by
        }

    def restore(self, placements: Placements) -> None:
        """Restore placements returned by ``save``."""
        for unit, worker_ids in placements.items():
            if unit.worker_ids != worker_ids:
                self.set_placement(unit, ())
        for unit, worker_ids in placements.items():
            if unit.worker_ids != worker_ids:
                self.set_placement(unit, worker_ids)

    def repack(self) -> None:
        """Replace all placements of unclaimed units if that places more.

        Units are placed greedily, the hardest first. If some remain
        unplaced, a small cluster is searched by backtracking as well.
        """
        if not self.unplaced:
            return
        before = self.save()
        unplaced_before = len(self.unplaced)
        for unit in before:
            self.set_placement(unit, ())
        units = sorted(before, key=lambda unit: unit.packing_order)
        for unit in units:
            self.place(unit)
        if not self.unplaced:
            return
        if len(self.unplaced) >= unplaced_before:
            self.restore(before)
        if len(self.cluster.by_id) <= MAX_SEARCHED_WORKERS:
            self._search_placements(units)

    def _search_placements(self, units: list[Unit]) -> None:
        """Place all units by backtracking, or keep the placements."""
        before = self.save()
        for unit in units:
            self.set_placement(unit, ())
        search = PackingSearch(self.cluster, open_room, self.set_placement)
        if not search.place_all(units):
            self.restore(before)

    def _drop_surplus_units(self, units: list[Unit], keep: int) -> list[Unit]:
        claimed = []
        while len(units) > keep:
            unit = units.pop()
            if unit.claimed_by:
                claimed.append(unit)
            self.set_placement(unit, ())
            self.unplaced.pop(unit, None)
        return claimed

    def _add_missing_units(
        self, key: tuple[str, str], guarantee: Guarantee
    ) -> None:
        units = self.by_key.setdefault(key, [])
        for unit in units:
            unit.guarantee = guarantee
        need = needed(guarantee.shape.each)
        while len(units) < guarantee.count:
            unit = Unit(key[0], guarantee, need)
            units.append(unit)
            self.unplaced[unit] = None

    def _is_valid(self, unit: Unit) -> bool:
        shape = unit.guarantee.shape
        if len(unit.worker_ids) != shape.members:
            return False
        for name in unit.worker_ids:
            state = self.cluster.by_id.get(name)
            if state is None or not state.usable or is_negative(state.open):
                return False
        return self._meets_adjacency(unit)

    def _meets_adjacency(self, unit: Unit) -> bool:
        names = set(unit.worker_ids)
        shape = unit.guarantee.shape
        if len(names) == 1:
            domain = shape.failure_domain
            worker = self.cluster.by_id[unit.worker_ids[0]].worker
            return domain is None or worker.failure_domain == domain
        return any(
            names <= {state.worker_id for state in group.workers}
            for group in candidate_groups(self.cluster, shape, None)
        )

    def _add_to_worker(
        self, unit: Unit, state: WorkerState, members: int
    ) -> None:
        amount = times(unit.need, members)
        state.units[unit] = members
        self.cluster.close(state, amount)
        if not unit.claimed_by:
            state.unclaimed_accelerators += amount[0]

    def _remove_from_worker(
        self, unit: Unit, state: WorkerState, members: int
    ) -> None:
        amount = times(unit.need, members)
        del state.units[unit]
        self.cluster.reopen(state, amount)
        if not unit.claimed_by:
            state.unclaimed_accelerators -= amount[0]

    def _count_unclaimed(self, unit: Unit, sign: int) -> None:
        for name, members in Counter(unit.worker_ids).items():
            state = self.cluster.by_id.get(name)
            if state is not None and unit in state.units:
                change = sign * times(unit.need, members)[0]
                state.unclaimed_accelerators += change


def open_room_without(state: WorkerState, unit: Unit) -> Amount:
    """Return the open amount a worker would have without a unit."""
    members = state.units.get(unit)
    if members is None:
        return state.open
    return plus(state.open, times(unit.need, members))

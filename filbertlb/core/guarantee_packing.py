"""Witness packing: where every guaranteed shape could run.

Each shape that an organisation may claim is a unit with a concrete
placement. The amounts of all units and of the work that may not be
stopped never exceed a worker's capacity, so a claim needs at most to
stop work that may be stopped. A claimed unit stays where its run is;
unclaimed units move when they must.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

from filbertlb.core.amounts import is_negative
from filbertlb.core.amounts import needed
from filbertlb.core.amounts import plus
from filbertlb.core.amounts import times
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

Placements = dict["Unit", tuple[str, ...]]


def open_room(state: WorkerState) -> Amount:
    """Return what no guarantee and no firm work takes."""
    return state.open


@attrs.define(eq=False)
class Unit:
    """One guaranteed shape.

    Parameters
    ----------
    worker_ids : tuple of str
        Placement by member; empty while there is none.
    claimed_by : str
        Job that claims the unit, or empty.
    """

    organisation_id: str
    guarantee: Guarantee
    need: Amount
    worker_ids: tuple[str, ...] = ()
    claimed_by: str = ""

    @property
    def size(self) -> tuple[bool, int, int, int]:
        """Return a key by which harder units sort first."""
        shape = self.guarantee.shape
        total = times(self.need, shape.members)
        bound = shape.failure_domain is not None
        return (not bound, -total[0], -total[1], -total[2])


@attrs.define(eq=False)
class GuaranteePacking:
    """Keeps a placement of every unit on a cluster."""

    cluster: Cluster
    by_key: dict[tuple[str, str], list[Unit]] = attrs.field(factory=dict)
    unplaced: dict[Unit, None] = attrs.field(factory=dict)
    _tried_at: int = -1
    _missing_at_repack: int = 0
    _repacked_at_s: float = float("-inf")

    def units(self) -> Iterator[Unit]:
        """Yield all units."""
        for units in self.by_key.values():
            yield from units

    def unclaimed(self, key: tuple[str, str]) -> Unit | None:
        """Return a placed unit of a guarantee that can be claimed."""
        for unit in self.by_key.get(key, ()):
            if not unit.claimed_by and unit.worker_ids:
                return unit
        return None

    def change(self, organisations: Iterable[Organisation]) -> list[Unit]:
        """Follow a change of guarantees; return dropped claimed units.

        New units are left without a placement until ``repair``.
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
            dropped.extend(self._drop(units, keep))
            if not units:
                del self.by_key[key]
        for key, guarantee in wanted.items():
            self._grow(key, guarantee)
        self._tried_at = -1
        return dropped

    def set_placement(self, unit: Unit, worker_ids: tuple[str, ...]) -> None:
        """Move a unit; an empty placement takes it off all workers."""
        for name, members in Counter(unit.worker_ids).items():
            state = self.cluster.by_id.get(name)
            if state is not None and unit in state.units:
                self._take_off(unit, state, members)
        unit.worker_ids = worker_ids
        for name, members in Counter(worker_ids).items():
            state = self.cluster.by_id.get(name)
            if state is not None:
                self._put_on(unit, state, members)
        if worker_ids or unit.claimed_by:
            self.unplaced.pop(unit, None)
        else:
            self.unplaced[unit] = None

    def count_on_new_worker(self, state: WorkerState) -> None:
        """Count claimed units whose runs are on a worker new to us."""
        for unit in self.units():
            members = unit.worker_ids.count(state.worker_id)
            if members and unit not in state.units:
                self._put_on(unit, state, members)

    def claim(self, unit: Unit, job_id: str) -> None:
        """Mark a unit as claimed: it stays where it is."""
        self._count_unclaimed(unit, -1)
        unit.claimed_by = job_id
        self.unplaced.pop(unit, None)

    def release(self, unit: Unit) -> None:
        """Mark a unit as no longer claimed."""
        unit.claimed_by = ""
        self._count_unclaimed(unit, 1)
        if not self._whole(unit):
            self.set_placement(unit, ())

    def repair(self, now_s: float) -> None:
        """Place again what lost its placement, moving others if need be.

        Moving is tried when more units lack a placement than the last
        time it was tried, and else once a second.
        """
        if not self.unplaced or self._tried_at == self.cluster.freed_count:
            return
        for unit in sorted(self.unplaced, key=lambda unit: unit.size):
            self.place(unit)
        due = now_s - self._repacked_at_s >= _REPACK_INTERVAL_S
        if due or len(self.unplaced) > self._missing_at_repack:
            self.repack()
            self._repacked_at_s = now_s
            self._missing_at_repack = len(self.unplaced)
        self._tried_at = self.cluster.freed_count

    def evict_unclaimed(self, state: WorkerState) -> None:
        """Take unclaimed units off a worker that cannot hold them."""
        for unit in list(state.units):
            if state.usable and not is_negative(state.open):
                return
            if not unit.claimed_by:
                self.set_placement(unit, ())

    def place(self, unit: Unit, room: RoomFunction = open_room) -> bool:
        """Look for a placement of a unit without moving others."""
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
        """Bring back placements returned by ``save``."""
        for unit, worker_ids in placements.items():
            if unit.worker_ids != worker_ids:
                self.set_placement(unit, ())
        for unit, worker_ids in placements.items():
            if unit.worker_ids != worker_ids:
                self.set_placement(unit, worker_ids)

    def repack(self) -> None:
        """Place all unclaimed units anew where that places more."""
        if not self.unplaced:
            return
        before = self.save()
        missing = len(self.unplaced)
        for unit in before:
            self.set_placement(unit, ())
        units = sorted(before, key=lambda unit: unit.size)
        for unit in units:
            self.place(unit)
        if not self.unplaced:
            return
        if len(self.unplaced) >= missing:
            self.restore(before)
        if len(self.cluster.by_id) <= MAX_SEARCHED_WORKERS:
            self._search(units)

    def _search(self, units: list[Unit]) -> None:
        """Try many placements of all units where the first did not do."""
        before = self.save()
        for unit in units:
            self.set_placement(unit, ())
        search = PackingSearch(self.cluster, open_room, self.set_placement)
        if not search.place_all(units):
            self.restore(before)

    def _drop(self, units: list[Unit], keep: int) -> list[Unit]:
        claimed = []
        while len(units) > keep:
            unit = units.pop()
            if unit.claimed_by:
                claimed.append(unit)
            self.set_placement(unit, ())
            self.unplaced.pop(unit, None)
        return claimed

    def _grow(self, key: tuple[str, str], guarantee: Guarantee) -> None:
        units = self.by_key.setdefault(key, [])
        for unit in units:
            unit.guarantee = guarantee
        need = needed(guarantee.shape.each)
        while len(units) < guarantee.count:
            unit = Unit(key[0], guarantee, need)
            units.append(unit)
            self.unplaced[unit] = None

    def _whole(self, unit: Unit) -> bool:
        shape = unit.guarantee.shape
        if len(unit.worker_ids) != shape.members:
            return False
        for name in unit.worker_ids:
            state = self.cluster.by_id.get(name)
            if state is None or not state.usable or is_negative(state.open):
                return False
        return self._adjacent(unit)

    def _adjacent(self, unit: Unit) -> bool:
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

    def _put_on(self, unit: Unit, state: WorkerState, members: int) -> None:
        amount = times(unit.need, members)
        state.units[unit] = members
        self.cluster.close(state, amount)
        if not unit.claimed_by:
            state.unclaimed_accelerators += amount[0]

    def _take_off(self, unit: Unit, state: WorkerState, members: int) -> None:
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
    """Return the open room of a worker if a unit were not on it."""
    members = state.units.get(unit)
    if members is None:
        return state.open
    return plus(state.open, times(unit.need, members))

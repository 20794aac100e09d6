"""Occupancy of workers by rack and failure domain, indexed for speed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.core.amounts import minus
from filbertlb.core.amounts import offered
from filbertlb.core.amounts import plus
from filbertlb.core.amounts import ZERO_AMOUNT

if TYPE_CHECKING:
    from collections.abc import Iterator

    from filbertlb.core.amounts import Amount
    from filbertlb.core.guarantee_packing import Unit
    from filbertlb.core.model import Worker
    from filbertlb.core.runs import Run

IndexKey = tuple[int, int]
_MAX_FREED_LOG = 4096


@attrs.define(eq=False)
class Group:
    """Workers that are adjacent: a rack or a failure domain.

    Parameters
    ----------
    free_accelerators, free_millicores : int
        Sums over the workers that take work.
    """

    name: str
    failure_domain: str
    workers: list[WorkerState] = attrs.field(factory=list)
    free_accelerators: int = 0
    free_millicores: int = 0


@attrs.define(eq=False)
class WorkerState:
    """One worker and what occupies it.

    Parameters
    ----------
    used : Amount
        What runs now, including what is being stopped.
    free : Amount
        Capacity less ``used`` and less what is planned to start once
        stopped work has ended; negative meanwhile.
    open : Amount
        Capacity less work that may not be stopped and less what is
        set aside for guarantees.
    held : Amount
        Kept clear of work that cannot be stopped in time, for a
        reservation or for a guarantee at risk.
    unclaimed_accelerators : int
        Set aside for guarantees that are not claimed at present.
    quarantined : bool
        Failed too many jobs in a row and takes no work.
    on_probation : bool
        Takes one idempotent run at a time until one succeeds.
    """

    worker: Worker
    rack: Group
    domain: Group
    order: int
    capacity: Amount
    used: Amount = ZERO_AMOUNT
    free: Amount = ZERO_AMOUNT
    open: Amount = ZERO_AMOUNT
    held: Amount = ZERO_AMOUNT
    unclaimed_accelerators: int = 0
    online: bool = True
    quarantined: bool = False
    on_probation: bool = False
    runs_by_id: dict[str, Run] = attrs.field(factory=dict)
    units: dict[Unit, int] = attrs.field(factory=dict)
    index_key: IndexKey | None = None
    counted_accelerators: int = 0
    counted_millicores: int = 0

    @property
    def worker_id(self) -> str:
        """Return the worker's name."""
        return self.worker.worker_id

    @property
    def usable(self) -> bool:
        """Tell whether the worker takes new work."""
        return self.online and not self.quarantined


@attrs.define(eq=False)
class Cluster:
    """All workers that are known, online or not."""

    by_id: dict[str, WorkerState] = attrs.field(factory=dict)
    rack_by_name: dict[str, Group] = attrs.field(factory=dict)
    domain_by_name: dict[str, Group] = attrs.field(factory=dict)
    by_index_key: dict[IndexKey, dict[str, WorkerState]] = attrs.field(
        factory=dict
    )
    freed_count: int = 0
    _freed_log: list[WorkerState] = attrs.field(factory=list)
    _freed_log_start: int = 0

    def add(self, worker: Worker) -> WorkerState:
        """Add a worker or put it back, keeping what occupies it."""
        state = self.by_id.get(worker.worker_id)
        if state is None:
            state = self._create(worker)
        elif state.worker != worker:
            self._replace(state, worker)
        state.online = True
        self.reindex(state)
        self.note_freed(state)
        return state

    def remove(self, state: WorkerState) -> None:
        """Take a worker offline; its occupancy is kept."""
        state.online = False
        self.reindex(state)

    def forget(self, state: WorkerState) -> None:
        """Drop a worker that is offline and empty."""
        self._leave_groups(state)
        del self.by_id[state.worker_id]

    def occupy(self, state: WorkerState, amount: Amount) -> None:
        """Count an amount as running."""
        state.used = plus(state.used, amount)
        self.plan(state, amount)

    def vacate(self, state: WorkerState, amount: Amount) -> None:
        """Count an amount as no longer running."""
        state.used = minus(state.used, amount)
        self.unplan(state, amount)

    def plan(self, state: WorkerState, amount: Amount) -> None:
        """Keep an amount for work that waits for stops."""
        state.free = minus(state.free, amount)
        self.reindex(state)

    def unplan(self, state: WorkerState, amount: Amount) -> None:
        """Give back an amount kept by ``plan``."""
        state.free = plus(state.free, amount)
        self.reindex(state)
        self.note_freed(state)

    def close(self, state: WorkerState, amount: Amount) -> None:
        """Count an amount as firm or set aside for a guarantee."""
        state.open = minus(state.open, amount)

    def reopen(self, state: WorkerState, amount: Amount) -> None:
        """Give back an amount counted by ``close``."""
        state.open = plus(state.open, amount)
        self.note_freed(state)

    def hold(self, state: WorkerState, amount: Amount) -> None:
        """Keep an amount clear of work that cannot be stopped in time."""
        state.held = plus(state.held, amount)

    def unhold(self, state: WorkerState, amount: Amount) -> None:
        """Give back an amount kept by ``hold``."""
        state.held = minus(state.held, amount)
        self.note_freed(state)

    def reindex(self, state: WorkerState) -> None:
        """Refresh the index and the counters of one worker."""
        usable = state.usable
        free = state.free
        accelerators = max(0, free[0]) if usable else 0
        millicores = max(0, free[1]) if usable else 0
        for group in (state.rack, state.domain):
            group.free_accelerators += (
                accelerators - state.counted_accelerators
            )
            group.free_millicores += millicores - state.counted_millicores
        state.counted_accelerators = accelerators
        state.counted_millicores = millicores
        key = None
        if usable and free[0] >= 0 and free[1] >= 0 and free[2] >= 0:
            key = (free[0], free[1].bit_length())
        if key != state.index_key:
            self._move_index(state, key)

    def note_freed(self, state: WorkerState) -> None:
        """Record that more may fit on a worker than before."""
        self.freed_count += 1
        self._freed_log.append(state)
        if len(self._freed_log) > _MAX_FREED_LOG:
            keep = _MAX_FREED_LOG // 2
            self._freed_log_start += len(self._freed_log) - keep
            del self._freed_log[:-keep]

    def freed_since(self, count: int) -> dict[str, WorkerState] | None:
        """Return workers freed since a count; None where unknown."""
        if count < self._freed_log_start:
            return None
        log = self._freed_log[count - self._freed_log_start :]
        return {state.worker_id: state for state in log}

    def index_keys(self, need: Amount) -> Iterator[IndexKey]:
        """Yield index keys that may hold a need, tightest first."""
        bits = need[1].bit_length()
        for key in sorted(self.by_index_key):
            if key[0] >= need[0] and key[1] >= bits:
                yield key

    def online_workers(self) -> list[WorkerState]:
        """Return the workers that are online, in order of addition."""
        return [state for state in self.by_id.values() if state.online]

    def _create(self, worker: Worker) -> WorkerState:
        capacity = offered(worker.capacity)
        state = WorkerState(
            worker=worker,
            rack=self._rack(worker),
            domain=self._domain(worker),
            order=len(self.by_id),
            capacity=capacity,
            free=capacity,
            open=capacity,
        )
        state.rack.workers.append(state)
        state.domain.workers.append(state)
        self.by_id[worker.worker_id] = state
        return state

    def _replace(self, state: WorkerState, worker: Worker) -> None:
        state.online = False
        self.reindex(state)
        self._leave_groups(state)
        capacity = offered(worker.capacity)
        change = minus(capacity, state.capacity)
        state.worker = worker
        state.capacity = capacity
        state.free = plus(state.free, change)
        state.open = plus(state.open, change)
        state.rack = self._rack(worker)
        state.domain = self._domain(worker)
        state.rack.workers.append(state)
        state.domain.workers.append(state)

    def _leave_groups(self, state: WorkerState) -> None:
        state.rack.workers.remove(state)
        state.domain.workers.remove(state)
        if not state.rack.workers:
            del self.rack_by_name[state.rack.name]
        if not state.domain.workers:
            del self.domain_by_name[state.domain.name]

    def _rack(self, worker: Worker) -> Group:
        group = self.rack_by_name.get(worker.rack)
        if group is None:
            group = Group(worker.rack, worker.failure_domain)
            self.rack_by_name[worker.rack] = group
        return group

    def _domain(self, worker: Worker) -> Group:
        name = worker.failure_domain
        group = self.domain_by_name.get(name)
        if group is None:
            group = Group(name, name)
            self.domain_by_name[name] = group
        return group

    def _move_index(self, state: WorkerState, key: IndexKey | None) -> None:
        if state.index_key is not None:
            level = self.by_index_key[state.index_key]
            del level[state.worker_id]
            if not level:
                del self.by_index_key[state.index_key]
        state.index_key = key
        if key is not None:
            level = self.by_index_key.setdefault(key, {})
            level[state.worker_id] = state

"""Resource accounting per worker, with indexes by group and free amount."""

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
    from filbertlb.core.guarantee_units import Unit
    from filbertlb.core.model import Worker
    from filbertlb.core.runs import Run

IndexKey = tuple[int, int]
"""Free accelerators and the bit length of the free millicores."""

_MAX_FREED_LOG = 4096


@attrs.define(eq=False)
class Group:
    """A rack or a failure domain and the workers in it.

    Parameters
    ----------
    free_accelerators, free_millicores : int
        Sums over the usable workers; negative amounts count as zero.
    """

    name: str
    failure_domain: str
    workers: list[WorkerState] = attrs.field(factory=list)
    free_accelerators: int = 0
    free_millicores: int = 0


@attrs.define(eq=False)
class WorkerState:
    """Resource accounting and health of one worker.

    Parameters
    ----------
    order : int
        Number of workers that were known when this one was added.
    used : Amount
        Resources of all current runs, including those being stopped.
    free : Amount
        Capacity less ``used`` and less the resources of runs that are
        planned to start once other runs have stopped. Negative while
        planned runs wait for the resources of runs being stopped.
    open : Amount
        Capacity less the resources of non-preemptible runs and of
        guarantee units.
    held : Amount
        Amount that is not given to runs which cannot be stopped in time,
        because of a reservation or a guarantee at risk.
    unclaimed_accelerators : int
        Accelerators of the unclaimed guarantee units on this worker.
    quarantined : bool
        The worker gets no work because too many jobs in a row failed.
    on_probation : bool
        The worker gets one idempotent run at a time until one succeeds.
    units : dict
        Number of members on this worker by guarantee unit.
    index_key : IndexKey, optional
        Key under which the worker is indexed; None if it is not.
    grouped_accelerators, grouped_millicores : int
        Contribution of this worker to the sums of its groups.
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
    grouped_accelerators: int = 0
    grouped_millicores: int = 0

    @property
    def worker_id(self) -> str:
        """Return the identifier of the worker."""
        return self.worker.worker_id

    @property
    def usable(self) -> bool:
        """Return whether the worker may be given new work."""
        return self.online and not self.quarantined


@attrs.define(eq=False)
class Cluster:
    """All known workers, online or offline, with their indexes.

    Parameters
    ----------
    by_index_key : dict
        Usable workers without a negative free amount, by index key.
    freed_count : int
        Number of calls of ``note_freed`` so far.
    """

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
        """Add a worker or bring it back online, keeping its accounting."""
        state = self.by_id.get(worker.worker_id)
        if state is None:
            state = self._create(worker)
        elif state.worker != worker:
            self._update_worker(state, worker)
        state.online = True
        self.reindex(state)
        self.note_freed(state)
        return state

    def remove(self, state: WorkerState) -> None:
        """Take a worker offline; its accounting is kept."""
        state.online = False
        self.reindex(state)

    def forget(self, state: WorkerState) -> None:
        """Delete a worker that is offline and has no runs."""
        self._leave_groups(state)
        del self.by_id[state.worker_id]

    def occupy(self, state: WorkerState, amount: Amount) -> None:
        """Add an amount to what is in use."""
        state.used = plus(state.used, amount)
        self.plan(state, amount)

    def vacate(self, state: WorkerState, amount: Amount) -> None:
        """Subtract an amount from what is in use."""
        state.used = minus(state.used, amount)
        self.unplan(state, amount)

    def plan(self, state: WorkerState, amount: Amount) -> None:
        """Reserve an amount for a run that waits for others to stop."""
        state.free = minus(state.free, amount)
        self.reindex(state)

    def unplan(self, state: WorkerState, amount: Amount) -> None:
        """Release an amount reserved by ``plan``."""
        state.free = plus(state.free, amount)
        self.reindex(state)
        self.note_freed(state)

    def close(self, state: WorkerState, amount: Amount) -> None:
        """Subtract an amount of non-preemptible work or a guarantee unit."""
        state.open = minus(state.open, amount)

    def reopen(self, state: WorkerState, amount: Amount) -> None:
        """Release an amount subtracted by ``close``."""
        state.open = plus(state.open, amount)
        self.note_freed(state)

    def hold(self, state: WorkerState, amount: Amount) -> None:
        """Withhold an amount from runs that cannot be stopped in time."""
        state.held = plus(state.held, amount)

    def unhold(self, state: WorkerState, amount: Amount) -> None:
        """Release an amount withheld by ``hold``."""
        state.held = minus(state.held, amount)
        self.note_freed(state)

    def reindex(self, state: WorkerState) -> None:
        """Update the index and the group sums for one worker."""
        usable = state.usable
        free = state.free
        accelerators = max(0, free[0]) if usable else 0
        millicores = max(0, free[1]) if usable else 0
        for group in (state.rack, state.domain):
            group.free_accelerators += (
                accelerators - state.grouped_accelerators
            )
            group.free_millicores += millicores - state.grouped_millicores
        state.grouped_accelerators = accelerators
        state.grouped_millicores = millicores
        key = None
        if usable and free[0] >= 0 and free[1] >= 0 and free[2] >= 0:
            key = (free[0], free[1].bit_length())
        if key != state.index_key:
            self._set_index_key(state, key)

    def note_freed(self, state: WorkerState) -> None:
        """Record that a worker may now fit more than before.

        Only the latest entries are kept, at most ``_MAX_FREED_LOG``.
        """
        self.freed_count += 1
        self._freed_log.append(state)
        if len(self._freed_log) > _MAX_FREED_LOG:
            keep = _MAX_FREED_LOG // 2
            self._freed_log_start += len(self._freed_log) - keep
            del self._freed_log[:-keep]

    def freed_since(self, count: int) -> dict[str, WorkerState] | None:
        """Return the workers freed since ``freed_count`` had this value.

        Returns None if the log no longer reaches back that far.
        """
        if count < self._freed_log_start:
            return None
        log = self._freed_log[count - self._freed_log_start :]
        return {state.worker_id: state for state in log}

    def index_keys(self, need: Amount) -> Iterator[IndexKey]:
        """Yield keys of workers that may fit a need, least free first.

        The bit length of millicores is only a lower bound: workers under
        a yielded key must still be checked.
        """
        bits = need[1].bit_length()
        for key in sorted(self.by_index_key):
            if key[0] >= need[0] and key[1] >= bits:
                yield key

    def online_workers(self) -> list[WorkerState]:
        """Return the online workers in the order in which they were added."""
        return [state for state in self.by_id.values() if state.online]

    def _create(self, worker: Worker) -> WorkerState:
        capacity = offered(worker.capacity)
        state = WorkerState(
            worker=worker,
            rack=self._rack_group(worker),
            domain=self._domain_group(worker),
            order=len(self.by_id),
            capacity=capacity,
            free=capacity,
            open=capacity,
        )
        state.rack.workers.append(state)
        state.domain.workers.append(state)
        self.by_id[worker.worker_id] = state
        return state

    def _update_worker(self, state: WorkerState, worker: Worker) -> None:
        state.online = False
        self.reindex(state)
        self._leave_groups(state)
        capacity = offered(worker.capacity)
        change = minus(capacity, state.capacity)
        state.worker = worker
        state.capacity = capacity
        state.free = plus(state.free, change)
        state.open = plus(state.open, change)
        state.rack = self._rack_group(worker)
        state.domain = self._domain_group(worker)
        state.rack.workers.append(state)
        state.domain.workers.append(state)

    def _leave_groups(self, state: WorkerState) -> None:
        state.rack.workers.remove(state)
        state.domain.workers.remove(state)
        if not state.rack.workers:
            del self.rack_by_name[state.rack.name]
        if not state.domain.workers:
            del self.domain_by_name[state.domain.name]

    def _rack_group(self, worker: Worker) -> Group:
        group = self.rack_by_name.get(worker.rack)
        if group is None:
            group = Group(worker.rack, worker.failure_domain)
            self.rack_by_name[worker.rack] = group
        return group

    def _domain_group(self, worker: Worker) -> Group:
        name = worker.failure_domain
        group = self.domain_by_name.get(name)
        if group is None:
            group = Group(name, name)
            self.domain_by_name[name] = group
        return group

    def _set_index_key(self, state: WorkerState, key: IndexKey | None) -> None:
        if state.index_key is not None:
            workers = self.by_index_key[state.index_key]
            del workers[state.worker_id]
            if not workers:
                del self.by_index_key[state.index_key]
        state.index_key = key
        if key is not None:
            workers = self.by_index_key.setdefault(key, {})
            workers[state.worker_id] = state

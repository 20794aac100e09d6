"""Divides the rows that a decision changed into bounded transactions.

The order of the transactions is safe wherever it is cut off: a decider that
loses its lease between two of them leaves rows that the next one completes.

* The progress of a job is written before, or together with, the orders that
  follow from it. The next decider derives all orders from the progress.
* Tasks leave a silent worker in the same transaction as their orders leave
  its orders row, so that a worker that comes back finds no order for a task
  that has been placed elsewhere since.

A job whose changed rows take more than a transaction is written in several:
parts of its progress first, each of which tells of its own tasks, then its
head with the parts of tasks that left a silent worker.

Jobs are written by urgency, so that under a burst urgent work does not wait
for the rows of the rest.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.model import job_id_of
from filbertlb.batch.model import JobStatus
from filbertlb.batch.model import orders_key
from filbertlb.batch.model import PROGRESS_PREFIX
from filbertlb.batch.model import STATUS_PREFIX
from filbertlb.batch.progress_rows import gang_continues
from filbertlb.batch.progress_rows import part_numbers
from filbertlb.batch.progress_rows import progress_job_id
from filbertlb.batch.progress_rows import progress_writes
from filbertlb.table.base import stored_bytes
from filbertlb.table.base import TransactionLimits
from filbertlb.table.base import Write
from filbertlb.table.rows import encode_value

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Sequence

    from filbertlb.batch.planner_state import PlannerState
    from filbertlb.batch.progress_rows import ProgressWrites

KEY_OVERHEAD_BYTES = 160
"""Size of an entry of a transaction besides its key and value."""


@attrs.frozen
class WriteUnit:
    """Rows that are written in one transaction.

    Parameters
    ----------
    jobs, nodes : frozenset of str
        Jobs and nodes whose changes the rows contain.
    """

    writes: tuple[Write, ...]
    jobs: frozenset[str] = frozenset()
    nodes: frozenset[str] = frozenset()

    @property
    def entries(self) -> int:
        """Number of entries in a transaction."""
        return sum(
            1 if write.expected_version is None else 2 for write in self.writes
        )

    @property
    def total_bytes(self) -> int:
        """Size in a transaction."""
        return sum(
            stored_bytes(write.value) + len(write.key) + KEY_OVERHEAD_BYTES
            for write in self.writes
        )

    def jobs_over(self, row_bytes: int) -> frozenset[str]:
        """Return the jobs with a row of progress that is too large."""
        return frozenset(
            progress_job_id(write.key)
            for write in self.writes
            if write.key.startswith(PROGRESS_PREFIX)
            and stored_bytes(write.value) > row_bytes
        )


@attrs.frozen
class WritePlan:
    """Transactions in the order of writing.

    Parameters
    ----------
    oversized : tuple of WriteUnit
        Units that alone exceed the table's limits; in no transaction.
    row_bytes : int
        Size of a row, at most.
    """

    transactions: tuple[WriteUnit, ...]
    oversized: tuple[WriteUnit, ...] = ()
    row_bytes: int = TransactionLimits().row_bytes

    def oversized_jobs(self) -> frozenset[str]:
        """Return the jobs that must get smaller for the rest to be written."""
        jobs = (unit.jobs_over(self.row_bytes) for unit in self.oversized)
        return frozenset().union(*jobs)


def changed_units(
    state: PlannerState, epoch: int, limits: TransactionLimits | None = None
) -> Iterator[WriteUnit]:
    """Yield the changed rows of a planner in the order of writing."""
    limits = limits or TransactionLimits()
    jobs = set(state.changed_jobs)
    nodes = set(state.changed_nodes)
    for node, tasks in sorted(state.tasks_lost_by_node.items()):
        left = sorted(jobs & set(map(job_id_of, tasks)))
        jobs.difference_update(left)
        nodes.discard(node)
        orders = _orders_unit(state, node, epoch, limits)
        rows = [progress_writes(state, job, limits.row_bytes) for job in left]
        yield from _units_with_orders(state, orders, rows, tasks, limits)
    for job_id in sorted(jobs, key=lambda job_id: _job_rank(state, job_id)):
        rows = [progress_writes(state, job_id, limits.row_bytes)]
        yield from _units_with_orders(state, None, rows, (), limits)
    for node in sorted(nodes, key=lambda node: _node_rank(state, node)):
        yield _orders_unit(state, node, epoch, limits)


def _units_with_orders(
    state: PlannerState,
    orders: WriteUnit | None,
    rows: Sequence[ProgressWrites],
    lost: Collection[str],
    limits: TransactionLimits,
) -> Iterator[WriteUnit]:
    """Yield the rows of jobs, in one unit if it fits a transaction.

    Otherwise the parts without lost tasks are written before.

    Parameters
    ----------
    orders : WriteUnit, optional
        Orders of a silent node, written together with its lost tasks.
    lost : collection of str
        Tasks that left that node.
    """
    first = [] if orders is None else [orders]
    whole = _join([*first, *(_job_unit(state, row) for row in rows)])
    if _fits(whole, limits):
        yield whole
        return
    last = first
    for row in rows:
        progress = state.progress[row.job_id]
        kept = part_numbers(progress, lost) if lost else set()
        for unit in _part_units(state, row, kept):
            if _fits(unit, limits):
                yield unit
            else:
                yield from (WriteUnit((write,)) for write in unit.writes)
        last.append(_job_unit(state, row, kept))
    yield _join(last)


def _part_units(
    state: PlannerState, rows: ProgressWrites, kept: Collection[int]
) -> Iterator[WriteUnit]:
    """Yield the parts, without those kept for later; a gang's together.

    If some members were stored as done and the runs of the others were
    lost, the gang could never start again.
    """
    tasks = list(state.progress[rows.job_id].tasks)
    writes: list[Write] = []
    previous = -1
    for number, write in sorted(rows.part_by_number.items()):
        if number in kept:
            continue
        joins = number == previous + 1 > 0
        if writes and not (joins and gang_continues(state, tasks, number)):
            yield WriteUnit(tuple(writes))
            writes = []
        writes.append(write)
        previous = number
    if writes:
        yield WriteUnit(tuple(writes))


def divide(
    units: Iterable[WriteUnit],
    limits: TransactionLimits,
    batch_entries: int | None = None,
) -> WritePlan:
    """Join consecutive units as long as they stay within the limits.

    Parameters
    ----------
    batch_entries : int, optional
        Entries up to which units are joined, if fewer than the limit. A
        single unit may have more.
    """
    max_entries = min(limits.entries, batch_entries or limits.entries)
    batches: list[list[WriteUnit]] = []
    oversized: list[WriteUnit] = []
    entries = total_bytes = 0
    for unit in units:
        if not _fits(unit, limits):
            oversized.append(unit)
            continue
        entries += unit.entries
        total_bytes += unit.total_bytes
        full = entries > max_entries or total_bytes > limits.total_bytes
        if full or not batches:
            batches.append([])
            entries, total_bytes = unit.entries, unit.total_bytes
        batches[-1].append(unit)
    transactions = tuple(_join(batch) for batch in batches)
    return WritePlan(transactions, tuple(oversized), limits.row_bytes)


def _join(units: Sequence[WriteUnit]) -> WriteUnit:
    """Return one unit of the rows of several."""
    return WriteUnit(
        tuple(write for unit in units for write in unit.writes),
        frozenset().union(*(unit.jobs for unit in units)),
        frozenset().union(*(unit.nodes for unit in units)),
    )


def _fits(unit: WriteUnit, limits: TransactionLimits) -> bool:
    return (
        unit.entries <= limits.entries
        and unit.total_bytes <= limits.total_bytes
        and all(
            stored_bytes(write.value) <= limits.row_bytes
            for write in unit.writes
        )
    )


def _job_unit(
    state: PlannerState,
    rows: ProgressWrites,
    numbers: Collection[int] | None = None,
) -> WriteUnit:
    """Return the rows of a job: head, status and parts.

    Parameters
    ----------
    numbers : collection of int, optional
        Parts to include; by default all that have changed.
    """
    job_id = rows.job_id
    writes = [
        write
        for number, write in rows.part_by_number.items()
        if numbers is None or number in numbers
    ]
    writes.append(rows.head)
    if job_id in state.changed_statuses:
        progress = state.progress[job_id]
        status = JobStatus(progress.state, progress.started, progress.failure)
        writes.append(Write(STATUS_PREFIX + job_id, encode_value(status)))
    return WriteUnit(tuple(writes), jobs=frozenset((job_id,)))


def _orders_unit(
    state: PlannerState, node: str, epoch: int, limits: TransactionLimits
) -> WriteUnit:
    """Return the orders row of a node, with as many orders as it holds."""
    row = state.orders_of(node, epoch)
    value = encode_value(row)
    while row.orders and stored_bytes(value) > limits.row_bytes:
        row = row.without_newest(max(1, len(row.orders) // 4))
        value = encode_value(row)
    write = Write(orders_key(node), value)
    return WriteUnit((write,), nodes=frozenset((node,)))


def _job_rank(state: PlannerState, job_id: str) -> tuple[int, str]:
    return (state.jobs[job_id].priority, job_id)


def _node_rank(state: PlannerState, node: str) -> tuple[int, str]:
    priorities = [state.job_of(task).priority for task in state.tasks_on(node)]
    return (min(priorities, default=0), node)

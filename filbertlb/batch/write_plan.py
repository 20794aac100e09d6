"""Divides the rows that a decision changed into bounded transactions.

The order of the transactions is safe wherever it is cut off: a decider that
loses its lease between two of them leaves rows that the next one completes.

* The progress of a job is written before, or together with, the orders that
  follow from it. The next decider derives all orders from the progress.
* Tasks leave a silent worker in the same transaction as their orders leave
  its orders row, so that a worker that comes back finds no order for a task
  that has been placed elsewhere since.

Jobs are written by urgency, so that under a burst urgent work does not wait
for the rows of the rest.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.model import JobStatus
from filbertlb.batch.model import orders_key
from filbertlb.batch.model import PROGRESS_PREFIX
from filbertlb.batch.model import STATUS_PREFIX
from filbertlb.table.base import Write
from filbertlb.table.rows import encode_value

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Sequence

    from filbertlb.batch.planner_state import PlannerState
    from filbertlb.table.base import TransactionLimits

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
            _stored_bytes(write) + len(write.key) + KEY_OVERHEAD_BYTES
            for write in self.writes
        )

    def largest_job(self) -> str | None:
        """Return the job with the largest progress row, if there is one."""
        size_by_job = {
            write.key.removeprefix(PROGRESS_PREFIX): _stored_bytes(write)
            for write in self.writes
            if write.key.startswith(PROGRESS_PREFIX)
        }
        return max(size_by_job, key=size_by_job.__getitem__, default=None)


@attrs.frozen
class WritePlan:
    """Transactions in the order of writing.

    Parameters
    ----------
    oversized : tuple of WriteUnit
        Units that alone exceed the table's limits; in no transaction.
    """

    transactions: tuple[WriteUnit, ...]
    oversized: tuple[WriteUnit, ...] = ()

    def oversized_jobs(self) -> frozenset[str]:
        """Return the jobs that must get smaller for the rest to be written.

        It is the one with the largest row of each unit: a unit of several
        jobs does not fit because of that row.
        """
        jobs = (unit.largest_job() for unit in self.oversized)
        return frozenset(job_id for job_id in jobs if job_id is not None)


def changed_units(state: PlannerState, epoch: int) -> Iterator[WriteUnit]:
    """Yield the changed rows of a planner in the order of writing."""
    jobs = set(state.changed_jobs)
    nodes = set(state.changed_nodes)
    for node, left_jobs in sorted(state.jobs_lost_by_node.items()):
        left = sorted(left_jobs & jobs)
        units = [_job_unit(state, job_id) for job_id in left]
        jobs.difference_update(left)
        nodes.discard(node)
        yield _join([_orders_unit(state, node, epoch), *units])
    for job_id in sorted(jobs, key=lambda job_id: _job_rank(state, job_id)):
        yield _job_unit(state, job_id)
    for node in sorted(nodes, key=lambda node: _node_rank(state, node)):
        yield _orders_unit(state, node, epoch)


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
    return WritePlan(transactions, tuple(oversized))


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
            _stored_bytes(write) <= limits.row_bytes for write in unit.writes
        )
    )


def _stored_bytes(write: Write) -> int:
    """Return the size of a value in base64."""
    return 0 if write.value is None else (len(write.value) + 2) // 3 * 4


def _job_unit(state: PlannerState, job_id: str) -> WriteUnit:
    progress = state.progress[job_id]
    writes = [Write(PROGRESS_PREFIX + job_id, encode_value(progress))]
    if job_id in state.changed_statuses:
        status = JobStatus(progress.state, progress.started, progress.failure)
        writes.append(Write(STATUS_PREFIX + job_id, encode_value(status)))
    return WriteUnit(tuple(writes), jobs=frozenset((job_id,)))


def _orders_unit(state: PlannerState, node: str, epoch: int) -> WriteUnit:
    value = encode_value(state.orders_of(node, epoch))
    write = Write(orders_key(node), value)
    return WriteUnit((write,), nodes=frozenset((node,)))


def _job_rank(state: PlannerState, job_id: str) -> tuple[int, str]:
    return (state.jobs[job_id].priority, job_id)


def _node_rank(state: PlannerState, node: str) -> tuple[int, str]:
    priorities = [state.job_of(task).priority for task in state.tasks_on(node)]
    return (min(priorities, default=0), node)

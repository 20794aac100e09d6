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

    def joined(self, other: WriteUnit) -> WriteUnit:
        """Return a unit of the rows of both."""
        return WriteUnit(
            self.writes + other.writes,
            self.jobs | other.jobs,
            self.nodes | other.nodes,
        )


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
        """Return the jobs whose rows exceed the table's limits."""
        return frozenset().union(*(unit.jobs for unit in self.oversized))


def changed_units(state: PlannerState, epoch: int) -> Iterator[WriteUnit]:
    """Yield the changed rows of a planner in the order of writing."""
    jobs = set(state.changed_jobs)
    nodes = set(state.changed_nodes)
    for node, left_jobs in sorted(state.jobs_lost_by_node.items()):
        left = sorted(left_jobs & jobs)
        unit = _orders_unit(state, node, epoch)
        for job_id in left:
            unit = unit.joined(_job_unit(state, job_id))
        jobs.difference_update(left)
        nodes.discard(node)
        yield unit
    for job_id in sorted(jobs, key=lambda job_id: _job_rank(state, job_id)):
        yield _job_unit(state, job_id)
    for node in sorted(nodes, key=lambda node: _node_rank(state, node)):
        yield _orders_unit(state, node, epoch)


def divide(units: Iterable[WriteUnit], limits: TransactionLimits) -> WritePlan:
    """Join consecutive units as long as they stay within the limits."""
    transactions: list[WriteUnit] = []
    oversized: list[WriteUnit] = []
    for unit in units:
        joined = transactions[-1].joined(unit) if transactions else unit
        if _fits(joined, limits):
            transactions[-1:] = [joined]
        elif _fits(unit, limits):
            transactions.append(unit)
        else:
            oversized.append(unit)
    return WritePlan(tuple(transactions), tuple(oversized))


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
        status = JobStatus(progress.state, progress.started)
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

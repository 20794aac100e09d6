"""Deciders of entries, agents that report, and tables that refuse calls."""

from __future__ import annotations

from base64 import b64encode
from contextlib import contextmanager
from random import Random

import attrs
from gevent import sleep
from gevent import spawn
from gevent import Timeout

from filbertlb.batch.decider import Decider
from filbertlb.batch.durations import RunTimes
from filbertlb.batch.index import JobIndex
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import JOB_PREFIX
from filbertlb.batch.model import JobState
from filbertlb.batch.model import Orders
from filbertlb.batch.model import orders_key
from filbertlb.batch.model import Progress
from filbertlb.batch.model import PROGRESS_PREFIX
from filbertlb.batch.model import Run
from filbertlb.batch.model import RunEnd
from filbertlb.batch.model import STATE_TABLE
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.model import TaskRecord
from filbertlb.batch.model import WORKER_PREFIX
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_report
from filbertlb.batch.testing import a_worker
from filbertlb.core.clock import SystemClock
from filbertlb.table.base import TableRejectedError
from filbertlb.table.base import TableUnavailableError
from filbertlb.table.base import Write
from filbertlb.table.memory import MemoryTable
from filbertlb.table.mirror import Follower
from filbertlb.table.mirror import Mirror
from filbertlb.table.rows import decode_row
from filbertlb.table.rows import encode_value

DEADLINE_S = 30.0
REPORT_PERIOD_S = 0.1


@attrs.define
class LimitedTable(MemoryTable):
    """Rejects large transactions; refuses some calls on demand.

    Parameters
    ----------
    refused_commits : int
        Coming transactions of several rows that are refused.
    rejected_commits : int
        Coming transactions of several rows that are rejected.
    unreadable : set of str
        Prefixes whose snapshots and changes get no answer.
    unanswered : int
        Number of such calls so far.
    """

    max_entries: int = 100
    max_bytes: int = 1_000_000
    refused_commits: int = 0
    rejected_commits: int = 0
    unreadable: set = attrs.Factory(set)
    unanswered: int = 0
    rejected: int = 0
    progress_reads: int = 0

    def commit(self, writes):
        entries = sum(
            1 + (write.expected_version is not None) for write in writes
        )
        if entries > self.max_entries:
            self.rejected += 1
            raise TableRejectedError(f"{entries} entries")
        total_bytes = sum(
            len(write.key) + len(b64encode(write.value or b""))
            for write in writes
        )
        if total_bytes > self.max_bytes:
            self.rejected += 1
            raise TableRejectedError(f"{total_bytes} bytes")
        if self.rejected_commits and len(writes) > 1:
            self.rejected_commits -= 1
            raise TableRejectedError("403")
        if self.refused_commits and len(writes) > 1:
            self.refused_commits -= 1
            raise TableUnavailableError("429")
        return MemoryTable.commit(self, writes)

    def snapshot(self, prefix):
        if prefix in self.unreadable:
            self.unanswered += 1
            raise TableUnavailableError("no answer")
        self.progress_reads += prefix == PROGRESS_PREFIX
        return MemoryTable.snapshot(self, prefix)

    def changes(self, table, *call):
        if f"{table}/" in self.unreadable:
            self.unanswered += 1
            raise TableUnavailableError("no answer")
        return MemoryTable.changes(self, table, *call)


class UnreadableTable:
    """A process's view of a table whose snapshots it cannot read."""

    def __init__(self, table):
        self._table = table

    def __getattr__(self, name):
        return getattr(self._table, name)

    def snapshot(self, prefix):
        if prefix != f"{STATE_TABLE}/":
            raise TableUnavailableError("no answer")
        return self._table.snapshot(prefix)


def report_again(table):
    """Store each worker's report again and again, as its agent does."""
    while True:
        for row in MemoryTable.scan(table, WORKER_PREFIX):
            MemoryTable.commit(table, [Write(row.key, row.value)])
        sleep(REPORT_PERIOD_S)


@contextmanager
def deciding(
    table,
    name="entry",
    slow=False,
    run_times=RunTimes.DECLARED,
    by_benefit=False,
    limits=None,
):
    """Run the tasks of one entry's decider while the agents report."""
    index, mirror, clock = JobIndex(), Mirror(), SystemClock()
    mirror.add_listener(index.apply_row)
    decider = Decider(
        *(table, mirror, index, clock, name, "coast", dict),
        slow=slow,
        run_times=run_times,
        by_benefit=by_benefit,
        limits=limits,
    )
    follower = Follower(table, STATE_TABLE, mirror, clock)
    tasks = [
        spawn(task) for task in (follower.run, decider.keep_lease, decider.run)
    ]
    tasks.append(spawn(report_again, getattr(table, "_table", table)))
    try:
        yield decider
    finally:
        for task in tasks:
            task.kill()


def wait_until(condition):
    with Timeout(DEADLINE_S):
        while not condition():
            sleep(0.01)


def put(table, key, value):
    MemoryTable.commit(table, [Write(key, encode_value(value))])


def put_workers(table, nodes):
    for node in nodes:
        put(table, WORKER_PREFIX + node, a_report(node))


def put_running_jobs(table, nodes):
    """Store one job a node whose run an earlier decider has ordered."""
    for node in nodes:
        job_id = f"job-{node}"
        record = TaskRecord(
            TaskPhase.ORDERED, attempt=1, node=node, incarnation="w@1"
        )
        progress = Progress(
            job_id, JobState.ACTIVE, True, {f"{job_id}.0.0.0": record}
        )
        put(table, JOB_PREFIX + job_id, a_job(job_id))
        put(table, PROGRESS_PREFIX + job_id, progress)


def orders_on(table, node):
    row = table.get(orders_key(node))
    if row is None:
        return None
    return [order.task for order in decode_row(row, Orders).orders]


def put_report_of_runs(table, node, incarnation, finishing):
    """Store the report of an agent whose worker runs what is ordered."""
    row = table.get(orders_key(node))
    orders = () if row is None else decode_row(row, Orders).orders
    active = [order for order in orders if order.incarnation == incarnation]
    ended = [
        RunEnd(order.task, order.attempt, EndCause.LOST)
        for order in orders
        if order.incarnation != incarnation
    ]
    if finishing:
        ended += [
            RunEnd(order.task, order.attempt, EndCause.DONE)
            for order in active
        ]
        active = []
    report = a_report(
        node,
        registration=f"agent of {incarnation}",
        worker=a_worker(incarnation=incarnation),
        running=tuple(Run(order.task, order.attempt) for order in active),
        ended=tuple(ended),
    )
    put(table, WORKER_PREFIX + node, report)


@contextmanager
def machines(table, nodes, incarnation, *, finishing, limits=None):
    """Run an entry, agents and workers that all end at once.

    Parameters
    ----------
    finishing : bool
        Runs are done at once; otherwise they go on until the end.
    """

    def report_runs():
        while True:
            for node in nodes:
                put_report_of_runs(table, node, incarnation, finishing)
            sleep(REPORT_PERIOD_S)

    agents = spawn(report_runs)
    try:
        with deciding(table, f"entry of {incarnation}", limits=limits):
            yield
    finally:
        agents.kill()


def progress_of(table, job_id):
    row = table.get(PROGRESS_PREFIX + job_id)
    return Progress(job_id) if row is None else decode_row(row, Progress)


def put_job(table, job_id, step, payload_bytes):
    """Store a job whose payload cannot be compressed."""
    payload = b64encode(Random(job_id).randbytes(payload_bytes)).decode()
    put(table, JOB_PREFIX + job_id, a_job(job_id, step, payload=payload))

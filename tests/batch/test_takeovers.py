"""Take-over after take-over, in virtual time."""

from __future__ import annotations

import pytest

from filbertlb.batch.index import JobIndex
from filbertlb.batch.model import JOB_PREFIX
from filbertlb.batch.model import JobState
from filbertlb.batch.model import Orders
from filbertlb.batch.model import orders_key
from filbertlb.batch.model import Progress
from filbertlb.batch.model import PROGRESS_PREFIX
from filbertlb.batch.model import Run
from filbertlb.batch.model import STATE_TABLE
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.model import TaskRecord
from filbertlb.batch.model import WORKER_PREFIX
from filbertlb.batch.model import WorkerReport
from filbertlb.batch.takeover import build_planner
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_report
from filbertlb.batch.workers import DEAD_AFTER_S
from filbertlb.batch.write_plan import changed_units
from filbertlb.core.clock import VirtualClock
from filbertlb.table.base import Write
from filbertlb.table.memory import MemoryTable
from filbertlb.table.mirror import Mirror
from filbertlb.table.rows import decode_row
from filbertlb.table.rows import encode_value

REPORT_PERIOD_S = 1.0
JOB_ID = "j"


def put(table, key, value):
    table.commit([Write(key, encode_value(value))])


def orders_on(table, node):
    row = table.get(orders_key(node))
    return () if row is None else decode_row(row, Orders).orders


def put_report(table, node):
    """Store the report of an agent whose worker runs what is ordered."""
    running = tuple(
        Run(order.task, order.attempt) for order in orders_on(table, node)
    )
    put(table, WORKER_PREFIX + node, a_report(node, running=running))


def report_of(table, node):
    return decode_row(table.get(WORKER_PREFIX + node), WorkerReport)


def put_running_job(table, node):
    """Store a job whose task an earlier decider has ordered on a node."""
    record = TaskRecord(
        TaskPhase.ORDERED, attempt=1, node=node, incarnation="w@1"
    )
    tasks = {f"{JOB_ID}.0.0.0": record}
    progress = Progress(JOB_ID, JobState.ACTIVE, True, tasks)
    put(table, JOB_PREFIX + JOB_ID, a_job(JOB_ID))
    put(table, PROGRESS_PREFIX + JOB_ID, progress)


def decide_for(table, clock, live_nodes, periods):
    """Decide as a process that has just taken the lease over."""
    index, jobs, workers = JobIndex(), Mirror(), Mirror()
    jobs.add_listener(index.apply_row)
    jobs.replace(table.snapshot(f"{STATE_TABLE}/"), clock.monotonic())
    workers.replace(table.snapshot(WORKER_PREFIX), clock.monotonic())
    planner = build_planner(table, jobs, index, workers, clock)
    for _ in range(periods):
        for node in live_nodes:
            put_report(table, node)
            planner.record_report(report_of(table, node), clock.monotonic())
        planner.decide(clock.monotonic(), int(clock.wall() * 1000))
        for unit in list(changed_units(planner.state, 1)):
            table.commit(unit.writes)
            planner.state.mark_written(unit.jobs, unit.nodes)
        clock.advance(REPORT_PERIOD_S)


@pytest.mark.parametrize("periods", [60, 14, 10, 5])
def test_job_of_a_departed_worker_runs_again_in_spite_of_take_overs(periods):
    # Each take-over counted the last report of a departed worker as new.
    table, clock = MemoryTable(), VirtualClock(1000.0)
    put(table, WORKER_PREFIX + "departed", a_report("departed"))
    put(table, WORKER_PREFIX + "live", a_report("live"))
    put_running_job(table, "departed")
    end_s = clock.now_s + 5 * DEAD_AFTER_S
    while clock.now_s < end_s:
        decide_for(table, clock, ["live"], periods)
    assert [order.task for order in orders_on(table, "live")] == [
        f"{JOB_ID}.0.0.0"
    ]


def test_new_job_is_not_placed_on_a_worker_that_has_long_departed():
    # After a take-over its last report counted as new, and it looked idle.
    table, clock = MemoryTable(), VirtualClock(1000.0)
    put(table, WORKER_PREFIX + "departed", a_report("departed"))
    put(table, WORKER_PREFIX + "live", a_report("live"))
    decide_for(table, clock, ["live"], 60)
    put(table, JOB_PREFIX + JOB_ID, a_job(JOB_ID))
    decide_for(table, clock, ["live"], 3)
    assert [order.task for order in orders_on(table, "live")] == [
        f"{JOB_ID}.0.0.0"
    ]

"""Deciders beside rows of other writers that are damaged or don't fit."""

from __future__ import annotations

import attrs
import pytest

from filbertlb.batch.model import CANCEL_PREFIX
from filbertlb.batch.model import JOB_PREFIX
from filbertlb.batch.model import JobState
from filbertlb.batch.model import JobStatus
from filbertlb.batch.model import orders_key
from filbertlb.batch.model import Progress
from filbertlb.batch.model import PROGRESS_PREFIX
from filbertlb.batch.model import Run
from filbertlb.batch.model import STATUS_PREFIX
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.model import TaskRecord
from filbertlb.batch.model import WORKER_PREFIX
from filbertlb.batch.peers import ENTRY_PREFIX
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_report
from filbertlb.batch.testing import a_step
from filbertlb.batch.testing import a_worker
from filbertlb.batch.version_marks import VersionMarks
from filbertlb.batch.version_marks import VERSIONS_KEY
from filbertlb.table.base import TransactionLimits
from filbertlb.table.base import Write
from filbertlb.table.memory import MemoryTable
from filbertlb.table.rows import decode_row
from tests.batch.deciding import deciding
from tests.batch.deciding import LimitedTable
from tests.batch.deciding import machines
from tests.batch.deciding import orders_on
from tests.batch.deciding import put
from tests.batch.deciding import put_running_jobs
from tests.batch.deciding import put_workers
from tests.batch.deciding import wait_until


def test_job_with_unreadable_progress_is_not_run_again():
    table = LimitedTable()
    put_workers(table, ["n0"])
    put(table, JOB_PREFIX + "a", a_job("a"))
    MemoryTable.commit(table, [Write(PROGRESS_PREFIX + "a", b"\x78damaged")])
    put(table, JOB_PREFIX + "b", a_job("b"))
    with deciding(table):
        wait_until(lambda: orders_on(table, "n0") == ["b.0.0.0"])
    assert table.get(PROGRESS_PREFIX + "a").value == b"\x78damaged"


DEEP = b"[" * 100_000 + b"]" * 100_000
ODD_VALUES = {
    "deep": DEEP,
    "deep member": b'{"state":' + DEEP + b"}",
    "not UTF-8": b"\xff\xfe",
}
HUGE = 10**309
HUGE_VALUES = {
    "job": (JOB_PREFIX, a_job("odd", a_step(estimate_ms=HUGE))),
    "job in time": (JOB_PREFIX, a_job("odd", first_due_ms=HUGE, times=1)),
    "progress": (
        PROGRESS_PREFIX,
        Progress(
            "job-n0",
            JobState.ACTIVE,
            True,
            {"job-n0.0.0.0": TaskRecord(since_ms=HUGE)},
        ),
    ),
    "capacity": (
        WORKER_PREFIX,
        a_report("odd", worker=a_worker(capacity=(HUGE, HUGE, HUGE))),
    ),
    "percent": (
        WORKER_PREFIX,
        a_report("odd", running=(Run("j.0.0.0", 1, "", HUGE),)),
    ),
}
MISFITS = {
    "job of another key": (JOB_PREFIX, a_job("another")),
    "job without steps": (
        JOB_PREFIX,
        attrs.evolve(a_job("odd", priority=0), steps=()),
    ),
    "step after none": (JOB_PREFIX, a_job("odd", a_step(after=(7,)))),
    "too many tasks": (JOB_PREFIX, a_job("odd", a_step(10**12))),
    "step without tasks": (JOB_PREFIX, a_job("odd", a_step(0))),
    "progress of another job": (
        PROGRESS_PREFIX,
        Progress("j", JobState.COMPLETE, True),
    ),
    "task without step": (
        PROGRESS_PREFIX,
        Progress("job-n0", tasks={"job-n0": TaskRecord(failures=1)}),
    ),
    "run without step": (
        WORKER_PREFIX,
        a_report("odd", running=(Run("job-n0", 1, "", 40),)),
    ),
    "run of no such step": (
        WORKER_PREFIX,
        a_report("odd", running=(Run("job-n0.0.7.0", 1, "", 40),)),
    ),
    "report of another node": (
        WORKER_PREFIX,
        a_report("n0", answers=False),
    ),
}


@pytest.mark.parametrize("odd", MISFITS)
def test_row_that_does_not_fit_stops_no_decider(odd):
    # Each decision failed on a step that the job does not have.
    check_decisions_beside(*MISFITS[odd])


def test_progress_of_unknown_tasks_leaves_its_job_alone():
    table = LimitedTable()
    put_workers(table, ["n0"])
    put(table, JOB_PREFIX + "a", a_job("a"))
    tasks = {"a.0.7.0": TaskRecord(TaskPhase.ORDERED, 1, node="n0")}
    put(table, PROGRESS_PREFIX + "a", Progress("a", tasks=tasks))
    put(table, JOB_PREFIX + "b", a_job("b"))
    with deciding(table):
        wait_until(lambda: orders_on(table, "n0") == ["b.0.0.0"])


@pytest.mark.parametrize("odd", HUGE_VALUES)
def test_huge_number_of_another_writer_stops_no_decider(odd):
    # Each decision failed on such an estimate, too large for a float.
    check_decisions_beside(*HUGE_VALUES[odd])


def check_decisions_beside(prefix, value):
    """Place a job beside a row of another writer."""
    table = LimitedTable()
    put(table, prefix + "odd", value)
    put_workers(table, ["n0"])
    put_running_jobs(table, ["n0"])
    put(table, JOB_PREFIX + "j", a_job("j"))
    with deciding(table):
        wait_until(
            lambda: (
                orders_on(table, "n0") and "j.0.0.0" in orders_on(table, "n0")
            )
        )


def put_odd_rows(table, value, name="odd"):
    """Store a value of another writer in each table of the decider."""
    prefixes = (
        *(WORKER_PREFIX, PROGRESS_PREFIX, JOB_PREFIX),
        *(STATUS_PREFIX, CANCEL_PREFIX, ENTRY_PREFIX),
    )
    for prefix in prefixes:
        MemoryTable.commit(table, [Write(prefix + name, value)])
    MemoryTable.commit(table, [Write(orders_key(name), value)])


@pytest.mark.parametrize("odd", ODD_VALUES)
def test_odd_rows_of_another_writer_stop_no_decider(odd):
    # Each take-over failed on them until the day's end.
    table = LimitedTable()
    put_odd_rows(table, ODD_VALUES[odd])
    put_workers(table, ["n0"])
    put_running_jobs(table, ["n0"])
    with deciding(table):
        wait_until(lambda: orders_on(table, "n0") == ["job-n0.0.0.0"])
        put_odd_rows(table, ODD_VALUES[odd], "later")
        put(table, JOB_PREFIX + "j", a_job("j"))
        wait_until(lambda: "j.0.0.0" in orders_on(table, "n0"))


def test_times_of_versions_are_handed_on():
    table = LimitedTable(clock_ms=5000)
    put_workers(table, ["n0"])
    with deciding(table):
        wait_until(lambda: table.get(VERSIONS_KEY) is not None)
    (mark,) = decode_row(table.get(VERSIONS_KEY), VersionMarks).marks
    assert mark.clock_ms == 5000


def test_unreadable_times_of_versions_stop_no_decider():
    table = LimitedTable(clock_ms=5000)
    MemoryTable.commit(table, [Write(VERSIONS_KEY, b"odd")])
    put_workers(table, ["n0"])
    put(table, JOB_PREFIX + "j", a_job("j"))
    with deciding(table):
        wait_until(lambda: orders_on(table, "n0") == ["j.0.0.0"])


def test_divided_job_of_many_tasks_failed_at_the_next_decider():
    # Its progress outgrew a row; now it outlives a loss of all machines.
    table, nodes = LimitedTable(), [f"n{number}" for number in range(8)]
    limits = TransactionLimits(row_bytes=1_200)
    step = a_step(300, needs=(0, 800, 10))
    with machines(table, nodes, "w@1", finishing=False, limits=limits):
        put(table, JOB_PREFIX + "j", a_job("j", step))
        wait_until(lambda: all(orders_on(table, node) for node in nodes))
    assert len(table.snapshot(PROGRESS_PREFIX).rows) > 1
    with machines(table, nodes, "w@2", finishing=True, limits=limits):
        wait_until(lambda: status_of(table, "j") is JobState.COMPLETE)


def status_of(table, job_id):
    row = table.get(STATUS_PREFIX + job_id)
    return None if row is None else decode_row(row, JobStatus).state

"""Deciders that learn run times and hand them on."""

from __future__ import annotations

import pytest

from filbertlb.batch import periodic_writes
from filbertlb.batch.durations import RunTimes
from filbertlb.batch.learned_row import LEARNED_KEY
from filbertlb.batch.learned_statistics import LearnedRunTimes
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import JOB_PREFIX
from filbertlb.batch.model import JobState
from filbertlb.batch.model import RunEnd
from filbertlb.batch.model import WORKER_PREFIX
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_report
from filbertlb.metrics import metrics_of
from filbertlb.table.base import TableRejectedError
from filbertlb.table.base import Write
from filbertlb.table.memory import MemoryTable
from filbertlb.table.rows import decode_row
from filbertlb.table.rows import UnreadableRowError
from tests.batch.deciding import deciding
from tests.batch.deciding import LimitedTable
from tests.batch.deciding import orders_on
from tests.batch.deciding import progress_of
from tests.batch.deciding import put
from tests.batch.deciding import put_workers
from tests.batch.deciding import wait_until


def test_learned_gauges_were_shown_after_the_entry_stopped_deciding():
    table = LimitedTable()
    with (
        deciding(table, run_times=RunTimes.LEARNED) as decider,
        metrics_of("entry", "edge-1") as metrics,
    ):
        wait_until(lambda: decider.deciding)
        decider.sample(metrics)
        assert "filbertlb_learned_keys{" in metrics.render().decode()
        decider.step_down()
        wait_until(lambda: not decider.deciding)
        decider.sample(metrics)
        assert "filbertlb_learned_keys{" not in metrics.render().decode()


def put_end(table, job_id, run_ms):
    """Report that the ordered task of a job is done."""
    wait_until(lambda: f"{job_id}.0.0.0" in (orders_on(table, "n0") or ()))
    done = RunEnd(f"{job_id}.0.0.0", 1, EndCause.DONE, run_ms=run_ms)
    put(table, WORKER_PREFIX + "n0", a_report("n0", ended=(done,)))
    wait_until(lambda: progress_of(table, job_id).state is JobState.COMPLETE)


def learned_runs(table):
    """Return the number of runs in the row of learned run times."""
    row = table.get(LEARNED_KEY)
    if row is None:
        return 0
    queues = decode_row(row, LearnedRunTimes).queues
    return sum(statistics.runs for statistics in queues.values())


def test_next_decider_goes_on_with_the_learned_run_times():
    table = LimitedTable()
    put_workers(table, ["n0"])
    for number in (1, 2):
        # Each decider writes once what it has learned.
        with deciding(table, f"entry-{number}", run_times=RunTimes.LEARNED):
            put(table, JOB_PREFIX + f"j{number}", a_job(f"j{number}"))
            put_end(table, f"j{number}", 8_000)
            wait_until(lambda count=number: learned_runs(table) == count)


@pytest.mark.parametrize(
    "value",
    [b"{", b"[]", b'{"queues":{"q":{"weight":-1}}}', b"\x78damaged"],
)
def test_unreadable_run_times_are_learned_again(value):
    table = LimitedTable()
    MemoryTable.commit(table, [Write(LEARNED_KEY, value)])
    put_workers(table, ["n0"])
    with deciding(table, run_times=RunTimes.LEARNED):
        put(table, JOB_PREFIX + "j", a_job("j"))
        put_end(table, "j", 8_000)
        wait_until(lambda: readable_runs(table) == 1)


def readable_runs(table):
    try:
        return learned_runs(table)
    except UnreadableRowError:
        return None


def test_declared_run_times_write_no_row():
    table = LimitedTable()
    put_workers(table, ["n0"])
    with deciding(table):
        put(table, JOB_PREFIX + "j", a_job("j"))
        put_end(table, "j", 8_000)
    assert table.get(LEARNED_KEY) is None


def test_decisions_go_on_if_the_learned_run_times_are_rejected(monkeypatch):
    # The row is a help only: its loss must not stop the decider.
    def reject(_):
        raise TableRejectedError("too large")

    table = LimitedTable()
    put_workers(table, ["n0"])
    with deciding(table, run_times=RunTimes.LEARNED) as decider:
        wait_until(lambda: decider.deciding)
        reads = table.progress_reads
        monkeypatch.setattr(periodic_writes, "learned_write", reject)
        for job_id in ("a", "b"):
            put(table, JOB_PREFIX + job_id, a_job(job_id))
            put_end(table, job_id, 8_000)
        assert table.progress_reads == reads
    assert table.get(LEARNED_KEY) is None

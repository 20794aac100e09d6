from __future__ import annotations

import pytest

from filbertlb.batch.index import JobIndex
from filbertlb.batch.model import JobState
from filbertlb.batch.model import TaskRecord
from filbertlb.batch.planner import Planner
from filbertlb.batch.service import JobService
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_step
from filbertlb.batch.write_plan import changed_units
from filbertlb.core.clock import VirtualClock
from filbertlb.table.base import Row
from filbertlb.table.memory import MemoryTable
from filbertlb.table.mirror import Mirror

FAILED = TaskRecord(attempt=3, failures=2, avoid="n0")


def exhausted(planner):
    planner.state.set_record("a.0.0.0", FAILED)
    planner.decide(0.0, 0)


def oversized(planner):
    planner.state.set_record("a.0.0.0", FAILED)
    planner.fail_oversized_job("a", 0)


def index_of(planner):
    """Return the index of an entry that reads what a planner stored."""
    index = JobIndex()
    index.jobs["a"] = planner.state.jobs["a"]
    for unit in changed_units(planner.state, epoch=1):
        for write in unit.writes:
            index.apply_row(write.key, Row(write.key, write.value, 1))
    return index


@pytest.mark.parametrize(
    ("fail", "gang", "reason"),
    [
        (exhausted, False, "a.0.0.0 is given up after 2 attempts in 3 runs"),
        (exhausted, True, "a.0.0 is given up after 2 attempts in 3 runs"),
        (oversized, False, "progress_too_large"),
    ],
)
def test_entry_that_did_not_decide_told_no_reason_of_a_failed_job(
    lines, fail, gang, reason
):
    planner = Planner()
    planner.state.add_job(a_job("a", a_step(gang=gang), attempts=2))
    fail(planner)
    service = JobService(
        MemoryTable(), Mirror(), index_of(planner), VirtualClock()
    )
    assert service.state("a") is JobState.FAILED
    assert lines[-1] == f"job a is shown as failed: {reason}"

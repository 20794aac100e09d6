"""Deletion of the rows of ended jobs."""

from __future__ import annotations

import pytest

from filbertlb.batch.model import CANCEL_PREFIX
from filbertlb.batch.model import JOB_PREFIX
from filbertlb.batch.model import JobState
from filbertlb.batch.model import JobStatus
from filbertlb.batch.model import PROGRESS_PREFIX
from filbertlb.batch.model import STATUS_PREFIX
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.model import TaskRecord
from filbertlb.batch.planner_state import PlannerState
from filbertlb.batch.progress_rows import PART_TASKS
from filbertlb.batch.retention import ENDED_JOB_RETENTION_MS
from filbertlb.batch.retention import expired_job_units
from filbertlb.batch.retention import MAX_EXPIRED_JOBS
from filbertlb.batch.takeover import add_progress_rows
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_step
from filbertlb.batch.write_plan import changed_units
from filbertlb.table.base import Write
from filbertlb.table.memory import MemoryTable
from filbertlb.table.rows import encode_value

JOB = a_job("j", a_step(4 * PART_TASKS))
LATER_MS = 10 + ENDED_JOB_RETENTION_MS + 1


def stored_ended_job():
    """Return the state and table of a divided job that ended at 10 ms."""
    state, table = PlannerState(), MemoryTable()
    state.add_job(JOB)
    for number in range(4 * PART_TASKS):
        state.set_record(f"j.0.0.{number}", TaskRecord(TaskPhase.DONE, 1))
    state.split("j")
    state.set_job_state("j", JobState.COMPLETE, 10)
    for unit in changed_units(state, 1):
        table.commit(unit.writes)
    values = {
        JOB_PREFIX: JOB,
        STATUS_PREFIX: JobStatus(JobState.COMPLETE, True),
        CANCEL_PREFIX: {},
    }
    for prefix, value in values.items():
        table.commit([Write(f"{prefix}j", encode_value(value))])
    return state, table


def left(table):
    return [
        row.key
        for prefix in ("state/", PROGRESS_PREFIX)
        for row in table.snapshot(prefix).rows
    ]


def test_job_is_kept_while_callers_may_ask_for_it():
    state, _ = stored_ended_job()
    assert not list(expired_job_units(state, LATER_MS - 1))


@pytest.mark.parametrize("deletions", range(6))
def test_parts_of_a_deleted_job_were_left_by_a_decider_that_died(deletions):
    state, table = stored_ended_job()
    units = list(expired_job_units(state, LATER_MS))
    for unit in units[:deletions]:
        table.commit(unit.writes)
    if deletions < len(units):
        state = PlannerState()
        rows = table.snapshot(PROGRESS_PREFIX).rows
        add_progress_rows(state, {"j": JOB}, rows)
        state.add_job(JOB)
        assert not state.ignored_jobs
        for unit in expired_job_units(state, LATER_MS):
            table.commit(unit.writes)
    assert left(table) == []


def test_jobs_are_deleted_a_few_at_a_time():
    state = PlannerState()
    for number in range(MAX_EXPIRED_JOBS + 5):
        state.add_job(a_job(f"j{number}"))
        state.set_job_state(f"j{number}", JobState.FAILED, 10)
    units = list(expired_job_units(state, LATER_MS))
    assert len(units) == MAX_EXPIRED_JOBS
    assert all(len(unit.jobs) == 1 for unit in units)

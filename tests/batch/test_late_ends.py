"""Ends `done` that are reported after their runs were given up."""

from __future__ import annotations

import pytest

from filbertlb.batch.model import EndCause
from filbertlb.batch.model import JobState
from filbertlb.batch.model import RunEnd
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.model import TaskRecord
from filbertlb.batch.planner import Planner
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_report
from filbertlb.batch.testing import a_step
from filbertlb.batch.workers import DEAD_AFTER_S

TASK = "a.0.0.0"
BACK_S = DEAD_AFTER_S + 5


def decide(planner, now_s, *reports):
    """Record reports, decide and write; return the nodes with new rows."""
    for report in reports:
        planner.record_report(report, now_s)
    planner.decide(now_s, round(1000 * now_s))
    state = planner.state
    nodes = frozenset(state.changed_nodes)
    state.mark_written(frozenset(state.changed_jobs), nodes)
    return nodes


def planner_with(record, *steps, **changes):
    """Return a planner of one job whose first tasks have a record."""
    planner = Planner()
    planner.state.add_job(a_job("a", *steps, **changes))
    for index in range(planner.state.jobs["a"].steps[0].count):
        planner.state.set_record(f"a.0.0.{index}", record)
    return planner


def an_end(attempt=1, cause=EndCause.DONE, task=TASK):
    return RunEnd(task, attempt, cause)


def ended_on(node, *ends):
    return a_report(node, ended=ends, worker=None)


def orders_on(planner, node):
    return [
        (order.task, order.attempt)
        for order in planner.state.orders_of(node, 1).orders
    ]


def test_step_waited_for_a_task_whose_agent_had_lost_the_store():
    # LOST: the end done came back with the agent and attempt 2 was kept.
    planner = Planner()
    job = a_job("a", a_step(), a_step(after=(0,)))
    planner.state.add_job(job)
    decide(planner, 0.0, a_report("n1"))
    decide(planner, DEAD_AFTER_S + 1, a_report("n2"))
    assert orders_on(planner, "n2") == [(TASK, 2)]
    decide(planner, BACK_S, a_report("n2"), ended_on("n1", an_end()))
    assert orders_on(planner, "n2") == [("a.0.1.0", 1)]


@pytest.mark.parametrize(
    ("phase", "attempt"),
    [
        (TaskPhase.WAITING, 1),
        (TaskPhase.WAITING, 3),
        (TaskPhase.ORDERED, 2),
        (TaskPhase.STOPPING, 2),
    ],
)
def test_late_end_done_completes_the_job(phase, attempt):
    record = TaskRecord(phase, attempt, node="n1", failures=2)
    planner = planner_with(record)
    decide(planner, 0.0, a_report("n1", worker=None))
    report = a_report("n1" if attempt == 1 else "n2")
    written = decide(planner, 1.0, ended_on(report.node, an_end(1)))
    assert planner.state.record(TASK).phase is TaskPhase.DONE
    assert planner.state.progress["a"].state is JobState.COMPLETE
    assert orders_on(planner, "n1") == []
    assert ("n1" in written) is (phase is not TaskPhase.WAITING)


@pytest.mark.parametrize(
    ("record", "end"),
    [
        ((TaskPhase.ORDERED, 2, "n1"), an_end(3)),
        ((TaskPhase.ORDERED, 2, "n1"), an_end(2)),
        ((TaskPhase.WAITING, 2, "n1"), an_end(2)),
        *(
            ((phase, 2, "n1"), an_end(1, cause))
            for phase in (TaskPhase.WAITING, TaskPhase.ORDERED)
            for cause in EndCause
            if cause is not EndCause.DONE
        ),
    ],
)
def test_no_other_end_changes_a_task(record, end):
    phase, attempt, node = record
    planner = planner_with(TaskRecord(phase, attempt, node=node))
    before = planner.state.record(TASK)
    decide(planner, 0.0, ended_on("n2", end))
    assert planner.state.record(TASK) == before


@pytest.mark.parametrize(
    "state", [JobState.FAILED, JobState.CANCELLED, JobState.COMPLETE]
)
def test_late_end_leaves_an_ended_job_as_it_is(state):
    planner = planner_with(TaskRecord(TaskPhase.WAITING, 1, node="n1"))
    planner.state.set_job_state("a", state, 0)
    decide(planner, 0.0, ended_on("n1", an_end()))
    assert planner.state.progress["a"].state is state
    assert planner.state.record(TASK).phase is TaskPhase.WAITING


def test_run_of_a_cancelled_job_is_stopped_in_spite_of_a_late_end():
    record = TaskRecord(TaskPhase.ORDERED, 2, node="n1")
    planner = planner_with(record)
    planner.state.cancelled.add("a")
    reports = a_report("n1", worker=None), ended_on("n2", an_end())
    decide(planner, 0.0, *reports)
    assert planner.state.record(TASK).phase is TaskPhase.STOPPING
    assert planner.state.progress["a"].state is JobState.QUEUED


def test_task_that_lasts_goes_on_after_a_late_end():
    record = TaskRecord(TaskPhase.ORDERED, 2, node="n1")
    planner = planner_with(record, a_step(long_running=True))
    reports = a_report("n1", worker=None), ended_on("n2", an_end())
    decide(planner, 0.0, *reports)
    assert planner.state.record(TASK).phase is TaskPhase.ORDERED


@pytest.mark.parametrize("phase", [TaskPhase.WAITING, TaskPhase.ORDERED])
def test_late_end_of_one_member_represents_its_gang(phase):
    record = TaskRecord(phase, 2, node="n1")
    planner = planner_with(record, a_step(3, gang=True))
    reports = a_report("n1", worker=None), ended_on("n2", an_end())
    decide(planner, 0.0, *reports)
    assert planner.state.progress["a"].state is JobState.COMPLETE
    assert orders_on(planner, "n1") == []


def test_late_end_done_spares_a_job_that_is_about_to_fail():
    # Another task's run has to end before the job is shown as failed.
    record = TaskRecord(TaskPhase.WAITING, 2, node="n1", failures=3)
    planner = planner_with(record, a_step(), a_step(), attempts=3)
    other = TaskRecord(TaskPhase.ORDERED, 1, node="n1")
    planner.state.set_record("a.0.1.0", other)
    decide(planner, 0.0, a_report("n1", worker=None))
    assert planner.state.record("a.0.1.0").phase is TaskPhase.STOPPING
    end = RunEnd("a.0.1.0", 1, EndCause.STOPPED)
    decide(planner, 1.0, ended_on("n1", end), ended_on("n2", an_end()))
    assert planner.state.progress["a"].state is not JobState.FAILED


def test_two_late_ends_and_the_end_of_the_dropped_run_change_nothing_more():
    record = TaskRecord(TaskPhase.ORDERED, 3, node="n1")
    planner = planner_with(record)
    report = ended_on("n2", an_end(1), an_end(2))
    decide(planner, 0.0, a_report("n1", worker=None), report)
    done = planner.state.record(TASK)
    stopped = an_end(3, EndCause.STOPPED)
    decide(planner, 1.0, ended_on("n1", stopped), report)
    assert planner.state.record(TASK) == done
    assert planner.run_ends == {}
    assert planner.late_ends == {"done": 1}

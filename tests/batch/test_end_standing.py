"""Reported ends that are not those of the runs that tasks wait for."""

from __future__ import annotations

import pytest
from loguru import logger

from filbertlb.batch.model import EndCause
from filbertlb.batch.model import RunEnd
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.model import TaskRecord
from filbertlb.batch.planner import Planner
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_report

TASK = "a.0.0.0"


@pytest.fixture
def logged():
    messages = []
    sink = logger.add(messages.append, format="{message}")
    yield messages
    logger.remove(sink)


def planner_with(phase, attempt, node="n1"):
    planner = Planner()
    planner.state.add_job(a_job("a"))
    planner.state.set_record(TASK, TaskRecord(phase, attempt, node=node))
    return planner


@pytest.mark.parametrize(
    ("record", "end", "reason"),
    [
        ((TaskPhase.WAITING, 1), (TASK, 1, "failed"), "counted as ended"),
        ((TaskPhase.WAITING, 2), (TASK, 1, "failed"), "earlier attempt"),
        ((TaskPhase.ORDERED, 2), (TASK, 1, "stopped"), "earlier attempt"),
        ((TaskPhase.ORDERED, 2), (TASK, 3, "done"), "unknown attempt"),
        ((TaskPhase.ORDERED, 1, "n2"), (TASK, 1, "done"), "unknown attempt"),
        ((TaskPhase.DONE, 2), (TASK, 1, "done"), "task is done"),
        ((TaskPhase.DONE, 1), (TASK, 1, "failed"), "task is done"),
        ((TaskPhase.DONE, 1), ("b.0.0.0", 1, "done"), "unknown job"),
    ],
)
def test_end_that_is_not_applied_is_logged_once(logged, record, end, reason):
    planner = planner_with(*record)
    task, attempt, cause = end
    ended = (RunEnd(task, attempt, EndCause(cause)),)
    for now_s in (0.0, 1.0):
        report = a_report("n1", ended=ended, worker=None)
        planner.record_report(report, now_s)
        planner.decide(now_s, round(1000 * now_s))
    text = f"end of {task} attempt {attempt} on n1 not applied: {cause}, "
    (line,) = (line for line in logged if text in line)
    assert reason in line


@pytest.mark.parametrize("cause", ["done", "failed"])
def test_applied_end_is_not_logged_again(logged, cause):
    planner = planner_with(TaskPhase.ORDERED, 1)
    ended = (RunEnd(TASK, 1, EndCause(cause)),)
    for now_s in (0.0, 1.0):
        planner.record_report(a_report("n1", ended=ended, worker=None), now_s)
        planner.decide(now_s, round(1000 * now_s))
    assert not [line for line in logged if "not applied" in line]

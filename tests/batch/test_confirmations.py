"""Orders rows tell agents which of their reports were processed."""

from __future__ import annotations

import pytest

from filbertlb.batch.model import EndCause
from filbertlb.batch.model import Orders
from filbertlb.batch.model import orders_key
from filbertlb.batch.model import PROGRESS_PREFIX
from filbertlb.batch.model import ReportMark
from filbertlb.batch.model import RunEnd
from filbertlb.batch.model import WorkerReport
from filbertlb.batch.planner import Planner
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_report
from filbertlb.batch.workers import DEAD_AFTER_S
from filbertlb.batch.write_plan import changed_units
from filbertlb.table.base import Row
from filbertlb.table.rows import decode_row


def written_marks(planner):
    """Write the changed rows; return what they confirm, by node."""
    marks = {}
    for unit in changed_units(planner.state, epoch=1):
        for write in unit.writes:
            if write.key.startswith("orders"):
                row = decode_row(Row(write.key, write.value, 1), Orders)
                marks[write.key] = row.confirmed
        planner.state.mark_written(unit.jobs, unit.nodes)
    return marks


def decide_on(planner, now_s, *reports):
    """Record reports, decide and write; return what rows confirm now."""
    for report in reports:
        planner.record_report(report, now_s)
    planner.decide(now_s, round(1000 * now_s))
    return written_marks(planner)


@pytest.mark.parametrize(
    ("before", "report", "confirmed"),
    [
        ([], ("a1", 3, 0), ("a1", 3)),
        ([("a1", 3, 0)], ("a1", 4, 0), None),
        ([("a1", 3, 0)], ("a1", 4, 3), None),
        ([("a1", 3, 0)], ("a1", 5, 4), ("a1", 5)),
        ([("a1", 3, 0), ("a1", 5, 4)], ("a1", 6, 4), None),
        ([("a1", 3, 0), ("a1", 4, 0)], ("a1", 5, 4), ("a1", 5)),
        ([("a1", 3, 0)], ("a2", 0, 0), ("a2", 0)),
        ([("a1", 3, 0), ("a2", 0, 0)], ("a2", 1, 0), None),
        ([], ("", 0, 0), None),
    ],
)
def test_row_is_rewritten_for_a_new_agent_or_once_one_waits(
    before, report, confirmed
):
    planner = Planner()
    for number, (registration, sequence, awaited) in enumerate(
        [*before, report]
    ):
        rewritten = decide_on(
            planner,
            float(number),
            a_report(
                "n1",
                registration=registration,
                sequence=sequence,
                awaited_sequence=awaited,
            ),
        )
    expected = {} if confirmed is None else {orders_key("n1"): confirmed}
    assert rewritten == {
        key: ReportMark(*mark) for key, mark in expected.items()
    }


def test_row_confirms_no_report_before_it_is_processed():
    planner = Planner()
    decide_on(planner, 0.0, a_report("n1", sequence=1))
    planner.record_report(a_report("n1", sequence=2, awaited_sequence=2), 0.1)
    planner.state.changed_nodes.add("n1")
    assert written_marks(planner) == {orders_key("n1"): ReportMark("agent", 1)}
    assert decide_on(planner, 0.2) == {
        orders_key("n1"): ReportMark("agent", 2)
    }


def test_rows_that_were_not_written_stay_changed():
    planner = Planner()
    planner.record_report(a_report("n1", sequence=1), 0.0)
    planner.decide(0.0, 0)
    units = list(changed_units(planner.state, epoch=1))
    assert units
    assert decide_on(planner, 0.1, a_report("n1", sequence=2)) == {
        orders_key("n1"): ReportMark("agent", 2)
    }


@pytest.mark.parametrize(
    "state",
    [{"worker": None}, {"answers": False}],
)
def test_reports_of_workers_that_get_no_work_are_confirmed(state):
    planner = Planner()
    assert decide_on(planner, 0.0, a_report("n1", **state)) == {
        orders_key("n1"): ReportMark("agent", 0)
    }


def test_unread_report_of_a_worker_is_not_confirmed():
    planner = Planner()
    planner.state.add_job(a_job("a"))
    assert decide_on(planner, 0.0, WorkerReport("n1", "")) == {}
    planner.state.changed_nodes.add("n1")
    assert written_marks(planner) == {orders_key("n1"): None}


def test_tasks_leave_a_silent_worker_with_the_report_decided_on():
    # The agent may have returned since; it must not begin what it still read.
    planner = Planner()
    planner.state.add_job(a_job("a"))
    decide_on(planner, 0.0, a_report("n1", sequence=1))
    assert decide_on(planner, DEAD_AFTER_S + 1) == {
        orders_key("n1"): ReportMark("agent", 1)
    }
    assert planner.state.tasks_on("n1") == []


def test_report_after_a_silence_was_confirmed_before_lost_tasks_were_written():
    planner = Planner()
    planner.state.add_job(a_job("a"))
    decide_on(planner, 0.0, a_report("n1", sequence=1))
    now_s = DEAD_AFTER_S + 1
    planner.decide(now_s, round(1000 * now_s))
    back = a_report("n1", sequence=2, awaited_sequence=2)
    assert decide_on(planner, now_s, back) == {
        orders_key("n1"): ReportMark("agent", 1)
    }
    assert decide_on(planner, now_s) == {
        orders_key("n1"): ReportMark("agent", 2)
    }


def test_late_end_is_stored_before_its_report_is_confirmed():
    planner = Planner()
    planner.state.add_job(a_job("a"))
    decide_on(planner, 0.0, a_report("n1", sequence=1))
    decide_on(planner, DEAD_AFTER_S + 1)
    ended = (RunEnd("a.0.0.0", 1, EndCause.DONE),)
    report = a_report("n1", sequence=2, awaited_sequence=2, ended=ended)
    planner.record_report(report, DEAD_AFTER_S + 2)
    planner.decide(DEAD_AFTER_S + 2, round(1000 * DEAD_AFTER_S) + 2000)
    units = changed_units(planner.state, epoch=1)
    keys = [write.key for unit in units for write in unit.writes]
    assert keys.index(PROGRESS_PREFIX + "a") < keys.index(orders_key("n1"))
    row = planner.state.orders_of("n1", 1)
    assert (row.orders, row.confirmed) == ((), ReportMark("agent", 2))


@pytest.mark.parametrize("ended", ["a.0.0.0", "b.0.0.0"])
def test_end_was_confirmed_with_lost_tasks_before_it_was_stored(ended):
    # The agent then forgets it, and nobody knows that the task is done.
    planner = Planner()
    planner.state.add_job(a_job("a"))
    planner.state.add_job(a_job("b"))
    decide_on(planner, 0.0, a_report("n1", sequence=1))
    ends = (RunEnd(ended, 1, EndCause.DONE),)
    planner.record_report(a_report("n1", sequence=2, ended=ends), 1.0)
    now_s = DEAD_AFTER_S + 2
    planner.decide(now_s, round(1000 * now_s))
    stored = set()
    for unit in changed_units(planner.state, epoch=1):
        keys = {write.key for write in unit.writes}
        stored |= keys
        if orders_key("n1") in keys:
            assert PROGRESS_PREFIX + ended.partition(".")[0] in stored
        planner.state.mark_written(unit.jobs, unit.nodes)
    assert orders_key("n1") in stored
    # The other task is not kept there for longer than a decision.
    decide_on(planner, now_s + 0.2)
    assert planner.state.tasks_on("n1") == []

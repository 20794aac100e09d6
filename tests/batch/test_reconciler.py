"""Orders of a worker and the calls that they lead to."""

from __future__ import annotations

import pytest

from filbertlb.batch.model import EndCause
from filbertlb.batch.model import RunEnd
from filbertlb.batch.testing import a_report
from filbertlb.batch.testing import a_worker
from filbertlb.batch.testing import an_order
from filbertlb.batch.testing import some_orders
from filbertlb.batch.worker_link import ListedEnd
from filbertlb.batch.worker_link import StartCall
from filbertlb.batch.worker_link import StartResult
from tests.batch.reconciling import a_reconciler
from tests.batch.reconciling import cause_by_task
from tests.batch.reconciling import reconciler_with
from tests.batch.reconciling import start_all


def test_order_is_started_once():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    (call,) = reconciler.due_calls(0.0)
    assert call == StartCall(an_order("j.0.0.0"), "payload")
    assert reconciler.due_calls(0.0) == []


@pytest.mark.parametrize(
    ("worker", "cause"),
    [
        (a_worker(draining=True), EndCause.REFUSED),
        (a_worker(incarnation="w@2"), EndCause.LOST),
    ],
)
def test_order_for_draining_or_other_worker_ends(worker, cause):
    reconciler = reconciler_with(an_order("j.0.0.0"), worker=worker)
    assert reconciler.due_calls(0.0) == []
    assert cause_by_task(reconciler) == {"j.0.0.0": cause}


def test_end_is_reported_until_its_order_is_removed_by_who_has_read_it():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    start_all(reconciler)
    end = RunEnd("j.0.0.0", 1, EndCause.DONE)
    reconciler.record_listing(1.0, [], [ListedEnd(4, end)], ends_complete=True)
    assert reconciler.last_end_number == 4
    reconciler.set_orders(some_orders(an_order("j.0.0.0")))
    assert reconciler.ended() == (end,)
    assert reconciler.due_calls(1.0) == []
    reconciler.record_told(a_report("n", sequence=0, ended=(end,)))
    reconciler.set_orders(some_orders())
    assert reconciler.ended() == ()


def test_fenced_agent_sends_no_more_calls():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    (call,) = reconciler.due_calls(0.0)
    reconciler.record_start(call.order, StartResult.FENCED, 0.1)
    assert reconciler.fenced
    assert reconciler.due_calls(5.0) == []


def test_restarted_agent_keeps_ends_of_previous_process():
    reconciler = a_reconciler()
    reconciler.restore([RunEnd("j.0.0.0", 1, EndCause.DONE)])
    reconciler.set_worker(a_worker())
    reconciler.set_orders(some_orders(an_order("j.0.0.0")))
    reconciler.record_listing(0.0, [], [], ends_complete=True)
    assert reconciler.due_calls(0.1) == []
    assert cause_by_task(reconciler) == {"j.0.0.0": EndCause.DONE}

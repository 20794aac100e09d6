from __future__ import annotations

import pytest

from filbertlb.batch.model import EndCause
from filbertlb.batch.model import Run
from filbertlb.batch.model import RunEnd
from filbertlb.batch.reconciler import WorkerReconciler
from filbertlb.batch.testing import a_worker
from filbertlb.batch.testing import an_order
from filbertlb.batch.testing import some_orders
from filbertlb.batch.worker_link import ListedEnd
from filbertlb.batch.worker_link import StartCall
from filbertlb.batch.worker_link import StartResult
from filbertlb.batch.worker_link import StopCall

LAPSED_S = 6.0 * 1.02 + 0.4
WHOLE_WORKER = (8, 1_000, 1_000)


def reconciler_with(*orders, worker=None):
    reconciler = WorkerReconciler()
    reconciler.set_worker(worker or a_worker())
    reconciler.record_listing(0.0, [], [], ends_complete=True)
    reconciler.record_extension(0.0)
    reconciler.set_orders(some_orders(*orders))
    return reconciler


def causes(reconciler):
    return {end.task: end.cause for end in reconciler.ended()}


def start(reconciler, now_s=0.0):
    for call in reconciler.due_calls(now_s):
        assert isinstance(call, StartCall)
        reconciler.record_start(call.order, StartResult.STARTED, now_s)


def test_starts_an_order_once():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    (call,) = reconciler.due_calls(0.0)
    assert call == StartCall(an_order("j.0.0.0"), "payload")
    assert reconciler.due_calls(0.0) == []


def test_what_is_being_stopped_still_counts():
    reconciler = reconciler_with(an_order("old.0.0.0", needs=WHOLE_WORKER))
    start(reconciler)
    reconciler.set_orders(
        some_orders(
            an_order("old.0.0.0", needs=WHOLE_WORKER, stop=True),
            an_order("new.0.0.0", needs=WHOLE_WORKER),
        )
    )
    assert reconciler.due_calls(1.0) == [StopCall("old.0.0.0", 1)]
    reconciler.record_stop(StopCall("old.0.0.0", 1), answered=True, now_s=1.1)
    assert reconciler.due_calls(1.2) == []
    end = RunEnd("old.0.0.0", 1, EndCause.STOPPED, "saved")
    reconciler.record_listing(1.2, [], [ListedEnd(1, end)], ends_complete=True)
    (call,) = reconciler.due_calls(1.3)
    assert call.order.task == "new.0.0.0"
    assert end in reconciler.ended()


def test_an_unanswered_start_keeps_its_room_until_stopped():
    reconciler = reconciler_with(an_order("a.0.0.0", needs=WHOLE_WORKER))
    (call,) = reconciler.due_calls(0.0)
    reconciler.record_start(call.order, StartResult.UNKNOWN, 0.5)
    reconciler.set_orders(some_orders(an_order("b.0.0.0", needs=WHOLE_WORKER)))
    assert reconciler.due_calls(0.6) == [StopCall("a.0.0.0", 1)]
    reconciler.record_listing(0.6, [], [], ends_complete=True)
    reconciler.record_stop(StopCall("a.0.0.0", 1), answered=True, now_s=0.8)
    assert reconciler.due_calls(0.9) == []
    reconciler.record_listing(1.0, [], [], ends_complete=True)
    (call,) = reconciler.due_calls(1.1)
    assert call.order.task == "b.0.0.0"


@pytest.mark.parametrize(
    ("worker", "cause"),
    [
        (a_worker(draining=True), EndCause.REFUSED),
        (a_worker(incarnation="w@2"), EndCause.LOST),
    ],
)
def test_refuses_what_the_worker_must_not_get(worker, cause):
    reconciler = reconciler_with(an_order("j.0.0.0"), worker=worker)
    assert reconciler.due_calls(0.0) == []
    assert causes(reconciler) == {"j.0.0.0": cause}


def test_an_order_without_room_is_refused_in_time():
    reconciler = reconciler_with(
        an_order("a.0.0.0", needs=WHOLE_WORKER),
        an_order("b.0.0.0", needs=WHOLE_WORKER),
    )
    start(reconciler)
    assert reconciler.due_calls(1.9) == []
    reconciler.due_calls(2.1)
    assert causes(reconciler) == {"b.0.0.0": EndCause.REFUSED}


def test_a_run_that_the_worker_does_not_list_is_lost():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    start(reconciler, 1.0)
    reconciler.record_listing(0.9, [], [], ends_complete=True)
    assert causes(reconciler) == {}
    reconciler.record_listing(1.1, [], [], ends_complete=True)
    assert causes(reconciler) == {"j.0.0.0": EndCause.LOST}


def test_a_silent_worker_loses_its_runs_when_the_lease_is_out():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    start(reconciler)
    reconciler.record_extension(2.0)
    reconciler.due_calls(2.0 + LAPSED_S - 0.2)
    assert causes(reconciler) == {}
    reconciler.due_calls(2.0 + LAPSED_S)
    assert causes(reconciler) == {"j.0.0.0": EndCause.LOST}


def test_orders_end_if_no_worker_comes_after_a_restart():
    reconciler = WorkerReconciler(created_s=10.0)
    reconciler.set_orders(some_orders(an_order("j.0.0.0")))
    reconciler.due_calls(10.0 + LAPSED_S - 0.2)
    assert causes(reconciler) == {}
    reconciler.due_calls(10.0 + LAPSED_S)
    assert causes(reconciler) == {"j.0.0.0": EndCause.LOST}


def test_a_restarted_agent_takes_over_what_runs():
    reconciler = WorkerReconciler()
    reconciler.set_worker(a_worker())
    reconciler.set_orders(some_orders(an_order("j.0.0.0")))
    assert reconciler.due_calls(0.0) == []
    reconciler.record_listing(
        0.1, [Run("j.0.0.0", 1, "", 30)], [], ends_complete=True
    )
    assert reconciler.due_calls(0.2) == []
    assert reconciler.running() == (Run("j.0.0.0", 1, "", 30),)


def test_a_run_that_nobody_ordered_is_stopped_before_any_start():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    reconciler.record_listing(0.1, [Run("x.0.0.0", 1)], [], ends_complete=True)
    assert reconciler.due_calls(0.2) == [StopCall("x.0.0.0", 1)]


def test_an_end_stays_until_its_order_is_gone():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    start(reconciler)
    end = RunEnd("j.0.0.0", 1, EndCause.DONE)
    reconciler.record_listing(1.0, [], [ListedEnd(4, end)], ends_complete=True)
    assert reconciler.last_end_number == 4
    reconciler.set_orders(some_orders(an_order("j.0.0.0")))
    assert reconciler.ended() == (end,)
    assert reconciler.due_calls(1.0) == []
    reconciler.set_orders(some_orders())
    assert reconciler.ended() == ()


def test_a_newer_agent_process_ends_this_one():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    (call,) = reconciler.due_calls(0.0)
    reconciler.record_start(call.order, StartResult.FENCED, 0.1)
    assert reconciler.fenced
    assert reconciler.due_calls(5.0) == []


def test_a_worker_that_left_has_lost_its_runs_soon_after():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    start(reconciler)
    reconciler.record_departure("w@0", 1.0)
    assert not reconciler.worker_departed
    reconciler.record_departure("w@1", 1.0)
    reconciler.due_calls(1.4)
    assert causes(reconciler) == {}
    reconciler.due_calls(1.5)
    assert causes(reconciler) == {"j.0.0.0": EndCause.LOST}


def test_the_next_worker_is_served_after_one_left():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    start(reconciler)
    reconciler.record_departure("w@1", 1.0)
    reconciler.set_worker(a_worker(incarnation="w@2"))
    reconciler.record_listing(2.0, [], [], ends_complete=True)
    reconciler.set_orders(some_orders(an_order("k.0.0.0", incarnation="w@2")))
    (call,) = reconciler.due_calls(2.1)
    assert call.order.task == "k.0.0.0"


def test_a_restarted_agent_keeps_the_ends_of_the_former():
    reconciler = WorkerReconciler()
    reconciler.restore([RunEnd("j.0.0.0", 1, EndCause.DONE)])
    reconciler.set_worker(a_worker())
    reconciler.set_orders(some_orders(an_order("j.0.0.0")))
    reconciler.record_listing(0.0, [], [], ends_complete=True)
    assert reconciler.due_calls(0.1) == []
    assert causes(reconciler) == {"j.0.0.0": EndCause.DONE}


def test_a_refused_copy_of_a_start_does_not_end_the_run_it_found():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    for now_s in (0.0, 1.0, 2.0):
        (call,) = reconciler.due_calls(now_s)
        if now_s < 2.0:
            reconciler.record_start(call.order, StartResult.UNKNOWN, now_s)
    # The first copy was carried out late, the third is refused.
    reconciler.record_listing(2.1, [Run("j.0.0.0", 1)], [], ends_complete=True)
    reconciler.record_start(call.order, StartResult.UNHEALTHY, 2.2)
    reconciler.due_calls(2.3)
    assert causes(reconciler) == {}
    assert reconciler.running() == (Run("j.0.0.0", 1),)

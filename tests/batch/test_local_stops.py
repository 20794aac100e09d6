"""Stops of runs and of starts without an answer."""

from __future__ import annotations

import attrs

from filbertlb.batch.agent import LONG_POLL_S
from filbertlb.batch.local_run import MAX_CALL_S
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import Run
from filbertlb.batch.testing import a_worker
from filbertlb.batch.testing import an_order
from filbertlb.batch.testing import some_orders
from filbertlb.batch.worker_link import LEASE_S
from filbertlb.batch.worker_link import StartCall
from filbertlb.batch.worker_link import StartResult
from filbertlb.batch.worker_link import StopCall
from tests.batch.reconciling import a_reconciler
from tests.batch.reconciling import cause_by_task
from tests.batch.reconciling import FULL_CAPACITY
from tests.batch.reconciling import HALF_CAPACITY
from tests.batch.reconciling import reconciler_with


def test_unordered_run_is_stopped_before_any_start():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    reconciler.record_listing(0.1, [Run("x.0.0.0", 1)], [], ends_complete=True)
    assert reconciler.due_calls(0.2) == [StopCall("x.0.0.0", 1)]


def test_withdrawn_start_is_stopped_until_answered_and_not_made_again():
    order = an_order("j.0.0.0", needs=FULL_CAPACITY)
    reconciler = reconciler_with(order)
    reconciler.due_calls(0.0)
    reconciler.record_start(order, StartResult.UNKNOWN, 0.5)
    reconciler.set_worker(a_worker(capacity=HALF_CAPACITY))
    for now_s, answered in ((1.0, False), (2.0, True)):
        (call,) = reconciler.due_calls(now_s)
        assert call == StopCall("j.0.0.0", 1)
        reconciler.record_stop(call, answered, now_s)
        reconciler.set_worker(a_worker())
        reconciler.record_listing(now_s + 0.1, [], [], ends_complete=True)
    assert reconciler.due_calls(2.2) == []
    assert cause_by_task(reconciler) == {"j.0.0.0": EndCause.STOPPED}


def test_run_whose_start_never_returns_is_stopped_and_ends():
    order = an_order("j.0.0.0", needs=FULL_CAPACITY)
    reconciler = reconciler_with(order)
    reconciler.due_calls(0.0)
    stop = an_order("j.0.0.0", needs=FULL_CAPACITY, stop=True)
    reconciler.set_orders(some_orders(stop))
    assert reconciler.due_calls(MAX_CALL_S - 0.1) == []
    stopped_s = MAX_CALL_S + 0.1
    (call,) = reconciler.due_calls(stopped_s)
    assert call == StopCall("j.0.0.0", 1)
    reconciler.record_stop(call, answered=True, now_s=stopped_s)
    reconciler.record_listing(stopped_s + 0.1, [], [], ends_complete=True)
    assert cause_by_task(reconciler) == {"j.0.0.0": EndCause.STOPPED}


def test_run_that_the_worker_never_had_ends_while_its_stop_is_repeated():
    # Listings take longer than stops are apart, so none proved its end.
    order = an_order("j.0.0.0", needs=FULL_CAPACITY)
    reconciler = reconciler_with(order)
    (start,) = reconciler.due_calls(0.0)
    reconciler.record_start(start.order, StartResult.UNKNOWN, 0.8)
    reconciler.set_orders(some_orders(attrs.evolve(order, stop=True)))
    listing_sent_s = 0.5
    for tick in range(10, 300):
        now_s = tick / 10
        for call in reconciler.due_calls(now_s):
            reconciler.record_stop(call, answered=True, now_s=now_s)
        if now_s - listing_sent_s >= LONG_POLL_S:
            reconciler.record_lease(listing_sent_s + LEASE_S)
            reconciler.record_listing(
                listing_sent_s, [], [], ends_complete=True
            )
            listing_sent_s = now_s
    assert cause_by_task(reconciler) == {"j.0.0.0": EndCause.STOPPED}


def test_unanswered_start_is_stopped_after_an_earlier_incarnation_was_heard():
    # The start was forgotten, and an end reported that nothing proved.
    reconciler = a_reconciler()
    order = an_order("j.0.0.0", incarnation="w@2")
    later, earlier = (a_worker(incarnation=name) for name in ("w@2", "w@1"))
    reconciler.set_worker(later)
    reconciler.record_announcement(0.0)
    reconciler.record_lease(LEASE_S)
    reconciler.record_listing(0.0, (), (), ends_complete=True)
    reconciler.set_orders(some_orders(order))
    (start,) = reconciler.due_calls(0.0)
    assert isinstance(start, StartCall)
    now_s = MAX_CALL_S
    reconciler.record_start(order, StartResult.UNKNOWN, now_s)
    reconciler.set_worker(earlier)
    now_s += 0.1
    reconciler.set_worker(later)
    reconciler.record_announcement(now_s)
    reconciler.record_listing(now_s, (), (), ends_complete=True)
    stopped = an_order("j.0.0.0", incarnation="w@2", stop=True)
    reconciler.set_orders(some_orders(stopped))
    calls = reconciler.due_calls(now_s + 0.1)
    assert calls == [StopCall("j.0.0.0", 1)]
    assert not reconciler.ended()

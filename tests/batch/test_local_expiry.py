"""Ends of runs whose worker has left or is silent."""

from __future__ import annotations

import pytest

from filbertlb.batch.local_expiry import LEASE_MARGIN_S
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import Run
from filbertlb.batch.testing import a_worker
from filbertlb.batch.testing import an_order
from filbertlb.batch.testing import some_orders
from filbertlb.batch.worker_clock import SLOWEST_RATE
from filbertlb.batch.worker_link import LEASE_S
from filbertlb.batch.worker_link import MAX_LEASE_S
from filbertlb.batch.worker_link import StartResult
from tests.batch.reconciling import a_reconciler
from tests.batch.reconciling import cause_by_task
from tests.batch.reconciling import LEASE_EXPIRED_S
from tests.batch.reconciling import reconciler_with
from tests.batch.reconciling import start_all


def test_a_silent_worker_loses_its_runs_when_the_lease_is_out():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    start_all(reconciler)
    reconciler.record_lease(2.0 + LEASE_S)
    reconciler.due_calls(2.0 + LEASE_EXPIRED_S - 0.2)
    assert cause_by_task(reconciler) == {}
    reconciler.due_calls(2.0 + LEASE_EXPIRED_S)
    assert cause_by_task(reconciler) == {"j.0.0.0": EndCause.LOST}


def replaces_its_worker(reconciler):
    reconciler.set_worker(a_worker(incarnation="w@2"))


def follows_another_process(reconciler):
    reconciler.restore(())
    reconciler.set_worker(a_worker(incarnation="w@2"))


@pytest.mark.parametrize(
    ("agent", "begin"),
    [
        (reconciler_with(), replaces_its_worker),
        (a_reconciler(), follows_another_process),
    ],
    ids=["worker", "process"],
)
def test_runs_counted_as_lost_before_a_lease_meant_for_another_was_out(
    agent, begin
):
    # A call for the incarnation before may come until the first listing.
    begin(agent)
    agent.record_announcement(1.0)
    agent.record_listing(1.0, [], [], ends_complete=True, received_s=2.0)
    agent.set_orders(some_orders(an_order("j.0.0.0", incarnation="w@2")))
    start_all(agent, 2.0)
    longest_s = MAX_LEASE_S / SLOWEST_RATE
    agent.due_calls(2.0 + longest_s)
    assert cause_by_task(agent) == {}
    agent.due_calls(2.0 + longest_s + LEASE_MARGIN_S)
    assert cause_by_task(agent) == {"j.0.0.0": EndCause.LOST}


def test_longest_lease_counted_as_over_before_a_slow_clock_reached_its_end():
    agent = reconciler_with()
    replaces_its_worker(agent)
    agent.record_listing(1.0, [], [], ends_complete=True, received_s=2.0)
    assert agent.lease_left_s(2.0) >= MAX_LEASE_S / SLOWEST_RATE


def test_orders_end_if_no_worker_comes_after_a_restart():
    reconciler = a_reconciler(created_s=10.0)
    reconciler.set_orders(some_orders(an_order("j.0.0.0")))
    reconciler.due_calls(10.0 + LEASE_EXPIRED_S - 0.2)
    assert cause_by_task(reconciler) == {}
    reconciler.due_calls(10.0 + LEASE_EXPIRED_S)
    assert cause_by_task(reconciler) == {"j.0.0.0": EndCause.LOST}


def test_a_worker_that_left_has_lost_its_runs_soon_after():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    start_all(reconciler)
    reconciler.record_deregistration("w@0")
    reconciler.record_down(1.0)
    assert not reconciler.worker_gone
    reconciler.due_calls(1.0)
    assert cause_by_task(reconciler) == {}
    reconciler.record_deregistration("w@1")
    assert reconciler.worker_gone
    reconciler.due_calls(1.1)
    assert cause_by_task(reconciler) == {"j.0.0.0": EndCause.LOST}


def test_runs_of_a_deregistered_worker_were_given_up_while_it_worked():
    # It works on for seconds if it gets no answer to its deregistration.
    reconciler = reconciler_with(an_order("j.0.0.0"))
    start_all(reconciler)
    reconciler.set_worker(a_worker(draining=True))
    reconciler.record_deregistration("w@1")
    for tick in range(1, 41):
        now_s = tick / 4
        reconciler.record_lease(now_s + LEASE_S)
        running = [Run("j.0.0.0", 1)]
        reconciler.record_listing(now_s, running, [], ends_complete=True)
        assert reconciler.due_calls(now_s) == []
        assert reconciler.running(0.0) == (Run("j.0.0.0", 1),)
    assert cause_by_task(reconciler) == {}
    reconciler.record_down(10.3)
    assert reconciler.due_calls(10.3) == []
    assert cause_by_task(reconciler) == {"j.0.0.0": EndCause.LOST}


def test_silent_deregistered_worker_keeps_its_runs_until_the_lease_is_out():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    start_all(reconciler)
    reconciler.set_worker(a_worker(draining=True))
    reconciler.record_lease(2.0 + LEASE_S)
    reconciler.record_deregistration("w@1")
    reconciler.due_calls(2.0 + LEASE_EXPIRED_S - 0.2)
    assert cause_by_task(reconciler) == {}
    reconciler.due_calls(2.0 + LEASE_EXPIRED_S)
    assert cause_by_task(reconciler) == {"j.0.0.0": EndCause.LOST}


@pytest.mark.parametrize("incarnation", ["w@1", "w@2"])
def test_orders_end_if_the_worker_never_answers_a_new_agent(incarnation):
    # The agent reported on, so the decider left the tasks there for ever.
    reconciler = a_reconciler(created_s=10.0)
    reconciler.set_worker(a_worker(incarnation=incarnation))
    reconciler.set_orders(some_orders(an_order("j.0.0.0")))
    reconciler.due_calls(10.0 + LEASE_EXPIRED_S - 0.2)
    assert cause_by_task(reconciler) == {}
    reconciler.due_calls(10.0 + LEASE_EXPIRED_S)
    assert cause_by_task(reconciler) == {"j.0.0.0": EndCause.LOST}


def test_unanswered_start_of_a_worker_that_left_waits_for_its_lease():
    # The next incarnation may carry it out.
    reconciler = reconciler_with(an_order("j.0.0.0"))
    (call,) = reconciler.due_calls(0.0)
    reconciler.record_start(call.order, StartResult.UNKNOWN, 0.1)
    reconciler.set_worker(a_worker(draining=True))
    reconciler.record_deregistration("w@1")
    reconciler.record_down(0.2)
    reconciler.due_calls(0.3)
    assert reconciler.next_pause_s(0.3) > 0.1
    assert cause_by_task(reconciler) == {}
    reconciler.due_calls(LEASE_EXPIRED_S)
    assert cause_by_task(reconciler) == {"j.0.0.0": EndCause.LOST}


def test_order_was_started_after_it_had_ended_as_lost():
    # The start was decided, and not sent yet, when the old lease was looked
    # at again.
    reconciler = reconciler_with(an_order("j.0.0.0"))
    reconciler.record_announcement(LEASE_EXPIRED_S)
    lease_end_s = LEASE_EXPIRED_S + LEASE_S
    (call,) = reconciler.due_calls(LEASE_EXPIRED_S, lease_end_s)
    assert call.lease_end_s == lease_end_s
    assert reconciler.due_calls(LEASE_EXPIRED_S, lease_end_s) == []
    assert cause_by_task(reconciler) == {}


@pytest.mark.parametrize(
    ("results", "outdated"),
    [
        ([], True),
        ([StartResult.UNKNOWN], True),
        ([StartResult.TOO_LATE], False),
        ([StartResult.STARTED], False),
    ],
)
def test_start_was_carried_out_after_its_order_had_ended_as_lost(
    results, outdated
):
    reconciler = reconciler_with(an_order("j.0.0.0"))
    (call,) = reconciler.due_calls(0.0)
    for result in results:
        reconciler.record_start(call.order, result, 0.1)
    reconciler.due_calls(LEASE_EXPIRED_S)
    assert cause_by_task(reconciler) == {"j.0.0.0": EndCause.LOST}
    assert reconciler.fence_outdated is outdated

from __future__ import annotations

import attrs
import pytest

from filbertlb.batch.agent import LONG_POLL_S
from filbertlb.batch.local_run import MAX_CALL_S
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import Run
from filbertlb.batch.model import RunEnd
from filbertlb.batch.reconciler import HEARTBEAT_PERIOD_S
from filbertlb.batch.reconciler import MAX_HEARTBEAT_PERIODS
from filbertlb.batch.reconciler import MAX_START_TRIES
from filbertlb.batch.reconciler import WorkerReconciler
from filbertlb.batch.testing import a_worker
from filbertlb.batch.testing import an_order
from filbertlb.batch.testing import some_orders
from filbertlb.batch.worker_link import ListedEnd
from filbertlb.batch.worker_link import StartCall
from filbertlb.batch.worker_link import StartResult
from filbertlb.batch.worker_link import StopCall
from filbertlb.table.base import Row
from filbertlb.table.rows import decode_row

LEASE_EXPIRED_S = 6.0 * 1.02 + 0.4
FULL_CAPACITY = (8, 1_000, 1_000)
HALF_CAPACITY = (4, 16_000, 65_536)


def reconciler_with(*orders, worker=None):
    reconciler = WorkerReconciler()
    reconciler.set_worker(worker or a_worker())
    reconciler.record_announcement(0.0)
    reconciler.record_listing(0.0, [], [], ends_complete=True)
    reconciler.record_extension(0.0)
    reconciler.set_orders(some_orders(*orders))
    return reconciler


def cause_by_task(reconciler):
    return {end.task: end.cause for end in reconciler.ended()}


def start_all(reconciler, now_s=0.0):
    for call in reconciler.due_calls(now_s):
        assert isinstance(call, StartCall)
        reconciler.record_start(call.order, StartResult.STARTED, now_s)


def test_worker_that_warms_up_causes_no_more_reports():
    # Each announcement of a cold worker caused a report of its own.
    reconciler = reconciler_with(worker=a_worker(cold_left_ms=3000))
    reconciler.report_changed = False
    reconciler.set_worker(a_worker(cold_left_ms=1500))
    assert not reconciler.report_changed
    assert reconciler.worker.cold_left_ms == 1500
    reconciler.set_worker(a_worker(cold_left_ms=0, draining=True))
    assert reconciler.report_changed


def test_order_is_started_once():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    (call,) = reconciler.due_calls(0.0)
    assert call == StartCall(an_order("j.0.0.0"), "payload")
    assert reconciler.due_calls(0.0) == []


def test_stopping_run_still_uses_capacity():
    reconciler = reconciler_with(an_order("old.0.0.0", needs=FULL_CAPACITY))
    start_all(reconciler)
    reconciler.set_orders(
        some_orders(
            an_order("old.0.0.0", needs=FULL_CAPACITY, stop=True),
            an_order("new.0.0.0", needs=FULL_CAPACITY),
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


def test_unanswered_start_uses_capacity_until_stopped():
    reconciler = reconciler_with(an_order("a.0.0.0", needs=FULL_CAPACITY))
    (call,) = reconciler.due_calls(0.0)
    reconciler.record_start(call.order, StartResult.UNKNOWN, 0.5)
    reconciler.set_orders(
        some_orders(an_order("b.0.0.0", needs=FULL_CAPACITY))
    )
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
def test_order_for_draining_or_other_worker_ends(worker, cause):
    reconciler = reconciler_with(an_order("j.0.0.0"), worker=worker)
    assert reconciler.due_calls(0.0) == []
    assert cause_by_task(reconciler) == {"j.0.0.0": cause}


def test_order_without_capacity_is_refused_after_timeout():
    stopping = an_order("a.0.0.0", needs=FULL_CAPACITY)
    reconciler = reconciler_with(stopping)
    start_all(reconciler)
    reconciler.set_orders(
        some_orders(
            attrs.evolve(stopping, stop=True),
            an_order("b.0.0.0", needs=FULL_CAPACITY),
        )
    )
    for now_s in (0.0, 1.9):
        assert reconciler.due_calls(now_s) == [StopCall("a.0.0.0", 1)]
        reconciler.record_stop(StopCall("a.0.0.0", 1), False, now_s)
        assert cause_by_task(reconciler) == {}
    reconciler.due_calls(2.1)
    assert cause_by_task(reconciler) == {"b.0.0.0": EndCause.REFUSED}


@pytest.mark.parametrize(
    ("used", "stop", "needed", "waits"),
    [
        # The run that is being stopped makes room for the order.
        (8, True, 4, True),
        (8, True, 5, False),
        (8, False, 1, False),
        (2, False, 3, False),
    ],
)
def test_order_waited_in_vain_on_a_worker_that_had_shrunk(
    used, stop, needed, waits
):
    running = an_order("a.0.0.0", needs=(used, 1_000, 1_000))
    reconciler = reconciler_with(running)
    start_all(reconciler)
    reconciler.set_worker(a_worker(capacity=HALF_CAPACITY))
    reconciler.set_orders(
        some_orders(
            attrs.evolve(running, stop=stop),
            an_order("b.0.0.0", needs=(needed, 1_000, 1_000)),
        )
    )
    calls = reconciler.due_calls(1.0)
    assert calls == ([StopCall("a.0.0.0", 1)] if stop else [])
    refused = {} if waits else {"b.0.0.0": EndCause.REFUSED}
    assert cause_by_task(reconciler) == refused


@pytest.mark.parametrize("period_s", [HEARTBEAT_PERIOD_S, 5.0])
@pytest.mark.parametrize(
    ("periods", "starts"),
    [(MAX_HEARTBEAT_PERIODS - 0.1, 1), (MAX_HEARTBEAT_PERIODS + 0.1, 0)],
)
def test_start_relied_on_a_capacity_announced_long_ago(
    period_s, periods, starts
):
    reconciler = reconciler_with(an_order("j.0.0.0"))
    reconciler.heartbeat_period_s = period_s
    age_s = periods * period_s
    reconciler.record_extension(age_s)
    assert len(reconciler.due_calls(age_s)) == starts
    assert cause_by_task(reconciler) == {}


def test_run_missing_from_later_listing_is_lost():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    start_all(reconciler, 1.0)
    reconciler.record_listing(0.9, [], [], ends_complete=True)
    assert cause_by_task(reconciler) == {}
    reconciler.record_listing(1.1, [], [], ends_complete=True)
    assert cause_by_task(reconciler) == {"j.0.0.0": EndCause.LOST}


def test_a_silent_worker_loses_its_runs_when_the_lease_is_out():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    start_all(reconciler)
    reconciler.record_extension(2.0)
    reconciler.due_calls(2.0 + LEASE_EXPIRED_S - 0.2)
    assert cause_by_task(reconciler) == {}
    reconciler.due_calls(2.0 + LEASE_EXPIRED_S)
    assert cause_by_task(reconciler) == {"j.0.0.0": EndCause.LOST}


def test_orders_end_if_no_worker_comes_after_a_restart():
    reconciler = WorkerReconciler(created_s=10.0)
    reconciler.set_orders(some_orders(an_order("j.0.0.0")))
    reconciler.due_calls(10.0 + LEASE_EXPIRED_S - 0.2)
    assert cause_by_task(reconciler) == {}
    reconciler.due_calls(10.0 + LEASE_EXPIRED_S)
    assert cause_by_task(reconciler) == {"j.0.0.0": EndCause.LOST}


NEXT_INCARNATION = a_worker(incarnation="w@2")


def returns(reconciler):
    reconciler.set_worker(NEXT_INCARNATION)
    reconciler.record_listing(5.0, [], [], ends_complete=True)
    reconciler.due_calls(5.0)


def stays_down(reconciler):
    reconciler.due_calls(LEASE_EXPIRED_S + 0.2)


def drains_and_returns(reconciler):
    reconciler.set_worker(a_worker(draining=True))
    returns(reconciler)


def leaves_and_returns(reconciler):
    reconciler.record_deregistration("w@1")
    returns(reconciler)


@pytest.mark.parametrize(
    ("down_s", "what_follows", "crashed_after_ms"),
    [
        ([1.2, 1.5], returns, 200),
        ([1.2], stays_down, 200),
        ([], returns, None),
        ([0.9], returns, None),
        ([1.2], drains_and_returns, None),
        ([1.2], leaves_and_returns, None),
    ],
)
def test_run_lost_in_a_crash_ends_with_its_age(
    down_s, what_follows, crashed_after_ms
):
    reconciler = reconciler_with(an_order("j.0.0.0"))
    start_all(reconciler, 1.0)
    for now_s in down_s:
        reconciler.record_down(now_s)
    what_follows(reconciler)
    (end,) = reconciler.ended()
    assert end.cause is EndCause.LOST
    assert end.crashed_after_ms == crashed_after_ms


def test_worker_that_answers_again_did_not_crash():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    start_all(reconciler, 1.0)
    reconciler.record_down(1.1)
    running = [Run("j.0.0.0", 1)]
    reconciler.record_listing(1.2, running, [], ends_complete=True)
    returns(reconciler)
    (end,) = reconciler.ended()
    assert end.crashed_after_ms is None


def test_run_that_another_agent_process_started_is_not_blamed():
    reconciler = WorkerReconciler()
    reconciler.set_worker(a_worker())
    reconciler.set_orders(some_orders(an_order("j.0.0.0")))
    running = [Run("j.0.0.0", 1)]
    reconciler.record_listing(0.0, running, [], ends_complete=True)
    reconciler.record_down(0.1)
    returns(reconciler)
    (end,) = reconciler.ended()
    assert end.crashed_after_ms is None


def test_restarted_agent_adopts_running_runs():
    reconciler = WorkerReconciler()
    reconciler.set_worker(a_worker())
    reconciler.set_orders(some_orders(an_order("j.0.0.0")))
    assert reconciler.due_calls(0.0) == []
    reconciler.record_listing(
        0.1, [Run("j.0.0.0", 1, "", 30)], [], ends_complete=True
    )
    assert reconciler.due_calls(0.2) == []
    assert reconciler.running() == (Run("j.0.0.0", 1, "", 30),)


def test_adopted_run_listed_before_its_order_kept_its_worker_from_starts():
    # After a restart the listing may come before the orders are read.
    reconciler = WorkerReconciler()
    reconciler.set_worker(a_worker(capacity=HALF_CAPACITY))
    reconciler.record_announcement(0.0)
    reconciler.record_listing(0.1, [Run("j.0.0.0", 1)], [], ends_complete=True)
    adopted = an_order("j.0.0.0", needs=(3, 1_000, 1_000))
    reconciler.set_orders(
        some_orders(
            adopted,
            an_order("k.0.0.0", needs=(2, 1_000, 1_000)),
            an_order("l.0.0.0"),
        )
    )
    calls = reconciler.due_calls(0.2)
    assert [call.order.task for call in calls] == ["l.0.0.0"]


def test_unordered_run_is_stopped_before_any_start():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    reconciler.record_listing(0.1, [Run("x.0.0.0", 1)], [], ends_complete=True)
    assert reconciler.due_calls(0.2) == [StopCall("x.0.0.0", 1)]


def test_end_is_reported_until_its_order_is_removed():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    start_all(reconciler)
    end = RunEnd("j.0.0.0", 1, EndCause.DONE)
    reconciler.record_listing(1.0, [], [ListedEnd(4, end)], ends_complete=True)
    assert reconciler.last_end_number == 4
    reconciler.set_orders(some_orders(an_order("j.0.0.0")))
    assert reconciler.ended() == (end,)
    assert reconciler.due_calls(1.0) == []
    reconciler.set_orders(some_orders())
    assert reconciler.ended() == ()


def test_fenced_agent_sends_no_more_calls():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    (call,) = reconciler.due_calls(0.0)
    reconciler.record_start(call.order, StartResult.FENCED, 0.1)
    assert reconciler.fenced
    assert reconciler.due_calls(5.0) == []


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
        reconciler.record_extension(now_s)
        running = [Run("j.0.0.0", 1)]
        reconciler.record_listing(now_s, running, [], ends_complete=True)
        assert reconciler.due_calls(now_s) == []
        assert reconciler.running() == (Run("j.0.0.0", 1),)
    assert cause_by_task(reconciler) == {}
    reconciler.record_down(10.3)
    assert reconciler.due_calls(10.3) == []
    assert cause_by_task(reconciler) == {"j.0.0.0": EndCause.LOST}


def test_silent_deregistered_worker_keeps_its_runs_until_the_lease_is_out():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    start_all(reconciler)
    reconciler.set_worker(a_worker(draining=True))
    reconciler.record_extension(2.0)
    reconciler.record_deregistration("w@1")
    reconciler.due_calls(2.0 + LEASE_EXPIRED_S - 0.2)
    assert cause_by_task(reconciler) == {}
    reconciler.due_calls(2.0 + LEASE_EXPIRED_S)
    assert cause_by_task(reconciler) == {"j.0.0.0": EndCause.LOST}


def test_the_next_worker_is_served_after_one_left():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    start_all(reconciler)
    reconciler.record_deregistration("w@1")
    reconciler.set_worker(a_worker(incarnation="w@2"))
    reconciler.record_listing(2.0, [], [], ends_complete=True)
    reconciler.set_orders(some_orders(an_order("k.0.0.0", incarnation="w@2")))
    (call,) = reconciler.due_calls(2.1)
    assert call.order.task == "k.0.0.0"


def test_restarted_agent_keeps_ends_of_previous_process():
    reconciler = WorkerReconciler()
    reconciler.restore([RunEnd("j.0.0.0", 1, EndCause.DONE)])
    reconciler.set_worker(a_worker())
    reconciler.set_orders(some_orders(an_order("j.0.0.0")))
    reconciler.record_listing(0.0, [], [], ends_complete=True)
    assert reconciler.due_calls(0.1) == []
    assert cause_by_task(reconciler) == {"j.0.0.0": EndCause.DONE}


def test_a_refused_copy_of_a_start_does_not_end_the_run_it_found():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    for now_s in (0.0, 1.0, 2.0):
        (call,) = reconciler.due_calls(now_s)
        if now_s < 2.0:
            reconciler.record_start(call.order, StartResult.UNKNOWN, now_s)
    # The first call started the run late; the third call is refused.
    reconciler.record_listing(2.1, [Run("j.0.0.0", 1)], [], ends_complete=True)
    reconciler.record_start(call.order, StartResult.UNHEALTHY, 2.2)
    reconciler.due_calls(2.3)
    assert cause_by_task(reconciler) == {}
    assert reconciler.running() == (Run("j.0.0.0", 1),)


@pytest.mark.parametrize(
    ("result", "changes", "calls", "causes"),
    [
        (
            StartResult.UNKNOWN,
            {"capacity": HALF_CAPACITY},
            [StopCall("j.0.0.0", 1)],
            {},
        ),
        (
            StartResult.UNKNOWN,
            {"draining": True},
            [StopCall("j.0.0.0", 1)],
            {},
        ),
        (
            StartResult.UNHEALTHY,
            {"capacity": HALF_CAPACITY},
            [],
            {"j.0.0.0": EndCause.REFUSED},
        ),
        (
            StartResult.UNHEALTHY,
            {"draining": True},
            [],
            {"j.0.0.0": EndCause.REFUSED},
        ),
    ],
)
def test_start_was_repeated_on_a_worker_that_shrank_or_drains(
    result, changes, calls, causes
):
    # A stop makes the worker refuse a start that it may still get.
    order = an_order("j.0.0.0", needs=FULL_CAPACITY)
    reconciler = reconciler_with(order)
    reconciler.due_calls(0.0)
    reconciler.record_start(order, result, 0.5)
    reconciler.set_worker(a_worker(**changes))
    assert reconciler.due_calls(1.0) == calls
    assert cause_by_task(reconciler) == causes


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


def list_running(reconciler, saved):
    run = Run("j.0.0.0", 1, saved, 40)
    reconciler.record_listing(0.5, [run], [], ends_complete=True)


def replace_worker(reconciler):
    reconciler.set_worker(a_worker(incarnation="w@2"))
    reconciler.record_listing(1.0, [], [], ends_complete=True)
    reconciler.due_calls(1.0)


def test_run_lost_with_its_worker_ends_with_its_latest_checkpoint():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    start_all(reconciler)
    list_running(reconciler, "early")
    list_running(reconciler, "late")
    replace_worker(reconciler)
    lost = RunEnd("j.0.0.0", 1, EndCause.LOST, "late")
    assert reconciler.ended() == (lost,)


def test_checkpoint_of_a_lost_run_outlives_the_agent():
    reconciler = WorkerReconciler()
    reconciler.restore([], [Run("j.0.0.0", 1, "stored", 40)])
    reconciler.set_orders(some_orders(an_order("j.0.0.0")))
    replace_worker(reconciler)
    lost = RunEnd("j.0.0.0", 1, EndCause.LOST, "stored")
    assert reconciler.ended() == (lost,)


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


def test_unanswered_start_is_awaited_before_the_next_call():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    reconciler.due_calls(0.0)
    assert reconciler.due_calls(MAX_CALL_S - 0.1) == []
    assert reconciler.next_pause_s(0.0) == MAX_CALL_S
    (call,) = reconciler.due_calls(MAX_CALL_S)
    assert call.order.task == "j.0.0.0"


@pytest.mark.parametrize("incarnation", ["w@1", "w@2"])
def test_orders_end_if_the_worker_never_answers_a_new_agent(incarnation):
    # The agent reported on, so the decider left the tasks there for ever.
    reconciler = WorkerReconciler(created_s=10.0)
    reconciler.set_worker(a_worker(incarnation=incarnation))
    reconciler.set_orders(some_orders(an_order("j.0.0.0")))
    reconciler.due_calls(10.0 + LEASE_EXPIRED_S - 0.2)
    assert cause_by_task(reconciler) == {}
    reconciler.due_calls(10.0 + LEASE_EXPIRED_S)
    assert cause_by_task(reconciler) == {"j.0.0.0": EndCause.LOST}


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
            reconciler.record_extension(listing_sent_s)
            reconciler.record_listing(
                listing_sent_s, [], [], ends_complete=True
            )
            listing_sent_s = now_s
    assert cause_by_task(reconciler) == {"j.0.0.0": EndCause.STOPPED}


def test_start_refused_by_another_incarnation_is_not_repeated_at_once():
    # The start was admitted anew and sent every 20 ms until a heartbeat came.
    reconciler = reconciler_with(an_order("j.0.0.0"))
    (call,) = reconciler.due_calls(0.0)
    reconciler.record_start(call.order, StartResult.OTHER_INCARNATION, 0.0)
    assert reconciler.due_calls(0.1) == []
    assert cause_by_task(reconciler) == {"j.0.0.0": EndCause.LOST}


@pytest.mark.parametrize("later", [StartResult.UNHEALTHY, StartResult.UNKNOWN])
def test_start_without_an_answer_is_not_repeated_for_ever(later):
    reconciler = reconciler_with(an_order("j.0.0.0"))
    starts = 0
    for tick in range(40):
        now_s = tick / 4
        reconciler.record_announcement(now_s)
        reconciler.record_extension(now_s)
        for call in reconciler.due_calls(now_s):
            if isinstance(call, StopCall):
                reconciler.record_stop(call, answered=True, now_s=now_s)
                continue
            result = later if starts else StartResult.UNKNOWN
            reconciler.record_start(call.order, result, now_s)
            starts += 1
        reconciler.record_listing(now_s, [], [], ends_complete=True)
    assert starts == MAX_START_TRIES
    assert cause_by_task(reconciler) == {"j.0.0.0": EndCause.STOPPED}


@pytest.mark.parametrize(
    ("result", "crashed_after_ms"),
    [
        (StartResult.STARTED, 200),
        (StartResult.UNKNOWN, 200),
        (None, 200),
        (StartResult.UNHEALTHY, None),
        (StartResult.NO_ROOM, None),
    ],
)
def test_run_that_the_worker_had_refused_was_blamed_for_its_crash(
    result, crashed_after_ms
):
    reconciler = reconciler_with(an_order("j.0.0.0"))
    (call,) = reconciler.due_calls(1.0)
    if result is not None:
        reconciler.record_start(call.order, result, 1.1)
    reconciler.record_down(1.2)
    returns(reconciler)
    (end,) = reconciler.ended()
    assert end.cause is EndCause.LOST
    assert end.crashed_after_ms == crashed_after_ms


def test_start_whose_call_never_ends_is_not_repeated_for_ever():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    calls = []
    for number in range(MAX_START_TRIES + 1):
        now_s = number * MAX_CALL_S
        reconciler.record_announcement(now_s)
        reconciler.record_extension(now_s)
        calls += reconciler.due_calls(now_s)
    starts = [call for call in calls if not isinstance(call, StopCall)]
    assert len(starts) == MAX_START_TRIES
    assert calls[-1] == StopCall("j.0.0.0", 1)


def test_unanswered_start_is_stopped_after_an_earlier_incarnation_was_heard():
    # The start was forgotten, and an end reported that nothing proved.
    reconciler = WorkerReconciler()
    order = an_order("j.0.0.0", incarnation="w@2")
    later, earlier = (a_worker(incarnation=name) for name in ("w@2", "w@1"))
    reconciler.set_worker(later)
    reconciler.record_announcement(0.0)
    reconciler.record_extension(0.0)
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


@pytest.mark.parametrize(
    "result", [StartResult.STARTED, StartResult.UNKNOWN, None]
)
def test_start_carried_out_by_the_next_incarnation_was_given_up(result):
    # It was reported as lost, and the task started elsewhere while it ran.
    reconciler = reconciler_with(an_order("j.0.0.0"))
    (call,) = reconciler.due_calls(1.0)
    if result is not None:
        reconciler.record_start(call.order, result, 1.1)
    reconciler.record_down(1.2)
    reconciler.set_worker(NEXT_INCARNATION)
    assert reconciler.due_calls(1.3) == []
    assert cause_by_task(reconciler) == {}
    running = [Run("j.0.0.0", 1)]
    reconciler.record_listing(1.4, running, [], ends_complete=True)
    (stop,) = reconciler.due_calls(1.5)
    assert stop == StopCall("j.0.0.0", 1)
    assert cause_by_task(reconciler) == {}
    reconciler.record_stop(stop, answered=True, now_s=1.6)
    end = RunEnd("j.0.0.0", 1, EndCause.STOPPED)
    reconciler.record_listing(1.7, [], [ListedEnd(1, end)], ends_complete=True)
    assert reconciler.ended() == (end,)


def test_restarted_agent_gave_up_a_run_that_the_next_incarnation_lists():
    reconciler = WorkerReconciler()
    reconciler.set_worker(NEXT_INCARNATION)
    reconciler.set_orders(some_orders(an_order("j.0.0.0")))
    running = [Run("j.0.0.0", 1)]
    reconciler.record_listing(0.1, running, [], ends_complete=True)
    assert reconciler.due_calls(0.2) == [StopCall("j.0.0.0", 1)]
    assert cause_by_task(reconciler) == {}


def goes_down(reconciler):
    reconciler.record_down(0.2)


def restarts(reconciler):
    reconciler.record_other_incarnation()


@pytest.mark.parametrize("what_happens", [goes_down, restarts])
@pytest.mark.parametrize(
    ("result", "causes"),
    [
        (None, {"j.0.0.0": EndCause.REFUSED}),
        (StartResult.UNHEALTHY, {"j.0.0.0": EndCause.REFUSED}),
        (StartResult.UNKNOWN, {}),
    ],
)
def test_start_was_sent_again_to_a_worker_that_is_down_or_has_restarted(
    what_happens, result, causes
):
    # The next incarnation would carry it out.
    reconciler = reconciler_with(an_order("j.0.0.0"))
    if result is not None:
        (call,) = reconciler.due_calls(0.0)
        reconciler.record_start(call.order, result, 0.1)
    what_happens(reconciler)
    for now_s in (0.5, 1.0, 2.0):
        assert reconciler.due_calls(now_s) == []
    assert reconciler.next_pause_s(2.0) > 0.1
    assert cause_by_task(reconciler) == causes
    reconciler.record_listing(2.1, [], [], ends_complete=True)
    calls = reconciler.due_calls(2.5)
    assert len(calls) == (not causes)


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


def run_ms_by_task(reconciler):
    return {end.task: end.run_ms for end in reconciler.ended()}


def listed_end(task, cause=EndCause.DONE):
    return ListedEnd(1, RunEnd(task, 1, cause))


def test_run_time_counts_from_the_response_to_its_start():
    # The long poll was sent 0.9 s before the run ended.
    reconciler = reconciler_with(an_order("j.0.0.0"))
    start_all(reconciler, 0.5)
    reconciler.record_listing(
        3.6, [], [listed_end("j.0.0.0")], True, received_s=4.5
    )
    assert run_ms_by_task(reconciler) == {"j.0.0.0": 4000}


def test_run_time_counts_from_the_first_listing_without_such_a_response():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    (call,) = reconciler.due_calls(0.0)
    reconciler.record_start(call.order, StartResult.UNKNOWN, 0.5)
    running = [Run("j.0.0.0", 1)]
    for sent_s in (1.0, 2.0):
        reconciler.record_listing(sent_s, running, [], True, sent_s)
    reconciler.record_listing(
        3.0, [], [listed_end("j.0.0.0")], True, received_s=3.5
    )
    assert run_ms_by_task(reconciler) == {"j.0.0.0": 2500}


def test_run_time_is_unknown_if_another_process_started_the_run():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    reconciler.record_listing(1.0, [Run("j.0.0.0", 1)], [], True, 1.0)
    reconciler.record_listing(2.0, [], [listed_end("j.0.0.0")], True, 2.5)
    assert run_ms_by_task(reconciler) == {"j.0.0.0": None}


def test_run_that_is_lost_lasted_until_it_was_last_known_to_run():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    start_all(reconciler, 0.5)
    reconciler.record_listing(2.0, [Run("j.0.0.0", 1)], [], True, 2.1)
    reconciler.record_listing(9.0, [], [], True, 9.1)
    assert cause_by_task(reconciler) == {"j.0.0.0": EndCause.LOST}
    assert run_ms_by_task(reconciler) == {"j.0.0.0": 1500}


def test_end_in_a_row_of_an_earlier_agent_has_no_run_time():
    value = b'{"task":"j.0.0.0","attempt":1,"cause":"done"}'
    assert decode_row(Row("workers/n", value, 1), RunEnd).run_ms is None

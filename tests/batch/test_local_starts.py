"""Starts that are refused, repeated, given up or carried out late."""

from __future__ import annotations

import pytest

from filbertlb.batch.local_run import MAX_CALL_S
from filbertlb.batch.local_starts import MAX_START_TRIES
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import Run
from filbertlb.batch.model import RunEnd
from filbertlb.batch.testing import a_worker
from filbertlb.batch.testing import an_order
from filbertlb.batch.worker_link import LEASE_S
from filbertlb.batch.worker_link import ListedEnd
from filbertlb.batch.worker_link import StartResult
from filbertlb.batch.worker_link import StopCall
from tests.batch.reconciling import cause_by_task
from tests.batch.reconciling import FULL_CAPACITY
from tests.batch.reconciling import HALF_CAPACITY
from tests.batch.reconciling import NEXT_INCARNATION
from tests.batch.reconciling import reconciler_with


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
    assert reconciler.running(0.0) == (Run("j.0.0.0", 1),)


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


def test_unanswered_start_is_awaited_before_the_next_call():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    reconciler.due_calls(0.0)
    assert reconciler.due_calls(MAX_CALL_S - 0.1) == []
    assert reconciler.next_pause_s(0.0) == MAX_CALL_S
    (call,) = reconciler.due_calls(MAX_CALL_S)
    assert call.order.task == "j.0.0.0"


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
        reconciler.record_lease(now_s + LEASE_S)
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


def test_start_whose_call_never_ends_is_not_repeated_for_ever():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    calls = []
    for number in range(MAX_START_TRIES + 1):
        now_s = number * MAX_CALL_S
        reconciler.record_announcement(now_s)
        reconciler.record_lease(now_s + LEASE_S)
        calls += reconciler.due_calls(now_s)
    starts = [call for call in calls if not isinstance(call, StopCall)]
    assert len(starts) == MAX_START_TRIES
    assert calls[-1] == StopCall("j.0.0.0", 1)


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

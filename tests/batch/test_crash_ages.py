"""Ages of the runs that a worker had when it crashed."""

from __future__ import annotations

import pytest

from filbertlb.batch.model import EndCause
from filbertlb.batch.model import Run
from filbertlb.batch.testing import a_worker
from filbertlb.batch.testing import an_order
from filbertlb.batch.testing import some_orders
from filbertlb.batch.worker_link import StartResult
from tests.batch.reconciling import a_reconciler
from tests.batch.reconciling import LEASE_EXPIRED_S
from tests.batch.reconciling import reconciler_with
from tests.batch.reconciling import returns
from tests.batch.reconciling import start_all


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
    reconciler = a_reconciler()
    reconciler.set_worker(a_worker())
    reconciler.set_orders(some_orders(an_order("j.0.0.0")))
    running = [Run("j.0.0.0", 1)]
    reconciler.record_listing(0.0, running, [], ends_complete=True)
    reconciler.record_down(0.1)
    returns(reconciler)
    (end,) = reconciler.ended()
    assert end.crashed_after_ms is None


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

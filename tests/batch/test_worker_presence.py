"""Workers that deregister, return or announce themselves seldom."""

from __future__ import annotations

import pytest

from filbertlb.batch.testing import a_worker
from filbertlb.batch.testing import an_order
from filbertlb.batch.testing import some_orders
from filbertlb.batch.worker_link import LEASE_S
from filbertlb.batch.worker_presence import HEARTBEAT_PERIOD_S
from filbertlb.batch.worker_presence import MAX_HEARTBEAT_PERIODS
from tests.batch.reconciling import cause_by_task
from tests.batch.reconciling import reconciler_with
from tests.batch.reconciling import start_all


def test_worker_that_warms_up_causes_no_more_reports():
    # Each announcement of a cold worker caused a report of its own.
    reconciler = reconciler_with(worker=a_worker(cold_left_ms=3000))
    reconciler.report_changed = False
    reconciler.set_worker(a_worker(cold_left_ms=1500))
    assert not reconciler.report_changed
    assert reconciler.worker.cold_left_ms == 1500
    reconciler.set_worker(a_worker(cold_left_ms=0, draining=True))
    assert reconciler.report_changed


@pytest.mark.parametrize("period_s", [HEARTBEAT_PERIOD_S, 5.0])
@pytest.mark.parametrize(
    ("periods", "starts"),
    [(MAX_HEARTBEAT_PERIODS - 0.1, 1), (MAX_HEARTBEAT_PERIODS + 0.1, 0)],
)
def test_start_relied_on_a_capacity_announced_long_ago(
    period_s, periods, starts
):
    order = an_order("j.0.0.0")
    reconciler = reconciler_with(order, heartbeat_period_s=period_s)
    age_s = periods * period_s
    reconciler.record_lease(age_s + LEASE_S)
    reconciler.session.record_stored(1, age_s / 2, age_s / 2)
    assert len(reconciler.due_calls(age_s)) == starts
    assert cause_by_task(reconciler) == {}


def test_the_next_worker_is_served_after_one_left():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    start_all(reconciler)
    reconciler.record_deregistration("w@1")
    reconciler.set_worker(a_worker(incarnation="w@2"))
    reconciler.record_listing(2.0, [], [], ends_complete=True)
    reconciler.set_orders(some_orders(an_order("k.0.0.0", incarnation="w@2")))
    (call,) = reconciler.due_calls(2.1)
    assert call.order.task == "k.0.0.0"

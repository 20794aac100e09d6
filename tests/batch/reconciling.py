"""Reconcilers and steps that tests of the agent's decisions share."""

from __future__ import annotations

from filbertlb.batch.reconciler import WorkerReconciler
from filbertlb.batch.testing import a_worker
from filbertlb.batch.testing import some_orders
from filbertlb.batch.worker_link import LEASE_S
from filbertlb.batch.worker_link import StartCall
from filbertlb.batch.worker_link import StartResult
from filbertlb.batch.worker_presence import HEARTBEAT_PERIOD_S

LEASE_EXPIRED_S = 6.0 * 1.02 + 0.4
FULL_CAPACITY = (8, 1_000, 1_000)
HALF_CAPACITY = (4, 16_000, 65_536)


def a_reconciler(created_s=0.0, heartbeat_period_s=HEARTBEAT_PERIOD_S):
    """Return the reconciler of an agent that has registered."""
    reconciler = WorkerReconciler("agent", created_s, heartbeat_period_s)
    reconciler.session.record_stored(0, created_s, created_s)
    return reconciler


def reconciler_with(
    *orders, worker=None, heartbeat_period_s=HEARTBEAT_PERIOD_S
):
    reconciler = a_reconciler(heartbeat_period_s=heartbeat_period_s)
    reconciler.set_worker(worker or a_worker())
    reconciler.record_announcement(0.0)
    reconciler.record_listing(0.0, [], [], ends_complete=True)
    reconciler.record_lease(LEASE_S)
    reconciler.set_orders(some_orders(*orders))
    return reconciler


def cause_by_task(reconciler):
    return {end.task: end.cause for end in reconciler.ended()}


def start_all(reconciler, now_s=0.0):
    for call in reconciler.due_calls(now_s):
        assert isinstance(call, StartCall)
        reconciler.record_start(call.order, StartResult.STARTED, now_s)


NEXT_INCARNATION = a_worker(incarnation="w@2")


def returns(reconciler):
    reconciler.set_worker(NEXT_INCARNATION)
    reconciler.record_listing(5.0, [], [], ends_complete=True)
    reconciler.due_calls(5.0)


def run_ms_by_task(reconciler):
    return {end.task: end.run_ms for end in reconciler.ended()}

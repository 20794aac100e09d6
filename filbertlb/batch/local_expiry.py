"""Ends of runs whose worker answers no more."""

from __future__ import annotations

from typing import TYPE_CHECKING

from filbertlb.batch.local_starts import START_RETRY_S
from filbertlb.batch.model import EndCause
from filbertlb.batch.worker_link import CLOCK_DRIFT
from filbertlb.batch.worker_link import LEASE_S

if TYPE_CHECKING:
    from filbertlb.batch.local_runs import LocalRuns
    from filbertlb.batch.model import Orders

LEASE_MARGIN_S = 0.3
"""Margin added to a lease before its runs count as lost."""


def lease_expired(extended_s: float, now_s: float) -> bool:
    """Return whether a lease that was last extended at a time has expired."""
    lease_s = LEASE_S * CLOCK_DRIFT + LEASE_MARGIN_S
    return now_s >= extended_s + lease_s


def end_expired_runs(runs: LocalRuns, expired_for_s: float) -> None:
    """End all runs as lost, since their lease has expired."""
    reason = f"lease ran out {expired_for_s:.1f} s ago"
    for key, run in list(runs.by_key.items()):
        run_ms = run.run_ms(run.acked_s)
        runs.end(key, EndCause.LOST, reason, run_ms)


def end_with_worker(runs: LocalRuns, orders: Orders, now_s: float) -> None:
    """End orders as lost since the worker's process has ended.

    The next incarnation may still carry out a start without an answer.
    """
    runs.by_key = {
        key: run for key, run in runs.by_key.items() if run.start_pending
    }
    for run in runs.by_key.values():
        run.retry_s = now_s + START_RETRY_S
    runs.lose_orders(orders.orders, "the worker has left")

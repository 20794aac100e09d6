"""Ends of runs whose worker answers no more."""

from __future__ import annotations

from typing import TYPE_CHECKING

from filbertlb.batch.local_starts import START_RETRY_S
from filbertlb.batch.model import EndCause

if TYPE_CHECKING:
    from filbertlb.batch.local_runs import LocalRuns
    from filbertlb.batch.model import Orders

LEASE_MARGIN_S = 0.5
"""Margin added to the end of a lease before its runs count as lost."""


def lease_expired(lease_end_s: float, now_s: float) -> bool:
    """Return whether a lease that was to end at a time has surely expired."""
    return now_s >= lease_end_s + LEASE_MARGIN_S


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

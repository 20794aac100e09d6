"""Capacity that the runs of a worker leave for others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from filbertlb.core.amounts import minus
from filbertlb.core.amounts import plus
from filbertlb.core.amounts import ZERO_AMOUNT

if TYPE_CHECKING:
    from collections.abc import Container
    from collections.abc import Iterable

    from filbertlb.batch.local_run import LocalRun
    from filbertlb.batch.model import Order
    from filbertlb.batch.model import RunKey
    from filbertlb.core.amounts import Amount

NO_CAPACITY: Amount = (-1, -1, -1)
"""Free capacity with which nothing starts, not even what needs nothing."""


def free_capacity(capacity: Amount, runs: Iterable[LocalRun]) -> Amount:
    """Return the capacity that runs don't use.

    A run that was not ordered may use any amount of resources, so nothing
    starts until it has ended.
    """
    used = ZERO_AMOUNT
    for run in runs:
        if run.needs is None:
            return NO_CAPACITY
        used = plus(used, run.needs)
    return minus(capacity, used)


def capacity_after_stops(
    capacity: Amount, orders: Iterable[Order], runs: Container[RunKey]
) -> Amount:
    """Return the capacity that the runs to be kept don't use."""
    room = capacity
    for order in orders:
        if not order.stop and order.key in runs:
            room = minus(room, order.needs)
    return room

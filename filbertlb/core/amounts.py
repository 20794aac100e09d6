"""Exact integer arithmetic on resource vectors.

Cores and memory are converted to integer millicores and MiB. Adding and
subtracting the same amounts is then exact, which floats don't guarantee.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from filbertlb.core.model import Resources

Amount = tuple[int, int, int]
"""Accelerators, millicores and MiB of memory."""

ZERO_AMOUNT: Amount = (0, 0, 0)
MILLICORES_PER_CORE = 1000
MIB_PER_GIB = 1024
UNLIMITED_MEMBERS = 1 << 30

# Tolerance for floating-point error, in millicores or MiB: 0.1 * 3 is
# slightly more than 0.3 and would otherwise be rounded up too far.
_ROUNDING_SLACK = 1e-6


def needed(resources: Resources) -> Amount:
    """Convert the resources that a task needs, rounding up."""
    return (
        resources.accelerators,
        math.ceil(resources.cores * MILLICORES_PER_CORE - _ROUNDING_SLACK),
        math.ceil(resources.memory_gib * MIB_PER_GIB - _ROUNDING_SLACK),
    )


def offered(resources: Resources) -> Amount:
    """Convert the resources that a worker has, rounding down."""
    return (
        resources.accelerators,
        math.floor(resources.cores * MILLICORES_PER_CORE + _ROUNDING_SLACK),
        math.floor(resources.memory_gib * MIB_PER_GIB + _ROUNDING_SLACK),
    )


def plus(left: Amount, right: Amount) -> Amount:
    """Return the elementwise sum."""
    return (left[0] + right[0], left[1] + right[1], left[2] + right[2])


def minus(left: Amount, right: Amount) -> Amount:
    """Return the elementwise difference; elements may be negative."""
    return (left[0] - right[0], left[1] - right[1], left[2] - right[2])


def times(amount: Amount, count: int) -> Amount:
    """Return the amount with each element multiplied by a count."""
    return (amount[0] * count, amount[1] * count, amount[2] * count)


def elementwise_min(left: Amount, right: Amount) -> Amount:
    """Return the minimum of each element."""
    return (
        min(left[0], right[0]),
        min(left[1], right[1]),
        min(left[2], right[2]),
    )


def covers(room: Amount, need: Amount) -> bool:
    """Return whether the room is enough for the need."""
    return need[0] <= room[0] and need[1] <= room[1] and need[2] <= room[2]


def is_negative(amount: Amount) -> bool:
    """Return whether any element is below zero."""
    return amount[0] < 0 or amount[1] < 0 or amount[2] < 0


def copies(room: Amount, need: Amount) -> int:
    """Return how many times the need fits into the room.

    A need of nothing fits ``UNLIMITED_MEMBERS`` times.
    """
    if is_negative(room):
        return _copies_of_overcommitted(room, need)
    count = UNLIMITED_MEMBERS
    if need[0]:
        count = room[0] // need[0]
    if need[1]:
        count = min(count, room[1] // need[1])
    if need[2]:
        count = min(count, room[2] // need[2])
    return count


def _copies_of_overcommitted(room: Amount, need: Amount) -> int:
    """Count copies where some element of the room is negative.

    A negative element matters only if the need asks for that resource.
    """
    for available, wanted in zip(room, need, strict=True):
        if wanted and available < 0:
            return 0
    return copies((max(0, room[0]), max(0, room[1]), max(0, room[2])), need)

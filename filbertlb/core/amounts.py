"""Exact integer arithmetic over resources.

Fractions of cores and memory are kept as integers, so that adding and
taking away the same amounts always ends where it began.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from filbertlb.core.model import Resources

Amount = tuple[int, int, int]
"""Accelerators, millicores and MiB."""

ZERO_AMOUNT: Amount = (0, 0, 0)
MILLICORES_PER_CORE = 1000
MIB_PER_GIB = 1024
UNLIMITED_MEMBERS = 1 << 30

# Absorbs binary fractions such as 0.1 * 3 before rounding up.
_ROUNDING_SLACK = 1e-6


def needed(resources: Resources) -> Amount:
    """Return what a task needs, rounded up."""
    return (
        resources.accelerators,
        math.ceil(resources.cores * MILLICORES_PER_CORE - _ROUNDING_SLACK),
        math.ceil(resources.memory_gib * MIB_PER_GIB - _ROUNDING_SLACK),
    )


def offered(resources: Resources) -> Amount:
    """Return what a worker has, rounded down."""
    return (
        resources.accelerators,
        math.floor(resources.cores * MILLICORES_PER_CORE + _ROUNDING_SLACK),
        math.floor(resources.memory_gib * MIB_PER_GIB + _ROUNDING_SLACK),
    )


def plus(left: Amount, right: Amount) -> Amount:
    """Return the sum."""
    return (left[0] + right[0], left[1] + right[1], left[2] + right[2])


def minus(left: Amount, right: Amount) -> Amount:
    """Return the difference, which may be negative."""
    return (left[0] - right[0], left[1] - right[1], left[2] - right[2])


def times(amount: Amount, count: int) -> Amount:
    """Return the amount multiplied by a count."""
    return (amount[0] * count, amount[1] * count, amount[2] * count)


def elementwise_min(left: Amount, right: Amount) -> Amount:
    """Return the smaller of each part."""
    return (
        min(left[0], right[0]),
        min(left[1], right[1]),
        min(left[2], right[2]),
    )


def covers(room: Amount, need: Amount) -> bool:
    """Tell whether the need fits into the room."""
    return need[0] <= room[0] and need[1] <= room[1] and need[2] <= room[2]


def is_negative(amount: Amount) -> bool:
    """Tell whether any part is below zero."""
    return amount[0] < 0 or amount[1] < 0 or amount[2] < 0


def copies(room: Amount, need: Amount) -> int:
    """Return how many times the need fits into the room."""
    if is_negative(room):
        return copies_of_positive_parts(room, need)
    count = UNLIMITED_MEMBERS
    if need[0]:
        count = room[0] // need[0]
    if need[1]:
        count = min(count, room[1] // need[1])
    if need[2]:
        count = min(count, room[2] // need[2])
    return count


def copies_of_positive_parts(room: Amount, need: Amount) -> int:
    """Return the copies where some part of the room is overdrawn.

    A part that is not needed may be overdrawn.
    """
    for part, wanted in zip(room, need, strict=True):
        if wanted and part < 0:
            return 0
    return copies((max(0, room[0]), max(0, room[1]), max(0, room[2])), need)

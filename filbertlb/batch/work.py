"""Work of tasks and the cores that resources count as."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from filbertlb.batch.model import Step
    from filbertlb.core.amounts import Amount

CORES_PER_ACCELERATOR = 8


def core_seconds(step: Step, tasks: int, run_ms: int) -> float:
    """Return the work of tasks of a step in core-seconds.

    An accelerator counts as ``CORES_PER_ACCELERATOR`` cores.
    """
    return cores(step.needs) * tasks * run_ms / 1000


def cores(amount: Amount) -> float:
    """Return the cores that resources count as; memory is not counted."""
    return amount[1] / 1000 + CORES_PER_ACCELERATOR * amount[0]

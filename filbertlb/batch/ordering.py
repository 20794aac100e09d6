"""Order in which groups of tasks are placed."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from filbertlb.batch.benefit_order import BenefitOrder
from filbertlb.batch.deadline_order import DeadlineOrder

if TYPE_CHECKING:
    from collections.abc import Iterable

    from filbertlb.batch.placing_context import PlacingContext
    from filbertlb.batch.planner_state import TaskGroup


class PlacingOrder(Protocol):
    """Urgency of groups in one placement round."""

    def sort(self, groups: Iterable[TaskGroup]) -> list[TaskGroup]:
        """Return the ready groups, those to be placed first at the front."""
        ...

    def is_late(self, group: TaskGroup) -> bool:
        """Return whether a group misses its deadline even if started now."""
        ...

    def must_start_now(self, group: TaskGroup) -> bool:
        """Return whether a group may miss its deadline unless started now."""
        ...

    def deadline_ms(self, group: TaskGroup) -> int:
        """Return the deadline of the job, or of the occurrence."""
        ...

    def explain(self, group: TaskGroup) -> str:
        """Return why a group has its place, for logs."""
        ...


def placing_order(context: PlacingContext) -> PlacingOrder:
    """Return the order that the settings select."""
    if context.demand is None:
        return DeadlineOrder(context)
    return BenefitOrder(context, context.demand)

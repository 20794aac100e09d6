"""Nodes that are kept free for groups that wait.

Without a reservation, less urgent groups would take resources as soon as
they become free, and a large group would starve.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.fitting import RunningTask
from filbertlb.batch.model import TaskPhase

if TYPE_CHECKING:
    from filbertlb.batch.placing_context import PlacingContext

MAX_RESERVED_SHARE = 0.5
"""Maximum share of the workers reserved for waiting groups."""


@attrs.frozen
class Reservations:
    """Reservations in one placement round."""

    context: PlacingContext

    def may_reserve(self) -> bool:
        """Return whether another group may reserve nodes."""
        available = self.context.available
        max_reserved = int(len(available.room) * MAX_RESERVED_SHARE)
        return len(available.reserved) < max_reserved

    def runs_by_remaining_time(self, nodes: list[str]) -> list[RunningTask]:
        """Return the runs on nodes, each with its remaining time as cost."""
        state = self.context.state
        return [
            self._run_with_remaining_time(task, node)
            for node in nodes
            for task in state.tasks_on(node)
            if state.record(task).phase is TaskPhase.ORDERED
        ]

    def _run_with_remaining_time(self, task: str, node: str) -> RunningTask:
        state = self.context.state
        step = state.step_of(task)
        run_ms = self.context.now_ms - state.record(task).since_ms
        remaining_ms = self.context.durations.remaining_ms(
            state.job_of(task), step, task, run_ms
        )
        return RunningTask(node, step.needs, task, remaining_ms)

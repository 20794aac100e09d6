"""Which runs may be stopped for a group that waits.

Answers urgent work that arrives while less urgent work holds the workers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.fitting import RunningTask
from filbertlb.batch.model import task_group_of
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.placing_context import core_seconds

if TYPE_CHECKING:
    from filbertlb.batch.fitting import Placement
    from filbertlb.batch.model import Job
    from filbertlb.batch.ordering import PlacingOrder
    from filbertlb.batch.placing_context import PlacingContext
    from filbertlb.batch.planner_state import TaskGroup

CHECKPOINT_INTERVAL_MS = 2000
"""Maximum work of a checkpointable task since its last checkpoint."""
GUARANTEE_PREEMPTION_DELAY_MS = 1000
"""Time that a job within its guarantee waits before it preempts any run.

The rest of the time limit for guaranteed starts is left for stopping runs.
"""
BASE_LOSS_LIMIT_CORE_S = 150.0
"""Lost work that is acceptable for any preemption."""
LOSS_LIMIT_PER_CORE_S = 0.15
"""Additional acceptable loss per core-second of the placed work."""


@attrs.frozen
class Preemption:
    """Choice of runs to stop in one placement round."""

    context: PlacingContext
    order: PlacingOrder

    def may_claim_guarantee(self, group: TaskGroup) -> bool:
        """Return whether a group may preempt runs regardless of lost work."""
        return (
            self._guaranteed(group.job)
            and self.context.waited_ms(group) >= GUARANTEE_PREEMPTION_DELAY_MS
        )

    def preemptible_runs(self, group: TaskGroup) -> list[RunningTask]:
        """Return the runs that may be stopped for a group.

        A job within its guarantee may also preempt urgent jobs that exceed
        theirs. Other jobs preempt nothing if they are late anyway.
        """
        if not (
            self.may_claim_guarantee(group) or self.order.must_start_now(group)
        ):
            return []
        if not self._guaranteed(group.job) and self.order.is_late(group):
            return []
        state = self.context.state
        return [
            self._preemptible_run(task, node)
            for node in self.context.available.room
            for task in state.tasks_on(node)
            if state.record(task).phase is TaskPhase.ORDERED
            and self._may_preempt(group.job, state.job_of(task))
        ]

    def if_loss_acceptable(
        self, placement: Placement | None, group: TaskGroup, count: int
    ) -> Placement | None:
        """Return a placement, or None if its preemptions lose too much work.

        The limit grows with the work of the tasks that are placed. It does
        not apply to jobs within their guarantees that have waited for the
        preemption delay.
        """
        if placement is None or self.may_claim_guarantee(group):
            return placement
        own_work = core_seconds(
            group.step, count, self.context.expected_ms(group)
        )
        acceptable = (
            placement.cost
            <= BASE_LOSS_LIMIT_CORE_S + LOSS_LIMIT_PER_CORE_S * own_work
        )
        return placement if acceptable else None

    def _guaranteed(self, job: Job) -> bool:
        return job.job_id in self.context.within_guarantee

    def _may_preempt(self, job: Job, running: Job) -> bool:
        exceeds_guarantee = running.priority == 0 and not self._guaranteed(
            running
        )
        return running.priority > job.priority or (
            self._guaranteed(job) and exceeds_guarantee
        )

    def _preemptible_run(self, task: str, node: str) -> RunningTask:
        """Return a run with the work lost by stopping it as its cost."""
        state = self.context.state
        step = state.step_of(task)
        run_ms = self.context.now_ms - state.record(task).since_ms
        if step.checkpointable:
            run_ms = min(run_ms, CHECKPOINT_INTERVAL_MS)
        if step.gang:
            cost = core_seconds(step, step.count, run_ms)
            return RunningTask(node, step.needs, task_group_of(task), cost)
        return RunningTask(
            node, step.needs, task, core_seconds(step, 1, run_ms)
        )

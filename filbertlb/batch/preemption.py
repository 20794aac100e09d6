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

REPORT_PERIOD_MS = 1000
"""Time between two reports of an agent."""
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
    _lost_core_s: dict[str, float] = attrs.Factory(dict)

    def may_claim_guarantee(self, group: TaskGroup) -> bool:
        """Return whether a group may preempt runs regardless of lost work."""
        return (
            self._guaranteed(group.job)
            and self.context.waited_ms(group) >= GUARANTEE_PREEMPTION_DELAY_MS
        )

    def cause(self, group: TaskGroup) -> str:
        """Return why a group preempts, for logs and metrics."""
        return "guarantee" if self._guaranteed(group.job) else "deadline"

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
        step = self.context.state.step_of(task)
        stop_group = task_group_of(task) if step.gang else task
        return RunningTask(
            node, step.needs, stop_group, self.lost_core_s(stop_group)
        )

    def lost_core_s(self, stop_group: str) -> float:
        """Return the work lost by stopping a gang or a single task.

        Parameters
        ----------
        stop_group : str
            Name of the task, or of the task group of a gang.
        """
        if stop_group not in self._lost_core_s:
            state = self.context.state
            tasks = list(state.members(stop_group)) or [stop_group]
            self._lost_core_s[stop_group] = sum(
                core_seconds(state.step_of(task), 1, self._lost_ms(task))
                for task in tasks
                if state.record(task).phase is TaskPhase.ORDERED
            )
        return self._lost_core_s[stop_group]

    def _lost_ms(self, task: str) -> int:
        """Return the work that a run loses if it is stopped now.

        A run whose reports show no new checkpoint for some time has lost
        all work since; otherwise it loses an interval at most.
        """
        record = self.context.state.record(task)
        run_ms = max(0, self.context.now_ms - record.since_ms)
        if not self.context.state.step_of(task).checkpointable:
            return run_ms
        interval_ms = self.context.checkpoints.interval_ms
        lost_ms = interval_ms
        view = self.context.views.get(record.node)
        seen = None
        if view is not None:
            seen = view.seen_checkpoint((task, record.attempt))
        if seen is not None:
            age_ms = round((self.context.now_s - seen.seen_s) * 1000)
            if age_ms > 2 * interval_ms + REPORT_PERIOD_MS:
                lost_ms = age_ms
            elif seen.replaced:
                # The listing comes half a period late in the mean, or half
                # an interval if newer checkpoints replace each other.
                delay_ms = min(REPORT_PERIOD_MS, interval_ms) // 2
                lost_ms = min(interval_ms, age_ms + delay_ms)
        return min(run_ms, lost_ms) + self.context.checkpoints.restore_ms

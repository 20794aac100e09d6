"""Which runs may be stopped for a group that waits.

Answers urgent work that arrives while less urgent work holds the workers.
A stop loses work and makes another job wait, so when capacity is
insufficient it rarely gains anything. Only tasks with a time limit stop runs
whatever is lost, and only if no run ends in time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.fitting import RunningTask
from filbertlb.batch.model import task_group_of
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.work import core_seconds

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
LATEST_CLAIM_MS = 1600
"""Time until which it waits instead if runs will have ended by then.

It leaves enough of the time limit for the longest stop, for writing the
order and for starting the tasks.
"""
LATER_CLAIM_DELAY_MS = 4000
"""The same delay for tasks other than the first of a job's first steps.

Only those have a time limit. The shortest runs end within this time.
"""
BASE_LOSS_LIMIT_CORE_S = 150.0
"""Lost work that is acceptable for any job, whatever its size.

A job has a part of its value that does not depend on its work.
"""
LOSS_LIMIT_PER_CORE_S = 0.15
"""Additional acceptable loss per core-second of work."""
RESTART_DELAY_MS = 4000
"""Time after which a preempted run is expected to be placed again."""


@attrs.define
class Preemption:
    """Choice of runs to stop in one placement round."""

    context: PlacingContext
    order: PlacingOrder
    _lost_core_s: dict[str, float] = attrs.Factory(dict)
    _costs: dict[str, float] = attrs.Factory(dict)
    _known_runs: list[tuple[str, RunningTask]] | None = None

    def may_claim_guarantee(self, group: TaskGroup) -> bool:
        """Return whether a group may preempt runs regardless of lost work."""
        if not self._guaranteed(group.job):
            return False
        if self.has_time_limit(group):
            waited_ms = self.context.waited_ms(group)
            return waited_ms >= GUARANTEE_PREEMPTION_DELAY_MS
        waited_ms = self.context.now_ms - self.context.state.ready_ms(group)
        return waited_ms >= LATER_CLAIM_DELAY_MS

    def has_time_limit(self, group: TaskGroup) -> bool:
        """Return whether waiting tasks must begin within a stated time.

        These are the tasks of a first step of a job within its guarantee
        that have not run yet.
        """
        state = self.context.state
        return (
            self._guaranteed(group.job)
            and not group.step.after
            and any(
                state.record(task).attempt == 0
                for task in state.waiting(group)
            )
        )

    def latest_wait_ms(self, group: TaskGroup) -> int | None:
        """Return until when a claim may wait for the end of runs, or None."""
        if not self.has_time_limit(group):
            return None
        latest_ms = group.earliest_start_ms + LATEST_CLAIM_MS
        return latest_ms if self.context.now_ms < latest_ms else None

    def cause(self, group: TaskGroup) -> str:
        """Return why a group preempts, for logs and metrics."""
        return "guarantee" if self._guaranteed(group.job) else "deadline"

    def preemptible_runs(self, group: TaskGroup) -> list[RunningTask]:
        """Return the runs that may be stopped for a group.

        A job within its guarantee may also preempt urgent jobs that exceed
        theirs. Nothing is preempted for a group that is late anyway, or can
        still wait, unless it claims a guarantee.
        """
        claims = self.may_claim_guarantee(group)
        if not claims and (
            self.order.is_late(group) or not self.order.must_start_now(group)
        ):
            return []
        limit = float("inf") if claims else self.gain(group)
        state = self.context.state
        return [
            run
            for task, run in self._runs()
            if run.cost <= limit
            and state.record(task).phase is TaskPhase.ORDERED
            and self._may_preempt(group.job, state.job_of(task))
        ]

    def _runs(self) -> list[tuple[str, RunningTask]]:
        """Return the runs that were ordered by earlier decisions."""
        if self._known_runs is None:
            state = self.context.state
            self._known_runs = [
                (task, self._preemptible_run(task, node))
                for node in self.context.available.room
                for task in state.tasks_on(node)
                if state.record(task).phase is TaskPhase.ORDERED
                and state.record(task).since_ms != self.context.now_ms
            ]
        return self._known_runs

    def if_loss_acceptable(
        self, placement: Placement | None, group: TaskGroup
    ) -> Placement | None:
        """Return a placement, or None if its preemptions lose too much work.

        The limit grows with the work of the tasks that are placed. It does
        not apply to jobs within their guarantees that have waited for the
        preemption delay.
        """
        if placement is None or self.may_claim_guarantee(group):
            return placement
        return placement if placement.cost <= self.gain(group) else None

    def gain(self, group: TaskGroup) -> float:
        """Return the loss that an early placement of a group may cause.

        The gain is that of the tasks placed together: weighing a whole step
        for each of its tasks would let wide steps stop many runs.
        """
        count = group.step.count if group.step.gang else 1
        return self._value(group, count, self.context.expected_ms(group))

    def _value(self, group: TaskGroup, count: int, run_ms: int) -> float:
        """Return the loss that some tasks of a group may cause to be on time.

        It is a part of their work, and of the part of a job's value that
        does not depend on its work.
        """
        work = core_seconds(group.step, count, run_ms)
        share = count / max(1, group.step.count)
        return BASE_LOSS_LIMIT_CORE_S * share + LOSS_LIMIT_PER_CORE_S * work

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
        """Return a run with what it costs to stop it."""
        step = self.context.state.step_of(task)
        stop_group = task_group_of(task) if step.gang else task
        if stop_group not in self._costs:
            lost_core_s = self.lost_core_s(stop_group)
            self._costs[stop_group] = lost_core_s + self._lateness_cost(task)
        return RunningTask(
            node, step.needs, stop_group, self._costs[stop_group]
        )

    def _lateness_cost(self, task: str) -> float:
        """Return what is lost if a run would be on time but for its stop."""
        context = self.context
        state = context.state
        job = state.job_of(task)
        step = state.step_of(task)
        if step.long_running:
            return 0.0
        group = state.group_of(task)
        run_ms = context.now_ms - state.record(task).since_ms
        remaining_ms = context.durations.remaining_ms(job, step, task, run_ms)
        end_ms = context.now_ms + remaining_ms
        deadline_ms = self.order.deadline_ms(group)
        delay_ms = RESTART_DELAY_MS + self._lost_ms(task)
        if not end_ms <= deadline_ms < end_ms + delay_ms:
            return 0.0
        count = step.count if step.gang else 1
        return self._value(group, count, context.expected_ms(group))

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

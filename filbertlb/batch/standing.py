"""Finds tasks that could run and do not move, and why.

Reads the decider's state and the reports of workers, and changes nothing.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.model import task_group_of
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.planner_state import ALLOCATED_PHASES
from filbertlb.batch.planner_state import TaskGroup
from filbertlb.batch.queue_report import WaitReason
from filbertlb.batch.workers import DEAD_AFTER_S
from filbertlb.batch.workers import MAX_REPORT_AGE_S

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from filbertlb.batch.model import RunKey
    from filbertlb.batch.model import TaskRecord
    from filbertlb.batch.planner_state import PlannerState
    from filbertlb.batch.workers import WorkerView

USUAL_BESIDE_RUNS = frozenset(
    (
        *(WaitReason.NOT_TRIED, WaitReason.NO_ROOM),
        *(WaitReason.RESERVED, WaitReason.CONSTRAINED),
    )
)
"""Reasons for which the rest of a group waits while others of it run."""


class StandReason(StrEnum):
    """Why a task that is ordered, or whose step waits, does not move."""

    NOT_BEGUN = "not_begun"
    """Its agent reports, and has not begun the run."""
    NOT_CONFIRMED = "not_confirmed"
    """Its agent has not begun the run, as its orders do not confirm the report
    that it awaits."""
    NOT_LISTED = "not_listed"
    """The run had begun, and reports tell neither of it nor of its end."""
    NOT_STOPPED = "not_stopped"
    """Its agent reports, and not that the run has stopped."""
    WORKER_SILENT = "worker_silent"
    """No report of its worker comes; the end of its leases is awaited."""
    WORKER_UNKNOWN = "worker_unknown"
    """Its worker has no report at all."""
    REPORTS_OUTDATED = "reports_outdated"
    """The decider cannot read the reports, so it knows nothing newer."""
    STEP_HELD = "step_held"
    """Its step waits for tasks of an earlier one that do not move."""
    STEP_RERUN = "step_rerun"
    """Its step waits for tasks of an earlier one that run again."""


@attrs.frozen
class Look:
    """Time at which tasks are looked at.

    Parameters
    ----------
    now_s, now_ms : float, int
        Monotonic time, and the same in Unix milliseconds.
    known_s : float
        Monotonic time up to which all reports are known.
    """

    now_s: float
    now_ms: int
    known_s: float

    @property
    def outdated(self) -> bool:
        """Whether the reports of all workers are too old to judge by."""
        return self.now_s - self.known_s > MAX_REPORT_AGE_S

    def monotonic_s(self, at_ms: int) -> float:
        """Return a time in the past; one in the future counts as now."""
        return self.now_s - max(0, self.now_ms - at_ms) / 1000


@attrs.frozen
class Still:
    """A task that does not move, or tasks of a group that are not placed.

    Parameters
    ----------
    key : RunKey
        Task and attempt, or task group and 0.
    count : int
        Number of tasks.
    since_s : float, optional
        Monotonic time of the last movement; None if it is not known.
    detail : callable
        Returns what the reason was found from; few are logged.
    node : str
        Where a task is ordered; empty if it is not placed.
    """

    key: RunKey
    group: str
    count: int
    reason: WaitReason | StandReason
    since_s: float | None
    detail: Callable[[], str]
    node: str = ""


def find_still(
    state: PlannerState,
    workers: Mapping[str, WorkerView],
    waiting: Iterable[tuple[TaskGroup, WaitReason]],
    look: Look,
) -> Iterator[Still]:
    """Yield what does not move now, however short a time.

    Parameters
    ----------
    waiting : iterable of tuple
        Ready groups with tasks that are not placed, and why.
    """
    for group, reason in waiting:
        still = _unplaced(state, group, reason, look)
        if still is not None:
            yield still
    for node in state.occupied_nodes():
        view = workers.get(node)
        watch = None if view is None else _WorkerWatch(state, view, look)
        for task in state.tasks_on(node):
            record = state.record(task)
            still = (
                _without_report(task, record, look)
                if watch is None
                else watch.check(task, record)
            )
            if still is not None:
                yield still


def _unplaced(
    state: PlannerState, group: TaskGroup, reason: WaitReason, look: Look
) -> Still | None:
    """Return the tasks of a ready group that are not placed.

    Where some of its tasks run, that the others wait for room is usual.
    """
    records = state.members(group.name).values()
    runs = sum(record.phase in ALLOCATED_PHASES for record in records)
    if runs and reason in USUAL_BESIDE_RUNS:
        return None
    placed = sum(record.phase is not TaskPhase.WAITING for record in records)
    count = group.step.count
    times_ms = [group.earliest_start_ms]
    times_ms += [record.since_ms for record in records]
    for index in group.step.after:
        before = TaskGroup(group.job, group.occurrence, index)
        times_ms += [
            record.since_ms for record in state.members(before.name).values()
        ]
    return Still(
        (group.name, 0),
        group.name,
        count - placed,
        reason,
        look.monotonic_s(max(times_ms)),
        lambda: (
            f"{count - placed} of its {count} tasks are ready and not "
            f"placed, {runs} run"
        ),
    )


def _without_report(task: str, record: TaskRecord, look: Look) -> Still:
    return Still(
        (task, record.attempt),
        task_group_of(task),
        1,
        StandReason.WORKER_UNKNOWN,
        look.monotonic_s(record.since_ms),
        lambda: f"{record.phase.value}, no report is known",
        record.node,
    )


@attrs.define
class _WorkerWatch:
    """Looks at the tasks on one worker."""

    state: PlannerState
    view: WorkerView
    look: Look
    listed: frozenset[RunKey] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        running = self.view.report.running
        self.listed = frozenset(run.key for run in running)

    def check(self, task: str, record: TaskRecord) -> Still | None:
        """Return why a task on the worker does not move; None if it does."""
        reason = self._reason((task, record.attempt), record)
        if reason is None:
            return None
        since_s: float | None = self.look.monotonic_s(record.since_ms)
        if reason is StandReason.WORKER_SILENT:
            since_s = max(
                self.view.seen_s, self.look.monotonic_s(record.since_ms)
            )
        elif reason is StandReason.NOT_LISTED:
            since_s = None
        return Still(
            (task, record.attempt),
            task_group_of(task),
            1,
            reason,
            since_s,
            lambda: f"{record.phase.value}, {self._detail(reason)}",
            record.node,
        )

    def _reason(self, key: RunKey, record: TaskRecord) -> StandReason | None:
        view, look = self.view, self.look
        if view.silent(look.known_s):
            return StandReason.WORKER_SILENT
        stopping = record.phase is TaskPhase.STOPPING
        if not stopping and key in self.listed:
            return None
        if look.outdated:
            return StandReason.REPORTS_OUTDATED
        if stopping:
            return StandReason.NOT_STOPPED
        if key in view.begun:
            return StandReason.NOT_LISTED
        if self._confirmed():
            return StandReason.NOT_BEGUN
        return StandReason.NOT_CONFIRMED

    def _confirmed(self) -> bool:
        """Return whether the orders row confirms what the agent awaits."""
        report = self.view.report
        mark = self.state.confirmations.written(report.node)
        return mark is not None and mark.covers(
            report.registration, report.awaited_sequence
        )

    def _detail(self, reason: StandReason) -> str:
        view, look = self.view, self.look
        report = view.report
        detail = (
            f"report {report.sequence} of agent {report.registration} seen "
            f"{look.now_s - view.seen_s:.1f} s ago"
        )
        if reason is StandReason.WORKER_SILENT:
            left_s = max(0.0, view.seen_s + DEAD_AFTER_S - look.known_s)
            return f"{detail}, leases end within {left_s:.1f} s"
        if reason is StandReason.REPORTS_OUTDATED:
            age_s = look.now_s - look.known_s
            return f"{detail}, reports known up to {age_s:.1f} s ago"
        if reason is StandReason.NOT_CONFIRMED:
            mark = self.state.confirmations.written(report.node)
            return (
                f"{detail} awaits that its orders confirm report "
                f"{report.awaited_sequence}, they confirm {mark}"
            )
        return f"{detail}, {self._worker_detail()}"

    def _worker_detail(self) -> str:
        """Return what may keep the worker from its orders."""
        report, node = self.view.report, self.view.report.node
        if report.worker is None:
            return "which knows no worker"
        stopping = sum(
            self.state.record(task).phase is TaskPhase.STOPPING
            for task in self.state.tasks_on(node)
        )
        answers = "answers" if report.answers else "does not answer"
        return (
            f"worker {report.worker.incarnation} {answers}, "
            f"{len(self.listed)} runs listed, {stopping} to stop"
        )

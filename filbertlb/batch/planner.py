"""Decides which tasks run where; pure, under given time.

The decider feeds rows of the table in, calls :meth:`Planner.decide` and
writes what changed. After a failed write it starts again from the rows.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.batch.board import Board
from filbertlb.batch.board import Unit
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import job_of
from filbertlb.batch.model import JobState
from filbertlb.batch.model import RunEnd
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.model import unit_of
from filbertlb.batch.placing import Placer
from filbertlb.batch.placing import space_of
from filbertlb.batch.workers import WorkerView

if TYPE_CHECKING:
    from collections.abc import Iterable

    from filbertlb.batch.model import Job
    from filbertlb.batch.model import WorkerReport

EARLY_MS = 100
"""Occurrences start at most this long before they are due."""


@attrs.define
class Planner:
    """The decider's state and decisions.

    Attributes
    ----------
    guaranteed : dict of str to int
        Accelerators guaranteed by organisation.
    """

    board: Board = attrs.Factory(Board)
    workers: dict[str, WorkerView] = attrs.Factory(dict)
    guaranteed: dict[str, int] = attrs.Factory(dict)
    _reported: set[str] = attrs.Factory(set)

    def saw_report(self, report: WorkerReport, now_s: float) -> None:
        """Take in a worker's report."""
        view = self.workers.get(report.node)
        if view is None:
            self.workers[report.node] = WorkerView(report, now_s)
        else:
            view.report = report
            view.seen_s = now_s
        self._reported.add(report.node)

    def decide(self, now_s: float, now_ms: int) -> None:
        """Change the board by what is known now."""
        for node in sorted(self._reported):
            self._take_report(self.workers[node], now_s, now_ms)
        self._reported.clear()
        self._drop_dead(now_s, now_ms)
        self._cancel(now_ms)
        self._evacuate(now_ms)
        self._settle(now_ms)
        space = space_of(self.board, self.workers, now_s)
        placer = Placer(self.board, space, self._covered(), now_ms)
        placer.place(self._ready_units(now_ms))

    def _take_report(
        self, view: WorkerView, now_s: float, now_ms: int
    ) -> None:
        report = view.report
        self._watch_progress(view)
        for end in report.ended:
            job_id = job_of(end.task)
            if job_id not in self.board.jobs:
                continue
            record = self.board.record(end.task)
            if (record.attempt, record.node) != (end.attempt, report.node):
                continue
            if record.phase in (TaskPhase.ORDERED, TaskPhase.STOPPING):
                self._judge(view, end, now_s)
                self._apply_end(end, now_ms)
        for run in report.running:
            progress = self.board.progress.get(job_of(run.task))
            if progress is not None and not progress.started:
                progress.started = True
                self.board.changed_jobs.add(progress.job_id)
                if progress.state is JobState.QUEUED:
                    self.board.set_state(
                        progress.job_id, JobState.ACTIVE, now_ms
                    )

    def _watch_progress(self, view: WorkerView) -> None:
        """Give a worker no new work while its runs stand still."""
        running = view.report.running
        estimates_ms = (
            self.board.step_of(run.task).estimate_ms
            for run in running
            if job_of(run.task) in self.board.jobs
        )
        shortest_ms = min(estimates_ms, default=0)
        if view.record_progress(running, shortest_ms, view.seen_s):
            logger.warning(
                "worker {} gets no new work: none of its {} runs moves",
                *(view.report.node, len(running)),
            )

    def _judge(self, view: WorkerView, end: RunEnd, now_s: float) -> None:
        failed = end.cause is EndCause.FAILED
        if not failed and end.cause is not EndCause.DONE:
            return
        if view.record_end(unit_of(end.task), failed, now_s):
            logger.warning(
                "worker {} put aside: runs of several jobs failed there",
                view.report.node,
            )

    def _apply_end(self, end: RunEnd, now_ms: int) -> None:
        board = self.board
        record = board.record(end.task)
        step = board.step_of(end.task)
        done = end.cause is EndCause.DONE and not step.long_running
        failed = end.cause is EndCause.FAILED
        logger.info(
            "end of {} attempt {} on {}: {}",
            *(end.task, end.attempt, record.node, end.cause.value),
        )
        board.update(
            end.task,
            attrs.evolve(
                record,
                phase=TaskPhase.DONE if done else TaskPhase.WAITING,
                failures=record.failures + failed,
                saved=end.saved or record.saved,
                since_ms=now_ms,
                avoid=record.node if failed else record.avoid,
            ),
        )
        if step.gang:
            self._end_gang(end.task, done, now_ms)

    def _end_gang(self, task: str, done: bool, now_ms: int) -> None:
        """Let the other members follow the first end of a gang."""
        saved = self.board.record(task).saved
        for other, record in self.board.members(unit_of(task)).items():
            if done and record.phase is not TaskPhase.DONE:
                self.board.move(other, TaskPhase.DONE, now_ms)
            elif record.phase is TaskPhase.ORDERED:
                self.board.move(other, TaskPhase.STOPPING, now_ms)
            if saved and not done:
                self.board.record(other).saved = saved

    def _drop_dead(self, now_s: float, now_ms: int) -> None:
        for node in self.board.nodes():
            view = self.workers.get(node)
            if view is None or not view.dead(now_s):
                continue
            logger.warning(
                "worker {} is silent for {:.1f} s: its leases have run out",
                *(node, now_s - view.seen_s),
            )
            for task in self.board.tasks_on(node):
                attempt = self.board.record(task).attempt
                self._apply_end(RunEnd(task, attempt, EndCause.LOST), now_ms)

    def _cancel(self, now_ms: int) -> None:
        for job_id in self.board.cancelled & self.board.jobs.keys():
            progress = self.board.progress[job_id]
            if progress.state in (JobState.COMPLETE, JobState.FAILED):
                continue
            self._stop_job(job_id, now_ms)
            if not self.board.holding(job_id):
                self.board.set_state(job_id, JobState.CANCELLED, now_ms)

    def _stop_job(self, job_id: str, now_ms: int) -> None:
        for task in self.board.holding(job_id):
            if self.board.record(task).phase is TaskPhase.ORDERED:
                self.board.move(task, TaskPhase.STOPPING, now_ms)

    def _evacuate(self, now_ms: int) -> None:
        """Move work that can be saved off workers that leave."""
        for node, view in self.workers.items():
            worker = view.report.worker
            if worker is None or not worker.draining:
                continue
            for task in self.board.tasks_on(node):
                step = self.board.step_of(task)
                movable = step.checkpointable or step.long_running
                if movable:
                    self._stop_unit(unit_of(task), step.gang, task, now_ms)

    def _stop_unit(
        self, unit: str, gang: bool, task: str, now_ms: int
    ) -> None:
        for other, record in self.board.members(unit).items():
            if record.phase is TaskPhase.ORDERED and (gang or other == task):
                self.board.move(other, TaskPhase.STOPPING, now_ms)

    def _settle(self, now_ms: int) -> None:
        """End jobs that are complete or have failed too often."""
        for job, progress in self.board.open_jobs():
            if job.job_id in self.board.cancelled:
                continue
            if self._gave_up(job):
                self._stop_job(job.job_id, now_ms)
                if not self.board.holding(job.job_id):
                    self.board.set_state(job.job_id, JobState.FAILED, now_ms)
            elif progress.tasks and self._complete(job):
                self.board.set_state(job.job_id, JobState.COMPLETE, now_ms)

    def _gave_up(self, job: Job) -> bool:
        failures: dict[str, int] = {}
        for task, record in self.board.progress[job.job_id].tasks.items():
            step = self.board.step_of(task)
            if record.failures and not step.long_running:
                name = unit_of(task) if step.gang else task
                failures[name] = failures.get(name, 0) + record.failures
        return any(count >= job.attempts for count in failures.values())

    def _complete(self, job: Job) -> bool:
        if any(step.long_running for step in job.steps):
            return False
        return all(
            self.board.done(Unit(job, occurrence, index))
            for occurrence in range(max(1, job.times))
            for index in range(len(job.steps))
        )

    def _ready_units(self, now_ms: int) -> Iterable[Unit]:
        for job, _ in self.board.open_jobs():
            if job.job_id in self.board.cancelled or job.advised:
                continue
            if self._gave_up(job):
                continue
            for occurrence in range(_due_count(job, now_ms)):
                yield from self._ready_steps(job, occurrence)

    def _ready_steps(self, job: Job, occurrence: int) -> Iterable[Unit]:
        units = [
            Unit(job, occurrence, index) for index in range(len(job.steps))
        ]
        for unit in units:
            waiting = self.board.waiting(unit)
            if waiting and all(
                self.board.done(units[index]) for index in unit.step.after
            ):
                yield unit

    def _covered(self) -> set[str]:
        """Return the urgent jobs that their guarantees cover."""
        covered = set()
        left = dict(self.guaranteed)
        for job, _ in sorted(
            self.board.open_jobs(), key=lambda one: one[0].accepted_ms
        ):
            if job.priority > 0 or job.job_id in self.board.cancelled:
                continue
            need = max(step.count * step.needs[0] for step in job.steps)
            if need <= left.get(job.organisation, 0):
                left[job.organisation] -= need
                covered.add(job.job_id)
        return covered


def _due_count(job: Job, now_ms: int) -> int:
    """Return how many occurrences have come due."""
    if not job.times:
        return 1
    since_ms = now_ms + EARLY_MS - job.first_due_ms
    if since_ms < 0:
        return 0
    if job.interval_ms <= 0:
        return job.times
    return min(job.times, 1 + since_ms // job.interval_ms)

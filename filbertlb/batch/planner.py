"""Scheduling decisions: which tasks run on which nodes.

The planner performs no I/O and is given the time. The decider applies rows
of the table to it, calls :meth:`Planner.decide` and writes the changes.
After a failed write the decider builds a new planner from the rows.
"""

from __future__ import annotations

from collections import Counter
from functools import partial
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.batch.crash_evidence import CrashRate
from filbertlb.batch.crash_evidence import culprits_among
from filbertlb.batch.crashes import MAX_BLAME_MS
from filbertlb.batch.durations import DeclaredDurations
from filbertlb.batch.end_standing import EndStanding
from filbertlb.batch.end_standing import standing_of
from filbertlb.batch.end_standing import UnappliedEnds
from filbertlb.batch.evacuation import Evacuations
from filbertlb.batch.evacuation_log import EvacuationLog
from filbertlb.batch.evacuation_log import MIN_LOGGED_WAIT_MS
from filbertlb.batch.job_outcome import FailureCause
from filbertlb.batch.job_outcome import is_complete
from filbertlb.batch.job_outcome import job_failure
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import job_id_of
from filbertlb.batch.model import JobState
from filbertlb.batch.model import RunEnd
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.order_withdrawal import stop_run
from filbertlb.batch.order_withdrawal import withdraw_evacuated_orders
from filbertlb.batch.placing import Placer
from filbertlb.batch.placing_context import available_capacity
from filbertlb.batch.placing_context import CheckpointCosts
from filbertlb.batch.placing_context import PlacingContext
from filbertlb.batch.planner_state import PlannerState
from filbertlb.batch.queue_report import QueueReport
from filbertlb.batch.ready_groups import jobs_within_guarantee
from filbertlb.batch.ready_groups import ready_groups
from filbertlb.batch.run_ends import apply_end
from filbertlb.batch.run_ends import apply_late_done
from filbertlb.batch.run_observation import observed_run
from filbertlb.batch.standing import Look
from filbertlb.batch.standing_report import StandingReport
from filbertlb.batch.start_health import SURVIVAL_MS
from filbertlb.batch.workers import DEAD_AFTER_S
from filbertlb.batch.workers import has_crashed
from filbertlb.batch.workers import is_eligible
from filbertlb.batch.workers import may_quarantine_one
from filbertlb.batch.workers import WorkerView

if TYPE_CHECKING:
    from collections.abc import Callable

    from filbertlb.batch.demand import Demand
    from filbertlb.batch.durations import DurationModel
    from filbertlb.batch.durations import ObservedRun
    from filbertlb.batch.job_outcome import JobFailure
    from filbertlb.batch.model import Job
    from filbertlb.batch.model import RunKey
    from filbertlb.batch.model import TaskRecord
    from filbertlb.batch.model import WorkerReport

MAX_LOST_TASKS = 12
"""Ended tasks of one silent worker that are not written; others follow.

Their jobs and the worker's orders are written in one transaction, which
holds 1 MB: as many rows of 64 KiB.
"""


@attrs.define
class Planner:
    """Scheduler state and the decisions on it.

    Attributes
    ----------
    guaranteed : dict of str to int
        Guaranteed number of accelerators by organisation.
    reports_complete_s : float
        Monotonic time up to which all reports are known. A worker is not
        silent while its reports cannot be read.
    durations : DurationModel
        Predicts the run times of tasks.
    checkpoints : CheckpointCosts
        What a checkpointable run loses if it is stopped.
    lost_core_s : dict of str to float
        Core-seconds lost by preemption so far, by cause.
    failed_jobs : Counter of str
        Jobs that failed so far, by cause.
    run_ends : Counter of str
        Ends of runs processed so far, by cause.
    late_ends : Counter of str
        Ends reported so far of runs that had counted as ended, by cause.
    failed_runs : Counter of str
        Failed runs so far, by unit: ``task`` or ``gang``.
    evacuations : Evacuations
        Failure domains that get no new work, or not their full share.
    demand : Demand, optional
        Present if ready tasks are ordered by benefit instead of deadline.
    queue_report : QueueReport
        Tells what waits and why.
    standing : StandingReport
        Tells which tasks could run and do not move, and why.
    """

    state: PlannerState = attrs.Factory(PlannerState)
    workers: dict[str, WorkerView] = attrs.Factory(dict)
    guaranteed: dict[str, int] = attrs.Factory(dict)
    reports_complete_s: float = float("inf")
    durations: DurationModel = attrs.Factory(DeclaredDurations)
    checkpoints: CheckpointCosts = attrs.Factory(CheckpointCosts)
    lost_core_s: dict[str, float] = attrs.Factory(dict)
    failed_jobs: Counter[str] = attrs.Factory(Counter)
    run_ends: Counter[str] = attrs.Factory(Counter)
    late_ends: Counter[str] = attrs.Factory(Counter)
    failed_runs: Counter[str] = attrs.Factory(Counter)
    evacuations: Evacuations = attrs.Factory(Evacuations)
    _evacuation_log: EvacuationLog = attrs.Factory(EvacuationLog)
    demand: Demand | None = None
    queue_report: QueueReport = attrs.Factory(QueueReport)
    standing: StandingReport = attrs.Factory(StandingReport)
    _unprocessed_nodes: set[str] = attrs.Factory(set)
    _crash_rate: CrashRate = attrs.Factory(CrashRate)
    _unapplied_ends: UnappliedEnds = attrs.Factory(UnappliedEnds)

    def record_report(
        self, report: WorkerReport, now_s: float, recent: bool = True
    ) -> None:
        """Store a worker's report for the next decision.

        Parameters
        ----------
        recent : bool
            The report is known to be at most ``MAX_REPORT_AGE_S`` older than
            ``now_s`` says.
        """
        view = self.workers.get(report.node)
        before = None if view is None else view.report
        if has_crashed(before, report):
            self._crash_rate.record_crash(self.state, report.node, now_s)
        if view is None:
            view = WorkerView(report, now_s, recent)
            self.workers[report.node] = view
        else:
            view.report = report
            view.seen_s = now_s
            view.recent = recent
            view.silence_logged = False
        if report.worker is not None:
            self.durations.record_worker(report.node, report.worker)
        view.record_begun(self._ordered_runs(report.node))
        self._unprocessed_nodes.add(report.node)

    def decide(self, now_s: float, now_ms: int) -> None:
        """Process new reports, then stop, finish and place tasks."""
        self._crash_rate.record_time(now_s)
        self._process_reports(now_s, now_ms)
        known_s = min(now_s, self.reports_complete_s)
        self._end_runs_of_dead_workers(known_s, now_s, now_ms)
        self._stop_cancelled_jobs(now_ms)
        self._vacate_draining_workers(now_ms)
        self._withdraw_evacuated_orders(now_s, now_ms)
        self._finish_jobs(now_ms)
        if self._place(now_s, now_ms):
            self.standing.update(
                *(self.state, self.workers, self.queue_report.waiting),
                Look(now_s, now_ms, known_s),
            )

    def _place(self, now_s: float, now_ms: int) -> bool:
        """Place ready tasks; return whether those that wait were counted."""
        if not self._may_place(now_s):
            ready = ready_groups(self.state, now_ms)
            return self.queue_report.update_outdated(ready, now_s, now_ms)
        available = available_capacity(
            self.state, self.workers, now_s, self.evacuations
        )
        context = PlacingContext(
            self.state,
            available,
            jobs_within_guarantee(self.state, self.guaranteed),
            self.durations,
            now_ms,
            now_s,
            self.workers,
            self.checkpoints,
            self.lost_core_s,
            self.demand,
        )
        placer = Placer(context)
        placer.place(ready_groups(self.state, now_ms))
        counted = self.queue_report.update(placer, now_s)
        if self.evacuations.version_by_domain:
            self._log_waiting_jobs(now_s, now_ms)
        return counted

    def fail_oversized_job(self, job_id: str, now_ms: int) -> None:
        """Fail a job of which a part of the progress is too large for a row.

        With rows of 64 KiB no job that is accepted gets there. Its records
        are dropped, so agents stop its runs as not ordered.
        """
        state = self.state
        logger.error(
            "job {} failed, code job_progress_too_large: the progress of some "
            "of its {} tasks exceeds a row of the table",
            *(job_id, len(state.progress[job_id].tasks)),
        )
        state.drop_records(job_id)
        state.fail_job(job_id, FailureCause.TOO_LARGE.value, now_ms)
        self.failed_jobs[FailureCause.TOO_LARGE] += 1

    def _process_reports(self, now_s: float, now_ms: int) -> None:
        """Process the new reports, but of workers with unwritten lost tasks.

        Their rows are written before those of other jobs, so they must not
        confirm ends of tasks of these.
        """
        put_off = (
            self._unprocessed_nodes & self.state.tasks_lost_by_node.keys()
        )
        for node in sorted(self._unprocessed_nodes - put_off):
            self._process_report(self.workers[node], now_s, now_ms)
        self._unprocessed_nodes = put_off

    def _process_report(
        self, view: WorkerView, now_s: float, now_ms: int
    ) -> None:
        report = view.report
        self._check_progress(view)
        culprits = self._known_culprits(report)
        self._observe_progress(
            view, now_ms - round(1000 * (now_s - view.seen_s))
        )
        standings: dict[RunKey, EndStanding] = {}
        for end in report.ended:
            standing = standing_of(self.state, end, report.node)
            standings[end.key] = standing
            if standing is EndStanding.CURRENT:
                record = self.state.record(end.task)
                self._count_outcome(view, end, record, now_s)
                self._update_start_health(view, end, record, now_s)
                if culprits and end.task not in culprits:
                    end = attrs.evolve(end, crashed_after_ms=None)
                self.durations.record_end(
                    end, self._observing(end.task), now_ms
                )
                self._apply_end(end, now_ms, now_s)
            elif standing is EndStanding.LATE_DONE:
                apply_late_done(self.state, end, report.node, now_ms)
        self.late_ends += self._unapplied_ends.record(
            self.state, report, standings
        )
        for run in report.running:
            progress = self.state.progress.get(job_id_of(run.task))
            if progress is not None and not progress.started:
                self.state.mark_started(progress.job_id)
                if progress.state is JobState.QUEUED:
                    self.state.set_job_state(
                        progress.job_id, JobState.ACTIVE, now_ms
                    )
        self.state.confirm(report)

    def _apply_end(self, end: RunEnd, now_ms: int, now_s: float) -> None:
        self.run_ends[end.cause] += 1
        others_per_h = 0
        if end.crashed_after_ms is not None:
            others_per_h = self._crash_rate.others_per_h(
                self.state, end.task, len(self.workers), now_s
            )
        if apply_end(self.state, end, now_ms, others_per_h):
            gang = self.state.step_of(end.task).gang
            self.failed_runs["gang" if gang else "task"] += 1

    def _known_culprits(self, report: WorkerReport) -> set[str]:
        """Return ended tasks that most likely crashed their worker.

        Nothing else is blamed for that crash. Otherwise one such task would,
        over time, get all tasks given up that run beside it.
        """
        blamed = (
            end.task
            for end in report.ended
            if end.crashed_after_ms is not None
            and end.crashed_after_ms <= MAX_BLAME_MS
        )
        return culprits_among(self.state, blamed)

    def _check_progress(self, view: WorkerView) -> None:
        """Update from a report whether the runs of a worker progress.

        A worker whose runs make no progress gets no new work.
        """
        running = view.report.running
        view.record_checkpoints(running, view.seen_s)
        state = self.state
        expected_ms = (
            self.durations.expected_ms(
                state.job_of(run.task), state.step_of(run.task)
            )
            for run in running
            if job_id_of(run.task) in state.jobs
        )
        shortest_ms = min(expected_ms, default=0)
        if view.record_progress(running, shortest_ms, view.seen_s):
            logger.warning(
                "worker {} gets no new work: none of its {} runs moves",
                *(view.report.node, len(running)),
            )

    def _observe_progress(self, view: WorkerView, seen_ms: int) -> None:
        """Pass the progress of the ordered runs of a report on."""
        for run in view.report.running:
            if job_id_of(run.task) not in self.state.jobs:
                continue
            record = self.state.record(run.task)
            if record.phase is TaskPhase.ORDERED and (
                record.attempt,
                record.node,
            ) == (run.attempt, view.report.node):
                listed_ms = seen_ms - run.age_ms
                run_ms = max(0, listed_ms - record.since_ms)
                self.durations.record_progress(
                    run, run_ms, self._observing(run.task)
                )
                if run_ms >= SURVIVAL_MS:
                    view.starts.record_survival(record.since_ms)

    def _observing(self, task: str) -> Callable[[], ObservedRun]:
        """Return a function that tells the circumstances of a run."""
        return partial(observed_run, self.state, self.workers, task)

    def _count_outcome(
        self, view: WorkerView, end: RunEnd, record: TaskRecord, now_s: float
    ) -> None:
        """Count the end of a run for or against its worker.

        If several members of a gang fail in one run, they most likely share
        the cause: only the first end counts, which stops the others.
        """
        failed = end.cause is EndCause.FAILED
        if not failed and end.cause is not EndCause.DONE:
            return
        if failed and record.phase is not TaskPhase.ORDERED:
            return
        may_quarantine = failed and may_quarantine_one(
            self.workers.values(), now_s
        )
        if view.record_end(job_id_of(end.task), failed, now_s, may_quarantine):
            logger.warning(
                "worker {} put aside: runs of several jobs failed there",
                view.report.node,
            )

    def _update_start_health(
        self, view: WorkerView, end: RunEnd, record: TaskRecord, now_s: float
    ) -> None:
        """Learn from the end of a run whether its worker starts runs."""
        if record.phase is not TaskPhase.ORDERED:
            return
        starts, order_ms = view.starts, record.since_ms
        if end.cause is EndCause.DONE:
            starts.record_survival(order_ms)
        elif end.cause is EndCause.FAILED:
            before = starts.on_probation(now_s)
            early = starts.record_failure(order_ms, end.run_ms, now_s)
            if early and not before and starts.on_probation(now_s):
                logger.warning(
                    "worker {} on probation: {} attempt {} failed {} ms "
                    "after its start",
                    *(view.report.node, end.task, end.attempt, end.run_ms),
                )

    def _end_runs_of_dead_workers(
        self, known_s: float, now_s: float, now_ms: int
    ) -> None:
        """End the runs whose leases ran out before a monotonic time."""
        for node in self.state.occupied_nodes():
            view = self.workers.get(node)
            if view is None:
                continue
            if not view.dead(known_s):
                self._log_silence(view, known_s)
                continue
            if self._has_unwritten_ends(view):
                # The rows of lost tasks are written first, and with them the
                # orders row, which would confirm these ends.
                continue
            unwritten = self.state.tasks_lost_by_node.get(node, ())
            count = max(0, MAX_LOST_TASKS - len(unwritten))
            tasks = self.state.tasks_on(node)
            if count:
                _log_given_up(view, known_s, now_s, count, len(tasks))
            for task in tasks[:count]:
                attempt = self.state.record(task).attempt
                self.state.mark_lost(task, node)
                saved = _reported_checkpoint(view.report, task, attempt)
                end = RunEnd(task, attempt, EndCause.LOST, saved)
                self.durations.record_end(end, self._observing(task), now_ms)
                self._apply_end(end, now_ms, known_s)

    def _has_unwritten_ends(self, view: WorkerView) -> bool:
        """Return whether the tasks of reported ends are to be written."""
        changed = self.state.changed_tasks_by_job
        return any(
            end.task in changed.get(job_id_of(end.task), ())
            for end in view.report.ended
        )

    def _log_silence(self, view: WorkerView, now_s: float) -> None:
        """Log once that tasks wait for a worker that may be gone."""
        if view.silence_logged or not view.silent(now_s):
            return
        view.silence_logged = True
        report = view.report
        logger.warning(
            "worker {} is silent for {:.1f} s since report {} of agent {}: "
            "{} tasks wait for it or for the end of its leases, at most "
            "{:.2f} s after that report",
            *(report.node, now_s - view.seen_s),
            *(report.sequence, report.registration),
            *(len(self.state.tasks_on(report.node)), DEAD_AFTER_S),
        )

    def _stop_cancelled_jobs(self, now_ms: int) -> None:
        for job_id in self.state.cancelled & self.state.jobs.keys():
            progress = self.state.progress[job_id]
            if progress.state in (JobState.COMPLETE, JobState.FAILED):
                continue
            self._stop_job(job_id, now_ms)
            if not self.state.allocated_tasks(job_id):
                self.state.set_job_state(job_id, JobState.CANCELLED, now_ms)

    def _stop_job(self, job_id: str, now_ms: int) -> None:
        for task in self.state.allocated_tasks(job_id):
            if self.state.record(task).phase is TaskPhase.ORDERED:
                self.state.set_phase(task, TaskPhase.STOPPING, now_ms)

    def _vacate_draining_workers(self, now_ms: int) -> None:
        """Stop tasks that can resume elsewhere on draining workers."""
        for node, view in self.workers.items():
            worker = view.report.worker
            if worker is None or not worker.draining:
                continue
            for task in self.state.tasks_on(node):
                step = self.state.step_of(task)
                resumable = step.checkpointable or step.long_running
                if resumable:
                    stop_run(self.state, task, now_ms)

    def _ordered_runs(self, node: str) -> set[RunKey]:
        return {
            (task, self.state.record(task).attempt)
            for task in self.state.tasks_on(node)
        }

    def _withdraw_evacuated_orders(self, now_s: float, now_ms: int) -> None:
        self._evacuation_log.update(
            self.evacuations,
            Counter(view.zone for view in self.workers.values()),
            now_s,
        )
        withdraw_evacuated_orders(
            self.state, self.workers, self.evacuations, now_ms
        )

    def _may_place(self, now_s: float) -> bool:
        """Return whether the evacuation requests are recent enough."""
        outdated = self.evacuations.outdated(now_s)
        self._evacuation_log.log_outdated(self.evacuations, outdated, now_s)
        return not outdated

    def _log_waiting_jobs(self, now_s: float, now_ms: int) -> None:
        """Log which jobs wait while their workers are evacuated."""
        if not self._evacuation_log.waits_due(now_s):
            return
        zones_by_need: dict[tuple[str, str], Counter[str]] = {}
        for group in ready_groups(self.state, now_ms):
            waited_ms = now_ms - group.earliest_start_ms
            if waited_ms < MIN_LOGGED_WAIT_MS:
                continue
            need = (group.job.service, group.step.required_label)
            if need not in zones_by_need:
                zones_by_need[need] = Counter(
                    view.report.worker.zone
                    for view in self.workers.values()
                    if view.report.worker is not None
                    and is_eligible(view.report.worker, *need)
                )
            self._evacuation_log.log_wait(
                group.name, waited_ms, self.evacuations, zones_by_need[need]
            )

    def _finish_jobs(self, now_ms: int) -> None:
        """Finish jobs that are complete or have to fail."""
        for job, progress in self.state.unfinished_jobs():
            if job.job_id in self.state.cancelled:
                continue
            failure = job_failure(self.state, job)
            if failure is not None:
                self._fail_job(job, failure, now_ms)
            elif progress.tasks and is_complete(self.state, job):
                self.state.set_job_state(job.job_id, JobState.COMPLETE, now_ms)

    def _fail_job(self, job: Job, failure: JobFailure, now_ms: int) -> None:
        """Stop the runs of a job, which fails once they have ended."""
        self._stop_job(job.job_id, now_ms)
        if self.state.allocated_tasks(job.job_id):
            return
        self.state.fail_job(job.job_id, failure.summary, now_ms)
        self.failed_jobs[failure.cause] += 1
        logger.warning(
            "job {} with {} attempts a task failed: {}",
            *(job.job_id, job.attempts, failure),
        )


def _log_given_up(
    view: WorkerView, known_s: float, now_s: float, count: int, tasks: int
) -> None:
    """Log what a decision to end the runs of a silent worker is based on."""
    report = view.report
    logger.warning(
        "worker {} is silent for {:.1f} s: its leases have run out; report {} "
        "of agent {} {} {:.2f} s ago, bound {:.2f} s, reports known up to "
        "{:.2f} s ago, {} of {} tasks end",
        *(report.node, known_s - view.seen_s),
        *(report.sequence, report.registration),
        "seen" if view.recent else "of unknown age, counted from",
        *(now_s - view.seen_s, DEAD_AFTER_S, now_s - known_s),
        *(min(count, tasks), tasks),
    )


def _reported_checkpoint(report: WorkerReport, task: str, attempt: int) -> str:
    """Return the checkpoint of a run in a report, or an empty string."""
    for run in report.running:
        if run.key == (task, attempt):
            return run.saved
    return ""

"""What follows from the end of a run: learn, retry or give up."""

from __future__ import annotations

from typing import TYPE_CHECKING

from filbertlb.core.scheduling import JobEnd
from filbertlb.scheduling.admission import fits_empty_cluster
from filbertlb.scheduling.overuse import correct_need

if TYPE_CHECKING:
    from filbertlb.core.queueing import Waiting
    from filbertlb.core.runs import Run
    from filbertlb.core.scheduling import RunEnd
    from filbertlb.scheduling.state import SchedulerState


def end_run(state: SchedulerState, run_end: RunEnd, now_s: float) -> None:
    """Free what a run occupies and queue its job again if due."""
    run = state.runs.by_id.get(run_end.job_id)
    if run is None:
        return
    state.runs.end(run)
    state.release_run(run)
    waiting = state.waiting_by_id.pop(run_end.job_id)
    _learn(state, run, run_end, now_s)
    if not _runs_again(state, run, run_end):
        state.health.forget_job(run_end.job_id)
        return
    _set_backoff(state, waiting, run_end, now_s)
    correct_need(state, run, waiting)
    state.queue.push(waiting, now_s)


def _learn(
    state: SchedulerState, run: Run, run_end: RunEnd, now_s: float
) -> None:
    job, health = run.job, state.health
    touched: set[str] = set()
    if run_end.end is JobEnd.SUCCEEDED:
        run_s = now_s - run.started_at_s
        state.run_times.learn(job.organisation_id, job.job_class, run_s)
        touched = {
            name for name in run.worker_ids if name in health.record_by_id
        }
        health.succeeded(job.job_id, run.worker_ids)
    elif run_end.end is JobEnd.FAILED:
        failed_on = run_end.failed_worker_ids or run.worker_ids
        touched = set(failed_on)
        online = len(state.cluster.online_workers())
        health.failed(job.job_id, failed_on, online, now_s)
    for name in sorted(touched & state.cluster.by_id.keys()):
        state.apply_worker_health(state.cluster.by_id[name], now_s)


def _runs_again(state: SchedulerState, run: Run, run_end: RunEnd) -> bool:
    """Tell whether a job is queued again.

    A job that is not idempotent runs again only from a checkpoint or
    when it is known that it did not run.
    """
    if run_end.end is JobEnd.NOT_STARTED:
        return True
    if run_end.end in (JobEnd.SUCCEEDED, JobEnd.CANCELLED):
        return False
    if not run.job.idempotent and not run_end.checkpointed:
        return False
    if run_end.end is JobEnd.FAILED:
        return not state.health.is_bad_job(run_end.job_id)
    return True


def _avoid_less_if_stuck(state: SchedulerState, waiting: Waiting) -> None:
    """Let a job try workers again if it failed on all that could do."""
    shape, need = waiting.job.shape, waiting.need
    if not fits_empty_cluster(state.cluster, shape, need, waiting.avoid):
        waiting.avoid.clear()


def _set_backoff(
    state: SchedulerState, waiting: Waiting, run_end: RunEnd, now_s: float
) -> None:
    config = state.config
    if run_end.end is JobEnd.FAILED:
        failures = state.health.failures(run_end.job_id)
        delay_s = config.retry_base_s * 2 ** max(0, failures - 1)
        waiting.avoid.update(run_end.failed_worker_ids)
        _avoid_less_if_stuck(state, waiting)
        waiting.ready_at_s = now_s + min(delay_s, config.retry_max_s)
    elif run_end.end is JobEnd.NOT_STARTED:
        waiting.ready_at_s = now_s + config.retry_base_s
    else:
        waiting.ready_at_s = now_s

"""Handling of ended runs: statistics, worker health and retries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from filbertlb.core.scheduling import JobEnd
from filbertlb.scheduling.admission import fits_empty_cluster
from filbertlb.scheduling.overuse import adjust_need

if TYPE_CHECKING:
    from filbertlb.core.queueing import WaitingJob
    from filbertlb.core.runs import Run
    from filbertlb.core.scheduling import RunEnd
    from filbertlb.scheduling.state import SchedulerState


def end_run(state: SchedulerState, run_end: RunEnd, now_s: float) -> None:
    """Free the resources of a run and requeue its job if it may retry."""
    run = state.runs.by_id.get(run_end.job_id)
    if run is None:
        return
    state.runs.end(run)
    state.release_run(run)
    waiting = state.waiting_by_id.pop(run_end.job_id)
    _record_outcome(state, run, run_end, now_s)
    if not _may_run_again(state, run, run_end):
        state.health.forget_job(run_end.job_id)
        return
    _set_backoff(state, waiting, run_end, now_s)
    adjust_need(state, run, waiting)
    state.queue.push(waiting, now_s)


def _record_outcome(
    state: SchedulerState, run: Run, run_end: RunEnd, now_s: float
) -> None:
    job, health = run.job, state.health
    affected: set[str] = set()
    if run_end.end is JobEnd.SUCCEEDED:
        run_s = now_s - run.started_at_s
        state.run_times.record(job.organisation_id, job.job_class, run_s)
        affected = {
            name for name in run.worker_ids if name in health.record_by_id
        }
        health.succeeded(job.job_id, run.worker_ids)
    elif run_end.end is JobEnd.FAILED:
        failed_on = run_end.failed_worker_ids or run.worker_ids
        affected = set(failed_on)
        online = len(state.cluster.online_workers())
        health.failed(job.job_id, failed_on, online, now_s)
    for name in sorted(affected & state.cluster.by_id.keys()):
        state.apply_worker_health(state.cluster.by_id[name], now_s)


def _may_run_again(state: SchedulerState, run: Run, run_end: RunEnd) -> bool:
    """Tell whether a job is requeued after a run.

    A job that is not idempotent runs again only from a checkpoint, or
    if the run is known not to have started.
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


def _reset_avoided_if_unplaceable(
    state: SchedulerState, waiting: WaitingJob
) -> None:
    """Stop avoiding workers if the job fits on none of the others."""
    shape, need = waiting.job.shape, waiting.need
    if not fits_empty_cluster(state.cluster, shape, need, waiting.avoid):
        waiting.avoid.clear()


def _set_backoff(
    state: SchedulerState, waiting: WaitingJob, run_end: RunEnd, now_s: float
) -> None:
    config = state.config
    if run_end.end is JobEnd.FAILED:
        failures = state.health.failures(run_end.job_id)
        delay_s = config.retry_base_s * 2 ** max(0, failures - 1)
        waiting.avoid.update(run_end.failed_worker_ids)
        _reset_avoided_if_unplaceable(state, waiting)
        waiting.ready_at_s = now_s + min(delay_s, config.retry_max_s)
    elif run_end.end is JobEnd.NOT_STARTED:
        waiting.ready_at_s = now_s + config.retry_base_s
    else:
        waiting.ready_at_s = now_s

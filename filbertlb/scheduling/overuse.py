"""Handling of jobs that use more than they declared."""

from __future__ import annotations

from typing import TYPE_CHECKING

from filbertlb.core.amounts import is_negative
from filbertlb.core.amounts import needed
from filbertlb.core.amounts import plus
from filbertlb.core.amounts import ZERO_AMOUNT
from filbertlb.scheduling.admission import fits_empty_cluster

if TYPE_CHECKING:
    from filbertlb.core.amounts import Amount
    from filbertlb.core.model import Resources
    from filbertlb.core.queueing import WaitingJob
    from filbertlb.core.runs import Run
    from filbertlb.scheduling.state import Decisions
    from filbertlb.scheduling.state import SchedulerState


def record_usage(state: SchedulerState, job_id: str, each: Resources) -> None:
    """Charge a run for measured usage above what its job declared.

    Only cores and memory are adjusted: accelerators are allocated whole
    and exclusively to a task.
    """
    run = state.runs.by_id.get(job_id)
    if run is None:
        return
    measured = needed(each)
    excess = (
        0,
        max(0, measured[1] - run.need[1]),
        max(0, measured[2] - run.need[2]),
    )
    state.runs.set_excess(run, excess)
    if run.non_preemptible:
        for worker in state.runs.workers(run):
            state.packing.evict_unclaimed(worker)
    if _exceeds_overuse_factor(run, state.config.overuse_factor):
        state.overusers[job_id] = None
    else:
        state.overusers.pop(job_id, None)


def stop_overusing_runs(state: SchedulerState, out: Decisions) -> None:
    """Stop runs far over their need on overcommitted, shared workers."""
    for job_id in list(state.overusers):
        run = state.runs.by_id.get(job_id)
        if run is None or run.stopping or not run.job.stoppable:
            del state.overusers[job_id]
        elif _overcommits_shared_worker(state, run):
            del state.overusers[job_id]
            out.append(state.stop(run, state.config.reclaim_within_s, ""))


def adjust_need(state: SchedulerState, run: Run, waiting: WaitingJob) -> None:
    """Raise the need of a job that is requeued to its measured usage.

    The need stays as it is for a job with a guarantee, and if the job
    would no longer fit on an empty cluster.
    """
    if run.excess == ZERO_AMOUNT or waiting.job.guarantee_id is not None:
        return
    corrected = plus(waiting.need, run.excess)
    if fits_empty_cluster(state.cluster, waiting.job.shape, corrected):
        waiting.need = corrected


def _exceeds_overuse_factor(run: Run, factor: float) -> bool:
    use: Amount = plus(run.need, run.excess)
    return any(
        wanted and used > factor * wanted
        for used, wanted in zip(use, run.need, strict=True)
    )


def _overcommits_shared_worker(state: SchedulerState, run: Run) -> bool:
    return any(
        is_negative(worker.free) and len(worker.runs_by_id) > 1
        for worker in state.runs.workers(run)
    )

"""Compaction: moves small jobs together so that whole workers are free.

Applies only under the fragmentation profile. Stops only jobs that can
resume from a checkpoint, on one worker at a time and no more often than
the configured interval.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from filbertlb.core.amounts import covers
from filbertlb.core.amounts import plus
from filbertlb.core.amounts import ZERO_AMOUNT
from filbertlb.core.model import JobClass
from filbertlb.scheduling.config import WeightProfile

if TYPE_CHECKING:
    from filbertlb.core.amounts import Amount
    from filbertlb.core.cluster import WorkerState
    from filbertlb.core.runs import Run
    from filbertlb.scheduling.state import Decisions
    from filbertlb.scheduling.state import SchedulerState

_MIN_RUN_S = 120.0
_MIN_LEFT_S = 120.0


def compact(state: SchedulerState, now_s: float, out: Decisions) -> None:
    """Stop all runs of one worker if another worker can hold them."""
    config = state.config
    if config.profile is not WeightProfile.FRAGMENTATION:
        return
    due_s = state.compacted_at_s + config.compact_interval_s
    if out or now_s < due_s or state.runs.plan_by_id:
        return
    state.compacted_at_s = now_s
    worker = _worker_to_empty(state, now_s)
    if worker is not None:
        for run in list(worker.runs_by_id.values()):
            out.append(state.stop(run, config.reclaim_within_s, ""))


def _worker_to_empty(
    state: SchedulerState, now_s: float
) -> WorkerState | None:
    occupied = [
        worker
        for worker in state.cluster.by_id.values()
        if worker.usable and worker.used[0]
    ]
    occupied.sort(key=lambda worker: (worker.used[0], worker.order))
    for worker in occupied:
        if worker.used[0] * 2 > worker.capacity[0]:
            return None
        if all(
            _is_movable(state, run, now_s)
            for run in worker.runs_by_id.values()
        ) and _fits_beside(worker, occupied):
            return worker
    return None


def _is_movable(state: SchedulerState, run: Run, now_s: float) -> bool:
    job = run.job
    elapsed_s = now_s - run.started_at_s
    upper_bound_s = state.run_times.upper_bound_s(
        job.organisation_id, job.job_class
    )
    return (
        run.borrowed
        and not run.stopping
        and job.checkpointable
        and job.job_class is not JobClass.URGENT
        and job.shape.failure_domain is None
        and len(run.members_by_worker) == 1
        and elapsed_s >= _MIN_RUN_S
        and upper_bound_s - elapsed_s >= _MIN_LEFT_S
    )


def _fits_beside(worker: WorkerState, occupied: list[WorkerState]) -> bool:
    """Tell whether a worker that is at least as full can hold all runs."""
    total: Amount = ZERO_AMOUNT
    for run in worker.runs_by_id.values():
        total = plus(total, run.amount_on(worker.worker_id))
    return any(
        other is not worker
        and other.used[0] >= worker.used[0]
        and covers(other.free, total)
        for other in occupied
    )

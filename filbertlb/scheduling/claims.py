"""Start of guaranteed jobs, with preemption of borrowers.

A job claims a unit of its guarantee. It starts at once on free
workers, or after the runs that borrow the unit's capacity have stopped.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from filbertlb.core.amounts import copies
from filbertlb.core.amounts import elementwise_min
from filbertlb.core.amounts import times
from filbertlb.core.guarantee_packing import open_room_without
from filbertlb.core.reclaim import choose_victims
from filbertlb.core.search import find_free
from filbertlb.scheduling.admission import fits_guarantee

if TYPE_CHECKING:
    from filbertlb.core.amounts import Amount
    from filbertlb.core.guarantee_units import Unit
    from filbertlb.core.queueing import Bucket
    from filbertlb.core.queueing import WaitingJob
    from filbertlb.core.runs import Run
    from filbertlb.scheduling.state import Decisions
    from filbertlb.scheduling.state import SchedulerState


def serve_claims(state: SchedulerState, now_s: float, out: Decisions) -> None:
    """Start or plan the queued jobs that can claim a guaranteed unit."""
    for bucket in list(state.queue.by_key.values()):
        if bucket.guarantee_id:
            _serve_bucket(state, bucket, now_s, out)


def _serve_bucket(
    state: SchedulerState, bucket: Bucket, now_s: float, out: Decisions
) -> None:
    key = (bucket.organisation_id, bucket.guarantee_id)
    while len(out) < state.config.max_decisions:
        waiting = state.queue.head(bucket)
        unit = state.packing.unclaimed(key)
        if waiting is None or unit is None:
            return
        if not fits_guarantee(bucket.shape, unit.guarantee):
            return
        if not _start_on_free_workers(state, waiting, unit, now_s, out):
            _preempt_borrowers(state, waiting, unit, now_s, out)


def _start_on_free_workers(
    state: SchedulerState,
    waiting: WaitingJob,
    unit: Unit,
    now_s: float,
    out: Decisions,
) -> bool:
    """Start on free workers of the unit, or move the unit to free ones."""
    chosen = _choose_unit_workers(state, waiting, unit, free_only=True)
    if chosen is None:
        relocated = find_free(
            state.cluster,
            unit.guarantee.shape,
            unit.need,
            lambda worker: elementwise_min(
                worker.free, open_room_without(worker, unit)
            ),
            waiting.avoid,
        )
        if relocated is None:
            return False
        state.packing.set_placement(unit, relocated)
        chosen = relocated[: waiting.job.shape.members]
    out.append(state.start(waiting, chosen, now_s, unit))
    return True


def _preempt_borrowers(
    state: SchedulerState,
    waiting: WaitingJob,
    unit: Unit,
    now_s: float,
    out: Decisions,
) -> None:
    """Preempt borrowers on the unit's workers and plan the job there."""
    chosen = _choose_unit_workers(state, waiting, unit, free_only=False)
    assert chosen is not None
    need_by_worker = {
        name: times(waiting.need, members)
        for name, members in Counter(chosen).items()
    }
    victims = choose_victims(
        state.cluster, need_by_worker, _is_borrower, now_s
    )
    if victims is None:
        _drop_borrowed_plans(state, need_by_worker, now_s)
        victims = choose_victims(
            state.cluster, need_by_worker, _is_borrower, now_s
        )
    within_s = state.config.reclaim_within_s
    for run in victims or ():
        out.append(state.stop(run, within_s, waiting.job.job_id))
    started = state.plan(waiting, chosen, now_s, unit)
    if started is not None:
        out.append(started)


def _choose_unit_workers(
    state: SchedulerState, waiting: WaitingJob, unit: Unit, *, free_only: bool
) -> tuple[str, ...] | None:
    """Choose among the unit's workers, those with most free room first."""
    need = waiting.need
    by_id = state.cluster.by_id
    members_by_worker = Counter(unit.worker_ids)
    free_by_id = {
        name: min(members, copies(by_id[name].free, need))
        for name, members in members_by_worker.items()
    }
    limit_by_id = free_by_id if free_only else members_by_worker
    chosen: list[str] = []
    for name in sorted(limit_by_id, key=lambda name: -free_by_id[name]):
        remaining = waiting.job.shape.members - len(chosen)
        chosen.extend([name] * min(remaining, limit_by_id[name]))
    if len(chosen) < waiting.job.shape.members:
        return None
    return tuple(chosen)


def _drop_borrowed_plans(
    state: SchedulerState, need_by_worker: dict[str, Amount], now_s: float
) -> None:
    for run in list(state.runs.plan_by_id.values()):
        if run.borrowed and any(
            name in need_by_worker for name in run.worker_ids
        ):
            state.drop_plan(run, now_s)


def _is_borrower(run: Run) -> bool:
    return run.borrowed

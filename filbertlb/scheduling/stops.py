"""Preemption on behalf of jobs that run outside guarantees."""

from __future__ import annotations

from collections import Counter
from itertools import islice
from typing import TYPE_CHECKING

import attrs

from filbertlb.core.amounts import covers
from filbertlb.core.amounts import elementwise_min
from filbertlb.core.amounts import times
from filbertlb.core.model import JobClass
from filbertlb.core.reclaim import choose_victims
from filbertlb.core.reclaim import lost_work
from filbertlb.core.reclaim import room_after_stops
from filbertlb.core.search import find_anywhere
from filbertlb.core.search import on_one_worker

if TYPE_CHECKING:
    from collections.abc import Iterator

    from filbertlb.core.amounts import Amount
    from filbertlb.core.cluster import WorkerState
    from filbertlb.core.queueing import WaitingJob
    from filbertlb.core.reclaim import Eligible
    from filbertlb.core.runs import Run
    from filbertlb.scheduling.state import Decisions
    from filbertlb.scheduling.state import SchedulerState

_MAX_COMPARED_WORKERS = 8


@attrs.frozen
class Preemption:
    """Workers chosen for a job and the runs to stop to make room for it."""

    worker_ids: tuple[str, ...]
    victims: tuple[Run, ...]


def preemptible_by_urgent(run: Run) -> bool:
    """Tell whether a run may be preempted for an urgent job.

    Only idempotent jobs qualify: a job that needs a checkpoint to run
    again may take longer to stop than the bound on urgent stops.
    """
    job = run.job
    return (
        run.borrowed
        and not run.stopping
        and job.idempotent
        and job.job_class is not JobClass.URGENT
    )


def preempt_and_plan(
    state: SchedulerState,
    waiting: WaitingJob,
    preemption: Preemption,
    within_s: float,
    now_s: float,
    out: Decisions,
) -> None:
    """Stop the victims and plan the job on the workers they free."""
    for run in preemption.victims:
        out.append(state.stop(run, within_s, waiting.job.job_id))
    started = state.plan(waiting, preemption.worker_ids, now_s)
    if started is not None:
        out.append(started)


def find_preemption(
    state: SchedulerState,
    waiting: WaitingJob,
    eligible: Eligible,
    within_s: float,
    now_s: float,
) -> Preemption | None:
    """Find workers on which a job fits once eligible runs have stopped."""
    if on_one_worker(waiting.job.shape):
        return _on_one_worker(state, waiting, eligible, within_s, now_s)
    chosen = find_anywhere(
        state.cluster,
        waiting.job.shape,
        waiting.need,
        lambda worker: _room_for_job(
            state, waiting, worker, eligible, within_s
        ),
        waiting.avoid,
    )
    if chosen is None:
        return None
    victims = choose_victims(
        state.cluster,
        _need_by_worker(waiting, chosen),
        eligible,
        now_s,
        within_s,
    )
    return None if victims is None else Preemption(chosen, tuple(victims))


def _on_one_worker(
    state: SchedulerState,
    waiting: WaitingJob,
    eligible: Eligible,
    within_s: float,
    now_s: float,
) -> Preemption | None:
    """Choose a single worker for all members of a job.

    Of the first workers that qualify, takes the one on which stopping
    the victims loses the least work.
    """
    best: Preemption | None = None
    least_loss = float("inf")
    candidates = _candidate_workers(state, waiting, eligible, within_s)
    for name in islice(candidates, _MAX_COMPARED_WORKERS):
        chosen = (name,) * waiting.job.shape.members
        need_by_worker = _need_by_worker(waiting, chosen)
        victims = choose_victims(
            state.cluster, need_by_worker, eligible, now_s, within_s
        )
        if victims is None:
            continue
        loss = sum(lost_work(run, now_s) for run in victims)
        if loss < least_loss:
            best, least_loss = Preemption(chosen, tuple(victims)), loss
    return best


def _candidate_workers(
    state: SchedulerState,
    waiting: WaitingJob,
    eligible: Eligible,
    within_s: float,
) -> Iterator[str]:
    """Yield workers that can hold the job once eligible runs have stopped.

    Starts where the last search ended, so that successive searches
    cover different workers.
    """
    shape = waiting.job.shape
    domain = shape.failure_domain
    total = times(waiting.need, shape.members)
    workers = list(state.cluster.by_id.values())
    start = state.preemption_cursor % max(1, len(workers))
    for worker in workers[start:] + workers[:start]:
        state.preemption_cursor += 1
        if (
            worker.usable
            and worker.worker_id not in waiting.avoid
            and domain in (None, worker.worker.failure_domain)
            and covers(worker.capacity, total)
            and covers(
                _room_for_job(state, waiting, worker, eligible, within_s),
                total,
            )
        ):
            yield worker.worker_id


def _room_for_job(
    state: SchedulerState,
    waiting: WaitingJob,
    worker: WorkerState,
    eligible: Eligible,
    within_s: float,
) -> Amount:
    room = room_after_stops(worker, eligible, within_s)
    if waiting.job.stoppable:
        return room
    return elementwise_min(
        room, state.open_room_for(worker, waiting.job.job_id)
    )


def _need_by_worker(
    waiting: WaitingJob, worker_ids: tuple[str, ...]
) -> dict[str, Amount]:
    return {
        name: times(waiting.need, members)
        for name, members in Counter(worker_ids).items()
    }

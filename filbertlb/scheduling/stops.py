"""Starts of work beyond guarantees that first stop other work."""

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
    from filbertlb.core.queueing import Waiting
    from filbertlb.core.reclaim import Eligible
    from filbertlb.core.runs import Run
    from filbertlb.scheduling.state import Decisions
    from filbertlb.scheduling.state import SchedulerState

_MAX_COMPARED_WORKERS = 8


@attrs.frozen
class Takeover:
    """Workers for a job and the runs to stop for it."""

    worker_ids: tuple[str, ...]
    victims: tuple[Run, ...]


def urgent_victim(run: Run) -> bool:
    """Tell whether a run can be stopped at once for urgent work.

    A run that needs its checkpoint may take longer than the bound.
    """
    job = run.job
    return (
        run.borrowed
        and not run.stopping
        and job.idempotent
        and job.job_class is not JobClass.URGENT
    )


def carry_out(
    state: SchedulerState,
    waiting: Waiting,
    takeover: Takeover,
    within_s: float,
    now_s: float,
    out: Decisions,
) -> None:
    """Stop the victims and plan the job in their place."""
    for run in takeover.victims:
        out.append(state.stop(run, within_s, waiting.job.job_id))
    started = state.plan(waiting, takeover.worker_ids, now_s)
    if started is not None:
        out.append(started)


def find_takeover(
    state: SchedulerState,
    waiting: Waiting,
    eligible: Eligible,
    within_s: float,
    now_s: float,
) -> Takeover | None:
    """Find workers on which a job can start after stops."""
    if on_one_worker(waiting.job.shape):
        return _on_one_worker(state, waiting, eligible, within_s, now_s)
    chosen = find_anywhere(
        state.cluster,
        waiting.job.shape,
        waiting.need,
        lambda worker: _room(state, waiting, worker, eligible, within_s),
        waiting.avoid,
    )
    if chosen is None:
        return None
    victims = choose_victims(
        state.cluster, _wanted(waiting, chosen), eligible, now_s, within_s
    )
    return None if victims is None else Takeover(chosen, tuple(victims))


def _on_one_worker(
    state: SchedulerState,
    waiting: Waiting,
    eligible: Eligible,
    within_s: float,
    now_s: float,
) -> Takeover | None:
    """Compare a few workers and take the one that loses least work."""
    best: Takeover | None = None
    least_loss = float("inf")
    possible = _possible_workers(state, waiting, eligible, within_s)
    for name in islice(possible, _MAX_COMPARED_WORKERS):
        chosen = (name,) * waiting.job.shape.members
        wanted = _wanted(waiting, chosen)
        victims = choose_victims(
            state.cluster, wanted, eligible, now_s, within_s
        )
        if victims is None:
            continue
        loss = sum(lost_work(run, now_s) for run in victims)
        if loss < least_loss:
            best, least_loss = Takeover(chosen, tuple(victims)), loss
    return best


def _possible_workers(
    state: SchedulerState,
    waiting: Waiting,
    eligible: Eligible,
    within_s: float,
) -> Iterator[str]:
    """Yield workers that will do, from where the last search ended."""
    shape = waiting.job.shape
    domain = shape.failure_domain
    total = times(waiting.need, shape.members)
    workers = list(state.cluster.by_id.values())
    start = state.takeover_cursor % max(1, len(workers))
    for worker in workers[start:] + workers[:start]:
        state.takeover_cursor += 1
        if (
            worker.usable
            and worker.worker_id not in waiting.avoid
            and domain in (None, worker.worker.failure_domain)
            and covers(worker.capacity, total)
            and covers(
                _room(state, waiting, worker, eligible, within_s), total
            )
        ):
            yield worker.worker_id


def _room(
    state: SchedulerState,
    waiting: Waiting,
    worker: WorkerState,
    eligible: Eligible,
    within_s: float,
) -> Amount:
    room = room_after_stops(worker, eligible, within_s)
    if waiting.job.stoppable:
        return room
    return elementwise_min(
        room, state.lasting_room(worker, waiting.job.job_id)
    )


def _wanted(
    waiting: Waiting, worker_ids: tuple[str, ...]
) -> dict[str, Amount]:
    return {
        name: times(waiting.need, members)
        for name, members in Counter(worker_ids).items()
    }

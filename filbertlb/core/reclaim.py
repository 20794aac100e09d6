"""Selection of runs to preempt so that others can start."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from filbertlb.core.amounts import covers
from filbertlb.core.amounts import minus
from filbertlb.core.amounts import plus
from filbertlb.core.model import JobClass

if TYPE_CHECKING:
    from filbertlb.core.amounts import Amount
    from filbertlb.core.cluster import Cluster
    from filbertlb.core.cluster import WorkerState
    from filbertlb.core.runs import Run

Eligible = Callable[["Run"], bool]

# A checkpoint saves all work up to its start; only what is done while it
# is taken is lost.
_CHECKPOINT_LOSS_SHARE = 0.02
_RESTART_S = 10.0
_URGENT_PENALTY = 1000.0


def lost_work(run: Run, now_s: float) -> float:
    """Return the cost of stopping a run, in accelerator-seconds.

    The cost is the lost run time plus the restart, weighted by the size
    of the run and, for urgent jobs, multiplied by a penalty.
    """
    lost_s = max(0.0, now_s - run.started_at_s)
    if run.job.checkpointable:
        lost_s *= _CHECKPOINT_LOSS_SHARE
    size = len(run.worker_ids) * max(1, run.need[0])
    loss = (_RESTART_S + lost_s) * size
    if run.job.job_class is JobClass.URGENT:
        loss *= _URGENT_PENALTY
    return loss


def room_after_stops(
    state: WorkerState, eligible: Eligible, within_s: float = float("inf")
) -> Amount:
    """Return the free amount after all eligible runs have been stopped.

    Runs that are already being stopped are included if the time limit of
    their stop is at most ``within_s``.
    """
    room = state.free
    for run in state.runs_by_id.values():
        ends = run.stopping and run.stop_within_s <= within_s
        if ends or eligible(run):
            room = plus(room, run.amount_on(state.worker_id))
    return room


def choose_victims(
    cluster: Cluster,
    wanted_by_worker: dict[str, Amount],
    eligible: Eligible,
    now_s: float,
    within_s: float = float("inf"),
) -> list[Run] | None:
    """Choose runs to stop, those with the least lost work first.

    Parameters
    ----------
    wanted_by_worker : dict
        Amount that must become free on each worker.
    eligible : callable
        Returns whether a run may be stopped.
    within_s : float
        Runs that are already being stopped are included if the time
        limit of their stop is at most this, in seconds.

    Returns
    -------
    list of Run or None
        Runs to stop, besides those already being stopped; None if
        stopping all eligible runs does not free enough.
    """
    room_by_id = {
        name: room_after_stops(cluster.by_id[name], _never, within_s)
        for name in wanted_by_worker
    }
    candidates = _candidates(cluster, wanted_by_worker, eligible, now_s)
    chosen: list[Run] = []
    for run in candidates:
        short_workers = _workers_short(room_by_id, wanted_by_worker)
        if not short_workers:
            break
        if any(name in short_workers for name in run.members_by_worker):
            chosen.append(run)
            _adjust_room(run, room_by_id, 1)
    if _workers_short(room_by_id, wanted_by_worker):
        return None
    return _drop_redundant(chosen, room_by_id, wanted_by_worker)


def _candidates(
    cluster: Cluster,
    wanted_by_worker: dict[str, Amount],
    eligible: Eligible,
    now_s: float,
) -> list[Run]:
    by_id: dict[str, Run] = {}
    for name in wanted_by_worker:
        for job_id, run in cluster.by_id[name].runs_by_id.items():
            if not run.stopping and eligible(run):
                by_id[job_id] = run
    return sorted(
        by_id.values(),
        key=lambda run: (lost_work(run, now_s), run.job.job_id),
    )


def _drop_redundant(
    chosen: list[Run],
    room_by_id: dict[str, Amount],
    wanted_by_worker: dict[str, Amount],
) -> list[Run]:
    kept = []
    for run in reversed(chosen):
        _adjust_room(run, room_by_id, -1)
        if _workers_short(room_by_id, wanted_by_worker):
            _adjust_room(run, room_by_id, 1)
            kept.append(run)
    kept.reverse()
    return kept


def _workers_short(
    room_by_id: dict[str, Amount], wanted_by_worker: dict[str, Amount]
) -> set[str]:
    return {
        name
        for name, wanted in wanted_by_worker.items()
        if not covers(room_by_id[name], wanted)
    }


def _adjust_room(run: Run, room_by_id: dict[str, Amount], sign: int) -> None:
    change = plus if sign > 0 else minus
    for name in run.members_by_worker:
        if name in room_by_id:
            amount = run.amount_on(name)
            room_by_id[name] = change(room_by_id[name], amount)


def _never(run: Run) -> bool:
    del run
    return False

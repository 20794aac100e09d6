"""Reservations that bound the wait of the oldest jobs.

The oldest jobs that have waited long hold capacity against work that
cannot be stopped in time. Once such a job starves, younger work is
stopped for it. Only younger work: so of two jobs never each stops the
other, and the oldest always gets on.
"""

from __future__ import annotations

from collections import Counter
from functools import partial
from typing import TYPE_CHECKING

from filbertlb.core.amounts import least
from filbertlb.core.amounts import minus
from filbertlb.core.amounts import times
from filbertlb.core.model import JobClass
from filbertlb.core.reclaim import room_after_stops
from filbertlb.core.search import find_anywhere
from filbertlb.scheduling.stops import carry_out
from filbertlb.scheduling.stops import find_takeover

if TYPE_CHECKING:
    from collections.abc import Iterator

    from filbertlb.core.amounts import Amount
    from filbertlb.core.cluster import WorkerState
    from filbertlb.core.queueing import Waiting
    from filbertlb.core.reclaim import Eligible
    from filbertlb.core.runs import Run
    from filbertlb.scheduling.state import Decisions
    from filbertlb.scheduling.state import Holds
    from filbertlb.scheduling.state import SchedulerState


def hold_for_risks(state: SchedulerState) -> None:
    """Hold capacity against firm work for guarantees at risk."""
    for key in list(state.holds_by_key):
        if not isinstance(key, str) and key not in state.witness.unplaced:
            state.set_holds(key, {})
    for unit in state.witness.unplaced:
        if unit in state.holds_by_key:
            continue
        workers = find_anywhere(
            state.cluster,
            unit.guarantee.shape,
            unit.need,
            lambda worker: minus(state.guarantee_room(worker), worker.held),
        )
        if workers is not None:
            state.set_holds(unit, _holds(unit.need, workers))


def serve_reservations(
    state: SchedulerState, now_s: float, out: Decisions
) -> None:
    """Give the oldest jobs reservations and start those that starve."""
    oldest = list(_long_waiting(state, now_s))
    wanted = {waiting.job.job_id for waiting in oldest}
    for key in list(state.holds_by_key):
        if isinstance(key, str) and key not in wanted:
            state.set_holds(key, {})
    for waiting in oldest:
        if len(out) >= state.config.max_decisions:
            return
        starves = now_s - waiting.place[0] >= state.config.starvation_s
        if starves and _start_starving(state, waiting, now_s, out):
            continue
        if waiting.job.job_id not in state.holds_by_key:
            _reserve(state, waiting)


def earliest_due_s(state: SchedulerState) -> float:
    """Return when the first reservation may stop other work."""
    by_id = state.queue.by_id
    return min(
        (
            by_id[key].place[0] + state.config.starvation_s
            for key in state.holds_by_key
            if isinstance(key, str)
        ),
        default=float("inf"),
    )


def _long_waiting(state: SchedulerState, now_s: float) -> Iterator[Waiting]:
    left = state.config.max_reservations
    for waiting in state.queue.oldest():
        if not left or now_s - waiting.place[0] < state.config.reserve_after_s:
            return
        job = waiting.job
        wanted = waiting.need[0] * job.shape.members
        if state.queue.is_delayed(waiting):
            continue
        if state.shares.allows(job.organisation_id, wanted):
            left -= 1
            yield waiting


def _start_starving(
    state: SchedulerState, waiting: Waiting, now_s: float, out: Decisions
) -> bool:
    takeover = find_takeover(
        state, waiting, _younger_than(state, waiting), now_s
    )
    if takeover is None:
        return False
    within_s = state.config.reclaim_within_s
    carry_out(state, waiting, takeover, within_s, now_s, out)
    return True


def _reserve(state: SchedulerState, waiting: Waiting) -> None:
    eligible = _younger_than(state, waiting)
    for room in (_soon_room, _later_room):
        workers = find_anywhere(
            state.cluster,
            waiting.job.shape,
            waiting.need,
            partial(room, state, waiting, eligible),
            waiting.avoid,
        )
        if workers is not None:
            holds = _holds(waiting.need, workers)
            state.set_holds(waiting.job.job_id, holds)
            return


def _soon_room(
    state: SchedulerState,
    waiting: Waiting,
    eligible: Eligible,
    worker: WorkerState,
) -> Amount:
    """Return the room once younger work has been stopped."""
    room = minus(room_after_stops(worker, eligible), worker.held)
    if waiting.job.stoppable:
        return room
    return least(room, minus(worker.open, worker.held))


def _later_room(
    state: SchedulerState,
    waiting: Waiting,
    eligible: Eligible,
    worker: WorkerState,
) -> Amount:
    """Return the room once everything beyond guarantees has ended."""
    del waiting, eligible
    return minus(state.guarantee_room(worker), worker.held)


def _younger_than(state: SchedulerState, waiting: Waiting) -> Eligible:
    def eligible(run: Run) -> bool:
        return (
            run.borrowed
            and not run.stopping
            and run.job.job_class is not JobClass.URGENT
            and state.place(run) > waiting.place
        )

    return eligible


def _holds(need: Amount, workers: tuple[str, ...]) -> Holds:
    counts = Counter(workers)
    return {name: times(need, count) for name, count in counts.items()}

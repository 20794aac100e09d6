"""Reservations that bound the wait of the oldest jobs.

The oldest jobs that have waited long hold capacity against work that
cannot be stopped in time. Once such a job starves, younger work is
stopped for it. Only younger work: so of two jobs never each stops the
other, and the oldest always gets on.
"""

from __future__ import annotations

from collections import Counter
from functools import partial
from itertools import islice
from typing import TYPE_CHECKING

from filbertlb.core.amounts import elementwise_min
from filbertlb.core.amounts import minus
from filbertlb.core.amounts import times
from filbertlb.core.model import JobClass
from filbertlb.core.reclaim import room_after_stops
from filbertlb.core.search import find_anywhere
from filbertlb.scheduling.config import WeightProfile
from filbertlb.scheduling.state import accelerators
from filbertlb.scheduling.stops import carry_out
from filbertlb.scheduling.stops import find_takeover

if TYPE_CHECKING:
    from collections.abc import Iterator

    from filbertlb.core.amounts import Amount
    from filbertlb.core.cluster import WorkerState
    from filbertlb.core.guarantee_packing import Unit
    from filbertlb.core.queueing import Waiting
    from filbertlb.core.reclaim import Eligible
    from filbertlb.core.runs import Run
    from filbertlb.scheduling.state import Decisions
    from filbertlb.scheduling.state import Holds
    from filbertlb.scheduling.state import SchedulerState


LARGER_VICTIM_FACTOR = 4
"""Multiple of the starvation bound after which larger work is stopped,
where fragmentation weighs most."""

_MAX_SCANNED = 256


def hold_for_risks(state: SchedulerState) -> None:
    """Hold capacity against firm work for guarantees at risk."""
    for key in list(state.holds_by_key):
        if not isinstance(key, str) and key not in state.witness.unplaced:
            state.set_holds(key, {})
    for unit in state.witness.unplaced:
        if unit in state.holds_by_key:
            continue
        workers = _risk_workers(state, unit, usable_only=True)
        if workers is None:
            workers = _risk_workers(state, unit, usable_only=False)
        if workers is not None:
            state.set_holds(unit, _holds(unit.need, workers))


def _risk_workers(
    state: SchedulerState, unit: Unit, *, usable_only: bool
) -> tuple[str, ...] | None:
    """Find where a unit can lie once firm work ends or workers return."""
    return find_anywhere(
        state.cluster,
        unit.guarantee.shape,
        unit.need,
        lambda worker: minus(state.guarantee_room(worker), worker.held),
        usable_only=usable_only,
    )


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
        starves = now_s - waiting.since_s >= state.config.starvation_s
        if starves and _start_starving(state, waiting, now_s, out):
            continue
        if waiting.job.job_id not in state.holds_by_key:
            _reserve(state, waiting, now_s)


def earliest_due_s(state: SchedulerState) -> float:
    """Return when the first reservation may stop other work."""
    by_id = state.queue.by_id
    return min(
        (
            by_id[key].since_s + state.config.starvation_s
            for key in state.holds_by_key
            if isinstance(key, str)
        ),
        default=float("inf"),
    )


def _long_waiting(state: SchedulerState, now_s: float) -> Iterator[Waiting]:
    """Yield the oldest jobs, and the oldest large ones where they count."""
    config = state.config
    large_first = config.profile is WeightProfile.FRAGMENTATION
    left = config.max_reservations
    large_left = config.max_reservations if large_first else 0
    for waiting in islice(state.queue.oldest(), _MAX_SCANNED):
        if now_s - waiting.since_s < config.reserve_after_s:
            continue
        large = waiting.need[0] * waiting.job.shape.members
        if not left and large < config.large_accelerators:
            continue
        if not _is_ready(state, waiting):
            continue
        if left:
            left -= 1
            yield waiting
        elif large_left:
            large_left -= 1
            yield waiting


def _is_ready(state: SchedulerState, waiting: Waiting) -> bool:
    job = waiting.job
    wanted = waiting.need[0] * job.shape.members
    return not state.queue.is_delayed(waiting) and state.shares.allows(
        job.organisation_id, wanted
    )


def _start_starving(
    state: SchedulerState, waiting: Waiting, now_s: float, out: Decisions
) -> bool:
    within_s = state.config.reclaim_within_s
    eligible = _may_stop(state, waiting, now_s)
    takeover = find_takeover(state, waiting, eligible, within_s, now_s)
    if takeover is None:
        return False
    carry_out(state, waiting, takeover, within_s, now_s, out)
    return True


def _reserve(state: SchedulerState, waiting: Waiting, now_s: float) -> None:
    eligible = _may_stop(state, waiting, now_s)
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
    return elementwise_min(room, minus(worker.open, worker.held))


def _later_room(
    state: SchedulerState,
    waiting: Waiting,
    eligible: Eligible,
    worker: WorkerState,
) -> Amount:
    """Return the room once everything beyond guarantees has ended."""
    del waiting, eligible
    return minus(state.guarantee_room(worker), worker.held)


def _may_stop(
    state: SchedulerState, waiting: Waiting, now_s: float
) -> Eligible:
    """Return which runs may be stopped for a job that starves.

    Younger runs; where fragmentation weighs most, larger ones only
    after a multiple of the bound, and older ones that are smaller and
    had not starved themselves when they started. A job that is stopped
    too often thus starves and is then stopped for older work only, so
    that two jobs cannot go on stopping each other.
    """
    config = state.config
    by_size = config.profile is WeightProfile.FRAGMENTATION
    size = waiting.need[0] * waiting.job.shape.members
    patience_s = config.starvation_s * LARGER_VICTIM_FACTOR
    may_stop_larger = now_s - waiting.since_s >= patience_s

    def eligible(run: Run) -> bool:
        if (
            not run.borrowed
            or run.stopping
            or run.job.job_class is JobClass.URGENT
        ):
            return False
        victim = state.waiting_by_id[run.job.job_id]
        victim_size = accelerators(run)
        if victim.place > waiting.place:
            return not by_size or may_stop_larger or victim_size <= size
        waited_s = run.started_at_s - victim.since_s
        return (
            by_size
            and waited_s < config.starvation_s
            and victim_size * 2 <= size
        )

    return eligible


def _holds(need: Amount, workers: tuple[str, ...]) -> Holds:
    counts = Counter(workers)
    return {name: times(need, count) for name, count in counts.items()}

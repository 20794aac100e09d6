"""Reservations that bound the wait of the oldest jobs.

The oldest jobs that have waited for ``reserve_after_s`` hold capacity
against work that cannot be stopped in time. Once such a job has waited for
``starvation_s``, runs of younger jobs are preempted for it. Preempting
only younger jobs prevents two jobs from preempting each other in turn
and guarantees that the oldest job makes progress. ``_preemptible_runs``
describes the exception under the fragmentation profile.
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
from filbertlb.scheduling.stops import find_preemption
from filbertlb.scheduling.stops import preempt_and_plan

if TYPE_CHECKING:
    from collections.abc import Iterator

    from filbertlb.core.amounts import Amount
    from filbertlb.core.cluster import WorkerState
    from filbertlb.core.guarantee_units import Unit
    from filbertlb.core.queueing import WaitingJob
    from filbertlb.core.reclaim import Eligible
    from filbertlb.core.runs import Run
    from filbertlb.scheduling.state import Decisions
    from filbertlb.scheduling.state import Holds
    from filbertlb.scheduling.state import SchedulerState


LARGER_VICTIM_FACTOR = 4
"""Multiple of ``starvation_s`` after which larger runs may be preempted
under the fragmentation profile."""

_MAX_SCANNED_JOBS = 256


def hold_for_unplaced_guarantees(state: SchedulerState) -> None:
    """Hold capacity against non-preemptible work for unplaced guarantees.

    Usable workers are preferred to those that are offline or set aside.
    """
    for key in list(state.holds_by_key):
        if not isinstance(key, str) and key not in state.packing.unplaced:
            state.set_holds(key, {})
    for unit in state.packing.unplaced:
        if unit in state.holds_by_key:
            continue
        workers = _find_placement(state, unit, usable_only=True)
        if workers is None:
            workers = _find_placement(state, unit, usable_only=False)
        if workers is not None:
            state.set_holds(unit, _holds(unit.need, workers))


def _find_placement(
    state: SchedulerState, unit: Unit, *, usable_only: bool
) -> tuple[str, ...] | None:
    """Find where a unit fits after the end of non-preemptible work.

    Unless ``usable_only`` is set, workers that are offline or set aside
    are considered too.
    """
    return find_anywhere(
        state.cluster,
        unit.guarantee.shape,
        unit.need,
        lambda worker: minus(state.unguaranteed_room(worker), worker.held),
        usable_only=usable_only,
    )


def serve_reservations(
    state: SchedulerState, now_s: float, out: Decisions
) -> None:
    """Reserve capacity for the oldest jobs and preempt for starving ones."""
    candidates = list(_reservation_candidates(state, now_s))
    wanted_ids = {waiting.job.job_id for waiting in candidates}
    for key in list(state.holds_by_key):
        if isinstance(key, str) and key not in wanted_ids:
            state.set_holds(key, {})
    for waiting in candidates:
        if len(out) >= state.config.max_decisions:
            return
        is_starving = now_s - waiting.since_s >= state.config.starvation_s
        if is_starving and _start_by_preemption(state, waiting, now_s, out):
            continue
        if waiting.job.job_id not in state.holds_by_key:
            _reserve(state, waiting, now_s)


def earliest_due_s(state: SchedulerState) -> float:
    """Return when the first reservation may preempt other runs."""
    by_id = state.queue.by_id
    return min(
        (
            by_id[key].since_s + state.config.starvation_s
            for key in state.holds_by_key
            if isinstance(key, str)
        ),
        default=float("inf"),
    )


def _reservation_candidates(
    state: SchedulerState, now_s: float
) -> Iterator[WaitingJob]:
    """Yield the jobs that may hold a reservation, oldest first.

    The fragmentation profile adds the oldest large jobs.
    """
    config = state.config
    favours_large = config.profile is WeightProfile.FRAGMENTATION
    remaining = config.max_reservations
    large_remaining = config.max_reservations if favours_large else 0
    for waiting in islice(state.queue.oldest(), _MAX_SCANNED_JOBS):
        if now_s - waiting.since_s < config.reserve_after_s:
            continue
        accelerators_wanted = waiting.need[0] * waiting.job.shape.members
        if not remaining and accelerators_wanted < config.large_accelerators:
            continue
        if not _may_reserve(state, waiting):
            continue
        if remaining:
            remaining -= 1
            yield waiting
        elif large_remaining:
            large_remaining -= 1
            yield waiting


def _may_reserve(state: SchedulerState, waiting: WaitingJob) -> bool:
    job = waiting.job
    accelerators_wanted = waiting.need[0] * job.shape.members
    return not state.queue.is_delayed(waiting) and state.shares.allows(
        job.organisation_id, accelerators_wanted
    )


def _start_by_preemption(
    state: SchedulerState, waiting: WaitingJob, now_s: float, out: Decisions
) -> bool:
    within_s = state.config.reclaim_within_s
    eligible = _preemptible_runs(state, waiting, now_s)
    preemption = find_preemption(state, waiting, eligible, within_s, now_s)
    if preemption is None:
        return False
    preempt_and_plan(state, waiting, preemption, within_s, now_s, out)
    return True


def _reserve(state: SchedulerState, waiting: WaitingJob, now_s: float) -> None:
    eligible = _preemptible_runs(state, waiting, now_s)
    for room in (_room_after_preemption, _room_outside_guarantees):
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


def _room_after_preemption(
    state: SchedulerState,
    waiting: WaitingJob,
    eligible: Eligible,
    worker: WorkerState,
) -> Amount:
    """Return the room after preemption of all eligible runs."""
    room = minus(room_after_stops(worker, eligible), worker.held)
    if waiting.job.stoppable:
        return room
    return elementwise_min(room, minus(worker.open, worker.held))


def _room_outside_guarantees(
    state: SchedulerState,
    waiting: WaitingJob,
    eligible: Eligible,
    worker: WorkerState,
) -> Amount:
    """Return the room after the end of all runs outside guarantees."""
    del waiting, eligible
    return minus(state.unguaranteed_room(worker), worker.held)


def _preemptible_runs(
    state: SchedulerState, waiting: WaitingJob, now_s: float
) -> Eligible:
    """Return a predicate for runs that may be preempted for a job.

    Runs of younger jobs are eligible, except urgent ones.

    Under the fragmentation profile, larger runs of younger jobs become
    eligible only after ``LARGER_VICTIM_FACTOR`` times ``starvation_s``.
    Runs of older jobs are eligible if they are at most half the size
    and had not starved before they started. A job that is preempted
    repeatedly therefore starves and is then preempted for older jobs
    only, so that two jobs cannot keep preempting each other.
    """
    config = state.config
    by_size = config.profile is WeightProfile.FRAGMENTATION
    size = waiting.need[0] * waiting.job.shape.members
    larger_after_s = config.starvation_s * LARGER_VICTIM_FACTOR
    may_stop_larger = now_s - waiting.since_s >= larger_after_s

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

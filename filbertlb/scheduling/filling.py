"""Backfill: starts waiting jobs on free capacity in order of score."""

from __future__ import annotations

import heapq
from itertools import islice
from typing import TYPE_CHECKING

from filbertlb.core.amounts import elementwise_min
from filbertlb.core.amounts import minus
from filbertlb.core.amounts import plus
from filbertlb.core.amounts import times
from filbertlb.core.model import JobClass
from filbertlb.core.packing import MAX_SEARCHED_WORKERS
from filbertlb.core.queueing import score
from filbertlb.core.scheduling import WaitReason
from filbertlb.core.search import find_free
from filbertlb.core.search import placement_options
from filbertlb.scheduling.reservations import earliest_due_s
from filbertlb.scheduling.stops import find_preemption
from filbertlb.scheduling.stops import preempt_and_plan
from filbertlb.scheduling.stops import preemptible_by_urgent

if TYPE_CHECKING:
    from collections.abc import Iterator

    from filbertlb.core.amounts import Amount
    from filbertlb.core.cluster import WorkerState
    from filbertlb.core.queueing import Bucket
    from filbertlb.core.queueing import WaitingJob
    from filbertlb.core.search import RoomFunction
    from filbertlb.scheduling.state import Decisions
    from filbertlb.scheduling.state import SchedulerState

DISPLACE_INTERVAL_S = 1.0
"""Least time between two displacement attempts for one kind of job, in
seconds."""

MAX_DISPLACE_TRIES = 8
"""Candidate placements that one displacement attempt tries."""


def serve_urgent(state: SchedulerState, now_s: float, out: Decisions) -> None:
    """Start urgent jobs, preempting other runs if no capacity is free."""
    buckets = [
        bucket
        for bucket in state.queue.by_key.values()
        if bucket.job_class is JobClass.URGENT
    ]
    for bucket in buckets:
        while len(out) < state.config.max_decisions:
            waiting = state.queue.head(bucket)
            if waiting is None or not _start_urgent(
                state, bucket, waiting, now_s, out
            ):
                break


def backfill(state: SchedulerState, now_s: float, out: Decisions) -> None:
    """Start jobs that fit on free capacity, lowest score first.

    Buckets whose oldest job did not fit are skipped until capacity has
    been freed.
    """
    due_s = earliest_due_s(state)
    heap = [
        _heap_entry(state, bucket, now_s)
        for bucket in state.queue.by_key.values()
        if bucket.places and bucket.blocked_at != state.cluster.freed_count
    ]
    heapq.heapify(heap)
    while heap and len(out) < state.config.max_decisions:
        bucket = heapq.heappop(heap)[-1]
        waiting = state.queue.head(bucket)
        if waiting is None:
            continue
        if _start_if_possible(state, bucket, waiting, due_s, now_s, out):
            if bucket.places:
                heapq.heappush(heap, _heap_entry(state, bucket, now_s))
        elif bucket.reason is not WaitReason.QUOTA:
            bucket.blocked_at = state.cluster.freed_count


def _heap_entry(
    state: SchedulerState, bucket: Bucket, now_s: float
) -> tuple[float, tuple[float, int, str], Bucket]:
    place = bucket.places[0]
    waiting = state.queue.by_id[place[2]]
    organisation_id = bucket.organisation_id
    value = score(
        state.config.profile,
        state.run_times.expected_s(organisation_id, bucket.job_class),
        bucket.need[0] * bucket.shape.members,
        max(0.0, now_s - waiting.since_s),
        state.config.ageing_s,
        state.shares.usage_ratio(organisation_id, state.capacity_accelerators),
    )
    return (value, place, bucket)


def _start_urgent(
    state: SchedulerState,
    bucket: Bucket,
    waiting: WaitingJob,
    now_s: float,
    out: Decisions,
) -> bool:
    if _start_if_possible(state, bucket, waiting, float("inf"), now_s, out):
        return True
    if bucket.reason is WaitReason.QUOTA:
        return False
    search_key = (bucket.signature, JobClass.URGENT)
    if state.blocked_at.get(search_key) == state.cluster.freed_count:
        return False
    within_s = state.config.urgent_stop_within_s
    preemption = find_preemption(
        state, waiting, preemptible_by_urgent, within_s, now_s
    )
    if preemption is None:
        state.blocked_at[search_key] = state.cluster.freed_count
        return False
    preempt_and_plan(state, waiting, preemption, within_s, now_s, out)
    return True


def _start_if_possible(
    state: SchedulerState,
    bucket: Bucket,
    waiting: WaitingJob,
    due_s: float,
    now_s: float,
    out: Decisions,
) -> bool:
    job = waiting.job
    accelerators_wanted = waiting.need[0] * job.shape.members
    if not state.shares.allows(job.organisation_id, accelerators_wanted):
        bucket.reason = WaitReason.QUOTA
        return False
    upper_s = state.run_times.upper_bound_s(job.organisation_id, job.job_class)
    # A run that may not have ended by the time at which a reservation
    # starts to preempt must not use reserved capacity.
    avoid_reserved = (
        now_s + upper_s > due_s and job.job_id not in state.holds_by_key
    )
    chosen = _find_placement(
        state, bucket, waiting, now_s, avoid_reserved=avoid_reserved
    )
    if chosen is None:
        bucket.reason = WaitReason.CAPACITY
        return False
    out.append(state.start(waiting, chosen, now_s))
    return True


def _find_placement(
    state: SchedulerState,
    bucket: Bucket,
    waiting: WaitingJob,
    now_s: float,
    *,
    avoid_reserved: bool,
) -> tuple[str, ...] | None:
    """Find a placement on free capacity.

    After a failed search for jobs of the same kind, only placements
    that use a worker freed since then are considered.
    """
    job_id = waiting.job.job_id
    room: RoomFunction = state.non_preemptible_room
    if bucket.stoppable:
        room = (
            state.unreserved_room if avoid_reserved else state.preemptible_room
        )
    has_reservation = job_id in state.holds_by_key
    if has_reservation and not bucket.stoppable:
        room = lambda worker: elementwise_min(  # noqa: E731
            worker.free, state.open_room_for(worker, job_id)
        )
    cluster, shape, need = state.cluster, bucket.shape, waiting.need
    if waiting.avoid or has_reservation:
        return find_free(cluster, shape, need, room, waiting.avoid)
    search_key = (bucket.signature, avoid_reserved)
    blocked_at = state.blocked_at.get(search_key)
    freed = None
    if blocked_at is not None:
        freed = cluster.freed_since(blocked_at)
        if freed is not None and not freed:
            return None
    found = find_free(cluster, shape, need, room, (), freed)
    if found is not None:
        return found
    if not bucket.stoppable and _displacement_due(state, search_key, now_s):
        found = _place_by_displacing(state, waiting)
    state.blocked_at[search_key] = cluster.freed_count
    return found


def _displacement_due(
    state: SchedulerState, kind: object, now_s: float
) -> bool:
    """Return whether displacement may be tried now, and record the try."""
    tried_at_s = state.displace_tried_at_s.get(kind, float("-inf"))
    if now_s - tried_at_s < DISPLACE_INTERVAL_S:
        return False
    state.displace_tried_at_s[kind] = now_s
    return True


def _place_by_displacing(
    state: SchedulerState, waiting: WaitingJob
) -> tuple[str, ...] | None:
    """Find a placement by displacing unclaimed guarantees.

    Only for non-preemptible jobs, and only while every guarantee has a
    placement.
    """
    if state.packing.unplaced:
        return None
    is_small = len(state.cluster.by_id) <= MAX_SEARCHED_WORKERS
    for chosen in _displacement_candidates(state, waiting, several=is_small):
        if _displace_guarantees(state, waiting, chosen, repack=is_small):
            return chosen
    return None


def _displacement_candidates(
    state: SchedulerState, waiting: WaitingJob, *, several: bool
) -> Iterator[tuple[str, ...]]:
    """Yield placements that only unclaimed guarantees block.

    On a large cluster only the first one is searched for: another is
    likely to become free soon, and scanning all workers for each
    candidate would take too long.
    """
    shape = waiting.job.shape

    def room(worker: WorkerState) -> Amount:
        return _room_ignoring_unclaimed(state, worker)

    if several:
        found = placement_options(state.cluster, shape, waiting.need, room)
        allowed = (
            placement
            for placement in found
            if not waiting.avoid.intersection(placement)
        )
        yield from islice(allowed, MAX_DISPLACE_TRIES)
        return
    placement = find_free(
        state.cluster, shape, waiting.need, room, waiting.avoid
    )
    if placement is not None:
        yield placement


def _displace_guarantees(
    state: SchedulerState,
    waiting: WaitingJob,
    chosen: tuple[str, ...],
    *,
    repack: bool,
) -> bool:
    """Displace unclaimed guarantees from workers; roll back on failure.

    It succeeds if every guarantee still has a placement afterwards.
    """
    packing = state.packing
    placements_before = packing.save()
    workers = {
        worker_id: state.cluster.by_id[worker_id] for worker_id in chosen
    }
    amounts = {
        worker_id: times(waiting.need, chosen.count(worker_id))
        for worker_id in workers
    }
    for worker_id, worker in workers.items():
        state.cluster.close(worker, amounts[worker_id])
        packing.evict_unclaimed(worker)
    for unit in list(packing.unplaced):
        packing.place(unit)
    if repack:
        packing.repack()
    for worker_id, worker in workers.items():
        state.cluster.reopen(worker, amounts[worker_id])
    if packing.unplaced:
        packing.restore(placements_before)
        return False
    return True


def _room_ignoring_unclaimed(
    state: SchedulerState, worker: WorkerState
) -> Amount:
    if worker.on_probation:
        return (0, 0, 0)
    room = minus(worker.open, worker.held)
    for unit, members in worker.units.items():
        if not unit.claimed_by:
            room = plus(room, times(unit.need, members))
    return elementwise_min(worker.free, room)

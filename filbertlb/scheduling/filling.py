"""Starts of waiting jobs on free capacity, best score first."""

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
from filbertlb.scheduling.stops import carry_out
from filbertlb.scheduling.stops import find_takeover
from filbertlb.scheduling.stops import urgent_victim

if TYPE_CHECKING:
    from collections.abc import Iterator

    from filbertlb.core.amounts import Amount
    from filbertlb.core.cluster import WorkerState
    from filbertlb.core.queueing import Bucket
    from filbertlb.core.queueing import Waiting
    from filbertlb.core.search import RoomFunction
    from filbertlb.scheduling.state import Decisions
    from filbertlb.scheduling.state import SchedulerState

DISPLACE_INTERVAL_S = 1.0
MAX_DISPLACE_TRIES = 8


def serve_urgent(state: SchedulerState, now_s: float, out: Decisions) -> None:
    """Start urgent jobs, stopping other work where nothing is free."""
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


def fill(state: SchedulerState, now_s: float, out: Decisions) -> None:
    """Start what fits, in the order of the scores."""
    due_s = earliest_due_s(state)
    heap = [
        _scored(state, bucket, now_s)
        for bucket in state.queue.by_key.values()
        if bucket.places and bucket.blocked_at != state.cluster.freed_count
    ]
    heapq.heapify(heap)
    while heap and len(out) < state.config.max_decisions:
        bucket = heapq.heappop(heap)[-1]
        waiting = state.queue.head(bucket)
        if waiting is None:
            continue
        if _start(state, bucket, waiting, due_s, now_s, out):
            if bucket.places:
                heapq.heappush(heap, _scored(state, bucket, now_s))
        elif bucket.reason is not WaitReason.QUOTA:
            bucket.blocked_at = state.cluster.freed_count


def _scored(
    state: SchedulerState, bucket: Bucket, now_s: float
) -> tuple[float, tuple[float, int, str], Bucket]:
    place = bucket.places[0]
    waiting = state.queue.by_id[place[2]]
    name = bucket.organisation_id
    value = score(
        state.config.profile,
        state.run_times.expected_s(name, bucket.job_class),
        bucket.need[0] * bucket.shape.members,
        max(0.0, now_s - waiting.since_s),
        state.config.ageing_s,
        state.shares.excess(name, state.capacity_accelerators),
    )
    return (value, place, bucket)


def _start_urgent(
    state: SchedulerState,
    bucket: Bucket,
    waiting: Waiting,
    now_s: float,
    out: Decisions,
) -> bool:
    if _start(state, bucket, waiting, float("inf"), now_s, out):
        return True
    if bucket.reason is WaitReason.QUOTA:
        return False
    kind = (bucket.signature, JobClass.URGENT)
    if state.blocked.get(kind) == state.cluster.freed_count:
        return False
    within_s = state.config.urgent_stop_within_s
    takeover = find_takeover(state, waiting, urgent_victim, within_s, now_s)
    if takeover is None:
        state.blocked[kind] = state.cluster.freed_count
        return False
    carry_out(state, waiting, takeover, within_s, now_s, out)
    return True


def _start(
    state: SchedulerState,
    bucket: Bucket,
    waiting: Waiting,
    due_s: float,
    now_s: float,
    out: Decisions,
) -> bool:
    job = waiting.job
    wanted = waiting.need[0] * job.shape.members
    if not state.shares.allows(job.organisation_id, wanted):
        bucket.reason = WaitReason.QUOTA
        return False
    upper_s = state.run_times.upper_s(job.organisation_id, job.job_class)
    patient = now_s + upper_s > due_s and job.job_id not in state.holds_by_key
    chosen = _find(state, bucket, waiting, now_s, patient=patient)
    if chosen is None:
        bucket.reason = WaitReason.CAPACITY
        return False
    out.append(state.start(waiting, chosen, now_s))
    return True


def _find(
    state: SchedulerState,
    bucket: Bucket,
    waiting: Waiting,
    now_s: float,
    *,
    patient: bool,
) -> tuple[str, ...] | None:
    """Search, but only where something was freed since the last time."""
    job_id = waiting.job.job_id
    room: RoomFunction = state.firm_room
    if bucket.stoppable:
        room = state.patient_room if patient else state.borrow_room
    own = job_id in state.holds_by_key
    if own and not bucket.stoppable:
        room = lambda worker: elementwise_min(  # noqa: E731
            worker.free, state.lasting_room(worker, job_id)
        )
    cluster, shape, need = state.cluster, bucket.shape, waiting.need
    if waiting.avoid or own:
        return find_free(cluster, shape, need, room, waiting.avoid)
    kind = (bucket.signature, patient)
    blocked_at = state.blocked.get(kind)
    among = None
    if blocked_at is not None:
        among = cluster.freed_since(blocked_at)
        if among is not None and not among:
            return None
    found = find_free(cluster, shape, need, room, (), among)
    if found is not None:
        return found
    if not bucket.stoppable and _may_displace(state, kind, now_s):
        found = _displace(state, waiting)
    state.blocked[kind] = cluster.freed_count
    return found


def _may_displace(state: SchedulerState, kind: object, now_s: float) -> bool:
    """Bound how often moving guarantees is tried for a kind of job."""
    tried_at_s = state.displaced_at_s.get(kind, float("-inf"))
    if now_s - tried_at_s < DISPLACE_INTERVAL_S:
        return False
    state.displaced_at_s[kind] = now_s
    return True


def _displace(
    state: SchedulerState, waiting: Waiting
) -> tuple[str, ...] | None:
    """Place firm work where unclaimed guarantees can make way."""
    if state.witness.unplaced:
        return None
    is_small = len(state.cluster.by_id) <= MAX_SEARCHED_WORKERS
    for chosen in _displacing_places(state, waiting, several=is_small):
        if _make_way(state, waiting, chosen, repack=is_small):
            return chosen
    return None


def _displacing_places(
    state: SchedulerState, waiting: Waiting, *, several: bool
) -> Iterator[tuple[str, ...]]:
    """Yield places that are free but for unclaimed guarantees.

    On a large cluster only the first is looked for: another comes free
    soon, and a look at all workers for each would take too long.
    """
    shape = waiting.job.shape

    def room(worker: WorkerState) -> Amount:
        return _room_without_units(state, worker)

    if several:
        found = placement_options(state.cluster, shape, waiting.need, room)
        allowed = (one for one in found if not waiting.avoid.intersection(one))
        yield from islice(allowed, MAX_DISPLACE_TRIES)
        return
    first = find_free(state.cluster, shape, waiting.need, room, waiting.avoid)
    if first is not None:
        yield first


def _make_way(
    state: SchedulerState,
    waiting: Waiting,
    chosen: tuple[str, ...],
    *,
    repack: bool,
) -> bool:
    """Move unclaimed guarantees off workers, or change nothing."""
    witness = state.witness
    before = witness.save()
    workers = {name: state.cluster.by_id[name] for name in chosen}
    amounts = {
        name: times(waiting.need, chosen.count(name)) for name in workers
    }
    for name, worker in workers.items():
        state.cluster.close(worker, amounts[name])
        witness.evict_unclaimed(worker)
    for unit in list(witness.unplaced):
        witness.place(unit)
    if repack:
        witness.repack()
    for name, worker in workers.items():
        state.cluster.reopen(worker, amounts[name])
    if witness.unplaced:
        witness.restore(before)
        return False
    return True


def _room_without_units(state: SchedulerState, worker: WorkerState) -> Amount:
    if worker.on_probation:
        return (0, 0, 0)
    room = minus(worker.open, worker.held)
    for unit, members in worker.units.items():
        if not unit.claimed_by:
            room = plus(room, times(unit.need, members))
    return elementwise_min(worker.free, room)

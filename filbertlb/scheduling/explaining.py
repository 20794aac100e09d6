"""Reasons why queued jobs wait."""

from __future__ import annotations

from typing import TYPE_CHECKING

from filbertlb.core.amounts import copies
from filbertlb.core.queueing import bucket_key
from filbertlb.core.scheduling import WaitReason
from filbertlb.core.search import find_anywhere
from filbertlb.core.search import find_free

if TYPE_CHECKING:
    from filbertlb.core.queueing import WaitingJob
    from filbertlb.scheduling.state import SchedulerState


def wait_reason(state: SchedulerState, job_id: str) -> WaitReason | None:
    """Return why a job waits, or None if it is not waiting."""
    if job_id in state.runs.plan_by_id:
        return WaitReason.RECLAIM
    waiting = state.queue.by_id.get(job_id)
    if waiting is None:
        return None
    if state.queue.is_delayed(waiting):
        return WaitReason.BACKOFF
    organisation_id = waiting.job.organisation_id
    wanted = waiting.need[0] * waiting.job.shape.members
    if not state.shares.allows(organisation_id, wanted):
        return WaitReason.QUOTA
    if not _fits_online_workers(state, waiting):
        return WaitReason.OFFLINE
    bucket = state.queue.by_key[bucket_key(waiting)]
    if bucket.places[0] != waiting.place:
        return WaitReason.QUEUE
    return _capacity_reason(state, waiting)


def _fits_online_workers(state: SchedulerState, waiting: WaitingJob) -> bool:
    worker_ids = find_anywhere(
        state.cluster,
        waiting.job.shape,
        waiting.need,
        lambda worker: worker.capacity,
        waiting.avoid,
    )
    return worker_ids is not None


def _capacity_reason(state: SchedulerState, waiting: WaitingJob) -> WaitReason:
    """Return why free capacity does not admit a job."""
    shape, need = waiting.job.shape, waiting.need
    worker_ids = find_free(
        state.cluster, shape, need, state.preemptible_room, waiting.avoid
    )
    if worker_ids is not None and waiting.job.stoppable:
        return WaitReason.QUEUE
    if worker_ids is not None:
        return WaitReason.GUARANTEE
    workers = (worker for worker in state.cluster.by_id.values())
    member_slots = sum(
        copies(worker.free, need) for worker in workers if worker.usable
    )
    enough = member_slots >= shape.members
    return WaitReason.ADJACENCY if enough else WaitReason.CAPACITY

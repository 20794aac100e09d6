"""Job queue: order by age, scores with fair shares, and quotas."""

from __future__ import annotations

from bisect import bisect_left
from bisect import insort
from typing import TYPE_CHECKING

import attrs

from filbertlb.core.amounts import needed
from filbertlb.core.model import JobClass
from filbertlb.scheduling.config import WeightProfile

if TYPE_CHECKING:
    from collections.abc import Iterator

    from filbertlb.core.amounts import Amount
    from filbertlb.core.model import JobSpec
    from filbertlb.core.model import Organisation
    from filbertlb.core.model import Shape
    from filbertlb.core.scheduling import WaitReason

BucketKey = tuple[str, JobClass, "Shape", "Amount", bool, str, str]
Place = tuple[float, int, str]
"""Sort key of a job: submission time in seconds, sequence number, job."""


@attrs.define(eq=False)
class WaitingJob:
    """A queued job.

    Parameters
    ----------
    place : Place
        Position in the queue, kept when the job is stopped and
        requeued.
    since_s : float
        Start of the wait, in seconds on the scheduler's clock.
    avoid : set of str
        Workers on which the job has failed and is not placed again.
    ready_at_s : float
        End of the backoff, in seconds on the scheduler's clock.
    """

    job: JobSpec
    need: Amount
    place: Place
    since_s: float = 0.0
    avoid: set[str] = attrs.field(factory=set)
    ready_at_s: float = 0.0


@attrs.define(eq=False)
class Bucket:
    """Queued jobs that differ only in age.

    Parameters
    ----------
    blocked_at : int, optional
        Value of the cluster's ``freed_count`` at which the oldest job
        did not fit; None if that is not known.
    """

    organisation_id: str
    job_class: JobClass
    shape: Shape
    need: Amount
    stoppable: bool
    guarantee_id: str
    places: list[Place] = attrs.field(factory=list)
    blocked_at: int | None = None
    reason: WaitReason | None = None

    @property
    def signature(self) -> tuple[Shape, Amount, bool]:
        """Return the properties that decide where a job fits."""
        return (self.shape, self.need, self.stoppable)


def bucket_key(waiting: WaitingJob) -> BucketKey:
    """Return the key of a job's bucket.

    A job that avoids workers has a bucket of its own, since it may not
    fit where the others do.
    """
    job = waiting.job
    return (
        job.organisation_id,
        job.job_class,
        job.shape,
        waiting.need,
        job.stoppable,
        job.guarantee_id or "",
        job.job_id if waiting.avoid else "",
    )


@attrs.define(eq=False)
class JobQueue:
    """Queued jobs by bucket, oldest first within each."""

    by_id: dict[str, WaitingJob] = attrs.field(factory=dict)
    by_key: dict[BucketKey, Bucket] = attrs.field(factory=dict)
    delayed: list[tuple[float, str]] = attrs.field(factory=list)
    places: list[Place] = attrs.field(factory=list)

    def push(self, waiting: WaitingJob, now_s: float) -> None:
        """Queue a job in its bucket, or as delayed until its backoff ends."""
        job_id = waiting.job.job_id
        self.by_id[job_id] = waiting
        insort(self.places, waiting.place)
        if waiting.ready_at_s > now_s:
            insort(self.delayed, (waiting.ready_at_s, job_id))
        else:
            self._add_to_bucket(waiting)

    def pop(self, job_id: str) -> WaitingJob | None:
        """Remove and return a job, or return None if it is not queued."""
        waiting = self.by_id.pop(job_id, None)
        if waiting is None:
            return None
        _remove(self.places, waiting.place)
        item = (waiting.ready_at_s, job_id)
        index = bisect_left(self.delayed, item)
        if index < len(self.delayed) and self.delayed[index] == item:
            del self.delayed[index]
        else:
            self._remove_from_bucket(waiting)
        return waiting

    def release_delayed(self, now_s: float) -> bool:
        """Move jobs whose backoff has ended to their buckets.

        Returns whether there were any.
        """
        released = False
        while self.delayed and self.delayed[0][0] <= now_s:
            _, job_id = self.delayed.pop(0)
            self._add_to_bucket(self.by_id[job_id])
            released = True
        return released

    def next_ready_s(self) -> float:
        """Return the time at which the next backoff ends, in seconds."""
        return self.delayed[0][0] if self.delayed else float("inf")

    def is_delayed(self, waiting: WaitingJob) -> bool:
        """Tell whether a job is backing off."""
        item = (waiting.ready_at_s, waiting.job.job_id)
        index = bisect_left(self.delayed, item)
        return index < len(self.delayed) and self.delayed[index] == item

    def head(self, bucket: Bucket) -> WaitingJob | None:
        """Return the oldest job of a bucket, or None if it is empty."""
        if not bucket.places:
            return None
        return self.by_id[bucket.places[0][2]]

    def oldest(self) -> Iterator[WaitingJob]:
        """Yield all queued jobs, delayed ones included, oldest first."""
        for place in self.places:
            yield self.by_id[place[2]]

    def _add_to_bucket(self, waiting: WaitingJob) -> None:
        key = bucket_key(waiting)
        bucket = self.by_key.get(key)
        if bucket is None:
            bucket = Bucket(
                waiting.job.organisation_id,
                waiting.job.job_class,
                waiting.job.shape,
                waiting.need,
                waiting.job.stoppable,
                waiting.job.guarantee_id or "",
            )
            self.by_key[key] = bucket
        insort(bucket.places, waiting.place)
        if bucket.places[0] == waiting.place:
            bucket.blocked_at = None

    def _remove_from_bucket(self, waiting: WaitingJob) -> None:
        key = bucket_key(waiting)
        bucket = self.by_key[key]
        if bucket.places[0] == waiting.place:
            bucket.blocked_at = None
        _remove(bucket.places, waiting.place)
        if not bucket.places:
            del self.by_key[key]


def score(
    profile: WeightProfile,
    expected_run_s: float,
    accelerators: int,
    wait_s: float,
    ageing_s: float,
    usage_ratio: float,
) -> float:
    """Return the score of a job; the lowest score starts first.

    Parameters
    ----------
    expected_run_s : float
        Estimated run time in seconds.
    accelerators : int
        Accelerators of all members together.
    wait_s : float
        Time that the job has waited, in seconds.
    ageing_s : float
        Wait that halves the score, in seconds.
    usage_ratio : float
        Usage of the organisation as a multiple of its fair share.
    """
    base = expected_run_s
    if profile is WeightProfile.FRAGMENTATION:
        base = expected_run_s / (1 + accelerators)
    return base * (1.0 + usage_ratio) / (1.0 + wait_s / ageing_s)


@attrs.define(eq=False)
class Shares:
    """Usage of each organisation against its quota and fair share.

    Parameters
    ----------
    borrowed_by_id : dict
        Accelerators in use beyond guarantees, by organisation.
    """

    by_id: dict[str, Organisation] = attrs.field(factory=dict)
    guaranteed_by_id: dict[str, int] = attrs.field(factory=dict)
    borrowed_by_id: dict[str, int] = attrs.field(factory=dict)
    weight_sum: float = 1.0

    def change(self, organisations: dict[str, Organisation]) -> None:
        """Replace the organisations; usage is kept."""
        self.by_id = dict(organisations)
        self.weight_sum = (
            sum(item.weight for item in organisations.values()) or 1.0
        )
        self.guaranteed_by_id = {
            name: guaranteed_accelerators(item)
            for name, item in organisations.items()
        }

    def count(self, organisation_id: str, accelerators: int) -> None:
        """Add to the usage of an organisation beyond its guarantees."""
        used = self.borrowed_by_id.get(organisation_id, 0)
        self.borrowed_by_id[organisation_id] = used + accelerators

    def allows(self, organisation_id: str, accelerators: int) -> bool:
        """Tell whether the quota admits more usage beyond guarantees."""
        organisation = self.by_id.get(organisation_id)
        if organisation is None or organisation.quota_accelerators is None:
            return True
        used = self.borrowed_by_id.get(organisation_id, 0)
        guaranteed = self.guaranteed_by_id.get(organisation_id, 0)
        quota = organisation.quota_accelerators
        return not accelerators or used + accelerators + guaranteed <= quota

    def usage_ratio(self, organisation_id: str, capacity: int) -> float:
        """Return usage beyond guarantees as a multiple of the fair share."""
        organisation = self.by_id.get(organisation_id)
        weight = organisation.weight if organisation else 1.0
        share = max(1.0, capacity * weight / self.weight_sum)
        return self.borrowed_by_id.get(organisation_id, 0) / share


def guaranteed_accelerators(organisation: Organisation) -> int:
    """Return the accelerators of all guarantees together."""
    return sum(
        needed(item.shape.each)[0] * item.shape.members * item.count
        for item in organisation.guarantees
    )


def _remove(places: list[Place], place: Place) -> None:
    del places[bisect_left(places, place)]

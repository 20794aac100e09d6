"""How much work organisations and queues ask for.

Answers bursts: the share of the capacity that an organisation is entitled
to follows its own usual demand, which a burst must not raise at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.job_shape import shape_of

if TYPE_CHECKING:
    from filbertlb.batch.durations import DurationModel
    from filbertlb.batch.job_shape import JobShape
    from filbertlb.batch.model import Job
    from filbertlb.batch.planner_state import PlannerState

SETTLED_AGE_MS = 60_000
"""Age at which a job counts in full as usual demand of its organisation.

Rows of ended jobs are kept for 180 s, so the usual demand is an average over
two to three minutes.
"""
MAX_SHAPE_AGE_MS = 5000
"""Age after which expected run times are asked for again.

Learned ones change with each run that ends; asking for all in each decision
would take most of its time.
"""
MIN_ENTITLEMENT = 0.25
"""Least entitlement of an organisation as a share of an equal split.

An organisation that submits its first job has no usual demand.
"""


@attrs.define
class Demand:
    """Work of the known jobs in core-seconds.

    It is derived from the rows of jobs and kept only to save time: the next
    decider computes its own.

    Attributes
    ----------
    size_by_organisation : dict of str to float
        Usual demand.
    mean_work_by_queue : dict of str to float
        Mean work of one occurrence of a job.
    """

    size_by_organisation: dict[str, float] = attrs.Factory(dict)
    mean_work_by_queue: dict[str, float] = attrs.Factory(dict)
    _shape_by_job_id: dict[str, JobShape] = attrs.Factory(dict)
    _shapes_since_ms: int = 0

    def update(
        self, state: PlannerState, durations: DurationModel, now_ms: int
    ) -> None:
        """Sum up the work of the known jobs.

        All figures come from the same run times, so that a decider that has
        just taken over finds the same as one that has decided for long.
        """
        shapes = self._shape_by_job_id
        if not 0 <= now_ms - self._shapes_since_ms < MAX_SHAPE_AGE_MS:
            shapes.clear()
            self._shapes_since_ms = now_ms
        for job_id in shapes.keys() - state.jobs.keys():
            del shapes[job_id]
        sizes: dict[str, float] = {}
        totals: dict[str, tuple[float, int]] = {}
        for _, job in sorted(state.jobs.items()):
            job_work = self.shape(job, durations).work
            age_ms = max(0, now_ms - job.accepted_ms)
            settled = min(1.0, age_ms / SETTLED_AGE_MS)
            name = job.organisation
            work = job_work * max(1, job.times) * settled
            sizes[name] = sizes.get(name, 0.0) + work
            total, jobs = totals.get(job.queue, (0.0, 0))
            totals[job.queue] = (total + job_work, jobs + 1)
        self.size_by_organisation = sizes
        self.mean_work_by_queue = {
            queue: total / jobs for queue, (total, jobs) in totals.items()
        }

    def shape(self, job: Job, durations: DurationModel) -> JobShape:
        """Return work and chains of a job."""
        shape = self._shape_by_job_id.get(job.job_id)
        if shape is None:
            shape = shape_of(job, durations)
            self._shape_by_job_id[job.job_id] = shape
        return shape

    def entitlements(self, organisations: set[str]) -> dict[str, float]:
        """Return the shares of the capacity, in proportion to usual demand.

        Parameters
        ----------
        organisations : set of str
            Those that have work now; the capacity is divided among them.
        """
        if not organisations:
            return {}
        sizes = {
            name: self.size_by_organisation.get(name, 0.0)
            for name in organisations
        }
        equal = sum(sizes.values()) / len(sizes)
        sizes = {
            name: max(size, MIN_ENTITLEMENT * equal)
            for name, size in sizes.items()
        }
        total = sum(sizes.values())
        if total <= 0:
            return dict.fromkeys(sizes, 1 / len(sizes))
        return {name: size / total for name, size in sizes.items()}

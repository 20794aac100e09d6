"""Runs of jobs."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

from filbertlb.core.amounts import times

if TYPE_CHECKING:
    from filbertlb.core.amounts import Amount
    from filbertlb.core.guarantee_units import Unit
    from filbertlb.core.model import JobSpec


@attrs.define(eq=False)
class Run:
    """A current or planned run of a job.

    Parameters
    ----------
    worker_ids : tuple of str
        Worker of each member, by member index.
    members_by_worker : dict
        Number of members by worker.
    unit : Unit, optional
        The guarantee unit that the run claims.
    stopping : bool
        Whether a stop was decided but has not been reported as done.
    stop_within_s : float
        Time limit given for the stop, in seconds.
    excess : Amount
        Measured resource use of one member beyond its need.
    """

    job: JobSpec
    need: Amount
    worker_ids: tuple[str, ...]
    started_at_s: float
    members_by_worker: dict[str, int]
    unit: Unit | None = None
    stopping: bool = False
    stop_within_s: float = 0.0
    excess: Amount = (0, 0, 0)

    @classmethod
    def create(
        cls,
        job: JobSpec,
        need: Amount,
        worker_ids: tuple[str, ...],
        now_s: float,
        unit: Unit | None = None,
    ) -> Run:
        """Create a run with its members on the given workers."""
        return cls(
            job, need, worker_ids, now_s, dict(Counter(worker_ids)), unit
        )

    @property
    def non_preemptible(self) -> bool:
        """Return whether the job may not be stopped and has no claim.

        Runs that claim a guarantee unit are neither this nor
        ``borrowed``.
        """
        return self.unit is None and not self.job.stoppable

    @property
    def borrowed(self) -> bool:
        """Return whether the run has no claim and may be preempted."""
        return self.unit is None and self.job.stoppable

    def amount_on(self, worker_id: str) -> Amount:
        """Return the resources used by all members on one worker."""
        need, excess = self.need, self.excess
        each = (
            need[0] + excess[0],
            need[1] + excess[1],
            need[2] + excess[2],
        )
        return times(each, self.members_by_worker.get(worker_id, 0))

"""Progress of a run in the reports, and what it tells of its run time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.log_normal import log_ms
from filbertlb.batch.log_normal import LogNormal
from filbertlb.batch.model import task_group_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from filbertlb.batch.durations import ObservedRun
    from filbertlb.batch.model import RunEnd
    from filbertlb.batch.model import Step

COMPLETE_PERCENT = 100
START_ERROR_MS = 500
"""Deviation of the time from the order of a run until it begins.

A run may wait for others on its worker to stop.
"""
LISTING_ERROR_MS = 100
"""Deviation of the time at which a worker listed a share of work."""
SPEED_PERCENT = 50
"""Work seen after which a run in progress tells its worker's speed."""
EARLY_SPEED_PERCENT = 15
"""The same if the pace was observed for long enough to be exact."""
MAX_PACE_VARIANCE = 0.2**2
"""Variance of the logarithm of the pace that is exact enough for that."""
MAX_GANGS = 4096
"""Gangs whose latest run is remembered; all are forgotten beyond it."""


@attrs.define
class RunTrack:
    """Progress of one run; times are counted from its order.

    Attributes
    ----------
    first_percent, first_ms : int
        Progress from which the pace is measured: that at the order, or the
        first that the worker listed above 0%.
    speed_counted : bool
        The worker's speed has been learned from the run.
    """

    attempt: int
    observed: ObservedRun
    first_percent: int
    first_ms: int
    percent: int
    at_ms: int
    speed_counted: bool = False

    def update(self, percent: int, run_ms: int) -> None:
        """Record a report of the run, unless a later one is known."""
        if run_ms < self.at_ms or percent < self.percent:
            return
        if percent >= COMPLETE_PERCENT and self.total() is not None:
            # A member that is done waits for the others of its gang.
            return
        if not self.percent and (not percent or not self.begins_at_order):
            self.first_percent = percent
            self.first_ms = run_ms
        self.percent = percent
        self.at_ms = run_ms

    @property
    def begins_at_order(self) -> bool:
        """Whether the pace is measured from the order of the run.

        The first share of a resumed run is what earlier ones saved, and the
        members of a gang wait for each other before they begin.
        """
        return not (self.observed.resumed or self.observed.other_nodes)

    @property
    def left_share(self) -> float:
        """Share of the work that was not done at the latest report."""
        return (COMPLETE_PERCENT - self.percent) / COMPLETE_PERCENT

    @property
    def known(self) -> bool:
        """Whether the worker and the slowdown of the run are known."""
        observed = self.observed
        return observed.worker is not None and observed.slowdown is not None

    @property
    def tells_speed(self) -> bool:
        """Whether enough of the work was seen to compare the run."""
        seen = self.percent - self.first_percent
        if seen >= SPEED_PERCENT:
            return True
        total = self.total()
        return (
            seen >= EARLY_SPEED_PERCENT
            and total is not None
            and total.variance <= MAX_PACE_VARIANCE
        )

    def total(self) -> LogNormal | None:
        """Return the time of the whole work at the observed pace."""
        done = self.percent - self.first_percent
        elapsed_ms = self.at_ms - self.first_ms
        if done <= 0 or elapsed_ms <= 0:
            return None
        error_ms = LISTING_ERROR_MS if self.first_percent else START_ERROR_MS
        variance = (1 / done) ** 2 + (error_ms / elapsed_ms) ** 2
        return LogNormal(
            log_ms(COMPLETE_PERCENT * elapsed_ms / done), variance
        )


@attrs.define
class CountedRuns:
    """Latest run of each gang that has been learned from.

    Members work and end as one, so one of them is enough.
    """

    _attempt_by_group: dict[str, int] = attrs.Factory(dict)

    def count(self, task: str, attempt: int, step: Step) -> bool:
        """Return whether a run counts, and take note of it."""
        if not step.gang:
            return True
        group = task_group_of(task)
        if self._attempt_by_group.get(group, 0) >= attempt:
            return False
        if len(self._attempt_by_group) >= MAX_GANGS:
            self._attempt_by_group.clear()
        self._attempt_by_group[group] = attempt
        return True


def observed_last(
    track: RunTrack | None, end: RunEnd, observe: Callable[[], ObservedRun]
) -> ObservedRun:
    """Return the circumstances of a run that has ended.

    Those while it was listed count: at its end the worker may be unknown,
    or another one on the same node.
    """
    if track is not None and track.attempt == end.attempt and track.known:
        return track.observed
    return observe()

"""What the decider believes of the workers."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.worker_link import CLOCK_DRIFT
from filbertlb.batch.worker_link import LEASE_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from filbertlb.batch.model import Run
    from filbertlb.batch.model import Worker
    from filbertlb.batch.model import WorkerReport

FRESH_S = 2.6
"""Age of a report up to which its worker gets new work.

Agents report every second.
"""
CONTACT_LOST_S = 8.0
"""Agents extend leases this long after their last report got through."""
DEAD_SLACK_S = 0.5
DEAD_AFTER_S = CONTACT_LOST_S + LEASE_S * CLOCK_DRIFT + DEAD_SLACK_S
"""Silence after which nothing that was ordered there can still run."""

FAULT_WINDOW_S = 15.0
FAULT_UNITS = 2
QUARANTINE_S = 8.0
STANDS_STILL_S = 2.5
"""Time without progress of any run, besides that of one percent."""
SLOWEST_X = 10
"""How much longer than estimated a run may take on a sound worker."""
WHOLE_PERCENT = 100


@attrs.frozen
class _Ending:
    at_s: float
    unit: str
    failed: bool


@attrs.define
class WorkerView:
    """One worker as its agent's reports show it.

    Attributes
    ----------
    seen_s : float
        Monotonic time at which the newest report was read.
    quarantined_until_s : float
        The worker gets no new work before, since runs of several jobs
        failed there.
    stalled : bool
        Its runs have made no progress for a while.
    """

    report: WorkerReport
    seen_s: float
    quarantined_until_s: float = 0.0
    stalled: bool = False
    _endings: deque[_Ending] = attrs.Factory(deque)
    _percents: dict[tuple[str, int], int] = attrs.Factory(dict)
    _moved_s: float | None = None

    def usable(self, now_s: float) -> bool:
        """Tell whether the worker may get new work."""
        worker = self.report.worker
        return (
            worker is not None
            and self.report.answers
            and not worker.draining
            and now_s - self.seen_s <= FRESH_S
            and now_s >= self.quarantined_until_s
            and not self.stalled
        )

    def dead(self, now_s: float) -> bool:
        """Tell whether all that was ordered there has surely ended."""
        return now_s - self.seen_s > DEAD_AFTER_S

    def record_end(self, unit: str, failed: bool, now_s: float) -> bool:
        """Take in how a run ended; return True if put aside for it."""
        self._endings.append(_Ending(now_s, unit, failed))
        while self._endings[0].at_s < now_s - FAULT_WINDOW_S:
            self._endings.popleft()
        bad = {one.unit for one in self._endings if one.failed}
        good = {one.unit for one in self._endings if not one.failed}
        if not failed or len(bad) < FAULT_UNITS or len(bad) <= len(good):
            return False
        self.quarantine(now_s)
        return True

    def record_progress(
        self, running: Iterable[Run], shortest_ms: int, now_s: float
    ) -> bool:
        """Take in how far runs are; return True if they now stand still.

        Runs that have not begun to work and tasks that last tell
        nothing.

        Parameters
        ----------
        shortest_ms : int
            Least estimate of the runs; 0 if unknown.
        """
        former = self._percents
        self._percents = {
            (run.task, run.attempt): run.percent
            for run in running
            if 0 < run.percent < WHOLE_PERCENT
        }
        same = self._percents and all(
            former.get(key) == percent
            for key, percent in self._percents.items()
        )
        if not self._percents or not shortest_ms:
            self._moved_s = None
        elif not same or self._moved_s is None:
            self._moved_s = now_s
        stood_still = self.stalled
        percent_s = SLOWEST_X * shortest_ms / 1000 / WHOLE_PERCENT
        self.stalled = (
            self._moved_s is not None
            and now_s - self._moved_s >= STANDS_STILL_S + percent_s
        )
        return self.stalled and not stood_still

    def quarantine(self, now_s: float) -> None:
        """Give the worker no new work for a while."""
        self.quarantined_until_s = now_s + QUARANTINE_S
        self._endings.clear()


def is_eligible(worker: Worker, service: str, required_label: str) -> bool:
    """Tell whether a worker is one of those that a step may run on."""
    return worker.service == service and (
        not required_label or required_label in worker.labels
    )

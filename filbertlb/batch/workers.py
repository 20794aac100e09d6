"""The decider's view of each worker, built from its agent's reports."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.start_health import StartHealth
from filbertlb.batch.worker_link import CLOCK_DRIFT
from filbertlb.batch.worker_link import LEASE_S

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Set

    from filbertlb.batch.model import Run
    from filbertlb.batch.model import RunKey
    from filbertlb.batch.model import Worker
    from filbertlb.batch.model import WorkerReport

MAX_REPORT_AGE_S = 2.6
"""Maximum age of a report at which its worker still gets new work.

Agents report every second.
"""
CONTACT_LOST_S = 8.0
"""Agents extend leases for this long after their last stored report."""
DEATH_MARGIN_S = 0.5
DEAD_AFTER_S = CONTACT_LOST_S + LEASE_S * CLOCK_DRIFT + DEATH_MARGIN_S
"""Time without a report after which no run ordered there can be running.

The agent may extend leases until ``CONTACT_LOST_S``; the last lease then
runs out by a clock that may be slow.
"""

FAILURE_WINDOW_S = 15.0
MIN_FAILED_JOBS = 2
QUARANTINE_S = 8.0
MAX_QUARANTINE_SHARE = 0.5
"""Share of the workers above which no further one is quarantined.

If runs fail on most workers, the workers are hardly the cause.
"""
STALL_TIMEOUT_S = 2.5
"""Time without progress after which runs count as stalled.

The time that one percent may take is added to it.
"""
MAX_SLOWDOWN = 10
"""Maximum ratio of actual to estimated run time on a healthy worker."""
COMPLETE_PERCENT = 100


@attrs.frozen
class _RecordedEnd:
    at_s: float
    job_id: str
    failed: bool


@attrs.frozen
class SeenCheckpoint:
    """Latest checkpoint of a run in the reports.

    Parameters
    ----------
    seen_s : float
        Monotonic time of the report that listed it first.
    replaced : bool
        It replaced another one, so that it was taken shortly before that
        report. Otherwise it may be older.
    """

    saved: str
    seen_s: float
    replaced: bool


@attrs.define
class WorkerView:
    """One worker according to its agent's reports.

    Attributes
    ----------
    seen_s : float
        Monotonic time at which the newest report was read.
    starts : StartHealth
        What its runs tell about its ability to start runs.
    recent : bool
        Whether the newest report is known to be at most ``MAX_REPORT_AGE_S``
        older than ``seen_s`` says. Otherwise it may be of any age.
    quarantined_until_s : float
        Monotonic time until which the worker gets no new work because
        runs of several jobs failed there.
    stalled : bool
        None of its runs has made progress lately, so it gets no new
        work.
    silence_logged : bool
        The log tells that no report has come for some time.
    zone : str, optional
        Failure domain that a report named last. A restarted agent reports
        no worker until it announces itself; None if no report has named
        one.
    begun : set of RunKey
        Ordered runs that a report has listed. A restarted agent lists none
        until its worker has told it.
    """

    report: WorkerReport
    seen_s: float
    recent: bool = True
    starts: StartHealth = attrs.Factory(StartHealth)
    quarantined_until_s: float = 0.0
    stalled: bool = False
    silence_logged: bool = False
    zone: str | None = None
    begun: set[RunKey] = attrs.Factory(set)
    _ends: deque[_RecordedEnd] = attrs.Factory(deque)
    _percents: dict[tuple[str, int], int] = attrs.Factory(dict)
    _last_progress_s: float | None = None
    _checkpoint_by_run: dict[RunKey, SeenCheckpoint] = attrs.Factory(dict)

    def usable(self, now_s: float) -> bool:
        """Return whether the worker may get new work."""
        worker = self.report.worker
        return (
            worker is not None
            and self.report.answers
            and self.recent
            and not worker.draining
            and not self.silent(now_s)
            and now_s >= self.quarantined_until_s
            and not self.stalled
        )

    def silent(self, now_s: float) -> bool:
        """Return whether its reports are too old for new work."""
        return now_s - self.seen_s > MAX_REPORT_AGE_S

    def dead(self, now_s: float) -> bool:
        """Return whether every run ordered there must have ended."""
        return now_s - self.seen_s > DEAD_AFTER_S

    def record_begun(self, ordered: Set[RunKey]) -> None:
        """Record from the newest report which ordered runs have begun."""
        worker = self.report.worker
        if worker is not None:
            self.zone = worker.zone
        self.begun.update(run.key for run in self.report.running)
        self.begun &= ordered

    def record_end(
        self,
        job_id: str,
        failed: bool,
        now_s: float,
        may_quarantine: bool = True,
    ) -> bool:
        """Record how a run ended; return True if it causes a quarantine.

        A worker is quarantined if, within the failure window, runs of at
        least two jobs failed there and of more jobs than succeeded. Steps
        and occurrences of one job may share the cause of their failures.
        """
        self._ends.append(_RecordedEnd(now_s, job_id, failed))
        while self._ends[0].at_s < now_s - FAILURE_WINDOW_S:
            self._ends.popleft()
        failed_jobs = {end.job_id for end in self._ends if end.failed}
        succeeded_jobs = {end.job_id for end in self._ends if not end.failed}
        if (
            not failed
            or not may_quarantine
            or len(failed_jobs) < MIN_FAILED_JOBS
            or len(failed_jobs) <= len(succeeded_jobs)
        ):
            return False
        self.quarantine(now_s)
        return True

    def record_progress(
        self, running: Iterable[Run], shortest_ms: int, now_s: float
    ) -> bool:
        """Record the progress of runs; return True if they stall now.

        Runs at 0 or 100 percent are ignored: they have not begun to
        work, or belong to long-running tasks.

        Parameters
        ----------
        shortest_ms : int
            Shortest estimated run time of the runs in milliseconds; 0
            if unknown.
        """
        previous_percents = self._percents
        self._percents = {
            run.key: run.percent
            for run in running
            if 0 < run.percent < COMPLETE_PERCENT
        }
        unchanged = self._percents and all(
            previous_percents.get(key) == percent
            for key, percent in self._percents.items()
        )
        if not self._percents or not shortest_ms:
            self._last_progress_s = None
        elif not unchanged or self._last_progress_s is None:
            self._last_progress_s = now_s
        was_stalled = self.stalled
        percent_s = MAX_SLOWDOWN * shortest_ms / 1000 / COMPLETE_PERCENT
        self.stalled = (
            self._last_progress_s is not None
            and now_s - self._last_progress_s >= STALL_TIMEOUT_S + percent_s
        )
        return self.stalled and not was_stalled

    def record_checkpoints(self, running: Iterable[Run], now_s: float) -> None:
        """Record when the latest checkpoint of each run was first listed."""
        previous = self._checkpoint_by_run
        self._checkpoint_by_run = {}
        for run in running:
            seen = previous.get(run.key)
            if seen is None or seen.saved != run.saved:
                seen = SeenCheckpoint(run.saved, now_s, seen is not None)
            self._checkpoint_by_run[run.key] = seen

    def seen_checkpoint(self, key: RunKey) -> SeenCheckpoint | None:
        """Return the latest checkpoint of a run, or None if not listed."""
        return self._checkpoint_by_run.get(key)

    def quarantine(self, now_s: float) -> None:
        """Give the worker no new work for ``QUARANTINE_S``."""
        self.quarantined_until_s = now_s + QUARANTINE_S
        self._ends.clear()


def may_quarantine_one(views: Iterable[WorkerView], now_s: float) -> bool:
    """Return whether enough workers remain if one more is quarantined."""
    live = [view for view in views if not view.silent(now_s)]
    quarantined = sum(view.quarantined_until_s > now_s for view in live)
    return quarantined + 1 <= MAX_QUARANTINE_SHARE * len(live)


def has_crashed(before: WorkerReport | None, after: WorkerReport) -> bool:
    """Return whether a worker seems to have crashed between two reports.

    One that answered no longer does, or is another incarnation. One that
    drains leaves as planned, and an agent that has restarted knows nothing
    of its worker yet. Without an earlier report, one that doesn't answer
    seems to have crashed.
    """
    if before is None:
        worker = after.worker
        return worker is not None and not (after.answers or worker.draining)
    worker = before.worker
    if worker is None or worker.draining or not before.answers:
        return False
    if not after.answers or after.worker is None:
        return after.registration == before.registration
    return after.worker.incarnation != worker.incarnation


def is_eligible(worker: Worker, service: str, required_label: str) -> bool:
    """Return whether a step of a service may run on a worker."""
    return worker.service == service and (
        not required_label or required_label in worker.labels
    )

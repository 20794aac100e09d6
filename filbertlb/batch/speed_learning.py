"""Learns the speeds of workers from the runs that are observed on them."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.batch.gang_speeds import compare_members
from filbertlb.batch.gang_speeds import GangsInProgress
from filbertlb.batch.learned_statistics import run_weight
from filbertlb.batch.log_normal import log_ms
from filbertlb.batch.log_normal import LogNormal
from filbertlb.batch.model import task_group_of
from filbertlb.batch.run_track import CountedRuns
from filbertlb.batch.worker_speeds import GangRun
from filbertlb.batch.worker_speeds import MIN_SIBLINGS
from filbertlb.batch.worker_speeds import Siblings
from filbertlb.batch.worker_speeds import TimedRun
from filbertlb.batch.worker_speeds import WorkerSpeeds

if TYPE_CHECKING:
    from collections.abc import Generator
    from collections.abc import Sequence

    from filbertlb.batch.durations import ObservedRun
    from filbertlb.batch.gang_speeds import GangPaces
    from filbertlb.batch.model import RunEnd
    from filbertlb.batch.run_track import RunTrack


@attrs.define
class SpeedLearner:
    """Passes what runs show of their workers on to the speeds.

    A single task counts once, by its progress or by its end. The members of
    a gang on several workers are compared with each other as they progress;
    its end tells only of the slowest and is left out.
    """

    speeds: WorkerSpeeds
    _siblings: Siblings = attrs.Factory(Siblings)
    _counted: CountedRuns = attrs.Factory(CountedRuns)
    _gangs: GangsInProgress = attrs.Factory(GangsInProgress)

    def record_progress(
        self, task: str, track: RunTrack, expected: LogNormal | None
    ) -> bool:
        """Learn from the progress of a run that tells its worker's speed.

        Parameters
        ----------
        expected : LogNormal, optional
            Expected time on a worker of usual speed.

        Returns
        -------
        bool
            Whether it told anything new.
        """
        observed = track.observed
        total = track.total()
        if total is None or not _is_comparable(observed) or expected is None:
            return False
        track.speed_counted = True
        if observed.other_nodes:
            gang = (task_group_of(task), track.attempt)
            return self._add_member(gang, observed, total, expected)
        if not self._counted.count(task, track.attempt, observed.step):
            return False
        return self._learn(observed, total, expected)

    def record_end(
        self,
        end: RunEnd,
        observed: ObservedRun,
        expected: LogNormal | None,
    ) -> bool:
        """Learn from the time of a whole run; return whether it counted."""
        if observed.other_nodes or not _is_comparable(observed):
            return False
        if expected is None or end.run_ms is None:
            return False
        if not self._counted.count(*end.key, observed.step):
            return False
        return self._learn(
            observed, LogNormal(log_ms(end.run_ms), 0.0), expected
        )

    def settle(self, end: RunEnd) -> None:
        """Keep what a gang has shown, once one of its members has ended."""
        gang = (task_group_of(end.task), end.attempt)
        if self._gangs.paces_by_run.pop(gang, None) is not None:
            self.speeds.settle(gang)

    def _add_member(
        self,
        gang: GangRun,
        observed: ObservedRun,
        total: LogNormal,
        expected: LogNormal,
    ) -> bool:
        nodes = 1 + len(observed.other_nodes)
        run = _timed_run(observed, total)
        paces = self._gangs.add(gang, run, expected, nodes)
        oldest = self._gangs.pop_oldest()
        if oldest is not None:
            self.speeds.settle(oldest)
        if not paces.is_comparison_due():
            return False
        self._compare(gang, paces)
        return True

    def _compare(self, gang: GangRun, paces: GangPaces) -> None:
        """Learn from all members of a gang whose paces are known."""
        runs = list(paces.run_by_node.values())
        shown = compare_members(
            [LogNormal(run.log_time, run.variance) for run in runs],
            [self.speeds.relative(run.node, without=gang) for run in runs],
            paces.expected,
        )
        with self._logging(runs):
            for run, speed in zip(runs, shown, strict=True):
                self.speeds.record_in_progress(gang, run, speed)

    def _learn(
        self, observed: ObservedRun, total: LogNormal, expected: LogNormal
    ) -> bool:
        """Learn a worker's speed from the time of one run's whole work."""
        job, step = observed.job, observed.step
        run = _timed_run(observed, total)
        if step.count < MIN_SIBLINGS:
            variance = (expected.variance + total.variance) / run_weight(step)
            with self._logging([run]):
                self.speeds.record(
                    *(run.node, run.worker),
                    expected.mean - total.mean,
                    variance,
                )
            return True
        key = (job.job_id, job.steps.index(step))
        for ready in self._siblings.add(key, run):
            others = self._siblings.others(key, ready)
            with self._logging([ready]):
                self.speeds.compare(ready, others)
        return True

    @contextmanager
    def _logging(self, runs: Sequence[TimedRun]) -> Generator[None]:
        """Log which workers of some runs are in another class afterwards."""
        bands = [self.speeds.band(run.node) for run in runs]
        yield
        for run, before in zip(runs, bands, strict=True):
            band = self.speeds.band(run.node)
            if band != before:
                logger.info(
                    "worker {} of incarnation {} runs at {:.2f} of the usual "
                    "speed, class {} was {}",
                    *(run.node, run.worker.incarnation),
                    *(self.speeds.speed(run.node), band, before),
                )


def _is_comparable(observed: ObservedRun) -> bool:
    """Return whether the time of a run depends on its worker only."""
    return observed.worker is not None and observed.slowdown == 1.0


def _timed_run(observed: ObservedRun, total: LogNormal) -> TimedRun:
    assert observed.worker is not None
    return TimedRun(observed.node, observed.worker, total.mean, total.variance)

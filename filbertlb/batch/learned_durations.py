"""Expected run times learned from finished runs.

Answers callers whose estimates are wrong by factors: work is ordered by
deadlines that don't hold, and resources are kept free for runs that last
longer. The figures of a queue, refined by those of the organisation, image
and shape, are combined with the corrected estimate of the caller, each by
its reliability.
"""

from __future__ import annotations

from math import exp
from math import log
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.batch.durations import DeclaredDurations
from filbertlb.batch.durations import longest_chain_ms
from filbertlb.batch.durations import MIN_REMAINING_MS
from filbertlb.batch.durations import UNKNOWN_SPEED
from filbertlb.batch.learned_statistics import kind_key
from filbertlb.batch.learned_statistics import KindKey
from filbertlb.batch.learned_statistics import LearnedRunTimes
from filbertlb.batch.learned_statistics import MAX_KEYS
from filbertlb.batch.learned_statistics import QUEUE_VARIANCE
from filbertlb.batch.learned_statistics import run_weight
from filbertlb.batch.learned_statistics import RunTimeStatistics
from filbertlb.batch.learned_statistics import short_name
from filbertlb.batch.log_normal import log_ms
from filbertlb.batch.log_normal import LogNormal
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import task_group_of
from filbertlb.batch.run_track import CountedRuns
from filbertlb.batch.run_track import observed_last
from filbertlb.batch.run_track import RunTrack
from filbertlb.batch.speed_learning import SpeedLearner
from filbertlb.batch.worker_speeds import WorkerSpeeds

if TYPE_CHECKING:
    from collections.abc import Callable

    from filbertlb.batch.durations import ObservedRun
    from filbertlb.batch.model import Job
    from filbertlb.batch.model import Run
    from filbertlb.batch.model import RunEnd
    from filbertlb.batch.model import Step
    from filbertlb.batch.model import Worker

UPPER_QUANTILE = 0.95
"""Share of the tasks that end within the upper run time."""
MIN_WEIGHT = 0.05
"""Weight below which a lower bound tells nothing, so it is left out."""
MAX_TRACKED_RUNS = 20_000
"""Runs whose progress is known; more than a site has at a time."""
MAX_PREDICTIONS = 4096
"""Predictions of a queue, and chains of jobs, that are kept."""
REFRESH_MS = 1000
"""Age up to which predictions of other queues are used."""
LOGGED_CHANGE = log(1.25)
"""Change of the logarithm of a queue's median that is logged."""
LOG_PERIOD_MS = 5000
"""Time between two lines on one queue, which bounds the log."""
LOWER_BOUND_CAUSES = frozenset(
    (EndCause.STOPPED, EndCause.FAILED, EndCause.LOST)
)


@attrs.frozen
class Prediction:
    """Expected run time of a kind of task, and where it comes from.

    Parameters
    ----------
    distribution : LogNormal, optional
        None if neither runs nor an estimate are known.
    runs, queue_runs : int
        Observed runs of the kind, and of its queue.
    correction : float
        Factor by which the estimate is multiplied.
    estimate_share : float
        Share of the corrected estimate in the result.
    """

    distribution: LogNormal | None
    runs: int = 0
    queue_runs: int = 0
    correction: float = 1.0
    estimate_share: float = 0.0


@attrs.define
class LearnedDurations:
    """Predicts run times from observed runs and corrected estimates.

    Attributes
    ----------
    changed : bool
        Something was learned since this was last set to False.
    """

    learned: LearnedRunTimes = attrs.Factory(LearnedRunTimes)
    changed: bool = False
    _declared: DeclaredDurations = attrs.Factory(DeclaredDurations)
    _statistics: RunTimeStatistics = attrs.field(init=False)
    _speed_learner: SpeedLearner = attrs.field(init=False)
    _tracks: dict[str, RunTrack] = attrs.Factory(dict)
    _times_counted: CountedRuns = attrs.Factory(CountedRuns)
    _latest_ms: int = attrs.field(init=False)
    _logged: dict[str, tuple[float, int]] = attrs.Factory(dict)
    _refreshed_ms: int = 0
    _predictions: dict[str, dict[tuple[KindKey, int], Prediction]] = (
        attrs.Factory(dict)
    )
    _remaining: dict[str, tuple[int, int]] = attrs.Factory(dict)
    _chain_ms: dict[str, int] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        """Use the stored speeds and the time of the latest observation."""
        self._statistics = RunTimeStatistics(self.learned)
        speeds = WorkerSpeeds(self.learned.speeds)
        self._speed_learner = SpeedLearner(speeds)
        self._latest_ms = self._statistics.latest_ms()

    @property
    def speeds(self) -> WorkerSpeeds:
        """Speeds of the workers."""
        return self._speed_learner.speeds

    def expected_ms(self, job: Job, step: Step) -> int:
        """Return the median run time on a worker of usual speed."""
        distribution = self.prediction(job, step).distribution
        if distribution is None:
            return self._declared.expected_ms(job, step)
        return distribution.median_ms()

    def upper_ms(self, job: Job, step: Step) -> int:
        """Return the run time that few tasks of a step exceed."""
        distribution = self.prediction(job, step).distribution
        if distribution is None:
            return self._declared.upper_ms(job, step)
        return distribution.quantile_ms(UPPER_QUANTILE)

    def remaining_ms(
        self, job: Job, step: Step, task: str, run_ms: int
    ) -> int:
        """Return the median remaining time of a run.

        It follows from the share of work that is left and the pace so far,
        which counts the more, the more of the work was seen. Without it,
        from the run times of those that lasted as long. A gang ends with
        its slowest member.
        """
        unit = _unit_of(task, step)
        known = self._remaining.get(unit)
        if known is not None and known[0] == run_ms:
            return known[1]
        remaining_ms = max(
            self._remaining_ms(job, step, member, run_ms)
            for member in self._tracked_members(task, step)
        )
        self._remaining[unit] = (run_ms, remaining_ms)
        return remaining_ms

    def chain_ms(self, job: Job) -> int:
        """Return the expected time of the longest chain of steps."""
        chain_ms = self._chain_ms.get(job.job_id)
        if chain_ms is None:
            if len(self._chain_ms) >= MAX_PREDICTIONS:
                self._chain_ms.clear()
            chain_ms = longest_chain_ms(
                job, lambda step: self.expected_ms(job, step)
            )
            self._chain_ms[job.job_id] = chain_ms
        return chain_ms

    def speed_band(self, node: str) -> int:
        """Return 1 for a fast worker, -1 for a slow one, 0 for others."""
        return self.speeds.band(node)

    def speed(self, node: str) -> float:
        """Return the speed of a slow or fast worker; 1 for others."""
        return self.speeds.speed(node) if self.speeds.band(node) else 1.0

    def was_seen(self, node: str) -> bool:
        """Return whether a run has told anything of a worker's speed."""
        return node in self.speeds.by_node

    def log_speed_bound(self, node: str, chance: float) -> float:
        """Return the logarithm of a speed that a worker likely reaches."""
        return self.speeds.log_speed_bound(node, chance)

    def explain(self, job: Job, step: Step) -> str:
        """Return the expected run time and its origin, for log lines."""
        found = self.prediction(job, step)
        if found.distribution is None:
            return self._declared.explain(job, step)
        return (
            f"{found.distribution.median_ms()} ms, at most "
            f"{found.distribution.quantile_ms(UPPER_QUANTILE)} ms, by "
            f"{found.runs} runs of its kind and {found.queue_runs} of its "
            f"queue, estimate {step.estimate_ms} ms times "
            f"{found.correction:.2f} counts {found.estimate_share:.2f}"
        )

    def explain_speed(self, node: str) -> str:
        """Return the speed of a worker and its error, for log lines."""
        if not self.was_seen(node):
            return UNKNOWN_SPEED
        speed, deviation = self.speeds.speed(node), self.speeds.deviation(node)
        return f"{speed:.2f}+-{deviation:.2f}"

    def prediction(self, job: Job, step: Step) -> Prediction:
        """Return what is expected of the tasks of a step."""
        if step.long_running:
            return Prediction(None)
        of_queue = self._predictions.get(job.queue)
        if of_queue is None:
            of_queue = self._predictions[job.queue] = {}
        key = (kind_key(job, step), step.estimate_ms)
        found = of_queue.get(key)
        if found is None:
            if len(of_queue) >= MAX_PREDICTIONS:
                of_queue.clear()
            found = of_queue[key] = self._predict(job, step)
        return found

    def record_worker(self, node: str, worker: Worker) -> None:
        """Forget the speed of a node whose machine was replaced."""
        self.speeds.record_worker(node, worker)

    def record_progress(
        self, run: Run, run_ms: int, observe: Callable[[], ObservedRun]
    ) -> None:
        """Record the share of work that a run has done."""
        track = self._tracks.get(run.task)
        if track is None or track.attempt != run.attempt:
            if len(self._tracks) >= MAX_TRACKED_RUNS:
                self._tracks.clear()
            observed = observe()
            track = RunTrack(
                *(run.attempt, observed, run.percent, run_ms),
                *(run.percent, run_ms),
            )
            if run.percent and not observed.resumed:
                # It began about when it was ordered.
                track.first_percent = track.first_ms = 0
            self._tracks[run.task] = track
        else:
            if not track.known:
                track.observed = observe()
            track.update(run.percent, run_ms)
        self._remaining.pop(_unit_of(run.task, track.observed.step), None)
        if track.tells_speed and not track.speed_counted:
            job, step = track.observed.job, track.observed.step
            expected = self.prediction(job, step).distribution
            if self._speed_learner.record_progress(run.task, track, expected):
                self.changed = True

    def record_end(
        self, end: RunEnd, observe: Callable[[], ObservedRun], now_ms: int
    ) -> None:
        """Learn from the end of a run.

        One that was stopped, failed or was resumed from a checkpoint shows
        that the whole work takes at least as long. One whose slowdown is not
        known shows nothing.
        """
        track = self._tracks.pop(end.task, None)
        if track is not None:
            self._remaining.pop(_unit_of(end.task, track.observed.step), None)
        self._speed_learner.settle(end)
        done = end.cause is EndCause.DONE
        if end.run_ms is None or not (done or end.cause in LOWER_BOUND_CAUSES):
            return
        observed = observed_last(track, end, observe)
        if observed.step.long_running or observed.slowdown is None:
            return
        if not self._times_counted.count(*end.key, observed.step):
            return
        self._latest_ms = max(self._latest_ms, now_ms)
        value = log_ms(end.run_ms) + self._log_pace(observed)
        weight = run_weight(observed.step)
        if not done or observed.resumed:
            self._learn_bound(observed, value, weight, now_ms)
            return
        counted = track is not None and track.speed_counted
        if not counted:
            expected = self.prediction(
                observed.job, observed.step
            ).distribution
            self._speed_learner.record_end(end, observed, expected)
        self._learn(observed, value, weight, now_ms)

    def queue_times_ms(self) -> dict[str, tuple[int, int]]:
        """Return the median and the upper run time by queue."""
        return {
            queue: (found.median_ms(), found.quantile_ms(UPPER_QUANTILE))
            for queue, found in self._statistics.of_queues(
                self._latest_ms
            ).items()
        }

    def snapshot(self) -> LearnedRunTimes:
        """Return what is worth storing."""
        return attrs.evolve(self.learned, speeds=self.speeds.best_known())

    def _predict(self, job: Job, step: Step) -> Prediction:
        known = self._statistics.observed(job, step, self._latest_ms)
        observed, runs = known.distribution, known.runs
        declared, correction = None, 1.0
        if step.estimate_ms > 0:
            error = self._statistics.estimate_error(
                job.organisation, self._latest_ms
            )
            correction = exp(error.mean)
            declared = LogNormal(
                log_ms(step.estimate_ms) + error.mean, error.variance
            )
        if observed is None or declared is None:
            return Prediction(
                *(observed or declared, runs, known.queue_runs, correction),
                float(observed is None and declared is not None),
            )
        return Prediction(
            observed.combined(declared),
            *(runs, known.queue_runs, correction),
            observed.variance / (observed.variance + declared.variance),
        )

    def _remaining_ms(
        self, job: Job, step: Step, task: str, run_ms: int
    ) -> int:
        expected = self.prediction(job, step).distribution
        if expected is None:
            return self._declared.remaining_ms(job, step, task, run_ms)
        track = self._tracks.get(task)
        if track is not None:
            pace = self._log_pace(track.observed)
            expected = attrs.evolve(expected, mean=expected.mean - pace)
            observed = track.total()
            if observed is not None:
                total = expected.combined(observed)
                since_ms = run_ms - track.at_ms
                left_ms = (
                    round(track.left_share * total.median_ms()) - since_ms
                )
                return max(MIN_REMAINING_MS, left_ms)
        ended = expected.share_within(log_ms(run_ms))
        if ended > 1 - 1e-6:
            return max(MIN_REMAINING_MS, run_ms)
        total_ms = expected.quantile_ms((1 + ended) / 2)
        return max(MIN_REMAINING_MS, total_ms - run_ms)

    def _tracked_members(self, task: str, step: Step) -> list[str]:
        """Return the members of a task's gang whose progress is known.

        Without any, or without a gang, it is the task alone.
        """
        if not step.gang:
            return [task]
        group = task_group_of(task)
        members = (f"{group}.{index}" for index in range(step.count))
        return [name for name in members if name in self._tracks] or [task]

    def _log_pace(self, observed: ObservedRun) -> float:
        """Return the logarithm of a run's pace relative to a usual one."""
        log_speed = min(
            map(self.speeds.log_speed, (observed.node, *observed.other_nodes))
        )
        return log_speed - log(observed.slowdown or 1.0)

    def _learn_bound(
        self, observed: ObservedRun, bound: float, weight: float, now_ms: int
    ) -> None:
        """Learn that a run would have lasted longer than it did.

        It counts as the mean of longer runs, by the share of shorter ones: a
        run that was stopped early tells nothing.
        """
        expected = self.prediction(observed.job, observed.step).distribution
        if expected is None:
            return
        weight *= expected.share_within(bound)
        if weight >= MIN_WEIGHT:
            value = expected.mean_above(bound)
            self._learn(observed, value, weight, now_ms)

    def _learn(
        self, observed: ObservedRun, value: float, weight: float, now_ms: int
    ) -> None:
        job, step = observed.job, observed.step
        self._statistics.add(job, step, value, weight, now_ms)
        self._forget_predictions(job.queue, now_ms)
        self.changed = True
        self._log_change(short_name(job.queue), now_ms)

    def _log_change(self, queue: str, now_ms: int) -> None:
        """Log what is expected of a queue if it has changed much."""
        statistics = self.learned.queues[queue]
        logged = self._logged.get(queue)
        if logged is not None:
            mean, at_ms = logged
            change = abs(statistics.mean - mean)
            if change < LOGGED_CHANGE or now_ms - at_ms < LOG_PERIOD_MS:
                return
        if len(self._logged) >= MAX_KEYS:
            self._logged.clear()
        self._logged[queue] = (statistics.mean, now_ms)
        expected = statistics.alone(QUEUE_VARIANCE, now_ms)
        assert expected is not None
        logger.info(
            "run times of queue {}: median {} ms, at most {} ms, by {} runs "
            "that count for {:.1f}",
            *(queue, expected.median_ms()),
            expected.quantile_ms(UPPER_QUANTILE),
            *(statistics.runs, statistics.weight),
        )

    def _forget_predictions(self, queue: str, now_ms: int) -> None:
        """Drop the predictions that an observation of a queue changes.

        Those of other queues change by the errors of estimates only, and
        are kept for up to REFRESH_MS: to predict all running tasks anew
        takes most of a decision's time.
        """
        self._predictions.pop(queue, None)
        if now_ms - self._refreshed_ms >= REFRESH_MS:
            self._refreshed_ms = now_ms
            self._predictions.clear()
        self._remaining.clear()
        self._chain_ms.clear()


def _unit_of(task: str, step: Step) -> str:
    """Return what ends as one: the gang of a task, or the task itself."""
    return task_group_of(task) if step.gang else task

"""Speeds of workers, learned from the runs they had.

Answers sites whose workers run the same task in different times. The speed
of a worker is the ratio of the expected time of its runs to the observed
one, relative to the median worker: a change that shows on all workers is one
of the tasks.
"""

from __future__ import annotations

from functools import cache
from hashlib import blake2b
from math import exp
from statistics import median
from statistics import NormalDist
from typing import Annotated
from typing import TYPE_CHECKING

import attrs
from msgspec import Meta

from filbertlb.batch.log_normal import LogNormal

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from filbertlb.batch.model import Worker

PRIOR_WEIGHT = 1 / 0.3**2
"""Weight of the assumption of usual speed.

Workers of 0.6 to 1.6 of it deviate by a logarithm of 0.3 on average.
"""
MAX_WEIGHT = 1 / 0.05**2
"""Weight of the observations that are kept.

A deviation of 0.05 tells the speeds 1.0 and 1.3 apart. Speeds are not needed
more exactly, and a changed one shows after some tens of runs.
"""
MIN_VARIANCE = 0.1**2
"""Variance of one observation, at least, for delays of start and report."""
MIN_DIFFERENCE = 0.1
"""Logarithm of a speed from which a worker counts as fast or slow.

Kinds of worker differ by more; a smaller difference is not worth scattering
work for.
"""
MIN_DEVIATIONS = 2.5
"""The same in standard deviations: 1 of 80 usual workers exceeds it."""
PRIOR_WORKERS = 4
"""Workers of assumed speeds among which the known ones are counted.

Few known workers tell little of those that were never seen at work.
"""
MIN_SIBLINGS = 4
"""Runs of one step from which they are compared with each other."""
SIBLING_VARIANCE = 0.25**2
"""Variance of the logarithm of run times of the tasks of one step."""
MAX_STEPS = 1024
"""Steps whose runs are remembered for comparison."""
MAX_WORKERS = 800
"""Workers in the row: the design size. Others are learned again.

With 750 workers the row has about half of the 48 KiB that a row may have.
"""

GangRun = tuple[str, int]
"""Task group and attempt."""

SpeedSum = Annotated[float, Meta(ge=-1e4, le=1e4)]
SpeedWeight = Annotated[float, Meta(ge=0, le=1e4)]


@attrs.define
class WorkerSpeed:
    """Observed speed of one worker.

    Parameters
    ----------
    incarnation : str
        Latest known lifetime of the worker.
    kind : str
        Hardware and labels with which that lifetime began.
    weight : float
        Sum of the weights of the observations.
    total : float
        Weighted sum of the observed logarithms of its speed.
    """

    incarnation: str
    kind: str
    weight: SpeedWeight = 0.0
    total: SpeedSum = 0.0

    def add(self, log_speed: float, weight: float) -> None:
        """Add an observation; earlier ones lose weight beyond a limit."""
        kept = max(0.0, MAX_WEIGHT - weight)
        if self.weight > kept:
            self.total *= kept / self.weight
            self.weight = kept
        self.weight += weight
        self.total += weight * log_speed


@attrs.frozen
class TimedRun:
    """Time of the whole work of one run, as a logarithm.

    Parameters
    ----------
    variance : float
        Variance of the logarithm.
    """

    node: str
    worker: Worker
    log_time: float
    variance: float


@attrs.define
class Siblings:
    """Runs of the tasks of each step, which differ least among themselves.

    Times of one queue vary with the job, so a run is compared with others of
    its own step as soon as there are some.
    """

    by_step: dict[tuple[str, int], list[TimedRun]] = attrs.Factory(dict)

    def add(self, step: tuple[str, int], run: TimedRun) -> list[TimedRun]:
        """Add a run; return the runs that can be compared from now on."""
        if step not in self.by_step and len(self.by_step) >= MAX_STEPS:
            self.by_step.pop(next(iter(self.by_step)))
        runs = self.by_step.setdefault(step, [])
        runs.append(run)
        if len(runs) < MIN_SIBLINGS:
            return []
        return list(runs) if len(runs) == MIN_SIBLINGS else [run]

    def others(self, step: tuple[str, int], run: TimedRun) -> list[TimedRun]:
        """Return the runs of a step on other nodes than that of a run."""
        return [
            other for other in self.by_step[step] if other.node != run.node
        ]


@attrs.define
class WorkerSpeeds:
    """Speeds by node.

    Attributes
    ----------
    by_node : dict of str to WorkerSpeed
        What finished observations tell.
    """

    by_node: dict[str, WorkerSpeed] = attrs.Factory(dict)
    _announced: set[str] = attrs.Factory(set)
    _in_progress: dict[str, dict[GangRun, LogNormal]] = attrs.Factory(dict)
    _beliefs: dict[str, LogNormal] = attrs.Factory(dict)
    _median: float | None = None
    _bounds_by_chance: dict[float, dict[str, float]] = attrs.Factory(dict)
    _unseen_bounds: dict[float, float] = attrs.Factory(dict)

    def record_worker(self, node: str, worker: Worker) -> None:
        """Forget the speed if another kind of machine has taken the node.

        Capacity may change during a lifetime, which says nothing on speed.
        """
        if node not in self._announced:
            if len(self._announced) >= 2 * MAX_WORKERS:
                self._announced.clear()
            self._announced.add(node)
            self._forget_derived(node)
        known = self.by_node.get(node)
        if known is None or known.incarnation == worker.incarnation:
            return
        kind = worker_kind(worker)
        if known.kind == kind:
            known.incarnation = worker.incarnation
        else:
            del self.by_node[node]
            self._in_progress.pop(node, None)
            self._forget_derived(node)

    def record(
        self, node: str, worker: Worker, log_speed: float, variance: float
    ) -> None:
        """Record that one run shows a speed.

        Parameters
        ----------
        log_speed : float
            Logarithm of the ratio of expected to observed time.
        variance : float
            Variance of that logarithm if the speed were known.
        """
        known = self._known(node, worker)
        known.add(log_speed, 1 / max(MIN_VARIANCE, variance))
        self._forget_derived(node)

    def record_in_progress(
        self, gang: GangRun, run: TimedRun, speed: LogNormal
    ) -> None:
        """Replace the speed that the progress of a gang shows so far."""
        self._known(run.node, run.worker)
        variance = max(MIN_VARIANCE, speed.variance)
        self._in_progress.setdefault(run.node, {})[gang] = LogNormal(
            speed.mean, variance
        )
        self._forget_derived(run.node)

    def settle(self, gang: GangRun) -> None:
        """Keep what a gang has shown, as it shows nothing more."""
        for node, speed_by_gang in list(self._in_progress.items()):
            speed = speed_by_gang.pop(gang, None)
            if not speed_by_gang:
                del self._in_progress[node]
            if speed is not None:
                self.by_node[node].add(speed.mean, 1 / speed.variance)
                self._forget_derived(node)

    def belief(self, node: str, without: GangRun | None = None) -> LogNormal:
        """Return the logarithm of a speed, not relative to other workers.

        Parameters
        ----------
        without : GangRun, optional
            Gang whose progress is left out.
        """
        speed_by_gang = self._in_progress.get(node, {})
        if without in speed_by_gang:
            others = [
                speed
                for gang, speed in speed_by_gang.items()
                if gang != without
            ]
            return self._combined(node, others)
        belief = self._beliefs.get(node)
        if belief is None:
            belief = self._combined(node, speed_by_gang.values())
            self._beliefs[node] = belief
        return belief

    def _combined(
        self, node: str, in_progress: Iterable[LogNormal]
    ) -> LogNormal:
        """Return what finished observations and some others tell."""
        weight, total = PRIOR_WEIGHT, 0.0
        known = self.by_node.get(node)
        if known is not None:
            weight += known.weight
            total += known.total
        for speed in in_progress:
            weight += 1 / speed.variance
            total += speed.mean / speed.variance
        return LogNormal(total / weight, 1 / weight)

    def _known(self, node: str, worker: Worker) -> WorkerSpeed:
        """Return the figures of a worker, new ones if it has none."""
        self.record_worker(node, worker)
        known = self.by_node.get(node)
        if known is None:
            if len(self.by_node) >= 2 * MAX_WORKERS:
                self.by_node = self.best_known()
                self._in_progress.clear()
                self._beliefs.clear()
            known = WorkerSpeed(worker.incarnation, worker_kind(worker))
            self.by_node[node] = known
        return known

    def _forget_derived(self, node: str) -> None:
        """Drop the figures that depend on what is known of a worker."""
        self._beliefs.pop(node, None)
        self._median = None
        self._bounds_by_chance.clear()
        self._unseen_bounds.clear()

    def compare(self, run: TimedRun, others: Sequence[TimedRun]) -> None:
        """Record the speed that a run shows beside others of its step."""
        if not others:
            return
        usual = sum(
            other.log_time + self.log_speed(other.node) for other in others
        )
        self.record(
            *(run.node, run.worker),
            usual / len(others) - run.log_time,
            SIBLING_VARIANCE * (1 + 1 / len(others)) + run.variance,
        )

    def log_speed(self, node: str) -> float:
        """Return the logarithm of a worker's speed; 0 if it is unknown."""
        if node not in self.by_node:
            return 0.0
        return self.belief(node).mean - self._usual()

    def relative(self, node: str, without: GangRun | None = None) -> LogNormal:
        """Return :meth:`belief` relative to the median worker."""
        known = self.belief(node, without)
        return LogNormal(known.mean - self._usual(), known.variance)

    def deviation(self, node: str) -> float:
        """Return the standard deviation of the logarithm of a speed."""
        return self.belief(node).deviation

    def _usual(self) -> float:
        """Return the median; workers without any run count as usual."""
        if self._median is None:
            unseen = len(self._announced - self.by_node.keys())
            beliefs = [self.belief(node).mean for node in self.by_node]
            self._median = median(beliefs + [0.0] * unseen)
        return self._median

    def speed(self, node: str) -> float:
        """Return the speed relative to the median worker."""
        return exp(self.log_speed(node))

    def band(self, node: str) -> int:
        """Return 1 for fast workers, -1 for slow ones and 0 for others.

        A difference within the error of the figure does not count, as it
        would scatter work without a gain.
        """
        if node not in self.by_node:
            return 0
        log_speed = self.log_speed(node)
        certain = MIN_DEVIATIONS * self.deviation(node)
        if abs(log_speed) < max(MIN_DIFFERENCE, certain):
            return 0
        return 1 if log_speed > 0 else -1

    def log_speed_bound(self, node: str, chance: float) -> float:
        """Return the logarithm of a speed that a worker likely reaches.

        A worker that was never seen at work is as fast as the known ones
        are, in the same shares.

        Parameters
        ----------
        chance : float
            Probability that the worker is at least as fast.
        """
        bounds = self._bounds_by_chance.setdefault(chance, {})
        if node not in bounds:
            bounds[node] = (
                self._known_bound(node, chance)
                if node in self.by_node
                else self._unseen_bound(chance)
            )
        return bounds[node]

    def _known_bound(self, node: str, chance: float) -> float:
        return self.log_speed(node) + self.deviation(node) * _quantile(chance)

    def _unseen_bound(self, chance: float) -> float:
        if chance not in self._unseen_bounds:
            assumed = PRIOR_WEIGHT**-0.5 * _quantile(chance)
            bounds = sorted(
                self._known_bound(node, chance) for node in self.by_node
            )
            known = assumed
            if bounds:
                known = bounds[int((1 - chance) * len(bounds))]
            total = len(bounds) * known + PRIOR_WORKERS * assumed
            count = len(bounds) + PRIOR_WORKERS
            self._unseen_bounds[chance] = total / count
        return self._unseen_bounds[chance]

    def best_known(self) -> dict[str, WorkerSpeed]:
        """Return the speeds that are worth keeping, at most MAX_WORKERS.

        Rounded figures keep the row small.
        """
        known_by_node = {
            node: self._with_progress(node) for node in self.by_node
        }
        nodes = sorted(
            known_by_node, key=lambda node: -known_by_node[node].weight
        )
        return {
            node: attrs.evolve(
                known_by_node[node],
                weight=round(known_by_node[node].weight, 3),
                total=round(known_by_node[node].total, 3),
            )
            for node in nodes[:MAX_WORKERS]
        }

    def _with_progress(self, node: str) -> WorkerSpeed:
        """Return the figures of a worker with those of gangs in progress."""
        known = attrs.evolve(self.by_node[node])
        for speed in self._in_progress.get(node, {}).values():
            known.add(speed.mean, 1 / speed.variance)
        return known


@cache
def _quantile(chance: float) -> float:
    """Return the standard score that is exceeded with a probability."""
    return NormalDist().inv_cdf(1 - chance)


def worker_kind(worker: Worker) -> str:
    """Return a digest of what tells a machine's hardware."""
    text = repr((worker.service, worker.capacity, sorted(worker.labels)))
    return blake2b(text.encode(), digest_size=6).hexdigest()

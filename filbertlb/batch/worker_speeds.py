"""Speeds of workers, learned from the runs they had.

Answers sites whose workers run the same task in different times. The speed
of a worker is the ratio of the expected time of its runs to the observed
one, relative to the median worker: a change that shows on all workers is one
of the tasks.
"""

from __future__ import annotations

from hashlib import blake2b
from math import exp
from statistics import median
from typing import Annotated
from typing import TYPE_CHECKING

import attrs
from msgspec import Meta

if TYPE_CHECKING:
    from collections.abc import Mapping
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
MIN_SIBLINGS = 4
"""Runs of one step from which they are compared with each other."""
SIBLING_VARIANCE = 0.25**2
"""Variance of the logarithm of run times of the tasks of one step."""
MAX_STEPS = 1024
"""Steps whose runs are remembered for comparison."""
SLOWEST_PREFERENCE = 100
"""Higher than the class of any speed."""
MAX_WORKERS = 800
"""Workers in the row: the design size. Others are learned again.

With 750 workers the row has about half of the 48 KiB that a row may have.
"""

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

    @property
    def log_speed(self) -> float:
        """Logarithm of the speed, not yet relative to other workers."""
        return self.total / (PRIOR_WEIGHT + self.weight)

    @property
    def deviation(self) -> float:
        """Standard deviation of ``log_speed``."""
        return float((PRIOR_WEIGHT + self.weight) ** -0.5)


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
    """Speeds by node."""

    by_node: dict[str, WorkerSpeed] = attrs.Factory(dict)
    _median: float | None = None

    def record_worker(self, node: str, worker: Worker) -> None:
        """Forget the speed if another kind of machine has taken the node.

        Capacity may change during a lifetime, which says nothing on speed.
        """
        known = self.by_node.get(node)
        if known is None or known.incarnation == worker.incarnation:
            return
        kind = worker_kind(worker)
        if known.kind == kind:
            known.incarnation = worker.incarnation
        else:
            del self.by_node[node]
            self._median = None

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
        self.record_worker(node, worker)
        known = self.by_node.get(node)
        if known is None:
            if len(self.by_node) >= 2 * MAX_WORKERS:
                self.by_node = self.best_known()
            known = WorkerSpeed(worker.incarnation, worker_kind(worker))
            self.by_node[node] = known
        weight = 1 / max(MIN_VARIANCE, variance)
        kept = max(0.0, MAX_WEIGHT - weight)
        if known.weight > kept:
            known.total *= kept / known.weight
            known.weight = kept
        known.weight += weight
        known.total += weight * log_speed
        self._median = None

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
        known = self.by_node.get(node)
        if known is None:
            return 0.0
        if self._median is None:
            self._median = median(
                speed.log_speed for speed in self.by_node.values()
            )
        return known.log_speed - self._median

    def speed(self, node: str) -> float:
        """Return the speed relative to the median worker."""
        return exp(self.log_speed(node))

    def band(self, node: str) -> int:
        """Return 1 for fast workers, -1 for slow ones and 0 for others.

        A difference within the error of the figure does not count, as it
        would scatter work without a gain.
        """
        known = self.by_node.get(node)
        if known is None:
            return 0
        log_speed = self.log_speed(node)
        certain = MIN_DEVIATIONS * known.deviation
        if abs(log_speed) < max(MIN_DIFFERENCE, certain):
            return 0
        return 1 if log_speed > 0 else -1

    def best_known(self) -> dict[str, WorkerSpeed]:
        """Return the speeds that are worth keeping, at most MAX_WORKERS.

        Rounded figures keep the row small.
        """
        nodes = sorted(
            self.by_node, key=lambda node: -self.by_node[node].weight
        )
        return {
            node: attrs.evolve(
                self.by_node[node],
                weight=round(self.by_node[node].weight, 3),
                total=round(self.by_node[node].total, 3),
            )
            for node in nodes[:MAX_WORKERS]
        }


def worker_kind(worker: Worker) -> str:
    """Return a digest of what tells a machine's hardware."""
    text = repr((worker.service, worker.capacity, sorted(worker.labels)))
    return blake2b(text.encode(), digest_size=6).hexdigest()


def preference_by_node(
    band_by_node: Mapping[str, int], prefers_fast: bool
) -> dict[str, int]:
    """Return the order of nodes that fit equally well; lower is better.

    Work that is in no hurry takes workers of usual speed, so that fast ones
    stay free, and slow ones last.
    """
    if prefers_fast:
        return {node: -band for node, band in band_by_node.items()}
    return {
        node: band if band >= 0 else SLOWEST_PREFERENCE
        for node, band in band_by_node.items()
    }


def parts_of_equal_speed(
    node_groups: Sequence[Sequence[str]], band_by_node: Mapping[str, int]
) -> list[Sequence[str]]:
    """Return the parts of groups of nodes, the fastest first.

    A gang runs at the pace of its slowest member.
    """
    parts: dict[tuple[int, int], list[str]] = {}
    for number, nodes in enumerate(node_groups):
        for node in nodes:
            key = (-band_by_node[node], number)
            parts.setdefault(key, []).append(node)
    return [parts[key] for key in sorted(parts)]

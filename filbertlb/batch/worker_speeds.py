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
    from collections.abc import Sequence

    from filbertlb.batch.model import Worker

PRIOR_WEIGHT = 1 / 0.3**2
"""Weight of the assumption of usual speed.

Workers of 0.6 to 1.6 of it deviate by a logarithm of 0.3 on average.
"""
MAX_WEIGHT = 100.0
"""Weight of the observations that are kept: a deviation of 0.1.

Speeds are never needed more exactly, and a changed one shows after a few
runs.
"""
MIN_VARIANCE = 0.1**2
"""Variance of one observation, at least, for delays of start and report."""
BAND_WIDTH = 0.25
"""Logarithm of the ratio of two speeds that count as different."""
MAX_WORKERS = 400
"""Workers in the row, which holds 48 KiB; others are learned again."""

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
        """Return the class of speed; higher is faster, 0 is usual."""
        return round(self.log_speed(node) / BAND_WIDTH)

    def best_known(self) -> dict[str, WorkerSpeed]:
        """Return the speeds that are worth keeping, at most MAX_WORKERS."""
        nodes = sorted(
            self.by_node, key=lambda node: -self.by_node[node].weight
        )
        return {node: self.by_node[node] for node in nodes[:MAX_WORKERS]}


def worker_kind(worker: Worker) -> str:
    """Return a digest of what tells a machine's hardware."""
    text = repr((worker.service, worker.capacity, sorted(worker.labels)))
    return blake2b(text.encode(), digest_size=6).hexdigest()


def split_by_speed(
    node_groups: Sequence[Sequence[str]], band_by_node: dict[str, int]
) -> list[Sequence[str]]:
    """Return parts of equal speed, the fastest first, then the groups.

    A gang runs at the pace of its slowest member.
    """
    parts: list[Sequence[str]] = []
    for band in sorted(set(band_by_node.values()), reverse=True):
        for nodes in node_groups:
            part = [node for node in nodes if band_by_node[node] == band]
            if part and len(part) < len(nodes):
                parts.append(part)
    return [*parts, *node_groups]

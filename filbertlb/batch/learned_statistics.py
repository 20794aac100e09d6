"""Statistics of run times by queue and by kind of task, and of estimates.

A kind of task is told by its organisation, queue, image and needs. The
statistics are the value of a row, so their number and the lengths of their
names are bounded.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.log_normal import log_ms
from filbertlb.batch.log_normal import LogNormal
from filbertlb.batch.log_normal import LogStatistics
from filbertlb.batch.worker_speeds import WorkerSpeed

if TYPE_CHECKING:
    from collections.abc import Set

    from filbertlb.batch.model import Job
    from filbertlb.batch.model import Step

ESTIMATE_VARIANCE = 0.7**2
"""Variance of the logarithmic error of estimates, until it is learned.

Callers' estimates are often wrong by a factor of two.
"""
QUEUE_VARIANCE = 0.5**2
"""Variance of the logarithm of run times of a queue, until it is learned.

It is less than that of estimates, as the tasks of one queue are alike.
"""
TASK_CORRELATION = 0.5
"""Correlation of the run times of tasks of one step.

Any number of them counts for at most two independent runs.
"""
MAX_KEYS = 64
"""Statistics that are kept: of queues, kinds of task and organisations."""
MAX_NAME_CHARS = 48
"""Longer names are shortened by a digest, which bounds the row."""
MAX_CACHED_KINDS = 4096
"""Kinds of task whose distributions are kept."""
ALL_CALLERS = ""
QUEUES, KINDS, ERRORS = range(3)
"""Positions of the tables of statistics."""
_NOTHING = LogStatistics()
KindKey = tuple[str, str, str, int, int]
"""Organisation, queue, image, accelerators and millicores."""


@attrs.define
class LearnedRunTimes:
    """What was learned; value of the row that the decider hands on.

    Parameters
    ----------
    queues, kinds, errors : dict of str to LogStatistics
        Run times by queue and by kind of task, and ratios of run times to
        estimates by organisation, all on a worker of usual speed.
    speeds : dict of str to WorkerSpeed
        Speeds of workers by node.
    """

    queues: dict[str, LogStatistics] = attrs.Factory(dict)
    kinds: dict[str, LogStatistics] = attrs.Factory(dict)
    errors: dict[str, LogStatistics] = attrs.Factory(dict)
    speeds: dict[str, WorkerSpeed] = attrs.Factory(dict)


@attrs.frozen
class ObservedTimes:
    """Run times observed of a kind of task.

    Parameters
    ----------
    distribution : LogNormal, optional
        None if no run of the queue is known.
    runs, queue_runs : int
        Observed runs of the kind, and of its queue.
    """

    distribution: LogNormal | None
    runs: int
    queue_runs: int


@attrs.define
class RunTimeStatistics:
    """Adds observed runs to statistics and derives distributions from them."""

    learned: LearnedRunTimes
    _observed_by_kind: dict[KindKey, ObservedTimes] = attrs.Factory(dict)
    _error_by_caller: dict[str, LogNormal] = attrs.Factory(dict)

    def latest_ms(self) -> int:
        """Return the time of the latest observation, 0 without any."""
        return max((known.at_ms for known in self._all()), default=0)

    def estimate_error(self, organisation: str, now_ms: int) -> LogNormal:
        """Return the ratio of run times to the estimates of a caller."""
        error = self._error_by_caller.get(organisation)
        if error is None:
            error = LogNormal(0.0, ESTIMATE_VARIANCE)
            for key in (ALL_CALLERS, short_name(organisation)):
                known = self.learned.errors.get(key, _NOTHING)
                error = known.refined(error, now_ms)
            self._error_by_caller[organisation] = error
        return error

    def observed(self, job: Job, step: Step, now_ms: int) -> ObservedTimes:
        """Return the run times that were observed of a step's kind."""
        key = kind_key(job, step)
        found = self._observed_by_kind.get(key)
        if found is None:
            if len(self._observed_by_kind) >= MAX_CACHED_KINDS:
                self._observed_by_kind.clear()
            queue = self.learned.queues.get(short_name(job.queue), _NOTHING)
            kind = self.learned.kinds.get(_kind_name(key), _NOTHING)
            distribution = queue.alone(QUEUE_VARIANCE, now_ms)
            if distribution is not None:
                distribution = kind.refined(distribution, now_ms)
            found = ObservedTimes(distribution, kind.runs, queue.runs)
            self._observed_by_kind[key] = found
        return found

    def of_queues(self, now_ms: int) -> dict[str, LogNormal]:
        """Return the distributions of run times by queue."""
        distributions = {
            queue: statistics.alone(QUEUE_VARIANCE, now_ms)
            for queue, statistics in self.learned.queues.items()
        }
        return {
            queue: found
            for queue, found in distributions.items()
            if found is not None
        }

    def add(
        self, job: Job, step: Step, value: float, weight: float, now_ms: int
    ) -> None:
        """Add the logarithm of one run time."""
        value_by_key = {
            (QUEUES, short_name(job.queue)): value,
            (KINDS, _kind_name(kind_key(job, step))): value,
        }
        if step.estimate_ms > 0:
            error = value - log_ms(step.estimate_ms)
            for caller in (ALL_CALLERS, short_name(job.organisation)):
                value_by_key[ERRORS, caller] = error
        tables = self._tables()
        for (table, key), new in value_by_key.items():
            statistics = tables[table].setdefault(key, LogStatistics())
            statistics.add(new, weight, now_ms)
        self._evict(value_by_key.keys(), now_ms)
        self._observed_by_kind.clear()
        self._error_by_caller.clear()

    def _tables(self) -> tuple[dict[str, LogStatistics], ...]:
        """Return the statistics in the order of QUEUES, KINDS and ERRORS."""
        learned = self.learned
        return (learned.queues, learned.kinds, learned.errors)

    def _all(self) -> list[LogStatistics]:
        return [
            statistics
            for by_key in self._tables()
            for statistics in by_key.values()
        ]

    def _evict(self, current: Set[tuple[int, str]], now_ms: int) -> None:
        """Drop the statistics with the least weight until few are left.

        Parameters
        ----------
        current : set of tuple
            Table and key of what the present observation has updated, which
            stays.
        """
        excess = len(self._all()) - MAX_KEYS
        if excess <= 0:
            return
        others = [
            (statistics.weight_at(now_ms), number, key)
            for number, by_key in enumerate(self._tables())
            for key, statistics in by_key.items()
            if (number, key) not in current
        ]
        for _, number, key in sorted(others)[:excess]:
            del self._tables()[number][key]


def run_weight(step: Step) -> float:
    """Return the weight of one run; members of a gang end as one."""
    others = 0 if step.gang else step.count - 1
    return 1 / (1 + TASK_CORRELATION * others)


def kind_key(job: Job, step: Step) -> KindKey:
    """Return what tells the kind of a step's tasks."""
    accelerators, millicores, _ = step.needs
    return (
        *(job.organisation, job.queue, short_name(step.image)),
        *(accelerators, millicores),
    )


def short_name(name: str) -> str:
    """Return a name of bounded length under which statistics are stored."""
    if len(name) <= MAX_NAME_CHARS:
        return name
    digest = blake2b(name.encode(), digest_size=8).hexdigest()
    return name[: MAX_NAME_CHARS - len(digest)] + digest


def _kind_name(key: KindKey) -> str:
    """Return the name under which a kind of task is stored."""
    *names, accelerators, millicores = key
    return "/".join((*map(short_name, names), f"{accelerators}x{millicores}"))

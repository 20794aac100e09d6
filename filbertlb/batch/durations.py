"""Expected run times of tasks: the interface and the declared figures."""

from __future__ import annotations

from enum import StrEnum
from typing import Protocol
from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.step_chains import longest_chains_ms

if TYPE_CHECKING:
    from collections.abc import Callable

    from filbertlb.batch.model import Job
    from filbertlb.batch.model import Run
    from filbertlb.batch.model import RunEnd
    from filbertlb.batch.model import Step
    from filbertlb.batch.model import Worker

MAX_DURATION_FACTOR = 2.0
"""Assumed maximum duration of a task, as a multiple of its estimate."""
MIN_REMAINING_MS = 500
"""Assumed remaining time of runs that exceed their estimate."""
UNKNOWN_SPEED = "not seen"
"""What log lines tell of a worker that was never seen at work."""


class RunTimes(StrEnum):
    """Source of the expected run times."""

    DECLARED = "declared"
    LEARNED = "learned"


@attrs.frozen
class ObservedRun:
    """Circumstances of a run whose time is observed.

    Parameters
    ----------
    node : str
        Node of its worker.
    worker : Worker, optional
        The worker; None if it is not known.
    slowdown : float, optional
        Known ratio of its run time to that near its data and within one
        rack; None if it depends on a rack that is not known.
    resumed : bool
        It began from a checkpoint, so it does only a part of the work.
    other_nodes : tuple of str
        Nodes of the other members of its gang, without its own.
    """

    job: Job
    step: Step
    node: str
    worker: Worker | None = None
    slowdown: float | None = 1.0
    resumed: bool = False
    other_nodes: tuple[str, ...] = ()


class DurationModel(Protocol):
    """Predicts how long tasks run, in milliseconds."""

    def expected_ms(self, job: Job, step: Step) -> int:
        """Return the expected run time of one task."""

    def upper_ms(self, job: Job, step: Step) -> int:
        """Return a run time that few tasks of a step exceed."""

    def remaining_ms(
        self, job: Job, step: Step, task: str, run_ms: int
    ) -> int:
        """Return the expected remaining time of a run that began before.

        Parameters
        ----------
        run_ms : int
            Time since the run was ordered.
        """

    def chain_ms(self, job: Job) -> int:
        """Return the expected time of a job's steps, for its objective."""

    def speed_band(self, node: str) -> int:
        """Return 1 for a fast worker, -1 for a slow one, 0 for others."""

    def was_seen(self, node: str) -> bool:
        """Return whether a run has told anything of a worker's speed."""

    def log_speed_bound(self, node: str, chance: float) -> float:
        """Return the logarithm of a speed that a worker likely reaches.

        Parameters
        ----------
        chance : float
            Probability that the worker is at least as fast.
        """

    def explain(self, job: Job, step: Step) -> str:
        """Return the expected run time and its origin, for log lines."""

    def explain_speed(self, node: str) -> str:
        """Return what is known of a worker's speed, for log lines."""

    def record_worker(self, node: str, worker: Worker) -> None:
        """Record what a worker announces about itself."""

    def record_progress(
        self, run: Run, run_ms: int, observe: Callable[[], ObservedRun]
    ) -> None:
        """Record the share of work that a run has done.

        Parameters
        ----------
        run_ms : int
            Time from the order of the run until the report.
        observe : callable
            Returns the circumstances; called once for each run.
        """

    def record_end(
        self, end: RunEnd, observe: Callable[[], ObservedRun], now_ms: int
    ) -> None:
        """Record the end of a run."""


@attrs.frozen
class DeclaredDurations:
    """Predicts run times from the estimates that callers declare."""

    def expected_ms(self, job: Job, step: Step) -> int:
        """Return the declared run time."""
        return step.estimate_ms

    def upper_ms(self, job: Job, step: Step) -> int:
        """Return a multiple of the declared run time."""
        return int(MAX_DURATION_FACTOR * step.estimate_ms)

    def remaining_ms(
        self, job: Job, step: Step, task: str, run_ms: int
    ) -> int:
        """Return the rest of the declared run time."""
        return max(MIN_REMAINING_MS, step.estimate_ms - run_ms)

    def chain_ms(self, job: Job) -> int:
        """Return the sum of the declared run times of all steps."""
        return sum(step.estimate_ms for step in job.steps)

    def speed_band(self, node: str) -> int:
        """Return the same class for all workers."""
        return 0

    def was_seen(self, node: str) -> bool:
        """Return that no speed is learned."""
        return False

    def log_speed_bound(self, node: str, chance: float) -> float:
        """Return the same bound for all workers."""
        return 0.0

    def explain(self, job: Job, step: Step) -> str:
        """Return the declared run time."""
        return f"{step.estimate_ms} ms as declared"

    def explain_speed(self, node: str) -> str:
        """Return that no speed is known."""
        return UNKNOWN_SPEED

    def record_worker(self, node: str, worker: Worker) -> None:
        """Ignore the worker."""

    def record_progress(
        self, run: Run, run_ms: int, observe: Callable[[], ObservedRun]
    ) -> None:
        """Ignore the progress of a run."""

    def record_end(
        self, end: RunEnd, observe: Callable[[], ObservedRun], now_ms: int
    ) -> None:
        """Ignore the end of a run."""


def longest_chain_ms(job: Job, expected_ms: Callable[[Step], int]) -> int:
    """Return the time of the longest chain of steps that need each other.

    Steps that need each other in a circle never run and are left out.
    """
    chains_ms = longest_chains_ms(
        [step.after for step in job.steps],
        lambda index: expected_ms(job.steps[index]),
    )
    return max((0, *chains_ms.values()))

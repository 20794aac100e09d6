"""Work and chains of run times of a job."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.step_chains import longest_chains_ms
from filbertlb.batch.work import core_seconds

if TYPE_CHECKING:
    from filbertlb.batch.durations import DurationModel
    from filbertlb.batch.model import Job
    from filbertlb.batch.model import Step

LASTING_RUN_MS = 60_000
"""Run time that a run until cancelled counts as, since it has no end."""
MIN_RUN_MS = 100
"""Shortest run time assumed, as starting a run takes part of a worker too."""
MIN_CORES = 0.1
"""Smallest need assumed, so that no work is free."""
MIN_OBJECTIVE_MS = 1000
"""Shortest objective assumed, for jobs without an estimate."""


@attrs.frozen
class JobShape:
    """What is left of a job from each of its steps on.

    Parameters
    ----------
    objective_ms : int
        Time within which the job is on time.
    work : float
        Work of all steps in core-seconds.
    rest_ms : tuple of int
        Longest chain of run times from the start of each step.
    rest_work : tuple of float
        Work of each step and of all that depend on it, in core-seconds.
    """

    objective_ms: int
    work: float
    rest_ms: tuple[int, ...]
    rest_work: tuple[float, ...]


def shape_of(job: Job, durations: DurationModel) -> JobShape:
    """Return what is left of a job from each of its steps on.

    Steps that depend on each other in a circle are never ready. The work of
    each counts once; their chains are walks along the circle.
    """
    dependents = _dependents(job)
    own_ms = [
        0 if step.long_running else run_ms(job, step, durations)
        for step in job.steps
    ]
    own_work = [step_work(job, step, durations) for step in job.steps]
    rest_ms = _rest_ms(dependents, own_ms)
    objective_ms = job.target_ms + int(job.slack_factor * max(rest_ms))
    return JobShape(
        max(MIN_OBJECTIVE_MS, objective_ms),
        sum(own_work),
        tuple(rest_ms),
        tuple(
            sum(own_work[index] for index in _reached(dependents, first))
            for first in range(len(job.steps))
        ),
    )


def _dependents(job: Job) -> list[list[int]]:
    """Return for each step those that wait for it."""
    numbers = range(len(job.steps))
    return [
        [later for later in numbers if index in job.steps[later].after]
        for index in numbers
    ]


def _reached(dependents: list[list[int]], first: int) -> list[int]:
    """Return a step and all that depend on it."""
    reached = [first]
    for index in reached:
        reached += [
            later for later in dependents[index] if later not in reached
        ]
    return reached


def _rest_ms(dependents: list[list[int]], own_ms: list[int]) -> list[int]:
    """Return the longest chain of run times from the start of each step."""
    chains_ms = longest_chains_ms(dependents, own_ms.__getitem__)
    if len(chains_ms) < len(own_ms):
        return _rest_with_circles_ms(dependents, own_ms)
    return [chains_ms[index] for index in range(len(own_ms))]


def _rest_with_circles_ms(
    dependents: list[list[int]], own_ms: list[int]
) -> list[int]:
    """Return the longest walks of as many steps as there are, or fewer."""
    rest_ms = [0] * len(own_ms)
    for _ in own_ms:
        rest_ms = [
            own_ms[index] + max((rest_ms[later] for later in after), default=0)
            for index, after in enumerate(dependents)
        ]
    return rest_ms


def run_ms(job: Job, step: Step, durations: DurationModel) -> int:
    """Return the run time that a task of a step counts as."""
    if step.long_running:
        return LASTING_RUN_MS
    return max(MIN_RUN_MS, durations.expected_ms(job, step))


def step_work(job: Job, step: Step, durations: DurationModel) -> float:
    """Return the work of a step in core-seconds; never 0.

    A task that needs neither cores nor accelerators counts as one of
    ``MIN_CORES``.
    """
    work = core_seconds(step, step.count, run_ms(job, step, durations))
    return max(work, MIN_CORES * MIN_RUN_MS / 1000)

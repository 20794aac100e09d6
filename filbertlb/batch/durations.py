"""Expected run times of tasks."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from filbertlb.batch.model import Job
    from filbertlb.batch.model import Step

MAX_DURATION_FACTOR = 2.0
"""Assumed maximum duration of a task, as a multiple of its estimate."""
MIN_REMAINING_MS = 500
"""Assumed remaining time of runs that exceed their estimate."""


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

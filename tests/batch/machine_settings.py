"""Settings that the stateful tests of the scheduler share."""

from __future__ import annotations

from hypothesis import Phase
from hypothesis import settings


def machine_settings(max_examples):
    """Return settings that draw the same examples in each run."""
    return settings(
        derandomize=True,
        # Shrinking a failing run takes longer than the time limit of a test,
        # which then hides the failure.
        phases=(Phase.explicit, Phase.generate),
        max_examples=max_examples,
        stateful_step_count=30,
        deadline=None,
    )

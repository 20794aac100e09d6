"""What the runs of a worker tell about its ability to start runs.

A run that fails as soon as it has started says more about its worker than
about its task: most tasks that fail by their own fault have worked before. A
run that was ordered later and goes on, or is done, shows the opposite.
"""

from __future__ import annotations

import attrs

EARLY_FAILURE_MS = 1000
"""Time after its start within which a failed run puts its worker on probation.

Runs that fail by their own fault rarely do so that soon.
"""
SURVIVAL_MS = 1500
"""Time after its order from which a run counts as one that has not failed.

It covers ``EARLY_FAILURE_MS`` and the time until the worker has the run.
"""
MIN_PROBE_DELAY_S = 1.0
"""Time after a first early failure until a worker on probation gets a run.

It doubles with each further one in a row.
"""
MAX_PROBE_DELAY_S = 4.0
COSTLY_PROBE_DELAY_S = 8.0
"""The same for a task that could not fail twice more.

If it also fails once by its own fault, its job is given up.
"""
PROBATION_S = 15.0
"""Time without another early failure after which a probation ends.

Retries avoid the worker for as long, whatever else has started there: a
worker that fails a part of what it starts passes one now and then.
"""
PROOF_MAX_AGE_MS = 5000
"""Age up to which the start of a run that has not failed proves a worker."""


@attrs.define
class StartHealth:
    """Newest evidence for and against one worker.

    Attributes
    ----------
    failed_s : float
        Monotonic time of the newest early failure.
    failed_order_ms : float
        Time at which that run was ordered, Unix milliseconds.
    survived_order_ms : float
        Time at which the newest run was ordered that has not failed.
    failures_in_row : int
        Orders with an early failure since a run has not failed. Runs that
        were ordered together count once.
    """

    failed_s: float = float("-inf")
    failed_order_ms: float = float("-inf")
    survived_order_ms: float = float("-inf")
    failures_in_row: int = 0

    def record_failure(
        self, order_ms: int, run_ms: int | None, now_s: float
    ) -> bool:
        """Record that a run failed; return whether it failed early.

        Parameters
        ----------
        order_ms : int
            Time at which the run was ordered.
        run_ms : int, optional
            Time for which it lasted; None if unknown.
        """
        if run_ms is None or run_ms > EARLY_FAILURE_MS:
            return False
        self.failed_s = now_s
        if order_ms > self.failed_order_ms:
            self.failed_order_ms = order_ms
            self.failures_in_row += 1
        return True

    def record_survival(self, order_ms: int) -> None:
        """Record that a run did not fail, or not soon after its start."""
        self.survived_order_ms = max(self.survived_order_ms, order_ms)
        if self.survived_order_ms >= self.failed_order_ms:
            self.failures_in_row = 0

    def on_probation(self, now_s: float) -> bool:
        """Return whether the worker has to show that it starts runs."""
        return (
            self.failed_lately(now_s)
            and self.survived_order_ms < self.failed_order_ms
        )

    def may_probe(self, now_s: float, costly: bool) -> bool:
        """Return whether a worker on probation may get a run again.

        Parameters
        ----------
        costly : bool
            The run's task could not fail twice more.
        """
        delay_s = MIN_PROBE_DELAY_S * 2 ** max(0, self.failures_in_row - 1)
        delay_s = min(delay_s, MAX_PROBE_DELAY_S)
        if costly:
            delay_s = COSTLY_PROBE_DELAY_S
        return now_s - self.failed_s >= delay_s

    def failed_lately(self, now_s: float) -> bool:
        """Return whether retries should avoid the worker."""
        return now_s - self.failed_s < PROBATION_S

    def is_proven(self, now_ms: int) -> bool:
        """Return whether the worker has lately started a run that goes on."""
        return now_ms - self.survived_order_ms <= PROOF_MAX_AGE_MS

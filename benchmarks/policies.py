"""What a replay asks of a policy."""

from __future__ import annotations

from typing import Protocol

from filbertlb.core.scheduling import SchedulingPolicy


class QueueingPolicy(SchedulingPolicy, Protocol):
    """A policy that tells cheaply whether a job waits."""

    def is_queued(self, job_id: str) -> bool:
        """Tell whether a job waits."""
        ...

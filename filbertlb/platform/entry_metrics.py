"""What the metrics page of an entry shows."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from filbertlb.batch.model import JobState
from filbertlb.batch.queue_report import WaitReason
from filbertlb.batch.standing_report import STAND_REASONS
from filbertlb.metrics_page import GrowthSampler

if TYPE_CHECKING:
    from filbertlb.batch.decider import Decider
    from filbertlb.batch.index import JobIndex
    from filbertlb.metrics import Metrics
    from filbertlb.platform.configuration_source import ConfigurationSource
    from filbertlb.platform.evacuation import EvacuationReader


class JobSampler:
    """Shows the jobs that an entry knows."""

    def __init__(self, index: JobIndex) -> None:
        self._index = index

    def sample(self, metrics: Metrics) -> None:
        """Set the gauges."""
        index = self._index
        counts = Counter(index.state(job_id) for job_id in index.jobs)
        metrics.queued_jobs.set(counts[JobState.QUEUED])
        metrics.running_jobs.set(counts[JobState.ACTIVE])


class DeciderSampler:
    """Shows what the decider of an entry does.

    Parameters
    ----------
    scope : str
        Scope of the decider's lease.
    """

    def __init__(self, decider: Decider, scope: str) -> None:
        self._decider = decider
        self._scope = scope
        self._lost_work = GrowthSampler("cause")
        self._failed_jobs = GrowthSampler("cause")
        self._run_ends = GrowthSampler("cause")
        self._late_ends = GrowthSampler("cause")
        self._failed_runs = GrowthSampler("unit")
        self._stands = GrowthSampler("reason")

    def sample(self, metrics: Metrics) -> None:
        """Set the gauges, and add to the counters what is new."""
        decider = self._decider
        waiting = decider.waiting_groups
        for reason in WaitReason:
            metrics.waiting_groups.set(
                waiting.get(reason.value, 0), {"reason": reason.value}
            )
        standing = decider.standing_tasks
        for name in STAND_REASONS:
            metrics.standing_tasks.set(standing.get(name, 0), {"reason": name})
        self._stands.sample(metrics.stands, decider.stands)
        metrics.leader.set(int(decider.deciding), {"scope": self._scope})
        self._lost_work.sample(metrics.lost_core_seconds, decider.lost_core_s)
        self._failed_jobs.sample(metrics.failed_jobs, decider.failed_jobs)
        self._run_ends.sample(metrics.run_ends, decider.run_ends)
        self._late_ends.sample(metrics.late_ends, decider.late_ends)
        self._failed_runs.sample(metrics.failed_runs, decider.failed_runs)
        decider.sample(metrics)


class ConfigurationSampler:
    """Shows the configuration in force and the newest one heard of."""

    def __init__(
        self,
        source: ConfigurationSource,
        evacuations: EvacuationReader | None,
    ) -> None:
        self._source = source
        self._evacuations = evacuations

    def sample(self, metrics: Metrics) -> None:
        """Set the gauges."""
        source = self._source
        metrics.revision.set(source.in_force.version)
        metrics.revision_row.set(source.exchange.version)
        metrics.heard_revision_row.set(source.exchange.heard_version)
        if self._evacuations is not None:
            current = self._evacuations.current()
            metrics.evacuated_domains.set(len(current.version_by_domain))

"""Checks against the workers that a configuration names.

They need no running worker, so entries refuse what can never be before
they accept it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from filbertlb.core.cluster import Cluster
from filbertlb.core.scheduling import GuaranteeRefusedError
from filbertlb.scheduling.admission import check_job
from filbertlb.scheduling.guaranteed import GuaranteedScheduler

if TYPE_CHECKING:
    from filbertlb.core.model import JobSpec
    from filbertlb.core.site import SiteConfig


def broken_guarantees(config: SiteConfig) -> list[str]:
    """Return the guarantees that the configured racks can't hold.

    Nothing is checked while no rack is configured.
    """
    workers = config.expected_workers()
    if not workers:
        return []
    scheduler = GuaranteedScheduler(config.scheduler)
    for worker in workers:
        scheduler.add_worker(worker, 0.0)
    try:
        scheduler.set_organisations(config.model_organisations(), 0.0)
    except GuaranteeRefusedError as error:
        return [error.message]
    return []


class JobChecker:
    """Refuses jobs that can never run on what is configured.

    Parameters
    ----------
    config : SiteConfig
        The configuration in force.
    """

    def __init__(self, config: SiteConfig) -> None:
        self._cluster = Cluster()
        self._organisation_by_id = {
            item.organisation_id: item for item in config.model_organisations()
        }
        for worker in config.expected_workers():
            self._cluster.add(worker)

    def check(self, job: JobSpec) -> None:
        """Check one job.

        Raises
        ------
        ImpossibleJobError
            If it can never run; nothing is checked while no rack is
            configured.
        """
        if self._cluster.by_id:
            organisation = self._organisation_by_id.get(job.organisation_id)
            check_job(self._cluster, organisation, job)

"""Refuses jobs against the workers that a configuration names.

It needs no running worker, so that entries refuse what can never run
before they accept it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from filbertlb.core.cluster import Cluster
from filbertlb.scheduling.admission import check_job

if TYPE_CHECKING:
    from filbertlb.core.model import JobSpec
    from filbertlb.core.site import SiteConfig


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

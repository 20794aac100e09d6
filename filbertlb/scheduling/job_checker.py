"""Checks jobs against the workers that a configuration expects.

The check does not depend on which workers are online, so that entries
can refuse an impossible job before they accept it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from filbertlb.core.cluster import Cluster
from filbertlb.scheduling.admission import check_job

if TYPE_CHECKING:
    from filbertlb.core.model import JobSpec
    from filbertlb.core.site import SiteConfig


class JobChecker:
    """Refuses jobs that can never run on the configured workers.

    Parameters
    ----------
    config : SiteConfig
        Configuration in force.
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

        Without configured racks there is nothing to check against and
        every job passes.

        Raises
        ------
        ImpossibleJobError
            If the job can never run.
        """
        if self._cluster.by_id:
            organisation = self._organisation_by_id.get(job.organisation_id)
            check_job(self._cluster, organisation, job)

"""Workers as their agents announce them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.core.gang_plan import GangMember
from filbertlb.core.gang_recovery import AgentReport
from filbertlb.core.model import Worker

if TYPE_CHECKING:
    from filbertlb.messages import Announce


@attrs.define
class WorkerView:
    """Newest announcements of a scope's workers.

    Parameters
    ----------
    announce_by_id : dict of str to Announce
        By endpoint.
    """

    announce_by_id: dict[str, Announce] = attrs.Factory(dict)

    def take(self, announce: Announce) -> bool:
        """Keep an announcement; tell whether the worker has changed."""
        known = self.announce_by_id.get(announce.endpoint_id)
        self.announce_by_id[announce.endpoint_id] = announce
        if known is None or known.draining != announce.draining:
            return True
        return worker_of(known) != worker_of(announce)

    def drop(self, endpoint_id: str) -> bool:
        """Forget a worker; tell whether it was known."""
        return self.announce_by_id.pop(endpoint_id, None) is not None

    def members(self, worker_ids: tuple[str, ...]) -> tuple[GangMember, ...]:
        """Return the agents of workers as they are now."""
        return tuple(
            GangMember(worker_id, self.announce_by_id[worker_id].incarnation)
            for worker_id in worker_ids
        )

    def reports(self) -> dict[str, AgentReport]:
        """Return what the agents say of their members, by endpoint."""
        return {
            endpoint_id: AgentReport(announce.incarnation, announce.tasks)
            for endpoint_id, announce in self.announce_by_id.items()
        }


def worker_of(announce: Announce) -> Worker:
    """Return the worker that an announcement describes."""
    return Worker(
        announce.endpoint_id,
        announce.rack,
        announce.failure_domain,
        announce.capacity,
        announce.region,
    )

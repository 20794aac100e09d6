"""Workers of a scope, as last announced by their agents."""

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
    """Latest announcement of each worker of a scope.

    Parameters
    ----------
    announce_by_id : dict of str to Announce
        Announcements by endpoint ID.
    """

    announce_by_id: dict[str, Announce] = attrs.Factory(dict)

    def update(self, announce: Announce) -> bool:
        """Store an announcement; return whether the worker has changed."""
        known = self.announce_by_id.get(announce.endpoint_id)
        self.announce_by_id[announce.endpoint_id] = announce
        if known is None or known.draining != announce.draining:
            return True
        return worker_from_announce(known) != worker_from_announce(announce)

    def remove(self, endpoint_id: str) -> bool:
        """Remove a worker; return whether it was known."""
        return self.announce_by_id.pop(endpoint_id, None) is not None

    def gang_members(
        self, worker_ids: tuple[str, ...]
    ) -> tuple[GangMember, ...]:
        """Return gang members with the current incarnations of the agents."""
        return tuple(
            GangMember(worker_id, self.announce_by_id[worker_id].incarnation)
            for worker_id in worker_ids
        )

    def agent_reports(self) -> dict[str, AgentReport]:
        """Return the agents' reports on their members, by endpoint ID."""
        return {
            endpoint_id: AgentReport(announce.incarnation, announce.tasks)
            for endpoint_id, announce in self.announce_by_id.items()
        }


def worker_from_announce(announce: Announce) -> Worker:
    """Return the worker that an announcement describes."""
    return Worker(
        announce.endpoint_id,
        announce.rack,
        announce.failure_domain,
        announce.capacity,
        announce.region,
    )

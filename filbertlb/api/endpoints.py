"""HTTP routes of operators about runners and workers."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from filbertlb.api.app import Access
from filbertlb.api.app import Route
from filbertlb.api.calls import json_reply
from filbertlb.core.audit import AuditEvent
from filbertlb.core.audit import AuditOutcome
from filbertlb.errors import ConflictError
from filbertlb.errors import NotFoundError
from filbertlb.messages import Drain
from filbertlb.messages import Refused

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from filbertlb.api.calls import Call
    from filbertlb.api.calls import Reply
    from filbertlb.core.clock import Clock
    from filbertlb.core.members import Member
    from filbertlb.core.membership import EndpointTable
    from filbertlb.messages import Announce
    from filbertlb.table.audit import AuditLog

DRAIN_TIMEOUT_S = 5.0
DRAIN = "endpoint.drain"


class EndpointNotFoundError(NotFoundError):
    """No such endpoint has announced itself to this instance."""

    code = "endpoint_not_found"


class DrainRefusedError(ConflictError):
    """The endpoint's agent refused to drain, as after its restart."""

    code = "drain_refused"


class EndpointRoutes:
    """Handlers of ``/v1/endpoints``.

    Parameters
    ----------
    endpoints : EndpointTable
        The endpoints known here.
    ask : callable
        Sends a message to an address and returns the answer that comes
        within a time in seconds.
    audit : AuditLog
        The audit trail.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        endpoints: EndpointTable,
        ask: Callable[[str, Any, float], Any],
        audit: AuditLog,
        clock: Clock,
    ) -> None:
        self._endpoints = endpoints
        self._ask = ask
        self._audit = audit
        self._clock = clock

    def routes(self) -> Iterable[Route]:
        """Return the routes of the group."""
        operator = Access.OPERATOR
        drain = "/v1/endpoints/<path:endpoint_id>/drain"
        return (
            Route("GET", "/v1/endpoints", operator, self._list),
            Route("POST", drain, operator, self._drain),
        )

    def _list(self, call: Call) -> Reply:
        now_s = self._clock.monotonic()
        member_by_id = self._endpoints.members.by_id
        views = [
            _view(announce, member_by_id[name], now_s)
            for name, announce in sorted(
                self._endpoints.announce_by_id.items()
            )
        ]
        return json_reply({"endpoints": views})

    def _drain(self, call: Call) -> Reply:
        endpoint_id = call.params["endpoint_id"]
        announce = self._endpoints.announce_by_id.get(endpoint_id)
        if announce is None:
            raise EndpointNotFoundError(
                f"there is no endpoint {endpoint_id!r}; see 'filbertlb "
                "endpoint list'"
            )
        actor = call.identity.name
        # A drain without its entry in the trail must not happen.
        self._record(actor, endpoint_id, AuditOutcome.ACCEPTED)
        order = Drain(endpoint_id, announce.incarnation)
        answer = self._ask(announce.address, order, DRAIN_TIMEOUT_S)
        if isinstance(answer, Refused):
            self._record(
                actor, endpoint_id, AuditOutcome.REFUSED, answer.message
            )
            raise DrainRefusedError(answer.message)
        return json_reply(
            {"endpoint_id": endpoint_id, "incarnation": announce.incarnation}
        )

    def _record(
        self,
        actor: str,
        endpoint_id: str,
        outcome: AuditOutcome,
        detail: str = "",
    ) -> None:
        self._audit.record(
            AuditEvent(
                at_s=self._clock.wall(),
                actor=actor,
                action=DRAIN,
                subject=endpoint_id,
                outcome=outcome,
                detail=detail,
            )
        )


def _view(announce: Announce, member: Member, now_s: float) -> dict[str, Any]:
    """Return what operators are shown about an endpoint."""
    return {
        "endpoint_id": announce.endpoint_id,
        "role": announce.role,
        "region": announce.region,
        "failure_domain": announce.failure_domain,
        "rack": announce.rack,
        "state": member.state,
        "incarnation": announce.incarnation,
        "revision": announce.revision,
        "slots": announce.slots,
        "in_flight": announce.in_flight,
        "capacity": announce.capacity,
        "tasks": [
            {
                "job_id": status.job_id,
                "organisation_id": status.organisation_id,
                "member": status.token.member,
                "phase": status.phase,
            }
            for status in announce.tasks
        ],
        "heard_ago_s": round(now_s - member.heard_at_s, 3),
    }

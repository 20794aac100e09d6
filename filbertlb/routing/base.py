"""Interface of the policies that choose an endpoint for a request."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence
    from random import Random

MAX_ANNOUNCEMENT_AGE_S = 6.0


@attrs.frozen
class EndpointView:
    """What an entry knows about one endpoint at this moment.

    Parameters
    ----------
    endpoint_id : str
        Name of the endpoint.
    failure_domain : str
        Failure domain of the endpoint.
    slots : int
        Requests that it runs at once.
    announced_in_flight : int
        Requests of all entries in its last announcement.
    local_in_flight : int
        Requests that this entry has there now.
    latency_s : float
        Smoothed time from dispatch to answer in seconds; 0 if unknown.
    draining : bool
        It is leaving and takes no new work.
    quarantined : bool
        It fails what it is given and gets probes only.
    announcement_age_s : float
        Seconds since its last announcement was received.
    """

    endpoint_id: str
    failure_domain: str
    slots: int
    announced_in_flight: int = 0
    local_in_flight: int = 0
    latency_s: float = 0.0
    draining: bool = False
    quarantined: bool = False
    announcement_age_s: float = 0.0


class RoutingPolicy(Protocol):
    """Chooses where a request goes."""

    def choose(
        self, endpoints: Sequence[EndpointView], rng: Random
    ) -> EndpointView | None:
        """Return one of the endpoints, or None if there are none.

        Parameters
        ----------
        endpoints : sequence of EndpointView
            Endpoints that may take the request; see ``eligible``.
        rng : Random
            Source of every random choice.
        """
        ...


def eligible(
    endpoints: Iterable[EndpointView],
    avoid: frozenset[str] = frozenset(),
    max_age_s: float = MAX_ANNOUNCEMENT_AGE_S,
) -> list[EndpointView]:
    """Return the endpoints that may take new work.

    Parameters
    ----------
    endpoints : iterable of EndpointView
        All known endpoints.
    avoid : frozenset of str
        Endpoints that this request has tried.
    max_age_s : float
        Age in seconds beyond which an announcement proves nothing.
    """
    return [
        endpoint
        for endpoint in endpoints
        if not endpoint.draining
        and not endpoint.quarantined
        and endpoint.slots > 0
        and endpoint.announcement_age_s <= max_age_s
        and endpoint.endpoint_id not in avoid
    ]

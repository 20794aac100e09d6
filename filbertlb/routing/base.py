"""Common interface of the load-balancing policies."""

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
    """Snapshot of one endpoint as seen by an entry.

    Parameters
    ----------
    endpoint_id : str
        Identifier of the endpoint.
    failure_domain : str
        Failure domain of the endpoint.
    slots : int
        Number of requests that the endpoint runs concurrently.
    announced_in_flight : int
        In-flight requests from all entries, as of the last announcement.
    local_in_flight : int
        In-flight requests from this entry, counted locally.
    latency_s : float
        Moving average of the time from dispatch to answer, in seconds;
        0 if unknown.
    draining : bool
        Whether the endpoint is shutting down and accepts no new requests.
    quarantined : bool
        Whether the endpoint gets only probe requests because earlier
        requests failed on it.
    announcement_age_s : float
        Seconds since the last announcement was received.
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
    """Chooses the endpoint for each request."""

    def choose(
        self, endpoints: Sequence[EndpointView], rng: Random
    ) -> EndpointView | None:
        """Return one of the endpoints, or None if there are none.

        Parameters
        ----------
        endpoints : sequence of EndpointView
            Candidates for the request; see ``eligible``.
        rng : Random
            Random number generator for all random choices.
        """
        ...


def eligible(
    endpoints: Iterable[EndpointView],
    avoid: frozenset[str] = frozenset(),
    max_age_s: float = MAX_ANNOUNCEMENT_AGE_S,
) -> list[EndpointView]:
    """Return the endpoints that accept new requests.

    Parameters
    ----------
    endpoints : iterable of EndpointView
        All known endpoints.
    avoid : frozenset of str
        Endpoints that the request has already tried.
    max_age_s : float
        Maximum age of an announcement in seconds; an endpoint whose last
        announcement is older is treated as unavailable.
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

"""Routing to the endpoint with the lowest announced load."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from filbertlb.routing.base import EndpointView


@attrs.define
class LeastLoaded:
    """Chooses by announced load, regardless of its age."""

    def choose(
        self, endpoints: Sequence[EndpointView], rng: Random
    ) -> EndpointView | None:
        """Return the endpoint with the lowest announced load."""
        return min(endpoints, key=_load, default=None)


def _load(endpoint: EndpointView) -> tuple[float, str]:
    load = endpoint.announced_in_flight / endpoint.slots
    return load, endpoint.endpoint_id

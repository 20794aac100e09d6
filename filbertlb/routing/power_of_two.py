"""Routing by the power of two random choices."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from filbertlb.routing.base import EndpointView

SAMPLE_SIZE = 2


@attrs.define
class PowerOfTwo:
    """Compares two random endpoints by requests in flight per slot.

    The announced or the local count is used, whichever is higher.
    """

    def choose(
        self, endpoints: Sequence[EndpointView], rng: Random
    ) -> EndpointView | None:
        """Return the less loaded of two random endpoints."""
        if not endpoints:
            return None
        sampled = rng.sample(endpoints, min(SAMPLE_SIZE, len(endpoints)))
        return min(sampled, key=_load)


def _load(endpoint: EndpointView) -> float:
    in_flight = max(endpoint.announced_in_flight, endpoint.local_in_flight)
    return in_flight / endpoint.slots

"""Routing to the less loaded of two random endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from filbertlb.routing.base import EndpointView

CHOICES = 2


@attrs.define
class PowerOfTwo:
    """Compares two endpoints by what was announced or sent there."""

    def choose(
        self, endpoints: Sequence[EndpointView], rng: Random
    ) -> EndpointView | None:
        """Return the less loaded of two random endpoints."""
        if not endpoints:
            return None
        drawn = rng.sample(endpoints, min(CHOICES, len(endpoints)))
        return min(drawn, key=_load)


def _load(endpoint: EndpointView) -> float:
    in_flight = max(endpoint.announced_in_flight, endpoint.local_in_flight)
    return in_flight / endpoint.slots

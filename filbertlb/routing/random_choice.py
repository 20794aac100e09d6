"""Routing to any endpoint with equal probability."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from filbertlb.routing.base import EndpointView


@attrs.define
class RandomChoice:
    """Ignores load, latency and failure domain."""

    def choose(
        self, endpoints: Sequence[EndpointView], rng: Random
    ) -> EndpointView | None:
        """Return one of the endpoints, or None if there are none."""
        return rng.choice(endpoints) if endpoints else None

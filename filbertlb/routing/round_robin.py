"""Round-robin routing."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from filbertlb.routing.base import EndpointView


@attrs.define
class RoundRobin:
    """Cycles through the endpoints in order of their identifiers."""

    _last_id: str = ""

    def choose(
        self, endpoints: Sequence[EndpointView], rng: Random
    ) -> EndpointView | None:
        """Return the endpoint that follows the last one chosen."""
        if not endpoints:
            return None
        ordered = sorted(endpoints, key=lambda endpoint: endpoint.endpoint_id)
        following = (
            endpoint
            for endpoint in ordered
            if endpoint.endpoint_id > self._last_id
        )
        chosen = next(following, ordered[0])
        self._last_id = chosen.endpoint_id
        return chosen

"""Routing to each endpoint in turn."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from filbertlb.routing.base import EndpointView


@attrs.define
class RoundRobin:
    """Takes the endpoints in order of their names."""

    _last_id: str = ""

    def choose(
        self, endpoints: Sequence[EndpointView], rng: Random
    ) -> EndpointView | None:
        """Return the endpoint after the last one."""
        if not endpoints:
            return None
        ordered = sorted(endpoints, key=lambda one: one.endpoint_id)
        later = (one for one in ordered if one.endpoint_id > self._last_id)
        chosen = next(later, ordered[0])
        self._last_id = chosen.endpoint_id
        return chosen

"""Routing to near endpoints, and to far ones when that is faster."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from filbertlb.routing.base import EndpointView

CHOICES = 3
HOP_S = 0.001
UNKNOWN_LATENCY_S = 0.05
HALF_LIFE_S = 1.0


@attrs.define
class NearFirst:
    """Compares the expected times of a few near and a few far endpoints.

    Only a random sample is compared, so that entries with the same
    announcements do not choose the same endpoint. What others had in
    flight counts less the older the announcement is; what this entry
    has in flight is exact and counts in full.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the entry.
    hop_s : float
        Extra time of a round trip to another failure domain in seconds.
    choices : int
        Endpoints compared on each side.
    half_life_s : float
        Age in seconds at which an announced load counts half.
    """

    failure_domain: str
    hop_s: float = HOP_S
    choices: int = CHOICES
    half_life_s: float = HALF_LIFE_S

    def choose(
        self, endpoints: Sequence[EndpointView], rng: Random
    ) -> EndpointView | None:
        """Return the endpoint with the least expected time."""
        if not endpoints:
            return None
        typical_load = sum(map(_announced, endpoints)) / len(endpoints)
        drawn = self._draw(endpoints, rng)
        return min(drawn, key=lambda one: self._expected_s(one, typical_load))

    def _draw(
        self, endpoints: Sequence[EndpointView], rng: Random
    ) -> list[EndpointView]:
        near = [one for one in endpoints if self._is_near(one)]
        far = [one for one in endpoints if not self._is_near(one)]
        return [
            *rng.sample(near, min(self.choices, len(near))),
            *rng.sample(far, min(self.choices, len(far))),
        ]

    def _is_near(self, endpoint: EndpointView) -> bool:
        return endpoint.failure_domain == self.failure_domain

    def _expected_s(
        self, endpoint: EndpointView, typical_load: float
    ) -> float:
        run_s = endpoint.latency_s or UNKNOWN_LATENCY_S
        load = self._load(endpoint, typical_load)
        # A request waits once all slots are taken; below that, load
        # breaks ties so that slots fill evenly.
        wait_s = run_s * (max(0.0, load - 1) + load * load)
        hop_s = 0.0 if self._is_near(endpoint) else self.hop_s
        return run_s + wait_s + hop_s

    def _load(self, endpoint: EndpointView, typical_load: float) -> float:
        trust = 0.5 ** (endpoint.announced_age_s / self.half_life_s)
        announced = _announced(endpoint)
        believed = trust * announced + (1 - trust) * typical_load
        local = endpoint.local_in_flight / endpoint.slots
        return max(believed, local)


def _announced(endpoint: EndpointView) -> float:
    return endpoint.announced_in_flight / endpoint.slots

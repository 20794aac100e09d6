"""Routing to near endpoints, and to far ones when that is faster."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from filbertlb.routing.base import EndpointView

CHOICES = 2
HOP_S = 0.001
UNKNOWN_LATENCY_S = 0.05
SLOW_FACTOR = 1.5
HALF_LIFE_S = 0.2


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
        load = sum(map(_of_others, endpoints)) / len(endpoints)
        known = [one.latency_s for one in endpoints if one.latency_s]
        latency_s = median(known) if known else UNKNOWN_LATENCY_S
        drawn = self._draw(endpoints, rng)
        return min(
            drawn, key=lambda one: self._expected_s(one, load, latency_s)
        )

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
        self, endpoint: EndpointView, typical_load: float, typical_s: float
    ) -> float:
        # Requests differ in length, so only a large difference in
        # latency is the endpoint's own.
        run_s = typical_s
        if endpoint.latency_s > typical_s * SLOW_FACTOR:
            run_s = endpoint.latency_s
        load = self._load(endpoint, typical_load)
        # A request waits once all slots are taken; below that, load
        # breaks ties so that slots fill evenly.
        wait_s = run_s * (max(0.0, load - 1) + load * load)
        hop_s = 0.0 if self._is_near(endpoint) else self.hop_s
        return run_s + wait_s + hop_s

    def _load(self, endpoint: EndpointView, typical_load: float) -> float:
        trust = 0.5 ** (endpoint.announcement_age_s / self.half_life_s)
        others = _of_others(endpoint)
        believed = trust * others + (1 - trust) * typical_load
        return believed + endpoint.local_in_flight / endpoint.slots


def _of_others(endpoint: EndpointView) -> float:
    others = endpoint.announced_in_flight - endpoint.local_in_flight
    return max(0, others) / endpoint.slots

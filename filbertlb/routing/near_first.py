"""Locality-aware routing that spills over to other failure domains."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from filbertlb.routing.base import EndpointView

SAMPLE_SIZE = 2
CROSS_DOMAIN_RTT_S = 0.001
DEFAULT_LATENCY_S = 0.05
SLOW_FACTOR = 1.5
LOAD_HALF_LIFE_S = 0.2


@attrs.define
class NearFirst:
    """Compares expected latencies of sampled near and far endpoints.

    Near endpoints are those in the failure domain of the entry. Only a
    random sample is compared, so that entries with the same announcements
    do not all choose the same endpoint. The announced load from other
    entries is weighted less the older the announcement is; the requests
    that this entry has in flight are known exactly and count in full.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the entry.
    cross_domain_rtt_s : float
        Additional round-trip time to another failure domain in seconds.
    sample_size : int
        Maximum number of near endpoints, and of far ones, to compare.
    load_half_life_s : float
        Age in seconds at which an announced load is weighted by half;
        the rest of the weight goes to the mean load.
    """

    failure_domain: str
    cross_domain_rtt_s: float = CROSS_DOMAIN_RTT_S
    sample_size: int = SAMPLE_SIZE
    load_half_life_s: float = LOAD_HALF_LIFE_S

    def choose(
        self, endpoints: Sequence[EndpointView], rng: Random
    ) -> EndpointView | None:
        """Return the sampled endpoint with the lowest expected latency."""
        if not endpoints:
            return None
        load = sum(map(_load_from_others, endpoints)) / len(endpoints)
        known_latencies_s = [
            endpoint.latency_s for endpoint in endpoints if endpoint.latency_s
        ]
        latency_s = (
            median(known_latencies_s)
            if known_latencies_s
            else DEFAULT_LATENCY_S
        )
        sampled = self._sample(endpoints, rng)
        return min(
            sampled,
            key=lambda endpoint: self._expected_latency_s(
                endpoint, load, latency_s
            ),
        )

    def _sample(
        self, endpoints: Sequence[EndpointView], rng: Random
    ) -> list[EndpointView]:
        near = [endpoint for endpoint in endpoints if self._is_near(endpoint)]
        far = [
            endpoint for endpoint in endpoints if not self._is_near(endpoint)
        ]
        return [
            *rng.sample(near, min(self.sample_size, len(near))),
            *rng.sample(far, min(self.sample_size, len(far))),
        ]

    def _is_near(self, endpoint: EndpointView) -> bool:
        return endpoint.failure_domain == self.failure_domain

    def _expected_latency_s(
        self,
        endpoint: EndpointView,
        typical_load: float,
        typical_latency_s: float,
    ) -> float:
        # Request durations vary, so only a latency well above the median
        # is attributed to the endpoint.
        service_s = typical_latency_s
        if endpoint.latency_s > typical_latency_s * SLOW_FACTOR:
            service_s = endpoint.latency_s
        load = self._load(endpoint, typical_load)
        # Requests queue once all slots are in use (load above 1). The
        # quadratic term spreads requests evenly below that.
        wait_s = service_s * (max(0.0, load - 1) + load * load)
        extra_rtt_s = (
            0.0 if self._is_near(endpoint) else self.cross_domain_rtt_s
        )
        return service_s + wait_s + extra_rtt_s

    def _load(self, endpoint: EndpointView, typical_load: float) -> float:
        confidence = 0.5 ** (
            endpoint.announcement_age_s / self.load_half_life_s
        )
        others = _load_from_others(endpoint)
        estimated = confidence * others + (1 - confidence) * typical_load
        return estimated + endpoint.local_in_flight / endpoint.slots


def _load_from_others(endpoint: EndpointView) -> float:
    others = endpoint.announced_in_flight - endpoint.local_in_flight
    return max(0, others) / endpoint.slots

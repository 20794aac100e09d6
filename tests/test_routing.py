from __future__ import annotations

from collections import Counter
from random import Random

import attrs
import pytest

from filbertlb.routing.base import eligible
from filbertlb.routing.base import EndpointView
from filbertlb.routing.latency import LatencyAverage
from filbertlb.routing.least_loaded import LeastLoaded
from filbertlb.routing.near_first import NearFirst
from filbertlb.routing.power_of_two import PowerOfTwo
from filbertlb.routing.random_choice import RandomChoice
from filbertlb.routing.round_robin import RoundRobin

IDLE = EndpointView("r", "split-a", 8, latency_s=0.05)


def _endpoints(near, far):
    return [
        *(attrs.evolve(near, endpoint_id=f"n{n}") for n in range(5)),
        *(
            attrs.evolve(far, endpoint_id=f"f{n}", failure_domain="zadar-c")
            for n in range(5)
        ),
    ]


def _near_share(near, far):
    policy = NearFirst("split-a")
    rng = Random(1)
    endpoints = _endpoints(near, far)
    chosen_ids = [
        policy.choose(endpoints, rng).endpoint_id for _ in range(200)
    ]
    return sum(name.startswith("n") for name in chosen_ids) / len(chosen_ids)


@pytest.mark.parametrize(
    ("near", "far", "at_least", "at_most"),
    [
        (IDLE, IDLE, 1.0, 1.0),
        (attrs.evolve(IDLE, announced_in_flight=12), IDLE, 0.0, 0.0),
        (attrs.evolve(IDLE, local_in_flight=12), IDLE, 0.0, 0.0),
        (attrs.evolve(IDLE, latency_s=0.5), IDLE, 0.0, 0.0),
        # All endpoints overloaded: the cross-domain round trip decides.
        (
            attrs.evolve(IDLE, announced_in_flight=12),
            attrs.evolve(IDLE, announced_in_flight=12),
            1.0,
            1.0,
        ),
    ],
)
def test_near_first_spills_to_far_endpoints(near, far, at_least, at_most):
    assert at_least <= _near_share(near, far) <= at_most


@pytest.mark.parametrize(
    ("policy", "herds"),
    [
        (RandomChoice(), False),
        (RoundRobin(), False),
        (LeastLoaded(), True),
        (PowerOfTwo(), False),
        (NearFirst("split-a"), False),
    ],
)
def test_stale_load_does_not_herd(policy, herds):
    """Old announcements must not attract most requests to one endpoint.

    Announcements that are 4 s old show one endpoint idle and the others
    busy. Of the policies, only the least-loaded one herds.
    """
    busy = attrs.evolve(IDLE, announced_in_flight=6, announcement_age_s=4.0)
    endpoints = [attrs.evolve(busy, endpoint_id=f"r{n}") for n in range(10)]
    endpoints[0] = attrs.evolve(endpoints[0], announced_in_flight=0)
    rng = Random(2)
    chosen = Counter(
        policy.choose(endpoints, rng).endpoint_id for _ in range(500)
    )
    assert (chosen["r0"] > 250) is herds
    assert policy.choose([], rng) is None


def test_eligible():
    endpoints = [
        attrs.evolve(IDLE, endpoint_id="ok"),
        attrs.evolve(IDLE, endpoint_id="tried"),
        attrs.evolve(IDLE, endpoint_id="leaving", draining=True),
        attrs.evolve(IDLE, endpoint_id="bad", quarantined=True),
        attrs.evolve(IDLE, endpoint_id="gone", announcement_age_s=7.0),
        attrs.evolve(IDLE, endpoint_id="none", slots=0),
    ]
    found = eligible(endpoints, avoid=frozenset({"tried"}))
    assert [endpoint.endpoint_id for endpoint in found] == ["ok"]


def test_latency_average_expires():
    average = LatencyAverage(weight=0.2)
    average.add(1.0, 0.0)
    average.add(2.0, 1.0)
    assert average.value_s(2.0) == pytest.approx(1.2)
    assert average.value_s(12.0) == 0.0
    average.add(0.1, 13.0)
    assert average.value_s(13.0) == pytest.approx(0.1)

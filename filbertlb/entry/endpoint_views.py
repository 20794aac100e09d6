"""Routing views of runners: announced state and local measurements."""

from __future__ import annotations

from collections import defaultdict
from contextlib import contextmanager
from typing import TYPE_CHECKING

from filbertlb.core.endpoint_health import EndpointHealth
from filbertlb.messages import Role
from filbertlb.routing.base import eligible
from filbertlb.routing.base import EndpointView
from filbertlb.routing.latency import LatencyAverage

if TYPE_CHECKING:
    from collections.abc import Iterator
    from random import Random

    from filbertlb.core.clock import Clock
    from filbertlb.entry.directory import Directory
    from filbertlb.entry.directory import KnownEndpoint
    from filbertlb.messages import Announce
    from filbertlb.routing.base import RoutingPolicy


class RunnerChooser:
    """Chooses runners and tracks their health, load and latency.

    Parameters
    ----------
    directory : Directory
        Endpoints known to this entry.
    policy : RoutingPolicy
        Chooses among the eligible runners.
    rng : random.Random
        Source of the policy's random choices.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        directory: Directory,
        policy: RoutingPolicy,
        rng: Random,
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._policy = policy
        self._rng = rng
        self._clock = clock
        self._in_flight_by_id: dict[str, int] = defaultdict(int)
        self._health = EndpointHealth()
        self._latency_by_id: dict[str, LatencyAverage] = {}

    def choose(
        self, avoid: frozenset[str], *, may_probe: bool = False
    ) -> Announce | None:
        """Return the announcement of a runner, or None.

        Parameters
        ----------
        avoid : frozenset of str
            Runners that the request has already tried.
        may_probe : bool
            Whether the request may probe a runner that was set aside.
        """
        now_s = self._clock.monotonic()
        known_by_id = {
            known.announce.endpoint_id: known
            for known in self._directory.endpoints(Role.RUNNER)
        }
        probed = self._health.start_probe(now_s) if may_probe else None
        if probed in known_by_id:
            return known_by_id[probed].announce
        views = [self._view(known, now_s) for known in known_by_id.values()]
        chosen = self._policy.choose(eligible(views, avoid), self._rng)
        if chosen is None:
            return None
        return known_by_id[chosen.endpoint_id].announce

    def succeeded(self, endpoint_id: str) -> None:
        """Record that a runner answered a request successfully."""
        self._health.succeeded(endpoint_id)

    def failed(self, endpoint_id: str, request_id: str) -> None:
        """Record that a request failed on a runner."""
        self._health.failed(
            endpoint_id,
            request_id,
            len(self._directory.endpoints(Role.RUNNER)),
            self._clock.monotonic(),
            self._rng,
        )

    def address_of(self, endpoint_id: str) -> str | None:
        """Return the address of an endpoint, or None if unknown."""
        return self._directory.address_of(endpoint_id)

    @contextmanager
    def counting_in_flight(self, endpoint_id: str) -> Iterator[None]:
        """Count a request as in flight while the block runs."""
        self._in_flight_by_id[endpoint_id] += 1
        try:
            yield
        finally:
            self._in_flight_by_id[endpoint_id] -= 1

    def answered(self, endpoint_id: str, started_s: float) -> None:
        """Record the latency of a complete answer.

        Refusals and missing answers are not recorded: a runner that fails
        quickly would appear fast.

        Parameters
        ----------
        started_s : float
            Monotonic time of the dispatch in seconds.
        """
        now_s = self._clock.monotonic()
        average = self._latency_by_id.setdefault(endpoint_id, LatencyAverage())
        average.add(now_s - started_s, now_s)

    def _view(self, known: KnownEndpoint, now_s: float) -> EndpointView:
        announce = known.announce
        average = self._latency_by_id.get(announce.endpoint_id)
        return EndpointView(
            endpoint_id=announce.endpoint_id,
            failure_domain=announce.failure_domain,
            slots=announce.slots,
            announced_in_flight=announce.in_flight,
            local_in_flight=self._in_flight_by_id[announce.endpoint_id],
            latency_s=average.value_s(now_s) if average else 0.0,
            draining=announce.draining,
            quarantined=self._health.is_set_aside(announce.endpoint_id),
            announcement_age_s=now_s - known.heard_at_s,
        )

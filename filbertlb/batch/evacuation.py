"""Failure domains that an operator has asked to evacuate.

Answers a request that arrives while work is being placed: the domain gets
no new work until the request is withdrawn, and its share of new work then
grows in steps, since workers that were left alone may be slow at first.
Time and the requests are passed in; nothing is read here.
"""

from __future__ import annotations

from math import ceil
from typing import Protocol
from typing import TYPE_CHECKING

import attrs
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Mapping

    from filbertlb.batch.model import Worker

MAX_AGE_SHARE = 0.5
"""Age of the requests, as a share of the time in which they must hold, from
which no new work is placed.

The rest is left for writing an order and for the agent, which carries it out
or refuses it within 2 s.
"""
RETURN_STEPS = 4
MIN_RETURN_S = 3.0
"""Time until a domain gets its full share again.

Two heartbeat periods, so that each worker has told by then how long it is
cold.
"""
MAX_RETURN_S = 10.0
"""Longest such time, whatever the workers tell about themselves."""


@attrs.define
class _Return:
    """A domain in use again whose share of new work still grows."""

    since_s: float
    duration_s: float = MIN_RETURN_S


@attrs.define
class Evacuations:
    """Evacuated failure domains, and those that return to use.

    By default there are none and there can be none, as in a deployment
    without evacuation.

    Attributes
    ----------
    max_age_s : float
        Age of the known requests from which no work may be placed.
    complete_s : float
        Monotonic time up to which all requests are known.
    version_by_domain : dict of str to int
        Version of the request for each evacuated domain.
    """

    max_age_s: float = float("inf")
    complete_s: float = float("inf")
    version_by_domain: dict[str, int] = attrs.Factory(dict)
    _returns: dict[str, _Return] = attrs.Factory(dict)

    def request(self, domain: str, version: int) -> None:
        """Record that a row requests the evacuation of a domain."""
        known = self.version_by_domain.get(domain)
        self.version_by_domain[domain] = version
        self._returns.pop(domain, None)
        if known is None:
            logger.warning(
                "failure domain {} evacuated by the request of version {}",
                *(domain, version),
            )

    def withdraw(self, domain: str, now_s: float) -> None:
        """Record that the request for a domain has been deleted."""
        version = self.version_by_domain.pop(domain, None)
        if version is None:
            return
        self._returns[domain] = _Return(now_s)
        logger.info(
            "failure domain {} in use again, the request of version {} is "
            "deleted: its share of new work grows in {} steps",
            *(domain, version, RETURN_STEPS),
        )

    def age_s(self, now_s: float) -> float:
        """Return the age of the known requests."""
        return now_s - self.complete_s

    def outdated(self, now_s: float) -> bool:
        """Return whether the requests are too old to place work."""
        return self.age_s(now_s) > self.max_age_s

    def held_back(
        self, workers: Mapping[str, Worker], now_s: float
    ) -> frozenset[str]:
        """Return the workers that get no ordinary work yet.

        They belong to domains that return to use. Warm workers get work
        first, then whole racks in turn, as gangs may need a rack.
        """
        nodes: set[str] = set()
        for domain, state in list(self._returns.items()):
            members = {
                node: worker
                for node, worker in workers.items()
                if worker.zone == domain
            }
            share = _share(state, members, now_s)
            if share >= 1:
                del self._returns[domain]
                logger.info(
                    "failure domain {} gets its full share of new work after "
                    "{:.1f} s",
                    *(domain, now_s - state.since_s),
                )
                continue
            ranked = sorted(members, key=lambda node: _rank(node, workers))
            nodes.update(ranked[ceil(share * len(ranked)) :])
        return frozenset(nodes)


def _share(
    state: _Return, workers: Mapping[str, Worker], now_s: float
) -> float:
    """Return the share of a domain's workers that get ordinary work.

    The last step comes when all workers are expected to be warm.
    """
    elapsed_s = now_s - state.since_s
    cold_ms = max(
        (worker.cold_left_ms for worker in workers.values()), default=0
    )
    if cold_ms > 0:
        warm_s = min(MAX_RETURN_S, elapsed_s + cold_ms / 1000)
        state.duration_s = max(state.duration_s, warm_s)
    step = int(elapsed_s / state.duration_s * (RETURN_STEPS - 1))
    return min(1.0, (1 + step) / RETURN_STEPS)


def _rank(node: str, workers: Mapping[str, Worker]) -> tuple[bool, str, str]:
    worker = workers[node]
    return (worker.cold_left_ms > 0, worker.rack, node)


class EvacuationSource(Protocol):
    """Reads the requests of operators."""

    def current(self) -> Evacuations:
        """Return the requests as they are known now."""
        ...

    def refresh(self) -> None:
        """Read all requests from the table.

        Raises
        ------
        TableUnavailableError
            If the table does not answer.
        """
        ...

"""Log lines of a decider about evacuations, each written once.

Answers a request that holds for minutes while decisions are made many times
a second: the log must tell why a job waits without a line for each decision.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Mapping

    from filbertlb.batch.evacuation import Evacuations

MIN_LOGGED_WAIT_MS = 3000
"""Wait from which a job is logged; callers count it as lost from then on."""
WAITS_PERIOD_S = 1.0
MAX_LOGGED_WAITS = 200
"""Waiting groups that are logged during one evacuation."""


@attrs.define
class EvacuationLog:
    """What a decider has logged in its term."""

    _version_by_domain: dict[str, int] = attrs.Factory(dict)
    _unknown: set[str] = attrs.Factory(set)
    _outdated: bool = False
    _next_waits_s: float = float("-inf")
    _waits: set[str] = attrs.Factory(set)

    def update(
        self,
        evacuations: Evacuations,
        workers_by_domain: Mapping[str | None, int],
        now_s: float,
    ) -> None:
        """Log the requests that hold from this decision on.

        A domain without workers is logged again once it has some.
        """
        current = evacuations.version_by_domain
        if not current:
            self._waits.clear()
        for domain, version in current.items():
            count = workers_by_domain.get(domain, 0)
            is_new = self._version_by_domain.get(domain) != version
            if count and (is_new or domain in self._unknown):
                self._unknown.discard(domain)
                logger.warning(
                    "failure domain {}: {} workers get no new work, request "
                    "of version {}, requests read {:.1f} s ago",
                    *(domain, count, version, evacuations.age_s(now_s)),
                )
            elif is_new:
                self._unknown.add(domain)
                logger.warning(
                    "failure domain {} of the request of version {} is "
                    "unknown: none of {} workers is there",
                    *(domain, version, sum(workers_by_domain.values())),
                )
        self._unknown &= current.keys()
        self._version_by_domain = dict(current)

    def log_outdated(
        self, evacuations: Evacuations, outdated: bool, now_s: float
    ) -> None:
        """Log that placing stops, or goes on, for the age of the requests."""
        if outdated and not self._outdated:
            logger.warning(
                "no new work is placed: evacuation requests last read {:.1f} "
                "s ago",
                evacuations.age_s(now_s),
            )
        elif self._outdated and not outdated:
            logger.info("new work is placed: evacuation requests are read")
        self._outdated = outdated

    def waits_due(self, now_s: float) -> bool:
        """Return whether to look for jobs that wait, once a period."""
        if now_s < self._next_waits_s or len(self._waits) >= MAX_LOGGED_WAITS:
            return False
        self._next_waits_s = now_s + WAITS_PERIOD_S
        return True

    def log_wait(
        self,
        group: str,
        waited_ms: int,
        evacuations: Evacuations,
        workers_by_domain: Mapping[str, int],
    ) -> None:
        """Log once that a group waits while its workers are evacuated."""
        if group in self._waits or len(self._waits) >= MAX_LOGGED_WAITS:
            return
        evacuated = {
            domain: version
            for domain, version in evacuations.version_by_domain.items()
            if workers_by_domain.get(domain)
        }
        if not evacuated:
            return
        self._waits.add(group)
        logger.info(
            "group {} waits for {} ms: of its {} workers {} are in evacuated "
            "failure domains, requests by domain {}",
            *(group, waited_ms, sum(workers_by_domain.values())),
            sum(workers_by_domain[domain] for domain in evacuated),
            evacuated,
        )

"""Sets endpoints aside that fail whatever they are given."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from random import Random

FAILURES = 4
PROBE_BASE_S = 1.0
PROBE_CAP_S = 30.0
MAX_ASIDE_SHARE = 0.5


@attrs.define
class _Record:
    accusers: set[str] = attrs.Factory(set)
    probe_at_s: float | None = None
    probing: bool = False
    next_wait_s: float = PROBE_BASE_S


@attrs.define
class EndpointHealth:
    """Judges endpoints by the failures of different requests.

    A request that fails on one endpoint after another accuses each of
    them once, so it cannot set one aside by itself.

    Parameters
    ----------
    failures : int
        Different requests that fail in a row before an endpoint is set
        aside.
    max_aside_share : float
        Share of the endpoints that may be aside at once; when more
        fail, the fault is not theirs.
    """

    failures: int = FAILURES
    max_aside_share: float = MAX_ASIDE_SHARE
    _record_by_id: dict[str, _Record] = attrs.Factory(dict)

    def succeeded(self, endpoint_id: str) -> None:
        """Take in an answer; the endpoint is in use again."""
        self._record_by_id.pop(endpoint_id, None)

    def failed(
        self,
        endpoint_id: str,
        request_id: str,
        endpoints: int,
        now_s: float,
        rng: Random,
    ) -> None:
        """Take in that a request failed on an endpoint.

        Parameters
        ----------
        endpoints : int
            Number of known endpoints.
        """
        record = self._record_by_id.setdefault(endpoint_id, _Record())
        if record.probe_at_s is not None:
            if record.probing:
                self._set_aside(record, now_s, rng)
            return
        if len(record.accusers) < self.failures:
            record.accusers.add(request_id)
        if len(record.accusers) < self.failures:
            return
        if self.aside_count + 1 <= endpoints * self.max_aside_share:
            self._set_aside(record, now_s, rng)

    def forget(self, endpoint_id: str) -> None:
        """Drop an endpoint that has left."""
        self._record_by_id.pop(endpoint_id, None)

    @property
    def aside_count(self) -> int:
        """Return the number of endpoints that are set aside."""
        records = self._record_by_id.values()
        return sum(record.probe_at_s is not None for record in records)

    def is_set_aside(self, endpoint_id: str) -> bool:
        """Tell whether an endpoint gets probes only."""
        record = self._record_by_id.get(endpoint_id)
        return record is not None and record.probe_at_s is not None

    def start_probe(self, now_s: float) -> str | None:
        """Return an endpoint that is to get one idempotent request now."""
        for endpoint_id, record in self._record_by_id.items():
            due_s = record.probe_at_s
            if due_s is not None and due_s <= now_s:
                record.probing = True
                # A probe that is never reported must not be the last.
                record.probe_at_s = now_s + PROBE_CAP_S
                return endpoint_id
        return None

    def _set_aside(self, record: _Record, now_s: float, rng: Random) -> None:
        wait_s = record.next_wait_s * rng.uniform(0.75, 1.25)
        record.probe_at_s = now_s + wait_s
        record.probing = False
        record.accusers.clear()
        record.next_wait_s = min(PROBE_CAP_S, record.next_wait_s * 2)

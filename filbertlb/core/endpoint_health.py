"""Outlier detection: sets aside endpoints that fail repeatedly."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from random import Random

FAILURE_THRESHOLD = 4
PROBE_BASE_S = 1.0
PROBE_CAP_S = 30.0
MAX_ASIDE_SHARE = 0.5


@attrs.define
class _FailureRecord:
    failed_request_ids: set[str] = attrs.Factory(set)
    probe_at_s: float | None = None
    probing: bool = False
    next_wait_s: float = PROBE_BASE_S


@attrs.define
class EndpointHealth:
    """Sets endpoints aside after consecutive failures.

    Each request counts at most once against an endpoint, so a bad
    request that is retried everywhere can't set an endpoint aside by
    itself. An endpoint that is set aside gets single probe requests, with
    exponential back-off, until one of them succeeds.

    Parameters
    ----------
    failures : int
        Number of different requests that must fail without a success
        in between before an endpoint is set aside.
    max_aside_share : float
        Share of the endpoints that may be set aside at once. If more of
        them fail, the cause is probably not the endpoints.
    """

    failures: int = FAILURE_THRESHOLD
    max_aside_share: float = MAX_ASIDE_SHARE
    _record_by_id: dict[str, _FailureRecord] = attrs.Factory(dict)

    def succeeded(self, endpoint_id: str) -> None:
        """Record a success; the endpoint is no longer set aside."""
        self._record_by_id.pop(endpoint_id, None)

    def failed(
        self,
        endpoint_id: str,
        request_id: str,
        endpoints: int,
        now_s: float,
        rng: Random,
    ) -> None:
        """Record the failure of a request on an endpoint.

        Parameters
        ----------
        endpoints : int
            Number of known endpoints.
        """
        record = self._record_by_id.setdefault(endpoint_id, _FailureRecord())
        if record.probe_at_s is not None:
            if record.probing:
                self._set_aside(record, now_s, rng)
            return
        if len(record.failed_request_ids) < self.failures:
            record.failed_request_ids.add(request_id)
        if len(record.failed_request_ids) < self.failures:
            return
        if self.set_aside_count + 1 <= endpoints * self.max_aside_share:
            self._set_aside(record, now_s, rng)

    def forget(self, endpoint_id: str) -> None:
        """Drop the record of an endpoint that has left."""
        self._record_by_id.pop(endpoint_id, None)

    @property
    def set_aside_count(self) -> int:
        """Return the number of endpoints that are set aside."""
        records = self._record_by_id.values()
        return sum(record.probe_at_s is not None for record in records)

    def is_set_aside(self, endpoint_id: str) -> bool:
        """Return whether an endpoint gets probes only."""
        record = self._record_by_id.get(endpoint_id)
        return record is not None and record.probe_at_s is not None

    def start_probe(self, now_s: float) -> str | None:
        """Return an endpoint to probe now with one idempotent request."""
        for endpoint_id, record in self._record_by_id.items():
            due_s = record.probe_at_s
            if due_s is not None and due_s <= now_s:
                record.probing = True
                # Schedules the next probe in case the outcome of this one is
                # never reported.
                record.probe_at_s = now_s + PROBE_CAP_S
                return endpoint_id
        return None

    def _set_aside(
        self, record: _FailureRecord, now_s: float, rng: Random
    ) -> None:
        wait_s = record.next_wait_s * rng.uniform(0.75, 1.25)
        record.probe_at_s = now_s + wait_s
        record.probing = False
        record.failed_request_ids.clear()
        record.next_wait_s = min(PROBE_CAP_S, record.next_wait_s * 2)

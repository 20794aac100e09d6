"""Admission control: requests wait for a slot or are refused."""

from __future__ import annotations

import secrets
from contextlib import contextmanager
from typing import TYPE_CHECKING

import attrs
from gevent import sleep
from gevent import spawn
from gevent.event import AsyncResult

from filbertlb.core.limits import QueuedRequest
from filbertlb.errors import OutcomeUnknownError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from filbertlb.core.clock import Clock
    from filbertlb.core.limits import Admission
    from filbertlb.core.limits import AdmissionGate

EXPIRY_PERIOD_S = 0.05
ID_BYTES = 8


@attrs.define
class _InFlightRequest:
    """An admitted request, with the monotonic time of its admission."""

    admitted_at_s: float
    outcome_unknown: bool = False


class AdmissionController:
    """Blocks callers until the gate admits or refuses their requests.

    Parameters
    ----------
    gate : AdmissionGate
        Decides which requests start, wait or are shed.
    clock : Clock
        Source of time.
    """

    def __init__(self, gate: AdmissionGate, clock: Clock) -> None:
        self._gate = gate
        self._clock = clock
        self._result_by_id: dict[str, AsyncResult] = {}

    @property
    def waiting(self) -> int:
        """Return the number of requests waiting for admission."""
        return self._gate.waiting

    @contextmanager
    def admitted(
        self, organisation_id: str, *, urgent: bool, deadline_s: float
    ) -> Iterator[None]:
        """Run the block once the request is admitted.

        Parameters
        ----------
        deadline_s : float
            Time from now, in seconds, after which the caller has no use
            for an answer.

        Raises
        ------
        OverloadedError
            If the request is shed.
        DeadlineExpiredError
            If the request waits too long to be started in time.
        """
        now_s = self._clock.monotonic()
        request = QueuedRequest(
            secrets.token_hex(ID_BYTES),
            organisation_id,
            urgent,
            now_s + deadline_s,
        )
        self._await_admission(request, now_s)
        in_flight = _InFlightRequest(self._clock.monotonic())
        try:
            yield
        except OutcomeUnknownError:
            in_flight.outcome_unknown = True
            raise
        finally:
            ended_s = self._clock.monotonic()
            latency_s = ended_s - in_flight.admitted_at_s
            self._notify_callers(
                self._gate.done(
                    request,
                    None if in_flight.outcome_unknown else latency_s,
                    ended_s,
                )
            )

    def record_overload(self) -> None:
        """Record that a runner's agent refused a request: queue full."""
        self._gate.adaptive.overloaded()

    def _await_admission(self, request: QueuedRequest, now_s: float) -> None:
        result = AsyncResult()
        self._result_by_id[request.request_id] = result
        is_admitted = False
        try:
            self._notify_callers(self._gate.offer(request, now_s))
            result.get()
            is_admitted = True
        finally:
            del self._result_by_id[request.request_id]
            if not is_admitted:
                self._gate.give_up(request)

    def run(self) -> None:
        """Refuse waiting requests that are too late to start, until killed."""
        while True:
            sleep(EXPIRY_PERIOD_S)
            self._notify_callers(self._gate.expire(self._clock.monotonic()))

    def _notify_callers(self, admission: Admission) -> None:
        for request in admission.started:
            result = self._result_by_id.get(request.request_id)
            if result is not None:
                result.set()
        for request, error in admission.refused:
            result = self._result_by_id.get(request.request_id)
            if result is not None:
                result.set_exception(error)


@contextmanager
def enforcing_deadlines(controller: AdmissionController) -> Iterator[None]:
    """Enforce the deadlines of waiting requests while the block runs."""
    task = spawn(controller.run)
    try:
        yield
    finally:
        task.kill()

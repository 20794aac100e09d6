"""Makes callers wait for admission, or turns them away in time."""

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
class _Passage:
    """An admitted request; its latency is that of its last dispatch."""

    started_s: float
    timed_out: bool = False


class AdmissionController:
    """Lets requests through as the gate decides.

    Parameters
    ----------
    gate : AdmissionGate
        Decides.
    clock : Clock
        Source of time.
    """

    def __init__(self, gate: AdmissionGate, clock: Clock) -> None:
        self._gate = gate
        self._clock = clock
        self._result_by_id: dict[str, AsyncResult] = {}

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait."""
        return self._gate.waiting

    @contextmanager
    def admitted(
        self, organisation_id: str, *, urgent: bool, deadline_s: float
    ) -> Iterator[None]:
        """Run the block once the request is admitted.

        Parameters
        ----------
        deadline_s : float
            Time from now after which the answer is worthless, in
            seconds.

        Raises
        ------
        OverloadedError
            If it is shed.
        DeadlineExpiredError
            If its time passes while it waits.
        """
        now_s = self._clock.monotonic()
        request = QueuedRequest(
            secrets.token_hex(ID_BYTES),
            organisation_id,
            urgent,
            now_s + deadline_s,
        )
        self._wait(request, now_s)
        passage = _Passage(self._clock.monotonic())
        try:
            yield
        except OutcomeUnknownError:
            passage.timed_out = True
            raise
        finally:
            ended_s = self._clock.monotonic()
            latency_s = ended_s - passage.started_s
            self._apply(
                self._gate.done(
                    request,
                    None if passage.timed_out else latency_s,
                    ended_s,
                )
            )

    def record_overload(self) -> None:
        """Take in that a runner's agent had no place for a request."""
        self._gate.adaptive.overloaded()

    def _wait(self, request: QueuedRequest, now_s: float) -> None:
        result = AsyncResult()
        self._result_by_id[request.request_id] = result
        started = False
        try:
            self._apply(self._gate.offer(request, now_s))
            result.get()
            started = True
        finally:
            del self._result_by_id[request.request_id]
            if not started:
                self._gate.give_up(request)

    def run(self) -> None:
        """Turn those away whose time has passed, until killed."""
        while True:
            sleep(EXPIRY_PERIOD_S)
            self._apply(self._gate.expire(self._clock.monotonic()))

    def _apply(self, admission: Admission) -> None:
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
    """Enforce deadlines of waiting requests while the block runs."""
    task = spawn(controller.run)
    try:
        yield
    finally:
        task.kill()

"""HTTP client with which an agent calls the platform's worker beside it."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec
from loguru import logger

from filbertlb.batch.model import EndCause
from filbertlb.batch.model import Run
from filbertlb.batch.model import RunEnd
from filbertlb.batch.worker_link import LEASE_S
from filbertlb.batch.worker_link import ListedEnd
from filbertlb.batch.worker_link import RunListing
from filbertlb.batch.worker_link import StartResult
from filbertlb.batch.worker_link import WorkerDownError
from filbertlb.batch.worker_link import WorkerSilentError
from filbertlb.decoding import decode_json
from filbertlb.decoding import MalformedDataError
from filbertlb.httpcall import CallNotSentError
from filbertlb.httpcall import CallOutcomeUnknownError
from filbertlb.httpcall import CallRefusedError
from filbertlb.httpcall import HttpCaller
from filbertlb.platform.wire import incarnation_name
from filbertlb.platform.wire import instance_id_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from filbertlb.batch.model import Order
    from filbertlb.core.clock import Clock
    from filbertlb.httpcall import Reply
    from filbertlb.platform.wire import Heartbeat

_T = TypeVar("_T")

CALL_TIMEOUT_S = 0.8
HOLD_TIMEOUT_MARGIN_S = 0.8
"""Added to the long-poll wait of a hold call to get its timeout."""
MAX_ENDS_PER_REPLY = 500
"""Ends that the worker lists at most; a full list may be incomplete."""
HTTP_OK = 200
HTTP_CONFLICT = 409

_RESULT_BY_STATUS = {
    200: StartResult.STARTED,
    400: StartResult.INVALID,
    421: StartResult.OTHER_INCARNATION,
    429: StartResult.UNHEALTHY,
    503: StartResult.UNHEALTHY,
}
_RESULT_BY_REASON = {
    "fence": StartResult.FENCED,
    "old": StartResult.TOO_OLD,
    "late": StartResult.TOO_LATE,
    "room": StartResult.NO_ROOM,
}


class _CallReply(msgspec.Struct, rename="camel"):
    clock_ms: int = 0
    reason: str = ""


class _HoldReply(msgspec.Struct, rename="camel"):
    clock_ms: int = 0
    born: int = 0
    running: list[list[Any]] = []
    finished: list[list[Any]] = []


class PlatformWorkerClient:
    """Client for the one worker on the agent's own machine.

    Parameters
    ----------
    address : str
        Host and port of the worker.
    """

    def __init__(self, address: str, clock: Clock) -> None:
        self._caller = HttpCaller(f"http://{address}")
        self._clock = clock
        self._instance_id = ""
        self._clock_offset_ms = 0.0

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Update the worker's incarnation and the offset of its clock."""
        self._instance_id = instance_id_of(heartbeat.worker.incarnation)
        self._set_clock(heartbeat.clock_ms)

    def start(
        self, order: Order, payload: str, fence: int, extend_lease: bool
    ) -> StartResult:
        """Start a run; with ``extend_lease``, extend the worker's lease."""
        body = {
            "task": order.task,
            "attempt": order.attempt,
            "spec": payload,
            "deadlineMs": self._lease_end_ms() if extend_lease else 0,
            "fencingToken": fence,
        }
        if order.saved:
            body["checkpointed"] = order.saved
        try:
            reply = self._post("run-start", body, CALL_TIMEOUT_S)
        except CallNotSentError:
            return StartResult.UNHEALTHY
        except CallOutcomeUnknownError as error:
            logger.info("start of {} unanswered: {}", order.task, error)
            return StartResult.UNKNOWN
        if reply.status == HTTP_CONFLICT:
            reason = self._decode(reply, _CallReply()).reason
            return _RESULT_BY_REASON.get(reason, StartResult.INVALID)
        return _RESULT_BY_STATUS.get(reply.status, StartResult.UNKNOWN)

    def stop(self, task: str, attempt: int, fence: int) -> bool:
        """Stop a run; return whether the worker answered."""
        body = {"task": task, "attempt": attempt, "fencingToken": fence}
        try:
            reply = self._post("run-stop", body, CALL_TIMEOUT_S)
        except (CallNotSentError, CallOutcomeUnknownError) as error:
            logger.info("stop of {} unanswered: {}", task, error)
            return False
        if reply.status != HTTP_OK:
            logger.warning("stop of {} got status {}", task, reply.status)
        return reply.status == HTTP_OK

    def list_runs(
        self, fence: int, acked_number: int, extend_lease: bool, wait_s: float
    ) -> RunListing:
        """Return the worker's running and ended runs.

        Waits up to ``wait_s`` for a run to end. Ends up to ``acked_number``
        are acknowledged; with ``extend_lease``, the worker's lease is
        extended.
        """
        body: dict[str, Any] = {
            "fencingToken": fence,
            "ackedSeq": acked_number,
            "waitMs": int(wait_s * 1000),
        }
        if extend_lease:
            body["deadlineMs"] = self._lease_end_ms()
        try:
            reply = self._post("hold", body, wait_s + HOLD_TIMEOUT_MARGIN_S)
        except CallRefusedError as error:
            raise WorkerDownError(error.message) from error
        except (CallNotSentError, CallOutcomeUnknownError) as error:
            raise WorkerSilentError(error.message) from error
        if reply.status != HTTP_OK:
            raise WorkerSilentError(
                f"status {reply.status!r}: {reply.body[:120]!r}"
            )
        holding = self._decode(reply, _HoldReply())
        runs = _decode_all(_decode_run, holding.running)
        ends = _decode_all(_decode_end, holding.finished)
        # A run that is listed in an unreadable entry has not ended.
        readable = len(runs) + len(ends) == (
            len(holding.running) + len(holding.finished)
        )
        return RunListing(
            runs,
            ends,
            readable and len(holding.finished) < MAX_ENDS_PER_REPLY,
            incarnation_name(self._instance_id, holding.born),
        )

    def _post(self, call: str, body: Any, timeout_s: float) -> Reply:
        headers = {
            "Content-Type": "application/json",
            # The worker rejects calls addressed to another instance id.
            "X-Expect-Instance": self._instance_id,
        }
        return self._caller.post(
            f"/filbertlb/{call}",
            msgspec.json.encode(body),
            timeout_s,
            headers,
        )

    def _decode(self, reply: Reply, default: Any) -> Any:
        """Decode a reply as the default's type; return that if unreadable."""
        try:
            message = decode_json(reply.body, type(default))
        except MalformedDataError as error:
            logger.warning("cannot decode reply of the worker: {}", error)
            return default
        self._set_clock(message.clock_ms)
        return message

    def _set_clock(self, clock_ms: int) -> None:
        if clock_ms:
            now_ms = self._clock.monotonic() * 1000
            self._clock_offset_ms = clock_ms - now_ms

    def _lease_end_ms(self) -> int:
        """Return the end of a full lease from now, on the worker's clock."""
        now_ms = self._clock.monotonic() * 1000
        return int(now_ms + self._clock_offset_ms + LEASE_S * 1000)


def _decode_all(
    decode: Callable[[list[Any]], _T], entries: list[list[Any]]
) -> tuple[_T, ...]:
    """Decode the entries of a list; log and skip unreadable ones."""
    decoded = []
    for entry in entries:
        try:
            decoded.append(decode(entry))
        except (TypeError, ValueError) as error:
            logger.warning(
                "entry {!r} of the worker skipped: {}", entry, error
            )
    return tuple(decoded)


def _decode_run(entry: list[Any]) -> Run:
    task, attempt, saved, percent = entry[:4]
    return Run(str(task), int(attempt), str(saved), int(percent))


def _decode_end(entry: list[Any]) -> ListedEnd:
    number, task, attempt, cause, saved = entry[:5]
    end = RunEnd(str(task), int(attempt), EndCause(cause), str(saved))
    return ListedEnd(int(number), end)

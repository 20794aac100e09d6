"""HTTP client with which an agent calls the platform's worker beside it."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from filbertlb.batch.model import EndCause
from filbertlb.batch.model import Run
from filbertlb.batch.model import RunEnd
from filbertlb.batch.worker_clock import WorkerClocks
from filbertlb.batch.worker_link import ListedEnd
from filbertlb.batch.worker_link import RunListing
from filbertlb.batch.worker_link import StartResult
from filbertlb.batch.worker_link import WorkerDownError
from filbertlb.batch.worker_link import WorkerSilentError
from filbertlb.decoding import decode_entries
from filbertlb.decoding import decode_json
from filbertlb.decoding import MalformedDataError
from filbertlb.httpcall import CallNotSentError
from filbertlb.httpcall import CallOutcomeUnknownError
from filbertlb.httpcall import CallRefusedError
from filbertlb.httpcall import HttpCaller
from filbertlb.platform.wire import incarnation_name
from filbertlb.platform.wire import instance_id_of
from filbertlb.ranges import Count
from filbertlb.ranges import FractionalPercent

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from filbertlb.admission import AnswerBudget
    from filbertlb.batch.model import Order
    from filbertlb.core.clock import Clock
    from filbertlb.httpcall import Reply
    from filbertlb.platform.wire import Heartbeat

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
    reason: str = ""


class _HoldReply(msgspec.Struct, rename="camel"):
    clock_ms: Count = 0
    born: Count = 0
    running: list[msgspec.Raw] = []
    finished: list[msgspec.Raw] = []


class _ListedRun(msgspec.Struct, array_like=True):
    task: str
    attempt: Count
    saved: str
    percent: FractionalPercent


class _NumberedEnd(msgspec.Struct, array_like=True):
    number: Count


class _ListedEnd(msgspec.Struct, array_like=True):
    number: Count
    task: str
    attempt: Count
    cause: EndCause
    saved: str


class PlatformWorkerClient:
    """Client for the one worker on the agent's own machine.

    Parameters
    ----------
    address : str
        Host and port of the worker.
    answers : AnswerBudget, optional
        Bounds of the worker's answers.
    """

    def __init__(
        self, address: str, clock: Clock, answers: AnswerBudget | None = None
    ) -> None:
        self._caller = HttpCaller(f"http://{address}", answers=answers)
        self._clock = clock
        self._instance_id = ""
        self._clocks = WorkerClocks()

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Update the worker's instance and the reading of its clock."""
        incarnation = heartbeat.worker.incarnation
        self._instance_id = instance_id_of(incarnation)
        self._record_clock(incarnation, heartbeat.clock_ms)

    def start(
        self,
        order: Order,
        payload: str,
        fence: int,
        lease_end_s: float | None,
    ) -> StartResult:
        """Start a run, extending the worker's lease to ``lease_end_s``."""
        deadline_ms = self._deadline_ms(order.incarnation, lease_end_s)
        body = {
            "task": order.task,
            "attempt": order.attempt,
            "spec": payload,
            "deadlineMs": deadline_ms or 0,
            "fencingToken": fence,
        }
        if order.saved:
            body["checkpointed"] = order.saved
        logger.info(
            "start of {} attempt {}: deadline {} ms by {}",
            *(order.task, order.attempt, deadline_ms),
            self._clocks.get(order.incarnation),
        )
        try:
            reply = self._post(
                "run-start",
                body,
                CALL_TIMEOUT_S,
                instance_id_of(order.incarnation),
            )
        except CallNotSentError:
            return StartResult.UNHEALTHY
        except CallOutcomeUnknownError as error:
            logger.info("start of {} unanswered: {}", order.task, error)
            return StartResult.UNKNOWN
        if reply.status == HTTP_CONFLICT:
            return self._refusal(reply)
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
        self,
        incarnation: str,
        fence: int,
        acked_number: int,
        lease_end_s: float | None,
        wait_s: float,
    ) -> RunListing:
        """Return the worker's running and ended runs.

        Waits up to ``wait_s`` for a run to end. Ends up to ``acked_number``
        are acknowledged, and the worker's lease is extended to
        ``lease_end_s``.
        """
        body: dict[str, Any] = {
            "fencingToken": fence,
            "ackedSeq": acked_number,
            "waitMs": int(wait_s * 1000),
        }
        deadline_ms = self._deadline_ms(incarnation, lease_end_s)
        if deadline_ms is not None:
            body["deadlineMs"] = deadline_ms
        instance_id = instance_id_of(incarnation)
        timeout_s = wait_s + HOLD_TIMEOUT_MARGIN_S
        try:
            reply = self._post("hold", body, timeout_s, instance_id)
        except CallRefusedError as error:
            raise WorkerDownError(error.message) from error
        except (CallNotSentError, CallOutcomeUnknownError) as error:
            raise WorkerSilentError(error.message) from error
        if reply.status != HTTP_OK:
            raise WorkerSilentError(
                f"status {reply.status!r}: {reply.body[:120]!r}"
            )
        try:
            holding = decode_json(reply.body, _HoldReply)
        except MalformedDataError as error:
            # What it would have listed has not ended.
            raise WorkerSilentError(f"unreadable reply: {error}") from error
        answered = incarnation_name(instance_id, holding.born)
        self._record_clock(answered, holding.clock_ms)
        runs = decode_entries(holding.running, _ListedRun)
        ends = decode_entries(holding.finished, _ListedEnd)
        # A run that is listed in an unreadable entry has not ended.
        readable = len(runs) + len(ends) == (
            len(holding.running) + len(holding.finished)
        )
        return RunListing(
            tuple(_run(listed) for listed in runs),
            tuple(_numbered_ends(ends, holding.finished)),
            readable and len(holding.finished) < MAX_ENDS_PER_REPLY,
            answered,
        )

    def _refusal(self, reply: Reply) -> StartResult:
        """Return why the worker refused a start."""
        try:
            reason = decode_json(reply.body, _CallReply).reason
        except MalformedDataError as error:
            logger.warning("refusal of a start without reason: {}", error)
            return StartResult.INVALID
        return _RESULT_BY_REASON.get(reason, StartResult.INVALID)

    def _post(
        self, call: str, body: Any, timeout_s: float, instance_id: str = ""
    ) -> Reply:
        """Call the worker; by default the instance that is announced now."""
        headers = {
            "Content-Type": "application/json",
            # The worker rejects calls addressed to another instance id.
            "X-Expect-Instance": instance_id or self._instance_id,
        }
        return self._caller.post(
            f"/filbertlb/{call}",
            msgspec.json.encode(body),
            timeout_s,
            headers,
        )

    def _record_clock(self, incarnation: str, clock_ms: int) -> None:
        now_s = self._clock.monotonic()
        self._clocks.record(incarnation, clock_ms, now_s)

    def _deadline_ms(
        self, incarnation: str, lease_end_s: float | None
    ) -> int | None:
        """Return the end of a lease on the clock of an incarnation.

        None if there is no lease, or if that clock is not known: the clock
        of another one tells nothing of it.
        """
        reading = self._clocks.get(incarnation)
        if lease_end_s is None or reading is None:
            return None
        return reading.deadline_ms(lease_end_s)


def _run(listed: _ListedRun) -> Run:
    return Run(listed.task, listed.attempt, listed.saved, int(listed.percent))


def _numbered_ends(
    ends: Iterable[_ListedEnd], entries: Iterable[msgspec.Raw]
) -> Iterator[ListedEnd]:
    """Yield the ends with the numbers up to which they are acknowledged.

    That is never past an unreadable end: the worker would forget it, and
    the run would seem lost although it may be done.
    """
    readable = {listed.number for listed in ends}
    unreadable = {
        entry.number for entry in decode_entries(entries, _NumberedEnd)
    } - readable
    last_number = min((number - 1 for number in unreadable), default=None)
    for listed in ends:
        end = RunEnd(listed.task, listed.attempt, listed.cause, listed.saved)
        number = listed.number
        if last_number is not None:
            number = min(number, last_number)
        yield ListedEnd(number, end)

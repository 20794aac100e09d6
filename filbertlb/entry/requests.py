"""Execution of callers' requests on runners."""

from __future__ import annotations

import secrets
from itertools import count
from typing import TYPE_CHECKING

import attrs
from gevent import sleep

from filbertlb.core.attempt_effects import Finish
from filbertlb.core.attempt_rows import Answer
from filbertlb.core.attempt_rows import KeyedRequest
from filbertlb.core.attempt_rows import NotAcceptedError
from filbertlb.core.attempt_rows import request_digest
from filbertlb.core.attempt_session import AttemptSession
from filbertlb.core.attempt_session import Purpose
from filbertlb.core.attempt_steps import TellAnswer
from filbertlb.core.attempt_steps import TellNotRun
from filbertlb.core.retries import backoff_s
from filbertlb.core.retries import may_retry
from filbertlb.core.retries import RetryBudgets
from filbertlb.entry.attempt_runner import AttemptRunner
from filbertlb.errors import FilbertlbError
from filbertlb.errors import OutcomeUnknownError
from filbertlb.errors import Ran
from filbertlb.errors import UnavailableError
from filbertlb.messages import Invoke
from filbertlb.messages import InvokeResult
from filbertlb.messages import Refused
from filbertlb.messages import TaskEndedAck
from filbertlb.messages import Token
from filbertlb.transport.link import OutboxFullError
from filbertlb.transport.link import ReplyTimeoutError

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from filbertlb.core.clock import Clock
    from filbertlb.core.retries import RetryBudget
    from filbertlb.entry.admission_control import AdmissionController
    from filbertlb.entry.endpoint_views import RunnerChooser
    from filbertlb.messages import Announce
    from filbertlb.table.base import TableService
    from filbertlb.transport.link import Link

SERVER_ERROR = 500
QUEUE_FULL = "queue_full"
ID_BYTES = 8
RESULT_GRACE_S = 30.0


class RequestNotRunError(UnavailableError):
    """The request did not run and will not be started later.

    Parameters
    ----------
    refusal_code : str
        Code of the last refusal.
    """

    code = "not_run"

    def __init__(self, refusal_code: str, message: str) -> None:
        super().__init__(f"{refusal_code}: {message}")


class RequestOutcomeUnknownError(OutcomeUnknownError):
    """The request may have run; query its outcome by its key."""

    code = "outcome_unknown"


class RequestAnswerMissingError(FilbertlbError):
    """The request ran, but its answer is not available."""

    code = "answer_missing"
    status = 502
    default_ran = Ran.YES


@attrs.frozen
class RunnerRequest:
    """One request of a caller.

    Parameters
    ----------
    key : str
        Idempotency key of the caller.
    deadline_s : float
        Time within which it must start, in seconds from now.
    request_id : str
        Identifies the call in the logs of all processes.
    """

    organisation_id: str
    key: str
    path: str
    body: bytes
    idempotent: bool
    deadline_s: float
    urgent: bool = False
    request_id: str = ""


class TokenSource:
    """Issues tokens for the requests of one entry.

    Parameters
    ----------
    incarnation : str
        This entry's incarnation; the scope of its tokens.
    """

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self._serials = count(1)

    def issue(self, attempt_id: str, agent_incarnation: str) -> Token:
        """Return a unique token."""
        return Token(
            attempt_id,
            0,
            agent_incarnation,
            self.incarnation,
            next(self._serials),
        )


class RequestService:
    """Runs requests on runners and determines their outcomes.

    Parameters
    ----------
    link : Link
        This process's link.
    table : TableService
        Stores the attempts of non-idempotent requests.
    chooser : RunnerChooser
        Chooses runners.
    tokens : TokenSource
        Issues tokens.
    gatekeeper : AdmissionController
        Admits requests.
    catch_up : callable
        Puts a newer configuration in force if one has been seen; an
        agent that has seen it refuses this entry until then.
    rng : random.Random
        Source of the jitter of retries.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        link: Link,
        table: TableService,
        chooser: RunnerChooser,
        tokens: TokenSource,
        gatekeeper: AdmissionController,
        catch_up: Callable[[], None],
        rng: Random,
        clock: Clock,
    ) -> None:
        self._link = link
        self._chooser = chooser
        self._tokens = tokens
        self._gatekeeper = gatekeeper
        self._catch_up = catch_up
        self._rng = rng
        self._retry_budgets = RetryBudgets()
        self._clock = clock
        self._attempt_runner = AttemptRunner(link, table, chooser, clock)

    def run(self, request: RunnerRequest) -> Answer:
        """Run a request and return its complete answer.

        Raises
        ------
        RequestNotRunError
            If it did not run.
        RequestOutcomeUnknownError
            If it may have run; call ``outcome`` later to find out.
        KeyReusedError
            If the key was used before for a different request.
        OverloadedError, DeadlineExpiredError
            If it was not admitted; it did not run.
        """
        self._catch_up()
        with self._gatekeeper.admitted(
            request.organisation_id,
            urgent=request.urgent,
            deadline_s=request.deadline_s,
        ):
            if request.idempotent:
                return self._run_idempotent(request)
            return self._run_session(self._make_session(request, Purpose.RUN))

    def outcome(self, organisation_id: str, key: str) -> Answer:
        """Return the answer to the non-idempotent request with this key.

        Raises
        ------
        RequestNotRunError
            If it did not run.
        RequestOutcomeUnknownError
            If its outcome is still unknown or it is in progress.
        """
        request = RunnerRequest(organisation_id, key, "", b"", False, 0.0)
        session = self._make_session(request, Purpose.ASK)
        return self._run_session(session)

    def _make_session(
        self, request: RunnerRequest, purpose: Purpose
    ) -> AttemptSession:
        digest = ""
        if purpose is Purpose.RUN:
            digest = request_digest(request.path, request.body)
        keyed = KeyedRequest(
            request.organisation_id,
            request.key,
            digest,
            self._clock.wall() + request.deadline_s,
        )
        return AttemptSession(
            keyed,
            self._make_invoke(request),
            self._tokens.incarnation,
            _new_id,
            self._tokens.issue,
            purpose,
        )

    def _run_session(self, session: AttemptSession) -> Answer:
        finish = self._attempt_runner.run(session)
        return _answer_or_raise(finish)

    def _make_invoke(self, request: RunnerRequest) -> Invoke:
        return Invoke(
            Token("", 0, ""),
            request.request_id or _new_id(),
            request.organisation_id,
            request.path,
            request.body,
            request.deadline_s,
            request.idempotent,
            request.urgent,
        )

    def _run_idempotent(self, request: RunnerRequest) -> Answer:
        start_by_s = self._clock.monotonic() + request.deadline_s
        invoke = self._make_invoke(request)
        budget = self._retry_budgets.of(request.organisation_id)
        avoid: frozenset[str] = frozenset()
        result: Answer | FilbertlbError = RequestNotRunError(
            "no_endpoint", "no runner can accept the request now"
        )
        for retries in count():
            remaining_s = start_by_s - self._clock.monotonic()
            endpoint = self._chooser.choose(avoid, may_probe=True)
            if endpoint is None or remaining_s <= 0:
                break
            avoid |= {endpoint.endpoint_id}
            result = self._dispatch_and_record(endpoint, invoke, remaining_s)
            if _is_success(result):
                budget.succeeded()
                break
            if not self._wait_for_retry(request, budget, retries, start_by_s):
                break
        if isinstance(result, Answer):
            return result
        raise result

    def _wait_for_retry(
        self,
        request: RunnerRequest,
        budget: RetryBudget,
        retries: int,
        start_by_s: float,
    ) -> bool:
        """Wait before a retry; return False if no retry is allowed."""
        wait_s = backoff_s(retries, self._rng)
        now_s = self._clock.monotonic()
        remaining_s = start_by_s - now_s - wait_s
        if not may_retry(True, Ran.UNKNOWN, retries, remaining_s):
            return False
        if not budget.spend(now_s, urgent=request.urgent):
            return False
        sleep(wait_s)
        return True

    def _dispatch_and_record(
        self, endpoint: Announce, invoke: Invoke, remaining_s: float
    ) -> Answer | FilbertlbError:
        result = self._dispatch(endpoint, invoke, remaining_s)
        if _is_success(result):
            self._chooser.succeeded(endpoint.endpoint_id)
        else:
            self._chooser.failed(endpoint.endpoint_id, invoke.request_id)
        return result

    def _dispatch(
        self, endpoint: Announce, invoke: Invoke, remaining_s: float
    ) -> Answer | FilbertlbError:
        token = self._tokens.issue(_new_id(), endpoint.incarnation)
        message = attrs.evolve(invoke, token=token, within_s=remaining_s)
        started_s = self._clock.monotonic()
        try:
            with self._chooser.counting_in_flight(endpoint.endpoint_id):
                reply = self._link.request(
                    endpoint.address, message, remaining_s + RESULT_GRACE_S
                )
        except OutboxFullError as error:
            return RequestNotRunError(error.code, error.message)
        except ReplyTimeoutError as error:
            return RequestOutcomeUnknownError(error.message)
        if isinstance(reply, InvokeResult) and reply.token == token:
            self._chooser.answered(endpoint.endpoint_id, started_s)
            self._link.send(endpoint.address, TaskEndedAck(token))
            return Answer(reply.status, reply.body, reply.content_type)
        if isinstance(reply, Refused) and reply.ran is Ran.NO:
            if reply.code == QUEUE_FULL:
                self._gatekeeper.record_overload()
            return RequestNotRunError(reply.code, reply.message)
        return RequestOutcomeUnknownError(
            f"unexpected reply of the runner's agent: {reply!r}"
        )


def _is_success(result: Answer | FilbertlbError) -> bool:
    return isinstance(result, Answer) and result.status < SERVER_ERROR


def _new_id() -> str:
    return secrets.token_hex(ID_BYTES)


def _answer_or_raise(finish: Finish) -> Answer:
    telling = finish.telling
    if isinstance(telling, TellAnswer):
        return telling.answer
    if isinstance(telling, TellNotRun):
        raise RequestNotRunError(telling.code, telling.message)
    if not telling.accepted:
        raise NotAcceptedError(telling.message, ran=telling.ran)
    if telling.ran is Ran.YES:
        raise RequestAnswerMissingError(f"{telling.code}: {telling.message}")
    raise RequestOutcomeUnknownError(f"{telling.code}: {telling.message}")

"""HTTP routes of requests to runners."""

from __future__ import annotations

from typing import TYPE_CHECKING

from filbertlb.api.app import Access
from filbertlb.api.app import Route
from filbertlb.api.calls import parse_number
from filbertlb.api.calls import Reply
from filbertlb.api.jobs import idempotency_key
from filbertlb.entry.requests import RunnerRequest
from filbertlb.errors import InvalidInputError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from filbertlb.api.calls import Call
    from filbertlb.core.attempt_rows import Answer
    from filbertlb.entry.requests import RequestService

DEFAULT_DEADLINE_S = 10.0
MAX_DEADLINE_S = 300.0


class HeaderValueError(InvalidInputError):
    """A header has a value that it can't have."""

    code = "header_value"


class RequestRoutes:
    """Handlers of ``/v1/requests`` and ``/v1/outcomes``.

    Parameters
    ----------
    service : RequestService
        Does the work.
    """

    def __init__(self, service: RequestService) -> None:
        self._service = service

    def routes(self) -> Iterable[Route]:
        """Return the routes of the group."""
        caller = Access.CALLER
        return (
            Route("POST", "/v1/requests/<path:path>", caller, self._run),
            Route("GET", "/v1/outcomes/<key>", caller, self._outcome),
        )

    def _run(self, call: Call) -> Reply:
        request = RunnerRequest(
            organisation_id=call.organisation(),
            key=idempotency_key(call),
            path="/" + call.params["path"],
            body=call.body,
            idempotent=_choice(call, "X-Idempotent", "false", "true"),
            deadline_s=parse_number(
                "header X-Deadline-S",
                call.headers.get("X-Deadline-S"),
                DEFAULT_DEADLINE_S,
                MAX_DEADLINE_S,
            ),
            urgent=_choice(call, "X-Class", "normal", "urgent"),
            request_id=call.request_id,
        )
        return _reply(self._service.run(request))

    def _outcome(self, call: Call) -> Reply:
        answer = self._service.outcome(call.organisation(), call.params["key"])
        return _reply(answer)


def _choice(call: Call, name: str, no: str, yes: str) -> bool:
    value = call.headers.get(name, no).lower()
    if value not in (no, yes):
        raise HeaderValueError(
            f"header {name} is {value!r}; send {no!r} or {yes!r}"
        )
    return value == yes


def _reply(answer: Answer) -> Reply:
    return Reply(answer.status, answer.body, answer.content_type)

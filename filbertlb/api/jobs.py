"""HTTP routes about jobs."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any
from typing import TYPE_CHECKING

from filbertlb.api.app import Access
from filbertlb.api.app import Route
from filbertlb.api.calls import json_reply
from filbertlb.entry.jobs import JobRequest
from filbertlb.errors import InvalidInputError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from filbertlb.api.calls import Call
    from filbertlb.api.calls import Reply
    from filbertlb.core.job_record import JobRecord
    from filbertlb.entry.jobs import JobService

MAX_WAIT_S = 50.0
MAX_KEY_CHARACTERS = 200


class KeyMissingError(InvalidInputError):
    """A submission bears no idempotency key."""

    code = "key_missing"


class JobRoutes:
    """Handlers of ``/v1/jobs``.

    Parameters
    ----------
    service : JobService
        Does the work.
    why : callable
        Returns why a queued job waits.
    """

    def __init__(
        self, service: JobService, why: Callable[[JobRecord], str]
    ) -> None:
        self._service = service
        self._why = why

    def routes(self) -> Iterable[Route]:
        """Return the routes of the group."""
        caller = Access.CALLER
        one = "/v1/jobs/<job_id>"
        return (
            Route("POST", "/v1/jobs", caller, self._submit),
            Route("GET", "/v1/jobs", caller, self._list),
            Route("GET", one, caller, self._get),
            Route("POST", f"{one}/cancel", caller, self._cancel),
            Route("GET", f"{one}/why", caller, self._explain),
        )

    def _submit(self, call: Call) -> Reply:
        request = call.json(JobRequest)
        record = self._service.submit(
            call.organisation(), idempotency_key(call), request
        )
        return json_reply(job_view(record), HTTPStatus.ACCEPTED)

    def _list(self, call: Call) -> Reply:
        records = self._service.list(call.organisation())
        return json_reply({"jobs": [job_view(r) for r in records]})

    def _get(self, call: Call) -> Reply:
        wait_s = call.number("wait_s", 0.0, MAX_WAIT_S)
        record = self._service.wait(
            call.organisation(), call.params["job_id"], wait_s
        )
        return json_reply(job_view(record))

    def _cancel(self, call: Call) -> Reply:
        record = self._service.cancel(
            call.organisation(), call.params["job_id"]
        )
        return json_reply(job_view(record))

    def _explain(self, call: Call) -> Reply:
        record = self._service.get(call.organisation(), call.params["job_id"])
        return json_reply(
            {
                "job_id": record.spec.job_id,
                "state": record.state,
                "reason": self._why(record),
            }
        )


def idempotency_key(call: Call) -> str:
    """Return the call's idempotency key.

    Raises
    ------
    KeyMissingError
        If there is none or it is too long.
    """
    key = call.headers.get("Idempotency-Key", "")
    if not 0 < len(key) <= MAX_KEY_CHARACTERS:
        raise KeyMissingError(
            f"header Idempotency-Key is {key[:40]!r}; send a key of 1 to "
            f"{MAX_KEY_CHARACTERS} characters"
        )
    return key


def job_view(record: JobRecord) -> dict[str, Any]:
    """Return what callers are told about a job."""
    spec = record.spec
    return {
        "job_id": spec.job_id,
        "organisation_id": spec.organisation_id,
        "state": record.state,
        "ran": record.ran,
        "code": record.code,
        "detail": record.detail,
        "job_class": spec.job_class,
        "members": spec.shape.members,
        "attempts": record.attempts,
        "cancel_requested": record.cancel_requested,
        "submitted_at_s": spec.submitted_at_s,
        "guarantee_id": spec.guarantee_id,
    }

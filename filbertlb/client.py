"""Client of the HTTP interface, for programs and for the commands."""

from __future__ import annotations

import secrets
from contextlib import contextmanager
from typing import Any
from typing import TYPE_CHECKING
from urllib.parse import quote
from urllib.parse import urlencode

import attrs
import msgspec

from filbertlb.decoding import decode_json
from filbertlb.decoding import MalformedDataError
from filbertlb.errors import FilbertlbError
from filbertlb.errors import OutcomeUnknownError
from filbertlb.errors import Ran
from filbertlb.errors import UnavailableError
from filbertlb.httpcall import CallNotSentError
from filbertlb.httpcall import CallOutcomeUnknownError
from filbertlb.httpcall import HttpCaller

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

CONNECTIONS = 64
NETWORK_TIMEOUT_S = 60.0
KEY_BYTES = 12
JSON_HEADERS = {"Content-Type": "application/json"}


class ServerNotReachedError(UnavailableError):
    """No connection to an entry instance could be opened."""

    code = "server_not_reached"


class AnswerLostError(OutcomeUnknownError):
    """The connection broke before the whole answer came."""

    code = "answer_lost"


class CallFailedError(FilbertlbError):
    """The server answered with an error.

    Parameters
    ----------
    status : int
        HTTP status.
    server_code : str
        Stable code of the error.
    """

    code = "call_failed"

    def __init__(self, status: int, error: Mapping[str, Any]) -> None:
        super().__init__(
            str(error.get("message", "no message")),
            ran=Ran(error.get("ran", "unknown")),
            retry_after_s=error.get("retry_after_s"),
        )
        self.http_status = status
        self.server_code = str(error.get("code", "unknown"))


@attrs.frozen
class Answer:
    """Status, body and headers of a response."""

    status: int
    body: bytes
    content_type: str

    def json(self) -> Any:
        """Return the body decoded from JSON.

        Raises
        ------
        AnswerLostError
            If it is not JSON: an instance that is cut off, or a
            balancer without one, answers in other words.
        """
        try:
            return decode_json(self.body)
        except MalformedDataError as error:
            raise AnswerLostError(
                f"status {self.status} came without a JSON body"
            ) from error


class Client:
    """Calls one entry instance, or the balancer before several.

    Parameters
    ----------
    base_url : str
        Such as ``http://10.0.0.1:8080``.
    token : str
        Token of the caller or operator.
    """

    def __init__(self, base_url: str, token: str = "") -> None:
        self._headers = {"Authorization": f"Bearer {token}"}
        self._http = HttpCaller(base_url, CONNECTIONS)

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> Answer:
        """Send one request and return its whole answer.

        Raises
        ------
        ServerNotReachedError
            If no connection could be opened; nothing was sent.
        AnswerLostError
            If the connection broke; the outcome is unknown.
        """
        sent = {**self._headers, **(headers or {})}
        try:
            if method == "GET":
                reply = self._http.get(path, NETWORK_TIMEOUT_S, sent)
            else:
                reply = self._http.post(path, body, NETWORK_TIMEOUT_S, sent)
        except CallNotSentError as error:
            raise ServerNotReachedError(error.message) from error
        except CallOutcomeUnknownError as error:
            raise AnswerLostError(error.message) from error
        return Answer(reply.status, reply.body, reply.content_type)

    def json(
        self,
        method: str,
        path: str,
        value: Any = None,
        headers: Mapping[str, str] | None = None,
    ) -> Any:
        """Send a JSON value and return the decoded answer.

        Raises
        ------
        CallFailedError
            If the server answered with an error.
        """
        body = b"" if value is None else msgspec.json.encode(value)
        sent = {**JSON_HEADERS, **(headers or {})}
        answer = self.call(method, path, body, sent)
        decoded = answer.json() if answer.body else None
        if answer.status >= 400:
            error = decoded.get("error", {}) if decoded else {}
            raise CallFailedError(answer.status, error)
        return decoded

    def submit_job(
        self,
        job: Mapping[str, Any],
        key: str = "",
        organisation: str = "",
    ) -> dict[str, Any]:
        """Submit a job under an idempotency key."""
        path = "/v1/jobs" + _query(organisation=organisation)
        return self.json("POST", path, job, _key_header(key))

    def job(
        self, job_id: str, wait_s: float = 0.0, organisation: str = ""
    ) -> dict[str, Any]:
        """Return a job, waiting for its end for up to ``wait_s``."""
        wait = f"{wait_s:g}" if wait_s else ""
        query = _query(wait_s=wait, organisation=organisation)
        return self.json("GET", f"/v1/jobs/{quote(job_id)}{query}")

    def jobs(self, organisation: str = "") -> list[dict[str, Any]]:
        """Return the organisation's jobs."""
        path = "/v1/jobs" + _query(organisation=organisation)
        return self.json("GET", path)["jobs"]

    def cancel_job(
        self, job_id: str, organisation: str = ""
    ) -> dict[str, Any]:
        """Ask for a job's cancellation and return the job."""
        query = _query(organisation=organisation)
        return self.json("POST", f"/v1/jobs/{quote(job_id)}/cancel{query}")

    def why(self, job_id: str, organisation: str = "") -> dict[str, Any]:
        """Return why a job waits."""
        query = _query(organisation=organisation)
        return self.json("GET", f"/v1/jobs/{quote(job_id)}/why{query}")

    def invoke(
        self,
        path: str,
        body: bytes,
        *,
        key: str = "",
        idempotent: bool = True,
        deadline_s: float = 10.0,
        urgent: bool = False,
    ) -> Answer:
        """Send a request to a runner through the entry."""
        headers = {
            **_key_header(key),
            "X-Idempotent": "true" if idempotent else "false",
            "X-Deadline-S": f"{deadline_s:g}",
            "X-Class": "urgent" if urgent else "normal",
        }
        return self.call("POST", f"/v1/requests/{path}", body, headers)

    def outcome(self, key: str) -> Answer:
        """Return the outcome of the request sent under a key."""
        return self.call("GET", f"/v1/outcomes/{quote(key)}")

    def revision(self, number: int = 0) -> dict[str, Any] | None:
        """Return a configuration revision, by default the latest."""
        query = _query(revision=str(number) if number else "")
        return self.json("GET", f"/v1/config{query}")

    def apply_config(self, change: Mapping[str, Any]) -> dict[str, Any]:
        """Apply a change of the configuration, or only try it.

        Its ``token`` makes it safe to send the same change again.
        """
        return self.json("POST", "/v1/config", change)

    def roll_back(self, wish: Mapping[str, Any]) -> dict[str, Any]:
        """Bring the configuration of an earlier revision back."""
        return self.json("POST", "/v1/config/rollback", wish)

    def history(self) -> list[dict[str, Any]]:
        """Return the revisions without their configurations."""
        return self.json("GET", "/v1/config/history")["revisions"]

    def endpoints(self) -> list[dict[str, Any]]:
        """Return the endpoints that the entry knows."""
        return self.json("GET", "/v1/endpoints")["endpoints"]

    def drain_endpoint(self, endpoint_id: str) -> dict[str, Any]:
        """Let an endpoint take no new work."""
        path = f"/v1/endpoints/{quote(endpoint_id)}/drain"
        return self.json("POST", path)

    def audit(
        self, actor: str = "", action: str = "", verify: bool = False
    ) -> dict[str, Any]:
        """Return the newest entries of the audit trail."""
        query = _query(
            actor=actor, action=action, verify="1" if verify else ""
        )
        return self.json("GET", f"/v1/audit{query}")


def _key_header(key: str) -> dict[str, str]:
    return {"Idempotency-Key": key or secrets.token_hex(KEY_BYTES)}


def _query(**values: str) -> str:
    given = {name: value for name, value in values.items() if value}
    return "?" + urlencode(given) if given else ""


@contextmanager
def open_client(base_url: str, token: str = "") -> Iterator[Client]:
    """Yield a client and close it at the end."""
    client = Client(base_url, token)
    try:
        yield client
    finally:
        client.close()

"""HTTP calls that tell 'never sent' from 'no whole answer'."""

from __future__ import annotations

from io import BytesIO
from re import compile as compile_pattern
from socket import IPPROTO_TCP
from socket import TCP_NODELAY
from time import monotonic
from typing import TYPE_CHECKING

import attrs
from gevent import Timeout
from gevent.socket import socket
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPParseError
from geventhttpclient.url import URL

from filbertlb.addresses import InvalidAddressError
from filbertlb.admission import AnswerBudget
from filbertlb.admission import SMALL_BYTES
from filbertlb.errors import InvalidInputError
from filbertlb.errors import OutcomeUnknownError
from filbertlb.errors import UnavailableError

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any

    from geventhttpclient.response import HTTPSocketPoolResponse

DEFAULT_CONNECTIONS = 16
HTTP_PORT = 80
CONNECT_TIMEOUT_S = 2.0
MAX_TIMEOUT_S = 24 * 3600.0
READ_BLOCK_BYTES = 64 * 1024
BODY_PART_BYTES = 16 * 1024
"""Part of an answer's body that must arrive within the call's timeout."""
SLOWEST_BODY_BYTES_PER_S = 64 * 1024
"""Rate below which a large answer is given up though parts of it arrive."""
MAX_ANSWER_BYTES = 64 * 1024 * 1024
MAX_HEAD_BYTES = 64 * 1024
"""Most bytes read while an answer's headers are incomplete."""

_TARGET = compile_pattern(r"/(?!/)[!-~]*")


class InvalidTargetError(InvalidInputError):
    """The path cannot stand in an HTTP request; nothing was sent."""

    code = "invalid_target"


class CallNotSentError(UnavailableError):
    """No connection was made; the server has seen nothing."""

    code = "call_not_sent"


class CallRefusedError(CallNotSentError):
    """Nothing listens at the server's address; its process is not there."""

    code = "call_refused"


class CallOutcomeUnknownError(OutcomeUnknownError):
    """The call was sent, but no whole answer came back."""

    code = "call_outcome_unknown"


class AnswerTooLargeError(CallOutcomeUnknownError):
    """The call was sent, but its answer is larger than can be read."""

    code = "answer_too_large"


class AnswerBudgetFullError(CallOutcomeUnknownError):
    """The call was sent, but no memory was left to read its answer."""

    code = "answer_budget_full"


@attrs.frozen
class Reply:
    """A whole HTTP response."""

    status: int
    body: bytes
    content_type: str


class _LargeAnswerError(HTTPParseError):
    """Raised when an answer is larger than its bound."""


class _BudgetFullError(HTTPParseError):
    """Raised when other answers leave no memory for an answer."""


class _NoConnectionError(Exception):
    """Raised in place of any failure to get a connection."""


class _NoListenerError(_NoConnectionError):
    """Raised in place of a refused connection."""


class _Socket(socket):
    """Socket that reads a bounded number of bytes until it is told more.

    The client library reads headers without a bound.
    """

    head_left_bytes: int | None = None

    def recv(self, *args: Any) -> bytes:
        """Read what has arrived."""
        data: bytes = super().recv(*args)
        if self.head_left_bytes is not None:
            self.head_left_bytes -= len(data)
            if self.head_left_bytes < 0:
                raise ConnectionAbortedError(
                    f"the headers are over {MAX_HEAD_BYTES} bytes"
                )
        return data


class _Pool(ConnectionPool):
    """Pool whose failures to connect have their own type."""

    def _create_tcp_socket(self, *args: Any) -> _Socket:
        return _Socket(*args)

    def get_socket(self) -> Any:
        """Return a connected socket."""
        try:
            found = super().get_socket()
            # The last block of the headers may hold part of the body.
            found.head_left_bytes = MAX_HEAD_BYTES + READ_BLOCK_BYTES
            # Headers and body leave in two writes; without this the
            # second waits for the peer's delayed acknowledgement.
            found.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
            return found
        except ConnectionRefusedError as error:
            raise _NoListenerError(str(error)) from error
        except (OSError, RuntimeError, UnicodeError) as error:
            # A host that is no name cannot even be looked up.
            raise _NoConnectionError(str(error)) from error


class _Client(HTTPClient):
    """Client of one server with the pool above."""

    def __init__(self, url: URL, connections: int) -> None:
        port = url.port or HTTP_PORT
        super().__init__(url.host, port, block_size=READ_BLOCK_BYTES)
        self._connection_pool = _Pool(
            url.host,
            port,
            url.host,
            port,
            size=connections,
            connection_timeout=CONNECT_TIMEOUT_S,
            # Each call has its own timeout; this only bounds one read.
            network_timeout=MAX_TIMEOUT_S,
        )


class HttpCaller:
    """Calls one server over kept connections.

    Only POST is used where a call changes something: the client
    library sends other methods again after a lost connection.

    Parameters
    ----------
    base_url : str
        Such as ``http://10.0.0.1:8080``.
    connections : int
        Most connections at once; further calls wait.
    answers : AnswerBudget, optional
        Bounds of the answers, which callers may share; by default 64 MiB
        for each answer.

    Raises
    ------
    InvalidAddressError
        If no server can be called at the URL.
    """

    def __init__(
        self,
        base_url: str,
        connections: int = DEFAULT_CONNECTIONS,
        answers: AnswerBudget | None = None,
    ) -> None:
        try:
            url = URL(base_url)
            client = _Client(url, connections)
        except ValueError as error:
            raise InvalidAddressError(
                f"{base_url[:80]!r} is no URL that can be called: {error}"
            ) from error
        self._base_url = base_url
        self._base_path = url.path.rstrip("/")
        self._url = url
        self._connections = connections
        self._client = client
        self._answers = answers or AnswerBudget(
            MAX_ANSWER_BYTES, connections * MAX_ANSWER_BYTES
        )

    def post(
        self,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: Mapping[str, str] | None = None,
    ) -> Reply:
        """Send one POST at most once and return its whole answer.

        Raises
        ------
        InvalidTargetError
            If the path is not one of an HTTP request.
        CallNotSentError
            If no connection was made; a CallRefusedError if it was refused.
        CallOutcomeUnknownError
            If the connection or the time ended before the whole answer.
        """
        return self._call("POST", path, body, timeout_s, headers)

    def get(
        self,
        path: str,
        timeout_s: float,
        headers: Mapping[str, str] | None = None,
        body_s: float = 0.0,
        limit_bytes: int = MAX_ANSWER_BYTES,
    ) -> Reply:
        """Send a GET, again if needed, and return its whole answer.

        Parameters
        ----------
        timeout_s : float
            Longest wait for the answer to begin, and for each part of it.
        body_s : float
            Longest time for the whole answer, if it is over ``timeout_s``;
            a large answer has more, by ``SLOWEST_BODY_BYTES_PER_S``.
        limit_bytes : int
            Largest answer that is worth reading.

        Raises
        ------
        InvalidTargetError
            If the path is not one of an HTTP request.
        CallNotSentError
            If no connection was made.
        CallOutcomeUnknownError
            If the connection or the time ended before the whole answer.
        """
        return self._call(
            "GET", path, b"", timeout_s, headers, body_s, limit_bytes
        )

    def close(self) -> None:
        """Close the kept connections."""
        self._client.close()

    def _drop(self, client: _Client) -> None:
        """Leave the kept connections: others may be as silent."""
        if client is self._client:
            self._client = _Client(self._url, self._connections)
            client.close()

    def _call(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: Mapping[str, str] | None,
        body_s: float = 0.0,
        limit_bytes: int = MAX_ANSWER_BYTES,
    ) -> Reply:
        target = self._base_path + path
        # The library would keep the connection on such a failure.
        if not _TARGET.fullmatch(target):
            raise InvalidTargetError(
                f"path {path!r} does not start with one '/' or holds "
                "characters that must be escaped; escape it"
            )
        # An OSError, unlike a bare Timeout, makes the library give the
        # socket back on each way out.
        expired = TimeoutError(f"no answer within {timeout_s!r} s")
        client = self._client
        try:
            started_s = monotonic()
            with Timeout(timeout_s, expired):
                response = client.request(
                    method, target, body, dict(headers or {})
                )
            _check_length(response, limit_bytes)
            whole_s = _whole_s(response, timeout_s, body_s)
            left_s = max(0.0, started_s + whole_s - monotonic())
            with Timeout(left_s, TimeoutError(f"not whole in {whole_s!r} s")):
                return _whole(response, timeout_s, self._answers)
        except _NoConnectionError as error:
            refused = isinstance(error, _NoListenerError)
            failure = CallRefusedError if refused else CallNotSentError
            raise failure(
                f"no connection to {self._base_url!r}: {error}; check that "
                "the server runs there"
            ) from error
        except (OSError, HTTPParseError) as error:
            self._drop(client)
            lost = _OUTCOME_ERRORS.get(type(error), CallOutcomeUnknownError)
            raise lost(
                f"{method} {self._base_url + path!r} got no whole answer: "
                f"{error}"
            ) from error


_OUTCOME_ERRORS: dict[type[Exception], type[CallOutcomeUnknownError]] = {
    _LargeAnswerError: AnswerTooLargeError,
    _BudgetFullError: AnswerBudgetFullError,
}


def _check_length(response: HTTPSocketPoolResponse, limit_bytes: int) -> None:
    """Fail if an answer is larger than is worth reading."""
    announced = response.content_length
    if announced is not None and announced > limit_bytes:
        response.release()
        raise _LargeAnswerError(
            f"answer of {announced!r} bytes is over {limit_bytes!r}"
        )


def _whole_s(
    response: HTTPSocketPoolResponse, timeout_s: float, body_s: float
) -> float:
    """Return the longest time in seconds for a whole answer."""
    if body_s <= timeout_s:
        return timeout_s
    announced = response.content_length or 0
    return max(body_s, announced / SLOWEST_BODY_BYTES_PER_S)


def _next_part(
    response: HTTPSocketPoolResponse,
    count: int,
    timeout_s: float,
    held_bytes: int,
) -> bytes | bytearray:
    expired = TimeoutError(
        f"no part of the body within {timeout_s!r} s after {held_bytes!r} "
        f"of {response.content_length!r} bytes"
    )
    with Timeout(timeout_s, expired):
        return response.read(count)


def _whole(
    response: HTTPSocketPoolResponse, timeout_s: float, answers: AnswerBudget
) -> Reply:
    """Read a response to its end, or fail.

    The timeout holds for each part of the body: a large answer on a slow
    link is not lost while parts of it arrive.
    """
    sock = response._sock
    if sock is not None:
        # From here on the answer's budget holds.
        sock.head_left_bytes = None
    announced = response.content_length
    if announced is not None and announced > answers.answer_bytes:
        answers.refused += 1
        response.release()
        raise _LargeAnswerError(f"answer of {announced!r} bytes is too large")
    if announced is None and "transfer-encoding" not in response:
        response.release()
        # Its end would look the same as a lost connection.
        raise HTTPParseError("answer states no length")
    body = _read_body(response, timeout_s, answers)
    if not response.message_complete or announced not in (None, len(body)):
        raise HTTPParseError(
            f"answer ended after {len(body)!r} of {announced!r} bytes"
        )
    content_type = response.get("content-type", "")
    return Reply(response.status_code, body, str(content_type))


def _read_body(
    response: HTTPSocketPoolResponse, timeout_s: float, answers: AnswerBudget
) -> bytes:
    """Read the parts of a body, each reserved before it is read."""
    announced = response.content_length
    body = BytesIO()
    held = reserved = 0
    try:
        while announced is None or held < announced:
            count = BODY_PART_BYTES
            if announced is not None:
                count = min(count, announced - held)
            if not answers.grow(held, count):
                response.release()
                if held + count > answers.answer_bytes:
                    raise _LargeAnswerError(
                        f"answer is too large after {held!r} bytes"
                    )
                raise _BudgetFullError(
                    f"no memory for the answer after {held!r} bytes, as "
                    f"{answers.held_bytes!r} are held for all answers; call "
                    "again later"
                )
            if held + count > SMALL_BYTES:
                reserved += count
            part = _next_part(response, count, timeout_s, held)
            if not part:
                break
            held += body.write(part)
        return body.getvalue()
    finally:
        # A kept error refers to this frame, but not to the body.
        body.close()
        answers.release(reserved)

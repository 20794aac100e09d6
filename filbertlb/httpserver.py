"""HTTP server with limits, on gevent's WSGI server.

A request is read whole, within its limits, before the application sees
it. What breaks a limit gets the coded error body of the interface.
"""

from __future__ import annotations

import secrets
from contextlib import contextmanager
from contextlib import suppress
from http import HTTPStatus
from io import BytesIO
from socket import IPPROTO_TCP
from socket import SHUT_RD
from socket import SHUT_WR
from socket import TCP_NODELAY
from typing import TYPE_CHECKING

from gevent import Timeout
from gevent.pool import Pool
from gevent.pywsgi import Input
from gevent.pywsgi import WSGIHandler
from gevent.pywsgi import WSGIServer

from filbertlb.api.calls import BodyTooLargeError
from filbertlb.api.calls import error_reply
from filbertlb.errors import FilbertlbError
from filbertlb.errors import InvalidInputError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator
    from typing import Any

    from filbertlb.settings.process import Limits

REQUEST_ID_BYTES = 8
LINGER_S = 1.0
LINGER_BLOCK_BYTES = 64 * 1024


class MalformedRequestError(InvalidInputError):
    """The bytes are not one whole HTTP request."""

    code = "malformed_request"


class HeadersTooLargeError(InvalidInputError):
    """The headers are over the limit."""

    code = "headers_too_large"
    status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE


class LengthRequiredError(InvalidInputError):
    """The body's length is not stated."""

    code = "length_required"
    status = HTTPStatus.LENGTH_REQUIRED


class RequestTooSlowError(InvalidInputError):
    """The request did not arrive in time."""

    code = "request_too_slow"
    status = HTTPStatus.REQUEST_TIMEOUT


class _BoundedLines:
    """File of header lines that refuses more than a number of bytes."""

    def __init__(self, file: Any, limit_bytes: int) -> None:
        self._file = file
        self._limit_bytes = limit_bytes
        self._left_bytes = limit_bytes

    def readline(self, size: int = -1) -> bytes:
        """Return the next line."""
        line = self._file.readline(size)
        self._left_bytes -= len(line)
        if self._left_bytes < 0:
            raise HeadersTooLargeError(
                f"the headers are over {self._limit_bytes} bytes"
            )
        return line


class _Handler(WSGIHandler):
    """Serves one connection."""

    server: _Server
    idle = True
    body = b""

    def handle(self) -> None:
        """Serve requests until the connection ends."""
        self.socket.settimeout(self.server.limits.connection_idle_s)
        self.server.handlers.add(self)
        try:
            super().handle()
        finally:
            self.server.handlers.discard(self)

    def read_requestline(self) -> str:
        """Wait for a request; an idle connection is closed."""
        if self.server.stopping:
            return ""
        self.idle = True
        # The base class closes the connection on an OSError.
        expired = TimeoutError("idle")
        with Timeout(self.server.limits.connection_idle_s, expired):
            line = super().read_requestline()
        self.idle = False
        return line

    def read_request(self, raw_requestline: str) -> bool:
        """Read headers and body, each within its time."""
        limits = self.server.limits
        slow = RequestTooSlowError("the headers did not arrive in time")
        with Timeout(limits.connection_idle_s, slow):
            super().read_request(raw_requestline)
        slow = RequestTooSlowError("the body did not arrive in time")
        with Timeout(limits.body_s, slow):
            self.body = self._read_body(limits.body_bytes)
        return True

    def MessageClass(self, file: Any, *args: Any) -> Any:  # noqa: N802
        """Parse the headers within their limit."""
        lines = _BoundedLines(file, self.server.limits.header_bytes)
        return super().MessageClass(lines, *args)

    def get_environ(self) -> dict[str, Any]:
        """Return the environment, with the body that was read."""
        environ = super().get_environ()
        self.wsgi_input = Input(BytesIO(self.body), len(self.body))
        environ["wsgi.input"] = self.wsgi_input
        return environ

    def finalize_headers(self) -> None:
        """Tell the caller when the connection will end."""
        if self.server.stopping:
            self.close_connection = True
            self.response_headers.append((b"Connection", b"close"))
        super().finalize_headers()

    def _read_body(self, limit_bytes: int) -> bytes:
        if self.headers.get("transfer-encoding"):
            raise LengthRequiredError("send a Content-Length, not chunks")
        length = self.content_length or 0
        if length > limit_bytes:
            raise BodyTooLargeError(
                f"the body has {length!r} bytes, over {limit_bytes}"
            )
        if length and self.headers.get("expect", "").lower():
            self.socket.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        body = self.rfile.read(length)
        if len(body) < length:
            raise MalformedRequestError(
                f"the body ended after {len(body)!r} of {length!r} bytes"
            )
        return body

    def _handle_client_error(self, ex: Exception) -> None:
        """Answer what is no request within the limits, then close."""
        error = (
            ex
            if isinstance(ex, FilbertlbError)
            else MalformedRequestError("the bytes are not an HTTP request")
        )
        with suppress(OSError):
            self.socket.sendall(_raw_response(error))
            self._linger()

    def _linger(self) -> None:
        """Drop what still comes, so that the answer is not reset."""
        self.socket.shutdown(SHUT_WR)
        with Timeout(LINGER_S, False):
            while self.socket.recv(LINGER_BLOCK_BYTES):
                pass


class _Server(WSGIServer):
    """Server that knows its connections."""

    handler_class = _Handler

    def __init__(
        self, listener: tuple[str, int], application: Any, limits: Limits
    ) -> None:
        super().__init__(
            listener,
            application,
            spawn=Pool(limits.connections),
            log=None,
            error_log=None,
        )
        self.limits = limits
        self.stopping = False
        self.handlers: set[_Handler] = set()

    def drain(self, drain_s: float) -> None:
        """Stop accepting, let requests in flight end, then stop."""
        self.stopping = True
        self.close()
        for handler in list(self.handlers):
            if handler.idle:
                with suppress(OSError):
                    handler.socket.shutdown(SHUT_RD)
        self.stop(timeout=drain_s)


def without_delay(server: WSGIServer) -> None:
    """Send answers at once; accepted connections inherit the option.

    Headers and body leave in two writes. With Nagle's algorithm the
    second waits for the peer's delayed acknowledgement.
    """
    server.socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)


@contextmanager
def serving_http(
    application: Callable[..., Iterable[bytes]],
    address: str,
    port: int,
    limits: Limits,
) -> Iterator[str]:
    """Serve until the block ends, then drain; yield the base URL.

    Parameters
    ----------
    application : callable
        WSGI application.
    port : int
        Port; 0 lets the system choose one.
    limits : Limits
        Bounds of requests and connections. Connections over the limit
        wait to be accepted.
    """
    server = _Server((address, port), application, limits)
    server.start()
    without_delay(server)
    try:
        yield f"http://{address}:{server.server_port}"
    finally:
        server.drain(limits.drain_s)


def _raw_response(error: FilbertlbError) -> bytes:
    reply = error_reply(error, secrets.token_hex(REQUEST_ID_BYTES))
    status = HTTPStatus(reply.status)
    head = (
        f"HTTP/1.1 {status.value} {status.phrase}\r\n"
        f"Content-Type: {reply.content_type}\r\n"
        f"Content-Length: {len(reply.body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode("latin-1") + reply.body

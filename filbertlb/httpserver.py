"""HTTP server with limits, on gevent's WSGI server.

A request is read whole, within its limits, before the application sees
it. What breaks a limit gets the coded error body of the interface. Memory
is reserved at :class:`filbertlb.admission.Admission` before it is used and
grows with what has arrived, not with what is announced.
"""

from __future__ import annotations

import secrets
from contextlib import contextmanager
from contextlib import suppress
from errno import ECONNRESET
from http import HTTPStatus
from io import BytesIO
from socket import IPPROTO_TCP
from socket import SHUT_RD
from socket import SHUT_RDWR
from socket import SHUT_WR
from socket import TCP_NODELAY
from time import monotonic
from typing import TYPE_CHECKING

from gevent import sleep
from gevent import spawn_later
from gevent import Timeout
from gevent.pool import Pool
from gevent.pywsgi import Input
from gevent.pywsgi import MAX_REQUEST_LINE
from gevent.pywsgi import WSGIHandler
from gevent.pywsgi import WSGIServer
from loguru import logger

from filbertlb.admission import Admission
from filbertlb.admission import Phase
from filbertlb.admission import Verdict
from filbertlb.allocator import return_large_blocks
from filbertlb.api.calls import BodyTooLargeError
from filbertlb.api.calls import error_reply
from filbertlb.errors import FilbertlbError
from filbertlb.errors import InvalidInputError
from filbertlb.errors import UnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator
    from typing import Any

    from filbertlb.admission import Connection
    from filbertlb.settings.process import Limits

REQUEST_ID_BYTES = 8
LINGER_S = 1.0
LINGER_BLOCK_BYTES = 64 * 1024
READ_BLOCK_BYTES = 64 * 1024
"""Part of a body that is reserved and read at once."""
SEND_BLOCK_BYTES = 64 * 1024
"""Part of a response that must leave within the progress time."""
ROOM_PERIOD_S = 0.25
"""Time between two looks for stalled connections while a listener is full."""
REQUESTS_PER_TURN = 16
"""Requests of one connection after which others get their turn.

Reading what has already arrived does not switch tasks.
"""
RETRY_AFTER_S = 2.0
"""Twice the time after which stalled connections are closed for others."""


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


class ServerBusyError(UnavailableError):
    """The process has no memory left for the request; it was not run."""

    code = "server_busy"


class AddressBusyError(UnavailableError):
    """The client's address holds its share of memory; nothing was run."""

    code = "address_busy"
    status = HTTPStatus.TOO_MANY_REQUESTS


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
    held: Connection
    idle = True
    body = b""
    _partial: BytesIO | None = None
    _requests = 0

    def handle(self) -> None:
        """Serve requests until the connection ends."""
        admission = self.server.admission
        self.held = admission.open(self.client_address[0], monotonic(), self)
        self.server.handlers.add(self)
        try:
            super().handle()
        finally:
            self.server.handlers.discard(self)
            admission.close(self.held)

    def read_requestline(self) -> str:
        """Wait for a request; an idle connection is closed."""
        if self.server.stopping or self.held.closing:
            return ""
        self._requests += 1
        if self._requests % REQUESTS_PER_TURN == 0:
            sleep(0)
        self.idle = True
        idle_s = self.server.limits.connection_idle_s
        self.socket.settimeout(idle_s)
        # The base class closes the connection on an OSError. A line that has
        # arrived whole needs no timer, which saves 3 us.
        if b"\n" in self.rfile.peek():
            line = super().read_requestline()
        else:
            expired = TimeoutError("idle")
            with Timeout(idle_s, expired):
                line = super().read_requestline()
        self.idle = False
        if len(line) >= MAX_REQUEST_LINE:
            self.server.count_refusal("request_line_too_long")
        return line

    def read_request(self, raw_requestline: str) -> bool:
        """Read headers and body, each within its time."""
        limits = self.server.limits
        now_s = monotonic()
        self.held.enter(Phase.READING, now_s)
        self._reserve(limits.header_bytes, now_s)
        # Bounds each wait for more bytes.
        self.socket.settimeout(self.server.wait_s)
        try:
            # Headers that have arrived whole need no timer either.
            if b"\r\n\r\n" in self.rfile.peek():
                super().read_request(raw_requestline)
            else:
                slow = RequestTooSlowError(
                    "the headers did not arrive in time"
                )
                with Timeout(limits.connection_idle_s, slow):
                    super().read_request(raw_requestline)
            self.body = b""
            if self.content_length or "transfer-encoding" in self.headers:
                slow = RequestTooSlowError("the body did not arrive in time")
                with Timeout(limits.body_s, slow):
                    self.body = self._read_body(limits.body_bytes)
        except OSError as error:
            if self.held.closing:
                raise self._busy(Verdict.PROCESS_FULL) from error
            if isinstance(error, TimeoutError):
                raise RequestTooSlowError(
                    f"nothing arrived for {self.server.wait_s!r} s"
                ) from error
            raise
        if self.held.closing:
            raise self._busy(Verdict.PROCESS_FULL)
        # A running request is never closed for others.
        self.held.phase = Phase.RUNNING
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

    def handle_one_response(self) -> None:
        """Run the application; nothing of the request is kept after it."""
        try:
            super().handle_one_response()
        finally:
            self._let_go()

    def process_result(self) -> None:
        """Send the response, which is held until the client takes it."""
        if len(self.body) > READ_BLOCK_BYTES:
            # A kept input would hold the body while nobody reads.
            self.body = b""
            self.wsgi_input = Input(BytesIO(), 0)
            assert self.environ is not None
            self.environ["wsgi.input"] = self.wsgi_input
        # All applications here announce their length.
        count = int(self.provided_content_length or 0)
        self.server.close_all(
            self.server.admission.respond(self.held, count, monotonic())
        )
        super().process_result()

    def finalize_headers(self) -> None:
        """Tell the caller when the connection will end."""
        if self.server.stopping:
            self.close_connection = True
            self.response_headers.append((b"Connection", b"close"))
        super().finalize_headers()

    def close_for_others(self) -> None:
        """Wake the task of this connection, which then ends it.

        Its memory counts as released, so the body read so far goes at once.
        """
        self.server.count_refusal(f"closed_{self.held.phase.value}")
        self._drop_body()
        writing = self.held.phase is Phase.WRITING
        with suppress(OSError):
            self.socket.shutdown(SHUT_RDWR if writing else SHUT_RD)

    def _drop_body(self) -> None:
        if self._partial is not None:
            self._partial.close()
            self._partial = None

    def _let_go(self) -> None:
        self.body = b""
        self.environ = None
        self.wsgi_input = None
        self.server.admission.release(self.held)
        self.held.served = True
        self.held.enter(Phase.IDLE, monotonic())

    def _sendall(self, data: bytes) -> None:
        """Send in blocks, each within the progress time."""
        try:
            if len(data) <= SEND_BLOCK_BYTES:
                super()._sendall(data)
                return
            view = memoryview(data)
            for start in range(0, len(view), SEND_BLOCK_BYTES):
                super()._sendall(view[start : start + SEND_BLOCK_BYTES])
                self.held.move(SEND_BLOCK_BYTES, monotonic())
        except OSError as error:
            timed_out = isinstance(error, TimeoutError)
            if timed_out:
                self.server.count_refusal("response_unread")
            if timed_out or self.held.closing:
                # The base class shows a traceback of other errors.
                raise ConnectionResetError(ECONNRESET, "unread") from error
            raise

    def _reserve(self, count: int, now_s: float) -> None:
        decision = self.server.admission.reserve(self.held, count, now_s)
        if decision.closed:
            self.server.close_all(decision.closed)
        if decision.verdict is not Verdict.GRANTED:
            raise self._busy(decision.verdict)

    def _busy(self, verdict: Verdict) -> FilbertlbError:
        if verdict is Verdict.ADDRESS_FULL:
            return AddressBusyError(
                f"requests from {self.held.address!r} hold the memory for "
                "one address; send fewer at once",
                retry_after_s=RETRY_AFTER_S,
            )
        return ServerBusyError(
            "no memory is left for the request; send it again later",
            retry_after_s=RETRY_AFTER_S,
        )

    def _read_body(self, limit_bytes: int) -> bytes:
        if self.headers.get("transfer-encoding"):
            raise LengthRequiredError("send a Content-Length, not chunks")
        length: int = self.content_length
        if length > limit_bytes:
            raise BodyTooLargeError(
                f"the body has {length!r} bytes, over {limit_bytes}"
            )
        if self.headers.get("expect", "").lower():
            self.socket.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        if length <= READ_BLOCK_BYTES:
            self._reserve(length, monotonic())
            body = self.rfile.read(length)
        else:
            body = self._read_blocks(length)
        if len(body) < length:
            if self.held.closing:
                raise self._busy(Verdict.PROCESS_FULL)
            raise MalformedRequestError(
                f"the body ended after {len(body)!r} of {length!r} bytes"
            )
        return body

    def _read_blocks(self, length: int) -> bytes:
        """Read a large body in blocks, each reserved before it is read."""
        self._partial = partial = BytesIO()
        try:
            left = length
            while left:
                count = min(left, READ_BLOCK_BYTES)
                self._reserve(count, monotonic())
                arrived = 0
                while arrived < count:
                    block = self.rfile.read1(count - arrived)
                    if self.held.closing:
                        raise self._busy(Verdict.PROCESS_FULL)
                    if not block:
                        return partial.getvalue()
                    partial.write(block)
                    arrived += len(block)
                    self.held.move(len(block), monotonic())
                left -= count
            return partial.getvalue()
        finally:
            # An error on its way refers to this frame, but not to the body.
            self._drop_body()

    def _handle_client_error(self, ex: Exception) -> None:
        """Answer what is no request within the limits, then close."""
        error = (
            ex
            if isinstance(ex, FilbertlbError)
            else MalformedRequestError("the bytes are not an HTTP request")
        )
        self._let_go()
        self.server.count_refusal(error.code)
        with suppress(OSError):
            self.socket.sendall(_raw_response(error))
            self._linger()

    def _linger(self) -> None:
        """Drop what still comes, so that the answer is not reset."""
        self.socket.shutdown(SHUT_WR)
        with Timeout(LINGER_S, False):
            while self.socket.recv(LINGER_BLOCK_BYTES):
                # A fast sender would keep the timeout from being seen.
                sleep(0)


class _Server(WSGIServer):
    """Server that knows its connections."""

    handler_class = _Handler

    def __init__(
        self,
        listener: tuple[str, int],
        application: Any,
        limits: Limits,
        admission: Admission,
    ) -> None:
        super().__init__(
            listener,
            application,
            spawn=Pool(limits.connections),
            log=None,
            error_log=None,
        )
        self.limits = limits
        self.wait_s = min(limits.progress_s, limits.connection_idle_s)
        self.admission = admission
        self.stopping = False
        self.handlers: set[_Handler] = set()
        self._makes_room = False
        # The base class would only ask the pool.
        self.full = self._is_full

    def drain(self, drain_s: float) -> None:
        """Stop accepting, let requests in flight end, then stop."""
        self.stopping = True
        self.close()
        for handler in list(self.handlers):
            if handler.idle:
                with suppress(OSError):
                    handler.socket.shutdown(SHUT_RD)
        self.stop(timeout=drain_s)

    def close_all(self, connections: Iterable[Connection]) -> None:
        """Close connections, also of other listeners."""
        for connection in connections:
            connection.owner.close_for_others()

    def count_refusal(self, kind: str) -> None:
        """Count a refusal, and log it unless its kind was logged lately."""
        count = self.admission.count_refusal(kind, monotonic())
        if count:
            logger.warning(
                "port {}: {} refused or closed as {}, {} since the start, "
                "{} bytes held",
                *(self.server_port, count, kind),
                *(self.admission.refusals[kind], self.admission.held_bytes),
            )

    def _is_full(self) -> bool:
        """Tell whether no connection is accepted; then make room."""
        full: bool = self.pool.full()
        if full and not self._makes_room:
            self._makes_room = True
            self._make_room()
        return full

    def _make_room(self) -> None:
        """Close stalled connections until the listener is not full."""
        if self.stopping or not self.pool.full():
            self._makes_room = False
            return
        held = [handler.held for handler in self.handlers]
        half = max(1, self.limits.connections // 2)
        self.close_all(self.admission.make_room(held, half, monotonic()))
        spawn_later(ROOM_PERIOD_S, self._make_room)


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
    admission: Admission | None = None,
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
    admission : Admission, optional
        Budget that all listeners of the process share; by default one of
        its own.
    """
    return_large_blocks()
    budget = admission or Admission(limits.held_bytes)
    server = _Server((address, port), application, limits, budget)
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
        + "".join(f"{name}: {value}\r\n" for name, value in reply.headers)
        + "Connection: close\r\n\r\n"
    )
    return head.encode("latin-1") + reply.body

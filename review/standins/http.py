"""HTTP/1.1 server of the stand-ins, which can end like a killed process."""

from __future__ import annotations

import json
import socket
import threading
from collections.abc import Callable
from contextlib import suppress
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import urlsplit

Answer = tuple[int, dict[str, Any]]
Handle = Callable[[str, str, dict[str, str], Any, Any], Answer]
"""Method, path, query, headers and decoded body give status and body."""


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore connections that the peer or a crash has ended."""


class JsonServer:
    """Serves JSON on a loopback address until it is stopped."""

    def __init__(self, port: int, handle: Handle) -> None:
        self._sockets: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._server = _Server(("127.0.0.1", port), self._handler(handle))
        self.port = self._server.server_port
        threading.Thread(
            target=self._server.serve_forever, args=(0.02,), daemon=True
        ).start()

    def stop(self) -> None:
        """Close the port and all connections at once."""
        self._server.shutdown()
        self._server.server_close()
        with self._lock:
            sockets = list(self._sockets)
        for connection in sockets:
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _handler(self, handle: Handle) -> type[BaseHTTPRequestHandler]:
        server = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            wbufsize = -1
            disable_nagle_algorithm = True

            def setup(self) -> None:
                super().setup()
                with server._lock:
                    server._sockets.add(self.connection)

            def finish(self) -> None:
                with server._lock:
                    server._sockets.discard(self.connection)
                super().finish()

            def log_message(self, *_: Any) -> None:
                """Log nothing: the stand-ins write the record."""

            def _serve(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                text = self.rfile.read(length)
                body = json.loads(text) if text else None
                parts = urlsplit(self.path)
                query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                status, answer = handle(
                    self.command, parts.path, query, self.headers, body
                )
                out = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(out)))
                self.end_headers()
                self.wfile.write(out)
                self.wfile.flush()

            do_GET = do_POST = do_PUT = do_DELETE = _serve  # noqa: N815

        return Handler

"""Serves the stand-ins on gevent's WSGI server."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from gevent.pool import Pool
from gevent.pywsgi import WSGIServer

from filbertlb.httpserver import without_delay

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator


@contextmanager
def serving(
    service: Callable[..., Iterable[bytes]],
    address: str = "127.0.0.1",
    port: int = 0,
) -> Iterator[str]:
    """Serve until the block ends; yield the base URL.

    Parameters
    ----------
    port : int
        Port; 0 lets the system choose one.
    """
    # Connections end with the server only if it has a pool.
    server = WSGIServer(
        (address, port), service, log=None, error_log=None, spawn=Pool()
    )
    server.start()
    without_delay(server)
    try:
        yield f"http://{address}:{server.server_port}"
    finally:
        server.stop(timeout=0)

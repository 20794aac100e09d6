"""WSGI helpers shared by the HTTP servers that speak the platform's API."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any
from typing import TYPE_CHECKING

import attrs
import msgspec

from filbertlb.errors import FilbertlbError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping


@attrs.frozen
class JsonResponse:
    """HTTP response with a JSON body."""

    status: int
    body: Any = None
    retry_after_s: float | None = None


def json_application(
    handle: Callable[[Mapping[str, Any]], JsonResponse],
) -> Callable[..., Iterable[bytes]]:
    """Return a WSGI application that serves a handler's JSON responses.

    A :class:`FilbertlbError` raised by the handler becomes an error response.
    """

    def application(
        environ: Mapping[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        try:
            response = handle(environ)
        except FilbertlbError as error:
            response = error_response(error)
        body = b"{}" if response.body is None else _encode(response.body)
        status = HTTPStatus(response.status)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        if response.retry_after_s is not None:
            # Retry-After only allows whole seconds.
            seconds = max(1, round(response.retry_after_s))
            headers.append(("Retry-After", str(seconds)))
        start_response(f"{status.value} {status.phrase}", headers)
        return [body]

    return application


def error_response(error: FilbertlbError) -> JsonResponse:
    """Return the response that reports an error's code and message."""
    body = {"code": error.code, "message": error.message}
    return JsonResponse(int(error.status), body, error.retry_after_s)


def _encode(body: Any) -> bytes:
    return msgspec.json.encode(body)

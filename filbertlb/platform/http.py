"""Small WSGI pieces that the platform's servers share."""

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
    """A response with a JSON body."""

    status: int
    body: Any = None
    retry_after_s: float | None = None


def json_application(
    handle: Callable[[Mapping[str, Any]], JsonResponse],
) -> Callable[..., Iterable[bytes]]:
    """Return a WSGI application; failures become their coded answers."""

    def application(
        environ: Mapping[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        try:
            answer = handle(environ)
        except FilbertlbError as error:
            answer = error_response(error)
        body = b"{}" if answer.body is None else _encode(answer.body)
        status = HTTPStatus(answer.status)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        if answer.retry_after_s is not None:
            # The header has whole seconds only.
            seconds = max(1, round(answer.retry_after_s))
            headers.append(("Retry-After", str(seconds)))
        start_response(f"{status.value} {status.phrase}", headers)
        return [body]

    return application


def error_response(error: FilbertlbError) -> JsonResponse:
    """Return the answer that tells a failure."""
    body = {"code": error.code, "message": error.message}
    return JsonResponse(int(error.status), body, error.retry_after_s)


def split_address(address: str) -> tuple[str, int]:
    """Return host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def _encode(body: Any) -> bytes:
    return msgspec.json.encode(body)

"""The serving side of typed calls: a handler for each path."""

from __future__ import annotations

from errno import ECONNRESET
from typing import TYPE_CHECKING

import attrs
from msgspec.json import encode

from filbertlb.decoding import decode_json
from filbertlb.decoding import MalformedDataError
from filbertlb.errors import FilbertlbError
from filbertlb.errors import InvalidInputError
from filbertlb.errors import NotFoundError
from filbertlb.errors import OutcomeUnknownError
from filbertlb.typedcall import ErrorReply

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping
    from typing import Any
    from typing import TypeAlias

    Environ: TypeAlias = Mapping[str, Any]
    StartResponse: TypeAlias = Callable[[str, list[tuple[str, str]]], Any]
    Handler: TypeAlias = Callable[[str, bytes], "Response"]

JSON_TYPE = "application/json"


@attrs.frozen
class Response:
    """A whole response."""

    status: int
    body: bytes
    content_type: str = JSON_TYPE


@attrs.frozen
class Service:
    """A WSGI application that finds its handlers by path.

    Parameters
    ----------
    handler_by_path : mapping of str to callable
        Handlers, which take the path and the body.
    fallback : callable, optional
        Handles every other path.
    """

    handler_by_path: Mapping[str, Handler]
    fallback: Handler | None = None

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        path = environ["PATH_INFO"]
        body = environ["wsgi.input"].read()
        response = self._respond(path, body)
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
        ]
        start_response(f"{response.status} -", headers)
        return [response.body]

    def _respond(self, path: str, body: bytes) -> Response:
        handler = self.handler_by_path.get(path, self.fallback)
        try:
            if handler is None:
                raise NotFoundError(f"no such path: {path!r}")
            return handler(path, body)
        except OutcomeUnknownError as error:
            # The server closes the connection without an answer on this.
            raise ConnectionResetError(ECONNRESET, error.message) from error
        except FilbertlbError as error:
            reply = ErrorReply(error.code, error.message)
            return Response(error.status, encode(reply))


def typed(call_type: type[Any], function: Callable[[Any], object]) -> Handler:
    """Return a handler that decodes a call and encodes its answer."""

    def handle(path: str, body: bytes) -> Response:
        try:
            call = decode_json(body, call_type)
        except MalformedDataError as error:
            raise InvalidInputError(
                f"body of {path!r}: {error}; see the module of the call"
            ) from error
        return Response(200, encode(function(call)))

    return handle

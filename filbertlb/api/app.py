"""WSGI application: routes, authentication, limits and errors."""

from __future__ import annotations

import secrets
from enum import StrEnum
from typing import Protocol
from typing import TYPE_CHECKING

import attrs
from loguru import logger
from werkzeug.exceptions import HTTPException
from werkzeug.exceptions import MethodNotAllowed
from werkzeug.exceptions import RequestEntityTooLarge
from werkzeug.routing import Map
from werkzeug.routing import Rule
from werkzeug.wrappers import Request
from werkzeug.wrappers import Response

from filbertlb.api.calls import BodyTooLargeError
from filbertlb.api.calls import Call
from filbertlb.api.calls import error_reply
from filbertlb.api.calls import ForbiddenError
from filbertlb.api.calls import Identity
from filbertlb.errors import FilbertlbError
from filbertlb.errors import InvalidInputError
from filbertlb.errors import NotFoundError
from filbertlb.errors import Ran
from filbertlb.errors import UnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from wsgiref.types import StartResponse
    from wsgiref.types import WSGIEnvironment

    from filbertlb.api.auth import TokenStore
    from filbertlb.api.calls import Reply
    from filbertlb.core.clock import Clock
    from filbertlb.metrics import Metrics

REQUEST_ID_BYTES = 8
RETRY_AFTER_DRAINING_S = 1.0
ANONYMOUS = Identity("anonymous")


class Access(StrEnum):
    """Who may call a route."""

    PUBLIC = "public"
    CALLER = "caller"
    OPERATOR = "operator"


class MethodNotAllowedError(InvalidInputError):
    """The path exists, but not with this method."""

    code = "method_not_allowed"
    status = 405


class InstanceDrainingError(UnavailableError):
    """The instance is leaving; another one takes the work."""

    code = "instance_draining"


class InternalError(FilbertlbError):
    """A fault of the server; the outcome may not be known."""

    code = "internal"
    status = 500
    default_ran = Ran.UNKNOWN


@attrs.frozen
class Route:
    """One method and path with its handler.

    Parameters
    ----------
    path : str
        Pattern such as ``/v1/jobs/<job_id>``.
    """

    method: str
    path: str
    access: Access
    handler: Callable[[Call], Reply]


class RouteSet(Protocol):
    """A group of handlers."""

    def routes(self) -> Iterable[Route]:
        """Return the routes of the group."""
        ...


class Application:
    """Serves the routes of all groups.

    Parameters
    ----------
    tokens : TokenStore
        Tells who calls.
    route_sets : iterable of RouteSet
        Groups of handlers.
    max_body_bytes : int
        Most bytes of a request's body.
    metrics : Metrics
        Counts the calls.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        tokens: TokenStore,
        route_sets: Iterable[RouteSet],
        max_body_bytes: int,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self.in_flight = 0
        self.draining = False
        self._tokens = tokens
        self._metrics = metrics
        self._clock = clock
        self._max_body_bytes = max_body_bytes
        self.routes = tuple(
            route for group in route_sets for route in group.routes()
        )
        self._map = Map(
            [
                Rule(route.path, methods=[route.method], endpoint=route)
                for route in self.routes
            ]
        )

    def __call__(
        self, environ: WSGIEnvironment, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        request_id = secrets.token_hex(REQUEST_ID_BYTES)
        started_s = self._clock.monotonic()
        self.in_flight += 1
        try:
            with logger.contextualize(request_id=request_id):
                reply, code = self._serve(environ, request_id)
        finally:
            self.in_flight -= 1
        self._metrics.requests.add(1, {"code": code})
        self._metrics.request_s.record(self._clock.monotonic() - started_s)
        response = Response(
            reply.body, reply.status, content_type=reply.content_type
        )
        response.headers["X-Request-Id"] = request_id
        for name, value in reply.headers:
            response.headers[name] = value
        return response(environ, start_response)

    def _serve(
        self, environ: WSGIEnvironment, request_id: str
    ) -> tuple[Reply, str]:
        try:
            reply = self._call(environ, request_id)
            return reply, str(reply.status)
        except FilbertlbError as error:
            return error_reply(error, request_id), error.code
        except Exception:
            logger.exception("unhandled failure")
            failure = InternalError("a fault of the server; ask again")
            return error_reply(failure, request_id), failure.code

    def _call(self, environ: WSGIEnvironment, request_id: str) -> Reply:
        request = Request(environ)
        request.max_content_length = self._max_body_bytes
        route, params = self._match(environ, request)
        if self.draining and route.method != "GET":
            raise InstanceDrainingError(
                "the instance is leaving; send it to another one",
                retry_after_s=RETRY_AFTER_DRAINING_S,
            )
        identity = self._identify(request, route.access)
        call = Call(
            identity,
            params,
            request.args.to_dict(),
            dict(request.headers),
            self._body(request),
            request_id,
        )
        return route.handler(call)

    def _match(
        self, environ: WSGIEnvironment, request: Request
    ) -> tuple[Route, dict[str, str]]:
        try:
            route, params = self._map.bind_to_environ(environ).match()
        except MethodNotAllowed as error:
            raise MethodNotAllowedError(
                f"{request.method!r} is not allowed for {request.path!r}; "
                f"use one of {sorted(error.valid_methods or ())!r}"
            ) from error
        except HTTPException as error:
            raise NotFoundError(
                f"there is no path {request.path!r}"
            ) from error
        return route, dict(params)

    def _identify(self, request: Request, access: Access) -> Identity:
        if access == Access.PUBLIC:
            return ANONYMOUS
        header = request.headers.get("Authorization")
        identity = self._tokens.authenticate(header)
        if access == Access.OPERATOR and not identity.operator:
            raise ForbiddenError("the call needs an operator's token")
        return identity

    def _body(self, request: Request) -> bytes:
        try:
            return request.get_data()
        except RequestEntityTooLarge as error:
            raise BodyTooLargeError(
                f"the body is over {self._max_body_bytes} bytes"
            ) from error

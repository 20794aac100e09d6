"""HTTP routes about the service itself."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any
from typing import TYPE_CHECKING

from filbertlb.api.app import Access
from filbertlb.api.app import Route
from filbertlb.api.calls import json_reply
from filbertlb.api.calls import Reply
from filbertlb.metrics import METRICS_CONTENT_TYPE

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from filbertlb.api.calls import Call


class ServiceRoutes:
    """Health, readiness, metrics and status.

    Parameters
    ----------
    ready : callable
        Tells whether the instance takes new work.
    status : callable
        Returns what operators are shown.
    render : callable
        Returns this role's metrics.
    """

    def __init__(
        self,
        ready: Callable[[], bool],
        status: Callable[[], dict[str, Any]],
        render: Callable[[], bytes],
    ) -> None:
        self._ready = ready
        self._status = status
        self._render_metrics = render

    def routes(self) -> Iterable[Route]:
        """Return the routes of the group."""
        public = Access.PUBLIC
        return (
            Route("GET", "/healthz", public, self._health),
            Route("GET", "/readyz", public, self._readiness),
            Route("GET", "/metrics", public, self._render),
            Route("GET", "/v1/status", Access.OPERATOR, self._show),
        )

    def _health(self, call: Call) -> Reply:
        return json_reply({"healthy": True})

    def _readiness(self, call: Call) -> Reply:
        ready = self._ready()
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        return json_reply({"ready": ready}, status)

    def _render(self, call: Call) -> Reply:
        body = self._render_metrics()
        return Reply(HTTPStatus.OK, body, METRICS_CONTENT_TYPE)

    def _show(self, call: Call) -> Reply:
        return json_reply(self._status())

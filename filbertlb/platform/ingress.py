"""HTTP interface for callers: jobs under the path prefix of their queue."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from loguru import logger

from filbertlb.api.calls import UnauthenticatedError
from filbertlb.batch.configuration import NoQueueError
from filbertlb.errors import FilbertlbError
from filbertlb.errors import NotFoundError
from filbertlb.errors import UnavailableError
from filbertlb.platform.http import error_response
from filbertlb.platform.http import JsonResponse
from filbertlb.platform.wire import decode_job
from filbertlb.platform.wire import request_header

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from filbertlb.batch.configuration import CurrentConfiguration
    from filbertlb.batch.configuration import Queue
    from filbertlb.batch.forwarding import JobForwarder
    from filbertlb.core.clock import Clock

RETRY_AFTER_S = 1.0
BEHIND_RETRY_AFTER_S = 1.0
"""Time after which an entry usually has a newer configuration."""


class ConfigurationBehindError(UnavailableError):
    """A newer configuration, not read here yet, may allow the request."""

    code = "configuration_behind"


class Ingress:
    """HTTP handler for submitting, querying and cancelling jobs.

    Parameters
    ----------
    jobs : Handover
        Executes the callers' requests.
    may_be_behind : callable
        Returns whether there may be a newer configuration.
    observe : callable
        Called with the status and duration in seconds of each request.
    """

    def __init__(
        self,
        jobs: JobForwarder,
        in_force: CurrentConfiguration,
        may_be_behind: Callable[[], bool],
        clock: Clock,
        observe: Callable[[str, float], None],
    ) -> None:
        self._jobs = jobs
        self._in_force = in_force
        self._may_be_behind = may_be_behind
        self._clock = clock
        self._observe = observe

    def handle(self, environ: Mapping[str, Any]) -> JsonResponse:
        """Handle one request and log it with the configuration version.

        Responses with status 429 or 503 always carry a retry delay.
        """
        started_s = self._clock.monotonic()
        try:
            response = self._route(environ)
        except FilbertlbError as error:
            response = error_response(error)
            if (
                response.status in (429, 503)
                and response.retry_after_s is None
            ):
                response = JsonResponse(
                    response.status, response.body, RETRY_AFTER_S
                )
        duration_s = self._clock.monotonic() - started_s
        self._observe(str(response.status), duration_s)
        logger.info(
            "{} {} -> {} in {:.0f} ms, configuration {}: {}",
            *(environ["REQUEST_METHOD"], environ["PATH_INFO"]),
            *(response.status, duration_s * 1000, self._in_force.version),
            response.body,
        )
        return response

    def _route(self, environ: Mapping[str, Any]) -> JsonResponse:
        path = environ["PATH_INFO"]
        queue, organisation_id = self._queue_and_organisation(environ)
        job_id = path.removeprefix(queue.prefix)
        method = environ["REQUEST_METHOD"]
        if not job_id and method == "GET":
            return JsonResponse(
                200, {"pending": self._jobs.pending(queue.name)}
            )
        if not job_id or "/" in job_id:
            raise NotFoundError(f"invalid job id {job_id!r}")
        if method == "POST":
            return self._submit(environ, queue, organisation_id, job_id)
        if method == "GET":
            return JsonResponse(200, {"state": self._jobs.state(job_id).value})
        if method == "DELETE":
            self._jobs.cancel(job_id)
            return JsonResponse(200)
        return JsonResponse(405, {"code": "method_not_allowed"})

    def _queue_and_organisation(
        self, environ: Mapping[str, Any]
    ) -> tuple[Queue, str]:
        """Return the queue that a request is for, and whose request it is."""
        configuration = self._in_force.get()
        host = request_header(environ, "Host").partition(":")[0]
        try:
            queue = configuration.queue_for(host, environ["PATH_INFO"])
            return queue, configuration.organisation_of(
                queue, request_header(environ, "X-Api-Key")
            )
        except (NoQueueError, UnauthenticatedError) as error:
            if not self._may_be_behind():
                raise
            raise ConfigurationBehindError(
                f"{error.message}, and there may be a newer one; try again",
                retry_after_s=BEHIND_RETRY_AFTER_S,
            ) from error

    def _submit(
        self,
        environ: Mapping[str, Any],
        queue: Queue,
        organisation_id: str,
        job_id: str,
    ) -> JsonResponse:
        now_ms = int(self._clock.wall() * 1000)
        body = environ["wsgi.input"].read()
        job = decode_job(body, job_id, queue, organisation_id, now_ms)
        self._jobs.submit(job)
        return JsonResponse(200)

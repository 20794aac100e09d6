"""HTTP interface for callers: jobs under the path prefix of their queue."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from loguru import logger

from filbertlb.errors import FilbertlbError
from filbertlb.errors import NotFoundError
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


class Ingress:
    """HTTP handler for submitting, querying and cancelling jobs.

    Parameters
    ----------
    jobs : Handover
        Executes the callers' requests.
    observe : callable
        Called with the status and duration in seconds of each request.
    """

    def __init__(
        self,
        jobs: JobForwarder,
        in_force: CurrentConfiguration,
        clock: Clock,
        observe: Callable[[str, float], None],
    ) -> None:
        self._jobs = jobs
        self._in_force = in_force
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
        configuration = self._in_force.get()
        host = request_header(environ, "Host").partition(":")[0]
        path = environ["PATH_INFO"]
        queue = configuration.queue_for(host, path)
        organisation_id = configuration.organisation_of(
            queue, request_header(environ, "X-Api-Key")
        )
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

"""HTTP handler for the heartbeats of the worker beside an agent."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from loguru import logger

from filbertlb.errors import NotFoundError
from filbertlb.platform.http import JsonResponse
from filbertlb.platform.wire import decode_heartbeat
from filbertlb.platform.wire import Heartbeat

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

PREFIX = "/filbertlb/instances/"


class HeartbeatReceiver:
    """Passes on each heartbeat that is newer than all before it.

    Parameters
    ----------
    on_heartbeat : callable
        Called with each heartbeat that is newer than all before it.
    on_leave : callable
        Called when the worker of the newest heartbeat deregisters.
    """

    def __init__(
        self,
        on_heartbeat: Callable[[Heartbeat], None],
        on_leave: Callable[[], None],
    ) -> None:
        self._on_heartbeat = on_heartbeat
        self._on_leave = on_leave
        self._newest = (-1, -1)
        self._instance_id = ""

    def handle(self, environ: Mapping[str, Any]) -> JsonResponse:
        """Handle one request.

        DELETE deregisters a worker; any other method delivers a heartbeat.
        """
        path = environ["PATH_INFO"]
        if not path.startswith(PREFIX):
            raise NotFoundError(f"no resource at {path!r}")
        instance_id = path.removeprefix(PREFIX)
        if environ["REQUEST_METHOD"] == "DELETE":
            if instance_id == self._instance_id:
                self._on_leave()
            else:
                logger.info(
                    "worker {} deregistered, but it is not the current one",
                    instance_id,
                )
            return JsonResponse(200)
        body = environ["wsgi.input"].read()
        heartbeat = decode_heartbeat(instance_id, body)
        order = (heartbeat.born_ms, heartbeat.sequence)
        if order > self._newest:
            self._newest = order
            self._instance_id = instance_id
            self._on_heartbeat(heartbeat)
        else:
            logger.info(
                "heartbeat {} of {} ignored, already have {}",
                *(order, instance_id, self._newest),
            )
        return JsonResponse(200, {})

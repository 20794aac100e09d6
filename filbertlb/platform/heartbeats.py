"""Takes the heartbeats of the worker on an agent's machine."""

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
    """Keeps the newest heartbeat and passes it on.

    Parameters
    ----------
    heard : callable
        Called with each heartbeat that is newer than all before.
    left : callable
        Called when the worker heard last says that it ends.
    """

    def __init__(
        self, heard: Callable[[Heartbeat], None], left: Callable[[], None]
    ) -> None:
        self._heard = heard
        self._left = left
        self._newest = (-1, -1)
        self._instance_id = ""

    def handle(self, environ: Mapping[str, Any]) -> JsonResponse:
        """Answer one call."""
        path = environ["PATH_INFO"]
        if not path.startswith(PREFIX):
            raise NotFoundError(f"nothing is served at {path!r}")
        instance_id = path.removeprefix(PREFIX)
        if environ["REQUEST_METHOD"] == "DELETE":
            if instance_id == self._instance_id:
                self._left()
            else:
                logger.info("worker {} left, not ours", instance_id)
            return JsonResponse(200)
        body = environ["wsgi.input"].read()
        heartbeat = decode_heartbeat(instance_id, body)
        order = (heartbeat.born_ms, heartbeat.sequence)
        if order > self._newest:
            self._newest = order
            self._instance_id = instance_id
            self._heard(heartbeat)
        else:
            logger.info(
                "heartbeat {} of {} is late, have {}",
                *(order, instance_id, self._newest),
            )
        return JsonResponse(200, {})

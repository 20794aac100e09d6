"""HTTP handler for the heartbeats of the worker beside an agent."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from loguru import logger

from filbertlb.errors import NotFoundError
from filbertlb.platform.http import JsonResponse
from filbertlb.platform.wire import decode_heartbeat
from filbertlb.platform.wire import Heartbeat
from filbertlb.platform.wire import instance_id_of

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from filbertlb.core.clock import Clock

PREFIX = "/filbertlb/instances/"
MAX_SILENT_PERIODS = 3
"""Heartbeats that an incarnation may miss before an earlier one is heard."""


class HeartbeatReceiver:
    """Passes on each heartbeat that is newer than those before it.

    A delayed heartbeat of an earlier incarnation is ignored while the later
    one is heard. Once that has been silent, the start times decide nothing:
    a worker's clock may have been set back, or the later heartbeat came from
    another writer.

    Parameters
    ----------
    on_heartbeat : callable
        Called with each heartbeat that is passed on.
    on_leave : callable
        Called when the worker of the current heartbeat deregisters. It
        drains by then.
    period_s : float
        Time between two heartbeats of a worker.
    """

    def __init__(
        self,
        on_heartbeat: Callable[[Heartbeat], None],
        on_leave: Callable[[], None],
        clock: Clock,
        period_s: float,
    ) -> None:
        self._on_heartbeat = on_heartbeat
        self._on_leave = on_leave
        self._clock = clock
        self._max_silence_s = MAX_SILENT_PERIODS * period_s
        self._current: Heartbeat | None = None
        self._current_s = float("-inf")

    def handle(self, environ: Mapping[str, Any]) -> JsonResponse:
        """Handle one request.

        DELETE deregisters a worker; any other method delivers a heartbeat.
        """
        path = environ["PATH_INFO"]
        if not path.startswith(PREFIX):
            raise NotFoundError(f"no resource at {path!r}")
        instance_id = path.removeprefix(PREFIX)
        if environ["REQUEST_METHOD"] == "DELETE":
            self._handle_leave(instance_id)
            return JsonResponse(200)
        body = environ["wsgi.input"].read()
        heartbeat = decode_heartbeat(instance_id, body)
        current = self._current
        if current is None or self._supersedes(heartbeat, current):
            self._current = heartbeat
            self._current_s = self._clock.monotonic()
            self._on_heartbeat(heartbeat)
        else:
            logger.info(
                "heartbeat {} of {} ignored, already have {} of {}",
                *(heartbeat.sequence, heartbeat.worker.incarnation),
                *(current.sequence, current.worker.incarnation),
            )
        return JsonResponse(200, {})

    def _handle_leave(self, instance_id: str) -> None:
        """Pass on a deregistration if it can be the current worker's.

        It names no incarnation, so one that was held up may arrive after
        the next incarnation has registered. A worker drains before it
        deregisters, so it is not that of one that does not drain.
        """
        current = self._current
        if current is None:
            logger.info("unknown worker {} deregistered", instance_id)
            return
        worker = current.worker
        same_id = instance_id_of(worker.incarnation) == instance_id
        if same_id and worker.draining:
            self._on_leave()
            return
        logger.info(
            "deregistration of {} ignored, it is not that of {}, which {}",
            *(instance_id, worker.incarnation),
            "drains" if worker.draining else "does not drain",
        )

    def _supersedes(self, heartbeat: Heartbeat, current: Heartbeat) -> bool:
        if heartbeat.order > current.order:
            return True
        if heartbeat.worker.incarnation == current.worker.incarnation:
            return False
        silence_s = self._clock.monotonic() - self._current_s
        return silence_s > self._max_silence_s

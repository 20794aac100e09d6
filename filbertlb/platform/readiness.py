"""Readiness check of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.platform.http import JsonResponse

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any

    from gevent.event import Event

    from filbertlb.platform.configuration_source import ConfigurationSource
    from filbertlb.table.contact import Contact


@attrs.define
class Readiness:
    """Tells whether callers should be sent to this entry.

    Parameters
    ----------
    contact : Contact
        Contact with the table of jobs.
    source : ConfigurationSource
        Source of the configuration.
    stopping : Event
        Set once the process is told to stop.
    """

    contact: Contact
    source: ConfigurationSource
    stopping: Event
    _logged: str | None = None

    def handle(self, _: Mapping[str, Any]) -> JsonResponse:
        """Answer a check, and say what a failing one waits for."""
        waits_for = self._waits_for()
        if waits_for != self._logged:
            logger.info(
                "readiness check: {}",
                "ready" if waits_for is None else f"waits for {waits_for}",
            )
            self._logged = waits_for
        if waits_for is None:
            return JsonResponse(200)
        return JsonResponse(503, {"waits_for": waits_for})

    def _waits_for(self) -> str | None:
        if self.stopping.is_set():
            return "the end of the process"
        if self.source.in_force.version < 0:
            return "a first configuration"
        if self.source.behind:
            heard_version = self.source.exchange.heard_version
            return f"configuration row {heard_version}"
        if not self.contact.reachable:
            return "the table"
        return None

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

    from filbertlb.batch.configuration import CurrentConfiguration
    from filbertlb.batch.row_exchange import RowExchange
    from filbertlb.table.contact import Contact


@attrs.define
class Readiness:
    """Tells whether callers should be sent to this entry.

    Parameters
    ----------
    contact : Contact
        Contact with the table of jobs.
    stopping : Event
        Set once the process is told to stop.
    """

    contact: Contact
    in_force: CurrentConfiguration
    exchange: RowExchange
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
        if self.in_force.version < 0:
            return "a first configuration"
        if self.exchange.behind:
            return f"configuration row {self.exchange.heard_version}"
        if not self.contact.reachable:
            return "the table"
        return None

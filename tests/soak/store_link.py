"""Way of one process to the store, with switches of its own."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from errno import ECONNRESET
from io import BytesIO
from json import loads
from time import monotonic

import attrs
from gevent import sleep
from loguru import logger

from filbertlb.platform.http import json_application
from filbertlb.platform.http import JsonResponse
from filbertlb.standin.row_store import RowStore

UNANSWERED_S = 30.0
"""Time after which the connection of a call without an answer ends."""
WRITES = "rows-tx"
READS = "rows-get rows-feed rows-parts"
ALL_CALLS = f"{WRITES} {READS}"


class Outage(StrEnum):
    """How the store treats the calls of a process that it does not serve."""

    SILENT = "silent"
    BUSY = "busy"
    RESET = "reset"


@attrs.define
class StoreLink:
    """Answers one process's calls from the store that all share.

    Attributes
    ----------
    outage : Outage, optional
        How calls fail now; None while the process is served.
    write_delays : list of callable
        Each returns, for the body of a transaction, the time in seconds
        after which it is carried out; the longest counts.
    """

    name: str
    store: RowStore
    outage: Outage | None = None
    write_delays: list[Callable[[dict], float]] = attrs.Factory(list)
    _calls: str = ALL_CALLS
    _cuts: int = 0

    def application(self):
        """Return the WSGI application."""
        return json_application(self.handle)

    def cut(self, outage, calls=ALL_CALLS):
        """Serve calls no longer; answers on their way are lost."""
        self.outage, self._calls = outage, calls
        self._cuts += 1
        logger.info(
            "{:.2f} {}: {} for {}", monotonic(), self.name, outage, calls
        )

    def restore(self):
        """Serve the process again."""
        self.outage = None
        logger.info("{:.2f} {}: served", monotonic(), self.name)

    def handle(self, environ):
        """Answer one call."""
        call = environ["PATH_INFO"].rpartition("/")[2]
        if self._fails(call) and self.outage is Outage.BUSY:
            return JsonResponse(503, {"code": "refused"})
        if self._fails(call):
            _end_without_answer(self.outage)
        cuts = self._cuts
        if call == WRITES:
            text = environ["wsgi.input"].read()
            environ = {**environ, "wsgi.input": BytesIO(text)}
            self._delay(loads(text))
        answer = self.store.handle(environ)
        if self._cuts != cuts and call in self._calls:
            _end_without_answer(self.outage)
        return answer

    def _fails(self, call):
        return self.outage is not None and call in self._calls

    def _delay(self, body):
        delays_s = [delay(body) for delay in self.write_delays]
        sleep(max(delays_s, default=0.0))


def _end_without_answer(outage):
    if outage is Outage.SILENT:
        sleep(UNANSWERED_S)
    raise ConnectionResetError(ECONNRESET, "answer lost")

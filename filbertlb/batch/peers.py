"""Entries hand each other the newest configuration row.

An entry that the table service turns away learns from the others what
they read; the version decides, so nothing older is ever taken.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import attrs
from gevent import joinall
from gevent import sleep
from gevent import spawn
from loguru import logger

from filbertlb.errors import FilbertlbError
from filbertlb.errors import OutcomeUnknownError
from filbertlb.errors import UnavailableError
from filbertlb.httpcall import HttpCaller
from filbertlb.table.base import Write
from filbertlb.table.wire import GetReply
from filbertlb.typedcall import TypedCaller
from filbertlb.typedserver import typed

if TYPE_CHECKING:
    from collections.abc import Iterable

    from filbertlb.table.base import Row
    from filbertlb.table.base import TableService
    from filbertlb.table.mirror import Mirror
    from filbertlb.typedserver import Handler

ENTRY_PREFIX = "state/entry/"
SHARE_PATH = "/configuration"
ASK_TIMEOUT_S = 0.5
RETRY_S = 0.5
_T = TypeVar("_T")


@attrs.frozen
class NewestCall:
    """Body of ``POST /configuration``."""


@attrs.define
class Peers:
    """The other entries, found by their rows.

    Parameters
    ----------
    node : str
        This entry.
    address : str
        Host and port at which this entry answers others.
    """

    node: str
    address: str
    mirror: Mirror
    newest: Row | None = None
    _silent: dict[str, None] = attrs.Factory(dict)

    def announce(self, table: TableService) -> None:
        """Write where this entry answers others, until it is stored."""
        key = ENTRY_PREFIX + self.node
        while True:
            try:
                table.commit((Write(key, self.address.encode()),))
                return
            except FilbertlbError as error:
                logger.info("address not announced yet: {}", error)
                sleep(RETRY_S)

    def keep_newest(self, row: Row | None) -> None:
        """Keep the newest row for others."""
        known = 0 if self.newest is None else self.newest.version
        if row is not None and row.version > known:
            self.newest = row

    def addresses(self) -> list[str]:
        """Return where others answer, those that failed last at the end."""
        known = [
            row.value.decode()
            for key, row in sorted(self.mirror.row_by_key.items())
            if key.startswith(ENTRY_PREFIX) and key != ENTRY_PREFIX + self.node
        ]
        order = {
            address: number for number, address in enumerate(self._silent)
        }
        return sorted(known, key=lambda address: order.get(address, -1))

    def mark_failed(self, address: str) -> None:
        """Note that an entry did not help; others are asked first."""
        self._silent.pop(address, None)
        self._silent[address] = None

    def fetch_rows(self) -> list[Row]:
        """Return what the other entries have, as far as they answer."""
        asked = [spawn(self._ask, address) for address in self.addresses()]
        joinall(asked)
        return [one.value for one in asked if one.value is not None]

    def handlers(self) -> dict[str, Handler]:
        """Return what answers other entries with the newest row."""

        def newest(_: NewestCall) -> GetReply:
            return GetReply(self.newest)

        return {SHARE_PATH: typed(NewestCall, newest)}

    def call(
        self,
        address: str,
        path: str,
        body: object,
        reply_type: type[_T],
        timeout_s: float,
        errors: Iterable[type[FilbertlbError]] = (),
    ) -> _T:
        """Call another entry once."""
        caller = HttpCaller(f"http://{address}", connections=1)
        typed_caller = TypedCaller(
            caller,
            timeout_s,
            refused=UnavailableError,
            unknown=OutcomeUnknownError,
            errors=errors,
        )
        try:
            return typed_caller.call(path, body, reply_type)
        finally:
            caller.close()

    def _ask(self, address: str) -> Row | None:
        try:
            reply = self.call(
                address, SHARE_PATH, NewestCall(), GetReply, ASK_TIMEOUT_S
            )
        except FilbertlbError as error:
            logger.info("entry at {} has no answer: {}", address, error)
            return None
        return reply.row

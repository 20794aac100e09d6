"""Calls between entries, and the exchange of the configuration row.

An entry that cannot read the table service gets the configuration row from
the other entries. Row versions are compared, so an older row never
replaces a newer one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import attrs
from gevent import joinall
from gevent import sleep
from gevent import spawn
from loguru import logger

from filbertlb.addresses import decode_address
from filbertlb.addresses import InvalidAddressError
from filbertlb.addresses import split_address
from filbertlb.errors import FilbertlbError
from filbertlb.errors import OutcomeUnknownError
from filbertlb.errors import UnavailableError
from filbertlb.httpcall import HttpCaller
from filbertlb.table.base import Write
from filbertlb.table.wire import GetReply
from filbertlb.transfers import Transfers
from filbertlb.typedcall import TypedCaller
from filbertlb.typedserver import typed

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from filbertlb.admission import AnswerBudget
    from filbertlb.table.base import Row
    from filbertlb.table.base import TableService
    from filbertlb.table.mirror import Mirror
    from filbertlb.typedserver import Handler

ENTRY_PREFIX = "state/entry/"
CONFIGURATION_PATH = "/configuration"
FETCH_TIMEOUT_S = 0.5
ANNOUNCE_RETRY_S = 0.5
PEER = "peer"
"""Kind of reads from other entries in logs and metrics."""
_T = TypeVar("_T")


@attrs.frozen
class NewestRowCall:
    """Body of ``POST /configuration``."""


@attrs.define
class Peers:
    """The other entries, found by their rows in the table.

    Parameters
    ----------
    node : str
        Name of this entry's machine.
    address : str
        Host and port at which this entry serves other entries.
    answers : AnswerBudget, optional
        Bounds of the other entries' answers.
    newest_row : Row or None
        Newest configuration row that this entry has read.
    transfers : Transfers
        Counts and logs the reads of rows.
    """

    node: str
    address: str
    mirror: Mirror
    answers: AnswerBudget | None = None
    newest_row: Row | None = None
    transfers: Transfers = attrs.Factory(Transfers)
    _failed_addresses: dict[str, None] = attrs.Factory(dict)

    def announce(self, table: TableService) -> None:
        """Write this entry's address, with retries until it is stored."""
        key = ENTRY_PREFIX + self.node
        while True:
            try:
                table.commit((Write(key, self.address.encode()),))
                return
            except FilbertlbError as error:
                logger.info("address not stored, retrying: {}", error)
                sleep(ANNOUNCE_RETRY_S)

    def keep_newest(self, row: Row | None) -> None:
        """Keep a row for other entries if it is newer than the last."""
        newest_version = (
            0 if self.newest_row is None else self.newest_row.version
        )
        if row is not None and row.version > newest_version:
            self.newest_row = row

    def addresses(self) -> list[str]:
        """Return the other entries' addresses, latest failures last."""
        failure_rank = {
            address: rank
            for rank, address in enumerate(self._failed_addresses)
        }
        return sorted(
            self._known_addresses(),
            key=lambda address: failure_rank.get(address, -1),
        )

    def _known_addresses(self) -> Iterator[str]:
        for key, row in sorted(self.mirror.row_by_key.items()):
            if not key.startswith(ENTRY_PREFIX):
                continue
            if key == ENTRY_PREFIX + self.node:
                continue
            try:
                yield decode_address(row.value)
            except InvalidAddressError as error:
                logger.warning("row {} names no entry: {}", key, error)

    def mark_failed(self, address: str) -> None:
        """Record a failed call; other addresses are then tried first."""
        self._failed_addresses.pop(address, None)
        self._failed_addresses[address] = None

    def fetch_rows(self) -> list[Row]:
        """Return the newest rows of those other entries that answer."""
        fetches = [
            spawn(self._fetch_row, address) for address in self.addresses()
        ]
        joinall(fetches)
        return [fetch.value for fetch in fetches if fetch.value is not None]

    def handlers(self) -> dict[str, Handler]:
        """Return the handlers that serve the newest row."""

        def newest_row(_: NewestRowCall) -> GetReply:
            return GetReply(self.newest_row)

        return {CONFIGURATION_PATH: typed(NewestRowCall, newest_row)}

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
        split_address(address)
        caller = HttpCaller(f"http://{address}", 1, self.answers)
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

    def _fetch_row(self, address: str) -> Row | None:
        try:
            with self.transfers.reading(PEER, address) as transfer:
                reply = self.call(
                    address,
                    CONFIGURATION_PATH,
                    NewestRowCall(),
                    GetReply,
                    FETCH_TIMEOUT_S,
                )
                if reply.row is not None:
                    transfer.size_bytes = len(reply.row.value)
        except FilbertlbError as error:
            logger.info("entry at {} gave no answer: {}", address, error)
            return None
        return reply.row

"""The other entries, and calls to them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import attrs
from gevent import sleep
from loguru import logger

from filbertlb.addresses import decode_address
from filbertlb.addresses import InvalidAddressError
from filbertlb.addresses import split_address
from filbertlb.errors import FilbertlbError
from filbertlb.errors import OutcomeUnknownError
from filbertlb.errors import UnavailableError
from filbertlb.httpcall import HttpCaller
from filbertlb.table.base import Write
from filbertlb.typedcall import TypedCaller

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from filbertlb.admission import AnswerBudget
    from filbertlb.table.base import TableService
    from filbertlb.table.mirror import Mirror

ENTRY_PREFIX = "state/entry/"
ANNOUNCE_RETRY_S = 0.5
_T = TypeVar("_T")


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
    """

    node: str
    address: str
    mirror: Mirror
    answers: AnswerBudget | None = None
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

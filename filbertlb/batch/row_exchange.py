"""Exchange of the configuration row between entries.

An entry that cannot read the table service gets the row from another one.
A row may be large and a link thin, so entries ask a few others for their
versions first. Then they read the newest row from one entry at a time, in
parts. Parts that have arrived are kept when a read fails, and the next read
goes on behind them. Row versions are compared, so an older row never
replaces a newer one.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import attrs
from gevent import joinall
from gevent import spawn
from loguru import logger

from filbertlb.admission import AnswerBudget
from filbertlb.admission import SMALL_BYTES
from filbertlb.batch.row_parts import offered_row
from filbertlb.batch.row_parts import OfferedRow
from filbertlb.batch.row_parts import PartialRow
from filbertlb.batch.row_parts import RowOffer
from filbertlb.errors import FilbertlbError
from filbertlb.httpcall import MAX_ANSWER_BYTES
from filbertlb.ranges import Count
from filbertlb.transfers import Transfers
from filbertlb.typedserver import typed

if TYPE_CHECKING:
    from filbertlb.batch.peers import Peers
    from filbertlb.table.base import Row
    from filbertlb.typedserver import Handler

OFFER_PATH = "/configuration/offer"
PART_PATH = "/configuration/part"
ENTRIES_ASKED = 3
"""Entries that are asked for their version at the same time."""
OFFER_TIMEOUT_S = 1.0
PART_TIMEOUT_S = 2.0
PEER = "peer"
"""Kind of reads from other entries in logs and metrics."""


@attrs.frozen
class OfferCall:
    """Body of ``POST /configuration/offer``."""


@attrs.frozen
class OfferReply:
    """Answer to ``POST /configuration/offer``."""

    offer: RowOffer | None


@attrs.frozen
class PartCall:
    """Body of ``POST /configuration/part``."""

    version: Count
    offset: Count


@attrs.frozen
class PartReply:
    """Answer to ``POST /configuration/part``.

    It is empty if the entry has another version by now.
    """

    part: bytes


@attrs.define
class RowExchange:
    """Offers the newest row to other entries and reads theirs.

    Parameters
    ----------
    peers : Peers
        The other entries.
    answers : AnswerBudget
        Bounds of the memory for a row that is being read.
    transfers : Transfers
        Counts and logs the reads.
    random : Random
        Chooses the entries that are asked.

    Attributes
    ----------
    newest_row : Row or None
        Newest row that this entry has read.
    heard_version : int
        Newest version that another entry has offered.
    """

    peers: Peers
    answers: AnswerBudget = attrs.Factory(
        lambda: AnswerBudget(MAX_ANSWER_BYTES, MAX_ANSWER_BYTES)
    )
    transfers: Transfers = attrs.Factory(Transfers)
    random: Random = attrs.Factory(Random)
    newest_row: Row | None = None
    heard_version: int = 0
    _offered: OfferedRow | None = None
    _partial: PartialRow | None = None
    _reserved_bytes: int = 0

    @property
    def version(self) -> int:
        """Version of the newest row; 0 for none."""
        return 0 if self.newest_row is None else self.newest_row.version

    @property
    def behind(self) -> bool:
        """Whether another entry has offered a newer row."""
        return self.heard_version > self.version

    def keep_newest(self, row: Row) -> None:
        """Keep a row for other entries if it is newer than the last."""
        if row.version > self.version:
            self.newest_row = row
            self.heard_version = max(self.heard_version, row.version)

    def handlers(self) -> dict[str, Handler]:
        """Return the handlers that serve the newest row."""

        def offer(_: OfferCall) -> OfferReply:
            offered = self._newest_offered()
            return OfferReply(None if offered is None else offered.offer)

        def part(call: PartCall) -> PartReply:
            offered = self._newest_offered()
            if offered is None:
                return PartReply(b"")
            return PartReply(offered.part(call.version, call.offset))

        return {
            OFFER_PATH: typed(OfferCall, offer),
            PART_PATH: typed(PartCall, part),
        }

    def fetch_newer(self) -> Row | None:
        """Return a newer row of another entry, or None if there is none.

        What has arrived of a row is kept for the next call.
        """
        offer_by_address = self._ask_for_offers()
        versions = [offer.version for offer in offer_by_address.values()]
        newest_version = max(versions, default=0)
        self.heard_version = max(self.heard_version, newest_version)
        if newest_version <= self.version:
            return None
        for address, offer in offer_by_address.items():
            if offer.version < newest_version:
                continue
            row = self._read(address, offer)
            if row is not None:
                return row
        return None

    def _newest_offered(self) -> OfferedRow | None:
        """Return the newest row, compressed when first asked for."""
        if self.newest_row is None:
            return None
        if (
            self._offered is None
            or self._offered.row.version != self.newest_row.version
        ):
            self._offered = offered_row(self.newest_row)
        return self._offered

    def _ask_for_offers(self) -> dict[str, RowOffer]:
        """Ask a few entries, chosen at random, for their offers."""
        addresses = self.peers.addresses()
        count = min(ENTRIES_ASKED, len(addresses))
        asked = self.random.sample(addresses, count)
        calls = [spawn(self._offer_of, address) for address in asked]
        joinall(calls)
        return {
            address: call.value
            for address, call in zip(asked, calls, strict=True)
            if call.value is not None
        }

    def _offer_of(self, address: str) -> RowOffer | None:
        try:
            reply = self.peers.call(
                address, OFFER_PATH, OfferCall(), OfferReply, OFFER_TIMEOUT_S
            )
        except FilbertlbError as error:
            logger.info("entry at {} gave no version: {}", address, error)
            return None
        return reply.offer

    def _read(self, address: str, offer: RowOffer) -> Row | None:
        """Read what is missing of a row from one entry."""
        partial = self._partial_of(offer)
        if partial is None:
            return None
        what = f"version {offer.version} from {address}"
        try:
            with self.transfers.reading(PEER, what) as transfer:
                while not partial.complete:
                    partial.add(self._read_part(address, partial))
                transfer.size_bytes = offer.compressed_bytes
            row = partial.row()
        except FilbertlbError as error:
            logger.info(
                "{} not whole, {} of {} bytes kept: {}",
                *(what, partial.offset, offer.compressed_bytes, error),
            )
            if partial.complete:
                self._drop_partial()
            return None
        self._drop_partial()
        return row

    def _read_part(self, address: str, partial: PartialRow) -> bytes:
        call = PartCall(partial.offer.version, partial.offset)
        return self.peers.call(
            address, PART_PATH, call, PartReply, PART_TIMEOUT_S
        ).part

    def _partial_of(self, offer: RowOffer) -> PartialRow | None:
        """Return what has arrived of a row; None if it has no room."""
        if self._partial is not None and self._partial.offer == offer:
            return self._partial
        self._drop_partial()
        # Small answers need no room.
        reserved_bytes = max(SMALL_BYTES + 1, offer.held_bytes)
        if not self.answers.grow(0, reserved_bytes):
            logger.warning(
                "version {} of {} bytes not read: no memory for it",
                *(offer.version, offer.held_bytes),
            )
            return None
        self._reserved_bytes = reserved_bytes
        self._partial = PartialRow(offer)
        return self._partial

    def _drop_partial(self) -> None:
        self.answers.release(self._reserved_bytes)
        self._reserved_bytes = 0
        self._partial = None

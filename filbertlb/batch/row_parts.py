"""A row as entries hand it to each other: compressed, and in parts."""

from __future__ import annotations

from hashlib import sha256
from zlib import compress
from zlib import decompressobj
from zlib import error as CompressionError

import attrs

from filbertlb.errors import UnavailableError
from filbertlb.ranges import Count
from filbertlb.table.base import Row

PART_BYTES = 32 * 1024
"""Part of a compressed row in one answer."""
COMPRESSION_LEVEL = 6


class UnusableRowError(UnavailableError):
    """A row that another entry offered cannot be used."""

    code = "unusable_row"


@attrs.frozen
class RowOffer:
    """The row that an entry offers to others.

    Parameters
    ----------
    version : int
        Version of the row.
    value_bytes, compressed_bytes : int
        Size of its value, and of what is sent of it.
    digest : str
        SHA-256 of what is sent. Only parts of the same bytes are put
        together, whichever entries they come from.
    """

    key: str
    version: Count
    value_bytes: Count
    compressed_bytes: Count
    digest: str

    @property
    def held_bytes(self) -> int:
        """Memory that reading the row takes."""
        return self.value_bytes + self.compressed_bytes


@attrs.frozen
class OfferedRow:
    """A row with what is sent of it."""

    row: Row
    compressed: bytes
    offer: RowOffer

    def part(self, version: int, offset: int) -> bytes:
        """Return a part, or nothing if another version is asked for."""
        if version != self.row.version:
            return b""
        return self.compressed[offset : offset + PART_BYTES]


def offered_row(row: Row) -> OfferedRow:
    """Compress a row."""
    compressed = compress(row.value, COMPRESSION_LEVEL)
    offer = RowOffer(
        row.key,
        row.version,
        len(row.value),
        len(compressed),
        sha256(compressed).hexdigest(),
    )
    return OfferedRow(row, compressed, offer)


@attrs.define
class PartialRow:
    """What has arrived of an offered row."""

    offer: RowOffer
    _compressed: bytearray = attrs.Factory(bytearray)

    @property
    def offset(self) -> int:
        """Offset of the next part."""
        return len(self._compressed)

    @property
    def complete(self) -> bool:
        """Whether all of it has arrived."""
        return self.offset >= self.offer.compressed_bytes

    def add(self, part: bytes) -> None:
        """Add the next part.

        Raises
        ------
        UnusableRowError
            If it is empty or longer than what is missing.
        """
        missing = self.offer.compressed_bytes - self.offset
        if not 0 < len(part) <= missing:
            raise UnusableRowError(
                f"part of {len(part)!r} bytes of version "
                f"{self.offer.version!r}, of which {missing!r} are missing"
            )
        self._compressed += part

    def row(self) -> Row:
        """Return the row once it is complete.

        Raises
        ------
        UnusableRowError
            If it is not what was offered.
        """
        compressed = bytes(self._compressed)
        if sha256(compressed).hexdigest() != self.offer.digest:
            raise UnusableRowError(
                f"version {self.offer.version!r} has another digest than "
                f"{self.offer.digest!r}"
            )
        decompressor = decompressobj()
        limit_bytes = self.offer.value_bytes
        try:
            # A limit of 0 would mean none.
            value = decompressor.decompress(compressed, limit_bytes + 1)
        except CompressionError as error:
            raise UnusableRowError(
                f"version {self.offer.version!r}: {error}"
            ) from error
        if len(value) != limit_bytes:
            raise UnusableRowError(
                f"version {self.offer.version!r} is not of the offered size "
                f"{limit_bytes!r}"
            )
        return Row(self.offer.key, value, self.offer.version)

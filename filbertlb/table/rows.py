"""Row values: typed objects as JSON, compressed if they are long."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar
from zlib import compress
from zlib import decompressobj
from zlib import error as ZlibError

from msgspec.json import encode

from filbertlb.decoding import decode_json
from filbertlb.decoding import MalformedDataError
from filbertlb.errors import FilbertlbError

if TYPE_CHECKING:
    from filbertlb.table.base import Row

_T = TypeVar("_T")

COMPRESSION_THRESHOLD_BYTES = 400
COMPRESSION_LEVEL = 1
COMPRESSED_PREFIX = b"\x78"
"""First byte of zlib's format; no JSON text starts with it."""
MAX_VALUE_BYTES = 16 * 1024 * 1024
"""Limit on decompressed values, against damaged or hostile rows."""


class UnreadableRowError(FilbertlbError):
    """The value of a row does not have the type expected for its key."""

    code = "unreadable_row"


def encode_value(value: object) -> bytes:
    """Encode a typed object as the value of a row."""
    text = encode(value)
    if len(text) < COMPRESSION_THRESHOLD_BYTES:
        return text
    return compress(text, COMPRESSION_LEVEL)


def decode_row(row: Row, cls: type[_T]) -> _T:
    """Decode the value of a row, compressed or not.

    Raises
    ------
    UnreadableRowError
        If the value is not of this type.
    """
    try:
        return decode_json(_decompressed(row.value), cls)
    except (MalformedDataError, ZlibError) as error:
        raise UnreadableRowError(
            f"row {row.key!r} holds {row.value[:80]!r}, which is not a "
            f"valid {cls.__name__}: {error}; restore the row from a backup"
        ) from error


def _decompressed(value: bytes) -> bytes:
    if not value.startswith(COMPRESSED_PREFIX):
        return value
    stream = decompressobj()
    text = stream.decompress(value, MAX_VALUE_BYTES)
    if not stream.eof or stream.unused_data:
        # Neither is an error of zlib, and the checksum is not compared.
        raise MalformedDataError(
            f"compressed value of {len(value)} bytes is cut off, has bytes "
            f"after its end or is over {MAX_VALUE_BYTES} bytes decompressed"
        )
    return text

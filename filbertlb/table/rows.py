"""Decoding of JSON row values into typed objects."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

from msgspec import MsgspecError
from msgspec.json import decode

from filbertlb.errors import FilbertlbError

if TYPE_CHECKING:
    from filbertlb.table.base import Row

_T = TypeVar("_T")


class UnreadableRowError(FilbertlbError):
    """The value of a row does not have the type expected for its key."""

    code = "unreadable_row"


def decode_row(row: Row, cls: type[_T]) -> _T:
    """Decode the value of a row.

    Raises
    ------
    UnreadableRowError
        If the value is not of this type.
    """
    try:
        return decode(row.value, type=cls)
    except MsgspecError as error:
        raise UnreadableRowError(
            f"row {row.key!r} holds {row.value[:80]!r}, which is not a "
            f"valid {cls.__name__}: {error}; restore the row from a backup"
        ) from error

"""Typed values of rows, encoded as JSON."""

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
    """A row does not hold what its key promises."""

    code = "unreadable_row"


def decode_row(row: Row, cls: type[_T]) -> _T:
    """Return the value of a row.

    Raises
    ------
    UnreadableRowError
        If the row holds something else.
    """
    try:
        return decode(row.value, type=cls)
    except MsgspecError as error:
        raise UnreadableRowError(
            f"row {row.key!r} holds {row.value[:80]!r}, which is no "
            f"{cls.__name__}: {error}; restore it from a copy"
        ) from error

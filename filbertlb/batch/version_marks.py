"""Row with which a decider hands on the times of the table's versions.

An entry knows the age of a report from when its copy of the table had
reached the report's version. Without the row, entries that have just started
would know no age, and count a worker that is gone as alive for some time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.batch.model import STATE_TABLE
from filbertlb.table.base import Write
from filbertlb.table.rows import decode_row
from filbertlb.table.rows import encode_value
from filbertlb.table.rows import UnreadableRowError
from filbertlb.table.version_times import VersionMark

if TYPE_CHECKING:
    from filbertlb.table.mirror import Mirror

VERSIONS_KEY = f"{STATE_TABLE}/versions"
WRITE_PERIOD_S = 2.0
"""Time between two writes of the row."""


@attrs.frozen
class VersionMarks:
    """Value of the row: versions and their times, the oldest first."""

    marks: tuple[VersionMark, ...] = ()


def marks_write(mirror: Mirror) -> Write | None:
    """Return the write of the row; None if the table tells no time."""
    marks = mirror.versions.marks()
    if not marks:
        return None
    return Write(VERSIONS_KEY, encode_value(VersionMarks(marks)))


def restore_marks(mirror: Mirror) -> None:
    """Add the times that earlier processes have handed on."""
    row = mirror.row_by_key.get(VERSIONS_KEY)
    if row is None:
        return
    try:
        stored = decode_row(row, VersionMarks)
    except UnreadableRowError as error:
        logger.error("times of versions not known: {}", error)
        return
    mirror.versions.restore(stored.marks)

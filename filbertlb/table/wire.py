"""JSON bodies of the table service's HTTP calls.

Binary values are in Base64.
"""

from __future__ import annotations

import attrs

from filbertlb.table.base import Row
from filbertlb.table.base import Write


@attrs.frozen
class GetCall:
    """Body of ``POST /table/get``."""

    key: str


@attrs.frozen
class GetReply:
    """Answer to ``POST /table/get``."""

    row: Row | None


@attrs.frozen
class ScanCall:
    """Body of ``POST /table/scan``."""

    prefix: str
    after: str = ""
    limit: int = 1000


@attrs.frozen
class ScanReply:
    """Answer to ``POST /table/scan``."""

    rows: tuple[Row, ...]


@attrs.frozen
class CommitCall:
    """Body of ``POST /table/commit``."""

    writes: tuple[Write, ...]


@attrs.frozen
class CommitReply:
    """Answer to ``POST /table/commit``."""

    versions: tuple[int, ...]

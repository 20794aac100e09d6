"""JSON request and response bodies of the table service's HTTP API.

Binary values are encoded as Base64.
"""

from __future__ import annotations

import attrs

from filbertlb.ranges import Count
from filbertlb.table.base import Row
from filbertlb.table.base import Write


@attrs.frozen
class GetCall:
    """Request body of ``POST /table/get``."""

    key: str


@attrs.frozen
class GetReply:
    """Response body of ``POST /table/get``."""

    row: Row | None


@attrs.frozen
class ScanCall:
    """Request body of ``POST /table/scan``."""

    prefix: str
    after: str = ""
    limit: Count = 1000


@attrs.frozen
class ScanReply:
    """Response body of ``POST /table/scan``."""

    rows: tuple[Row, ...]


@attrs.frozen
class CommitCall:
    """Request body of ``POST /table/commit``."""

    writes: tuple[Write, ...]


@attrs.frozen
class CommitReply:
    """Response body of ``POST /table/commit``."""

    versions: tuple[Count, ...]

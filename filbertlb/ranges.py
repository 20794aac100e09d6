"""Types of the numbers in rows and messages, with their ranges.

Decoding refuses a number out of its range. Without one, an integer of any
length is kept as it is, and fails where it meets a float.
"""

from __future__ import annotations

from typing import Annotated
from typing import TypeAlias

from msgspec import Meta

MAX_INT64 = 2**63 - 1
MAX_PERCENT = 100
MAX_PORT = 65_535
MAX_FACTOR = 1e6

Int64: TypeAlias = Annotated[int, Meta(ge=-MAX_INT64 - 1, le=MAX_INT64)]
Count: TypeAlias = Annotated[int, Meta(ge=0, le=MAX_INT64)]
"""A number of things, a version, or a time that is never negative."""
Percent: TypeAlias = Annotated[int, Meta(ge=0, le=MAX_PERCENT)]
FractionalPercent: TypeAlias = Annotated[float, Meta(ge=0, le=MAX_PERCENT)]
Port: TypeAlias = Annotated[int, Meta(ge=0, le=MAX_PORT)]
Factor: TypeAlias = Annotated[float, Meta(ge=0, le=MAX_FACTOR)]
"""A ratio; even times the longest duration it is far from infinite."""

"""JSON bodies of the object store's HTTP calls.

Binary content is in Base64.
"""

from __future__ import annotations

import attrs

from filbertlb.objects.base import StoredObject


@attrs.frozen
class NameCall:
    """Body of ``POST /objects/get`` and ``POST /objects/delete``."""

    name: str


@attrs.frozen
class GetReply:
    """Answer to ``POST /objects/get``."""

    stored: StoredObject | None


@attrs.frozen
class PutCall:
    """Body of ``POST /objects/put``."""

    name: str
    data: bytes
    expected_version: int | None = None


@attrs.frozen
class PutReply:
    """Answer to ``POST /objects/put``."""

    version: int


@attrs.frozen
class DeleteReply:
    """Answer to ``POST /objects/delete``."""


@attrs.frozen
class ListCall:
    """Body of ``POST /objects/names``."""

    prefix: str


@attrs.frozen
class ListReply:
    """Answer to ``POST /objects/names``."""

    names: tuple[str, ...]

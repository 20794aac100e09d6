"""Decodes bytes of other writers: into typed values, or a coded error.

Whatever the bytes hold, callers see :class:`MalformedDataError` only. The
decoder itself raises ``RecursionError`` for deep nesting, which is no error
of decoding for those who handle such errors.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from contextlib import contextmanager
from re import compile as compile_pattern
from re import DOTALL
from typing import Any
from typing import overload
from typing import TypeVar

from loguru import logger
from msgspec import convert
from msgspec import json
from msgspec import msgpack
from msgspec import MsgspecError
from msgspec import Raw

from filbertlb.errors import InvalidInputError

_T = TypeVar("_T")

MAX_DEPTH = 32
"""Levels kept of JSON that is nested too deeply; no message needs more."""
MAX_SHOWN_BYTES = 80
"""Bytes of a malformed value that a message shows."""

_JSON_TOKEN = compile_pattern(
    rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{}"]|[^\[\]{}"]+', DOTALL
)


class MalformedDataError(InvalidInputError):
    """Bytes of another writer are not what their reader expects."""

    code = "malformed_data"


@overload
def decode_json(text: bytes | str | Raw) -> Any: ...
@overload
def decode_json(text: bytes | str | Raw, cls: type[_T]) -> _T: ...
def decode_json(text: bytes | str | Raw, cls: Any = Any) -> Any:
    """Decode JSON as a type.

    A value that is nested too deeply counts as null, so that one in a field
    that nobody reads does not spoil the rest. Without a type nothing tells
    what is read, and such a value is an error.

    Raises
    ------
    MalformedDataError
        If the text is not JSON of this type, or has no type and is nested
        more than ``MAX_DEPTH`` levels.
    """
    with _coded_errors(cls):
        try:
            value = json.decode(text, type=cls)
        except RecursionError:
            if cls is Any:
                raise
            return json.decode(_without_deep_values(text), type=cls)
        if cls is Any and _is_deep(value):
            raise ValueError(f"nested more than {MAX_DEPTH} levels")
        return value


def decode_entries(entries: Iterable[Raw], cls: type[_T]) -> list[_T]:
    """Decode the entries of a list; log and skip malformed ones."""
    decoded = []
    for entry in entries:
        try:
            decoded.append(decode_json(entry, cls))
        except MalformedDataError as error:
            logger.warning(
                "entry {!r} skipped: {}",
                *(bytes(entry)[:MAX_SHOWN_BYTES], error),
            )
    return decoded


def decode_msgpack(packed: bytes) -> Any:
    """Decode MessagePack.

    Raises
    ------
    MalformedDataError
        If the bytes are not MessagePack or nested too deeply.
    """
    with _coded_errors(Any):
        return msgpack.decode(packed)


def convert_value(value: Any, cls: type[_T]) -> _T:
    """Convert a decoded value to a type.

    Raises
    ------
    MalformedDataError
        If it is not of this type.
    """
    with _coded_errors(cls):
        return convert(value, cls)


@contextmanager
def _coded_errors(cls: Any) -> Iterator[None]:
    try:
        yield
    except (MsgspecError, RecursionError, TypeError, ValueError) as error:
        name = "value" if cls is Any else cls.__name__.removeprefix("_")
        raise MalformedDataError(f"not a valid {name}: {error}") from error


def _without_deep_values(text: bytes | str | Raw) -> bytes:
    """Return JSON with null for what is deeper than ``MAX_DEPTH`` levels."""
    encoded = text.encode() if isinstance(text, str) else bytes(text)
    depth = 0
    kept = []
    for token in _JSON_TOKEN.findall(encoded):
        closes = token in (b"]", b"}")
        opens = token in (b"[", b"{")
        depth += opens
        if depth <= MAX_DEPTH:
            kept.append(token)
        elif opens and depth == MAX_DEPTH + 1:
            kept.append(b"null")
        depth -= closes
    return b"".join(kept)


def _is_deep(value: Any) -> bool:
    """Return whether a value is nested more than ``MAX_DEPTH`` levels."""
    level = [value]
    for _ in range(MAX_DEPTH + 1):
        level = [part for whole in level for part in _parts(whole)]
    return bool(level)


def _parts(value: Any) -> Iterable[Any]:
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()

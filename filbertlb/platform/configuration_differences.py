"""Differences between two configurations as operators write them.

Values are shown only for fields known to hold no secret.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeAlias

import attrs
import msgspec

from filbertlb.decoding import decode_json
from filbertlb.decoding import MalformedDataError
from filbertlb.platform.configuration_check import decode_object
from filbertlb.platform.configuration_check import MAX_SHOWN_CHARACTERS
from filbertlb.platform.configuration_check import name_of
from filbertlb.platform.configuration_check import NULL
from filbertlb.platform.configuration_check import shorten

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Sequence

API_KEYS = "apiKeys"
SHOWN_FIELDS_BY_SECTION = {
    "routes": frozenset(
        (
            "host",
            "prefix",
            "service",
            "priority",
            "attempts",
            "slackFactor",
            "targetLatencyMs",
            "timeoutMs",
            "public",
        )
    ),
    "services": frozenset[str](),
    "limits": frozenset(
        ("maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs")
    ),
    "tenants": frozenset(("guaranteed",)),
}
"""Fields whose values are shown; of others only that they changed."""
_ABSENT = object()
_Entries: TypeAlias = dict[tuple[str, int], dict[str, Any]]
"""Entries by name and number among those of the same name."""


class Change(StrEnum):
    """What happened to a part of the configuration."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"
    NOT_COMPARED = "not compared"


@attrs.frozen
class Difference:
    """Part of the configuration that differs.

    Parameters
    ----------
    section : str
        ``routes``, ``services``, ``limits`` or ``tenants``.
    name : str
        Name of the entry or limit; of an unreadable entry its path.
    details : tuple of str
        Each field that differs, or why the part was not compared.
    """

    section: str
    name: str
    change: Change
    details: tuple[str, ...] = ()

    def __str__(self) -> str:
        text = f"{self.change.value} {self.section} {shorten(self.name)}"
        return ": ".join((text, *filter(None, (", ".join(self.details),))))


class _Sections(msgspec.Struct):
    routes: msgspec.Raw = msgspec.Raw(b"[]")
    services: msgspec.Raw = msgspec.Raw(b"[]")
    tenants: msgspec.Raw = msgspec.Raw(b"[]")
    limits: msgspec.Raw = msgspec.Raw(b"{}")


def find_differences(before: bytes, after: bytes) -> list[Difference]:
    """Return what differs between two values of a configuration row.

    Raises
    ------
    MalformedDataError
        If one of them cannot be decoded as a whole.
    """
    old = decode_json(before, _Sections)
    new = decode_json(after, _Sections)
    differences: list[Difference] = []
    for section in ("routes", "services", "tenants"):
        differences += _compare(
            section,
            _entries_by_name(section, getattr(old, section), differences),
            _entries_by_name(section, getattr(new, section), differences),
        )
    differences += _compare_limits(old.limits, new.limits)
    return differences


def _entries_by_name(
    section: str, raw: msgspec.Raw, differences: list[Difference]
) -> _Entries:
    """Return the entries of a section; report those without a name."""
    if raw == NULL:
        return {}
    try:
        entries = decode_json(raw, list[msgspec.Raw])
    except MalformedDataError:
        differences.append(_not_compared(section, section, "not a list"))
        return {}
    found: _Entries = {}
    count_by_name: dict[str, int] = {}
    for number, entry in enumerate(entries):
        value = decode_object(entry)
        name = name_of(value)
        if name is None:
            path = f"{section}[{number}]"
            reason = "not an object with a name"
            differences.append(_not_compared(section, path, reason))
            continue
        count = count_by_name[name] = count_by_name.get(name, 0) + 1
        found[name, count] = value
    return found


def _not_compared(section: str, name: str, reason: str) -> Difference:
    return Difference(section, name, Change.NOT_COMPARED, (reason,))


def _compare(
    section: str, before: _Entries, after: _Entries
) -> Iterator[Difference]:
    for key, old in before.items():
        new = after.get(key)
        if new is None:
            yield Difference(section, key[0], Change.REMOVED)
        elif details := tuple(_compare_fields(section, old, new)):
            yield Difference(section, key[0], Change.CHANGED, details)
    for key in after:
        if key not in before:
            yield Difference(section, key[0], Change.ADDED)


def _compare_fields(
    section: str, before: dict[str, Any], after: dict[str, Any]
) -> Iterator[str]:
    for field in _keys(before, after):
        old = before.get(field, _ABSENT)
        new = after.get(field, _ABSENT)
        if _same(old, new):
            continue
        if section == "tenants" and field == API_KEYS:
            yield from _compare_api_keys(old, new)
        elif field in SHOWN_FIELDS_BY_SECTION[section]:
            yield f"{field}: {_shown(old)} -> {_shown(new)}"
        else:
            yield f"{shorten(field)} differs"


def _compare_limits(
    before: msgspec.Raw, after: msgspec.Raw
) -> Iterator[Difference]:
    old, new = _decode_limits(before), _decode_limits(after)
    if old is None or new is None:
        yield _not_compared("limits", "limits", "not an object")
        return
    for name in _keys(old, new):
        if name not in old:
            change = Change.ADDED
        elif name not in new:
            change = Change.REMOVED
        elif _same(old[name], new[name]):
            continue
        else:
            change = Change.CHANGED
        details: tuple[str, ...] = ()
        if name in SHOWN_FIELDS_BY_SECTION["limits"]:
            values = [value[name] for value in (old, new) if name in value]
            details = (" -> ".join(_shown(value) for value in values),)
        yield Difference("limits", name, change, details)


def _decode_limits(raw: msgspec.Raw) -> dict[str, Any] | None:
    """Return the limits by name; ``None`` if they are no object."""
    try:
        value = decode_json(raw)
    except MalformedDataError:
        return None
    if value is None:
        return {}
    return value if isinstance(value, dict) else None


def _keys(before: Iterable[str], after: Iterable[str]) -> Sequence[str]:
    """Return the keys of both without repeats, in their order."""
    return list(dict.fromkeys((*before, *after)))


def _same(old: Any, new: Any) -> bool:
    # In Python true equals 1; in the row they differ.
    return bool(old == new) and isinstance(old, bool) == isinstance(new, bool)


def _compare_api_keys(before: Any, after: Any) -> Iterator[str]:
    """Tell how many keys were added and removed, without the keys."""
    old, new = _key_set(before), _key_set(after)
    if old != new:
        added, removed = len(new - old), len(old - new)
        yield f"{API_KEYS}: {added} added, {removed} removed"


def _key_set(value: Any) -> set[str]:
    if not isinstance(value, list):
        return set()
    return {key for key in value if isinstance(key, str)}


def _shown(value: Any) -> str:
    if value is _ABSENT:
        return "not given"
    if isinstance(value, str):
        return shorten(value)
    text = msgspec.json.encode(value).decode()
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return f"{text[:MAX_SHOWN_CHARACTERS]}..."

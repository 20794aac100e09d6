"""Human-readable differences between two configurations."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import attrs
from msgspec import to_builtins
from msgspec.json import encode

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from filbertlb.core.site import SiteConfig

MISSING_TEXT = "(none)"
NO_CHANGES_TEXT = "no changes"


@attrs.frozen
class Change:
    """One changed value.

    Parameters
    ----------
    path : str
        Keys from the root to the value, joined by dots.
    before, after : str
        Old and new value as JSON; ``MISSING_TEXT`` if there is none.
    """

    path: str
    before: str
    after: str


def diff(
    before: SiteConfig | None, after: SiteConfig | None
) -> tuple[Change, ...]:
    """Return the changed values, sorted by path."""
    old = {} if before is None else dict(_leaves(to_builtins(before), ""))
    new = {} if after is None else dict(_leaves(to_builtins(after), ""))
    return tuple(
        Change(path, old.get(path, MISSING_TEXT), new.get(path, MISSING_TEXT))
        for path in sorted(old.keys() | new.keys())
        if old.get(path) != new.get(path)
    )


def render_diff(changes: Iterable[Change]) -> str:
    """Format changes as text, one per line."""
    lines = [f"{item.path}: {item.before} -> {item.after}" for item in changes]
    return "\n".join(lines) or NO_CHANGES_TEXT


def _leaves(value: Any, path: str) -> Iterator[tuple[str, str]]:
    """Yield the path and the JSON text of each leaf of a nested dict."""
    if isinstance(value, dict) and value:
        for key, item in value.items():
            yield from _leaves(item, f"{path}.{key}" if path else key)
        return
    yield path, encode(value).decode()

"""Settings read from a base file and overlays."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

from filbertlb.errors import InvalidInputError
from filbertlb.settings.decode import convert
from filbertlb.settings.decode import InvalidValueError

if TYPE_CHECKING:
    from collections.abc import Sequence

_T = TypeVar("_T")


class SettingsError(InvalidInputError):
    """A settings file cannot be read or holds a mistake."""

    code = "invalid_settings"


def load_settings(paths: Sequence[Path], cls: type[_T]) -> _T:
    """Return the settings of a base file and its overlays.

    An object in an overlay is merged key by key; every other value,
    also a list, replaces the earlier one.

    Parameters
    ----------
    paths : sequence of Path
        The base file, then overlays; later files win.
    cls : type
        Attrs class of the settings.

    Raises
    ------
    SettingsError
        If a file cannot be read or a value is a mistake; the message
        names the file, the key, the bad value and the mend.
    """
    try:
        return _load(paths, cls)
    except RecursionError as error:
        files = ", ".join(str(path) for path in paths)
        raise SettingsError(f"{files}: nested too deeply") from error


def _load(paths: Sequence[Path], cls: type[_T]) -> _T:
    merged: dict[str, Any] = {}
    file_by_path: dict[str, str] = {}
    for path in paths:
        _merge(merged, _read(path), str(path), "", file_by_path)
    try:
        return convert(merged, cls)
    except InvalidValueError as error:
        default = ", ".join(str(path) for path in paths) or "no settings file"
        file = _file_of(error.path, file_by_path, default)
        raise SettingsError(f"{file}: {error.message}") from error


def _read(path: Path) -> dict[str, Any]:
    """Return the object in a JSON file."""
    try:
        text = path.read_text(encoding="utf-8")
        value = json.loads(
            text,
            object_pairs_hook=_unique_keys,
            parse_constant=_refuse_constant,
        )
    except OSError as error:
        raise SettingsError(
            f"{path}: {error.strerror}; check the path and its permissions"
        ) from error
    except ValueError as error:
        raise SettingsError(f"{path}: not valid JSON: {error}") from error
    if not isinstance(value, dict):
        raise SettingsError(f"{path}: holds no object; write {{...}}")
    return value


def _unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    value = dict(pairs)
    if len(value) < len(pairs):
        keys = [key for key, _ in pairs]
        twice = sorted({key for key in keys if keys.count(key) > 1})
        raise ValueError(f"keys {twice!r} stand twice; keep one of each")
    return value


def _refuse_constant(name: str) -> Any:
    raise ValueError(f"{name!r} is no JSON number; write a finite one")


def _merge(
    into: dict[str, Any],
    overlay: dict[str, Any],
    file: str,
    path: str,
    file_by_path: dict[str, str],
) -> None:
    for key, value in overlay.items():
        key_path = f"{path}.{key}" if path else key
        file_by_path[key_path] = file
        old = into.get(key)
        if isinstance(old, dict) and isinstance(value, dict):
            _merge(old, value, file, key_path, file_by_path)
            continue
        into[key] = value
        if isinstance(value, dict):
            into[key] = {}
            _merge(into[key], value, file, key_path, file_by_path)


def _file_of(path: str, file_by_path: dict[str, str], default: str) -> str:
    """Return the file that set a value or the object around it."""
    while path:
        if path in file_by_path:
            return file_by_path[path]
        cut = max(path.rfind("."), path.rfind("["))
        path = path[:cut] if cut > 0 else ""
    return default

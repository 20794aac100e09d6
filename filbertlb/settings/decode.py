"""Strict decoding of JSON values into attrs classes.

A mistake names the key by its whole path, the bad value and the mend.
"""

from __future__ import annotations

import types
from collections.abc import Mapping
from difflib import get_close_matches
from enum import Enum
from math import isfinite
from typing import Any
from typing import get_args
from typing import get_origin
from typing import get_type_hints
from typing import TypeVar
from typing import Union

import attrs
from msgspec import convert as convert_leaf
from msgspec import ValidationError

from filbertlb.errors import InvalidInputError
from filbertlb.ranges import MAX_INT64

MASK = "***"

_T = TypeVar("_T")
_SECRET = "secret"
_mend_by_type: dict[Any, str] = {
    int: "write a whole number",
    float: "write a number",
    bool: "write true or false",
    str: "write a text in double quotes",
}


class InvalidValueError(InvalidInputError):
    """A value is unknown, missing, or of a wrong type or range.

    Parameters
    ----------
    path : str
        Keys from the root to the value, such as ``limits.body_bytes``.
    """

    code = "invalid_value"

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f"{path or 'the whole value'}: {problem}")
        self.path = path
        self.problem = problem


def secret(**kwargs: Any) -> Any:
    """Return an attrs field whose value no message shows."""
    return attrs.field(repr=False, metadata={_SECRET: True}, **kwargs)


def convert(value: Any, cls: type[_T]) -> _T:
    """Return the object that a decoded JSON value describes.

    Parameters
    ----------
    cls : type
        An attrs class; its fields may be attrs classes, tuples and
        mappings of them, optional values, enums and plain values.

    Raises
    ------
    InvalidValueError
        At the first mistake.
    """
    return _object(value, cls, "")


def _convert(value: Any, hint: Any, path: str, masked: bool) -> Any:
    if get_origin(hint) in (Union, types.UnionType):
        return _optional(value, hint, path, masked)
    if attrs.has(hint):
        return _object(value, hint, path)
    if get_origin(hint) is tuple:
        return _tuple(value, get_args(hint)[0], path, masked)
    if get_origin(hint) in (dict, Mapping):
        return _mapping(value, get_args(hint)[1], path, masked)
    return _leaf(value, hint, path, masked)


def _optional(value: Any, hint: Any, path: str, masked: bool) -> Any:
    if value is None:
        return None
    (inner,) = (kind for kind in get_args(hint) if kind is not type(None))
    return _convert(value, inner, path, masked)


def _object(value: Any, cls: type[_T], path: str) -> _T:
    if not isinstance(value, dict):
        raise InvalidValueError(
            path, f"{_shown(value, False)} is not an object; write {{...}}"
        )
    hints = get_type_hints(cls)
    fields: dict[str, Any] = {
        field.name: field for field in _fields(cls) if field.init
    }
    _check_keys(value, fields, path)
    arguments = {}
    for name, item in value.items():
        field_path = _join(path, name)
        masked = _is_secret(fields[name])
        argument = _convert(item, hints[name], field_path, masked)
        _validate(argument, fields[name], item, field_path)
        arguments[name] = argument
    try:
        return cls(**arguments)
    except ValueError as error:
        raise InvalidValueError(path, str(error)) from error


def _fields(cls: Any) -> Any:
    return attrs.fields(cls)


def _validate(argument: Any, field: Any, item: Any, path: str) -> None:
    """Run a field's validator, so that its path is known."""
    if field.validator is None:
        return
    try:
        field.validator(None, field, argument)
    except ValueError as error:
        shown = _shown(item, _is_secret(field))
        reason = MASK if _is_secret(field) else error.args[0]
        raise InvalidValueError(
            path, f"{shown} is not allowed: {reason}"
        ) from error


def _check_keys(
    value: dict[str, Any], fields: dict[str, Any], path: str
) -> None:
    for key in value:
        if key not in fields:
            close = get_close_matches(key, fields, n=1)
            mend = (
                f"did you mean {close[0]!r}?"
                if close
                else f"use one of {sorted(fields)!r}"
            )
            raise InvalidValueError(_join(path, key), f"unknown key; {mend}")
    for name, field in fields.items():
        if field.default is attrs.NOTHING and name not in value:
            raise InvalidValueError(_join(path, name), "missing; add it")


def _tuple(value: Any, item: Any, path: str, masked: bool) -> Any:
    if not isinstance(value, list):
        raise InvalidValueError(
            path, f"{_shown(value, masked)} is not a list; write [...]"
        )
    return tuple(
        _convert(part, item, f"{path}[{index}]", masked)
        for index, part in enumerate(value)
    )


def _mapping(value: Any, item: Any, path: str, masked: bool) -> Any:
    if not isinstance(value, dict):
        raise InvalidValueError(
            path, f"{_shown(value, masked)} is not an object; write {{...}}"
        )
    return {
        key: _convert(part, item, _join(path, key), masked)
        for key, part in value.items()
    }


def _leaf(value: Any, hint: Any, path: str, masked: bool) -> Any:
    if _is_out_of_range(value):
        raise InvalidValueError(
            path, f"{_shown(value, masked)} is out of range; {_mend(hint)}"
        )
    try:
        return convert_leaf(value, hint)
    except ValidationError as error:
        raise InvalidValueError(
            path, f"{_shown(value, masked)} does not fit; {_mend(hint)}"
        ) from error


def _is_out_of_range(value: Any) -> bool:
    if isinstance(value, int):
        return abs(value) > MAX_INT64
    return isinstance(value, float) and not isfinite(value)


def _mend(hint: Any) -> str:
    if isinstance(hint, type) and issubclass(hint, Enum):
        return f"write one of {[member.value for member in hint]!r}"
    return _mend_by_type.get(hint, f"write a value of type {hint!r}")


def _shown(value: Any, masked: bool) -> str:
    return MASK if masked else repr(value)


def _is_secret(field: Any) -> bool:
    return bool(field.metadata.get(_SECRET))


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key

"""Calls and replies as the handlers see them, and the error body."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

import attrs
import msgspec

from filbertlb.decoding import decode_json
from filbertlb.decoding import MalformedDataError
from filbertlb.errors import FilbertlbError
from filbertlb.errors import InvalidInputError
from filbertlb.errors import Ran
from filbertlb.settings.decode import convert

if TYPE_CHECKING:
    from collections.abc import Mapping

JSON_TYPE = "application/json"
MIN_RETRY_AFTER_S = 1

_T = TypeVar("_T")


class MalformedBodyError(InvalidInputError):
    """The body is not JSON."""

    code = "malformed_json"


class ForbiddenError(FilbertlbError):
    """The caller's token does not allow the call."""

    code = "forbidden"
    status = HTTPStatus.FORBIDDEN


class UnauthenticatedError(FilbertlbError):
    """The call bears no valid token."""

    code = "unauthenticated"
    status = HTTPStatus.UNAUTHORIZED


class BodyTooLargeError(InvalidInputError):
    """The body is over the limit."""

    code = "body_too_large"
    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE


@attrs.frozen
class Identity:
    """Who calls.

    Parameters
    ----------
    name : str
        Token id, for the audit trail.
    organisation_id : str, optional
        Organisation that the token belongs to.
    operator : bool
        Whether the token is an operator's.
    """

    name: str
    organisation_id: str | None = None
    operator: bool = False


@attrs.frozen
class Call:
    """One HTTP request after authentication.

    Parameters
    ----------
    request_id : str
        Names the call in answers and in the logs of all processes.
    """

    identity: Identity
    params: Mapping[str, str]
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes
    request_id: str = ""

    def organisation(self) -> str:
        """Return the organisation that the call acts for.

        An operator names it with the query ``organisation``.

        Raises
        ------
        ForbiddenError
            If a caller names an organisation other than its own.
        InvalidInputError
            If an operator names none.
        """
        named = self.query.get("organisation")
        own = self.identity.organisation_id
        if own is not None:
            if named not in (None, own):
                raise ForbiddenError(
                    f"the token is not for organisation {named!r}"
                )
            return own
        if not named:
            raise InvalidInputError("name the organisation: ?organisation=ID")
        return named

    def json(self, cls: type[_T]) -> _T:
        """Return the object that the body describes.

        Raises
        ------
        MalformedBodyError
            If the body is not JSON.
        InvalidValueError
            If a member is unknown, missing or of a wrong type or value.
        """
        try:
            value = decode_json(self.body)
        except MalformedDataError as error:
            raise MalformedBodyError(
                f"the body is not JSON: {error}"
            ) from error
        return convert(value, cls)

    def whole_number(self, name: str, most: int) -> int:
        """Return a whole number of the query from 0, or 0 if none is given.

        Raises
        ------
        InvalidInputError
            If it is not such a number.
        """
        value = self.number(name, 0.0, most)
        if not value.is_integer():
            raise InvalidInputError(
                f"{name} is {self.query[name]!r}; give a whole number"
            )
        return int(value)

    def number(self, name: str, default: float, most: float) -> float:
        """Return a number of the query between 0 and ``most``.

        Raises
        ------
        InvalidInputError
            If it is not such a number.
        """
        return parse_number(name, self.query.get(name), default, most)


def parse_number(
    name: str, text: str | None, default: float, most: float
) -> float:
    """Return the number in a text, or the default if there is none.

    Raises
    ------
    InvalidInputError
        If it is not a number from 0 to ``most``.
    """
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= most:
        raise InvalidInputError(
            f"{name} is {text!r}; give a number from 0 to {most:g}"
        )
    return value


@attrs.frozen
class Reply:
    """One HTTP response."""

    status: int
    body: bytes
    content_type: str = JSON_TYPE
    headers: tuple[tuple[str, str], ...] = ()


def json_reply(value: Any, status: int = HTTPStatus.OK) -> Reply:
    """Return a reply with a value as JSON."""
    return Reply(int(status), msgspec.json.encode(value))


def error_reply(error: FilbertlbError, request_id: str) -> Reply:
    """Return the reply that tells a failure.

    The body is ``{"error": {"code", "message", "ran", "request_id"}}``
    with ``retry_after_s`` where a retry is worthwhile.
    """
    headers: tuple[tuple[str, str], ...] = ()
    details: dict[str, Any] = {
        "code": error.code,
        "message": error.message,
        "ran": Ran(error.ran).value,
        "request_id": request_id,
    }
    if error.retry_after_s is not None:
        seconds = max(MIN_RETRY_AFTER_S, round(error.retry_after_s))
        headers = (("Retry-After", str(seconds)),)
        details["retry_after_s"] = error.retry_after_s
    body = msgspec.json.encode({"error": details})
    return Reply(int(error.status), body, JSON_TYPE, headers)

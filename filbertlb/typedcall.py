"""Typed calls over HTTP: attrs classes in, attrs classes out."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import attrs
from msgspec.json import encode

from filbertlb.decoding import decode_json
from filbertlb.decoding import MalformedDataError
from filbertlb.errors import InvalidInputError
from filbertlb.httpcall import CallNotSentError
from filbertlb.httpcall import CallOutcomeUnknownError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from filbertlb.errors import FilbertlbError
    from filbertlb.errors import OutcomeUnknownError
    from filbertlb.errors import UnavailableError
    from filbertlb.httpcall import HttpCaller
    from filbertlb.httpcall import Reply

_STATUS_OK = 200
_T = TypeVar("_T")


@attrs.frozen
class ErrorReply:
    """Body of every answer that is an error."""

    code: str
    message: str


@attrs.frozen
class TypedCaller:
    """Calls one service whose bodies are JSON.

    Parameters
    ----------
    caller : HttpCaller
        Connections to the service.
    timeout_s : float
        Longest wait for one answer in seconds.
    refused : type of UnavailableError
        Raised if the call had no effect.
    unknown : type of OutcomeUnknownError
        Raised if the call may have had its effect.
    errors : iterable of type of FilbertlbError
        Further errors that the service reports by their codes.
    """

    caller: HttpCaller
    timeout_s: float
    refused: type[UnavailableError]
    unknown: type[OutcomeUnknownError]
    errors: Iterable[type[FilbertlbError]] = ()

    def call(self, path: str, body: object, reply_type: type[_T]) -> _T:
        """Send one call at most once and return its typed answer."""
        try:
            reply = self.caller.post(path, encode(body), self.timeout_s)
        except CallNotSentError as error:
            raise self.refused(error.message) from error
        except CallOutcomeUnknownError as error:
            raise self.unknown(error.message) from error
        return self._result(path, reply, reply_type)

    def read(self, path: str, body: object, reply_type: type[_T]) -> _T:
        """Send a call that changes nothing and return its typed answer.

        Such a call can be sent again like a refused one.
        """
        try:
            return self.call(path, body, reply_type)
        except self.unknown as error:
            raise self.refused(error.message) from error

    def _result(self, path: str, reply: Reply, reply_type: type[_T]) -> _T:
        try:
            if reply.status == _STATUS_OK:
                return decode_json(reply.body, reply_type)
            failure = decode_json(reply.body, ErrorReply)
        except MalformedDataError as error:
            raise self.unknown(
                f"{path!r} gave status {reply.status!r} and an answer "
                f"that cannot be read: {error}"
            ) from error
        raise self._error_type(failure.code)(failure.message)

    def _error_type(self, code: str) -> type[FilbertlbError]:
        known: list[type[FilbertlbError]] = [
            self.refused,
            InvalidInputError,
            *self.errors,
        ]
        for error_type in known:
            if error_type.code == code:
                return error_type
        return self.unknown

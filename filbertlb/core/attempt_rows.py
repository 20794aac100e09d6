"""Rows of attempts of non-idempotent requests, and their stored form."""

from __future__ import annotations

from enum import StrEnum
from hashlib import sha256

import attrs
from msgspec import MsgspecError
from msgspec.json import decode
from msgspec.json import encode

from filbertlb.errors import ConflictError
from filbertlb.errors import FilbertlbError
from filbertlb.errors import Ran
from filbertlb.errors import UnavailableError
from filbertlb.messages import Token

ATTEMPT_PREFIX = "attempts/"


class KeyReusedError(ConflictError):
    """The caller's key stands for a request with another body."""

    code = "key_reused"


class AttemptTransitionError(ConflictError):
    """The attempt is in a state that forbids the change."""

    code = "attempt_transition"
    default_ran = Ran.UNKNOWN


class CorruptAttemptError(FilbertlbError):
    """The row of an attempt cannot be read."""

    code = "corrupt_attempt"
    default_ran = Ran.UNKNOWN


class NotAcceptedError(UnavailableError):
    """The request could not be accepted durably; it starts nothing.

    ``ran`` is about the caller's key, which an earlier request may have
    used: it is unknown while the attempt's row cannot be read.
    """

    code = "not_accepted"
    default_ran = Ran.UNKNOWN


class AttemptState(StrEnum):
    """States of an attempt; ``charts/attempt.json`` links them."""

    NEW = "new"
    DISPATCHED = "dispatched"
    UNKNOWN = "unknown"
    SUCCEEDED = "succeeded"
    REFUSED = "refused"
    CANCELLED = "cancelled"


@attrs.frozen
class KeyedRequest:
    """What identifies a non-idempotent request.

    Parameters
    ----------
    organisation_id : str
        Organisation of the caller.
    caller_key : str
        Idempotency key chosen by the caller.
    body_digest : str
        Digest of everything that says what is to be done; empty when
        a caller only asks for the outcome of the key.
    start_by_s : float
        Wall time in seconds after which the work must not start.
    retry_of : int
        Generation that the caller was told did not run and asks to
        have tried again; 0 if none.
    """

    organisation_id: str
    caller_key: str
    body_digest: str
    start_by_s: float
    retry_of: int = 0


@attrs.frozen
class Answer:
    """A runner's whole answer as it is kept."""

    status: int
    body: bytes
    content_type: str


@attrs.frozen
class AttemptRow:
    """One attempt as the table service holds it.

    Parameters
    ----------
    attempt_id : str
        Unique for each generation of a key.
    generation : int
        Grows when the caller asks again after a refusal.
    write_id : str
        Unique name of the write that left this row; settles lost acks.
    owner : str
        Incarnation of the entry that wrote the row.
    start_by_s : float
        Wall time in seconds after which the work must not start.
    dispatches : int
        Dispatches of this generation.
    token : Token, optional
        Token of the last dispatch.
    endpoint_id, address : str
        Where the last dispatch went.
    answer : Answer, optional
        The whole answer, once there is one.
    code, message : str
        Why the attempt was refused.
    """

    organisation_id: str
    caller_key: str
    body_digest: str
    attempt_id: str
    write_id: str
    owner: str
    start_by_s: float
    state: AttemptState = AttemptState.NEW
    generation: int = 1
    dispatches: int = 0
    token: Token | None = None
    endpoint_id: str = ""
    address: str = ""
    answer: Answer | None = None
    code: str = ""
    message: str = ""


@attrs.frozen
class Stamp:
    """Who writes a row.

    Parameters
    ----------
    write_id : str
        Unique for each row content that is written; a repetition of the
        same write carries the same one.
    owner : str
        Incarnation of the writing entry.
    """

    write_id: str
    owner: str


def attempt_row_key(organisation_id: str, caller_key: str) -> str:
    """Return the key of an attempt's row in the table service."""
    owner = sha256(organisation_id.encode()).hexdigest()[:16]
    return f"{ATTEMPT_PREFIX}{owner}/{sha256(caller_key.encode()).hexdigest()}"


def request_digest(path: str, body: bytes) -> str:
    """Return the digest of what a request asks to have done."""
    head = encode(path)
    return sha256(head + b"\n" + body).hexdigest()


def encode_attempt(row: AttemptRow) -> bytes:
    """Return the stored form of a row."""
    return encode(row)


def decode_attempt(value: bytes) -> AttemptRow:
    """Return the row of a stored form.

    Raises
    ------
    CorruptAttemptError
        If the value is not the stored form of a row.
    """
    try:
        return decode(value, type=AttemptRow)
    except MsgspecError as error:
        raise CorruptAttemptError(
            f"attempt row {value[:80]!r} cannot be read: {error}; "
            "read it with the release that wrote it"
        ) from error

"""Rows of attempts of non-idempotent requests, and their encoding."""

from __future__ import annotations

from enum import StrEnum
from hashlib import sha256

import attrs
from msgspec.json import encode

from filbertlb.decoding import decode_json
from filbertlb.decoding import MalformedDataError
from filbertlb.errors import ConflictError
from filbertlb.errors import FilbertlbError
from filbertlb.errors import Ran
from filbertlb.errors import UnavailableError
from filbertlb.messages import Token
from filbertlb.ranges import Count

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

    ``ran`` refers to the caller's key, which an earlier request may have
    used; it is unknown while the attempt's row cannot be read.
    """

    code = "not_accepted"
    default_ran = Ran.UNKNOWN


class AttemptState(StrEnum):
    """States of an attempt; ``charts/attempt.json`` has the transitions."""

    NEW = "new"
    DISPATCHED = "dispatched"
    UNKNOWN = "unknown"
    SUCCEEDED = "succeeded"
    REFUSED = "refused"
    CANCELLED = "cancelled"


@attrs.frozen
class KeyedRequest:
    """Identity and deadline of a non-idempotent request.

    Parameters
    ----------
    organisation_id : str
        Organisation of the caller.
    caller_key : str
        Idempotency key chosen by the caller.
    body_digest : str
        Digest of the path and body; empty when a caller only asks for
        the outcome of the key or cancels it.
    start_by_s : float
        Wall time in seconds after which the work must not start.
    retry_of : int
        Generation to retry, which the caller knows did not run; 0 for
        none.
    """

    organisation_id: str
    caller_key: str
    body_digest: str
    start_by_s: float
    retry_of: int = 0


@attrs.frozen
class Answer:
    """A runner's complete answer as stored."""

    status: Count
    body: bytes
    content_type: str


@attrs.frozen
class AttemptRow:
    """One attempt as stored in the table service.

    Parameters
    ----------
    attempt_id : str
        Unique for each generation of a key.
    generation : int
        Number of the try, incremented when the caller retries after a
        refusal.
    write_id : str
        Unique identifier of the write that stored this version; it
        tells whether a write with a lost acknowledgement took effect.
    owner : str
        Incarnation of the entry that wrote the row.
    start_by_s : float
        Wall time in seconds after which the work must not start.
    dispatches : int
        Number of dispatches of this generation.
    token : Token, optional
        Token of the latest dispatch.
    endpoint_id, address : str
        Destination of the latest dispatch.
    answer : Answer, optional
        The complete answer, once there is one.
    code, message : str
        Why the attempt was refused or cancelled, or why its outcome is
        unknown.
    """

    organisation_id: str
    caller_key: str
    body_digest: str
    attempt_id: str
    write_id: str
    owner: str
    start_by_s: float
    state: AttemptState = AttemptState.NEW
    generation: Count = 1
    dispatches: Count = 0
    token: Token | None = None
    endpoint_id: str = ""
    address: str = ""
    answer: Answer | None = None
    code: str = ""
    message: str = ""


@attrs.frozen
class Stamp:
    """Identifies a write of a row and its writer.

    Parameters
    ----------
    write_id : str
        Unique for each write; a repetition of the same write has the
        same identifier.
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
    """Return the digest of the path and body of a request."""
    head = encode(path)
    return sha256(head + b"\n" + body).hexdigest()


def encode_attempt(row: AttemptRow) -> bytes:
    """Return the encoded form in which a row is stored."""
    return encode(row)


def decode_attempt(value: bytes) -> AttemptRow:
    """Decode a stored row.

    Raises
    ------
    CorruptAttemptError
        If the value is not an encoded row.
    """
    try:
        return decode_json(value, AttemptRow)
    except MalformedDataError as error:
        raise CorruptAttemptError(
            f"attempt row {value[:80]!r} cannot be read: {error}; "
            "read it with the release that wrote it"
        ) from error

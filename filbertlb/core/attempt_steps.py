"""Steps of a request that follow from the row of its attempt."""

from __future__ import annotations

import attrs

from filbertlb.core.attempt_rows import Answer
from filbertlb.core.attempt_rows import AttemptRow
from filbertlb.core.attempt_rows import AttemptState
from filbertlb.core.attempt_rows import KeyedRequest
from filbertlb.core.attempt_rows import KeyReusedError
from filbertlb.errors import Ran
from filbertlb.messages import Token


@attrs.frozen
class OpenAttempt:
    """Write the first row of the key, with its first dispatch."""


@attrs.frozen
class ReopenAttempt:
    """Write the next generation of the key, then look again."""


@attrs.frozen
class DispatchAttempt:
    """Write a token into the row, then send it."""


@attrs.frozen
class ExpireAttempt:
    """Refuse the attempt: its time to start has passed."""


@attrs.frozen
class JoinDispatch:
    """Mark the row as joined, then ask the agent about its token.

    Parameters
    ----------
    may_start : bool
        Send the request itself with this token; otherwise send a
        tombstone first, and the request only if the token has started.
    """

    token: Token
    endpoint_id: str
    address: str
    may_start: bool


@attrs.frozen
class TellAnswer:
    """The attempt has its whole answer."""

    answer: Answer


@attrs.frozen
class TellNotRun:
    """The attempt did not run and will not.

    Parameters
    ----------
    generation : int
        What the caller names to have the key tried again.
    """

    code: str
    message: str
    generation: int


Step = (
    OpenAttempt
    | ReopenAttempt
    | DispatchAttempt
    | ExpireAttempt
    | JoinDispatch
    | TellAnswer
    | TellNotRun
)


def next_step(
    row: AttemptRow | None, request: KeyedRequest, now_s: float
) -> Step:
    """Return what an entry has to do next for a request.

    The answer depends on the row alone and not on who wrote it, so an
    entry resumes the attempt of another one that has died without
    knowing that it has.

    Parameters
    ----------
    row : AttemptRow, optional
        The row as last read; None if there is none.
    request : KeyedRequest
        The caller's request.
    now_s : float
        Wall time in seconds.

    Raises
    ------
    KeyReusedError
        If the key stands for another body.
    """
    if row is None:
        return OpenAttempt()
    _check_same_body(row, request)
    match row.state:
        case AttemptState.SUCCEEDED:
            assert row.answer is not None
            return TellAnswer(row.answer)
        case AttemptState.REFUSED if request.retry_of == row.generation:
            return ReopenAttempt()
        case AttemptState.REFUSED | AttemptState.CANCELLED:
            return TellNotRun(row.code, row.message, row.generation)
        case AttemptState.NEW if now_s >= row.start_by_s:
            return ExpireAttempt()
        case AttemptState.NEW:
            return DispatchAttempt()
    assert row.token is not None
    return JoinDispatch(
        row.token,
        row.endpoint_id,
        row.address,
        may_start=now_s < row.start_by_s,
    )


def _check_same_body(row: AttemptRow, request: KeyedRequest) -> None:
    if "" in (request.body_digest, row.body_digest):
        # A caller asks for the key or has cancelled it without body.
        return
    if request.body_digest == row.body_digest:
        return
    raise KeyReusedError(
        f"key {request.caller_key!r} was used before with another body; "
        "send the same body or choose a new key",
        ran=Ran.NO,
    )

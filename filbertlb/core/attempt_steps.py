"""Choice of the next step of a request from the row of its attempt."""

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
    """Write the first row of the key, including its first dispatch."""


@attrs.frozen
class ReopenAttempt:
    """Write the next generation of the key, then choose a step again."""


@attrs.frozen
class DispatchAttempt:
    """Write a new token to the row, then send the request with it."""


@attrs.frozen
class ExpireAttempt:
    """Refuse the attempt because its start deadline has passed."""


@attrs.frozen
class JoinDispatch:
    """Join the existing dispatch and ask its agent for the outcome.

    The row is written first to record that another entry has joined.

    Parameters
    ----------
    may_start : bool
        True to send the request with this token. Otherwise send a
        tombstone first, and the request only if the token has started,
        to fetch its answer.
    """

    token: Token
    endpoint_id: str
    address: str
    may_start: bool


@attrs.frozen
class TellAnswer:
    """Report the complete answer of the attempt."""

    answer: Answer


@attrs.frozen
class TellNotRun:
    """Report that the attempt did not run and will not run.

    Parameters
    ----------
    generation : int
        Generation that the caller passes as ``retry_of`` to retry.
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
    """Return the next step of an entry for a request.

    The step does not depend on which entry wrote the row, so an entry
    can resume the attempt of a failed entry without detecting the
    failure.

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
        If the key was used with another body.
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
        # Requests that query or cancel a key have no body to compare.
        return
    if request.body_digest == row.body_digest:
        return
    raise KeyReusedError(
        f"key {request.caller_key!r} was used before with another body; "
        "send the same body or choose a new key",
        ran=Ran.NO,
    )

"""State transitions of attempts of non-idempotent requests.

The row of an attempt is written before its request is dispatched and
holds the token of the only dispatch that may start. Any entry that reads
the row can continue from it. A token starts at most once, so it is always
safe to join a dispatch by sending its token again; a new dispatch
requires proof that the previous token never started.
"""

from __future__ import annotations

from enum import StrEnum

import attrs

from filbertlb.core.attempt_rows import Answer
from filbertlb.core.attempt_rows import AttemptRow
from filbertlb.core.attempt_rows import AttemptState
from filbertlb.core.attempt_rows import AttemptTransitionError
from filbertlb.core.attempt_rows import KeyedRequest
from filbertlb.core.attempt_rows import Stamp
from filbertlb.core.charts import IllegalTransitionError
from filbertlb.core.charts import state_chart
from filbertlb.errors import Ran
from filbertlb.messages import InvokeResult
from filbertlb.messages import Refused
from filbertlb.messages import Token
from filbertlb.messages import Tombstoned

CHART_NAME = "attempt"


class WriteOutcome(StrEnum):
    """Outcome of a write whose acknowledgement was lost."""

    WRITTEN = "written"
    NOT_WRITTEN = "not_written"
    SUPERSEDED = "moved_on"


def _next_state(row: AttemptRow, trigger: str) -> AttemptState:
    chart = state_chart(CHART_NAME)
    try:
        return AttemptState(chart.after(row.state.value, trigger))
    except IllegalTransitionError as error:
        raise AttemptTransitionError(
            f"attempt {row.attempt_id!r} is in state {row.state.value!r}, "
            f"which does not allow {trigger!r}; read the row again"
        ) from error


def open_attempt(
    request: KeyedRequest, attempt_id: str, stamp: Stamp
) -> AttemptRow:
    """Return the first row of a key, to be written if none exists."""
    return AttemptRow(
        organisation_id=request.organisation_id,
        caller_key=request.caller_key,
        body_digest=request.body_digest,
        attempt_id=attempt_id,
        write_id=stamp.write_id,
        owner=stamp.owner,
        start_by_s=request.start_by_s,
    )


def block_key(
    request: KeyedRequest, attempt_id: str, stamp: Stamp
) -> AttemptRow:
    """Return a first row that prevents the key from ever running."""
    row = open_attempt(request, attempt_id, stamp)
    return attrs.evolve(
        row,
        state=AttemptState.CANCELLED,
        code="cancelled",
        message="the caller cancelled the key before it was used",
    )


def reopen(
    row: AttemptRow, request: KeyedRequest, attempt_id: str, stamp: Stamp
) -> AttemptRow:
    """Return the row of the next generation of a refused key."""
    return attrs.evolve(
        open_attempt(request, attempt_id, stamp),
        state=_next_state(row, "reopen"),
        generation=row.generation + 1,
    )


def dispatch(
    row: AttemptRow,
    token: Token,
    endpoint_id: str,
    address: str,
    stamp: Stamp,
) -> AttemptRow:
    """Return the row to write before the token is sent."""
    return attrs.evolve(
        row,
        state=_next_state(row, "dispatch"),
        token=token,
        endpoint_id=endpoint_id,
        address=address,
        dispatches=row.dispatches + 1,
        write_id=stamp.write_id,
        owner=stamp.owner,
    )


def join(row: AttemptRow, stamp: Stamp) -> AttemptRow:
    """Return the row to write before joining an existing dispatch.

    The write changes the row's version, so that the entry which wrote
    the token can no longer record that the token was never sent.
    """
    return attrs.evolve(
        row,
        state=_next_state(row, "join"),
        write_id=stamp.write_id,
        owner=stamp.owner,
    )


def prove_not_run(
    row: AttemptRow, proof: Refused | Tombstoned, stamp: Stamp
) -> AttemptRow:
    """Return the row after proof that its dispatch never started.

    Parameters
    ----------
    proof : Refused or Tombstoned
        The agent's reply; for a token that was never sent, a refusal
        created by the entry that wrote the current version of the row.

    Raises
    ------
    AttemptTransitionError
        If the proof names another token or does not state that the
        dispatch did not run.
    """
    state = _next_state(row, "prove_not_run")
    if proof.token != row.token or proof.ran is not Ran.NO:
        raise AttemptTransitionError(
            f"{proof!r} does not prove that dispatch {row.token!r} never "
            "started; ask its agent"
        )
    return attrs.evolve(
        row, state=state, write_id=stamp.write_id, owner=stamp.owner
    )


def lose(row: AttemptRow, stamp: Stamp) -> AttemptRow:
    """Return the row of a dispatch that may or may not have run."""
    return attrs.evolve(
        row,
        state=_next_state(row, "lose"),
        write_id=stamp.write_id,
        owner=stamp.owner,
    )


def answer(row: AttemptRow, result: InvokeResult, stamp: Stamp) -> AttemptRow:
    """Return the row that holds the complete answer.

    Raises
    ------
    AttemptTransitionError
        If the answer belongs to another dispatch.
    """
    state = _next_state(row, "answer")
    if result.token != row.token:
        raise AttemptTransitionError(
            f"the answer to {result.token!r} does not belong to attempt "
            f"{row.attempt_id!r}, whose dispatch is {row.token!r}"
        )
    return attrs.evolve(
        row,
        state=state,
        answer=Answer(result.status, result.body, result.content_type),
        write_id=stamp.write_id,
        owner=stamp.owner,
    )


def record_late_answer(
    current: AttemptRow | None, pending_answer: AttemptRow, stamp: Stamp
) -> AttemptRow | None:
    """Return the row for an answer whose first write failed.

    Parameters
    ----------
    current : AttemptRow, optional
        The row as read now; since the failed write, other entries may
        have joined the dispatch or marked its outcome unknown.
    pending_answer : AttemptRow
        The row of the failed write, with the answer.

    Returns
    -------
    AttemptRow or None
        None if nothing is left to write.
    """
    if current is None or current.token != pending_answer.token:
        return None
    if current.state is AttemptState.SUCCEEDED:
        return None
    return attrs.evolve(
        current,
        state=_next_state(current, "answer"),
        answer=pending_answer.answer,
        write_id=stamp.write_id,
        owner=stamp.owner,
    )


def refuse(
    row: AttemptRow, code: str, message: str, stamp: Stamp
) -> AttemptRow:
    """Return the row that ends this generation without running it."""
    return attrs.evolve(
        row,
        state=_next_state(row, "refuse"),
        code=code,
        message=message,
        write_id=stamp.write_id,
        owner=stamp.owner,
    )


def cancel(row: AttemptRow, stamp: Stamp) -> AttemptRow:
    """Return the row that prevents the key from ever running."""
    return attrs.evolve(
        row,
        state=_next_state(row, "cancel"),
        code="cancelled",
        message="the caller cancelled the request before it started",
        write_id=stamp.write_id,
        owner=stamp.owner,
    )


def resolve_write(
    write_id: str, row: AttemptRow | None, before: str
) -> WriteOutcome:
    """Determine from the current row whether a write took effect.

    Parameters
    ----------
    write_id : str
        The write whose acknowledgement was lost.
    row : AttemptRow, optional
        The row as read afterwards.
    before : str
        ``write_id`` of the row on which the write was based; empty if
        there was none.
    """
    current = "" if row is None else row.write_id
    if current == write_id:
        return WriteOutcome.WRITTEN
    if current == before:
        return WriteOutcome.NOT_WRITTEN
    return WriteOutcome.SUPERSEDED

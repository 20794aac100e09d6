from __future__ import annotations

import attrs
import pytest

from filbertlb.core.attempt_rows import attempt_row_key
from filbertlb.core.attempt_rows import AttemptTransitionError
from filbertlb.core.attempt_rows import CorruptAttemptError
from filbertlb.core.attempt_rows import decode_attempt
from filbertlb.core.attempt_rows import encode_attempt
from filbertlb.core.attempt_rows import KeyedRequest
from filbertlb.core.attempt_rows import KeyReusedError
from filbertlb.core.attempt_rows import Stamp
from filbertlb.core.attempt_steps import next_step
from filbertlb.core.attempts import answer
from filbertlb.core.attempts import dispatch
from filbertlb.core.attempts import lose
from filbertlb.core.attempts import open_attempt
from filbertlb.core.attempts import prove_not_run
from filbertlb.core.attempts import record_late_answer
from filbertlb.core.attempts import refuse
from filbertlb.core.attempts import reopen
from filbertlb.core.attempts import resolve_write
from filbertlb.errors import Ran
from filbertlb.messages import InvokeResult
from filbertlb.messages import Refused
from filbertlb.messages import Token

REQUEST = KeyedRequest("swat", "payout-7", "digest", 10.0)
STAMP = Stamp("w1", "e1")
TOKEN = Token("a1", 0, "i1", "e1", 1)
OTHER = Token("a1", 0, "i1", "e1", 2)
NEW = open_attempt(REQUEST, "a1", STAMP)
DISPATCHED = dispatch(NEW, TOKEN, "r1", "10.0.0.1:7", STAMP)
UNKNOWN = lose(DISPATCHED, STAMP)
SUCCEEDED = answer(UNKNOWN, InvokeResult(TOKEN, "q", 201, b"\x00\xff"), STAMP)
REFUSED = refuse(NEW, "no_endpoint", "none", STAMP)


@pytest.mark.parametrize(
    ("row", "now_s", "retry_of", "step"),
    [
        (None, 0.0, 0, "OpenAttempt"),
        (NEW, 0.0, 0, "DispatchAttempt"),
        (NEW, 10.0, 0, "ExpireAttempt"),
        (DISPATCHED, 0.0, 0, "JoinDispatch"),
        (UNKNOWN, 99.0, 0, "JoinDispatch"),
        (SUCCEEDED, 99.0, 0, "TellAnswer"),
        (REFUSED, 0.0, 0, "TellNotRun"),
        (REFUSED, 0.0, 1, "ReopenAttempt"),
        (REFUSED, 0.0, 2, "TellNotRun"),
    ],
)
def test_next_step(row, now_s, retry_of, step):
    request = attrs.evolve(REQUEST, retry_of=retry_of)
    assert type(next_step(row, request, now_s)).__name__ == step


def test_other_body_is_refused_in_every_state():
    request = attrs.evolve(REQUEST, body_digest="other")
    for row in (NEW, DISPATCHED, UNKNOWN, SUCCEEDED, REFUSED):
        with pytest.raises(KeyReusedError, match="payout-7"):
            next_step(row, request, 0.0)


@pytest.mark.parametrize(
    "change",
    [
        lambda: dispatch(DISPATCHED, OTHER, "r2", "", STAMP),
        lambda: dispatch(UNKNOWN, OTHER, "r2", "", STAMP),
        lambda: refuse(DISPATCHED, "x", "", STAMP),
        lambda: prove_not_run(
            DISPATCHED, Refused("x", "", Ran.NO, OTHER), STAMP
        ),
        lambda: prove_not_run(
            DISPATCHED, Refused("x", "", Ran.UNKNOWN, TOKEN), STAMP
        ),
        lambda: answer(DISPATCHED, InvokeResult(OTHER, "q", 200, b""), STAMP),
        lambda: answer(REFUSED, InvokeResult(TOKEN, "q", 200, b""), STAMP),
        lambda: reopen(SUCCEEDED, REQUEST, "a2", STAMP),
    ],
)
def test_forbidden_transitions(change):
    with pytest.raises(AttemptTransitionError):
        change()


def test_rows_round_trip_through_encoding():
    for row in (NEW, DISPATCHED, UNKNOWN, SUCCEEDED, REFUSED):
        assert decode_attempt(encode_attempt(row)) == row
    with pytest.raises(CorruptAttemptError):
        decode_attempt(b'{"organisation_id": 7}')
    assert attempt_row_key("a", "b/c") != attempt_row_key("a/b", "c")


@pytest.mark.parametrize(
    ("row", "settled"),
    [
        (attrs.evolve(DISPATCHED, write_id="w2"), "written"),
        (NEW, "not_written"),
        (attrs.evolve(DISPATCHED, write_id="w3"), "moved_on"),
        (None, "moved_on"),
    ],
)
def test_resolve_write_after_lost_acknowledgement(row, settled):
    assert resolve_write("w2", row, before="w1") == settled


@pytest.mark.parametrize(
    ("current", "is_written"),
    [
        (DISPATCHED, True),
        (UNKNOWN, True),
        (SUCCEEDED, False),
        (None, False),
        (NEW, False),
    ],
)
def test_late_answer_is_recorded_over_later_writes(current, is_written):
    row = record_late_answer(current, SUCCEEDED, Stamp("w9", "e2"))
    assert (row is not None) is is_written
    assert row is None or (row.answer, row.state) == (
        SUCCEEDED.answer,
        SUCCEEDED.state,
    )

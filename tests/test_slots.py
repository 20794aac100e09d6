from __future__ import annotations

import attrs
import pytest

from filbertlb.agent.slot_records import Reply
from filbertlb.agent.slot_records import SlotLimits
from filbertlb.agent.slot_records import Start
from filbertlb.agent.slot_records import Waiting
from filbertlb.agent.slots import SlotBook
from filbertlb.errors import Ran
from filbertlb.messages import Invoke
from filbertlb.messages import InvokeResult
from filbertlb.messages import Refused
from filbertlb.messages import Token


def _token(serial, entry="e1", incarnation="i2"):
    return Token(f"a{serial}", 0, incarnation, entry, serial)


def _invoke(serial, *, urgent=False, within_s=5.0, **token):
    return Invoke(
        _token(serial, **token), "q", "o", "/", b"", within_s, False, urgent
    )


def _book(**limits):
    limits = {"slots": 1, "queue": 2, "urgent_queue": 1} | limits
    return SlotBook("i2", SlotLimits(**limits))


def _summary(actions):
    """Return a short text for each action."""
    summaries = []
    for action in actions:
        match action:
            case Start(invoke=invoke):
                summaries.append(f"start {invoke.token.epoch}")
            case Waiting(token=token):
                summaries.append(f"wait {token.epoch}")
            case Reply(token=token, message=Refused(code=code, ran=ran)):
                summaries.append(f"{code} {token.epoch} {ran}")
            case Reply(token=token):
                summaries.append(f"answer {token.epoch}")
    return summaries


def _result(serial, body=b"whole"):
    return InvokeResult(_token(serial), "q", 200, body)


def test_golden_session():
    """Each step is a call and the actions that it has to return."""
    book = _book()
    steps = [
        (lambda: book.offer(_invoke(1), 0.0), ["start 1"]),
        (lambda: book.offer(_invoke(2), 0.0), ["wait 2"]),
        (lambda: book.offer(_invoke(3, within_s=1.0), 0.0), ["wait 3"]),
        (lambda: book.offer(_invoke(4), 0.0), ["queue_full 4 no"]),
        (lambda: book.offer(_invoke(5, urgent=True), 0.0), ["wait 5"]),
        (lambda: book.offer(_invoke(1), 0.5), ["wait 1"]),
        # Urgent requests start first; expired ones are refused.
        (
            lambda: book.finish(_result(1), 2.0),
            ["answer 1", "expired 3 no", "start 5"],
        ),
        (lambda: book.offer(_invoke(1), 2.0), ["answer 1"]),
        # A refusal is final, even though the queue has room again.
        (lambda: book.offer(_invoke(4), 2.0), ["queue_full 4 no"]),
        (lambda: book.tombstone(_token(2))[1], ["tombstoned 2 no"]),
        (lambda: book.offer(_invoke(6), 2.0), ["wait 6"]),
        (lambda: book.drain(), ["draining 6 no"]),
        (lambda: book.offer(_invoke(7), 2.0), ["draining 7 no"]),
        (lambda: book.finish(_result(5), 3.0), ["answer 5"]),
        (lambda: book.finish(_result(5), 3.0), []),
    ]
    for number, (call, expected) in enumerate(steps):
        assert _summary(call()) == expected, number
    assert (book.running, book.in_flight, book.idle) == (0, 0, False)
    book.acknowledge(_token(1))
    book.acknowledge(_token(5))
    assert book.idle
    assert _summary(book.offer(_invoke(1), 3.0)) == ["result_recorded 1 yes"]


@pytest.mark.parametrize(
    ("invoke", "expected"),
    [
        (_invoke(9, incarnation="i1"), "former_incarnation 9 unknown"),
        (_invoke(9, within_s=0.0), "expired 9 no"),
        (_invoke(9, entry="e2"), "too_many_entries 9 no"),
        # Records up to serial 2 are discarded, so 1 counts as seen too.
        (_invoke(1), "token_too_old 1 unknown"),
        (_invoke(2), "token_too_old 2 unknown"),
        (_invoke(3), "answer 3"),
    ],
)
def test_request_is_not_started(invoke, expected):
    book = _book(max_records=1, max_scopes=1)
    for serial in (2, 3):
        book.offer(_invoke(serial), 0.0)
        book.finish(_result(serial), 0.0)
    assert _summary(book.offer(invoke, 0.0)) == [expected]


@pytest.mark.parametrize(
    ("prepare", "ran"),
    [
        (lambda book: None, Ran.NO),
        (lambda book: book.offer(_invoke(1), 0.0), Ran.YES),
        (lambda book: _fail(book, Ran.NO), Ran.NO),
        (lambda book: _fail(book, Ran.UNKNOWN), Ran.UNKNOWN),
    ],
)
def test_tombstone_reports_start_and_prevents_it(prepare, ran):
    book = _book()
    prepare(book)
    tombstoned, _ = book.tombstone(_token(1))
    assert tombstoned.ran is ran
    assert not any(
        isinstance(action, Start) for action in book.offer(_invoke(1), 0.0)
    )


def _fail(book, ran):
    book.offer(_invoke(1), 0.0)
    book.fail(_token(1), Refused("runner", "", ran, _token(1)), 0.0)


@pytest.mark.parametrize("idempotent", [False, True])
def test_only_non_idempotent_answers_delay_exit(idempotent):
    book = _book()
    invoke = attrs.evolve(_invoke(1), idempotent=idempotent)
    book.offer(invoke, 0.0)
    assert not book.idle
    book.finish(_result(1), 0.0)
    assert book.idle is idempotent
    book.acknowledge(_token(1))
    assert book.idle


def test_stored_answers_are_bounded_in_bytes():
    book = _book(max_result_bytes=10)
    for serial in (1, 2, 3):
        book.offer(_invoke(serial), 0.0)
        book.finish(_result(serial, b"12345"), 0.0)
    answers = [_summary(book.offer(_invoke(n), 0.0))[0] for n in (1, 2, 3)]
    assert answers == ["result_dropped 1 yes", "answer 2", "answer 3"]
    assert book.unacknowledged == 2

"""Contact sessions and which reports of an agent confirm them."""

from __future__ import annotations

import pytest

from filbertlb.batch.contact_session import ContactSession
from filbertlb.batch.model import ReportMark
from filbertlb.batch.workers import CONTACT_LOST_S


def mark(sequence, registration="agent"):
    return ReportMark(registration, sequence)


@pytest.mark.parametrize(
    ("stored", "confirmed", "expected"),
    [
        ([], mark(9), False),
        ([(0, 0.0, 0.1)], None, False),
        ([(0, 0.0, 0.1)], mark(0), True),
        ([(0, 0.0, 0.1)], mark(7, "another process"), False),
        ([(0, 0.0, 0.1), (1, 7.0, 7.9)], mark(0), True),
        ([(0, 0.0, 0.1), (1, 7.0, CONTACT_LOST_S)], mark(0), False),
        ([(0, 0.0, 0.1), (5, 30.0, 30.1)], mark(4), False),
        ([(0, 0.0, 0.1), (5, 30.0, 30.1)], mark(5), True),
        ([(0, 0.0, 0.1), (5, 30.0, 30.1), (6, 31.0, 31.1)], mark(5), True),
        ([(0, 0.0, 0.1), (5, 30.0, 30.1), (6, 45.0, 45.1)], mark(5), False),
    ],
)
def test_session_is_confirmed_by_a_report_of_its_own(
    stored, confirmed, expected
):
    session = ContactSession("agent")
    session.record_confirmed(confirmed)
    for sequence, sent_s, answered_s in stored:
        session.record_stored(sequence, sent_s, answered_s)
    assert session.confirmed is expected


@pytest.mark.parametrize(
    ("sent_s", "awaited"), [(3.0, 2), (CONTACT_LOST_S + 1.0, 9)]
)
def test_report_after_a_gap_awaits_its_own_confirmation(sent_s, awaited):
    session = ContactSession("agent")
    assert session.awaited_sequence(1, 0.0) == 1
    session.record_stored(2, 1.0, 1.1)
    assert session.awaited_sequence(9, sent_s) == awaited

"""Ends that a worker lists again after the decider has read them."""

from __future__ import annotations

import attrs

from filbertlb.batch.model import EndCause
from filbertlb.batch.model import ReportMark
from filbertlb.batch.model import RunEnd
from filbertlb.batch.testing import a_report
from filbertlb.batch.testing import an_order
from filbertlb.batch.testing import some_orders
from filbertlb.batch.worker_link import ListedEnd
from tests.batch.reconciling import reconciler_with
from tests.batch.reconciling import start_all

DONE = RunEnd("j.0.0.0", 1, EndCause.DONE)


def test_end_behind_an_unreadable_one_had_orders_rewritten_without_end():
    # The worker is never told to forget it, and so lists it each time.
    reconciler = reconciler_with(an_order("j.0.0.0"))
    start_all(reconciler)
    awaited = []
    for sequence in range(5, 10):
        listed = [ListedEnd(0, DONE)]
        reconciler.record_listing(1.0, [], listed, ends_complete=False)
        awaited.append(reconciler.awaited_sequence(sequence, 1.0))
        told = a_report("n", sequence=sequence, ended=reconciler.ended())
        reconciler.record_told(told)
        confirmed = ReportMark("agent", sequence)
        row = attrs.evolve(some_orders(), confirmed=confirmed)
        reconciler.set_orders(row)
    assert awaited == [0] * 5

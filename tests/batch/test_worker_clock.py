"""Readings of a worker's clock and the deadlines that follow."""

from __future__ import annotations

import pytest

from filbertlb.batch.worker_clock import WorkerClocks

READ_S = 100.0
END_S = 110.0


@pytest.mark.parametrize(
    ("readings", "deadline_ms"),
    [
        ([(5_000, READ_S)], 14_800),
        ([(5_000, READ_S), (6_000, READ_S + 1)], 14_820),
        # The second was two seconds on its way.
        ([(5_000, READ_S), (5_000, READ_S + 2)], 14_800),
        # A clock of 0.98 shows less than one of full rate would.
        ([(5_000, READ_S), (6_960, READ_S + 2)], 14_800),
        ([(5_000, READ_S), (0, READ_S + 2)], 14_800),
    ],
)
def test_late_reading_of_a_clock_shortened_leases(readings, deadline_ms):
    clocks = WorkerClocks()
    for clock_ms, read_s in readings:
        clocks.record("w@1", clock_ms, read_s)
    assert clocks.get("w@1").deadline_ms(END_S) == deadline_ms
    assert clocks.get("w@2") is None


@pytest.mark.parametrize(("wrong_s", "believed"), [(4.0, True), (6.0, False)])
def test_wrong_reading_of_a_clock_was_believed_for_good(wrong_s, believed):
    # Each call then got the longest lease of the worker.
    clocks = WorkerClocks()
    clocks.record("w@1", 9**9, READ_S)
    for since_s in range(1, round(wrong_s) + 1):
        clocks.record("w@1", 5_000 + 1000 * since_s, READ_S + since_s)
    assert (clocks.get("w@1").deadline_ms(END_S) > 9**9) is believed

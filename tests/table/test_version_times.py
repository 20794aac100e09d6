from __future__ import annotations

import pytest

from filbertlb.table.version_times import MARK_PERIOD_MS
from filbertlb.table.version_times import MAX_MARKS
from filbertlb.table.version_times import MAX_RECORDED
from filbertlb.table.version_times import VersionMark
from filbertlb.table.version_times import VersionTimes


@pytest.mark.parametrize(
    ("version", "reached_s"),
    [(1, 0.0), (10, 0.0), (11, 1.0), (12, 1.0), (13, 2.0), (20, 2.0)],
)
def test_version_counts_as_reached_once_an_answer_proves_it(
    version, reached_s
):
    times = VersionTimes()
    for answered_s, newest in (
        *((0.0, 10), (0.2, 11), (1.0, 12)),
        *((2.0, 20), (2.3, 25)),
    ):
        times.observe(newest, answered_s)
    assert times.reached_s(version) == reached_s
    assert times.reached_s(25) is None


def test_oldest_recorded_version_is_forgotten():
    times = VersionTimes()
    for number in range(2 * MAX_RECORDED):
        times.observe(1 + number, float(number))
    assert times.reached_s(1) == MAX_RECORDED


@pytest.mark.parametrize(
    ("version", "earliest_s"),
    [(9, None), (10, None), (11, 0.0), (12, 0.0), (13, 20.0), (99, 20.0)],
)
def test_version_was_written_after_the_last_answer_without_it(
    version, earliest_s
):
    times = VersionTimes()
    assert times.earliest_write_s(version) is None
    for answered_s, newest in ((0.0, 10), (0.2, 11), (20.0, 12)):
        times.observe(newest, answered_s)
    assert times.earliest_write_s(version) == earliest_s


def test_rows_of_a_snapshot_may_be_as_old_as_its_call():
    # Later pages have rows that are newer than the snapshot's version.
    times = VersionTimes()
    times.observe(10, 9.0, sent_s=1.0)
    assert times.earliest_write_s(11) == 1.0
    assert times.reached_s(10) == 9.0


def process_that_ran(seconds, clock_ms):
    """Return the times of a process that saw one version a second."""
    times = VersionTimes()
    for second in range(seconds + 1):
        times.observe(100 + second, 50.0 + second, clock_ms + 1000 * second)
    return times


def test_marks_are_bounded_and_apart():
    marks = process_that_ran(40, 1000).marks()
    assert len(marks) == MAX_MARKS
    assert marks[-1] == VersionMark(139, 41_000)
    for older, newer in zip(marks, marks[1:], strict=False):
        assert newer.clock_ms - older.clock_ms >= MARK_PERIOD_MS


def test_next_process_knows_the_times_of_the_last_one():
    marks = process_that_ran(40, 1000).marks()
    times = VersionTimes()
    times.observe(150, 7.0, 51_000)
    times.restore(marks)
    assert times.reached_s(139) == 7.0 - 10.0
    assert times.reached_s(138) == 7.0 - 10.0
    assert times.reached_s(137) == 7.0 - 12.0
    assert times.reached_s(140) == 7.0
    # A mark is from the next answer, which may have had version 135 already.
    assert times.earliest_write_s(135) is None
    assert times.earliest_write_s(151) == 7.0
    times.restore(marks)
    times.observe(151, 8.0, 52_000)
    assert times.marks()[-2:] == (marks[-1], VersionMark(150, 52_000))


def test_mark_is_never_earlier_than_its_version():
    # The clock in an answer may have been read before its version.
    times = VersionTimes()
    times.observe(10, 1.0, 1000)
    assert times.marks() == ()
    times.observe(11, 2.0, 2000)
    assert times.marks() == (VersionMark(10, 2000),)


@pytest.mark.parametrize(
    ("clock_ms", "marks"),
    [
        (0, [VersionMark(5, 1000)]),
        (9000, [VersionMark(5, 9001)]),
        (9000, [VersionMark(10, 1000)]),
        (9000, [VersionMark(11, 1000)]),
    ],
    ids=["no clock", "from the future", "same version", "newer version"],
)
def test_mark_that_proves_no_age_is_ignored(clock_ms, marks):
    times = VersionTimes()
    times.observe(10, 7.0, clock_ms)
    times.restore(marks)
    assert times.reached_s(1) == 7.0

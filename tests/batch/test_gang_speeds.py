"""Speeds told by the members of gangs."""

from __future__ import annotations

from math import exp
from math import log

import pytest

from filbertlb.batch.gang_speeds import compare_members
from filbertlb.batch.log_normal import LogNormal
from filbertlb.batch.testing import a_step
from tests.batch.unlike_speeds import replay_on_speeds

WHOLE_WORKER = (8, 7_500, 20_000)


def gang_on(speeds, work_ms=8_000, estimate_ms=8_000):
    """Return a replay in which one gang runs on workers of some speeds."""
    replay = replay_on_speeds(
        {f"n{number}": speed for number, speed in enumerate(speeds)}
    )
    gang = a_step(
        len(speeds), needs=WHOLE_WORKER, gang=True, estimate_ms=estimate_ms
    )
    replay.submit("g", gang, work_ms)
    return replay


@pytest.mark.parametrize(
    "speeds",
    [
        (1.6, 1.0, 1.0, 0.6),
        (1.3, 1.0, 1.0, 1.0),
        (1.6, 1.6, 0.6, 0.6, 0.6, 1.0, 1.0),
    ],
)
def test_members_of_a_gang_in_progress_tell_speeds_apart(speeds):
    replay = gang_on(speeds)
    replay.play(4_000)
    known = replay.planner.durations.speeds
    for first, first_speed in replay.speed_by_node.items():
        for second, second_speed in replay.speed_by_node.items():
            shown = known.speed(first) / known.speed(second)
            if first_speed == second_speed:
                assert shown == pytest.approx(1.0, rel=0.05)
            if first_speed > second_speed:
                assert shown > 1.1


@pytest.mark.parametrize("estimate_ms", [4_000, 8_000, 16_000])
def test_gang_on_equal_workers_shows_no_difference(estimate_ms):
    replay = gang_on((1.0,) * 5, estimate_ms=estimate_ms)
    replay.play(20_000)
    durations = replay.planner.durations
    assert {durations.speed_band(node) for node in replay.speed_by_node} == {0}


def test_member_that_waits_for_its_gang_was_taken_for_slow():
    # It stays at 100% until the slowest has done its work.
    replay = gang_on((1.6, 0.4), work_ms=6_000)
    replay.play(14_000)
    known = replay.planner.durations.speeds
    assert known.speed("n0") > 1.5 * known.speed("n1")


@pytest.mark.parametrize("deviation", [0.1, 0.3])
def test_speeds_of_members_follow_from_their_times(deviation):
    speeds = (0.6, 1.0, 1.6)
    times = [LogNormal(log(8_000 / speed), 0.05**2) for speed in speeds]
    unknown = [LogNormal(0.0, deviation**2)] * len(speeds)
    shown = compare_members(times, unknown, LogNormal(log(8_000), 0.2**2))
    for (first, second), ratio in {(0, 1): 0.6, (2, 1): 1.6}.items():
        difference = shown[first].mean - shown[second].mean
        assert difference * log(ratio) > 0
    assert exp(shown[1].mean) == pytest.approx(1.0, rel=0.1)
    assert all(speed.variance > 0.05**2 for speed in shown)

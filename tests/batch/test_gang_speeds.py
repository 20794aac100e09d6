"""Speeds told by gangs, and urgent gangs on workers of unlike speeds."""

from __future__ import annotations

from math import exp
from math import log

import pytest

from filbertlb.batch.gang_speeds import compare_members
from filbertlb.batch.gang_speeds import GangsInProgress
from filbertlb.batch.log_normal import LogNormal
from filbertlb.batch.testing import a_step
from filbertlb.batch.testing import a_worker
from filbertlb.batch.worker_speeds import TimedRun
from tests.batch.unlike_speeds import replay_on_speeds
from tests.batch.unlike_speeds import UrgentBurst

CLASS_FLOOR = 0.41
"""Share of its worth that a class has to earn."""
LATEST_MS = 60_000
WHOLE_WORKER = (8, 7_500, 20_000)


@pytest.mark.parametrize("seed", [0, 5, 6, 10, 13])
def test_urgent_gangs_were_late_on_workers_of_unlike_speeds(seed):
    # Their workers had run other gangs before, and counted as unknown.
    burst = UrgentBurst(seed)
    burst.play(LATEST_MS)
    assert burst.worth() >= CLASS_FLOOR


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


def test_gang_was_expected_to_end_with_its_fastest_member():
    replay = gang_on((1.6, 1.6, 0.4), work_ms=8_000)
    replay.play(4_000)
    job = replay.planner.state.jobs["g"]
    left_ms = {
        replay.planner.durations.remaining_ms(
            job, job.steps[0], f"g.0.0.{index}", 4_000
        )
        for index in range(3)
    }
    assert min(left_ms) == pytest.approx(16_000, rel=0.2)


def test_urgent_gang_takes_workers_that_were_seen_at_work():
    # Of workers never seen at work some are likely too slow for it.
    speeds = [1.0, 1.0, 0.6, 1.6, 0.6, 1.0, 1.0, 0.6, 1.6, 0.6] * 2
    replay = gang_on(speeds[:10])
    for number, speed in enumerate(speeds[10:], 10):
        replay.speed_by_node[f"n{number}"] = speed
    replay.play(16_000)
    seen = replay_on_speeds(replay.speed_by_node)
    seen.planner.durations = replay.planner.durations
    urgent = a_step(4, needs=WHOLE_WORKER, gang=True, estimate_ms=4_000)
    seen.submit(
        *("u", urgent, 4_000), priority=0, slack_factor=1.5, target_ms=300
    )
    seen.play(0)
    nodes = seen.ordered("u")
    assert all(int(node[1:]) < 10 for node in nodes)
    assert min(seen.speed_by_node[node] for node in nodes) >= 1.0


@pytest.mark.parametrize(
    ("nodes", "compared_with"),
    [
        (2, [2]),
        (5, [2, 3, 4, 5]),
        (16, [2, 3, 4, 5, 7, 9, 12, 15, 16]),
    ],
)
def test_large_gang_was_compared_with_each_further_member(
    nodes, compared_with
):
    # 64 comparisons of 64 members took longer than the gang's first second.
    gangs, expected = GangsInProgress(), LogNormal(9.0, 0.2)
    compared = []
    for number in range(nodes):
        node = f"n{number}"
        member = TimedRun(node, a_worker(incarnation=f"{node}@1"), 9.0, 0.01)
        for _ in range(2):
            paces = gangs.add(("g.0.0", 1), member, expected, nodes)
            if paces.is_comparison_due():
                compared.append(len(paces.run_by_node))
    assert compared == compared_with


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

"""Best fit of identical tasks, with and without runs that are stopped."""

from __future__ import annotations

from random import Random

from filbertlb.batch.fitting import may_hold
from filbertlb.batch.fitting import place_tasks
from filbertlb.batch.fitting import RunningTask


def test_overcommitted_nodes_do_not_hide_the_room_of_others():
    # Each of them was counted as minus one task.
    room = {"n0": (-1, 8, 8), "n1": (-8, 8, 8), "n2": (2, 8, 8)}
    assert may_hold(room, room, (1, 1, 1), 2)
    assert not may_hold(room, room, (1, 1, 1), 3)


def random_layout(random):
    """Return the room of some nodes and runs that may be stopped there."""
    room = {
        f"n{number}": tuple(random.randint(-2, 4) for _ in range(3))
        for number in range(random.randint(1, 4))
    }
    cost_by_group = {
        f"g{number}": random.choice((0.0, 1.0, 5.0, 20.0))
        for number in range(random.randint(1, 5))
    }
    runs = []
    for _ in range(random.randint(1, 7)):
        node = random.choice([*room, "elsewhere"])
        needs = tuple(random.randint(0, 4) for _ in range(3))
        group = random.choice(list(cost_by_group))
        runs.append(RunningTask(node, needs, group, cost_by_group[group]))
    return room, runs


def fits_if_all_are_stopped(room, runs, needs, count, most):
    """Return whether the tasks fit once every run is stopped."""
    room = dict(room)
    for run in runs:
        if run.node in room:
            pairs = zip(room[run.node], run.needs, strict=True)
            room[run.node] = tuple(free + freed for free, freed in pairs)
    return place_tasks(room, needs, count, most) is not None


def test_search_fails_only_if_stopping_all_runs_is_not_enough():
    # place_tasks makes no second search after the first has failed.
    random = Random(5)
    found = 0
    for _ in range(3000):
        room, runs = random_layout(random)
        needs = tuple(random.randint(0, 3) for _ in range(3))
        count, most = random.randint(1, 6), random.choice((0, 0, 1, 2))
        placement = place_tasks(room, needs, count, most, runs)
        fits = fits_if_all_are_stopped(room, runs, needs, count, most)
        assert (placement is not None) is fits
        found += fits
    assert 0 < found < 3000

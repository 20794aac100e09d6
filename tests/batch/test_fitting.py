"""Best fit of identical tasks, with and without runs that are stopped."""

from __future__ import annotations

from filbertlb.batch.fitting import may_hold


def test_overcommitted_nodes_do_not_hide_the_room_of_others():
    # Each of them was counted as minus one task.
    room = {"n0": (-1, 8, 8), "n1": (-8, 8, 8), "n2": (2, 8, 8)}
    assert may_hold(room, room, (1, 1, 1), 2)
    assert not may_hold(room, room, (1, 1, 1), 3)

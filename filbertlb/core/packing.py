"""Backtracking search for a placement of all guarantee units.

Used on small clusters when greedy placement, one unit after the other,
has failed.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from filbertlb.core.search import placement_options

if TYPE_CHECKING:
    from filbertlb.core.cluster import Cluster
    from filbertlb.core.guarantee_units import Unit
    from filbertlb.core.search import RoomFunction

MAX_SEARCHED_WORKERS = 32
_MAX_STEPS = 200


@attrs.define
class PackingSearch:
    """Depth-first search with a limit on the number of steps.

    Parameters
    ----------
    room : RoomFunction
        Returns the amount of a worker that guarantee units may use.
    set_placement : callable
        Sets the workers of a unit; an empty tuple removes its placement.
    steps_left : int
        Number of placements that may still be tried.
    """

    cluster: Cluster
    room: RoomFunction
    set_placement: Callable[[Unit, tuple[str, ...]], None]
    steps_left: int = _MAX_STEPS

    def place_all(self, units: list[Unit]) -> bool:
        """Place all units and return True, or place none.

        Returns False as well if the step limit was reached.
        """
        if not units:
            return True
        unit, rest = units[0], units[1:]
        shape = unit.guarantee.shape
        for option in placement_options(
            self.cluster, shape, unit.need, self.room
        ):
            if self.steps_left <= 0:
                return False
            self.steps_left -= 1
            self.set_placement(unit, option)
            if self.place_all(rest):
                return True
            self.set_placement(unit, ())
        return False

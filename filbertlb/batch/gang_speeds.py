"""Speeds of workers, told by gangs that run on several of them.

The members of a gang do equal work and begin together, but each at the pace
of its own worker; those that are done wait for the others. So their paces
tell how the speeds of their workers compare, long before the gang ends.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.log_normal import LogNormal

if TYPE_CHECKING:
    from collections.abc import Sequence

    from filbertlb.batch.worker_speeds import GangRun
    from filbertlb.batch.worker_speeds import TimedRun

MAX_GANGS = 1024
"""Gangs in progress whose members are compared."""
COMPARED_GROWTH = 1.25
"""Growth of the number of known members from which they are compared again.

Comparing large gangs with each further member would take seconds.
"""


@attrs.define
class GangPaces:
    """Times of the whole work, at the pace of each member.

    Parameters
    ----------
    expected : LogNormal
        Expected logarithm of the time on a worker of usual speed.
    nodes : int
        Number of nodes that the gang runs on.
    run_by_node : dict of str to TimedRun
        One member on each node, as those on one node have the same pace.
    """

    expected: LogNormal
    nodes: int
    run_by_node: dict[str, TimedRun] = attrs.Factory(dict)
    _compared: int = 1

    def is_comparison_due(self) -> bool:
        """Return whether to compare the members, and take note of it."""
        known = len(self.run_by_node)
        enough = self._compared * COMPARED_GROWTH
        if known <= self._compared or known < min(self.nodes, enough):
            return False
        self._compared = known
        return True


@attrs.define
class GangsInProgress:
    """Paces of the gangs that run on several workers."""

    paces_by_run: dict[GangRun, GangPaces] = attrs.Factory(dict)

    def add(
        self, run: GangRun, member: TimedRun, expected: LogNormal, nodes: int
    ) -> GangPaces:
        """Add the pace of a member, unless one on its node is known.

        Parameters
        ----------
        nodes : int
            Number of nodes that the gang runs on.
        """
        paces = self.paces_by_run.get(run)
        if paces is None:
            paces = self.paces_by_run[run] = GangPaces(expected, nodes)
        paces.run_by_node.setdefault(member.node, member)
        return paces

    def pop_oldest(self) -> GangRun | None:
        """Forget the oldest gang if there are too many; return it."""
        if len(self.paces_by_run) <= MAX_GANGS:
            return None
        run = next(iter(self.paces_by_run))
        del self.paces_by_run[run]
        return run


def compare_members(
    times: Sequence[LogNormal],
    speeds: Sequence[LogNormal],
    expected: LogNormal,
) -> list[LogNormal]:
    """Return the speed that each member shows beside the others.

    Parameters
    ----------
    times : sequence of LogNormal
        Time of the whole work by member.
    speeds : sequence of LogNormal
        What is known otherwise of the speed of each member's worker.
    expected : LogNormal
        Time of the work on a worker of usual speed.
    """
    works = [
        LogNormal(time.mean + speed.mean, time.variance + speed.variance)
        for time, speed in zip(times, speeds, strict=True)
    ]
    weight = sum(1 / work.variance for work in works) + 1 / expected.variance
    total = sum(work.mean / work.variance for work in works)
    total += expected.mean / expected.variance
    observed = []
    for time, work in zip(times, works, strict=True):
        others = weight - 1 / work.variance
        mean = (total - work.mean / work.variance) / others
        observed.append(
            LogNormal(mean - time.mean, time.variance + 1 / others)
        )
    return observed

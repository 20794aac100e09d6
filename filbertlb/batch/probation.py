"""Keeps work off workers that fail what they start.

Answers workers that fail all that they start within milliseconds. They have
room again at once, so they would get one task after the other, and the
retries of the failed ones too, until jobs that could be done have used up
their attempts. Such a worker is on probation: it gets one single task at a
time, after a back-off, until a run has gone on there. Retries go to workers
that have started runs lately.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.model import TaskPhase

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from filbertlb.batch.placing_context import PlacingContext
    from filbertlb.batch.planner_state import TaskGroup

MAX_PROBATION_SHARE = 0.25
"""Share of the workers on probation above which none is.

If so many fail what they start, they are hardly the cause.
"""
MIN_SPARE_ATTEMPTS = 3
"""Attempts with which a task can fail as a probe and by its own fault."""


@attrs.define
class Probation:
    """Workers with early failures in one placement round.

    Attributes
    ----------
    on_probation, failed_lately : frozenset of str
        Nodes that have to show that they start runs, and those that retries
        avoid.
    probed : set of str
        Nodes on probation with a run whose outcome is not known yet.
    """

    context: PlacingContext
    on_probation: frozenset[str] = frozenset()
    failed_lately: frozenset[str] = frozenset()
    probed: set[str] = attrs.Factory(set)

    def __attrs_post_init__(self) -> None:
        """Find the workers by what their runs have shown."""
        views, now_s = self.context.views, self.context.now_s
        failed_lately = frozenset(
            node
            for node in self.context.available.workers
            if node in views and views[node].starts.failed_lately(now_s)
        )
        limit = MAX_PROBATION_SHARE * len(self.context.available.workers)
        on_probation = frozenset(
            node
            for node in failed_lately
            if views[node].starts.on_probation(now_s)
        )
        if len(on_probation) > limit:
            return
        self.failed_lately = failed_lately
        self.on_probation = on_probation
        self.probed = {node for node in on_probation if self._has_probe(node)}

    def filter(
        self, group: TaskGroup, nodes: list[str], tasks: Iterable[str]
    ) -> list[str]:
        """Return the nodes where tasks of a group should start."""
        if not self.failed_lately:
            return nodes
        excluded = self._excluded(group, tasks)
        return [node for node in nodes if node not in excluded]

    def is_retry(self, tasks: Iterable[str]) -> bool:
        """Return whether a run of any of some tasks has failed before."""
        return any(self.context.state.record(task).failures for task in tasks)

    def proven(self, nodes: Sequence[str]) -> list[str]:
        """Return the nodes that have lately started runs that go on."""
        views, now_ms = self.context.views, self.context.now_ms
        return [
            node
            for node in nodes
            if node in views
            and node not in self.failed_lately
            and views[node].starts.is_proven(now_ms)
        ]

    def record_order(self, node: str) -> None:
        """Record that a task was ordered on a node."""
        if node in self.on_probation:
            self.probed.add(node)

    def _excluded(
        self, group: TaskGroup, tasks: Iterable[str]
    ) -> frozenset[str] | set[str]:
        """Return the nodes where tasks should not start.

        The failure of one member ends a whole gang, so none is a probe.
        """
        if self.is_retry(tasks):
            return self.failed_lately
        if group.step.gang and group.step.count > 1:
            return self.on_probation
        costly = group.job.attempts < MIN_SPARE_ATTEMPTS
        views, now_s = self.context.views, self.context.now_s
        return self.probed | {
            node
            for node in self.on_probation
            if not views[node].starts.may_probe(now_s, costly)
        }

    def _has_probe(self, node: str) -> bool:
        """Return whether a run was ordered since the latest failure."""
        state = self.context.state
        failed_order_ms = self.context.views[node].starts.failed_order_ms
        return any(
            state.record(task).phase is TaskPhase.ORDERED
            and state.record(task).since_ms > failed_order_ms
            for task in state.tasks_on(node)
        )

"""Tells tasks that crash the workers that start them from other crashes.

A worker may also crash by itself, and then says nothing about its runs. A
run is blamed for a crash that follows its start within a limited time. A
blamed task is a suspect: it runs on, but apart from runs that start at the
same time, so that the next crash blames it alone. ``crash_evidence`` weighs
the crashes: beside a likely culprit no other run is blamed, and a task is
given up once there is hardly a doubt, as each further run would cost another
worker and its runs.

Tasks that run until cancelled have no limit on restarts and are never given
up. They restart after a back-off that grows with each crash, which limits
the workers that they can take down in a given time.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.model import job_id_of

if TYPE_CHECKING:
    from collections.abc import Iterable

    from filbertlb.batch.model import Crash
    from filbertlb.batch.model import TaskRecord
    from filbertlb.batch.planner_state import PlannerState
    from filbertlb.batch.planner_state import TaskGroup

MAX_BLAME_MS = 10_000
"""Age from which a run has shown that its task does not crash workers."""
MAX_CRASHES_ON_ONE_NODE = 2
"""Crashes after which a task waits for another node, if it may have any.

A node that ends whatever runs on it may be the only free one.
"""
SETTLING_MS = 1500
"""Time from an order after which its run is no longer apart from others.

Most tasks that crash workers do so within a second of their start; the rest
is the time until the worker has the run.
"""
MAX_SEPARATION_MS = 5000
"""Time that a suspect waits, at most, for a node of its own."""
MIN_BACKOFF_MS = 250
"""Delay of a restart after the first crash, which a worker often causes."""
MAX_BACKOFF_MS = 2000
"""Largest delay of a restart.

A group with nothing running for 3 s beside free capacity counts as lost;
the rest of that time is left for the decision and the start.
"""
MAX_RECORDED_CRASHES = 8
"""Crashes kept for a task, so that its progress row stays bounded."""


def with_crash(crashes: tuple[Crash, ...], crash: Crash) -> tuple[Crash, ...]:
    """Return the crashes that a task is blamed for after another one."""
    if crash.run_ms > MAX_BLAME_MS:
        return ()
    return (*crashes, crash)[-MAX_RECORDED_CRASHES:]


def backoff_ms(crashes: tuple[Crash, ...]) -> int:
    """Return the delay of a restart; it doubles with each crash."""
    if not crashes:
        return 0
    return min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** (len(crashes) - 1))


def not_crashed_often(
    nodes: list[str], records: Iterable[TaskRecord]
) -> list[str]:
    """Return the nodes that have not crashed repeatedly under a task."""
    crashes_by_node = Counter(
        crash.node for record in records for crash in record.crashes
    )
    return [
        node
        for node in nodes
        if crashes_by_node[node] < MAX_CRASHES_ON_ONE_NODE
    ]


@attrs.define
class Separation:
    """Keeps starts of suspects apart from other starts in one decision.

    Without suspects it separates nothing and costs nothing.

    Attributes
    ----------
    settling_nodes : set of str
        Nodes with a run that was ordered a short time ago.
    suspect_nodes : set of str
        Those where that run is of a suspect.
    suspect_jobs : set of str
        Jobs of these suspects.
    """

    state: PlannerState
    now_ms: int
    settling_nodes: set[str] = attrs.Factory(set)
    suspect_nodes: set[str] = attrs.Factory(set)
    suspect_jobs: set[str] = attrs.Factory(set)

    def __attrs_post_init__(self) -> None:
        """Find the runs that were ordered a short time ago.

        Those that a decider with a clock ahead ordered count as older.
        """
        if not self.state.suspects:
            return
        for node in self.state.occupied_nodes():
            for task in self.state.tasks_on(node):
                record = self.state.record(task)
                if 0 <= self.now_ms - record.since_ms < SETTLING_MS:
                    self.record_order(task, node)

    def record_order(self, task: str, node: str) -> None:
        """Record that a run was ordered on a node."""
        self.settling_nodes.add(node)
        if task in self.state.suspects:
            self.suspect_nodes.add(node)
            self.suspect_jobs.add(job_id_of(task))

    def is_held(self, task: str) -> bool:
        """Return whether a waiting task is a suspect that starts apart."""
        if task not in self.state.suspects:
            return False
        waits_ms = self.now_ms - self.state.record(task).since_ms
        return 0 <= waits_ms < MAX_SEPARATION_MS

    def is_backing_off(self, task: str) -> bool:
        """Return whether a waiting task that runs until cancelled is delayed.

        The delay of a task whose phase began in the future, by the clock of
        a former decider, is over.
        """
        if task not in self.state.suspects:
            return False
        if not self.state.step_of(task).long_running:
            return False
        record = self.state.record(task)
        waits_ms = self.now_ms - record.since_ms
        return 0 <= waits_ms < backoff_ms(record.crashes)

    def startable(self, group: TaskGroup) -> list[str]:
        """Return the waiting tasks of a group that are not delayed.

        A gang starts as a whole, so one delayed member delays all.
        """
        waiting = self.state.waiting(group)
        startable = [task for task in waiting if not self.is_backing_off(task)]
        if group.step.gang and len(startable) < len(waiting):
            return []
        return startable

    def filter(self, nodes: list[str], tasks: Iterable[str]) -> list[str]:
        """Return the nodes where tasks may start now.

        Suspects of one job start one after the other, so that a job with
        many does not take many workers down at once.
        """
        if not self.state.suspects:
            return nodes
        held = [task for task in tasks if self.is_held(task)]
        if not held:
            return [node for node in nodes if node not in self.suspect_nodes]
        if any(job_id_of(task) in self.suspect_jobs for task in held):
            return []
        return [node for node in nodes if node not in self.settling_nodes]

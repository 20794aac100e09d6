"""Resources that are kept free for groups that wait.

Answers a stream of small jobs beside large ones: without a reservation the
small ones take resources as soon as they become free, and a large group
starves. A reservation holds only what the group will use, from the time at
which the runs there are expected to have ended. Other work uses the rest,
and also the held resources until then if it very likely ends in time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.batch.model import TaskPhase
from filbertlb.batch.planner_state import ALLOCATED_PHASES
from filbertlb.core.amounts import copies
from filbertlb.core.amounts import elementwise_min
from filbertlb.core.amounts import minus
from filbertlb.core.amounts import plus
from filbertlb.core.amounts import times
from filbertlb.core.amounts import ZERO_AMOUNT

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from filbertlb.batch.placing_context import PlacingContext
    from filbertlb.batch.planner_state import TaskGroup
    from filbertlb.core.amounts import Amount

MAX_RESERVED_SHARE = 0.5
"""Share of the resources from which no further group reserves any.

The group that passes it may reserve more, so that none is too large.
"""
MAX_RESERVATIONS = 8
"""Groups with a reservation in one decision, so that it stays short."""
FIRM_MS = 14_000
"""Time until its expected start within which a reservation is firm.

One that is farther away yields to work of unknown length, which counts as
lost if it does not run by this time after the last submission.
"""
START_DELAY_MS = 300
"""Time from a decision until a run ordered by it has begun."""


@attrs.define
class Hold:
    """Resources of one node that are held from a time on.

    Attributes
    ----------
    start_ms : int
        Expected start of the group that the resources are held for.
    firm : bool
        It does not yield to others.
    ending : dict of str to Amount
        Runs that are expected to have ended there by then.
    """

    start_ms: int
    amount: Amount
    firm: bool
    ending: dict[str, Amount]


@attrs.frozen
class _RunEnding:
    end_ms: int
    node: str
    task: str
    needs: Amount
    overdue: bool


@attrs.define
class _Site:
    """Nodes, such as a rack, that a group may start on together."""

    room: dict[str, Amount]
    ending: dict[str, dict[str, Amount]] = attrs.Factory(dict)
    fitting: dict[str, int] = attrs.Factory(dict)
    total: int = 0

    def update(self, node: str, needs: Amount, limit: int) -> None:
        """Count the tasks that fit on a node."""
        count = min(limit, copies(self.room[node], needs))
        self.total += count - self.fitting.get(node, 0)
        self.fitting[node] = count

    def add_ending(self, run: _RunEnding) -> None:
        """Count the resources of a run as free."""
        self.room[run.node] = plus(self.room[run.node], run.needs)
        self.ending.setdefault(run.node, {})[run.task] = run.needs


@attrs.define
class Reservations:
    """Reservations in one placement round."""

    context: PlacingContext
    count: int = 0
    _holds: dict[str, list[Hold]] = attrs.Factory(dict)
    _run_endings: list[_RunEnding] | None = None

    def may_reserve(self) -> bool:
        """Return whether another group may reserve resources."""
        if self.count >= MAX_RESERVATIONS:
            return False
        held = ZERO_AMOUNT
        for holds in self._holds.values():
            for hold in holds:
                held = plus(held, hold.amount)
        total = ZERO_AMOUNT
        for worker in self.context.available.workers.values():
            total = plus(total, worker.capacity)
        return all(
            not part or part < MAX_RESERVED_SHARE * whole
            for part, whole in zip(held, total, strict=True)
        )

    @property
    def empty(self) -> bool:
        """Whether no resources are held for others."""
        return not self._holds

    def room_for(
        self, group: TaskGroup, firm_only: bool = False
    ) -> Mapping[str, Amount]:
        """Return the free resources that a group may use by node.

        Resources held for others are included only if the tasks of the
        group very likely end before they are needed.

        Parameters
        ----------
        firm_only : bool
            Reservations that are not firm yield to the group.
        """
        if not self._holds:
            return self.context.available.room
        end_ms = self.latest_end_ms(group)
        room = dict(self.context.available.room)
        for node in self._holds:
            if node in room:
                room[node] = self._room_until(node, end_ms, firm_only)
        return room

    def ends_in_known_time(self, group: TaskGroup) -> bool:
        """Return whether the end of a group's tasks can be foreseen."""
        return self.latest_end_ms(group) is not None

    def latest_end_ms(self, group: TaskGroup) -> int | None:
        """Return when tasks started now very likely have ended, or None.

        None if they last until they are cancelled or nobody knows how long
        they run.
        """
        upper_ms = self.context.durations.upper_ms(group.job, group.step)
        if group.step.long_running or upper_ms <= 0:
            return None
        return self.context.now_ms + START_DELAY_MS + upper_ms

    def is_held(self, node: str, group: TaskGroup) -> bool:
        """Return whether a node has a hold that a group's tasks outlast."""
        end_ms = self.latest_end_ms(group)
        return any(
            end_ms is None or hold.start_ms < end_ms
            for hold in self._holds.get(node, ())
        )

    def record_order(self, task: str, group: TaskGroup, node: str) -> None:
        """Record that a task was ordered on a node."""
        end_ms = self.latest_end_ms(group)
        for hold in self._holds.get(node, ()):
            if end_ms is not None and end_ms <= hold.start_ms:
                hold.ending[task] = group.step.needs

    def record_stop(self, task: str, node: str) -> None:
        """Record that a run is stopped, so that its resources are free."""
        for hold in self._holds.get(node, ()):
            hold.ending.pop(task, None)
        # Its end would free the resources a second time.
        if self._run_endings is not None:
            self._run_endings = [
                run for run in self._run_endings if run.task != task
            ]

    def expected_start_ms(
        self, group: TaskGroup, node_groups: Sequence[Sequence[str]]
    ) -> int | None:
        """Return when a group can start on one of some sets of nodes.

        None if it can't even after all runs that end by themselves.
        """
        sites = [self._site(nodes) for nodes in node_groups]
        found = self._soonest(group, sites, self._task_count(group))
        return None if found is None else found[1]

    def starts_in_time(
        self,
        group: TaskGroup,
        node_groups: Sequence[Sequence[str]],
        latest_ms: int,
    ) -> bool:
        """Return whether all waiting tasks can start by a time.

        Nobody knows when a run ends that has exceeded its expected time.
        """
        count = len(self.context.state.waiting(group))
        sites = [self._site(nodes) for nodes in node_groups]
        found = self._soonest(group, sites, count, overdue=False)
        return found is not None and found[1] <= latest_ms

    def reserve(
        self, group: TaskGroup, node_groups: Sequence[Sequence[str]]
    ) -> None:
        """Hold resources on the set of nodes where a group can start soonest.

        Nothing is held if it can't start on any even after all runs that
        end by themselves.
        """
        sites = [self._site(nodes) for nodes in node_groups]
        found = self._soonest(group, sites, self._task_count(group))
        if found is None:
            return
        site, start_ms = found
        firm = start_ms - self.context.now_ms <= FIRM_MS
        self._log(group, start_ms)
        remaining = self._task_count(group)
        # Best fit, as for placement.
        for node in sorted(site.fitting, key=lambda name: site.room[name]):
            used = min(remaining, site.fitting[node])
            if used <= 0:
                continue
            remaining -= used
            amount = times(group.step.needs, used)
            ending = dict(site.ending.get(node, {}))
            hold = Hold(start_ms, amount, firm, ending)
            self._holds.setdefault(node, []).append(hold)
        self.count += 1

    def _log(self, group: TaskGroup, start_ms: int) -> None:
        """Log the first reservation of a group that waits."""
        if group.name in self.context.state.with_reservation:
            return
        self.context.state.with_reservation.add(group.name)
        logger.info(
            "hold resources for {}: {} x {}, start expected in {} ms",
            *(group.name, self._task_count(group), group.step.needs),
            start_ms - self.context.now_ms,
        )

    def _soonest(
        self,
        group: TaskGroup,
        sites: Sequence[_Site],
        count: int,
        overdue: bool = True,
    ) -> tuple[_Site, int] | None:
        """Return the nodes where tasks can start first, and the time.

        Parameters
        ----------
        overdue : bool
            Count on the end of runs that have exceeded their expected time.
        """
        limits = self._limits(group)
        needs = group.step.needs
        sites_by_node: dict[str, list[_Site]] = {}
        for site in sites:
            for node in site.room:
                site.update(node, needs, limits.get(node, count))
                sites_by_node.setdefault(node, []).append(site)
        for site in sites:
            if site.total >= count:
                return site, self.context.now_ms
        for run in self._runs_that_end():
            if run.overdue and not overdue:
                continue
            for site in sites_by_node.get(run.node, ()):
                site.add_ending(run)
                site.update(run.node, needs, limits.get(run.node, count))
                if site.total >= count:
                    return site, run.end_ms
        return None

    def _site(self, nodes: Sequence[str]) -> _Site:
        """Return nodes with the resources that nothing else holds."""
        available = self.context.available.room
        room = {}
        for node in nodes:
            room[node] = available[node]
            for hold in self._holds.get(node, ()):
                room[node] = minus(room[node], hold.amount)
        return _Site(room)

    def _limits(self, group: TaskGroup) -> dict[str, int]:
        """Return how many more tasks of a group each node may get."""
        most = group.step.max_per_worker
        if not most:
            return {}
        limits = dict.fromkeys(self.context.available.room, most)
        for record in self.context.state.members(group.name).values():
            if record.phase in ALLOCATED_PHASES and record.node in limits:
                limits[record.node] = max(0, limits[record.node] - 1)
        return limits

    def _runs_that_end(self) -> list[_RunEnding]:
        """Return the runs that end by themselves, the soonest first.

        Runs that were ordered in this decision may be missing, which only
        makes an expected start later.
        """
        if self._run_endings is None:
            state = self.context.state
            endings = [
                ending
                for node in self.context.available.room
                for task in state.tasks_on(node)
                if (ending := self._run_ending(task, node)) is not None
            ]
            endings.sort(key=lambda run: (run.end_ms, run.task))
            self._run_endings = endings
        return self._run_endings

    def _run_ending(self, task: str, node: str) -> _RunEnding | None:
        """Return the expected end of a run; None if it does not end."""
        state = self.context.state
        step = state.step_of(task)
        record = state.record(task)
        if step.long_running or record.phase is not TaskPhase.ORDERED:
            return None
        run_ms = self.context.now_ms - record.since_ms
        job = state.job_of(task)
        durations = self.context.durations
        remaining_ms = durations.remaining_ms(job, step, task, run_ms)
        # The expected end, and the time until it is reported.
        left_ms = durations.expected_ms(job, step) - run_ms
        if left_ms > 0:
            remaining_ms = min(remaining_ms, left_ms + START_DELAY_MS)
        end_ms = self.context.now_ms + remaining_ms
        return _RunEnding(end_ms, node, task, step.needs, left_ms <= 0)

    def _room_until(
        self, node: str, end_ms: int | None, firm_only: bool
    ) -> Amount:
        """Return what is free on a node for work that ends at a time."""
        now = self.context.available.room[node]
        free = now
        holds = [
            hold for hold in self._holds[node] if hold.firm or not firm_only
        ]
        for hold in holds:
            if end_ms is not None and end_ms <= hold.start_ms:
                continue
            then = now
            for needs in hold.ending.values():
                then = plus(then, needs)
            for other in holds:
                if other.start_ms <= hold.start_ms:
                    then = minus(then, other.amount)
            free = elementwise_min(free, then)
        return free

    @staticmethod
    def _task_count(group: TaskGroup) -> int:
        """Return how many tasks are started together."""
        return group.step.count if group.step.gang else 1

"""Order by the benefit at stake per worker time, for sites that are full.

Answers three load patterns. When more work is ready than can be done in
time, the groups that earn most for the worker time come first. When one
organisation sends a burst, its work beyond its share of the capacity gives
way to that of others. When a stream of small jobs would always be placed
before a large one, the large one comes first after a stated time.

``docs/design/queue-order.md`` tells what was weighed.
"""

from __future__ import annotations

from enum import IntEnum
from math import log
from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.model import task_group_of
from filbertlb.core.amounts import plus
from filbertlb.core.amounts import ZERO_AMOUNT

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from filbertlb.batch.demand import Demand
    from filbertlb.batch.job_shape import JobShape
    from filbertlb.batch.model import Job
    from filbertlb.batch.placing_context import PlacingContext
    from filbertlb.batch.planner_state import TaskGroup
    from filbertlb.core.amounts import Amount

LATE_FACTOR = 3
"""Multiple of its objective after which a job earns nothing more."""
LATE_VALUE = 0.25
"""Share of its value that a late job earns.

Well below 1, as it weighs what a late group can lose against what one that
is on time can.
"""
HORIZON_RUNS = 3
"""Mean run times after which a group that is passed over is looked at again.

With a shorter time a group waits until its slack is used up, and an error of
the estimate makes it late.
"""
BASE_STAKE = 0.1
"""Share of the expected value that counts for a group that could wait.

It puts groups with ample slack in order of the value for their work.
"""
VALUE_POWER = 0.5
"""Power of its work with which the value of a job grows.

A caller waits for one answer whatever the size of the job, so the value
grows less than the work.
"""
AGED_FACTOR = LATE_FACTOR
"""Multiple of its objective after which a waiting job counts as aged.

By then it earns nothing more, so nothing but its age brings it forward.
"""
AGED_SHARE = 1 / 16
"""Share of the capacity that aged groups get ahead of others.

Without a limit, lasting overload would turn the order into one by age, and
most jobs would end when they earn nothing more.
"""
FAIRNESS_POWER = 8
"""Power of an organisation's excess by which its benefit is divided.

Work of an organisation that exceeds its share by a fifth counts a quarter,
so its urgent work gives way to bulk work of others, two levels below.
"""
UPPER_ODDS = 19
"""Odds that a task ends within the time that few tasks exceed."""
MIN_SPREAD = 1.1
"""Least ratio assumed between the time that few exceed and the expected."""
DIGITS = 9
"""Digits of shares that count, so that rounding errors decide nothing."""
MAX_PRIORITY_LEVELS = 16
"""Priorities beyond this level count as this level."""


class Band(IntEnum):
    """What a group can still earn; earlier bands are placed first."""

    GUARANTEED = 0
    AGED = 1
    ON_TIME = 2
    LATE = 3
    EXPIRED = 4


SortKey = tuple[Band, float, int, str]


@attrs.frozen
class _Place:
    """Why a group has its place.

    Parameters
    ----------
    rate : float
        Benefit at stake per worker time, before fairness.
    excess : float
        Ratio of what the organisation holds, with its groups before this
        one, to its entitlement; 1 if it is within it.
    """

    band: Band
    rate: float
    excess: float

    def __str__(self) -> str:
        """Return a short description for logs."""
        return (
            f"{self.band.name.lower()} rate {self.rate:.3g} "
            f"excess {self.excess:.3g}"
        )


@attrs.define
class _Usage:
    """Shares of the capacity that running tasks hold.

    Attributes
    ----------
    aged : list of tuple of int and float
        Start of the waiting time, and share, of runs that were aged when
        they began.
    """

    by_organisation: dict[str, float] = attrs.Factory(dict)
    aged: list[tuple[int, float]] = attrs.Factory(list)


@attrs.define
class BenefitOrder:
    """Urgency of groups in one placement round."""

    context: PlacingContext
    demand: Demand
    _places: dict[str, _Place] = attrs.Factory(dict)
    _held_by_group: dict[str, float] = attrs.Factory(dict)
    _delay_ms: float = 0.0
    _capacity: Amount = ZERO_AMOUNT

    def sort(self, groups: Iterable[TaskGroup]) -> list[TaskGroup]:
        """Return the groups, those to be placed first at the front."""
        ready = list(groups)
        if not ready:
            return ready
        context = self.context
        self.demand.update(context.state, context.durations, context.now_ms)
        for worker in context.available.workers.values():
            self._capacity = plus(self._capacity, worker.capacity)
        total_ms = sum(context.expected_ms(group) for group in ready)
        self._delay_ms = HORIZON_RUNS * total_ms / len(ready)
        self._rank(ready)
        return sorted(ready, key=self.sort_key)

    def sort_key(self, group: TaskGroup) -> SortKey:
        """Return the key of a group that was given to :meth:`sort`.

        Guaranteed and aged groups are in the order of their waiting time,
        so that each of them comes to the front.
        """
        place = self._places[group.name]
        rate = place.rate / place.excess**FAIRNESS_POWER
        if place.band in (Band.GUARANTEED, Band.AGED):
            rate = 0.0
        return (place.band, -rate, self._start_ms(group), group.name)

    def is_late(self, group: TaskGroup) -> bool:
        """Return whether a job misses its objective if it goes on now."""
        return self._slack_ms(group, 1) < 0

    def must_start_now(self, group: TaskGroup) -> bool:
        """Return whether a group may miss its objective unless started now."""
        durations = self.context.durations
        own_ms = durations.expected_ms(group.job, group.step)
        margin_ms = durations.upper_ms(group.job, group.step) - own_ms
        return self._slack_ms(group, 1) <= margin_ms

    def deadline_ms(self, group: TaskGroup) -> int:
        """Return the time until which the job, or occurrence, is on time."""
        return self._start_ms(group) + self._objective_ms(group)

    def explain(self, group: TaskGroup) -> str:
        """Return why a group has its place, for logs."""
        return str(self._places[group.name])

    def _rank(self, groups: Sequence[TaskGroup]) -> None:
        """Find the place of each group, first without the other groups."""
        bands = {group.name: self._band(group) for group in groups}
        rates = {
            group.name: self._rate(group, bands[group.name])
            for group in groups
        }
        usage = self._usage()
        self._advance_aged(groups, bands, usage.aged)
        held = usage.by_organisation
        shares = self.demand.entitlements(
            {group.job.organisation for group in groups} | held.keys()
        )
        for group in sorted(
            groups,
            key=lambda item: (bands[item.name], -rates[item.name], item.name),
        ):
            name, organisation = group.name, group.job.organisation
            before = held.get(organisation, 0.0)
            self._places[name] = _Place(
                bands[name],
                rates[name],
                max(1.0, round(before / shares[organisation], DIGITS)),
            )
            held[organisation] = before + self._waiting_share(group)

    def _advance_aged(
        self,
        groups: Sequence[TaskGroup],
        bands: dict[str, Band],
        aged_runs: list[tuple[int, float]],
    ) -> None:
        """Place the groups that have waited longest ahead of others.

        A group is advanced if runs and waiting groups that are older hold
        less than ``AGED_SHARE``, however large the group is itself. There
        are only finitely many older ones, so each is advanced in the end.
        """
        older = sorted(aged_runs, reverse=True)
        held = 0.0
        for group in sorted(
            groups, key=lambda item: (self._start_ms(item), item.name)
        ):
            if bands[group.name] is Band.GUARANTEED:
                continue
            while older and older[-1][0] <= self._start_ms(group):
                held += older.pop()[1]
            if round(held, DIGITS) >= AGED_SHARE:
                return
            if self._is_aged(group):
                bands[group.name] = Band.AGED
                held += self._waiting_share(group)

    def _usage(self) -> _Usage:
        """Return the shares of the capacity that running tasks hold.

        Runs that last until cancelled don't count as aged; they would hold
        the capacity that is kept for aged groups for ever.
        """
        usage = _Usage()
        held = usage.by_organisation
        groups: dict[str, tuple[str, float, int, float]] = {}
        for task, record in self.context.state.ordered_records():
            name = task_group_of(task)
            if name not in groups:
                groups[name] = self._holding(task)
            organisation, share, start_ms, aged_ms = groups[name]
            held[organisation] = held.get(organisation, 0.0) + share
            self._held_by_group[name] = (
                self._held_by_group.get(name, 0.0) + share
            )
            if record.since_ms >= aged_ms:
                usage.aged.append((start_ms, share))
        return usage

    def _holding(self, task: str) -> tuple[str, float, int, float]:
        """Return organisation, share, start and the time when a task ages."""
        group = self.context.state.group_of(task)
        start_ms = group.earliest_start_ms
        aged_ms = float("inf")
        if not group.step.long_running:
            aged_ms = start_ms + AGED_FACTOR * self._objective_ms(group)
        return (
            group.job.organisation,
            self._dominant_share(group.step.needs),
            start_ms,
            aged_ms,
        )

    def _band(self, group: TaskGroup) -> Band:
        if group.job.job_id in self.context.within_guarantee:
            return Band.GUARANTEED
        if group.step.long_running or not self.is_late(group):
            return Band.ON_TIME
        if self._slack_ms(group, LATE_FACTOR) >= 0:
            return Band.LATE
        return Band.EXPIRED

    def _rate(self, group: TaskGroup, band: Band) -> float:
        """Return the benefit at stake per core-second.

        The value of a job grows with the square root of its work: a caller
        waits for one answer whatever the job's size, but a large job is
        worth more. Each level of priority halves it. At stake is what the
        job probably earns less if it is passed over now.
        """
        job = group.job
        shape = self._shape(job)
        level = max(0, min(job.priority, MAX_PRIORITY_LEVELS))
        mean_work = self.demand.mean_work_by_queue[job.queue]
        value = 0.5**level * (shape.work / mean_work) ** VALUE_POWER
        rate = value / shape.rest_work[group.index]
        if group.step.long_running or band is Band.EXPIRED:
            return rate
        now = self._expected_value(group, 0.0)
        later = self._expected_value(group, self._delay_ms)
        return rate * (BASE_STAKE * now + (1 - BASE_STAKE) * (now - later))

    def _expected_value(self, group: TaskGroup, delay_ms: float) -> float:
        """Return the share of its value that a job earns after a delay."""
        on_time = self._probability(group, 1, delay_ms)
        not_expired = self._probability(group, LATE_FACTOR, delay_ms)
        return (1 - LATE_VALUE) * on_time + LATE_VALUE * not_expired

    def _probability(
        self, group: TaskGroup, factor: int, delay_ms: float
    ) -> float:
        """Return how probably the rest of a job ends within a limit.

        The distribution is log-logistic through the expected time and the
        one that few tasks exceed. A group with more time than that is
        certain to end, so that among such groups the oldest comes first
        and not the newest.

        Parameters
        ----------
        factor : int
            The limit, as a multiple of the objective.
        delay_ms : float
            Time after which the group starts.
        """
        rest_ms = max(1, self._shape(group.job).rest_ms[group.index])
        left_ms = self._slack_ms(group, factor) + rest_ms - delay_ms
        spread = self._spread(group)
        if left_ms <= 0:
            return 0.0
        if left_ms >= spread * rest_ms:
            return 1.0
        odds = (left_ms / rest_ms) ** (log(UPPER_ODDS) / log(spread))
        return odds / (1 + odds)

    def _spread(self, group: TaskGroup) -> float:
        """Return the run time that few exceed, relative to the expected."""
        job, step, durations = group.job, group.step, self.context.durations
        expected_ms = max(1, durations.expected_ms(job, step))
        return max(MIN_SPREAD, durations.upper_ms(job, step) / expected_ms)

    def _slack_ms(self, group: TaskGroup, factor: int) -> int:
        """Return the time that a group can wait until a limit is missed.

        Parameters
        ----------
        factor : int
            The limit, as a multiple of the objective.
        """
        limit_ms = self._start_ms(group) + factor * self._objective_ms(group)
        rest_ms = self._shape(group.job).rest_ms[group.index]
        return limit_ms - self.context.now_ms - rest_ms

    def _objective_ms(self, group: TaskGroup) -> int:
        """Return the time within which a job is on time."""
        return self._shape(group.job).objective_ms

    def _start_ms(self, group: TaskGroup) -> int:
        """Return the time from which a group's waiting time counts.

        A step that lasts until cancelled starts anew after each end.
        """
        start_ms = group.earliest_start_ms
        if not group.step.long_running:
            return start_ms
        records = self.context.state.members(group.name).values()
        return max([start_ms, *(record.since_ms for record in records)])

    def _is_aged(self, group: TaskGroup) -> bool:
        waited_ms = self.context.now_ms - self._start_ms(group)
        return waited_ms >= AGED_FACTOR * self._objective_ms(group)

    def _dominant_share(self, needs: Amount) -> float:
        """Return the largest share of any resource that a task needs."""
        return max(
            (
                need / total
                for need, total in zip(needs, self._capacity, strict=True)
                if total
            ),
            default=0.0,
        )

    def _waiting_share(self, group: TaskGroup) -> float:
        """Return the share that a group asks for beyond what it holds.

        Tasks that are done count too, as looking each up costs too much.
        """
        share = group.step.count * self._dominant_share(group.step.needs)
        return max(0.0, share - self._held_by_group.get(group.name, 0.0))

    def _shape(self, job: Job) -> JobShape:
        return self.demand.shape(job, self.context.durations)

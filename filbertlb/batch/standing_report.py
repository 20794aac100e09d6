"""Counts and logs tasks that could run and have not moved for long."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.batch.queue_report import MAX_NAME_LENGTH
from filbertlb.batch.queue_report import WaitReason
from filbertlb.batch.standing import find_still
from filbertlb.batch.standing import StandReason
from filbertlb.batch.standing_steps import find_waiting_steps

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from filbertlb.batch.model import RunKey
    from filbertlb.batch.planner_state import PlannerState
    from filbertlb.batch.planner_state import TaskGroup
    from filbertlb.batch.standing import Look
    from filbertlb.batch.standing import Still
    from filbertlb.batch.workers import WorkerView

STANDING_S = 1.8
"""Time without movement after which a task stands.

With the time between looks and that of a decision, one whose time is known
is told of within 3 s.
"""
MAX_LINES = 8
"""Lines of one look on tasks that stand, and as many on those that move."""
NAMED_TASKS = 3
"""Tasks that a line names."""
MAX_REMEMBERED = 4000
"""Tasks and groups that are logged while they stand; others only count."""

STAND_REASONS: tuple[str, ...] = (*WaitReason, *StandReason)


@attrs.define
class _Stand:
    """A task or group that stands.

    Attributes
    ----------
    counted, logged : set of str
        Reasons that were counted and logged.
    """

    still: Still
    since_s: float
    counted: set[str] = attrs.Factory(set)
    logged: set[str] = attrs.Factory(set)


@attrs.define
class StandingReport:
    """Tasks that stand at the latest look.

    Attributes
    ----------
    count_by_reason : dict of str to int
        Number of tasks that stand.
    total_by_reason : Counter of str
        Number of tasks that began to stand for a reason so far.
    """

    count_by_reason: dict[str, int] = attrs.Factory(dict)
    total_by_reason: Counter[str] = attrs.Factory(Counter)
    _first_seen_s: dict[RunKey, float] = attrs.Factory(dict)
    _stand_by_key: dict[RunKey, _Stand] = attrs.Factory(dict)

    def update(
        self,
        state: PlannerState,
        workers: Mapping[str, WorkerView],
        waiting: Iterable[tuple[TaskGroup, WaitReason]],
        look: Look,
    ) -> None:
        """Look at all tasks, and count and log what is new.

        Parameters
        ----------
        waiting : iterable of tuple
            Ready groups with tasks that are not placed, and why.
        """
        still_by_key = self._dated(
            find_still(state, workers, waiting, look), look
        )
        still_by_key |= self._dated(
            find_waiting_steps(state, still_by_key), look
        )
        self._first_seen_s = {
            key: since_s
            for key, since_s in self._first_seen_s.items()
            if key in still_by_key
        }
        self._record(list(still_by_key.values()), look)

    def _dated(
        self, found: Iterable[Still], look: Look
    ) -> dict[RunKey, Still]:
        """Return what does not move, with the time since which it does not.

        If the time is not known, it is that of the first look.
        """
        still_by_key = {}
        for still in found:
            if still.since_s is None:
                since_s = self._first_seen_s.setdefault(still.key, look.now_s)
                still = attrs.evolve(still, since_s=since_s)
            still_by_key[still.key] = still
        return still_by_key

    def _record(self, stills: Iterable[Still], look: Look) -> None:
        before, self._stand_by_key = self._stand_by_key, {}
        counts: Counter[str] = Counter()
        for still in stills:
            since_s = look.now_s if still.since_s is None else still.since_s
            if look.now_s - since_s < STANDING_S:
                continue
            counts[still.reason.value] += still.count
            stand = before.pop(still.key, None)
            if stand is None and len(self._stand_by_key) >= MAX_REMEMBERED:
                continue
            if stand is None:
                stand = _Stand(still, since_s)
            stand.still, stand.since_s = still, min(stand.since_s, since_s)
            self._stand_by_key[still.key] = stand
            if still.reason.value not in stand.counted:
                stand.counted.add(still.reason.value)
                self.total_by_reason[still.reason.value] += still.count
        self.count_by_reason = dict(counts)
        self._log_new(look)
        _log_moved([stand for stand in before.values() if stand.logged], look)

    def _log_new(self, look: Look) -> None:
        """Log what stands for a reason that was not logged.

        What exceeds the lines of a look follows at the next one.
        """
        new = [
            stand
            for stand in self._stand_by_key.values()
            if stand.still.reason.value not in stand.logged
        ]
        for stands in _by_group_and_reason(new)[:MAX_LINES]:
            still = stands[0].still
            is_placing = isinstance(still.reason, WaitReason)
            logger.log(
                "INFO" if is_placing else "WARNING",
                "standing: {} tasks of group {}, {}: {} for {:.1f} s, {}{}",
                sum(stand.still.count for stand in stands),
                *(still.group[:MAX_NAME_LENGTH], still.reason.value),
                *(_names(stands), look.now_s - stands[0].since_s),
                *("first " if len(stands) > 1 else "", still.detail()),
            )
            for stand in stands:
                stand.logged.add(still.reason.value)


def _log_moved(moved: Iterable[_Stand], look: Look) -> None:
    """Log what stood and no longer does; the rest is counted in one line."""
    by_group = _by_group_and_reason(moved)
    for stands in by_group[:MAX_LINES]:
        still = stands[0].still
        logger.info(
            "standing no longer: {} tasks of group {}, {}: {} after {:.1f} s",
            sum(stand.still.count for stand in stands),
            *(still.group[:MAX_NAME_LENGTH], still.reason.value),
            *(_names(stands), look.now_s - stands[0].since_s),
        )
    rest = [stand for stands in by_group[MAX_LINES:] for stand in stands]
    if rest:
        logger.info(
            "standing no longer: {} tasks of {} other groups",
            sum(stand.still.count for stand in rest),
            len({stand.still.group for stand in rest}),
        )


def _by_group_and_reason(stands: Iterable[_Stand]) -> list[list[_Stand]]:
    """Return what is told in one line, the longest first in each and all."""
    lines: dict[tuple[str, str], list[_Stand]] = {}
    for stand in sorted(stands, key=lambda stand: stand.since_s):
        key = (stand.still.group, stand.still.reason.value)
        lines.setdefault(key, []).append(stand)
    return list(lines.values())


def _names(stands: list[_Stand]) -> str:
    """Return the first tasks or the group that a line is about."""
    return ", ".join(_parts(stands))


def _parts(stands: list[_Stand]) -> Iterator[str]:
    for stand in stands[:NAMED_TASKS]:
        name, attempt = stand.still.key
        if attempt:
            node = stand.still.node
            yield f"{name[:MAX_NAME_LENGTH]} attempt {attempt} on {node}"
        else:
            yield name[:MAX_NAME_LENGTH]
    if len(stands) > NAMED_TASKS:
        yield f"{len(stands) - NAMED_TASKS} more"

"""Why groups wait, for operators.

Answers the question that a full site raises: what comes next, and what does
each group that doesn't start wait for.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.core.amounts import covers

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from filbertlb.batch.placing import Placer
    from filbertlb.batch.planner_state import TaskGroup

COUNT_PERIOD_S = 1.0
"""Time between two counts, as one looks at all workers and tasks."""
LOG_PERIOD_S = 5.0
"""Time between two log lines while groups wait."""
LOGGED_GROUPS = 8
"""Groups that a log line names."""
MAX_NAME_LENGTH = 64


class WaitReason(StrEnum):
    """What a group that is ready waits for."""

    REQUESTS_OUTDATED = "requests_outdated"
    """Nothing is placed, as the known evacuation requests are too old."""
    NOT_TRIED = "not_tried"
    """The decision had changed as many rows as it may."""
    NO_WORKER = "no_worker"
    """No usable worker serves it."""
    DELAYED = "delayed"
    """Its restart after crashes of workers is delayed or kept apart."""
    NO_ROOM = "no_room"
    """No worker has room for one of its tasks."""
    RESERVED = "reserved"
    """Only workers reserved for it, or for groups before it, have room."""
    CONSTRAINED = "constrained"
    """There is room for one task, but not for a whole gang, or not where
    the step's rack, limit per worker or payload allow it."""


@attrs.define
class QueueReport:
    """Groups that waited after a recent decision.

    Attributes
    ----------
    count_by_reason : dict of str to int
        Number of waiting groups.
    waiting : list of tuple
        Waiting groups in their order, and why they wait.
    """

    count_by_reason: dict[str, int] = attrs.Factory(dict)
    waiting: list[tuple[TaskGroup, WaitReason]] = attrs.Factory(list)
    _next_count_s: float = float("-inf")
    _next_log_s: float = float("-inf")

    def update(self, placer: Placer, now_s: float) -> bool:
        """Count, and log from time to time, what still waits.

        Returns
        -------
        bool
            Whether a count was due.
        """
        if now_s < self._next_count_s:
            return False
        reasons = _Reasons(placer)
        waiting = [(group, reasons.of(group)) for group in placer.waiting]
        waiting += [(group, WaitReason.NOT_TRIED) for group in placer.untried]
        self._record(
            waiting,
            now_s,
            placer.context.now_ms,
            lambda group: f", {placer.order.explain(group)}",
        )
        return True

    def update_outdated(
        self, groups: Iterable[TaskGroup], now_s: float, now_ms: int
    ) -> bool:
        """Count and log ready groups while evacuation requests are outdated.

        Their order is not known then; the oldest are logged first.

        Returns
        -------
        bool
            Whether a count was due.
        """
        if now_s < self._next_count_s:
            return False
        oldest = sorted(
            groups, key=lambda item: (item.earliest_start_ms, item.name)
        )
        waiting = [(group, WaitReason.REQUESTS_OUTDATED) for group in oldest]
        self._record(waiting, now_s, now_ms, lambda _: "")
        return True

    def _record(
        self,
        waiting: list[tuple[TaskGroup, WaitReason]],
        now_s: float,
        now_ms: int,
        place: Callable[[TaskGroup], str],
    ) -> None:
        """Count what waits, and log it if a line is due."""
        self._next_count_s = now_s + COUNT_PERIOD_S
        self.waiting = waiting
        self.count_by_reason = dict(
            Counter(reason.value for _, reason in waiting)
        )
        if waiting and now_s >= self._next_log_s:
            self._next_log_s = now_s + LOG_PERIOD_S
            logger.info(
                "queue: {} groups wait ({}), first {}",
                *(len(waiting), _summary(self.count_by_reason)),
                "; ".join(
                    _description(group, now_ms, place(group), reason)
                    for group, reason in waiting[:LOGGED_GROUPS]
                ),
            )


@attrs.define
class _Reasons:
    """Reasons in one decision; groups that are alike are looked up once."""

    placer: Placer
    _cache: dict[object, WaitReason] = attrs.Factory(dict)

    def of(self, group: TaskGroup) -> WaitReason:
        placer = self.placer
        if placer.state.suspects and not placer.separation.startable(group):
            return WaitReason.DELAYED
        key = (
            group.job.service,
            group.step.required_label,
            group.step.needs,
            group.job.job_id in placer.context.within_guarantee,
            placer.reservations.latest_end_ms(group),
        )
        reason = self._cache.get(key)
        if reason is None:
            reason = self._cache[key] = self._reason(group)
        return reason

    def _reason(self, group: TaskGroup) -> WaitReason:
        """Return the reason by what :meth:`of` tells groups apart by.

        Whether an orders row is full depends on the job, so nodes with a
        full one count as well.
        """
        placer = self.placer
        needs = group.step.needs
        eligible = placer.context.eligible_nodes(group)
        if not eligible:
            return WaitReason.NO_WORKER
        room = placer.available.room
        fitting = [node for node in eligible if covers(room[node], needs)]
        if not fitting:
            return WaitReason.NO_ROOM
        unreserved = placer.reservations.room_for(group)
        if not any(covers(unreserved[node], needs) for node in fitting):
            return WaitReason.RESERVED
        return WaitReason.CONSTRAINED


def _summary(count_by_reason: dict[str, int]) -> str:
    return ", ".join(
        f"{reason} {count}"
        for reason, count in sorted(count_by_reason.items())
    )


def _description(
    group: TaskGroup, now_ms: int, place: str, reason: WaitReason
) -> str:
    job = group.job
    return (
        f"{group.name[:MAX_NAME_LENGTH]} of "
        f"{job.organisation[:MAX_NAME_LENGTH]!r} priority {job.priority} "
        f"waited {now_ms - group.earliest_start_ms} ms{place}: {reason.value}"
    )

"""Finds steps that wait for a few tasks of an earlier step, and which."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.model import task_group_of
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.planner_state import TaskGroup
from filbertlb.batch.standing import StandReason
from filbertlb.batch.standing import Still

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from filbertlb.batch.model import Job
    from filbertlb.batch.model import Progress
    from filbertlb.batch.model import RunKey
    from filbertlb.batch.model import TaskRecord
    from filbertlb.batch.planner_state import PlannerState


def find_waiting_steps(
    state: PlannerState, still_by_key: Mapping[RunKey, Still]
) -> Iterator[Still]:
    """Yield the steps that wait only for tasks which hold them.

    Those are tasks of a step before that do not move, or that run again.
    A step behind another one that waits is left out.

    Parameters
    ----------
    still_by_key : mapping of RunKey to Still
        Tasks, and groups that are not placed, that do not move.
    """
    for job, progress in state.unfinished_jobs():
        if job.job_id in state.cancelled:
            continue
        if any(step.after for step in job.steps):
            yield from _Steps(job, progress, still_by_key).find()


@attrs.frozen
class _Holder:
    """A task that is not done.

    Parameters
    ----------
    still : Still, optional
        Why it does not move; None if it runs again.
    """

    task: str
    record: TaskRecord
    still: Still | None

    def __str__(self) -> str:
        """Return a short description for logs."""
        where = f" on {self.record.node}" if self.record.node else ""
        reason = "runs again" if self.still is None else self.still.reason
        return f"{self.task} attempt {self.record.attempt}{where}: {reason}"


class _Steps:
    """Steps of a job in all occurrences that have begun."""

    def __init__(
        self,
        job: Job,
        progress: Progress,
        still_by_key: Mapping[RunKey, Still],
    ) -> None:
        self._job = job
        self._still_by_key = still_by_key
        self._records_by_group: dict[str, dict[str, TaskRecord]] = {}
        for task, record in progress.tasks.items():
            group = task_group_of(task)
            self._records_by_group.setdefault(group, {})[task] = record

    def find(self) -> Iterator[Still]:
        occurrences = {
            int(name.split(".")[1]) for name in self._records_by_group
        }
        for occurrence in sorted(occurrences):
            for index, step in enumerate(self._job.steps):
                group = TaskGroup(self._job, occurrence, index)
                if step.after and group.name not in self._records_by_group:
                    still = self._check(group)
                    if still is not None:
                        yield still

    def _check(self, group: TaskGroup) -> Still | None:
        """Return a step that has not begun if it is held."""
        open_groups = [
            before for before in self._before(group) if not self._done(before)
        ]
        holders: list[_Holder] = []
        for before in open_groups:
            found = self._holders(before)
            if found is None:
                return None
            holders += found
        if not holders:
            return None
        return _held(group, holders)

    def _before(self, group: TaskGroup) -> Iterator[TaskGroup]:
        for index in group.step.after:
            yield TaskGroup(group.job, group.occurrence, index)

    def _done(self, group: TaskGroup) -> bool:
        records = self._records_by_group.get(group.name, {})
        done = sum(
            record.phase is TaskPhase.DONE for record in records.values()
        )
        return done == group.step.count

    def _holders(self, group: TaskGroup) -> list[_Holder] | None:
        """Return the open tasks of a step.

        None if one of them is in its first run, or if the step waits for
        others or lasts until cancelled.
        """
        records = self._records_by_group.get(group.name)
        if records is None or group.step.long_running:
            return None
        unplaced = self._still_by_key.get((group.name, 0))
        if len(records) < group.step.count and unplaced is None:
            return None
        holders = []
        for task, record in records.items():
            if record.phase is TaskPhase.DONE:
                continue
            waits = record.phase is TaskPhase.WAITING
            still = self._still_by_key.get((task, record.attempt))
            if still is None and waits:
                still = unplaced
            if still is None and record.attempt <= 1 and not waits:
                return None
            holders.append(_Holder(task, record, still))
        return holders


def _held(group: TaskGroup, holders: list[_Holder]) -> Still:
    """Return a step that is held; the longest holder is named first."""
    stills = [one.still for one in holders if one.still is not None]
    times_s = [still.since_s or 0.0 for still in stills]
    all_still = len(stills) == len(holders)
    first = min(
        holders,
        key=lambda one: (
            one.still is None,
            one.still and one.still.since_s,
            -one.record.attempt,
        ),
    )
    return Still(
        (group.name, 0),
        group.name,
        group.step.count,
        StandReason.STEP_HELD if stills else StandReason.STEP_RERUN,
        max(times_s) if all_still else None,
        lambda: (
            f"waits for {len(holders)} tasks of earlier steps, first {first}"
        ),
    )

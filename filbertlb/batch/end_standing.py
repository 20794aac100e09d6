"""How the end of a run in a report relates to what is known of its task."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.batch.model import EndCause
from filbertlb.batch.model import FINAL_STATES
from filbertlb.batch.model import job_id_of
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.planner_state import ALLOCATED_PHASES

if TYPE_CHECKING:
    from filbertlb.batch.model import RunEnd
    from filbertlb.batch.model import RunKey
    from filbertlb.batch.model import WorkerReport
    from filbertlb.batch.planner_state import PlannerState


class EndStanding(StrEnum):
    """Whether the end is that of the run that its task waits for."""

    CURRENT = "current"
    UNKNOWN_JOB = "unknown job"
    UNKNOWN_ATTEMPT = "unknown attempt"
    DONE = "task is done"
    COUNTED = "run counted as ended before"
    EARLIER_ATTEMPT = "earlier attempt"
    LATE_DONE = "late, but done"
    """The run was given up, and the work need not be done again."""


APPLIED = (EndStanding.CURRENT, EndStanding.LATE_DONE)
LATE = (
    EndStanding.LATE_DONE,
    EndStanding.EARLIER_ATTEMPT,
    EndStanding.COUNTED,
)


def standing_of(state: PlannerState, end: RunEnd, node: str) -> EndStanding:
    """Return the standing of an end that a node reports."""
    if job_id_of(end.task) not in state.jobs:
        return EndStanding.UNKNOWN_JOB
    record = state.record(end.task)
    if end.attempt > record.attempt:
        return EndStanding.UNKNOWN_ATTEMPT
    if end.attempt == record.attempt and node != record.node:
        return EndStanding.UNKNOWN_ATTEMPT
    if record.phase is TaskPhase.DONE:
        return EndStanding.DONE
    earlier = end.attempt < record.attempt
    if record.phase in ALLOCATED_PHASES and not earlier:
        return EndStanding.CURRENT
    if end.cause is EndCause.DONE and _still_counts(state, end.task):
        return EndStanding.LATE_DONE
    return EndStanding.EARLIER_ATTEMPT if earlier else EndStanding.COUNTED


def _still_counts(state: PlannerState, task: str) -> bool:
    """Return whether a task's job goes on once one of its runs is done."""
    job_id = job_id_of(task)
    return (
        not state.step_of(task).long_running
        and job_id not in state.cancelled
        and state.progress[job_id].state not in FINAL_STATES
    )


@attrs.define
class UnappliedEnds:
    """Logs the reported ends that are not applied, and counts late ones.

    Each once, though it stands in several reports.
    """

    _listed_by_node: dict[str, frozenset[RunKey]] = attrs.Factory(dict)

    def record(
        self,
        state: PlannerState,
        report: WorkerReport,
        standings: dict[RunKey, EndStanding],
    ) -> Counter[str]:
        """Record the ends that the report before did not list.

        Parameters
        ----------
        standings : dict of RunKey to EndStanding
            Standings of the ends as the report was read, before any of
            them was applied.

        Returns
        -------
        Counter of str
            Late ends by cause.
        """
        late: Counter[str] = Counter()
        before = self._listed_by_node.get(report.node, frozenset())
        self._listed_by_node[report.node] = frozenset(standings)
        for end in report.ended:
            standing = standings[end.key]
            if end.key in before:
                continue
            late[end.cause] += standing in LATE
            if standing not in APPLIED:
                _log_unapplied(state, report.node, end, standing)
        return late


def _log_unapplied(
    state: PlannerState, node: str, end: RunEnd, standing: EndStanding
) -> None:
    known = ""
    if standing is not EndStanding.UNKNOWN_JOB:
        record = state.record(end.task)
        same_attempt = end.attempt == record.attempt
        done = standing is EndStanding.DONE and end.cause is EndCause.DONE
        if same_attempt and done:
            # One end represents all members of a gang.
            return
        known = (
            f"; its attempt {record.attempt} on {record.node or 'no node'} is "
            f"{record.phase.value}"
        )
    logger.info(
        "end of {} attempt {} on {} not applied: {}, {}{}",
        *(end.task, end.attempt, node, end.cause.value, standing.value, known),
    )

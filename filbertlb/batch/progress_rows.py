"""Rows that hold the progress of a job: one, or a head and its parts.

The progress of most jobs is one row. Once that would be too large for the
table, the tasks are divided into parts of a fixed number in the order in
which they got their records, so each task stays in its part. From then on
only the parts with changed tasks are written, together with the head.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.model import FINAL_STATES
from filbertlb.batch.model import has_step
from filbertlb.batch.model import Progress
from filbertlb.batch.model import PROGRESS_PREFIX
from filbertlb.batch.model import ProgressHead
from filbertlb.batch.model import ProgressPart
from filbertlb.batch.model import ProgressRow
from filbertlb.batch.model import task_group_of
from filbertlb.table.base import stored_bytes
from filbertlb.table.base import Write
from filbertlb.table.rows import decode_row
from filbertlb.table.rows import encode_value
from filbertlb.table.rows import UnreadableRowError

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from filbertlb.batch.model import GangFailures
    from filbertlb.batch.model import Job
    from filbertlb.batch.model import TaskRecord
    from filbertlb.batch.planner_state import PlannerState
    from filbertlb.table.base import Row

PART_TASKS = 32
"""Tasks of a part; stored, so it must not change.

A part fits a row of 64 KiB with 1,536 compressed bytes for each task.
"""


@attrs.frozen
class ProgressWrites:
    """Changed rows of the progress of a job.

    Parameters
    ----------
    head : Write
        All of the progress, or what concerns no single task.
    part_by_number : dict of int to Write
        Changed parts.
    """

    job_id: str
    head: Write
    part_by_number: dict[int, Write] = attrs.Factory(dict)


def part_key(job_id: str, number: int) -> str:
    """Return the key of a part; a job id has no slash."""
    return f"{PROGRESS_PREFIX}{job_id}/{number:06d}"


def part_count(tasks: int) -> int:
    """Return the number of parts that a number of tasks takes."""
    return -(-tasks // PART_TASKS)


def progress_job_id(key: str) -> str:
    """Return the id of the job that a row of progress belongs to."""
    return key.removeprefix(PROGRESS_PREFIX).partition("/")[0]


def is_part(key: str) -> bool:
    """Return whether the key of a row of progress is that of a part."""
    return "/" in key.removeprefix(PROGRESS_PREFIX)


def progress_writes(
    state: PlannerState, job_id: str, row_bytes: int
) -> ProgressWrites:
    """Return the changed rows of a job, which is divided if need be."""
    progress = state.progress[job_id]
    key = PROGRESS_PREFIX + job_id
    if job_id not in state.split_jobs:
        value = encode_value(progress)
        if stored_bytes(value) <= row_bytes or not progress.tasks:
            return ProgressWrites(job_id, Write(key, value))
        state.split(job_id)
    head = ProgressHead(
        job_id,
        progress.state,
        progress.started,
        len(progress.tasks),
        progress.ended_ms,
        progress.failure,
    )
    parts = _changed_parts(state, progress)
    count = part_count(len(progress.tasks))
    state.part_count_by_job[job_id] = max(
        count, state.part_count_by_job.get(job_id, 0)
    )
    return ProgressWrites(job_id, Write(key, encode_value(head)), parts)


def part_numbers(progress: Progress, tasks: Collection[str]) -> set[int]:
    """Return the parts that hold any of these tasks."""
    return {
        position // PART_TASKS
        for position, task in enumerate(progress.tasks)
        if task in tasks
    }


def gang_continues(state: PlannerState, tasks: list[str], number: int) -> bool:
    """Return whether a part begins amid a gang.

    Parameters
    ----------
    tasks : list of str
        All tasks of the job.
    """
    first = number * PART_TASKS
    before, after = tasks[first - 1 : first + 1]
    return (
        task_group_of(before) == task_group_of(after)
        and state.step_of(after).gang
    )


def progress_keys(state: PlannerState, job_id: str) -> list[str]:
    """Return the keys of all rows that the progress of a job may have.

    In the order of deletion: the first parts, which prove the others, last.
    """
    count = state.part_count_by_job.get(job_id, 0)
    keys = [part_key(job_id, number) for number in reversed(range(count))]
    return [*keys, PROGRESS_PREFIX + job_id]


def decode_progress(
    head: Row, parts: Iterable[Row], job: Job | None
) -> tuple[Progress, bool]:
    """Decode the progress of a job, if that is known, from all its rows.

    Parts that the head does not count are left over from a division that
    was not completed; no order follows from them.

    Returns
    -------
    bool
        Whether the progress is divided.

    Raises
    ------
    UnreadableRowError
        If a row is damaged or missing, or is of another job.
    """
    row = decode_row(head, ProgressRow)
    if PROGRESS_PREFIX + row.job_id != head.key:
        raise _misplaced(head, row.job_id)
    divided = not isinstance(row.tasks, dict)
    if isinstance(row.tasks, dict):
        tasks, failures = row.tasks, row.failures_by_gang
    else:
        ended = row.state in FINAL_STATES
        tasks, failures = _join_parts(head, row.tasks, parts, ended)
    for task in tasks:
        if job is not None and not has_step(job, task):
            raise UnreadableRowError(
                f"row {head.key!r}: task {task[:80]!r} is none of its job"
            )
    progress = Progress(
        row.job_id,
        row.state,
        row.started,
        tasks,
        row.ended_ms,
        failures,
        row.failure,
    )
    return progress, divided


def _changed_parts(
    state: PlannerState, progress: Progress
) -> dict[int, Write]:
    job_id = progress.job_id
    names = list(progress.tasks)
    changed = state.changed_tasks_by_job.get(job_id, ())
    parts = {}
    for number in sorted(part_numbers(progress, changed)):
        members = names[number * PART_TASKS : (number + 1) * PART_TASKS]
        groups = {task_group_of(task) for task in members}
        failures_by_gang = {
            group: progress.failures_by_gang[group]
            for group in sorted(groups & progress.failures_by_gang.keys())
        }
        part = ProgressPart(
            *(job_id, number),
            {task: progress.tasks[task] for task in members},
            failures_by_gang,
        )
        key = part_key(job_id, number)
        parts[number] = Write(key, encode_value(part))
    return parts


def _join_parts(
    head: Row, task_count: int, rows: Iterable[Row], ended: bool
) -> tuple[dict[str, TaskRecord], dict[str, GangFailures]]:
    """Return the tasks and failed gangs of the parts that a head counts.

    An ended job may lack some, whose deletion was not completed.
    """
    tasks: dict[str, TaskRecord] = {}
    failures: dict[str, GangFailures] = {}
    row_by_key = {row.key: row for row in rows}
    job_id = progress_job_id(head.key)
    for number in range(part_count(task_count)):
        row = row_by_key.get(part_key(job_id, number))
        if row is None:
            continue
        part = decode_row(row, ProgressPart)
        if part_key(part.job_id, part.number) != row.key:
            raise _misplaced(row, part.job_id)
        tasks.update(part.tasks)
        for group, failed in part.failures_by_gang.items():
            known = failures.setdefault(group, failed)
            if failed.attempt > known.attempt:
                failures[group] = failed
    if len(tasks) < task_count and not ended:
        raise UnreadableRowError(
            f"row {head.key!r} counts {task_count} tasks, its parts hold "
            f"{len(tasks)}; restore the rows from a backup"
        )
    return tasks, failures


def _misplaced(row: Row, job_id: str) -> UnreadableRowError:
    return UnreadableRowError(
        f"row {row.key!r} holds what belongs to {job_id[:80]!r}"
    )

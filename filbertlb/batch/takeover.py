"""Builds the planner of a new decider from the rows of the table."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from gevent import sleep
from loguru import logger

from filbertlb.batch.model import PROGRESS_TABLE
from filbertlb.batch.model import STATE_TABLE
from filbertlb.batch.model import WORKER_PREFIX
from filbertlb.batch.model import WorkerReport
from filbertlb.batch.planner import Planner
from filbertlb.batch.progress_rows import decode_progress
from filbertlb.batch.progress_rows import is_part
from filbertlb.batch.progress_rows import part_count
from filbertlb.batch.progress_rows import progress_job_id
from filbertlb.batch.stored import decode_report_row
from filbertlb.batch.version_marks import restore_marks
from filbertlb.batch.workers import MAX_REPORT_AGE_S
from filbertlb.errors import FilbertlbError
from filbertlb.table.base import ABSENT
from filbertlb.table.base import HistoryLostError
from filbertlb.table.base import TableUnavailableError
from filbertlb.table.base import Write
from filbertlb.table.rows import encode_value
from filbertlb.table.rows import UnreadableRowError

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from filbertlb.batch.durations import DurationModel
    from filbertlb.batch.index import JobIndex
    from filbertlb.batch.model import Job
    from filbertlb.batch.planner_state import PlannerState
    from filbertlb.core.clock import Clock
    from filbertlb.table.base import Row
    from filbertlb.table.base import WatchedTable
    from filbertlb.table.mirror import Mirror

ROWS_PER_TURN = 20
"""Rows decoded before other tasks, such as lease renewal, get a turn."""


def build_planner(
    table: WatchedTable,
    state_mirror: Mirror,
    index: JobIndex,
    worker_mirror: Mirror,
    clock: Clock,
    durations: DurationModel | None = None,
) -> Planner:
    """Return a planner that knows all jobs, progress and reports.

    The lease must be held, so that nobody else changes the progress
    meanwhile. The copy of the jobs is brought up to date after the progress
    was read: a job that has progress must not be missing.

    Raises
    ------
    TableUnavailableError
        If the table does not answer.
    """
    planner = Planner()
    if durations is not None:
        planner.durations = durations
    snapshot = table.snapshot(f"{PROGRESS_TABLE}/")
    _catch_up(table, state_mirror, clock, snapshot.version)
    restore_marks(state_mirror)
    add_progress_rows(planner.state, index.jobs, snapshot.rows)
    for job in index.jobs.values():
        planner.state.add_job(job)
    planner.state.cancelled.update(index.cancelled)
    for number, key in enumerate(list(worker_mirror.row_by_key)):
        apply_report(planner, worker_mirror, state_mirror, key)
        _yield_sometimes(number)
    for node in set(planner.state.occupied_nodes()) - set(planner.workers):
        logger.error("worker {} has tasks and no report row", node)
        _store_empty_report(table, node)
        planner.record_report(
            WorkerReport(node, ""), clock.monotonic(), recent=False
        )
    # An earlier decider may have stored progress without its orders.
    planner.state.changed_nodes.update(planner.workers)
    planner.state.changed_nodes.update(planner.state.occupied_nodes())
    return planner


def add_progress_rows(
    state: PlannerState, job_by_id: Mapping[str, Job], rows: Iterable[Row]
) -> None:
    """Add the progress of all jobs from its rows."""
    parts_by_job: dict[str, list[Row]] = {}
    heads = []
    for row in rows:
        if is_part(row.key):
            parts_by_job.setdefault(progress_job_id(row.key), []).append(row)
        else:
            heads.append(row)
    for number, head in enumerate(heads):
        job_id = progress_job_id(head.key)
        parts = parts_by_job.get(job_id, ())
        _add_progress(state, job_by_id.get(job_id), head, parts)
        _yield_sometimes(number)


def apply_report(
    planner: Planner, worker_mirror: Mirror, state_mirror: Mirror, key: str
) -> None:
    """Pass a worker's report to the planner.

    An unreadable one is logged. It tells only that the agent was alive: the
    worker gets no new work, and its runs end once the row is too old.

    A report that this decider has just read may be old. Its age is counted
    from when this entry's copy of the state table had reached its version,
    and its leases are waited out from that time. It may have been written
    long before, at any time since the last answer without it: then it proves
    no worker alive.
    """
    row = worker_mirror.row_by_key.get(key)
    if row is None:
        return
    seen_s = worker_mirror.seen_s_by_key[key]
    reached_s = state_mirror.versions.reached_s(row.version)
    if reached_s is not None:
        seen_s = min(seen_s, reached_s)
    try:
        report = decode_report_row(row)
    except UnreadableRowError as error:
        logger.error("row {} ignored: {}", key, error)
        node = key.removeprefix(WORKER_PREFIX)
        view = planner.workers.get(node)
        known = WorkerReport(node, "") if view is None else view.report
        report = attrs.evolve(known, answers=False)
    running = tuple(
        run for run in report.running if planner.state.may_be_task(run.task)
    )
    report = attrs.evolve(report, running=running)
    earliest_s = _earliest_write_s(row.version, state_mirror, worker_mirror)
    recent = seen_s - earliest_s <= MAX_REPORT_AGE_S
    planner.record_report(report, seen_s, recent)


def _earliest_write_s(version: int, *mirrors: Mirror) -> float:
    """Return a time before which no copy could have had a version."""
    times = (mirror.versions.earliest_write_s(version) for mirror in mirrors)
    return max(
        (at_s for at_s in times if at_s is not None), default=float("-inf")
    )


def _store_empty_report(table: WatchedTable, node: str) -> None:
    """Store a report without a worker for a node that has no row.

    Its version tells later deciders since when the leases there have been
    running out: all reports that the node may have had are older. A report
    that has come meanwhile stays.
    """
    report = encode_value(WorkerReport(node, ""))
    try:
        table.commit((Write(WORKER_PREFIX + node, report, ABSENT),))
    except FilbertlbError as error:
        logger.warning("empty report of {} not stored: {}", node, error)


def _catch_up(
    table: WatchedTable, mirror: Mirror, clock: Clock, version: int
) -> None:
    """Apply the changes of the state table up to a version to its mirror."""
    try:
        changes = table.changes(STATE_TABLE, mirror.version, 0.0)
    except HistoryLostError as error:
        logger.info("reading the whole state table: {}", error)
        sent_s = clock.monotonic()
        snapshot = table.snapshot(f"{STATE_TABLE}/")
        mirror.replace(snapshot, clock.monotonic(), sent_s)
    else:
        mirror.apply(changes, clock.monotonic())
    if mirror.version < version:
        raise TableUnavailableError(
            f"stale changes up to version {mirror.version!r}, expected "
            f"{version!r} or later; read again"
        )


def _add_progress(
    state: PlannerState, job: Job | None, head: Row, parts: Sequence[Row]
) -> None:
    """Add the progress of a job; without it the job is left alone.

    A job that seemed to have no progress would run again.
    """
    job_id = progress_job_id(head.key)
    try:
        progress, divided = decode_progress(head, parts, job)
    except UnreadableRowError as error:
        logger.error("job left alone: {}", error)
        state.ignored_jobs.add(job_id)
        return
    if job is None:
        return
    state.add_progress(progress)
    if parts:
        state.part_count_by_job[job_id] = max(
            len(parts), part_count(len(progress.tasks))
        )
    if divided:
        state.split_jobs.add(job_id)


def _yield_sometimes(number: int) -> None:
    if number % ROWS_PER_TURN == 0:
        sleep(0)

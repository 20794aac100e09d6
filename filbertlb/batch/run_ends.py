"""What the end of a run changes in the state of its task or gang."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.batch.crash_evidence import crashes_of
from filbertlb.batch.crash_evidence import odds
from filbertlb.batch.crashes import backoff_ms
from filbertlb.batch.crashes import MAX_BLAME_MS
from filbertlb.batch.crashes import with_crash
from filbertlb.batch.gang_failures import count_failed_run
from filbertlb.batch.gang_failures import failed_runs
from filbertlb.batch.model import Crash
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import task_group_of
from filbertlb.batch.model import TaskPhase

if TYPE_CHECKING:
    from filbertlb.batch.model import RunEnd
    from filbertlb.batch.model import TaskRecord
    from filbertlb.batch.planner_state import PlannerState


def apply_end(
    state: PlannerState, end: RunEnd, now_ms: int, others_per_h: int = 0
) -> bool:
    """Apply the end of a run that was ordered to its task and gang.

    Parameters
    ----------
    others_per_h : int
        If the worker crashed, the crashes an hour that were to be expected
        without the task.

    Returns
    -------
    bool
        Whether the run has failed by this end. A run of a gang fails by the
        first failed end of a member.
    """
    record = state.record(end.task)
    step = state.step_of(end.task)
    done = end.cause is EndCause.DONE and not step.long_running
    failed = end.cause is EndCause.FAILED
    crashed = end.crashed_after_ms is not None
    refused = end.cause is EndCause.REFUSED
    avoids = failed or crashed or refused
    logger.info(
        "end of {} attempt {} on {}: {} after {} ms",
        *(end.task, end.attempt, record.node, end.cause.value),
        "unknown" if end.run_ms is None else end.run_ms,
    )
    run_failed = failed
    if failed and step.gang:
        run_failed = _count_gang_failure(state, end)
    state.set_record(
        end.task,
        attrs.evolve(
            record,
            phase=TaskPhase.DONE if done else TaskPhase.WAITING,
            failures=record.failures + run_failed,
            saved=end.saved or record.saved,
            since_ms=now_ms,
            avoid=record.node if avoids else record.avoid,
            crashes=_crashes_after(record, end, others_per_h),
        ),
    )
    if crashed:
        _record_crash(state, end)
    if end.cause is EndCause.DONE:
        state.preempted.discard(
            task_group_of(end.task) if step.gang else end.task
        )
    if step.gang:
        _end_gang(state, end.task, done, now_ms)
    return run_failed


def apply_late_done(
    state: PlannerState, end: RunEnd, node: str, now_ms: int
) -> None:
    """End a task or gang of which a run was given up, and was done.

    A later run loses its order, so its agent stops it. The task becomes
    done before, or together with, the rows of its job and orders, so a
    decider that is cut off leaves nothing that starts it again.
    """
    record = state.record(end.task)
    logger.info(
        "late end of {} attempt {} on {}: done; its attempt {} on {} was {}",
        *(end.task, end.attempt, node, record.attempt),
        *(record.node or "no node", record.phase.value),
    )
    state.set_phase(end.task, TaskPhase.DONE, now_ms)
    gang = state.step_of(end.task).gang
    state.preempted.discard(task_group_of(end.task) if gang else end.task)
    if gang:
        _end_gang(state, end.task, True, now_ms)


def _count_gang_failure(state: PlannerState, end: RunEnd) -> bool:
    group = task_group_of(end.task)
    is_new = count_failed_run(state, group, end.attempt)
    logger.info(
        "gang {} attempt {} failed at {}: {}, {} failed runs of {} attempts",
        *(group, end.attempt, end.task),
        "counted" if is_new else "counted before",
        failed_runs(state, group),
        state.job_of(end.task).attempts,
    )
    return is_new


def _end_gang(state: PlannerState, task: str, done: bool, now_ms: int) -> None:
    """End or stop the other members after one member of a gang ended.

    If that member is done, the whole gang is done. Otherwise all members
    restart from the checkpoint of that member, if it has one.
    """
    saved = state.record(task).saved
    for other, record in state.members(task_group_of(task)).items():
        if done and record.phase is not TaskPhase.DONE:
            state.set_phase(other, TaskPhase.DONE, now_ms)
        elif record.phase is TaskPhase.ORDERED:
            state.set_phase(other, TaskPhase.STOPPING, now_ms)
        if saved and not done:
            state.set_saved(other, saved)


def _crashes_after(
    record: TaskRecord, end: RunEnd, others_per_h: int
) -> tuple[Crash, ...]:
    """Return the crashes that a task is blamed for after the end of a run."""
    if end.crashed_after_ms is None:
        return record.crashes
    crash = Crash(record.node, end.crashed_after_ms, end.attempt, others_per_h)
    return with_crash(record.crashes, crash)


def _record_crash(state: PlannerState, end: RunEnd) -> None:
    """Log a crash; a gang that has run for long is no suspect any more."""
    step = state.step_of(end.task)
    if step.gang and (end.crashed_after_ms or 0) > MAX_BLAME_MS:
        for member, record in state.members(task_group_of(end.task)).items():
            state.set_record(member, attrs.evolve(record, crashes=()))
    record = state.record(end.task)
    crashes = crashes_of(state, end.task)
    restart = ""
    if step.long_running:
        restart = f" and restarts after {backoff_ms(record.crashes)} ms"
    logger.warning(
        "worker on {} crashed {} ms after the start of {} attempt {}; the "
        "task is blamed for {} crashes, odds {:.3g}{}",
        *(record.node, end.crashed_after_ms, end.task, end.attempt),
        *(len(crashes), odds(crashes), restart),
    )

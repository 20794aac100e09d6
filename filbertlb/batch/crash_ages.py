"""Ages of the runs that a worker had when it crashed."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from filbertlb.batch.local_run import LocalRun
    from filbertlb.batch.local_runs import LocalRuns
    from filbertlb.batch.worker_presence import WorkerPresence


def record_crash_ages(runs: LocalRuns, presence: WorkerPresence) -> None:
    """Keep the ages of the runs that the worker had when it crashed."""
    for key, run in runs.by_key.items():
        run_ms = crash_age_ms(run, presence)
        if run_ms is not None:
            runs.crash_age_ms_by_run[key] = run_ms


def crash_age_ms(run: LocalRun, presence: WorkerPresence) -> int | None:
    """Return the age of a run when the worker crashed under it.

    None if the worker is not down, was to leave anyway, was down before the
    run was started, or had refused the run.
    """
    down_s, started_s = presence.down_since_s, run.started_s
    if down_s is None or started_s is None or started_s > down_s:
        return None
    leaves = presence.draining or presence.deregistered
    if leaves or not run.may_have_begun:
        return None
    return round(1000 * (down_s - started_s))

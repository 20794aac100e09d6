"""What a worker's listing tells of its runs and their ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.batch.local_run import LocalRun
from filbertlb.batch.local_run import RunPhase
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import MAX_SAVED_BYTES

if TYPE_CHECKING:
    from collections.abc import Container
    from collections.abc import Iterable

    from filbertlb.batch.local_runs import LocalRuns
    from filbertlb.batch.model import Order
    from filbertlb.batch.model import Run
    from filbertlb.batch.model import RunEnd
    from filbertlb.batch.model import RunKey
    from filbertlb.batch.worker_link import ListedEnd


def record_listed_end(
    runs: LocalRuns, listed: ListedEnd, received_s: float | None
) -> None:
    """Record an end; one that is listed again counts once.

    It replaces a loss that the agent had only presumed if the task is done,
    or the run counts as failed.

    Parameters
    ----------
    received_s : float, optional
        Monotonic time at which the listing was received; None if unknown.
    """
    end = listed.end
    run = runs.by_key.pop(end.key, None)
    if end.key in runs.ended and not _refutes(end, runs.ended[end.key]):
        return
    # The reports before told the loss.
    runs.told_by_run.pop(end.key, None)
    run_ms = None
    if run is not None and received_s is not None:
        run_ms = run.run_ms(received_s)
    saved = _storable(end.saved)
    if saved != end.saved:
        logger.error(
            "checkpoint of {} attempt {} not kept: over {} bytes",
            *(end.task, end.attempt, MAX_SAVED_BYTES),
        )
    runs.ended[end.key] = attrs.evolve(end, run_ms=run_ms, saved=saved)
    runs.report_changed = True
    logger.info(
        "run {} attempt {} ended {} after {} ms",
        *(end.task, end.attempt, end.cause.value),
        "unknown" if run_ms is None else run_ms,
    )


def adopt_listed_run(
    runs: LocalRuns, listed: Run, orders: Iterable[Order]
) -> None:
    """Add a run that another agent process started, or none."""
    matching = (order.needs for order in orders if order.key == listed.key)
    needs = next(matching, None)
    runs.by_key[listed.key] = LocalRun(needs, RunPhase.RUNNING)
    runs.report_changed = True
    logger.info(
        "worker lists run {} attempt {}, unknown to this agent", *listed.key
    )


def record_listed_run(
    runs: LocalRuns,
    listed: Run,
    orders: Iterable[Order],
    sent_s: float,
    received_s: float | None = None,
) -> None:
    """Record a run that the worker has.

    Parameters
    ----------
    orders : iterable of Order
        They state what the run needs if this process did not start it.
    sent_s : float
        Monotonic time at which the listing was requested.
    received_s : float, optional
        Monotonic time at which it was received; None if unknown.
    """
    if listed.key not in runs.by_key:
        adopt_listed_run(runs, listed, orders)
    run = runs.by_key[listed.key]
    if run.phase is RunPhase.STARTING:
        run.phase = RunPhase.RUNNING
        run.start_unanswered = False
        run.running_since_s = sent_s
        runs.report_changed = True
    if run.phase is RunPhase.RUNNING:
        run.acked_s = max(run.acked_s, sent_s)
    run.saved = _storable(listed.saved)
    if run.saved:
        runs.checkpoint_by_run[listed.key] = run.saved
    run.percent = listed.percent
    run.listed_s = received_s


def end_unlisted(
    runs: LocalRuns, sent_s: float, listed: Container[RunKey]
) -> None:
    """End the runs that a complete listing lacks.

    A run counts only if the worker acknowledged it before the request.

    Parameters
    ----------
    sent_s : float
        Monotonic time at which the listing was requested.
    listed : container of RunKey
        Runs and ends that it shows.
    """
    for key, run in list(runs.by_key.items()):
        if key in listed or run.awaits_answer(sent_s):
            continue
        if 0 < run.acked_s < sent_s:
            stopping = run.phase is RunPhase.STOPPING
            cause = EndCause.STOPPED if stopping else EndCause.LOST
            # It was in progress when the worker last acknowledged it.
            run_ms = run.run_ms(run.acked_s)
            runs.end(key, cause, "not listed by the worker", run_ms)


def _refutes(listed: RunEnd, known: RunEnd) -> bool:
    """Return whether a listed end shows that a run was not lost."""
    return known.cause is EndCause.LOST and listed.cause in (
        EndCause.DONE,
        EndCause.FAILED,
    )


def _storable(saved: str) -> str:
    """Return a checkpoint, or none if it is too long to be stored."""
    size_bytes = len(saved.encode(errors="replace"))
    return saved if size_bytes <= MAX_SAVED_BYTES else ""

"""Refuses jobs that the deciders could not process.

A stored job is read by each decider, so one that makes a decision fail
would stop the scheduling of all jobs.
"""

from __future__ import annotations

from re import compile as compile_pattern
from typing import TYPE_CHECKING

from filbertlb.batch.step_chains import in_order
from filbertlb.errors import InvalidInputError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from filbertlb.batch.model import Job

MAX_JOB_TASKS = 10_000
"""Tasks due in the first minute; a decision may be about all of them."""
FIRST_MINUTE_MS = 60_000
MAX_JOB_PAYLOAD_BYTES = 8_000
"""An orders row must hold the payloads of several jobs."""

_JOB_ID = compile_pattern(r"[0-9A-Za-z_-]{1,64}")
"""Names of tasks separate their parts by dots."""


class InvalidJobError(InvalidInputError):
    """A submitted job cannot be scheduled as it is described."""

    code = "invalid_job"


def check_job(job: Job) -> None:
    """Refuse a job that the deciders could not process.

    Raises
    ------
    InvalidJobError
        With all that is wrong.
    """
    faults = list(_faults(job))
    if faults:
        raise InvalidJobError(
            f"job {job.job_id[:80]!r} cannot be scheduled: {'; '.join(faults)}"
        )


def _faults(job: Job) -> Iterator[str]:
    if not _JOB_ID.fullmatch(job.job_id):
        yield f"its id does not match {_JOB_ID.pattern!r}"
    payload_bytes = len(job.payload.encode())
    if payload_bytes > MAX_JOB_PAYLOAD_BYTES:
        yield (
            f"its payload of {payload_bytes} bytes is longer than "
            f"{MAX_JOB_PAYLOAD_BYTES}"
        )
    faults = list(structural_faults(job))
    yield from faults
    if not faults:
        yield from _circle_faults(job)
    if any(min(*step.needs, step.estimate_ms) < 0 for step in job.steps):
        yield "a step has a negative requirement or estimate"
    if job.times < 0 or job.interval_ms < 0:
        yield "its number of occurrences or their interval is negative"


def _circle_faults(job: Job) -> Iterator[str]:
    """Yield which steps can never run, as they wait for each other."""
    runnable = set(in_order([step.after for step in job.steps]))
    stuck = [index for index in range(len(job.steps)) if index not in runnable]
    if stuck:
        yield f"steps {stuck[:10]!r} come after each other or themselves"


def structural_faults(job: Job) -> Iterator[str]:
    """Yield what would make decisions fail, also for a job that is stored."""
    if not job.steps:
        yield "it has no steps"
    for step in job.steps:
        if step.count < 1:
            yield "a step has no tasks"
        if any(not 0 <= index < len(job.steps) for index in step.after):
            yield f"a step depends on {step.after!r}, which it does not have"
    tasks = _early_occurrences(job) * sum(step.count for step in job.steps)
    if tasks > MAX_JOB_TASKS:
        yield f"{tasks} tasks are due in its first minute; split it"


def _early_occurrences(job: Job) -> int:
    """Return the number of occurrences due in the first minute."""
    if not job.times:
        return 1
    end_ms = max(job.accepted_ms, job.first_due_ms) + FIRST_MINUTE_MS
    elapsed_ms = end_ms - job.first_due_ms
    return min(job.times, 1 + elapsed_ms // max(1, job.interval_ms))

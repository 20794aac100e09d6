"""Decodes stored rows whose parts must fit each other and their key.

A row that is well formed but names steps, jobs or nodes that it does not
have would make each decision fail.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from filbertlb.batch.job_check import structural_faults
from filbertlb.batch.model import Job
from filbertlb.batch.model import JOB_PREFIX
from filbertlb.batch.model import WORKER_PREFIX
from filbertlb.batch.model import WorkerReport
from filbertlb.table.rows import decode_row
from filbertlb.table.rows import UnreadableRowError

if TYPE_CHECKING:
    from filbertlb.table.base import Row


def decode_job_row(row: Row) -> Job:
    """Decode an accepted job."""
    job = decode_row(row, Job)
    _require_key(row, JOB_PREFIX + job.job_id)
    for fault in structural_faults(job):
        raise UnreadableRowError(f"row {row.key!r}: {fault}")
    return job


def decode_report_row(row: Row) -> WorkerReport:
    """Decode the report of an agent."""
    report = decode_row(row, WorkerReport)
    _require_key(row, WORKER_PREFIX + report.node)
    return report


def _require_key(row: Row, key: str) -> None:
    if row.key != key:
        raise UnreadableRowError(
            f"row {row.key!r} holds what belongs to {key[:80]!r}"
        )

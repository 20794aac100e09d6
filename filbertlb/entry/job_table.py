"""Jobs as rows of the table service.

``jobs/ORGANISATION/JOB`` holds the job. ``open/SCOPE/JOB`` exists while
the job is not final, so that a new decider finds all open jobs of its
scope by scanning this prefix.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import TYPE_CHECKING

import attrs
import msgspec

from filbertlb.core.job_record import JobRecord
from filbertlb.table.base import ABSENT
from filbertlb.table.base import RowConflictError
from filbertlb.table.base import Write
from filbertlb.table.commit import commit_with_read_back
from filbertlb.table.commit import new_token
from filbertlb.table.commit import Proof
from filbertlb.table.rows import decode_row

if TYPE_CHECKING:
    from filbertlb.table.base import Row
    from filbertlb.table.base import TableService

MAX_UPDATE_ATTEMPTS = 5
SCAN_PAGE_ROWS = 1000

Commit = Callable[[Sequence[Write], Proof], object]
Transition = Callable[[JobRecord], JobRecord]


@attrs.frozen
class _StoredJob:
    """A stored job with the unique token of the write that stored it."""

    write_id: str
    job: JobRecord


@attrs.frozen
class OpenJob:
    """Reference to a job that is not final."""

    organisation_id: str
    job_id: str


class JobTable:
    """Reads and writes the rows of jobs.

    Parameters
    ----------
    table : TableService
        The platform's table service.
    """

    def __init__(self, table: TableService) -> None:
        self._table = table

    def get(self, organisation_id: str, job_id: str) -> JobRecord | None:
        """Return a job, or None if it does not exist.

        Raises
        ------
        TableUnavailableError
            If the service does not answer.
        """
        row = self._table.get(_job_key(organisation_id, job_id))
        return None if row is None else _decode(row)

    def organisation_jobs(
        self, organisation_id: str, limit: int
    ) -> list[JobRecord]:
        """Return at most ``limit`` jobs of an organisation."""
        prefix = _job_key(organisation_id, "")
        rows = self._table.scan(prefix, limit=limit)
        return [_decode(row) for row in rows]

    def open_jobs(self, scope: str) -> list[OpenJob]:
        """Return references to all open jobs of a scope."""
        prefix = _open_key(scope, "")
        open_jobs: list[OpenJob] = []
        after = ""
        while True:
            rows = self._table.scan(prefix, after=after, limit=SCAN_PAGE_ROWS)
            for row in rows:
                job_id = row.key.removeprefix(prefix)
                open_jobs.append(OpenJob(row.value.decode(), job_id))
            if len(rows) < SCAN_PAGE_ROWS:
                return open_jobs
            after = rows[-1].key

    def create(self, record: JobRecord) -> None:
        """Store a new job.

        Raises
        ------
        RowConflictError
            If the job already exists.
        TableUnavailableError
            If nothing was written because the service is unavailable.
        WriteOutcomeUnknownError
            If the job may have been written.
        """
        spec = record.spec
        key = _job_key(spec.organisation_id, spec.job_id)
        reference = spec.organisation_id.encode()
        writes = (
            Write(key, _encode(record), ABSENT),
            Write(_open_key(spec.scope, spec.job_id), reference),
        )
        commit_with_read_back(self._table, writes, Proof(key))

    def update(
        self,
        job: OpenJob,
        transition: Transition,
        commit: Commit | None = None,
    ) -> JobRecord | None:
        """Apply a transition to the current row by compare-and-swap.

        On a conflict with another writer, the row is read again and the
        transition applied anew, up to ``MAX_UPDATE_ATTEMPTS`` times.

        Parameters
        ----------
        transition : callable
            Pure function of the job; its errors are raised unchanged.
        commit : callable, optional
            Commits the writes, for example under a lease; by default
            without one.

        Returns
        -------
        JobRecord or None
            The job after the transition; None if it does not exist.

        Raises
        ------
        RowConflictError
            If every try met a conflict, or the lease was lost.
        TableUnavailableError, WriteOutcomeUnknownError
            If the table service fails.
        """
        key = _job_key(job.organisation_id, job.job_id)
        for attempt in range(MAX_UPDATE_ATTEMPTS):
            row = self._table.get(key)
            if row is None:
                return None
            before = _decode(row)
            after = transition(before)
            if after == before:
                return before
            writes = _update_writes(row, after)
            try:
                self._commit(writes, Proof(key), commit)
            except RowConflictError:
                if attempt == MAX_UPDATE_ATTEMPTS - 1:
                    raise
                continue
            return after
        return None

    def _commit(
        self, writes: Sequence[Write], proof: Proof, commit: Commit | None
    ) -> None:
        if commit is None:
            commit_with_read_back(self._table, writes, proof)
        else:
            commit(writes, proof)


def _update_writes(row: Row, after: JobRecord) -> tuple[Write, ...]:
    write = Write(row.key, _encode(after), row.version)
    if not after.is_final:
        return (write,)
    open_key = _open_key(after.spec.scope, after.spec.job_id)
    return (write, Write(open_key, None))


def _job_key(organisation_id: str, job_id: str) -> str:
    return f"jobs/{organisation_id}/{job_id}"


def _open_key(scope: str, job_id: str) -> str:
    return f"open/{scope}/{job_id}"


def _encode(record: JobRecord) -> bytes:
    return msgspec.json.encode(_StoredJob(new_token(), record))


def _decode(row: Row) -> JobRecord:
    return decode_row(row, _StoredJob).job

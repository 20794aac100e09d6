"""Jobs as rows of the table service.

``jobs/ORGANISATION/JOB`` is the job; ``open/SCOPE/JOB`` exists as long
as the job is not final, so that a new decider finds what is open.
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

if TYPE_CHECKING:
    from filbertlb.table.base import Row
    from filbertlb.table.base import TableService

CHANGE_ATTEMPTS = 5
SCAN_ROWS = 1000

Commit = Callable[[Sequence[Write], Proof], object]
Transition = Callable[[JobRecord], JobRecord]


@attrs.frozen
class _StoredJob:
    """A job with the token of the write that left it."""

    write_id: str
    job: JobRecord


@attrs.frozen
class OpenJob:
    """Reference of a job that is not final."""

    organisation_id: str
    job_id: str


class JobTable:
    """Typed access to the rows of jobs.

    Parameters
    ----------
    table : TableService
        The platform's table service.
    """

    def __init__(self, table: TableService) -> None:
        self._table = table

    def get(self, organisation_id: str, job_id: str) -> JobRecord | None:
        """Return a job, or None if there is none.

        Raises
        ------
        TableUnavailableError
            If the service does not answer.
        """
        row = self._table.get(_job_key(organisation_id, job_id))
        return None if row is None else _decode(row)

    def of_organisation(
        self, organisation_id: str, limit: int
    ) -> list[JobRecord]:
        """Return the jobs of an organisation, at most ``limit``."""
        prefix = _job_key(organisation_id, "")
        rows = self._table.scan(prefix, limit=limit)
        return [_decode(row) for row in rows]

    def open_jobs(self, scope: str) -> list[OpenJob]:
        """Return references of all jobs of a scope that are open."""
        prefix = _open_key(scope, "")
        found: list[OpenJob] = []
        after = ""
        while True:
            rows = self._table.scan(prefix, after=after, limit=SCAN_ROWS)
            for row in rows:
                job_id = row.key.removeprefix(prefix)
                found.append(OpenJob(row.value.decode(), job_id))
            if len(rows) < SCAN_ROWS:
                return found
            after = rows[-1].key

    def create(self, record: JobRecord) -> None:
        """Write a new job.

        Raises
        ------
        RowConflictError
            If the job exists.
        TableUnavailableError
            If nothing was written.
        WriteOutcomeUnknownError
            If it may have been written.
        """
        spec = record.spec
        key = _job_key(spec.organisation_id, spec.job_id)
        reference = spec.organisation_id.encode()
        writes = (
            Write(key, _encode(record), ABSENT),
            Write(_open_key(spec.scope, spec.job_id), reference),
        )
        commit_with_read_back(self._table, writes, Proof(key))

    def change(
        self,
        job: OpenJob,
        transition: Transition,
        commit: Commit | None = None,
    ) -> JobRecord | None:
        """Apply a transition to the row as it is now.

        A row that another writer changed meanwhile is read again.

        Parameters
        ----------
        transition : callable
            Pure; its errors are passed on.
        commit : callable, optional
            Commits the writes, for example under a lease.

        Returns
        -------
        JobRecord or None
            The job as it now stands; None if there is no such job.

        Raises
        ------
        RowConflictError
            If the row kept changing, or the commit lost its lease.
        TableUnavailableError, WriteOutcomeUnknownError
            If the table service fails.
        """
        key = _job_key(job.organisation_id, job.job_id)
        for attempt in range(CHANGE_ATTEMPTS):
            row = self._table.get(key)
            if row is None:
                return None
            before = _decode(row)
            after = transition(before)
            if after == before:
                return before
            writes = _change_writes(row, after)
            try:
                self._commit(writes, Proof(key), commit)
            except RowConflictError:
                if attempt == CHANGE_ATTEMPTS - 1:
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


def _change_writes(row: Row, after: JobRecord) -> tuple[Write, ...]:
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
    return msgspec.json.decode(row.value, type=_StoredJob).job

"""Storage of the audit trail in the table service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from msgspec.json import encode

from filbertlb.core.audit import append
from filbertlb.core.audit import AuditEntry
from filbertlb.core.audit import AuditHead
from filbertlb.core.audit import head_of
from filbertlb.core.audit import verify
from filbertlb.table.base import ABSENT
from filbertlb.table.base import RowConflictError
from filbertlb.table.base import Write
from filbertlb.table.commit import commit_with_read_back
from filbertlb.table.commit import new_token
from filbertlb.table.commit import Proof
from filbertlb.table.rows import decode_row

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from filbertlb.core.audit import AuditEvent
    from filbertlb.table.base import TableService

AUDIT_HEAD_KEY = "audit/head"
AUDIT_PREFIX = "audit/entry/"
PAGE_ROWS = 500
MAX_APPEND_ATTEMPTS = 8


@attrs.frozen
class _StoredEntry:
    """Audit entry with the unique token of the write that stored it."""

    entry: AuditEntry
    token: str


class AuditLog:
    """Append-only audit trail in the table service.

    Parameters
    ----------
    table : TableService
        The platform's table service.
    """

    def __init__(self, table: TableService) -> None:
        self._table = table

    def head(self) -> AuditHead:
        """Return the number and hash of the last entry.

        Raises
        ------
        TableUnavailableError
            If the service does not answer.
        """
        return self._read_head()[0]

    def append_writes(self, event: AuditEvent) -> tuple[Write, Write]:
        """Return the conditional writes that append an event to the trail.

        The first write creates the row of the entry. That row is never
        changed, so it can serve as a proof row with ``write_once``.

        Raises
        ------
        TableUnavailableError
            If the service does not answer.
        """
        head, version = self._read_head()
        entry = append(head, event)
        stored = _StoredEntry(entry, new_token())
        return (
            Write(_entry_key(entry.number), encode(stored), ABSENT),
            Write(AUDIT_HEAD_KEY, encode(head_of(entry)), version),
        )

    def record(self, event: AuditEvent) -> None:
        """Append an event in a transaction of its own.

        Raises
        ------
        RowConflictError
            If every attempt met a concurrent append.
        TableUnavailableError, WriteOutcomeUnknownError
            If the table service fails.
        """
        for attempt in range(1, MAX_APPEND_ATTEMPTS + 1):
            writes = self.append_writes(event)
            try:
                commit_with_read_back(
                    self._table, writes, Proof(writes[0].key, write_once=True)
                )
            except RowConflictError:
                if attempt == MAX_APPEND_ATTEMPTS:
                    raise
            else:
                return

    def entries(self, after: int = 0) -> Iterator[AuditEntry]:
        """Yield the entries with numbers above ``after``, in order.

        Raises
        ------
        TableUnavailableError
            If the service does not answer.
        """
        key = _entry_key(after)
        while True:
            rows = self._table.scan(AUDIT_PREFIX, after=key, limit=PAGE_ROWS)
            for row in rows:
                key = row.key
                yield decode_row(row, _StoredEntry).entry
            if len(rows) < PAGE_ROWS:
                return

    def verify(self, noted: Iterable[AuditHead] = ()) -> AuditHead:
        """Verify the hash chain of the whole trail and return its head.

        Entries appended during the verification are not checked.

        Parameters
        ----------
        noted : iterable of AuditHead
            Heads that were recorded outside the table earlier; the
            trail must contain them.

        Raises
        ------
        AuditChainError
            If entries were changed, added, removed or reordered, or if
            a noted head is missing.
        TableUnavailableError
            If the service does not answer.
        """
        head = self.head()
        entries = (
            entry for entry in self.entries() if entry.number <= head.number
        )
        verify(entries, head, noted)
        return head

    def _read_head(self) -> tuple[AuditHead, int]:
        row = self._table.get(AUDIT_HEAD_KEY)
        if row is None:
            return AuditHead(), ABSENT
        return decode_row(row, AuditHead), row.version


def _entry_key(number: int) -> str:
    return f"{AUDIT_PREFIX}{number:012d}"

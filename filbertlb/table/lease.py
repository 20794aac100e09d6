"""Lease rows of the table service, kept by one process a scope."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from gevent.lock import RLock
from msgspec.json import encode

from filbertlb.core.lease import LEASE_MARGIN_S
from filbertlb.core.lease import LEASE_TTL_S
from filbertlb.core.lease import LeaseRecord
from filbertlb.core.lease import LeaseTracker
from filbertlb.errors import FilbertlbError
from filbertlb.table.base import ABSENT
from filbertlb.table.base import RowConflictError
from filbertlb.table.base import Write
from filbertlb.table.commit import commit_with_read_back
from filbertlb.table.commit import new_token
from filbertlb.table.commit import Proof
from filbertlb.table.rows import decode_row

if TYPE_CHECKING:
    from collections.abc import Generator
    from collections.abc import Sequence

    from filbertlb.core.clock import Clock
    from filbertlb.core.lease import Lease
    from filbertlb.table.base import TableService

LEASE_PREFIX = "lease/"


class LeaseManager:
    """Takes, renews and gives up the lease of one scope.

    The decider's task calls ``step`` in a loop and sleeps until
    ``next_due_s``; it acts only while ``held`` returns a lease, and
    writes what it decides through ``commit``.

    Parameters
    ----------
    table : TableService
        The platform's table service.
    scope : str
        Scope that the lease covers.
    holder_id : str
        This process; unique among processes and their restarts.
    clock : Clock
        Source of monotonic time.
    ttl_s : float
        Lifetime of the lease in seconds.
    margin_s : float
        Time before its end at which the holder stops, in seconds.
    """

    def __init__(
        self,
        table: TableService,
        scope: str,
        holder_id: str,
        clock: Clock,
        ttl_s: float = LEASE_TTL_S,
        margin_s: float = LEASE_MARGIN_S,
    ) -> None:
        self.failure: FilbertlbError | None = None
        self._table = table
        self._clock = clock
        self._key = LEASE_PREFIX + scope
        self._tracker = LeaseTracker(scope, holder_id, ttl_s, margin_s)
        # Renewals and fenced commits change the same row.
        self._lock = RLock()

    @property
    def record(self) -> LeaseRecord | None:
        """The row as it was read or written last, for status pages."""
        return self._tracker.record

    @property
    def version(self) -> int:
        """Version of the lease row as it was read or written last."""
        return self._tracker.version

    def held(self) -> Lease | None:
        """Return the lease if this process may act on it now."""
        return self._tracker.held(self._clock.monotonic())

    def next_due_s(self, delay_s: float = 0.0) -> float:
        """Return the monotonic time of the next ``step`` in seconds."""
        return self._tracker.next_due_s(self._clock.monotonic(), delay_s)

    def saw_epoch(self, epoch: int) -> None:
        """Take note of an epoch that an agent has seen."""
        self._tracker.saw_epoch(epoch)

    def step(self, delay_s: float = 0.0) -> Lease | None:
        """Renew, watch or take the lease, whatever is due.

        Failures of the table are kept in ``failure`` and met by the
        next step.

        Parameters
        ----------
        delay_s : float
            Time that this process leaves to preferred ones, in seconds.

        Returns
        -------
        Lease or None
            The lease if this process holds it.
        """
        self.failure = None
        try:
            with self._lock:
                self._step(delay_s)
        except FilbertlbError as error:
            self.failure = error
        return self.held()

    def acquire(self) -> Lease | None:
        """Take the lease with a new epoch, on the row as last read.

        Raises
        ------
        RowConflictError
            If another process wrote the row.
        TableUnavailableError, WriteOutcomeUnknownError
            If the table service fails.
        """
        with self._lock, self._row_changes():
            self._send(
                self._tracker.take(new_token(), self._clock.monotonic())
            )
        return self.held()

    def renew(self) -> Lease | None:
        """Extend the lease that is held.

        Raises
        ------
        NotHolderError
            If the lease has lapsed.
        RowConflictError
            If another process wrote the row.
        TableUnavailableError, WriteOutcomeUnknownError
            If the table service fails.
        """
        return self.commit(())

    def commit(
        self, writes: Sequence[Write], proof: Proof | None = None
    ) -> Lease | None:
        """Write decisions if, and only if, the lease is still held.

        The transaction renews the lease row, on the condition that no
        other process has written it: a holder that lost the lease is
        refused by the table.

        Parameters
        ----------
        writes : sequence of Write
            The decisions.
        proof : Proof, optional
            Row that settles a lost answer; the lease row by default.

        Raises
        ------
        NotHolderError
            If the lease has lapsed.
        RowConflictError
            If the lease was lost or a condition is not met; nothing is
            written. ``held`` tells the two apart after the next step.
        TableUnavailableError, WriteOutcomeUnknownError
            If the table service fails.
        """
        with self._lock, self._row_changes():
            record = self._tracker.renew(new_token(), self._clock.monotonic())
            self._send(record, writes, proof)
        return self.held()

    def release(self) -> None:
        """Give the lease up so that another process may take it at once.

        Raises
        ------
        NotHolderError
            If the lease has lapsed.
        RowConflictError
            If another process wrote the row.
        TableUnavailableError, WriteOutcomeUnknownError
            If the table service fails; the lease then lapses.
        """
        with self._lock:
            record = self._tracker.release(
                new_token(), self._clock.monotonic()
            )
            self._send(record)

    def _step(self, delay_s: float) -> None:
        now_s = self._clock.monotonic()
        if self._tracker.renewal_due(now_s):
            self.renew()
        elif self._tracker.held(now_s) is None:
            self._observe()
            if self._tracker.may_take(self._clock.monotonic(), delay_s):
                self.acquire()

    def _observe(self) -> None:
        row = self._table.get(self._key)
        now_s = self._clock.monotonic()
        if row is None:
            self._tracker.saw(None, ABSENT, now_s)
        else:
            self._tracker.saw(decode_row(row, LeaseRecord), row.version, now_s)

    @contextmanager
    def _row_changes(self) -> Generator[None]:
        """Read the row again if a condition of a write was not met."""
        try:
            yield
        except RowConflictError:
            self._observe()
            raise

    def _send(
        self,
        record: LeaseRecord,
        writes: Sequence[Write] = (),
        proof: Proof | None = None,
    ) -> None:
        write = Write(self._key, encode(record), self._tracker.version)
        versions = commit_with_read_back(
            self._table, (write, *writes), proof or Proof(self._key)
        )
        if versions[0] == ABSENT:
            # Written, but another process has written the row since.
            self._observe()
        else:
            self._tracker.written(versions[0], self._clock.monotonic())

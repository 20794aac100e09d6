"""Leases stored as rows of the table service, one for each scope."""

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
    """Acquires, renews and releases the lease of one scope.

    The owner calls ``step`` in a loop and sleeps until ``next_due_s``.
    It may act only while ``held`` returns a lease, and writes its
    decisions with ``commit``.

    Parameters
    ----------
    table : TableService
        The platform's table service.
    scope : str
        Scope that the lease covers.
    holder_id : str
        Identifies this process; differs for each process and restart.
    clock : Clock
        Source of monotonic time.
    ttl_s : float
        Lifetime of the lease in seconds.
    margin_s : float
        Time before the expiry at which the holder stops acting, in
        seconds.
    instance : str
        Name of the instance, of which only one process runs at a time. The
        next process takes the lease of the last one over at once.
    """

    def __init__(
        self,
        table: TableService,
        scope: str,
        holder_id: str,
        clock: Clock,
        ttl_s: float = LEASE_TTL_S,
        margin_s: float = LEASE_MARGIN_S,
        instance: str = "",
    ) -> None:
        self.failure: FilbertlbError | None = None
        self._table = table
        self._clock = clock
        self._key = LEASE_PREFIX + scope
        self._tracker = LeaseTracker(
            scope, holder_id, ttl_s, margin_s, instance
        )
        # Renewals and fenced commits write the same row, so they must not
        # overlap.
        self._lock = RLock()

    @property
    def record(self) -> LeaseRecord | None:
        """The lease row as last read or written, for status pages."""
        return self._tracker.record

    @property
    def version(self) -> int:
        """Version of the lease row as last read or written."""
        return self._tracker.version

    def held(self) -> Lease | None:
        """Return the lease if this process may act on it now."""
        return self._tracker.held(self._clock.monotonic())

    def next_due_s(self, delay_s: float = 0.0) -> float:
        """Return the monotonic time of the next ``step`` in seconds."""
        return self._tracker.next_due_s(self._clock.monotonic(), delay_s)

    def saw_epoch(self, epoch: int) -> None:
        """Ensure that new epochs are above one that an agent has seen."""
        self._tracker.observe_epoch(epoch)

    def step(self, delay_s: float = 0.0) -> Lease | None:
        """Renew, read or acquire the lease, whichever is due.

        A failure of the table service is stored in ``failure``; the next
        step tries again.

        Parameters
        ----------
        delay_s : float
            Time for which this process lets preferred ones go first, in
            seconds.

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
        """Acquire the lease with a new epoch if the row is still as read.

        Raises
        ------
        RowConflictError
            If another process wrote the row.
        TableUnavailableError, WriteOutcomeUnknownError
            If the table service fails.
        """
        with self._lock, self._reread_on_conflict():
            self._commit_record(
                self._tracker.acquire(new_token(), self._clock.monotonic())
            )
        return self.held()

    def renew(self, epoch: int | None = None) -> Lease | None:
        """Renew the lease that this process holds.

        Parameters
        ----------
        epoch : int, optional
            Epoch that must still be the present one.

        Raises
        ------
        NotHolderError
            If the lease has expired, or was acquired anew.
        RowConflictError
            If another process wrote the row.
        TableUnavailableError, WriteOutcomeUnknownError
            If the table service fails.
        """
        return self.commit((), epoch=epoch)

    def commit(
        self,
        writes: Sequence[Write],
        proof: Proof | None = None,
        epoch: int | None = None,
    ) -> Lease | None:
        """Write decisions if, and only if, the lease is still held.

        The transaction also renews the lease row, on the condition that
        its version is unchanged. The table service thus rejects the
        writes of a holder that has lost the lease.

        Parameters
        ----------
        writes : sequence of Write
            The decisions.
        proof : Proof, optional
            Row that shows the outcome if the answer is lost; the lease
            row by default.
        epoch : int, optional
            Epoch in which the decisions were made. They are rejected if the
            lease was lost and acquired anew since.

        Raises
        ------
        NotHolderError
            If the lease has expired, or was acquired anew.
        RowConflictError
            If the lease was lost or an expected version is not current;
            nothing is written. After the next step, ``held`` tells
            which.
        TableUnavailableError, WriteOutcomeUnknownError
            If the table service fails.
        """
        with self._lock, self._reread_on_conflict():
            now_s = self._clock.monotonic()
            self._tracker.require_epoch(epoch, now_s)
            record = self._tracker.renew(new_token(), now_s)
            self._commit_record(record, writes, proof)
        return self.held()

    def release(self) -> None:
        """Release the lease so that another process may acquire it at once.

        Raises
        ------
        NotHolderError
            If the lease has expired.
        RowConflictError
            If another process wrote the row.
        TableUnavailableError, WriteOutcomeUnknownError
            If the table service fails; the lease then expires.
        """
        with self._lock:
            record = self._tracker.release(
                new_token(), self._clock.monotonic()
            )
            self._commit_record(record)

    def _step(self, delay_s: float) -> None:
        now_s = self._clock.monotonic()
        if self._tracker.renewal_due(now_s):
            self.renew()
        elif self._tracker.held(now_s) is None:
            self._read_row()
            if self._tracker.can_acquire(self._clock.monotonic(), delay_s):
                self.acquire()

    def _read_row(self) -> None:
        row = self._table.get(self._key)
        now_s = self._clock.monotonic()
        if row is None:
            self._tracker.observe_row(None, ABSENT, now_s)
        else:
            self._tracker.observe_row(
                decode_row(row, LeaseRecord), row.version, now_s
            )

    @contextmanager
    def _reread_on_conflict(self) -> Generator[None]:
        """Read the lease row again after a conflict."""
        try:
            yield
        except RowConflictError:
            self._read_row()
            raise

    def _commit_record(
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
            # The write was applied, but the row has been written since.
            self._read_row()
        else:
            self._tracker.written(versions[0], self._clock.monotonic())

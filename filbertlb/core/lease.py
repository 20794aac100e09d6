"""Decisions about the lease on the right to place work in a scope.

The lease is one row of the table service. Time is compared on each
process's own monotonic clock only:

- the holder counts the lifetime from before it sent the write that
  started it, less a margin for clock drift;
- a challenger counts the lifetime from when it first saw the row's
  present version, so it always waits longer than the holder believes.

Clocks that jump or machines that are suspended can still make two
processes believe. The epoch settles that: it grows with every
takeover, and the table and the agents refuse a lower one.
"""

from __future__ import annotations

import attrs
from attrs.validators import gt

from filbertlb.errors import ConflictError
from filbertlb.errors import InvalidInputError
from filbertlb.table.base import ABSENT

LEASE_TTL_S = 3.0
LEASE_MARGIN_S = 0.5
LEASE_POLL_S = 0.5
RENEWALS_PER_TTL = 3

NO_HOLDER = ""


class LeaseSettingError(InvalidInputError):
    """The times of a lease do not go together."""

    code = "lease_setting"


class NotHolderError(ConflictError):
    """The caller does not hold the lease of the scope."""

    code = "not_holder"


@attrs.frozen
class LeaseRecord:
    """Value of a lease row.

    Parameters
    ----------
    holder_id : str
        Process that holds the lease; ``NO_HOLDER`` once released.
    epoch : int
        Fencing epoch; grows with every takeover, never goes down.
    ttl_s : float
        Lifetime after which others may take the lease, in seconds.
    token : str
        Token of the write, by which a lost answer is settled.
    """

    scope: str
    holder_id: str
    epoch: int
    ttl_s: float
    token: str


@attrs.frozen
class Lease:
    """The belief of a process that it holds a scope.

    Parameters
    ----------
    until_s : float
        End of the belief on the holder's own monotonic clock.
    """

    scope: str
    epoch: int
    until_s: float


@attrs.frozen
class _Sent:
    record: LeaseRecord
    at_s: float
    takes: bool


@attrs.define
class LeaseTracker:
    """What one process knows about the lease of one scope.

    Parameters
    ----------
    scope : str
        Scope that the lease covers.
    holder_id : str
        This process; unique among processes and their restarts.
    ttl_s : float
        Lifetime of the leases that this process takes, in seconds.
    margin_s : float
        Time before the end of the lifetime at which this process stops
        believing, in seconds.
    """

    scope: str
    holder_id: str
    ttl_s: float = attrs.field(default=LEASE_TTL_S, validator=gt(0))
    margin_s: float = attrs.field(default=LEASE_MARGIN_S, validator=gt(0))
    record: LeaseRecord | None = None
    version: int = ABSENT
    _seen_at_s: float | None = None
    _epoch_floor: int = 0
    _lease: Lease | None = None
    _sent: _Sent | None = None

    def __attrs_post_init__(self) -> None:
        if self.margin_s >= self.ttl_s:
            raise LeaseSettingError(
                f"margin_s {self.margin_s!r} must be less than ttl_s "
                f"{self.ttl_s!r}"
            )

    def held(self, now_s: float) -> Lease | None:
        """Return the lease if this process may act on it now."""
        if self._lease is not None and now_s >= self._lease.until_s:
            # A lapse is final for the epoch, whatever is learned later.
            self._lease = None
        return self._lease

    def renewal_due(self, now_s: float) -> bool:
        """Tell whether the lease is held and is to be renewed now."""
        return self.held(now_s) is not None and now_s >= self._renewal_due_s()

    def can_acquire(self, now_s: float, delay_s: float = 0.0) -> bool:
        """Tell whether the row as it was read last may be taken.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        delay_s : float
            Time that this challenger leaves to preferred ones, in
            seconds.
        """
        if self._seen_at_s is None or self.held(now_s) is not None:
            return False
        return now_s >= self._takeable_at_s(self._seen_at_s, delay_s)

    def next_due_s(self, now_s: float, delay_s: float = 0.0) -> float:
        """Return the monotonic time at which to act next."""
        if self.held(now_s) is not None:
            return max(now_s, self._renewal_due_s())
        if self._seen_at_s is None:
            return now_s + LEASE_POLL_S
        takeable_at_s = self._takeable_at_s(self._seen_at_s, delay_s)
        if takeable_at_s <= now_s:
            # An attempt was due and has failed.
            return now_s + LEASE_POLL_S
        return min(now_s + LEASE_POLL_S, takeable_at_s)

    def observe_row(
        self, record: LeaseRecord | None, version: int, now_s: float
    ) -> None:
        """Take note of the row as it was read.

        Parameters
        ----------
        now_s : float
            Monotonic time after the answer, in seconds.
        """
        if self._seen_at_s is None or version != self.version:
            self._seen_at_s = now_s
        self.record = record
        self.version = version
        if record is not None:
            self._epoch_floor = max(self._epoch_floor, record.epoch)
        sent = self._sent
        if sent is not None and record == sent.record:
            self._confirm(sent, now_s)
        elif self._lease is not None and not self._is_own(record):
            self._lease = None

    def observe_epoch(self, epoch: int) -> None:
        """Take note of an epoch that an agent has seen.

        A row that was lost by the platform then doesn't bring back
        epochs that agents refuse.
        """
        self._epoch_floor = max(self._epoch_floor, epoch)

    def acquire(self, token: str, now_s: float) -> LeaseRecord:
        """Return the record that takes the lease with a new epoch."""
        record = self._record(self.holder_id, self._epoch_floor + 1, token)
        self._sent = _Sent(record, now_s, takes=True)
        return record

    def renew(self, token: str, now_s: float) -> LeaseRecord:
        """Return the record that renews the lease that is held.

        Raises
        ------
        NotHolderError
            If this process does not hold it any more.
        """
        lease = self._required(now_s)
        record = self._record(self.holder_id, lease.epoch, token)
        self._sent = _Sent(record, now_s, takes=False)
        return record

    def release(self, token: str, now_s: float) -> LeaseRecord:
        """Return the record that gives the lease up; act no more.

        Raises
        ------
        NotHolderError
            If this process does not hold it any more.
        """
        lease = self._required(now_s)
        self.lost()
        return self._record(NO_HOLDER, lease.epoch, token)

    def written(self, version: int, now_s: float) -> None:
        """Take note that the record sent last is in the row.

        Parameters
        ----------
        now_s : float
            Monotonic time after the answer, in seconds.
        """
        if self._sent is None:
            return
        self.observe_row(self._sent.record, version, now_s)

    def lost(self) -> None:
        """Take note that another process wrote the row."""
        self._lease = None
        self._sent = None

    def _confirm(self, sent: _Sent, now_s: float) -> None:
        self._sent = None
        if not sent.takes and self.held(now_s) is None:
            # The belief lapsed before the renewal was known.
            return
        until_s = sent.at_s + self.ttl_s - self.margin_s
        self._lease = Lease(self.scope, sent.record.epoch, until_s)

    def _required(self, now_s: float) -> Lease:
        lease = self.held(now_s)
        if lease is None:
            raise NotHolderError(
                f"{self.holder_id!r} does not hold scope {self.scope!r}; "
                "take the lease first"
            )
        return lease

    def _record(self, holder_id: str, epoch: int, token: str) -> LeaseRecord:
        return LeaseRecord(self.scope, holder_id, epoch, self.ttl_s, token)

    def _is_own(self, record: LeaseRecord | None) -> bool:
        return record is not None and record.holder_id == self.holder_id

    def _renewal_due_s(self) -> float:
        if self._lease is None:
            return 0.0
        started_at_s = self._lease.until_s - self.ttl_s + self.margin_s
        return started_at_s + self.ttl_s / RENEWALS_PER_TTL

    def _takeable_at_s(self, seen_at_s: float, delay_s: float) -> float:
        if self.record is None or self.record.holder_id == NO_HOLDER:
            return seen_at_s + delay_s
        if self._is_own(self.record):
            return seen_at_s
        return seen_at_s + self.record.ttl_s + delay_s

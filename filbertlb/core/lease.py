"""Lease that elects the process which schedules work in a scope.

The lease is one row of the table service. Each process measures time on
its own monotonic clock only:

- the holder counts the lifetime from before it sent the write that
  acquired or renewed the lease, less a safety margin for clock drift;
- a challenger counts the lifetime from when it first read the current
  version of the row, so it always waits until the holder's lease has
  expired;
- a process that finds the lease of an earlier process of its own instance
  when it starts waits for nothing: that process has ended.

After a clock jump or a suspended machine, two processes can still
consider themselves the holder. The epoch is a fencing token against
this: it grows with every takeover, and the table and the agents refuse
a lower one.
"""

from __future__ import annotations

import attrs
from attrs.validators import gt

from filbertlb.errors import ConflictError
from filbertlb.errors import InvalidInputError
from filbertlb.ranges import Count
from filbertlb.table.base import ABSENT

LEASE_TTL_S = 3.0
LEASE_MARGIN_S = 0.5
LEASE_POLL_S = 0.5
RENEWALS_PER_TTL = 3
RETAKE_PAUSE_S = 10.0
"""Time after a retaken lease in which it is not retaken once more.

An instance whose processes end again and again leaves it to others.
"""

NO_HOLDER = ""


class LeaseSettingError(InvalidInputError):
    """The safety margin of a lease is not shorter than its lifetime."""

    code = "lease_setting"


class NotHolderError(ConflictError):
    """The process does not hold the lease of the scope."""

    code = "not_holder"


@attrs.frozen
class LeaseRecord:
    """Value of a lease row.

    Parameters
    ----------
    holder_id : str
        Process that holds the lease; ``NO_HOLDER`` after a release.
    epoch : int
        Fencing epoch; increases with every takeover, never decreases.
    ttl_s : float
        Lifetime after which others may acquire the lease, in seconds.
    token : str
        Unique token of the write; shows whether a write whose reply was
        lost took effect.
    instance : str
        Name that all processes of the holder's instance have in common;
        empty if there is none.
    retaken : bool
        The holder has taken the lease from an ended process of its instance
        less than ``RETAKE_PAUSE_S`` ago.
    """

    scope: str
    holder_id: str
    epoch: Count
    ttl_s: float
    token: str
    instance: str = ""
    retaken: bool = False


@attrs.frozen
class Lease:
    """A lease from the point of view of its holder.

    Parameters
    ----------
    expires_at_s : float
        Time on the holder's monotonic clock from which it no longer
        acts on the lease; earlier than the end of the lifetime by the
        safety margin.
    """

    scope: str
    epoch: Count
    expires_at_s: float


@attrs.frozen
class _PendingWrite:
    """Write sent at a monotonic time and not yet confirmed."""

    record: LeaseRecord
    at_s: float
    is_acquisition: bool


@attrs.define
class LeaseTracker:
    """State of the lease of one scope as known to one process.

    Parameters
    ----------
    scope : str
        Scope that the lease covers.
    holder_id : str
        Identifier of this process, unique across processes and their
        restarts.
    ttl_s : float
        Lifetime of the leases that this process acquires, in seconds.
    margin_s : float
        Safety margin in seconds: this process stops acting on its lease
        that long before the end of the lifetime.
    instance : str
        Name of the instance, of which only one process runs at a time;
        empty if that is not sure.
    """

    scope: str
    holder_id: str
    ttl_s: float = attrs.field(default=LEASE_TTL_S, validator=gt(0))
    margin_s: float = attrs.field(default=LEASE_MARGIN_S, validator=gt(0))
    instance: str = ""
    record: LeaseRecord | None = None
    version: int = ABSENT
    _version_seen_at_s: float | None = None
    _epoch_floor: int = 0
    _lease: Lease | None = None
    _pending: _PendingWrite | None = None
    _predecessor_id: str = NO_HOLDER
    _retaken_until_s: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        if self.margin_s >= self.ttl_s:
            raise LeaseSettingError(
                f"margin_s {self.margin_s!r} must be less than ttl_s "
                f"{self.ttl_s!r}"
            )

    def held(self, now_s: float) -> Lease | None:
        """Return the lease if this process holds it and it is valid."""
        if self._lease is not None and now_s >= self._lease.expires_at_s:
            # An expired lease is never valid again in the same epoch, even
            # if a renewal is confirmed later.
            self._lease = None
        return self._lease

    def renewal_due(self, now_s: float) -> bool:
        """Return whether the lease is held and due for renewal."""
        return self.held(now_s) is not None and now_s >= self._renewal_due_s()

    def can_acquire(self, now_s: float, delay_s: float = 0.0) -> bool:
        """Return whether the lease may be acquired, per the last read row.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        delay_s : float
            Additional wait that lets preferred challengers acquire the
            lease first, in seconds.
        """
        if self._version_seen_at_s is None or self.held(now_s) is not None:
            return False
        return now_s >= self._acquirable_at_s(self._version_seen_at_s, delay_s)

    def next_due_s(self, now_s: float, delay_s: float = 0.0) -> float:
        """Return the monotonic time of the next renewal, poll or attempt."""
        if self.held(now_s) is not None:
            return max(now_s, self._renewal_due_s())
        if self._version_seen_at_s is None:
            return now_s + LEASE_POLL_S
        acquirable_at_s = self._acquirable_at_s(
            self._version_seen_at_s, delay_s
        )
        if acquirable_at_s <= now_s:
            # The acquisition was due already, so an attempt has failed.
            return now_s + LEASE_POLL_S
        return min(now_s + LEASE_POLL_S, acquirable_at_s)

    def observe_row(
        self, record: LeaseRecord | None, version: int, now_s: float
    ) -> None:
        """Process the content of the row after a read or a write.

        Parameters
        ----------
        now_s : float
            Monotonic time at which the reply arrived, in seconds.
        """
        if self._version_seen_at_s is None:
            self._predecessor_id = self._holder_before(record)
        if self._version_seen_at_s is None or version != self.version:
            self._version_seen_at_s = now_s
        self.record = record
        self.version = version
        if record is not None:
            self._epoch_floor = max(self._epoch_floor, record.epoch)
        pending = self._pending
        if pending is not None and record == pending.record:
            self._confirm(pending, now_s)
        elif self._lease is not None and not self._is_own(record):
            self._lease = None

    def observe_epoch(self, epoch: int) -> None:
        """Process an epoch reported by an agent.

        New epochs stay above it, so that agents accept them even if the
        platform has lost the lease row.
        """
        self._epoch_floor = max(self._epoch_floor, epoch)

    def acquire(self, token: str, now_s: float) -> LeaseRecord:
        """Return the record to write to acquire the lease in a new epoch."""
        if self._follows_predecessor():
            self._retaken_until_s = now_s + RETAKE_PAUSE_S
        record = self._make_record(
            self.holder_id, self._epoch_floor + 1, token, now_s
        )
        self._pending = _PendingWrite(record, now_s, is_acquisition=True)
        return record

    def renew(self, token: str, now_s: float) -> LeaseRecord:
        """Return the record to write to renew the lease.

        Raises
        ------
        NotHolderError
            If this process no longer holds the lease.
        """
        lease = self._require_held(now_s)
        record = self._make_record(self.holder_id, lease.epoch, token, now_s)
        self._pending = _PendingWrite(record, now_s, is_acquisition=False)
        return record

    def require_epoch(self, epoch: int | None, now_s: float) -> None:
        """Raise unless the lease is held in an epoch; None allows any.

        Raises
        ------
        NotHolderError
            If the lease is not held, or in another epoch.
        """
        lease = self._require_held(now_s)
        if epoch is not None and epoch != lease.epoch:
            raise NotHolderError(
                f"{self.holder_id!r} holds scope {self.scope!r} in epoch "
                f"{lease.epoch!r}, not {epoch!r}; decide again"
            )

    def release(self, token: str, now_s: float) -> LeaseRecord:
        """Stop acting on the lease and return the record that releases it.

        Raises
        ------
        NotHolderError
            If this process no longer holds the lease.
        """
        lease = self._require_held(now_s)
        self.lost()
        return self._make_record(NO_HOLDER, lease.epoch, token, now_s)

    def written(self, version: int, now_s: float) -> None:
        """Process the success of the last write.

        Parameters
        ----------
        now_s : float
            Monotonic time at which the reply arrived, in seconds.
        """
        if self._pending is None:
            return
        self.observe_row(self._pending.record, version, now_s)

    def lost(self) -> None:
        """Discard the lease and any pending write of this process."""
        self._lease = None
        self._pending = None

    def _confirm(self, pending: _PendingWrite, now_s: float) -> None:
        self._pending = None
        if not pending.is_acquisition and self.held(now_s) is None:
            # The lease expired before the renewal was confirmed.
            return
        expires_at_s = pending.at_s + self.ttl_s - self.margin_s
        self._lease = Lease(self.scope, pending.record.epoch, expires_at_s)

    def _require_held(self, now_s: float) -> Lease:
        lease = self.held(now_s)
        if lease is None:
            raise NotHolderError(
                f"{self.holder_id!r} does not hold scope {self.scope!r}; "
                "acquire the lease first"
            )
        return lease

    def _make_record(
        self, holder_id: str, epoch: int, token: str, now_s: float
    ) -> LeaseRecord:
        retaken = now_s < self._retaken_until_s
        return LeaseRecord(
            *(self.scope, holder_id, epoch, self.ttl_s, token),
            *(self.instance, retaken),
        )

    def _holder_before(self, record: LeaseRecord | None) -> str:
        """Return the holder in the first row read, if it has ended."""
        if record is None or record.retaken or not self.instance:
            return NO_HOLDER
        if record.instance != self.instance:
            return NO_HOLDER
        return record.holder_id

    def _follows_predecessor(self) -> bool:
        return (
            self.record is not None
            and self.record.holder_id != NO_HOLDER
            and self.record.holder_id == self._predecessor_id
        )

    def _is_own(self, record: LeaseRecord | None) -> bool:
        return record is not None and record.holder_id == self.holder_id

    def _renewal_due_s(self) -> float:
        if self._lease is None:
            return 0.0
        started_at_s = self._lease.expires_at_s - self.ttl_s + self.margin_s
        return started_at_s + self.ttl_s / RENEWALS_PER_TTL

    def _acquirable_at_s(
        self, version_seen_at_s: float, delay_s: float
    ) -> float:
        if self.record is None or self.record.holder_id == NO_HOLDER:
            return version_seen_at_s + delay_s
        if self._is_own(self.record) or self._follows_predecessor():
            return version_seen_at_s
        return version_seen_at_s + self.record.ttl_s + delay_s

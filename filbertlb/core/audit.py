"""Append-only audit trail in the form of a hash chain.

Each entry contains the hash of its predecessor, and the head row
contains the number and hash of the last entry. Verification detects
entries that were changed, removed, added or reordered. A trail that was
rewritten consistently, including its head row, is detected only by
comparison with a head that was saved outside the table beforehand.
"""

from __future__ import annotations

from enum import StrEnum
from hashlib import sha256
from typing import TYPE_CHECKING

import attrs
from msgspec.json import encode

from filbertlb.errors import FilbertlbError
from filbertlb.ranges import Count
from filbertlb.ranges import Int64

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

FIRST_HASH = "0" * 64


class AuditChainError(FilbertlbError):
    """The audit trail was changed after it was written.

    Parameters
    ----------
    number : int
        Number of the first invalid entry.
    """

    code = "audit_chain_broken"

    def __init__(self, number: int, problem: str) -> None:
        super().__init__(
            f"audit entry {number}: {problem}; find out who has write "
            "access to the table and compare the trail with a copy"
        )
        self.number = number


class AuditOutcome(StrEnum):
    """Result of an attempted change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REFUSED = "refused"


@attrs.frozen
class AuditEvent:
    """One attempted change.

    Parameters
    ----------
    at_s : float
        Wall time in seconds since the Unix epoch.
    actor : str
        Identity that attempted the change.
    action : str
        Kind of change, such as ``config.apply``.
    subject : str
        Object of the change.
    from_revision, to_revision : int
        Revisions before and after the attempt; equal if nothing changed.
    detail : str
        Description of the change, or the reason why it was refused.
    """

    at_s: float
    actor: str
    action: str
    subject: str
    outcome: AuditOutcome
    from_revision: Int64 = 0
    to_revision: Int64 = 0
    detail: str = ""


@attrs.frozen
class AuditEntry:
    """One entry of the hash chain.

    Parameters
    ----------
    number : int
        Position in the trail, from 1.
    previous_hash : str
        Hexadecimal SHA-256 hash of the previous entry.
    hash : str
        Hexadecimal SHA-256 hash of the other fields of this entry.
    """

    number: Count
    event: AuditEvent
    previous_hash: str
    hash: str


@attrs.frozen
class AuditHead:
    """Number and hash of the last entry of the trail."""

    number: Count = 0
    hash: str = FIRST_HASH


def append(head: AuditHead, event: AuditEvent) -> AuditEntry:
    """Return the entry that extends the chain by an event."""
    number = head.number + 1
    digest = _hash(number, event, head.hash)
    return AuditEntry(number, event, head.hash, digest)


def head_of(entry: AuditEntry) -> AuditHead:
    """Return the head of a trail whose last entry is given."""
    return AuditHead(entry.number, entry.hash)


def verify(
    entries: Iterable[AuditEntry],
    head: AuditHead,
    trusted_heads: Iterable[AuditHead] = (),
) -> None:
    """Verify the integrity of a whole trail.

    Parameters
    ----------
    entries : iterable of AuditEntry
        All stored entries in order.
    head : AuditHead
        The stored head.
    trusted_heads : iterable of AuditHead
        Earlier heads that were saved outside the table.

    Raises
    ------
    AuditChainError
        At the first invalid entry.
    """
    hash_by_number = {item.number: item.hash for item in trusted_heads}
    last = AuditHead()
    for entry in entries:
        _check_link(entry, last)
        last = head_of(entry)
        if hash_by_number.pop(last.number, last.hash) != last.hash:
            raise AuditChainError(
                last.number, "hash differs from the head noted earlier"
            )
    if last != head:
        raise AuditChainError(
            last.number + 1,
            f"the last entry is {last.number} but the head row names "
            f"{head.number}",
        )
    for number in sorted(hash_by_number):
        raise AuditChainError(
            number, "entry is missing but was noted as a head earlier"
        )


def filter_entries(
    entries: Iterable[AuditEntry],
    *,
    actor: str | None = None,
    action: str | None = None,
    since_s: float | None = None,
    revision: int | None = None,
) -> Iterator[AuditEntry]:
    """Yield the entries that match all given criteria.

    Parameters
    ----------
    since_s : float, optional
        Earliest wall time in seconds.
    revision : int, optional
        Revision before or after the change.
    """
    for entry in entries:
        event = entry.event
        if actor is not None and event.actor != actor:
            continue
        if action is not None and event.action != action:
            continue
        if since_s is not None and event.at_s < since_s:
            continue
        revisions = (event.from_revision, event.to_revision)
        if revision is None or revision in revisions:
            yield entry


def _check_link(entry: AuditEntry, last: AuditHead) -> None:
    if entry.number != last.number + 1:
        raise AuditChainError(
            last.number + 1, f"found entry {entry.number} in its place"
        )
    if entry.previous_hash != last.hash:
        raise AuditChainError(
            entry.number, "previous hash does not match the entry before it"
        )
    if entry.hash != _hash(entry.number, entry.event, entry.previous_hash):
        raise AuditChainError(
            entry.number, "hash does not match the content of the entry"
        )


def _hash(number: int, event: AuditEvent, previous_hash: str) -> str:
    return sha256(encode((number, event, previous_hash))).hexdigest()

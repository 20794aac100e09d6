"""Append-only audit trail whose entries are chained by hashes.

Each entry holds the hash of the one before it, and the head row holds
the number and hash of the last. A changed, removed, added or reordered
entry breaks the chain; a trail that was rewritten from some entry on,
with its head, no longer meets a head that was noted elsewhere before.
"""

from __future__ import annotations

from enum import StrEnum
from hashlib import sha256
from typing import TYPE_CHECKING

import attrs
from msgspec.json import encode

from filbertlb.errors import FilbertlbError

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

FIRST_HASH = "0" * 64


class AuditChainError(FilbertlbError):
    """The audit trail was changed after it was written.

    Parameters
    ----------
    number : int
        First entry that does not fit.
    """

    code = "audit_chain_broken"

    def __init__(self, number: int, problem: str) -> None:
        super().__init__(
            f"audit entry {number}: {problem}; find out who can write the "
            "table and compare with a copy of the trail"
        )
        self.number = number


class AuditOutcome(StrEnum):
    """How an attempted change ended."""

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
        Who attempted it.
    action : str
        Such as ``config.apply`` or ``config.rollback``.
    subject : str
        What was to change.
    from_revision, to_revision : int
        Revisions before and after; equal if nothing was changed.
    detail : str
        The change or the reason for its refusal.
    """

    at_s: float
    actor: str
    action: str
    subject: str
    outcome: AuditOutcome
    from_revision: int = 0
    to_revision: int = 0
    detail: str = ""


@attrs.frozen
class AuditEntry:
    """One link of the chain.

    Parameters
    ----------
    number : int
        Place in the trail, from 1.
    previous_hash : str
        Hash of the entry before, hexadecimal.
    hash : str
        Hash of this entry's other fields, hexadecimal.
    """

    number: int
    event: AuditEvent
    previous_hash: str
    hash: str


@attrs.frozen
class AuditHead:
    """The end of the trail."""

    number: int = 0
    hash: str = FIRST_HASH


def append(head: AuditHead, event: AuditEvent) -> AuditEntry:
    """Return the entry that follows a head."""
    number = head.number + 1
    digest = _hash(number, event, head.hash)
    return AuditEntry(number, event, head.hash, digest)


def head_of(entry: AuditEntry) -> AuditHead:
    """Return the head of a trail that ends with this entry."""
    return AuditHead(entry.number, entry.hash)


def verify(
    entries: Iterable[AuditEntry],
    head: AuditHead,
    noted: Iterable[AuditHead] = (),
) -> None:
    """Check a whole trail.

    Parameters
    ----------
    entries : iterable of AuditEntry
        All entries in the order in which they are kept.
    head : AuditHead
        The end of the trail as it is kept.
    noted : iterable of AuditHead
        Heads that were noted outside the table earlier.

    Raises
    ------
    AuditChainError
        At the first entry that does not fit.
    """
    hash_by_number = {item.number: item.hash for item in noted}
    last = AuditHead()
    for entry in entries:
        _check_link(entry, last)
        last = head_of(entry)
        if hash_by_number.pop(last.number, last.hash) != last.hash:
            raise AuditChainError(last.number, "differs from a noted head")
    if last != head:
        raise AuditChainError(
            last.number + 1,
            f"the trail ends at entry {last.number} but its head is "
            f"{head.number}",
        )
    for number in sorted(hash_by_number):
        raise AuditChainError(number, "was noted once and is gone")


def filter_entries(
    entries: Iterable[AuditEntry],
    *,
    actor: str | None = None,
    action: str | None = None,
    since_s: float | None = None,
    revision: int | None = None,
) -> Iterator[AuditEntry]:
    """Yield the entries that match all that is given.

    Parameters
    ----------
    since_s : float, optional
        Earliest wall time in seconds.
    revision : int, optional
        Revision from which or to which the change led.
    """
    for entry in entries:
        event = entry.event
        if actor is not None and event.actor != actor:
            continue
        if action is not None and event.action != action:
            continue
        if since_s is not None and event.at_s < since_s:
            continue
        led = (event.from_revision, event.to_revision)
        if revision is None or revision in led:
            yield entry


def _check_link(entry: AuditEntry, last: AuditHead) -> None:
    if entry.number != last.number + 1:
        raise AuditChainError(
            last.number + 1, f"entry {entry.number} stands in its place"
        )
    if entry.previous_hash != last.hash:
        raise AuditChainError(entry.number, "does not follow the one before")
    if entry.hash != _hash(entry.number, entry.event, entry.previous_hash):
        raise AuditChainError(entry.number, "its hash does not match")


def _hash(number: int, event: AuditEvent, previous_hash: str) -> str:
    return sha256(encode((number, event, previous_hash))).hexdigest()

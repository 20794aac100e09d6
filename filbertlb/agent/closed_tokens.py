"""Bounded records of members that must not start any more."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from filbertlb.errors import Ran
    from filbertlb.messages import TaskPhase
    from filbertlb.messages import Token

MemberKey = tuple[str, int]


def member_key(token: Token) -> MemberKey:
    """Return the key of a member, which is the same in every epoch."""
    return (token.attempt_id, token.member)


@attrs.frozen
class ClosedToken:
    """A member that was aborted, refused, preempted, expired or ended.

    Parameters
    ----------
    ran : Ran
        Whether the member had started.
    reason : str
        Why the member was closed.
    closed_at_s : float
        Time at which the member was closed, on the agent's clock, in
        seconds.
    """

    token: Token
    phase: TaskPhase
    ran: Ran
    reason: str
    closed_at_s: float


@attrs.define
class ClosedTokens:
    """Closed members, bounded in number and age.

    Discarding a record raises the floor of its scope to the record's
    attempt identifier, and unknown tokens at or below the floor are
    refused as too old. Attempt identifiers that sort in the order of
    issue keep new tokens above the floor. With any other identifiers
    some new attempts are refused, but none starts twice.

    Parameters
    ----------
    limit : int
        Maximum number of records.
    retention_s : float
        Maximum time for which a record is retained, in seconds.
    """

    limit: int
    retention_s: float
    _by_key: dict[MemberKey, ClosedToken] = attrs.Factory(dict)
    _floor_by_scope: dict[str, str] = attrs.Factory(dict)

    def __len__(self) -> int:
        return len(self._by_key)

    def get(self, token: Token) -> ClosedToken | None:
        """Return the record of a closed member, or None."""
        return self._by_key.get(member_key(token))

    def add(self, closed: ClosedToken) -> None:
        """Record a closed member, unless it is already recorded."""
        self._by_key.setdefault(member_key(closed.token), closed)
        self.prune(closed.closed_at_s)

    def is_too_old(self, token: Token) -> bool:
        """Return whether the member's record may have been discarded."""
        floor = self._floor_by_scope.get(token.scope)
        return floor is not None and token.attempt_id <= floor

    def prune(self, now_s: float) -> None:
        """Discard the oldest records beyond the limits."""
        while self._by_key:
            key = next(iter(self._by_key))
            closed = self._by_key[key]
            is_young = closed.closed_at_s + self.retention_s > now_s
            if is_young and len(self._by_key) <= self.limit:
                return
            del self._by_key[key]
            self._raise_floor(closed.token)

    def _raise_floor(self, token: Token) -> None:
        floor = self._floor_by_scope.get(token.scope, "")
        self._floor_by_scope[token.scope] = max(floor, token.attempt_id)

"""Bounded memory of members that must never start again."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from filbertlb.errors import Ran
    from filbertlb.messages import TaskPhase
    from filbertlb.messages import Token

MemberKey = tuple[str, int]


def member_key(token: Token) -> MemberKey:
    """Return what identifies a member under every epoch."""
    return (token.attempt_id, token.member)


@attrs.frozen
class ClosedToken:
    """A member that was given up, expired or ended.

    Parameters
    ----------
    ran : Ran
        Whether it had started.
    reason : str
        Why it was closed.
    closed_at_s : float
        Time of closing on the agent's clock, in seconds.
    """

    token: Token
    phase: TaskPhase
    ran: Ran
    reason: str
    closed_at_s: float


@attrs.define
class ClosedTokens:
    """Closed members, bounded in count and in time.

    What is forgotten raises a floor for its scope: an unknown token at
    or below the floor is too old to be accepted. Attempt identifiers
    that sort in the order of issue keep new tokens above the floor;
    any other identifiers are refused too often but never started
    twice.

    Parameters
    ----------
    limit : int
        Most tokens kept.
    retention_s : float
        Longest time for which a token is kept, in seconds.
    """

    limit: int
    retention_s: float
    _by_key: dict[MemberKey, ClosedToken] = attrs.Factory(dict)
    _floor_by_scope: dict[str, str] = attrs.Factory(dict)

    def __len__(self) -> int:
        return len(self._by_key)

    def get(self, token: Token) -> ClosedToken | None:
        """Return what is known about a closed member, or None."""
        return self._by_key.get(member_key(token))

    def add(self, closed: ClosedToken) -> None:
        """Remember a closed member; the first closing counts."""
        self._by_key.setdefault(member_key(closed.token), closed)
        self.prune(closed.closed_at_s)

    def is_too_old(self, token: Token) -> bool:
        """Tell whether the member may have been forgotten."""
        floor = self._floor_by_scope.get(token.scope)
        return floor is not None and token.attempt_id <= floor

    def prune(self, now_s: float) -> None:
        """Forget the oldest tokens beyond the bounds."""
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

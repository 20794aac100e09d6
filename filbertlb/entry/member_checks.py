"""Rate limit for reading the job rows of untracked gang members."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from filbertlb.messages import Token

CHECK_PERIOD_S = 2.0


@attrs.define
class MemberCheckLimiter:
    """Allows one row read per untracked member and ``CHECK_PERIOD_S``."""

    _due_s_by_member: dict[tuple[str, int], float] = attrs.Factory(dict)

    def allow(self, token: Token, now_s: float) -> bool:
        """Return whether to read a member's row now and record the read."""
        key = (token.attempt_id, token.member)
        if now_s < self._due_s_by_member.get(key, now_s):
            return False
        self._due_s_by_member[key] = now_s + CHECK_PERIOD_S
        return True

    def evict_expired(self, now_s: float) -> None:
        """Remove the members whose period has passed."""
        self._due_s_by_member = {
            key: due_s
            for key, due_s in self._due_s_by_member.items()
            if due_s > now_s
        }

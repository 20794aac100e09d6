"""Bounds how often the row of an unaccounted member is read."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from filbertlb.messages import Token

CHECK_PERIOD_S = 2.0


@attrs.define
class MemberChecks:
    """When each unaccounted member may be looked up again."""

    _due_s_by_member: dict[tuple[str, int], float] = attrs.Factory(dict)

    def may_check(self, token: Token, now_s: float) -> bool:
        """Tell whether a member is to be looked up now; count it."""
        key = (token.attempt_id, token.member)
        if now_s < self._due_s_by_member.get(key, now_s):
            return False
        self._due_s_by_member[key] = now_s + CHECK_PERIOD_S
        return True

    def forget_old(self, now_s: float) -> None:
        """Drop the members that may be looked up anyway."""
        self._due_s_by_member = {
            key: due_s
            for key, due_s in self._due_s_by_member.items()
            if due_s > now_s
        }

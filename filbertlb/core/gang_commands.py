"""Commands to gang members, sent again until they are answered."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from filbertlb.core.gang_plan import Send

if TYPE_CHECKING:
    from collections.abc import Mapping

    from filbertlb.core.gang_plan import GangCommand
    from filbertlb.core.gang_plan import GangPlan


@attrs.define
class PendingCommands:
    """Unanswered commands of one attempt, at most one per member.

    Parameters
    ----------
    resend_s : float
        Time after which an unanswered command is sent again.
    """

    resend_s: float
    _command_by_member: dict[int, GangCommand] = attrs.Factory(dict)
    _due_s_by_member: dict[int, float] = attrs.Factory(dict)

    @property
    def members(self) -> tuple[int, ...]:
        """Return the members whose command is unanswered."""
        return tuple(self._command_by_member)

    def next_due_s(self) -> float:
        """Return the time of the next resend, in seconds."""
        return min(self._due_s_by_member.values(), default=math.inf)

    def replace(
        self,
        command_by_member: Mapping[int, GangCommand],
        plan: GangPlan,
        now_s: float,
    ) -> list[Send]:
        """Discard all unanswered commands and send new ones."""
        self._command_by_member.clear()
        self._due_s_by_member.clear()
        return self.add(command_by_member, plan, now_s)

    def add(
        self,
        command_by_member: Mapping[int, GangCommand],
        plan: GangPlan,
        now_s: float,
    ) -> list[Send]:
        """Send commands; those of other members stay pending."""
        self._command_by_member.update(command_by_member)
        return [
            self._send(member, plan, now_s) for member in command_by_member
        ]

    def is_pending(self, member: int, command: GangCommand) -> bool:
        """Return whether this is the member's unanswered command."""
        return self._command_by_member.get(member) == command

    def discard(self, member: int) -> None:
        """Stop resending a member's command."""
        self._command_by_member.pop(member, None)
        self._due_s_by_member.pop(member, None)

    def tick(self, plan: GangPlan, now_s: float) -> list[Send]:
        """Resend the commands whose resend time has come."""
        overdue = [
            member
            for member, due_s in self._due_s_by_member.items()
            if due_s <= now_s
        ]
        return [self._send(member, plan, now_s) for member in overdue]

    def _send(self, member: int, plan: GangPlan, now_s: float) -> Send:
        self._due_s_by_member[member] = now_s + self.resend_s
        endpoint_id = plan.members[member].endpoint_id
        return Send(member, endpoint_id, self._command_by_member[member])

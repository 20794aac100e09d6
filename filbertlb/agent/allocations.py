"""Members that an agent keeps, and the room that they leave."""

from __future__ import annotations

from typing import TYPE_CHECKING

from filbertlb.agent.closed_tokens import member_key
from filbertlb.core.model import Resources
from filbertlb.core.refusals import NoCapacityError
from filbertlb.core.refusals import ReservationContendedError
from filbertlb.core.task_phase import OCCUPYING_PHASES
from filbertlb.core.task_phase import STARTING_PHASES
from filbertlb.messages import TaskPhase

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from filbertlb.agent.closed_tokens import MemberKey
    from filbertlb.agent.member import BookMember
    from filbertlb.messages import Reserve
    from filbertlb.messages import Token


class Allocations:
    """Members held, armed, running or ended on one worker.

    Parameters
    ----------
    capacity : Resources
        What the worker has.
    """

    def __init__(self, capacity: Resources) -> None:
        self._capacity = capacity
        self._by_key: dict[MemberKey, BookMember] = {}

    def members(self) -> Collection[BookMember]:
        """Return all members."""
        return self._by_key.values()

    def get(self, token: Token) -> BookMember | None:
        """Return a member, or None."""
        return self._by_key.get(member_key(token))

    def add(self, member: BookMember) -> None:
        """Keep a member."""
        self._by_key[member_key(member.token)] = member

    def remove(self, member: BookMember) -> None:
        """Drop a member."""
        del self._by_key[member_key(member.token)]

    def free_without(self, victims: Iterable[BookMember]) -> Resources:
        """Return what is free once some members are given up."""
        excluded = {member_key(victim.token) for victim in victims}
        used = Resources()
        for key, member in self._by_key.items():
            if member.phase in OCCUPYING_PHASES and key not in excluded:
                used += member.needs
        return self._capacity.minus(used)

    def holds_to_preempt(self, reserve: Reserve) -> list[BookMember]:
        """Return the weaker holds to give up, as few as are needed.

        Raises
        ------
        ReservationContendedError
            If members that are armed would have to go as well.
        NoCapacityError
            If it does not fit at all.
        """
        preemptible = sorted(
            (m for m in self.members() if m.is_preempted_by(reserve)),
            key=lambda member: member.job_id,
            reverse=True,
        )
        held = [m for m in preemptible if m.phase is TaskPhase.HELD]
        for count in range(len(held) + 1):
            if self.free_without(held[:count]).fits(reserve.needs):
                return held[:count]
        starting = [m for m in preemptible if m.phase in STARTING_PHASES]
        if self.free_without(starting).fits(reserve.needs):
            raise ReservationContendedError(
                "a weaker gang is armed; ask again until it starts or ends"
            )
        raise NoCapacityError(
            f"{reserve.needs!r} does not fit into {self.free_without(())!r}"
        )

"""Members on a worker and the capacity that they leave free."""

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
        Resources of the worker.
    """

    def __init__(self, capacity: Resources) -> None:
        self._capacity = capacity
        self._by_key: dict[MemberKey, BookMember] = {}

    def members(self) -> Collection[BookMember]:
        """Return all members."""
        return self._by_key.values()

    def get(self, token: Token) -> BookMember | None:
        """Return the member of a token, or None."""
        return self._by_key.get(member_key(token))

    def add(self, member: BookMember) -> None:
        """Add a member."""
        self._by_key[member_key(member.token)] = member

    def remove(self, member: BookMember) -> None:
        """Remove a member."""
        del self._by_key[member_key(member.token)]

    def free_without(self, victims: Iterable[BookMember]) -> Resources:
        """Return the resources that are free without some members."""
        excluded = {member_key(victim.token) for victim in victims}
        used = Resources()
        for key, member in self._by_key.items():
            if member.phase in OCCUPYING_PHASES and key not in excluded:
                used += member.needs
        return self._capacity.minus(used)

    def holds_to_preempt(self, reserve: Reserve) -> list[BookMember]:
        """Return the lower-precedence holds to preempt.

        They are taken in descending order of job identifier, only as
        many as are needed.

        Raises
        ------
        ReservationContendedError
            If the reservation fits only without members that are
            already armed, which are not preempted.
        NoCapacityError
            If the reservation does not fit even then.
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
                "a gang of lower precedence is armed; retry until it starts "
                "or ends"
            )
        raise NoCapacityError(
            f"{reserve.needs!r} exceeds the free resources "
            f"{self.free_without(())!r}"
        )

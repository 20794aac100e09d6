"""Failure detection from the times at which members were heard."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import attrs

from filbertlb.core.charts import Life
from filbertlb.core.charts import state_chart

if TYPE_CHECKING:
    from collections.abc import Iterator

    from filbertlb.core.membership_times import MembershipTimes

OBSERVER_PAUSE_S = 1.0
"""Time between two ticks from which the observer itself was paused."""

MAX_FORMER_INCARNATIONS = 8
"""Former incarnations that are remembered of one member."""


class MemberState(StrEnum):
    """States of a member; ``charts/endpoint.json`` holds the moves."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DRAINING = "draining"
    DEAD = "dead"
    LEFT = "left"
    FORGOTTEN = "forgotten"


_SILENT_STATES = (MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT)


class ChangeKind(StrEnum):
    """What became known about a member.

    Silence never proves that a member's work has stopped: ``DEAD`` ends
    new work for it and lets idempotent work run elsewhere, no more.
    Only afterwards ``RESUMED`` tells a pause or a cut from a death.
    """

    JOINED = "joined"
    REPLACED = "replaced"
    RESUMED = "resumed"
    SUSPECT = "suspect"
    DRAINING = "draining"
    DEAD = "dead"
    LEFT = "left"
    FORGOTTEN = "forgotten"


_CHANGE_BY_TRIGGER = {
    "silence": ChangeKind.SUSPECT,
    "drain": ChangeKind.DRAINING,
    "forget": ChangeKind.FORGOTTEN,
}


@attrs.frozen
class MemberMessage:
    """What one message tells about its sender.

    Parameters
    ----------
    sequence : int, optional
        Grows with every message of an incarnation; None if unnumbered.
    """

    member_id: str
    incarnation: str
    sequence: int | None = None
    draining: bool = False


@attrs.frozen
class MemberChange:
    """One change of what is known about a member."""

    member_id: str
    incarnation: str
    kind: ChangeKind


@attrs.define
class Member:
    """What is known about one member.

    Parameters
    ----------
    sequence : int
        Highest sequence heard of the incarnation.
    heard_at_s : float
        Monotonic time of the last message, in seconds.
    period_s : float
        Longest period that the member may still keep to, in seconds.
    told_period_s : float
        Period that it was told last, in seconds.
    """

    member_id: str
    incarnation: str
    heard_at_s: float
    period_s: float
    sequence: int = 0
    life: Life = attrs.Factory(lambda: state_chart("endpoint").new())
    assigned_period_s: float = attrs.field(init=False)
    _former_sequences: dict[str, int] = attrs.Factory(dict)
    _unconfirmed: MemberMessage | None = None

    def __attrs_post_init__(self) -> None:
        self.assigned_period_s = self.period_s

    @property
    def state(self) -> MemberState:
        """Return the state."""
        return MemberState(self.life.state)

    def accepts(self, message: MemberMessage) -> bool:
        """Tell whether a message is newer than all heard before.

        While the present incarnation is heard, another one is believed
        from its second message on and a former one never: one message
        may be late by any time.
        """
        sequence = message.sequence
        if message.incarnation == self.incarnation:
            return sequence is None or sequence > self.sequence
        last = self._former_sequences.get(message.incarnation, -1)
        if sequence is not None and sequence <= last:
            return False
        if self.life.state in _SILENT_STATES:
            return True
        if message.incarnation in self._former_sequences:
            return False
        earlier, self._unconfirmed = self._unconfirmed, message
        if earlier is None or earlier.incarnation != message.incarnation:
            return False
        return sequence is None or sequence > (earlier.sequence or 0)

    def replace(self, message: MemberMessage) -> None:
        """Take another incarnation for the present one."""
        self._former_sequences[self.incarnation] = self.sequence
        while len(self._former_sequences) > MAX_FORMER_INCARNATIONS:
            del self._former_sequences[next(iter(self._former_sequences))]
        self._former_sequences.pop(message.incarnation, None)
        self.incarnation = message.incarnation
        self.sequence = 0
        self.life = state_chart("endpoint").new()

    def touch(
        self, sequence: int | None, period_s: float, now_s: float
    ) -> None:
        """Take note of a message.

        The member may not have received the period told last, so the
        one before counts as well.
        """
        if sequence is not None:
            self.sequence = sequence
        self._unconfirmed = None
        self.heard_at_s = now_s
        self.period_s = max(self.assigned_period_s, period_s)
        self.assigned_period_s = period_s


class MemberTable:
    """Members by id, with their states.

    Parameters
    ----------
    times : MembershipTimes
        Times of announcements and of failure detection.
    """

    def __init__(self, times: MembershipTimes) -> None:
        self.by_id: dict[str, Member] = {}
        self._times = times
        self._ticked_at_s: float | None = None

    def set_times(self, times: MembershipTimes) -> None:
        """Use other times from now on."""
        self._times = times

    def record_message(
        self, message: MemberMessage, period_s: float, now_s: float
    ) -> list[MemberChange] | None:
        """Take note of a message.

        Parameters
        ----------
        period_s : float
            Period that the answer tells the member, in seconds.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        list of MemberChange or None
            Changes; None if the message is older than others.
        """
        member = self.by_id.get(message.member_id)
        changes: list[MemberChange] = []
        if member is None:
            member = Member(
                message.member_id, message.incarnation, now_s, period_s
            )
            self.by_id[message.member_id] = member
            changes.append(_change(member, ChangeKind.JOINED))
        elif not member.accepts(message):
            return None
        elif message.incarnation != member.incarnation:
            member.replace(message)
            changes.append(_change(member, ChangeKind.REPLACED))
        member.touch(message.sequence, period_s, now_s)
        changes += _transitions_on_message(member, message.draining)
        return changes

    def tick(self, now_s: float) -> list[MemberChange]:
        """Return what silence tells; to be called a few times a second.

        Time in which the observer itself was paused doesn't count as
        silence of the members.
        """
        self._discount_observer_pause(now_s)
        changes: list[MemberChange] = []
        for member in list(self.by_id.values()):
            changes += self._transitions_on_silence(member, now_s)
            if member.life.state == MemberState.FORGOTTEN:
                del self.by_id[member.member_id]
        return changes

    def usable_ids(self) -> list[str]:
        """Return the members that may get new work."""
        return [
            member.member_id
            for member in self.by_id.values()
            if member.life.state == MemberState.ALIVE
        ]

    def _discount_observer_pause(self, now_s: float) -> None:
        last_s, self._ticked_at_s = self._ticked_at_s, now_s
        if last_s is None or now_s - last_s <= OBSERVER_PAUSE_S:
            return
        for member in self.by_id.values():
            heard_at_s = member.heard_at_s + now_s - last_s
            member.heard_at_s = min(now_s, heard_at_s)

    def _transitions_on_silence(
        self, member: Member, now_s: float
    ) -> Iterator[MemberChange]:
        """Fire what is due; a long silence fires more than one."""
        silence_s = now_s - member.heard_at_s
        while True:
            state = member.life.state
            if state == MemberState.ALIVE:
                due_s = member.period_s * self._times.missed_suspect
                trigger = "silence"
            elif state in (MemberState.SUSPECT, MemberState.DRAINING):
                due_s = member.period_s * self._times.missed_dead
                trigger = "give_up"
            else:
                due_s = self._times.forget_s
                trigger = "forget"
            if silence_s < due_s or state == MemberState.FORGOTTEN:
                return
            yield _fire(member, trigger)


def _transitions_on_message(
    member: Member, draining: bool
) -> list[MemberChange]:
    state = member.life.state
    if draining:
        change = _fire(member, "drain")
        return [] if state == MemberState.DRAINING else [change]
    if state in (MemberState.DRAINING, MemberState.LEFT):
        # Leaving is final for an incarnation.
        return []
    if state == MemberState.ALIVE:
        return []
    state_chart("endpoint").fire(member.life, "announce")
    return [_change(member, ChangeKind.RESUMED)]


def _fire(member: Member, trigger: str) -> MemberChange:
    state_chart("endpoint").fire(member.life, trigger)
    kind = _CHANGE_BY_TRIGGER.get(trigger)
    return _change(member, kind or ChangeKind(member.life.state))


def _change(member: Member, kind: ChangeKind) -> MemberChange:
    return MemberChange(member.member_id, member.incarnation, kind)

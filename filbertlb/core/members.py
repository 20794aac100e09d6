"""Failure detection based on the arrival times of heartbeats."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import attrs

from filbertlb.core.charts import LifecycleState
from filbertlb.core.charts import state_chart

if TYPE_CHECKING:
    from collections.abc import Iterator

    from filbertlb.core.membership_times import MembershipTimes

OBSERVER_PAUSE_S = 1.0
"""Gap between two ticks, in seconds, that shows a pause of the observer."""
LATE_TICK_SILENCE_S = 0.125
"""Silence that such a gap counts for, in seconds.

The observer has run for a moment between two ticks. Without it no member
would be silent for an observer whose ticks are all late. It is so short that
a member is heard many times before it counts as dead, if it is well.
"""

MAX_FORMER_INCARNATIONS = 8
"""Number of former incarnations that are kept for each member."""


class MemberState(StrEnum):
    """States of a member; ``charts/endpoint.json`` has the transitions."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DRAINING = "draining"
    DEAD = "dead"
    LEFT = "left"
    FORGOTTEN = "forgotten"


_SILENT_STATES = (MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT)


class ChangeKind(StrEnum):
    """Kinds of membership changes.

    Missing heartbeats don't prove that the work of a member has stopped.
    ``DEAD`` therefore only means that the member gets no new work and
    that its idempotent work may run elsewhere. If the member was merely
    paused or partitioned, ``RESUMED`` follows once it is heard again.
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
    """Membership information of one received message.

    Parameters
    ----------
    sequence : int, optional
        Sequence number, which increases with every message of an
        incarnation; None if the messages aren't numbered.
    """

    member_id: str
    incarnation: str
    sequence: int | None = None
    draining: bool = False


@attrs.frozen
class MemberChange:
    """Change of the membership or of the state of a member."""

    member_id: str
    incarnation: str
    kind: ChangeKind


@attrs.define
class Member:
    """State of one member.

    Parameters
    ----------
    sequence : int
        Highest sequence number received from the incarnation.
    heard_at_s : float
        Monotonic time of the last message, in seconds.
    period_s : float
        Longest period that the member may currently use, in seconds.
    assigned_period_s : float
        Period last sent to the member, in seconds.
    """

    member_id: str
    incarnation: str
    heard_at_s: float
    period_s: float
    sequence: int = 0
    life: LifecycleState = attrs.Factory(lambda: state_chart("endpoint").new())
    assigned_period_s: float = attrs.field(init=False)
    _former_sequences: dict[str, int] = attrs.Factory(dict)
    _unconfirmed: MemberMessage | None = None

    def __attrs_post_init__(self) -> None:
        self.assigned_period_s = self.period_s

    @property
    def state(self) -> MemberState:
        """Return the current state of the chart."""
        return MemberState(self.life.state)

    def accepts(self, message: MemberMessage) -> bool:
        """Return whether a message is newer than all previous ones.

        A single message may arrive arbitrarily late. While the current
        incarnation isn't silent, another incarnation is therefore
        accepted only from its second message on, and a former one never.
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
        """Replace the current incarnation by that of the message."""
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
        """Record the arrival of a message.

        The member may not have received the period last sent to it, so
        the longer one of the previous and the new period applies.
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
        Timing of announcements and failure detection.
    """

    def __init__(self, times: MembershipTimes) -> None:
        self.by_id: dict[str, Member] = {}
        self._times = times
        self._ticked_at_s: float | None = None

    def set_times(self, times: MembershipTimes) -> None:
        """Replace the timing of failure detection."""
        self._times = times

    def record_message(
        self, message: MemberMessage, period_s: float, now_s: float
    ) -> list[MemberChange] | None:
        """Record a message from a member.

        Parameters
        ----------
        period_s : float
            Period that the answer sends to the member, in seconds.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        list of MemberChange or None
            Changes; None if the message is outdated.
        """
        if self._ticked_at_s is None:
            # A pause before the first tick is none of the members' silence.
            self._ticked_at_s = now_s
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
        """Return the changes caused by silence.

        To be called a few times a second. Time during which the observer
        itself was paused doesn't count as silence of the members, but for
        a moment.
        """
        self._discount_observer_pause(now_s)
        changes: list[MemberChange] = []
        for member in list(self.by_id.values()):
            changes += self._transitions_on_silence(member, now_s)
            if member.life.state == MemberState.FORGOTTEN:
                del self.by_id[member.member_id]
        return changes

    def usable_ids(self) -> list[str]:
        """Return the ids of the members that may get new work."""
        return [
            member.member_id
            for member in self.by_id.values()
            if member.life.state == MemberState.ALIVE
        ]

    def _discount_observer_pause(self, now_s: float) -> None:
        last_s, self._ticked_at_s = self._ticked_at_s, now_s
        if last_s is None or now_s - last_s <= OBSERVER_PAUSE_S:
            return
        paused_s = now_s - last_s - LATE_TICK_SILENCE_S
        for member in self.by_id.values():
            member.heard_at_s = min(now_s, member.heard_at_s + paused_s)

    def _transitions_on_silence(
        self, member: Member, now_s: float
    ) -> Iterator[MemberChange]:
        """Fire the due transitions; a long silence may fire several."""
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
        # An incarnation never returns from draining.
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

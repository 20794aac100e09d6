"""Tables of endpoints and entries, built from their announcements."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.core.members import ChangeKind
from filbertlb.core.members import MemberMessage
from filbertlb.core.members import MemberState
from filbertlb.core.members import MemberTable

if TYPE_CHECKING:
    from collections.abc import Iterable

    from filbertlb.core.members import MemberChange
    from filbertlb.core.membership_times import MembershipTimes
    from filbertlb.messages import Announce
    from filbertlb.messages import Beat
    from filbertlb.messages import EntryHello

BEATS_PER_ANSWER = 5
"""Number of beats per answer while there is nothing else to send."""


@attrs.frozen
class MessageOutcome:
    """Result of processing an announcement or a beat.

    Parameters
    ----------
    accepted : bool
        Whether the message is newer than all previous ones.
    answer : bool
        Whether to answer with an ``AnnounceAck``. Outdated messages get
        none, since the endpoint would take the answer for one to its
        latest message.
    wants_full : bool
        Whether to request the full announcement, which is missing here.
    changes : tuple of MemberChange
        Membership changes caused by the message.
    """

    accepted: bool
    answer: bool = False
    wants_full: bool = False
    changes: tuple[MemberChange, ...] = ()


class EndpointTable:
    """Endpoints known to one entry.

    Parameters
    ----------
    times : MembershipTimes
        Timing of announcements and failure detection.
    """

    def __init__(self, times: MembershipTimes) -> None:
        self.members = MemberTable(times)
        self.announce_by_id: dict[str, Announce] = {}
        self._unanswered_by_id: dict[str, int] = {}

    def announced(
        self, announce: Announce, period_s: float, now_s: float
    ) -> MessageOutcome:
        """Process a full announcement.

        Parameters
        ----------
        period_s : float
            Period that the answer sends to the endpoint, in seconds.
        now_s : float
            Monotonic time in seconds.
        """
        message = MemberMessage(
            announce.endpoint_id,
            announce.incarnation,
            announce.sequence,
            announce.draining,
        )
        changes = self.members.record_message(message, period_s, now_s)
        if changes is None:
            return MessageOutcome(accepted=False)
        self.announce_by_id[announce.endpoint_id] = announce
        self._unanswered_by_id[announce.endpoint_id] = 0
        return MessageOutcome(
            accepted=True, answer=True, changes=tuple(changes)
        )

    def beat(
        self,
        beat: Beat,
        period_s: float,
        now_s: float,
        has_update: bool = False,
    ) -> MessageOutcome:
        """Process a beat.

        A beat whose full announcement is unknown is ignored, and the full
        announcement is requested. Unless there is something to send, only
        one in ``BEATS_PER_ANSWER`` beats is answered.

        Parameters
        ----------
        period_s : float
            Period that an answer sends to the endpoint, in seconds.
        now_s : float
            Monotonic time in seconds.
        has_update : bool
            Whether the answer has news for the endpoint, such as a newer
            revision.
        """
        known = self.announce_by_id.get(beat.endpoint_id)
        if known is None or known.incarnation != beat.incarnation:
            return MessageOutcome(accepted=False, answer=True, wants_full=True)
        wants_full = beat.full > known.sequence
        answer = has_update or wants_full or self._needs_answer(beat, period_s)
        if not answer:
            period_s = self.members.by_id[beat.endpoint_id].assigned_period_s
        message = MemberMessage(
            beat.endpoint_id, beat.incarnation, beat.sequence, known.draining
        )
        changes = self.members.record_message(message, period_s, now_s)
        if changes is None:
            return MessageOutcome(accepted=False)
        self.announce_by_id[beat.endpoint_id] = attrs.evolve(
            known, in_flight=beat.in_flight
        )
        unanswered = self._unanswered_by_id[beat.endpoint_id] + 1
        self._unanswered_by_id[beat.endpoint_id] = 0 if answer else unanswered
        return MessageOutcome(
            accepted=True,
            answer=answer,
            wants_full=wants_full,
            changes=tuple(changes),
        )

    def tick(self, now_s: float) -> list[MemberChange]:
        """Return changes caused by silence; call a few times a second."""
        changes = self.members.tick(now_s)
        for change in changes:
            if change.kind is ChangeKind.FORGOTTEN:
                self.announce_by_id.pop(change.member_id, None)
                self._unanswered_by_id.pop(change.member_id, None)
        return changes

    def state(self, endpoint_id: str) -> MemberState | None:
        """Return the state of an endpoint, or None if it is unknown."""
        member = self.members.by_id.get(endpoint_id)
        return None if member is None else member.state

    def usable(self) -> list[Announce]:
        """Return the endpoints that may get new work."""
        return [self.announce_by_id[key] for key in self.members.usable_ids()]

    def unreachable_domains(self) -> frozenset[str]:
        """Return the failure domains in which no endpoint is heard.

        Such a domain may be partitioned from this entry rather than down.
        """
        heard: set[str] = set()
        known: set[str] = set()
        for key, announce in self.announce_by_id.items():
            known.add(announce.failure_domain)
            if self.state(key) in (MemberState.ALIVE, MemberState.DRAINING):
                heard.add(announce.failure_domain)
        return frozenset(known - heard)

    def _needs_answer(self, beat: Beat, period_s: float) -> bool:
        """Return whether the period must be sent to the endpoint again."""
        member = self.members.by_id[beat.endpoint_id]
        if member.assigned_period_s != period_s:
            return True
        unanswered = self._unanswered_by_id[beat.endpoint_id]
        return unanswered + 1 >= BEATS_PER_ANSWER


class EntryTable:
    """Entries known to one entry, including itself.

    Parameters
    ----------
    times : MembershipTimes
        Timing of announcements and failure detection.
    """

    def __init__(self, times: MembershipTimes) -> None:
        self.members = MemberTable(times)
        self.hello_by_id: dict[str, EntryHello] = {}
        self._times = times

    def heard(self, hello: EntryHello, now_s: float) -> list[MemberChange]:
        """Process a heartbeat of an entry."""
        message = MemberMessage(
            hello.entry_id, hello.incarnation, draining=hello.draining
        )
        changes = self.members.record_message(
            message, self._times.period_s, now_s
        )
        if changes is None:
            return []
        self.hello_by_id[hello.entry_id] = hello
        return changes

    def tick(self, now_s: float) -> list[MemberChange]:
        """Return changes caused by silence; call a few times a second."""
        changes = self.members.tick(now_s)
        for change in changes:
            if change.kind is ChangeKind.FORGOTTEN:
                self.hello_by_id.pop(change.member_id, None)
        return changes

    def usable_ids(self) -> list[str]:
        """Return the ids of the entries that may take over roles."""
        return sorted(self.members.usable_ids())

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses to which agents send announcements."""
        return _addresses(
            self.hello_by_id[key] for key in self.members.usable_ids()
        )


def _addresses(hellos: Iterable[EntryHello]) -> tuple[str, ...]:
    return tuple(sorted(hello.address for hello in hellos))

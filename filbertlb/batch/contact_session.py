"""Unbroken contact of an agent with the table, and who knows of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.workers import CONTACT_LOST_S

if TYPE_CHECKING:
    from filbertlb.batch.model import ReportMark


@attrs.define
class ContactSession:
    """Series of stored reports without a gap, and its confirmation.

    A decider that has given up the runs of a silent worker may not have seen
    yet that its agent is back, and the agent may not have seen the orders that
    follow. Orders are of no use then until they confirm a report that came
    after the gap.

    Parameters
    ----------
    registration : str
        Token of the agent process.

    Attributes
    ----------
    contact_s : float
        Monotonic time at which the latest stored report was sent.
    """

    registration: str
    contact_s: float = float("-inf")
    _first: int | None = None
    _mark: ReportMark | None = None

    def record_stored(
        self, sequence: int, sent_s: float, answered_s: float
    ) -> bool:
        """Record a stored report; return whether a session begins with it."""
        begins = self._broken(answered_s)
        if begins:
            self._first = sequence
        self.contact_s = sent_s
        return begins

    def record_confirmed(self, mark: ReportMark | None) -> None:
        """Record the latest report that the present orders confirm."""
        self._mark = mark

    def confirms(self, sequence: int) -> bool:
        """Return whether the present orders confirm a report."""
        mark = self._mark
        return mark is not None and mark.covers(self.registration, sequence)

    @property
    def confirmed(self) -> bool:
        """Whether the present orders confirm a report of this session."""
        return self._first is not None and self.confirms(self._first)

    def allows_starts(self, now_s: float) -> bool:
        """Return whether the decider knows of the present contact."""
        return self.confirmed and not self._broken(now_s)

    def awaited_sequence(self, sequence: int, sent_s: float) -> int:
        """Return the number of the report that must be confirmed.

        Parameters
        ----------
        sequence : int
            Number of the report that is about to be sent.
        sent_s : float
            Monotonic time.
        """
        if self._first is None or self._broken(sent_s):
            return sequence
        return self._first

    def _broken(self, now_s: float) -> bool:
        return now_s - self.contact_s >= CONTACT_LOST_S

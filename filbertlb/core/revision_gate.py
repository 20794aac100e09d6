"""The revision in force on one process, which never goes down."""

from __future__ import annotations

from enum import StrEnum

import attrs

from filbertlb.core.charts import LifecycleState
from filbertlb.core.charts import state_chart
from filbertlb.core.revisions import NO_REVISION
from filbertlb.core.revisions import Revision
from filbertlb.errors import ConflictError
from filbertlb.errors import UnavailableError

CONFIRMATION_TTL_S = 10.0
"""Seconds for which a process counts as current after a confirmation."""


class OlderRevisionError(ConflictError):
    """A command was decided under a revision that is not in force."""

    code = "older_revision"


class RevisionBehindError(UnavailableError):
    """The process must catch up with a newer revision first."""

    code = "revision_behind"


class Standing(StrEnum):
    """What a process knows about its own revision.

    ``charts/revision.json`` holds the transitions.
    """

    UNKNOWN = "unknown"
    CURRENT = "current"
    STALE = "stale"
    BEHIND = "behind"
    STOPPED = "stopped"


class Activity(StrEnum):
    """What a process may do depending on its standing."""

    FINISH = "finish_and_report_work"
    STOP_WORK = "stop_or_cancel_work"
    START_STOPPABLE = "start_work_that_may_be_stopped"
    START_OTHER = "start_any_work"
    CHANGE = "change_configuration"


_always = frozenset({Activity.FINISH, Activity.STOP_WORK})

ACTIVITIES_BY_STANDING: dict[Standing, frozenset[Activity]] = {
    Standing.UNKNOWN: _always,
    Standing.CURRENT: frozenset(Activity),
    Standing.STALE: _always | {Activity.START_STOPPABLE},
    Standing.BEHIND: _always,
    Standing.STOPPED: _always,
}


@attrs.define
class RevisionGate:
    """Tracks the revision in force and what is known of newer ones.

    Parameters
    ----------
    in_force : Revision, optional
        Configuration by which the process acts.
    highest_seen : int
        Highest number that any message or row has shown.
    """

    in_force: Revision | None = None
    highest_seen: int = NO_REVISION
    _confirmed_at_s: float | None = None
    _life: LifecycleState = attrs.Factory(
        lambda: state_chart("revision").new()
    )

    @property
    def number(self) -> int:
        """Return the number that the process puts into its messages."""
        return NO_REVISION if self.in_force is None else self.in_force.number

    def standing(self, now_s: float) -> Standing:
        """Return the standing at a monotonic time in seconds."""
        since_s = self._confirmed_at_s
        if since_s is not None and now_s - since_s >= CONFIRMATION_TTL_S:
            self._confirmed_at_s = None
            if self._life.state == Standing.CURRENT:
                self._fire("expire")
        return Standing(self._life.state)

    def allows(self, activity: Activity, now_s: float) -> bool:
        """Tell whether the process may do something now."""
        return activity in ACTIVITIES_BY_STANDING[self.standing(now_s)]

    def observe(self, number: int) -> bool:
        """Take note of a revision number in a message.

        Returns
        -------
        bool
            Whether the process must catch up before it obeys.
        """
        if number > self.highest_seen:
            self.highest_seen = number
            if number > self.number:
                self._fire("overtake")
        return number > self.number

    def accept_command(self, number: int) -> None:
        """Check the revision under which a command was decided.

        Raises
        ------
        OlderRevisionError
            If a higher one is in force or has been seen here.
        RevisionBehindError
            If a lower one is in force here.
        """
        if self.observe(number):
            raise RevisionBehindError(
                f"revision {number!r} is not in force here yet, "
                f"{self.number} is; send the command again",
                retry_after_s=1.0,
            )
        if number < self.highest_seen:
            raise OlderRevisionError(
                f"the command is of revision {number!r} but "
                f"{self.highest_seen} has been seen here; catch up and decide "
                "again"
            )

    def install(self, revision: Revision) -> bool:
        """Put a revision in force unless one as high is.

        Returns
        -------
        bool
            Whether it is new here; a lower one changes nothing.
        """
        if revision.number <= self.number:
            return False
        self.in_force = revision
        self.highest_seen = max(self.highest_seen, revision.number)
        if self.number == self.highest_seen:
            self._fire("install")
        return True

    def confirm(self, head: int, asked_at_s: float) -> bool:
        """Take note of the head number that the table service gave.

        Parameters
        ----------
        asked_at_s : float
            Monotonic time before the question was sent, in seconds.

        Returns
        -------
        bool
            Whether the process must catch up.
        """
        behind = self.observe(head)
        if head == self.number == self.highest_seen and head != NO_REVISION:
            since_s = self._confirmed_at_s
            self._confirmed_at_s = max(asked_at_s, since_s or asked_at_s)
            self._fire("confirm")
        return behind

    def stop(self) -> None:
        """Take note that the process is stopping."""
        self._fire("stop")

    def _fire(self, trigger: str) -> None:
        chart = state_chart("revision")
        if not chart.is_final(self._life.state):
            chart.fire(self._life, trigger)

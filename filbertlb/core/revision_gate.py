"""Configuration revision in force on one process; it never decreases."""

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
"""Seconds after a confirmation for which a process counts as current."""


class OlderRevisionError(ConflictError):
    """A command is based on a configuration revision that is outdated."""

    code = "older_revision"


class RevisionBehindError(UnavailableError):
    """The process must load a newer configuration revision first."""

    code = "revision_behind"


class Standing(StrEnum):
    """Whether a process's configuration revision is up to date.

    The transitions are defined in ``charts/revision.json``.
    """

    UNKNOWN = "unknown"
    CURRENT = "current"
    STALE = "stale"
    BEHIND = "behind"
    STOPPED = "stopped"


class Activity(StrEnum):
    """Operations that depend on the standing of a process."""

    FINISH = "finish_and_report_work"
    STOP_WORK = "stop_or_cancel_work"
    START_STOPPABLE = "start_work_that_may_be_stopped"
    START_OTHER = "start_any_work"
    CHANGE = "change_configuration"


_ALWAYS_ALLOWED = frozenset({Activity.FINISH, Activity.STOP_WORK})

ACTIVITIES_BY_STANDING: dict[Standing, frozenset[Activity]] = {
    Standing.UNKNOWN: _ALWAYS_ALLOWED,
    Standing.CURRENT: frozenset(Activity),
    Standing.STALE: _ALWAYS_ALLOWED | {Activity.START_STOPPABLE},
    Standing.BEHIND: _ALWAYS_ALLOWED,
    Standing.STOPPED: _ALWAYS_ALLOWED,
}


@attrs.define
class RevisionGate:
    """Tracks the revision in force and the highest one known to exist.

    Parameters
    ----------
    in_force : Revision, optional
        Revision whose configuration the process applies.
    highest_seen : int
        Highest revision number received in a message or read from a
        row.
    """

    in_force: Revision | None = None
    highest_seen: int = NO_REVISION
    _confirmed_at_s: float | None = None
    _lifecycle: LifecycleState = attrs.Factory(
        lambda: state_chart("revision").new()
    )

    @property
    def number(self) -> int:
        """Return the revision number that the process sends in messages."""
        return NO_REVISION if self.in_force is None else self.in_force.number

    def standing(self, now_s: float) -> Standing:
        """Return the standing at a monotonic time in seconds."""
        since_s = self._confirmed_at_s
        if since_s is not None and now_s - since_s >= CONFIRMATION_TTL_S:
            self._confirmed_at_s = None
            if self._lifecycle.state == Standing.CURRENT:
                self._fire("expire")
        return Standing(self._lifecycle.state)

    def allows(self, activity: Activity, now_s: float) -> bool:
        """Return whether an operation is allowed at a monotonic time."""
        return activity in ACTIVITIES_BY_STANDING[self.standing(now_s)]

    def observe(self, number: int) -> bool:
        """Process the revision number of a message.

        Returns
        -------
        bool
            Whether the process must load a newer revision before it acts
            on the message.
        """
        if number > self.highest_seen:
            self.highest_seen = number
            if number > self.number:
                self._fire("overtake")
        return number > self.number

    def accept_command(self, number: int) -> None:
        """Check the revision that a command is based on.

        Raises
        ------
        OlderRevisionError
            If this process knows a higher revision.
        RevisionBehindError
            If a lower revision is in force on this process.
        """
        if self.observe(number):
            raise RevisionBehindError(
                f"revision {number!r} is not in force on this process yet, "
                f"{self.number} is; send the command again",
                retry_after_s=1.0,
            )
        if number < self.highest_seen:
            raise OlderRevisionError(
                f"the command is based on revision {number!r} but revision "
                f"{self.highest_seen} exists; load it and decide again"
            )

    def install(self, revision: Revision) -> bool:
        """Put a revision in force unless the same or a higher one is.

        Returns
        -------
        bool
            Whether the revision in force has changed.
        """
        if revision.number <= self.number:
            return False
        self.in_force = revision
        self.highest_seen = max(self.highest_seen, revision.number)
        if self.number == self.highest_seen:
            self._fire("install")
        return True

    def confirm(self, head: int, asked_at_s: float) -> bool:
        """Process the latest revision number read from the table service.

        Parameters
        ----------
        asked_at_s : float
            Monotonic time before the read request was sent, in seconds.

        Returns
        -------
        bool
            Whether the process must load a newer revision.
        """
        is_behind = self.observe(head)
        if head == self.number == self.highest_seen and head != NO_REVISION:
            since_s = self._confirmed_at_s
            self._confirmed_at_s = max(asked_at_s, since_s or asked_at_s)
            self._fire("confirm")
        return is_behind

    def stop(self) -> None:
        """Mark the process as stopping."""
        self._fire("stop")

    def _fire(self, trigger: str) -> None:
        chart = state_chart("revision")
        if not chart.is_final(self._lifecycle.state):
            chart.fire(self._lifecycle, trigger)

"""A member of a gang in a reservation book."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from filbertlb.messages import StopMode
from filbertlb.messages import TaskPhase
from filbertlb.messages import TaskStatus

if TYPE_CHECKING:
    from filbertlb.core.model import Resources
    from filbertlb.messages import Reserve
    from filbertlb.messages import Token


_SEVERITY_BY_MODE = {
    StopMode.CHECKPOINT: 0,
    StopMode.STOP: 1,
    StopMode.CANCEL: 2,
}


@attrs.define
class BookMember:
    """A member that is held, armed, running or ended.

    Parameters
    ----------
    expires_s : float
        Time at which a held or armed member expires, in seconds;
        infinite once the member runs.
    stop_mode : StopMode, optional
        Mode of the latest stop command.
    stop_due_s : float
        Time at which the member is cancelled, in seconds.
    report_due_s : float
        Time at which its end is reported next, in seconds.
    """

    token: Token
    job_id: str
    organisation_id: str
    needs: Resources
    phase: TaskPhase
    expires_s: float = math.inf
    command: str = ""
    checkpoint: str = ""
    detail: str = ""
    stop_mode: StopMode | None = None
    stop_due_s: float = math.inf
    report_due_s: float = math.inf

    @property
    def status(self) -> TaskStatus:
        """Return the status sent in announcements and end reports."""
        return TaskStatus(
            token=self.token,
            job_id=self.job_id,
            organisation_id=self.organisation_id,
            phase=self.phase,
            needs=self.needs,
            detail=self.detail,
            checkpoint=self.checkpoint,
        )

    def is_preempted_by(self, reserve: Reserve) -> bool:
        """Return whether a reservation takes precedence over this member.

        Job identifiers are ordered totally and identically at every
        agent, so one of the competing gangs wins at all of them. A
        decider that was replaced cannot complete a start here, so its
        members are preempted by reservations of its successor.
        """
        if self.token.attempt_id == reserve.token.attempt_id:
            return False
        is_superseded = (
            self.token.scope == reserve.token.scope
            and self.token.epoch < reserve.token.epoch
        )
        return is_superseded or self.job_id > reserve.job_id

    def is_escalated_by(self, mode: StopMode) -> bool:
        """Return whether this mode is more severe than the latest stop."""
        if self.stop_mode is None:
            return True
        return _SEVERITY_BY_MODE[mode] > _SEVERITY_BY_MODE[self.stop_mode]

"""One member as a reservation book keeps it."""

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
        Time at which a hold or arm lapses, in seconds; infinite once
        the member runs.
    stop_mode : StopMode, optional
        How it was last asked to stop.
    stop_due_s : float
        Time at which it is stopped by force, in seconds.
    report_due_s : float
        Time of the next report of its end, in seconds.
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
        """Return the member as it is announced and reported."""
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
        """Tell whether this member's gang is the weaker one.

        The order of job identifiers is total and the same at every
        agent, so of any gangs that compete one prevails everywhere.
        A decider that was replaced cannot finish a start here, so what
        it holds yields to its successor.
        """
        if self.token.attempt_id == reserve.token.attempt_id:
            return False
        is_superseded = (
            self.token.scope == reserve.token.scope
            and self.token.epoch < reserve.token.epoch
        )
        return is_superseded or self.job_id > reserve.job_id

    def is_escalated_by(self, mode: StopMode) -> bool:
        """Tell whether a stop of this mode goes beyond the last one."""
        if self.stop_mode is None:
            return True
        return _SEVERITY_BY_MODE[mode] > _SEVERITY_BY_MODE[self.stop_mode]

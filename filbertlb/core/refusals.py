"""Errors with which an agent rejects commands; the codes are stable."""

from __future__ import annotations

from filbertlb.errors import ConflictError
from filbertlb.errors import NotFoundError
from filbertlb.errors import UnavailableError


class StaleEpochError(ConflictError):
    """A decider with a higher epoch has taken over the scope."""

    code = "stale_epoch"


class StaleIncarnationError(ConflictError):
    """The token was issued to another incarnation of the agent."""

    code = "stale_incarnation"


class TokenClosedError(ConflictError):
    """The member was aborted, its reservation expired, or it ended."""

    code = "token_closed"


class TokenTooOldError(ConflictError):
    """The agent no longer keeps closed tokens as old as this one."""

    code = "token_too_old"


class AlreadyStartedError(ConflictError):
    """The member has started; it can be stopped but not aborted."""

    code = "already_started"


class NotHeldError(NotFoundError):
    """The agent has no reservation for the member."""

    code = "not_held"


class NotArmedError(ConflictError):
    """The member has not been armed."""

    code = "not_armed"


class NoCapacityError(UnavailableError):
    """The member needs more than reservations and running tasks leave."""

    code = "no_capacity"


class ReservationContendedError(UnavailableError):
    """The member needs resources of a lower-precedence gang being started."""

    code = "reservation_contended"


class AgentDrainingError(UnavailableError):
    """The agent is draining and accepts no new work."""

    code = "draining"


class ReportBacklogError(UnavailableError):
    """Too many reports of ended members await acknowledgement."""

    code = "report_backlog"

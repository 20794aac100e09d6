"""Refusals of commands about members, each with a stable code."""

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
    """The member was given up, expired or ended."""

    code = "token_closed"


class TokenTooOldError(ConflictError):
    """The token is older than what the agent remembers."""

    code = "token_too_old"


class AlreadyStartedError(ConflictError):
    """The member has started; it can be stopped, not given up."""

    code = "already_started"


class NotHeldError(NotFoundError):
    """The agent holds nothing for the member."""

    code = "not_held"


class NotArmedError(ConflictError):
    """The member has not reached the barrier."""

    code = "not_armed"


class NoCapacityError(UnavailableError):
    """The member does not fit beside what is held and running."""

    code = "no_capacity"


class ReservationContendedError(UnavailableError):
    """The member fits once a weaker gang that is starting gives way."""

    code = "reservation_contended"


class AgentDrainingError(UnavailableError):
    """The agent is leaving and takes no new work."""

    code = "draining"


class ReportBacklogError(UnavailableError):
    """Too many ended members wait for their acknowledgement."""

    code = "report_backlog"

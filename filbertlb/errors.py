"""Base classes of every failure the package reports."""

from __future__ import annotations

from enum import StrEnum
from typing import ClassVar


class Ran(StrEnum):
    """What is known about whether the work of a request started."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class FilbertlbError(Exception):
    """Failure with a stable code.

    Parameters
    ----------
    message : str
        What is wrong, with the bad value, and how to mend it.
    ran : Ran, optional
        Overrides the class default where the failure itself knows more.
    retry_after_s : float, optional
        Seconds after which a retry is worthwhile.
    """

    code: ClassVar[str] = "internal"
    status: ClassVar[int] = 500
    default_ran: ClassVar[Ran] = Ran.NO

    def __init__(
        self,
        message: str,
        *,
        ran: Ran | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.ran = self.default_ran if ran is None else ran
        self.retry_after_s = retry_after_s


class InvalidInputError(FilbertlbError):
    """A value given by a caller or an operator is not acceptable."""

    code = "invalid_input"
    status = 400


class NotFoundError(FilbertlbError):
    """The named object does not exist or is not visible to the caller."""

    code = "not_found"
    status = 404


class ConflictError(FilbertlbError):
    """The change is based on a state that is no longer current."""

    code = "conflict"
    status = 409


class UnavailableError(FilbertlbError):
    """The work was not accepted and may be tried again later."""

    code = "unavailable"
    status = 503


class OutcomeUnknownError(FilbertlbError):
    """The work may or may not have run; ask again for its outcome."""

    code = "outcome_unknown"
    status = 504
    default_ran = Ran.UNKNOWN

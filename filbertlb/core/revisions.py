"""Numbered revisions of a site's configuration and changes to them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.core.config_diff import diff
from filbertlb.core.config_diff import render_diff
from filbertlb.core.site import SiteConfig
from filbertlb.errors import ConflictError
from filbertlb.errors import InvalidInputError
from filbertlb.ranges import Int64

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from filbertlb.core.config_diff import Change

    ConfigCheck = Callable[[SiteConfig, SiteConfig | None], Sequence[str]]

NO_REVISION = 0
"""Revision number that means that there is no configuration yet."""


class RevisionConflictError(ConflictError):
    """Another change was applied after the revision this one is based on.

    Parameters
    ----------
    head : Revision, optional
        The latest revision; None if there is none.
    """

    code = "revision_conflict"

    def __init__(self, message: str, head: Revision | None) -> None:
        super().__init__(message)
        self.head = head


class ConfigRefusedError(InvalidInputError):
    """The configuration violates a constraint, such as a guarantee.

    Parameters
    ----------
    problems : sequence of str
        Violated constraints, such as guarantees without a placement.
    """

    code = "config_refused"
    status = 409

    def __init__(self, problems: Sequence[str]) -> None:
        lines = "\n".join(f"- {problem}" for problem in problems)
        super().__init__(f"the change is refused:\n{lines}")
        self.problems = tuple(problems)


@attrs.frozen
class Revision:
    """One accepted configuration; immutable.

    Parameters
    ----------
    number : int
        Consecutive number, from 1.
    author : str
        Operator who applied it.
    at_s : float
        Wall time of acceptance in seconds since the Unix epoch.
    token : str
        Idempotency token of the request that applied it; a repeated
        request with the same token returns this revision.
    note : str
        Reason given by the operator.
    rolled_back_to : int
        Revision whose configuration it restores, or NO_REVISION.
    """

    number: Int64
    config: SiteConfig
    author: str
    at_s: float
    token: str
    note: str = ""
    rolled_back_to: Int64 = NO_REVISION


@attrs.frozen
class ChangeRequest:
    """An operator's request to change the configuration.

    Parameters
    ----------
    based_on : int
        Latest revision known to the operator; the change is rejected if
        it is no longer the head.
    """

    config: SiteConfig
    based_on: int
    author: str
    token: str
    note: str = ""
    rolled_back_to: Int64 = NO_REVISION


@attrs.frozen
class ChangePlan:
    """Effect of a change that has not been applied.

    Parameters
    ----------
    revision : Revision
        The revision that the change would create.
    changes : tuple of Change
        Differences from the head.
    problems : tuple of str
        Constraints that it would violate; empty if it may be applied.
    """

    revision: Revision
    changes: tuple[Change, ...]
    problems: tuple[str, ...]

    def render(self) -> str:
        """Format the changes and the problems as text."""
        text = render_diff(self.changes)
        if not self.problems:
            return text
        lines = "\n".join(f"- {problem}" for problem in self.problems)
        return f"{text}\n\nwould break:\n{lines}"


def plan_change(
    request: ChangeRequest,
    head: Revision | None,
    base: Revision | None,
    now_s: float,
    check: ConfigCheck,
) -> ChangePlan:
    """Compute the effect of a change without applying it.

    Parameters
    ----------
    head : Revision, optional
        The latest revision; None if there is none.
    base : Revision, optional
        The revision that the request is based on; used in the message
        of a conflict.
    now_s : float
        Wall time in seconds.
    check : callable
        Returns the constraints that the new configuration violates and
        the previous one, None for the first, does not.

    Raises
    ------
    RevisionConflictError
        If the head is not the revision that the request is based on.
    """
    number = NO_REVISION if head is None else head.number
    if request.based_on != number:
        raise conflict(request, head, base)
    config = None if head is None else head.config
    revision = Revision(
        number=number + 1,
        config=request.config,
        author=request.author,
        at_s=now_s,
        token=request.token,
        note=request.note,
        rolled_back_to=request.rolled_back_to,
    )
    problems = [*_identity_problems(config, request.config)]
    problems += check(request.config, config)
    return ChangePlan(revision, diff(config, request.config), tuple(problems))


def conflict(
    request: ChangeRequest, head: Revision | None, base: Revision | None
) -> RevisionConflictError:
    """Return an error that shows the changes made since the base revision."""
    if head is None:
        message = (
            f"the change is based on revision {request.based_on!r} but there "
            "is no revision yet; base it on 0"
        )
        return RevisionConflictError(message, head)
    intervening_changes = render_diff(
        diff(base.config if base else None, head.config)
    )
    message = (
        f"the change is based on revision {request.based_on!r} but the head "
        f"is {head.number}, by {head.author!r}"
        f"{f' ({head.note})' if head.note else ''}; "
        f"changed since:\n{intervening_changes}\n"
        f"review the changes and apply again, based on {head.number}"
    )
    return RevisionConflictError(message, head)


def _identity_problems(
    before: SiteConfig | None, after: SiteConfig
) -> list[str]:
    if before is None or before.site == after.site:
        return []
    return [
        f"site: {after.site!r} is not the name of this site, "
        f"{before.site!r}; use the overlay of this site"
    ]

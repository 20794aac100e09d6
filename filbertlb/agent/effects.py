"""Effects that a reservation book requests from its agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from filbertlb.core.model import Resources
    from filbertlb.messages import Done
    from filbertlb.messages import Refused
    from filbertlb.messages import StopMode
    from filbertlb.messages import TaskEnded
    from filbertlb.messages import Token


@attrs.frozen
class StartTask:
    """Start a member on the worker; issued once per member."""

    token: Token
    job_id: str
    organisation_id: str
    needs: Resources
    command: str
    checkpoint: str


@attrs.frozen
class StopTask:
    """Stop a running member on the worker.

    Parameters
    ----------
    within_s : float
        Time left for the member to stop, in seconds; 0 ends it
        immediately.
    """

    token: Token
    mode: StopMode
    within_s: float


@attrs.frozen
class ForgetTask:
    """Discard the data kept for an ended member."""

    token: Token


@attrs.frozen
class ReportEnd:
    """Report the end of a member to the decider."""

    message: TaskEnded


BookEffect = StartTask | StopTask | ForgetTask | ReportEnd


@attrs.frozen
class BookAnswer:
    """Reply to a command, with its effects.

    Parameters
    ----------
    reply : Done or Refused
        Sent to the decider after the effects are executed.
    effects : tuple of BookEffect
        Executed in order.
    """

    reply: Done | Refused
    effects: tuple[BookEffect, ...] = ()

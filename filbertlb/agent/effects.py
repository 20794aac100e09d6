"""What a reservation book asks of the worker and the network."""

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
    """Start a member on the worker; given once for a member."""

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
        Time that the worker has left, in seconds; 0 ends it at once.
    """

    token: Token
    mode: StopMode
    within_s: float


@attrs.frozen
class ForgetTask:
    """Drop what the worker keeps about an ended member."""

    token: Token


@attrs.frozen
class ReportEnd:
    """Tell the decider that a member has ended."""

    message: TaskEnded


BookEffect = StartTask | StopTask | ForgetTask | ReportEnd


@attrs.frozen
class BookAnswer:
    """Reply to a command and what is to be done for it.

    Parameters
    ----------
    reply : Done or Refused
        Sent to the decider after the effects are carried out.
    effects : tuple of BookEffect
        Carried out in order.
    """

    reply: Done | Refused
    effects: tuple[BookEffect, ...] = ()

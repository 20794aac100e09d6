"""State of one run as its agent knows it."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from filbertlb.core.amounts import Amount


class RunPhase(StrEnum):
    """What the agent knows of a run."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@attrs.define
class LocalRun:
    """One run at the agent's worker.

    Parameters
    ----------
    needs_known : bool
        It was ordered; what it needs is known.
    acked_s : float
        When the worker answered the start or stop last; 0 for never.
    retry_s : float
        When the next call about it is due.
    start_unanswered : bool
        A start of it may still be carried out.
    """

    needs: Amount
    phase: RunPhase
    needs_known: bool = True
    acked_s: float = 0.0
    retry_s: float = 0.0
    in_flight: bool = False
    tries: int = 0
    start_unanswered: bool = False
    saved: str = ""
    percent: int = 0

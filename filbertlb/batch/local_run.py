"""State of one run as seen by the agent."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from filbertlb.core.amounts import Amount

MAX_CALL_S = 2.5
"""Time after which a call counts as unanswered, whatever became of it.

Calls have shorter timeouts. One that never returns must not keep the run
from being stopped.
"""


class RunPhase(StrEnum):
    """Phase of a run as seen by the agent."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@attrs.define
class LocalRun:
    """One run on the agent's worker.

    Parameters
    ----------
    needs : Amount or None
        Resources that the run uses; None if it was not ordered.
    started_s : float, optional
        Monotonic time at which this agent process first sent the start.
    acked_s : float
        Monotonic time of the worker's answer to a start of the run or of
        the last request for a listing that showed it running; once the run
        is being stopped, of the first answer to a stop. 0 if there is none.
    retry_s : float
        Monotonic time at which the next call for the run is due.
    answer_due_s : float
        Monotonic time until which a call for the run awaits its answer; 0
        if there is none.
    tries : int
        Number of starts that were not confirmed.
    start_unanswered : bool
        A start had no answer, so the worker may still carry it out.
    saved : str
        Last checkpoint that the worker listed.
    percent : int
        Share of the work that is done, as the worker listed it.
    listed_s : float, optional
        Monotonic time of the listing with that share.
    running_since_s : float, optional
        Monotonic time from which this agent process knows the run to be in
        progress; None if it began under an earlier process.
    """

    needs: Amount | None
    phase: RunPhase
    started_s: float | None = None
    acked_s: float = 0.0
    retry_s: float = 0.0
    answer_due_s: float = 0.0
    tries: int = 0
    start_unanswered: bool = False
    saved: str = ""
    percent: int = 0
    listed_s: float | None = None
    running_since_s: float | None = None

    def run_ms(self, until_s: float) -> int | None:
        """Return the age of the run at a time; None if that is unknown."""
        if self.running_since_s is None or until_s < self.running_since_s:
            return None
        return round(1000 * (until_s - self.running_since_s))

    def age_ms(self, now_s: float) -> int:
        """Return the time since the worker listed the run; 0 if unknown."""
        if self.listed_s is None:
            return 0
        return max(0, round(1000 * (now_s - self.listed_s)))

    def call_sent(self, now_s: float) -> None:
        """Record that a call for the run is sent."""
        self.answer_due_s = now_s + MAX_CALL_S

    def call_ended(self, retry_s: float) -> None:
        """Record that a call got its answer, or will get none."""
        self.answer_due_s = 0.0
        self.retry_s = retry_s

    def awaits_answer(self, now_s: float) -> bool:
        """Return whether a call for the run may still be answered."""
        return now_s < self.answer_due_s

    @property
    def start_pending(self) -> bool:
        """Whether a start without an answer may yet be carried out."""
        return self.start_unanswered or (
            self.answer_due_s > 0 and self.phase is not RunPhase.STOPPING
        )

    @property
    def may_have_begun(self) -> bool:
        """Whether the worker may have begun the run.

        It has not if it refused each start that was sent.
        """
        return self.phase is not RunPhase.STARTING or self.start_pending

    def call_due(self, now_s: float) -> bool:
        """Return whether the next call for the run may be sent."""
        return not self.awaits_answer(now_s) and now_s >= self.retry_s

"""How the runs of a stand-in worker go, as the payload of their job tells."""

from __future__ import annotations

import msgspec

from filbertlb.batch.model import EndCause
from filbertlb.decoding import decode_json

DEFAULT_RUN_MS = 50
DEFAULT_BREAK_MS = 20


class RunPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Course of the runs of one task, or of one gang.

    Parameters
    ----------
    run_ms : int
        Time from the start of a run, or of the last member, until it is done.
    failures : tuple of dict of int to int
        For each of the first attempts, the time in milliseconds after which
        tasks fail, by the index in their name.
    members : int
        Number of tasks of the gang; 0 if the tasks form none.
    break_ms : int
        Time from the end of a member until the others end as broken.
    """

    run_ms: int = DEFAULT_RUN_MS
    failures: tuple[dict[int, int], ...] = ()
    members: int = 0
    break_ms: int = DEFAULT_BREAK_MS

    def failing(self, attempt: int) -> dict[int, int]:
        """Return when tasks fail in an attempt, by their index."""
        if attempt > len(self.failures):
            return {}
        return self.failures[attempt - 1]

    def ending(self, task: str, attempt: int) -> tuple[int, EndCause]:
        """Return after how many milliseconds a run ends by itself, and how."""
        failing = self.failing(attempt)
        index = int(task.rpartition(".")[2])
        if index in failing:
            return failing[index], EndCause.FAILED
        return self.run_ms, EndCause.DONE


def decode_plan(payload: str) -> RunPlan:
    """Return the plan in a payload: digits are a time, JSON is a plan.

    Raises
    ------
    MalformedDataError
        If the payload begins as JSON and is no plan.
    """
    if payload.startswith("{"):
        return decode_json(payload, RunPlan)
    if payload.isdigit():
        return RunPlan(int(payload))
    return RunPlan()

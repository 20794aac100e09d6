"""Stops of a worker's runs: when they are sent, and their replies."""

from __future__ import annotations

from typing import TYPE_CHECKING

from filbertlb.batch.local_run import RunPhase
from filbertlb.batch.worker_link import StopCall

if TYPE_CHECKING:
    from filbertlb.batch.local_run import LocalRun
    from filbertlb.batch.model import RunKey

STOP_RETRY_S = 0.6


def stop(key: RunKey, run: LocalRun, now_s: float) -> StopCall | None:
    """Return the stop of a run to send now; None if none is due."""
    if run.awaits_answer(now_s):
        return None
    if run.phase is not RunPhase.STOPPING:
        run.phase = RunPhase.STOPPING
        run.acked_s = 0.0
        run.retry_s = now_s
    if not run.call_due(now_s):
        return None
    run.call_sent(now_s)
    return StopCall(*key)


def record_stop_reply(run: LocalRun, answered: bool, now_s: float) -> None:
    """Record the reply to a stop.

    The first answer counts: from then on the worker starts no such run, so
    the next listing without it proves that it has ended.
    """
    run.call_ended(now_s + STOP_RETRY_S)
    if answered and not run.acked_s:
        run.acked_s = now_s

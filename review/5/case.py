"""Starts sent to a runner that has come back are given up, yet run."""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins.deployment import after  # noqa: E402
from standins.deployment import Deployment  # noqa: E402
from standins.deployment import HEARTBEAT_MS  # noqa: E402
from standins.deployment import overlaps  # noqa: E402
from standins.deployment import run_case  # noqa: E402
from standins.runner import Runner  # noqa: E402

DOWN_S = 0.3
FIRST_BEAT_S = HEARTBEAT_MS / 1000 / 2
"""Mean time from any moment until the next of its periodic reports."""
WORK_S = 10.0
JOB = "1" * 16


def _crash(runner: Runner, _: str) -> None:
    """Crash while a start is carried out; come back under the same id."""
    runner.on_start = None
    runner.end("crash")
    after(DOWN_S, lambda: runner.boot(first_beat_s=FIRST_BEAT_S))


def play(deployment: Deployment, trouble: bool) -> list[str]:
    """Submit a job; the runner that begins its task crashes once."""
    for runner in deployment.runners:
        runner.on_start = _crash if trouble else None
    after(0.3, lambda: _keep_others(deployment))
    deployment.submit(JOB, WORK_S, gpu=1)
    time.sleep(WORK_S + 6.0)
    deployment.state(JOB)
    return overlaps(deployment.intervals(), deployment.record.now_s())


def _keep_others(deployment: Deployment) -> None:
    for runner in deployment.runners:
        runner.on_start = None


sys.exit(run_case(__file__, 2, play))

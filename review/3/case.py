"""Work of a leaving runner starts elsewhere while the runner still works."""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins.deployment import Deployment  # noqa: E402
from standins.deployment import overlaps  # noqa: E402
from standins.deployment import run_case  # noqa: E402
from standins.link import Link  # noqa: E402

DRAIN_S = 2.5
END_WITHOUT_ANSWER_S = 3.0
JOBS = 3
WORK_S = 14.0


def play(deployment: Deployment, trouble: bool) -> list[str]:
    """Let the busiest runner leave while its connection is reset."""
    jobs = [f"{number:016x}" for number in range(JOBS)]
    for job_id in jobs:
        deployment.submit(job_id, WORK_S, gpu=1)
    deployment.wait(
        lambda: len(deployment.intervals()) == JOBS, 5.0, "the jobs run"
    )
    runner = max(deployment.runners, key=lambda one: len(one.running()))
    link = Link(runner.admin)
    runner.admin = link.address
    time.sleep(1.0)
    runner.draining = True
    acked = runner.send_beat()
    deployment.record.write(f"{runner.name} drains, acknowledged: {acked}")
    time.sleep(DRAIN_S)
    link.lose_answers = trouble
    deployment.record.write(f"{runner.name} sends DELETE")
    acked = runner.call_admin("DELETE", None, runner.admin)
    deployment.record.write(f"DELETE acknowledged: {acked}")
    if not acked:
        time.sleep(END_WITHOUT_ANSWER_S)
    runner.end("leaves")
    time.sleep(WORK_S + 2.0)
    for job_id in jobs:
        deployment.state(job_id)
    return overlaps(deployment.intervals(), deployment.record.now_s())


sys.exit(run_case(__file__, 2, play))

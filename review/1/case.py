"""A runner's late farewell is taken for that of its next life."""

from __future__ import annotations

import http.client
import json
import sys
import time
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins.deployment import after  # noqa: E402
from standins.deployment import Deployment  # noqa: E402
from standins.deployment import overlaps  # noqa: E402
from standins.deployment import run_case  # noqa: E402
from standins.link import Link  # noqa: E402
from standins.runner import Runner  # noqa: E402

DRAIN_S = 2.5
CUT_S = 3.5
"""The DELETE is repeated after 0.2, 0.6, 1.4, 3.0 and 6.2 s."""
END_WITHOUT_ANSWER_S = 2.0
DOWN_S = 1.0
JOBS = 4
WORK_S = 12.0


def _leave(runner: Runner, link: Link, cut: bool) -> None:
    """Drain, send the farewell and end, on one kept connection."""
    record = runner.record
    connection = http.client.HTTPConnection(*link.address, timeout=1.0)
    path = f"/filbertlb/instances/{runner.id}"
    headers = {"Content-Type": "application/json"}
    runner.draining = True
    beat = json.dumps(runner.beat())
    connection.request("PUT", path, beat, headers)
    status = connection.getresponse().read()
    record.write(f"runner w1 drains, acknowledged {status!r}")
    time.sleep(DRAIN_S)
    if cut:
        record.write("the link between runner w1 and its machine is cut")
        link.cut()
        after(CUT_S, lambda: _heal(runner, link))
    record.write("runner w1 sends DELETE")
    with suppress(OSError, http.client.HTTPException):
        connection.request("DELETE", path)
        record.write(f"DELETE answered {connection.getresponse().status}")
    if cut:
        time.sleep(END_WITHOUT_ANSWER_S)
    connection.close()
    runner.end("leaves")


def _heal(runner: Runner, link: Link) -> None:
    runner.record.write("the link heals")
    link.heal()


def play(deployment: Deployment, trouble: bool) -> list[str]:
    """Let w1 leave and come back under its id, then submit jobs."""
    runner = deployment.runner("w1")
    link = Link(runner.admin)
    runner.admin = link.address
    _leave(runner, link, trouble)
    time.sleep(DOWN_S)
    runner.boot()
    deployment.wait(lambda: runner.acked, 5.0, "w1 is registered again")
    time.sleep(1.0)
    jobs = [f"{number:016x}" for number in range(JOBS)]
    for job_id in jobs:
        deployment.submit(job_id, WORK_S, gpu=1)
    time.sleep(14.0)
    # It can only run on w1, which is up and reports itself every 1.5 s.
    deployment.submit("f" * 16, 1.0, gpu=1, requiredLabel="only-w1")
    time.sleep(6.0)
    for job_id in [*jobs, "f" * 16]:
        deployment.state(job_id)
    return overlaps(deployment.intervals(), deployment.record.now_s())


sys.exit(run_case(__file__, 2, play))

"""Soak: real processes, seeded faults, promises seen from outside.

``FILBERTLB_SOAK_SEEDS=100-149 .venv/bin/python -m pytest tests/soak`` plays
other seeds than CI does.
"""

from __future__ import annotations

from os import environ
from random import Random
from time import monotonic

import attrs
import pytest
from gevent import sleep
from gevent import spawn

from filbertlb.batch.model import EndCause
from filbertlb.batch.model import JobState
from tests.soak.faults import inject
from tests.soak.jobs import submit_at_random
from tests.soak.site import running_site

CI_SEEDS = "1-3"
FAULTS_S = 14.0
FAULT_PERIOD_S = 0.5
JOB_PERIOD_S = 0.3
POLL_PERIOD_S = 0.5
TICK_S = 0.05
MAX_TICK_S = 0.25
SETTLE_S = 40.0


def seeds():
    first, _, last = environ.get("FILBERTLB_SOAK_SEEDS", CI_SEEDS).partition(
        "-"
    )
    return range(int(first), int(last or first) + 1)


def unjustified(site):
    """Yield a line for each job whose final state has no cause."""
    history = site.history
    for job_id, state in sorted(site.final_states.items()):
        runs = history.of_job(job_id)
        failed, crashes = history.failed_runs(job_id), history.crashes(job_id)
        attempts = site.attempts(job_id)
        if state == JobState.COMPLETE:
            done = {run.unit for run in runs if run.how == EndCause.DONE}
            justified = done == site.units(job_id)
        else:
            # No task here crashes its workers.
            justified = failed >= attempts
        if not justified:
            told = "; ".join(map(str, runs))
            yield (
                f"{job_id} is {state} after {failed} failed runs of "
                f"{attempts} and {crashes} crashes: {told}"
            )


def findings(site):
    """Yield a line for each promise that was broken."""
    yield from site.history.overlaps()
    yield from site.history.broken
    yield from unjustified(site)
    for job_id in sorted(site.accepted.keys() - site.final_states.keys()):
        told = "; ".join(map(str, site.history.of_job(job_id)))
        yield f"{job_id} has not ended: {told}"


def poll_for_ever(site):
    while True:
        site.poll()
        sleep(POLL_PERIOD_S)


@attrs.define
class ServedTime:
    """Time for which this process, and thus the whole platform, has run.

    A tick that is later than ``MAX_TICK_S`` counts for no more: meanwhile no
    stand-in answered anybody.
    """

    elapsed_s: float = 0.0

    def run(self):
        while True:
            begun_s = monotonic()
            sleep(TICK_S)
            self.elapsed_s += min(monotonic() - begun_s, MAX_TICK_S)


def settle(site):
    """Wait until all jobs have ended, for ``SETTLE_S`` at most."""
    served = ServedTime()
    ticks = spawn(served.run)
    while not site.poll() and served.elapsed_s < SETTLE_S:
        sleep(POLL_PERIOD_S)
    ticks.kill()


@pytest.mark.timeout(180)
@pytest.mark.parametrize("seed", seeds())
def test_promises_hold_through_faults(tmp_path, seed):
    random = Random(seed)
    with running_site(tmp_path) as site:
        jobs = spawn(submit_at_random, site, Random(seed), JOB_PERIOD_S)
        polls = spawn(poll_for_ever, site)
        sleep(2.0)
        inject(site, random, FAULTS_S, FAULT_PERIOD_S)
        jobs.kill()
        polls.kill()
        settle(site)
        found = [*findings(site), *site.disagreements()]
    assert not found, "\n".join(found)
    assert site.accepted

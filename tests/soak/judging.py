"""What the soaks judge, and for how long they wait for it."""

from __future__ import annotations

from os import environ
from time import monotonic

import attrs
from gevent import sleep
from gevent import spawn

from filbertlb.batch.model import EndCause
from filbertlb.batch.model import JobState

POLL_PERIOD_S = 0.5
TICK_S = 0.05
MAX_TICK_S = 0.25
SETTLE_S = 40.0


def seeds(default):
    """Return the seeds to play: those of the environment, or the default."""
    first, _, last = environ.get("FILBERTLB_SOAK_SEEDS", default).partition(
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


def settle(site, watch=None):
    """Wait until all jobs have ended, for ``SETTLE_S`` at most.

    Parameters
    ----------
    watch : callable, optional
        Called now and then.
    """
    served = ServedTime()
    ticks = spawn(served.run)
    while not site.poll() and served.elapsed_s < SETTLE_S:
        if watch is not None:
            watch()
        sleep(POLL_PERIOD_S)
    ticks.kill()

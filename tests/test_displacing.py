from __future__ import annotations

from random import Random

import pytest

from filbertlb.cli.demo import example_site
from filbertlb.core.model import JobSpec
from filbertlb.core.model import Resources
from filbertlb.core.model import Shape
from filbertlb.core.scheduling import StartJob
from filbertlb.scheduling.guaranteed import GuaranteedScheduler

GANG = Shape(members=3, each=Resources(8, 8.0, 32.0))


def _scheduler(seed):
    """Return a scheduler to which the workers were added in random order.

    The organisations are restored after a random number of workers.
    """
    rng = Random(seed)
    config = example_site("jadran")
    workers = list(config.expected_workers())
    rng.shuffle(workers)
    known = rng.randrange(len(workers))
    scheduler = GuaranteedScheduler(config.scheduler)
    for index, worker in enumerate(workers):
        if index == known:
            scheduler.restore_organisations(config.model_organisations(), 0.0)
            scheduler.decide(0.0)
        scheduler.add_worker(worker, 0.0)
        scheduler.decide(float(index))
    return scheduler


@pytest.mark.parametrize("seed", range(40))
def test_firm_gang_starts_on_an_idle_site(seed):
    """A gang that may not be stopped starts whatever the guarantees hold.

    The order in which the workers were added decides where the
    guarantees are placed. The scheduler has to move them where they
    occupy the workers that the gang needs.
    """
    scheduler = _scheduler(seed)
    job = JobSpec("job", "dive-footage", GANG, idempotent=False)
    scheduler.submit(job, 100.0)
    decisions = scheduler.decide(100.0)
    assert [type(decision) for decision in decisions] == [StartJob]
    assert scheduler.risks() == ()

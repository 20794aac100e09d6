"""Soak of agents that lose the store, are paused or are replaced.

It takes its seeds as ``tests/soak/test_soak.py`` does.
"""

from __future__ import annotations

from random import Random

import pytest
from gevent import sleep
from gevent import spawn

from tests.soak.jobs import submit_at_random
from tests.soak.judging import findings
from tests.soak.judging import poll_for_ever
from tests.soak.judging import seeds
from tests.soak.judging import settle
from tests.soak.silence import inject_silence
from tests.soak.site import running_site
from tests.soak.standing import Standing

CI_SEEDS = "1"
FAULTS_S = 20.0
FAULT_PERIOD_S = 1.5
JOB_PERIOD_S = 1.2
MACHINES = 4
PACES = (1.0, 0.99, 0.98)


@pytest.mark.timeout(180)
@pytest.mark.parametrize("seed", seeds(CI_SEEDS))
def test_no_task_runs_twice_or_stands_after_agents_were_silent(tmp_path, seed):
    random = Random(seed)
    paces = random.choices(PACES, k=MACHINES)
    with running_site(tmp_path, paces) as site:
        jobs = spawn(submit_at_random, site, Random(seed), JOB_PERIOD_S)
        polls = spawn(poll_for_ever, site)
        sleep(2.0)
        inject_silence(site, random, FAULTS_S, FAULT_PERIOD_S)
        jobs.kill()
        polls.kill()
        standing = Standing(site)
        settle(site, standing.sample)
        found = [*findings(site), *sorted(standing.found)]
        found += site.disagreements()
    assert not found, "\n".join(found)
    assert site.accepted

"""Soak: real processes, seeded faults, promises seen from outside.

``FILBERTLB_SOAK_SEEDS=100-149 .venv/bin/python -m pytest tests/soak`` plays
other seeds than CI does.
"""

from __future__ import annotations

from random import Random

import pytest
from gevent import sleep
from gevent import spawn

from tests.soak.faults import inject
from tests.soak.jobs import submit_at_random
from tests.soak.judging import findings
from tests.soak.judging import poll_for_ever
from tests.soak.judging import seeds
from tests.soak.judging import settle
from tests.soak.site import running_site

CI_SEEDS = "1-3"
FAULTS_S = 14.0
FAULT_PERIOD_S = 0.5
JOB_PERIOD_S = 0.3


@pytest.mark.timeout(180)
@pytest.mark.parametrize("seed", seeds(CI_SEEDS))
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

"""Crashes for which the odds that a task causes them are wrong."""

from __future__ import annotations

from random import Random

import pytest

from filbertlb.batch.model import Crash
from filbertlb.batch.model import JobState
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.model import TaskRecord
from filbertlb.batch.planner import Planner
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_report
from filbertlb.batch.testing import a_step
from filbertlb.batch.testing import a_worker
from tests.batch import test_crashing_workers
from tests.batch.test_crashing_workers import CrashingSite
from tests.batch.test_crashing_workers import DEADLY_MS
from tests.batch.test_crashing_workers import DOWN_MS
from tests.batch.test_crashing_workers import NODES
from tests.batch.test_crashing_workers import some_jobs
from tests.batch.test_crashing_workers import START_MS
from tests.batch.test_crashing_workers import TICK_MS
from tests.batch.test_crashing_workers import WHOLE_WORKER


class FaultyWorkerSite(CrashingSite):
    """Site with a worker that crashes soon after any run begins there."""

    faulty = ""

    def tick(self):
        ages_ms = [
            self.now_ms - self.record(task).since_ms - START_MS
            for task in self.planner.state.tasks_on(self.faulty)
        ]
        if max(ages_ms, default=0) >= DEADLY_MS:
            self.take_down(self.faulty, DOWN_MS)
        super().tick()


def play(site, for_ms):
    for _ in range(for_ms // TICK_MS):
        site.tick()


@pytest.mark.parametrize(
    ("deadly", "nodes", "age_ms"),
    [
        (1, NODES, 1500),
        (1, NODES, 5000),
        (1, 1, 1500),
        (1, 3, 5000),
        (1, 7, 1500),
        (2, NODES, 1500),
        (4, NODES, 5000),
    ],
)
def test_task_that_crashes_workers_later_was_never_given_up(
    deadly, nodes, age_ms, monkeypatch
):
    monkeypatch.setattr(test_crashing_workers, "DEADLY_MS", age_ms)
    jobs = [a_job(f"d{n}", a_step(needs=WHOLE_WORKER)) for n in range(deadly)]
    tasks = [f"{job.job_id}.0.0.0" for job in jobs]
    site = CrashingSite(*jobs, deadly=tasks, nodes=nodes)
    play(site, 300_000)
    assert all(site.state(job.job_id) is JobState.FAILED for job in jobs)


@pytest.mark.parametrize(
    ("nodes", "busy", "waiting"),
    [(NODES, False, 3), (NODES, True, 1), (NODES, True, 3), (3, False, 3)],
)
def test_sound_job_was_given_up_for_the_one_worker_that_it_could_have(
    nodes, busy, waiting
):
    count = nodes - 1 if busy else 0
    long = a_job("l", a_step(max(1, count), needs=WHOLE_WORKER))
    site = FaultyWorkerSite(*((long,) if busy else ()), nodes=nodes)
    play(site, 2_000)
    occupied = site.planner.state.occupied_nodes()
    site.faulty = next(node for node in site.nodes if node not in occupied)
    for number in range(waiting):
        site.add(a_job(f"w{number}", a_step(needs=WHOLE_WORKER)))
    play(site, 60_000)
    assert not site.planner.failed_jobs


@pytest.mark.parametrize(
    ("period_ms", "down_ms", "share", "takeovers"),
    [
        (3000, 1500, 1.0, False),
        (2400, 2000, 1.0, False),
        (3400, 3000, 1.0, False),
        (3400, 3000, 0.5, False),
        (2000, 1000, 0.5, True),
    ],
)
def test_jobs_were_given_up_for_workers_that_crash_soon_after_they_return(
    period_ms, down_ms, share, takeovers
):
    random = Random(5)
    site = CrashingSite(*some_jobs(12, attempts=4))
    for _ in range(60_000 // TICK_MS):
        if site.now_ms % period_ms == 0:
            count = int(share * len(site.nodes))
            for node in random.sample(site.nodes, count):
                site.take_down(node, down_ms)
            if takeovers:
                site.new_decider()
        site.tick()
    assert all(
        site.state(job.job_id) is not JobState.FAILED for job in site.jobs
    )


@pytest.mark.parametrize(
    ("other_capacity", "starts"),
    [
        (None, True),
        ((4, 32_000, 131_072), True),
        ((8, 32_000, 131_072), False),
    ],
)
def test_task_waited_for_another_worker_that_could_never_hold_it(
    other_capacity, starts
):
    # The other worker, if there is one, is full of something else.
    planner = Planner()
    capacity_by_node = {"n0": (8, 32_000, 131_072)}
    if other_capacity is not None:
        capacity_by_node["n1"] = other_capacity
        planner.state.add_job(a_job("b", a_step(needs=other_capacity)))
        ordered = TaskRecord(
            TaskPhase.ORDERED, attempt=1, node="n1", incarnation="n1@1"
        )
        planner.state.set_record("b.0.0.0", ordered)
    for node, capacity in capacity_by_node.items():
        worker = a_worker(incarnation=f"{node}@1", capacity=capacity)
        planner.record_report(a_report(node, worker=worker), 0.0)
    planner.state.add_job(a_job("a", a_step(needs=WHOLE_WORKER)))
    crashes = (Crash("n0", 261, 1), Crash("n0", 261, 2))
    planner.state.set_record(
        "a.0.0.0", TaskRecord(attempt=2, crashes=crashes, avoid="n0")
    )
    planner.decide(0.1, 100_000)
    started = planner.state.record("a.0.0.0").phase is TaskPhase.ORDERED
    assert started is starts

"""Speeds of workers from their runs, and their use in placement."""

from __future__ import annotations

from math import exp
from random import Random

import pytest

from filbertlb.batch.durations import ObservedRun
from filbertlb.batch.learned_durations import LearnedDurations
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import Run
from filbertlb.batch.model import RunEnd
from filbertlb.batch.planner import Planner
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_report
from filbertlb.batch.testing import a_step
from filbertlb.batch.testing import a_worker
from filbertlb.batch.worker_speeds import MAX_WORKERS
from filbertlb.batch.worker_speeds import WorkerSpeeds

SPEEDS = {"n0": 1.0, "n1": 0.6, "n2": 1.6, "n3": 1.0, "n4": 0.6, "n5": 1.6}
ALL_ACCELERATORS = (8, 8_000, 8_000)


def worker_on(node, born=1, **changes):
    return a_worker(incarnation=f"{node}@{born}", **changes)


def observe(job, node):
    return lambda: ObservedRun(job, job.steps[0], node, worker_on(node))


def learned_from_runs(runs_per_node=16, seed=1, speeds=SPEEDS):
    """Return what runs of one queue on workers of all speeds tell."""
    random, learned = Random(seed), LearnedDurations()
    for number in range(runs_per_node):
        for node, speed in speeds.items():
            work_ms = 8_000 * exp(random.gauss(0, 0.2))
            estimate_ms = round(work_ms * exp(random.gauss(0, 0.7)))
            job = a_job(f"{node}-{number}", a_step(estimate_ms=estimate_ms))
            task = f"{job.job_id}.0.0.0"
            end = RunEnd(task, 1, EndCause.DONE, run_ms=round(work_ms / speed))
            learned.record_end(end, observe(job, node), 1000 * number)
    return learned


@pytest.mark.parametrize("seed", range(4))
def test_speeds_are_told_apart_by_some_runs(seed):
    learned = learned_from_runs(seed=seed)
    bands = {node: learned.speed_band(node) for node in SPEEDS}
    slow, usual, fast = (
        {bands[node] for node, speed in SPEEDS.items() if speed == wanted}
        for wanted in (0.6, 1.0, 1.6)
    )
    assert max(slow) < min(usual) <= max(usual) < min(fast)


@pytest.mark.parametrize("seed", range(4))
def test_expected_time_is_that_on_a_worker_of_usual_speed(seed):
    learned = learned_from_runs(seed=seed)
    job = a_job("j", a_step(estimate_ms=0))
    assert learned.expected_ms(job, job.steps[0]) == pytest.approx(
        8_000, rel=0.25
    )


@pytest.mark.parametrize("seed", range(4))
def test_workers_of_one_speed_are_in_one_class(seed):
    # A wrong difference would scatter the work without any gain.
    speeds = dict.fromkeys(SPEEDS, 1.0)
    learned = learned_from_runs(seed=seed, speeds=speeds)
    assert {learned.speed_band(node) for node in speeds} == {0}


def test_longer_tasks_on_all_workers_are_no_change_of_speed():
    learned = learned_from_runs()
    before = {node: learned.speed_band(node) for node in SPEEDS}
    for number in range(6):
        for node, speed in SPEEDS.items():
            job = a_job(f"later-{node}-{number}", a_step(estimate_ms=0))
            end = RunEnd(
                *(f"{job.job_id}.0.0.0", 1, EndCause.DONE),
                run_ms=round(24_000 / speed),
            )
            learned.record_end(end, observe(job, node), 20_000)
    assert {node: learned.speed_band(node) for node in SPEEDS} == before


def test_run_in_progress_tells_the_speed_once():
    learned = learned_from_runs(runs_per_node=2)
    job = a_job("j", a_step(estimate_ms=0))
    known = {node: learned.speeds.speed(node) for node in SPEEDS}
    for at_ms, percent in ((0, 0), (1_000, 25), (2_000, 50), (3_000, 75)):
        run = Run("j.0.0.0", 1, percent=percent)
        learned.record_progress(run, at_ms, observe(job, "n0"))
    faster = learned.speeds.speed("n0")
    assert faster > 1.05 * known["n0"]
    end = RunEnd("j.0.0.0", 1, EndCause.DONE, run_ms=4_000)
    learned.record_end(end, observe(job, "n0"), 9_000)
    assert learned.speeds.speed("n0") == faster


@pytest.mark.parametrize("loading_ms", [50, 400])
@pytest.mark.parametrize("saved", [10, 30, 45, 60])
def test_saved_share_of_resumed_runs_counted_as_their_pace(saved, loading_ms):
    # All workers need 10 s; a run shows 0% until its checkpoint is loaded.
    learned, step = LearnedDurations(), a_step(estimate_ms=10_000)
    for node in SPEEDS:
        for number in range(4):
            job = a_job(f"{node}-{number}", step)
            end = RunEnd(
                f"{job.job_id}.0.0.0", 1, EndCause.DONE, run_ms=10_000
            )
            learned.record_end(end, observe(job, node), 1000 * number)
    for number in range(4):
        job = a_job(f"resumed-{number}", step)
        observed = ObservedRun(job, step, "n0", worker_on("n0"), resumed=True)
        task = f"{job.job_id}.0.0.0"
        for run_ms in (50, loading_ms, 1_400, 2_400, 3_400):
            percent = saved + (run_ms - loading_ms) // 100
            run = Run(task, 2, percent=percent if run_ms > 400 else 0)
            learned.record_progress(run, run_ms, lambda seen=observed: seen)
        left_ms = 100 * (100 - percent)
        assert learned.remaining_ms(job, step, task, run_ms) == pytest.approx(
            left_ms, rel=0.2
        )
    assert learned.speed_band("n0") == 0
    assert learned.speed("n0") == pytest.approx(1.0)


@pytest.mark.parametrize(
    ("changes", "kept"),
    [
        ({}, True),
        ({"rack": "r9-9", "draining": True}, True),
        ({"capacity": (8, 64_000, 131_072)}, False),
        ({"labels": ("other",)}, False),
    ],
)
def test_speed_is_discarded_with_another_kind_of_machine(changes, kept):
    learned = learned_from_runs()
    assert learned.speed_band("n2") > 0
    learned.record_worker("n2", worker_on("n2", born=2, **changes))
    assert (learned.speed_band("n2") > 0) is kept


def test_capacity_that_changes_within_a_lifetime_keeps_the_speed():
    speeds = WorkerSpeeds()
    for node in ("n0", "n1", "n2"):
        speeds.record(node, worker_on(node), 0.5 * (node == "n2"), 0.01)
    speeds.record_worker("n2", worker_on("n2", capacity=(4, 100, 100)))
    assert speeds.band("n2") > 0


def planner_with(durations, nodes=SPEEDS, racks=None):
    planner = Planner(durations=durations)
    for node in nodes:
        worker = worker_on(node, rack=(racks or {}).get(node, "r1-1"))
        planner.record_report(a_report(node, worker=worker), 0.0)
    return planner


def nodes_of(planner, job):
    planner.state.add_job(job)
    planner.decide(0.0, 0)
    tasks = planner.state.progress[job.job_id].tasks
    return {record.node for record in tasks.values() if record.node}


@pytest.mark.parametrize(
    ("job", "speed"),
    [
        (a_job("urgent", priority=0), 1.6),
        (a_job("chain", a_step(), a_step(after=(0,))), 1.6),
        # Slow workers are fast enough, so the others stay free.
        (a_job("bulk"), 0.6),
        (a_job("tight", slack_factor=1.2, target_ms=300), 1.0),
        (a_job("late", slack_factor=0.5, target_ms=300), 1.0),
    ],
)
def test_work_takes_the_slowest_workers_that_are_fast_enough(job, speed):
    (node,) = nodes_of(planner_with(learned_from_runs()), job)
    assert SPEEDS[node] == speed


@pytest.mark.parametrize(("priority", "speed"), [(0, 1.6), (2, 0.6)])
def test_members_of_a_gang_run_on_workers_of_equal_speed(priority, speed):
    # By name, n0 (usual) and n1 (slow) would run at the pace of n1.
    gang = a_step(2, needs=ALL_ACCELERATORS, gang=True)
    planner = planner_with(learned_from_runs())
    nodes = nodes_of(planner, a_job("g", gang, priority=priority))
    assert len(nodes) == 2
    assert {SPEEDS[node] for node in nodes} == {speed}


def test_gang_runs_on_workers_of_unequal_speed_rather_than_wait():
    gang = a_step(5, needs=ALL_ACCELERATORS, gang=True)
    planner = planner_with(learned_from_runs())
    assert len(nodes_of(planner, a_job("g", gang))) == 5


@pytest.mark.parametrize("gang", [False, True])
def test_speed_does_not_outweigh_the_best_fit(gang):
    # A partly used worker is taken first, so that whole ones stay free.
    planner = planner_with(learned_from_runs())
    (first,) = nodes_of(planner, a_job("first"))
    urgent = a_job("urgent", a_step(gang=gang), priority=0)
    assert nodes_of(planner, urgent) == {first}


def test_gang_prefers_equal_speed_to_one_fast_worker():
    # The fast member would only wait for the usual one.
    gang = a_step(2, needs=ALL_ACCELERATORS, gang=True)
    planner = planner_with(learned_from_runs(), nodes=("n0", "n2", "n3"))
    job = a_job("g", gang, priority=0)
    assert nodes_of(planner, job) == {"n0", "n3"}


def test_runs_on_slow_workers_alone_do_not_lengthen_the_expected_time():
    # A gang or data may keep a queue on a few slow workers for some time.
    learned = learned_from_runs()
    for number in range(60):
        job = a_job(f"slow-{number}", a_step(estimate_ms=0))
        end = RunEnd(
            *(f"{job.job_id}.0.0.0", 1, EndCause.DONE),
            run_ms=round(8_000 / SPEEDS["n1"]),
        )
        learned.record_end(end, observe(job, "n1"), 20_000)
    job = a_job("j", a_step(estimate_ms=0))
    assert learned.expected_ms(job, job.steps[0]) < 10_000


def test_speeds_of_replaced_machines_are_bounded():
    # Machines that are replaced get new names, 52 of them a day.
    speeds = WorkerSpeeds()
    for number in range(3 * MAX_WORKERS):
        speeds.record(f"n{number}", worker_on(f"n{number}"), 0.0, 0.1)
        speeds.record("kept", worker_on("kept"), 0.0, 0.1)
    assert len(speeds.by_node) <= 2 * MAX_WORKERS
    stored = speeds.best_known()
    assert len(stored) == MAX_WORKERS
    assert "kept" in stored


def test_gang_on_unequal_workers_is_timed_by_the_slowest():
    # A fast worker would count as slow, and the tasks as longer.
    learned = learned_from_runs()
    before = {node: learned.speeds.log_speed(node) for node in SPEEDS}
    gang = a_step(2, needs=ALL_ACCELERATORS, gang=True, estimate_ms=0)
    for number in range(30):
        planner = planner_with(learned, nodes=("n1", "n2"))
        job = a_job(f"g{number}", gang, queue="gangs")
        assert nodes_of(planner, job) == {"n1", "n2"}
        ended = [
            (planner.state.record(task).node, task)
            for task in planner.state.progress[job.job_id].tasks
        ]
        for node, task in ended:
            end = RunEnd(
                task, 1, EndCause.DONE, run_ms=round(8_000 / SPEEDS["n1"])
            )
            worker = planner.workers[node].report.worker
            planner.record_report(
                a_report(node, worker=worker, ended=(end,)), 1.0
            )
        planner.decide(1.0, 1_000)
    assert before == {node: learned.speeds.log_speed(node) for node in SPEEDS}
    job = a_job("next", gang, queue="gangs")
    assert learned.expected_ms(job, gang) < 10_000


def learned_from_one_step(speeds, tasks, seed=1):
    """Return what the tasks of one step tell of workers in turn."""
    random, learned = Random(seed), LearnedDurations()
    job = a_job("bulk", a_step(tasks, estimate_ms=0))
    job_factor = exp(random.gauss(0, 0.5))
    nodes = list(speeds)
    for index in range(tasks):
        node = nodes[index % len(nodes)]
        work_ms = 8_000 * job_factor * exp(random.gauss(0, 0.15))
        end = RunEnd(
            *(f"bulk.0.0.{index}", 1, EndCause.DONE),
            run_ms=round(work_ms / speeds[node]),
        )
        learned.record_end(end, observe(job, node), 1000)
    return learned


@pytest.mark.parametrize("seed", range(4))
def test_tasks_of_one_step_tell_speeds_after_few_runs(seed):
    # Compared with their queue only, they counted as one job's long tasks.
    learned = learned_from_one_step(SPEEDS, 8 * len(SPEEDS), seed)
    bands = {node: learned.speed_band(node) for node in SPEEDS}
    assert bands == {
        node: (speed > 1) - (speed < 1) for node, speed in SPEEDS.items()
    }


@pytest.mark.parametrize("seed", range(4))
def test_tasks_of_one_step_on_equal_workers_show_no_difference(seed):
    speeds = dict.fromkeys(SPEEDS, 1.0)
    learned = learned_from_one_step(speeds, 8 * len(SPEEDS), seed)
    assert {learned.speed_band(node) for node in speeds} == {0}


@pytest.mark.parametrize(
    ("slack_factor", "speeds"),
    [
        # On a slow worker the task would end late.
        (1.5, {1.0}),
        # There is time enough for any worker with room.
        (3.0, {0.6}),
    ],
)
def test_task_avoids_workers_that_would_make_it_late(slack_factor, speeds):
    # The slow workers were the best fit, as part of each was in use.
    learned = learned_from_runs()
    planner = planner_with(learned, nodes=("n0", "n1", "n3", "n4"))
    for node in ("n1", "n4"):
        busy = a_step(needs=(4, 1, 1), required_label=node, estimate_ms=60_000)
        labelled = worker_on(node, labels=(node,))
        planner.record_report(a_report(node, worker=labelled), 0.0)
        planner.state.add_job(a_job(f"busy-{node}", busy))
    planner.decide(0.0, 0)
    fields = {"slack_factor": slack_factor, "target_ms": 300, "priority": 1}
    job = a_job("j", a_step(estimate_ms=8_000), **fields)
    assert {SPEEDS[node] for node in nodes_of(planner, job)} == speeds

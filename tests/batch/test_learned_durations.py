"""Run times learned in the same run in which estimates are compared."""

from __future__ import annotations

from base64 import b64encode
from math import exp
from math import log
from random import Random
from statistics import fmean

import pytest
from loguru import logger

from filbertlb.batch.durations import DeclaredDurations
from filbertlb.batch.durations import longest_chain_ms
from filbertlb.batch.durations import ObservedRun
from filbertlb.batch.learned_durations import LearnedDurations
from filbertlb.batch.learned_row import learned_write
from filbertlb.batch.learned_row import read_learned
from filbertlb.batch.learned_statistics import MAX_KEYS
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import Run
from filbertlb.batch.model import RunEnd
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.model import TaskRecord
from filbertlb.batch.planner import Planner
from filbertlb.batch.planner_state import PlannerState
from filbertlb.batch.run_observation import observed_run
from filbertlb.batch.run_time_metrics import sample_run_times
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_report
from filbertlb.batch.testing import a_step
from filbertlb.batch.testing import a_worker
from filbertlb.batch.workers import WorkerView
from filbertlb.metrics import metrics_of
from filbertlb.table.base import TransactionLimits
from filbertlb.table.memory import MemoryTable
from filbertlb.table.rows import encode_value

ALL_ACCELERATORS = (8, 8_000, 8_000)


def run_once(durations, job, run_ms, cause=EndCause.DONE, now_ms=0, **changes):
    """Report that a task of a job's first step has run for some time."""
    step = job.steps[0]
    fields = {"node": "n0", "worker": a_worker()} | changes
    durations.record_end(
        RunEnd(f"{job.job_id}.0.0.0", 1, cause, run_ms=run_ms),
        lambda: ObservedRun(job, step, **fields),
        now_ms,
    )


def expected(durations, job):
    return durations.expected_ms(job, job.steps[0])


def upper(durations, job):
    return durations.upper_ms(job, job.steps[0])


def jobs_of(random, queue, median_ms, count, spread=0.25, error=0.7):
    """Return jobs with their run times; estimates are wrong by factors."""
    for number in range(count):
        run_ms = median_ms * exp(random.gauss(0, spread))
        estimate_ms = round(run_ms * exp(random.gauss(0, error)))
        step = a_step(estimate_ms=estimate_ms)
        yield a_job(f"{queue}-{number}", step, queue=queue), round(run_ms)


def log_error(durations, job, run_ms):
    return abs(log(expected(durations, job) / run_ms))


def test_learned_times_are_nearer_than_estimates_in_the_same_run():
    # Callers' estimates are off by a factor of two and more.
    random, declared = Random(1), DeclaredDurations()
    learned = LearnedDurations()
    jobs = [
        *jobs_of(random, "short", 4_000, 60),
        *jobs_of(random, "long", 20_000, 60),
    ]
    random.shuffle(jobs)
    errors = []
    for number, (job, run_ms) in enumerate(jobs):
        if number >= 20:
            errors.append(
                (
                    log_error(declared, job, run_ms),
                    log_error(learned, job, run_ms),
                )
            )
        run_once(learned, job, run_ms, now_ms=number * 1000)
    of_declared, of_learned = map(fmean, zip(*errors, strict=True))
    assert of_learned < of_declared / 2


def test_few_runs_of_a_queue_outweigh_the_estimate():
    # Estimates are off by a factor of two in either direction.
    learned = LearnedDurations()
    for number, estimate_ms in enumerate((4_000, 16_000, 16_000, 4_000)):
        job = a_job(f"j{number}", a_step(estimate_ms=estimate_ms))
        run_once(learned, job, 8_000)
    wrong = a_job("wrong", a_step(estimate_ms=32_000))
    assert expected(learned, wrong) < 12_000


def test_without_runs_the_estimate_holds():
    learned = LearnedDurations()
    job = a_job("j", a_step(estimate_ms=5_000))
    assert expected(learned, job) == 5_000
    assert upper(learned, job) > 5_000
    nothing = a_job("k", a_step(estimate_ms=0))
    assert expected(learned, nothing) == 0


def test_new_queue_of_a_known_caller_uses_the_corrected_estimate():
    # This caller always declares a quarter of the time.
    learned, random = LearnedDurations(), Random(2)
    for number in range(30):
        run_ms = round(8_000 * exp(random.gauss(0, 0.5)))
        job = a_job(f"j{number}", a_step(estimate_ms=run_ms // 4))
        run_once(learned, job, run_ms)
    other = a_job("new", a_step(estimate_ms=1_000), queue="other")
    assert 3_300 < expected(learned, other) < 4_300


def test_wrong_figures_are_corrected_within_some_runs():
    # A new version of a program takes four times as long.
    learned = LearnedDurations()
    for number in range(100):
        run_once(learned, a_job(f"a{number}", a_step(estimate_ms=0)), 4_000)
    for number in range(40):
        run_once(learned, a_job(f"b{number}", a_step(estimate_ms=0)), 16_000)
    job = a_job("next", a_step(estimate_ms=0))
    assert 10_000 < expected(learned, job) < 16_100
    # Meanwhile both are possible.
    assert upper(learned, job) > 16_000


def test_two_kinds_of_task_under_one_key_leave_weight_to_the_estimate():
    # Short and long tasks of one image and shape: neither figure holds.
    learned, random = LearnedDurations(), Random(3)
    for number in range(60):
        run_ms = random.choice((2_000, 32_000))
        estimate_ms = round(run_ms * exp(random.gauss(0, 0.5)))
        job = a_job(f"j{number}", a_step(estimate_ms=estimate_ms))
        run_once(learned, job, run_ms)
    short = a_job("short", a_step(estimate_ms=2_000))
    long = a_job("long", a_step(estimate_ms=32_000))
    assert expected(learned, short) < 4_000
    assert expected(learned, long) > 16_000
    assert upper(learned, long) > 32_000
    assert learned.prediction(short, short.steps[0]).estimate_share > 0.5


def test_tasks_of_one_job_count_as_few_runs():
    # One wide job would otherwise outweigh all others of its queue.
    learned = LearnedDurations()
    wide = a_job("wide", a_step(64, estimate_ms=0))
    for _ in range(64):
        run_once(learned, wide, 40_000)
    for number in range(8):
        run_once(learned, a_job(f"j{number}", a_step(estimate_ms=0)), 4_000)
    job = a_job("next", a_step(estimate_ms=0))
    assert expected(learned, job) < 8_000


@pytest.mark.parametrize("cause", [EndCause.STOPPED, EndCause.FAILED])
def test_run_that_did_not_end_is_a_lower_bound(cause):
    learned = LearnedDurations()
    job = a_job("j", a_step(estimate_ms=8_000))
    for _ in range(6):
        run_once(learned, job, 8_000)
    before = expected(learned, job)
    for _ in range(6):
        run_once(learned, job, 100, cause)
    assert expected(learned, job) == before
    for _ in range(6):
        run_once(learned, job, 30_000, cause)
    assert expected(learned, job) > 1.5 * before


def test_resumed_run_does_not_shorten_the_expected_time():
    learned = LearnedDurations()
    job = a_job("j", a_step(estimate_ms=8_000))
    for _ in range(6):
        run_once(learned, job, 8_000)
    before = expected(learned, job)
    for _ in range(6):
        run_once(learned, job, 1_000, resumed=True)
    assert expected(learned, job) == before


@pytest.mark.parametrize(
    ("cause", "run_ms"),
    [
        (EndCause.DONE, None),
        (EndCause.REFUSED, 0),
        (EndCause.ALONE, 500),
        (EndCause.BROKEN, 500),
    ],
)
def test_run_without_a_known_time_or_without_work_is_ignored(cause, run_ms):
    learned = LearnedDurations()
    run_once(learned, a_job("j"), run_ms, cause)
    assert not learned.changed


def test_time_far_from_the_data_counts_as_the_time_near_it():
    learned = LearnedDurations()
    job = a_job("j", a_step(estimate_ms=0))
    for _ in range(6):
        run_once(learned, job, 24_000, slowdown=3.0)
    assert expected(learned, job) == pytest.approx(8_000, rel=0.01)


def test_old_runs_lose_weight():
    learned, day_ms = LearnedDurations(), 86_400_000
    job = a_job("j", a_step(estimate_ms=0))
    for _ in range(20):
        run_once(learned, job, 4_000, now_ms=0)
    for _ in range(3):
        run_once(learned, job, 16_000, now_ms=day_ms)
    assert expected(learned, job) > 10_000


def test_long_running_tasks_are_not_learned():
    learned = LearnedDurations()
    job = a_job("j", a_step(estimate_ms=0, long_running=True))
    run_once(learned, job, 900_000, EndCause.STOPPED)
    assert not learned.changed
    assert expected(learned, job) == 0


def remaining_after(learned, job, reports, run_ms):
    """Return the remaining time after reports of time and percent."""
    for at_ms, percent in reports:
        learned.record_progress(
            Run("j.0.0.0", 1, percent=percent),
            at_ms,
            lambda: ObservedRun(job, job.steps[0], "n0", a_worker()),
        )
    return learned.remaining_ms(job, job.steps[0], "j.0.0.0", run_ms)


def test_remaining_time_follows_the_listed_percent():
    # The estimate of 4 s is over; the run has a quarter of its work done.
    learned = LearnedDurations()
    job = a_job("j", a_step(estimate_ms=4_000))
    reports = [(500, 0), (2_500, 10), (5_500, 25)]
    assert remaining_after(learned, job, [], 5_500) < 10_000
    left_ms = remaining_after(learned, job, reports, 5_500)
    assert 13_000 < left_ms < 16_000
    assert remaining_after(learned, job, [], 6_500) == left_ms - 1_000


def test_remaining_time_without_progress_is_that_of_longer_runs():
    # The declared figure says 500 ms for ever.
    learned = LearnedDurations()
    job = a_job("j", a_step(estimate_ms=4_000))
    early, late = (
        learned.remaining_ms(job, job.steps[0], "j.0.0.0", run_ms)
        for run_ms in (1_000, 12_000)
    )
    assert 2_000 < early < 4_000
    assert late > 3_000


def test_progress_of_an_earlier_attempt_is_dropped():
    learned = LearnedDurations()
    job = a_job("j", a_step(estimate_ms=10_000))
    remaining_after(learned, job, [(500, 1), (9_500, 90)], 9_500)
    learned.record_progress(
        Run("j.0.0.0", 2),
        100,
        lambda: ObservedRun(job, job.steps[0], "n0", a_worker()),
    )
    # By the progress of the first attempt it would be about 1 s.
    assert learned.remaining_ms(job, job.steps[0], "j.0.0.0", 9_500) > 4_000


def test_keys_are_bounded_and_the_used_ones_stay():
    learned = LearnedDurations()
    for number in range(500):
        run_once(learned, a_job("used", a_step(estimate_ms=0)), 7_000)
        image = f"{number}-" + "x" * 3_000
        job = a_job(
            "j", a_step(estimate_ms=0, image=image), queue=f"q{number}"
        )
        run_once(learned, job, 1_000, now_ms=number)
    stored = learned.snapshot()
    keys = [*stored.queues, *stored.kinds, *stored.errors]
    assert len(keys) <= MAX_KEYS
    assert expected(learned, a_job("u", a_step(estimate_ms=0))) == 7_000
    assert len(encode_value(stored)) < 64 * 400


def test_row_of_the_design_size_fits():
    # 750 workers, and keys as long as they get.
    random, learned = Random(5), LearnedDurations()
    for _ in range(750):
        names = [random.randbytes(1_000).hex() for _ in range(3)]
        job = a_job(
            "j",
            a_step(estimate_ms=random.randrange(1, 10_000), image=names[0]),
            queue=names[1],
            organisation=names[2],
        )
        node = f"side-{random.randrange(10**9)}"
        worker = a_worker(incarnation=f"{node}@{random.randrange(10**13)}")
        run_ms = random.randrange(1_000, 100_000)
        run_once(learned, job, run_ms, node=node, worker=worker)
    value = learned_write(learned).value
    assert value is not None
    assert len(b64encode(value)) < TransactionLimits().row_bytes


def test_figures_from_a_clock_that_was_ahead_do_not_outdate_later_ones():
    learned, year_ms = LearnedDurations(), 365 * 86_400_000
    job = a_job("j", a_step(estimate_ms=0))
    for _ in range(20):
        run_once(learned, job, 4_000, now_ms=year_ms)
    table = MemoryTable()
    table.commit([learned_write(learned)])
    after = read_learned(table, 1_000)
    other = a_job("k", a_step(estimate_ms=0), queue="other")
    for number in range(6):
        run_once(after, other, 16_000, now_ms=1_000 * (1 + number))
    assert expected(after, other) == 16_000


def test_new_keys_are_kept_when_all_others_weigh_as_much():
    # The figures of a new queue were dropped for those of its first task.
    learned = LearnedDurations()
    for number in range(2 * MAX_KEYS):
        job = a_job("j", a_step(estimate_ms=0), queue=f"q{number}")
        run_once(learned, job, 1_000)
        assert expected(learned, job) == 1_000


def test_stored_figures_are_those_of_the_next_decider():
    learned = LearnedDurations()
    job = a_job("j", a_step(estimate_ms=20_000))
    for number in range(5):
        run_once(learned, job, 8_000 + number, now_ms=1_000 * number)
    table = MemoryTable()
    table.commit([learned_write(learned)])
    after = read_learned(table, 4_000)
    assert expected(after, job) == expected(learned, job)
    assert upper(after, job) == upper(learned, job)


def test_chain_is_the_longest_one_and_ends_with_circles():
    steps = (
        a_step(estimate_ms=5),
        a_step(estimate_ms=7),
        a_step(estimate_ms=3, after=(0, 1)),
        a_step(estimate_ms=90, after=(4,)),
        a_step(estimate_ms=90, after=(3,)),
    )
    job = a_job("j", *steps)
    assert longest_chain_ms(job, lambda step: step.estimate_ms) == 10
    many = a_job(
        "k", a_step(), *(a_step(after=(index,)) for index in range(9_999))
    )
    assert longest_chain_ms(many, lambda _: 1) == 10_000


def order_of_two_waiting_jobs(durations):
    """Return which of two jobs starts first on the one worker there is.

    Both wait for a worker that runs earlier jobs of their queues; the
    job of queue "a" has the earlier true deadline, 13 s, though its caller
    declares four times its run time.
    """
    planner = Planner(durations=durations)
    planner.record_report(a_report("n0"), 0.0)
    now_ms = 0
    for number in range(6):
        for queue, run_ms, factor in (("a", 4_000, 4), ("b", 8_000, 0.5)):
            step = a_step(
                needs=ALL_ACCELERATORS, estimate_ms=round(run_ms * factor)
            )
            job = a_job(f"{queue}{number}", step, queue=queue)
            planner.state.add_job(job)
            planner.decide(now_ms / 1000, now_ms)
            now_ms += run_ms
            task = f"{job.job_id}.0.0.0"
            done = RunEnd(task, 1, EndCause.DONE, run_ms=run_ms)
            planner.record_report(a_report("n0", ended=(done,)), now_ms / 1000)
            planner.decide(now_ms / 1000, now_ms)
    for queue, estimate_ms in (("a", 16_000), ("b", 4_000)):
        step = a_step(needs=ALL_ACCELERATORS, estimate_ms=estimate_ms)
        planner.state.add_job(
            a_job(f"{queue}-last", step, queue=queue, accepted_ms=now_ms)
        )
    planner.decide(now_ms / 1000, now_ms)
    return [
        job_id
        for job_id in ("a-last", "b-last")
        for record in planner.state.progress[job_id].tasks.values()
        if record.phase is TaskPhase.ORDERED
    ]


def test_deadlines_follow_the_learned_times():
    # With the estimates alone, the job with time to spare goes first.
    assert order_of_two_waiting_jobs(DeclaredDurations()) == ["b-last"]
    assert order_of_two_waiting_jobs(LearnedDurations()) == ["a-last"]


def test_planner_learns_the_time_within_one_rack_from_a_gang_across_two():
    # A gang across racks takes three times as long, which is not its work.
    learned = LearnedDurations()
    planner = Planner(durations=learned)
    for node, rack in (("n0", "r1-1"), ("n1", "r1-2")):
        worker = a_worker(incarnation=f"{node}@1", rack=rack)
        planner.record_report(a_report(node, worker=worker), 0.0)
    gang = a_step(
        2,
        needs=ALL_ACCELERATORS,
        gang=True,
        same_rack=True,
        estimate_ms=0,
    )
    planner.state.add_job(a_job("g", gang, priority=1))
    planner.decide(0.0, 0)
    for node, number in (("n0", 0), ("n1", 1)):
        task = f"g.0.0.{number}"
        node = planner.state.record(task).node
        done = RunEnd(task, 1, EndCause.DONE, run_ms=24_000)
        worker = planner.workers[node].report.worker
        planner.record_report(
            a_report(node, worker=worker, ended=(done,)), 29.0
        )
    planner.decide(29.0, 29_000)
    assert expected(learned, a_job("next", gang)) == 8_000
    assert learned.prediction(a_job("next", gang), gang).runs == 1


@pytest.mark.parametrize(
    ("step", "other", "learns"),
    [
        (a_step(estimate_ms=0, data_rack="r1-1"), None, False),
        (a_step(2, gang=True, same_rack=True, estimate_ms=0), "n1", False),
        (a_step(2, gang=True, estimate_ms=0), "n1", True),
        (a_step(estimate_ms=0), None, True),
    ],
)
def test_run_on_an_unknown_rack_was_learned_as_a_third(step, other, learns):
    # A worker whose report says nothing about it counted as far away.
    learned = LearnedDurations()
    state = PlannerState()
    state.add_job(a_job("j", step))
    for number, node in enumerate(("n0", other)):
        if node is not None:
            record = TaskRecord(TaskPhase.ORDERED, 1, node=node)
            state.set_record(f"j.0.0.{number}", record)
    views = {"n0": WorkerView(a_report("n0", worker=None), 0.0, True)}
    if other is not None:
        views[other] = WorkerView(a_report(other), 0.0, True)
    learned.record_end(
        RunEnd("j.0.0.0", 1, EndCause.DONE, run_ms=9_000),
        lambda: observed_run(state, views, "j.0.0.0"),
        0,
    )
    assert expected(learned, a_job("next", step)) == (9_000 if learns else 0)


@pytest.mark.parametrize("listed_unknown", [False, True])
def test_circumstances_are_those_while_the_run_was_listed(listed_unknown):
    # The report with the end may be that of another worker on the node.
    learned = LearnedDurations()
    step = a_step(estimate_ms=0, data_rack="r1-1")
    job = a_job("j", step)
    known = ObservedRun(job, step, "n0", a_worker(rack="r1-1"))
    unknown = ObservedRun(job, step, "n0", slowdown=None)
    if listed_unknown:
        run = Run("j.0.0.0", 1, percent=10)
        learned.record_progress(run, 1_000, lambda: unknown)
    for percent in (20, 40):
        run = Run("j.0.0.0", 1, percent=percent)
        learned.record_progress(run, 100 * percent, lambda: known)
    other = ObservedRun(job, step, "n0", a_worker(rack="r1-2"), 3.0)
    end = RunEnd("j.0.0.0", 1, EndCause.DONE, run_ms=9_000)
    learned.record_end(end, lambda: other, 10_000)
    assert expected(learned, a_job("next", step)) == 9_000


def test_predictions_of_a_decision_at_design_size_are_cheap():
    # 2,300 runs, each asked for its remaining time once in a decision.
    learned, random = LearnedDurations(), Random(4)
    jobs = [job for job, _ in jobs_of(random, "q", 4_000, 2_300)]
    for job in jobs[:40]:
        run_once(learned, job, 4_000)
    for job in jobs:
        learned.record_progress(
            Run(f"{job.job_id}.0.0.0", 1, percent=40),
            2_000,
            lambda job=job: ObservedRun(job, job.steps[0], "n0", a_worker()),
        )
    calls = 0

    def count(*_):
        nonlocal calls
        calls += 1
        return predict(*_)

    predict = LearnedDurations._remaining_ms
    LearnedDurations._remaining_ms = count
    try:
        for _ in range(3):
            for job in jobs:
                learned.remaining_ms(
                    job, job.steps[0], f"{job.job_id}.0.0.0", 2_500
                )
    finally:
        LearnedDurations._remaining_ms = predict
    assert calls == len(jobs)


@pytest.mark.parametrize(
    ("durations", "stalled"),
    [(DeclaredDurations(), True), (LearnedDurations(), False)],
)
def test_long_run_with_a_short_estimate_is_not_stalled(durations, stalled):
    # A run of 400 s needs 4 s for one percent; its caller declares 2 s.
    for number in range(20):
        job = a_job(f"j{number}", a_step(estimate_ms=2_000))
        run_once(durations, job, 400_000)
    planner = Planner(durations=durations)
    planner.record_report(a_report("n0"), 0.0)
    planner.state.add_job(a_job("long", a_step(estimate_ms=2_000)))
    planner.decide(0.0, 0)
    running = (Run("long.0.0.0", 1, percent=5),)
    for now_s in (1.0, 2.0, 3.0, 4.0):
        report = a_report("n0", running=running)
        planner.record_report(report, now_s)
        planner.decide(now_s, round(1000 * now_s))
    assert planner.workers["n0"].stalled is stalled


def test_operators_see_what_was_learned():
    learned = LearnedDurations()
    for number in range(6):
        job = a_job(f"j{number}", a_step(estimate_ms=4_000))
        run_once(learned, job, 8_000, now_ms=1000 * number)
    with metrics_of("entry", "edge-1") as metrics:
        sample_run_times(metrics, learned)
        page = metrics.render().decode()
    for line in (
        'filbertlb_learned_keys{of="queue"} 1.0',
        'filbertlb_expected_run_seconds{quantile="median",queue="batch"} 8.0',
        'filbertlb_estimate_correction{organisation="divers"} 2.0',
        'filbertlb_worker_speeds{speed="usual"} 1.0',
    ):
        assert line in page
    job = a_job("next", a_step(estimate_ms=2_000))
    text = learned.explain(job, job.steps[0])
    assert "6 runs of its kind" in text
    assert "estimate 2000 ms times" in text


def test_gauges_of_a_queue_were_shown_after_it_was_evicted():
    learned = LearnedDurations()
    run_once(learned, a_job("j", a_step(estimate_ms=4_000)), 8_000)
    with metrics_of("entry", "edge-1") as metrics:
        sample_run_times(metrics, learned)
        assert 'queue="batch"' in metrics.render().decode()
        sample_run_times(metrics, LearnedDurations())
        page = metrics.render().decode()
    assert 'filbertlb_learned_keys{of="queue"} 0.0' in page
    assert 'queue="batch"' not in page
    assert 'organisation="divers"' not in page


def test_lines_on_a_queue_are_bounded():
    # A queue of two kinds of task changes its median with each run.
    lines = []
    handler = logger.add(lines.append, format="{message}")
    learned = LearnedDurations()
    try:
        for number in range(200):
            job = a_job(f"j{number}", a_step(estimate_ms=0))
            run_ms = 1_000 if number % 40 < 20 else 100_000
            run_once(learned, job, run_ms, now_ms=50 * number)
    finally:
        logger.remove(handler)
    times = [line for line in lines if "run times of queue batch" in line]
    assert 1 < len(times) <= 3


def gang_of(members, *runs):
    """Return what was learned after each run of a gang ended as given."""
    learned = LearnedDurations()
    for number in range(4):
        before = a_job(f"before-{number}", a_step(estimate_ms=0))
        run_once(learned, before, 4_000)
    step = a_step(members, gang=True, estimate_ms=0)
    planner = Planner(durations=learned)
    planner.state.add_job(a_job("j", step, attempts=9))
    for number, cause in enumerate(runs):
        now_ms = 10_000 * number
        planner.record_report(a_report("n0"), now_ms / 1000)
        planner.decide(now_ms / 1000, now_ms)
        ends = tuple(
            RunEnd(f"j.0.0.{member}", number + 1, cause, run_ms=6_000)
            for member in range(members)
        )
        report = a_report("n0", ended=ends)
        planner.record_report(report, now_ms / 1000 + 6)
        planner.decide(now_ms / 1000 + 6, now_ms + 6_000)
    return learned.learned.queues["batch"]


@pytest.mark.parametrize(
    "runs",
    [
        (EndCause.DONE,),
        (EndCause.STOPPED,),
        (EndCause.FAILED,),
        (EndCause.LOST,),
        (EndCause.STOPPED, EndCause.STOPPED),
        (EndCause.FAILED, EndCause.STOPPED, EndCause.DONE),
    ],
)
def test_run_of_a_wide_gang_was_learned_once_for_each_member(runs):
    single, wide = gang_of(1, *runs), gang_of(8, *runs)
    assert wide.runs == single.runs == 4 + len(runs)
    assert wide.weight == pytest.approx(single.weight)
    assert wide.mean == pytest.approx(single.mean)


def test_speed_of_a_worker_was_learned_once_for_each_member_of_a_gang():
    def weight(members):
        learned = LearnedDurations()
        step = a_step(members, gang=True)
        job = a_job("j", step)
        observed = ObservedRun(job, step, "n0", a_worker())
        for percent, run_ms in ((10, 1_000), (80, 8_000)):
            for member in range(members):
                run = Run(f"j.0.0.{member}", 1, percent=percent)
                learned.record_progress(run, run_ms, lambda: observed)
        return learned.speeds.by_node["n0"].weight

    assert weight(3) == pytest.approx(weight(1))

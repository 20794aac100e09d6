from __future__ import annotations

import attrs
import pytest
from loguru import logger

from filbertlb.batch.job_check import MAX_JOB_PAYLOAD_BYTES
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import JobState
from filbertlb.batch.model import Run
from filbertlb.batch.model import RunEnd
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.model import TaskRecord
from filbertlb.batch.planner import Planner
from filbertlb.batch.preemption import GUARANTEE_PREEMPTION_DELAY_MS
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_report
from filbertlb.batch.testing import a_step
from filbertlb.batch.testing import a_worker
from filbertlb.batch.workers import DEAD_AFTER_S
from filbertlb.batch.workers import MAX_REPORT_AGE_S
from filbertlb.batch.workers import QUARANTINE_S
from filbertlb.batch.workers import WorkerView

ALL_ACCELERATORS = (8, 8_000, 8_000)


def planner_with(*jobs, nodes=2, racks=None, guaranteed=None):
    planner = Planner(guaranteed=guaranteed or {})
    for number in range(nodes):
        rack = racks[number] if racks else "r1-1"
        worker = a_worker(incarnation=f"w{number}@1", rack=rack)
        report(planner, f"n{number}", worker=worker)
    for job in jobs:
        planner.state.add_job(job)
    return planner


def report(planner, node, now_s=0.0, **changes):
    view = planner.workers.get(node)
    worker = view.report.worker if view else a_worker()
    planner.record_report(
        a_report(node, **({"worker": worker} | changes)), now_s
    )


def end(planner, task, cause, now_ms=0, saved=""):
    record = planner.state.record(task)
    report(
        planner,
        record.node,
        now_ms / 1000,
        ended=(RunEnd(task, record.attempt, cause, saved),),
    )


def phases(planner, job_id):
    tasks = planner.state.progress[job_id].tasks
    return {task: record.phase for task, record in tasks.items()}


def test_job_is_ordered_and_completed():
    planner = planner_with(a_job("a", a_step(2)))
    planner.decide(0.0, 0)
    report(planner, "n0", running=(Run("a.0.0.0", 1),))
    planner.decide(0.1, 100)
    assert planner.state.progress["a"].state is JobState.ACTIVE
    for index in range(2):
        end(planner, f"a.0.0.{index}", EndCause.DONE)
        planner.decide(0.2, 200)
    assert planner.state.progress["a"].state is JobState.COMPLETE


def test_gang_is_ordered_only_as_a_whole():
    job = a_job("a", a_step(3, needs=ALL_ACCELERATORS, gang=True))
    planner = planner_with(job, nodes=2)
    planner.decide(0.0, 0)
    assert phases(planner, "a") == {}
    report(planner, "n2", worker=a_worker(incarnation="w2@1"))
    planner.decide(0.1, 100)
    records = planner.state.progress["a"].tasks.values()
    assert [record.phase for record in records] == [TaskPhase.ORDERED] * 3
    assert {record.attempt for record in records} == {1}


def test_gang_restarts_with_one_attempt_number_and_checkpoint():
    planner = planner_with(a_job("a", a_step(2, gang=True)))
    planner.decide(0.0, 0)
    end(planner, "a.0.0.0", EndCause.FAILED, saved="half")
    planner.decide(0.1, 100)
    assert phases(planner, "a")["a.0.0.1"] is TaskPhase.STOPPING
    end(planner, "a.0.0.1", EndCause.BROKEN, 200)
    planner.decide(0.2, 200)
    records = planner.state.progress["a"].tasks.values()
    assert {record.attempt for record in records} == {2}
    assert {record.saved for record in records} == {"half"}


def test_gang_is_done_when_one_member_is_done():
    planner = planner_with(a_job("a", a_step(2, gang=True)))
    planner.decide(0.0, 0)
    end(planner, "a.0.0.1", EndCause.DONE)
    planner.decide(0.1, 100)
    assert planner.state.progress["a"].state is JobState.COMPLETE


def test_step_waits_for_its_dependencies():
    planner = planner_with(a_job("a", a_step(), a_step(after=(0,))))
    planner.decide(0.0, 0)
    assert set(phases(planner, "a")) == {"a.0.0.0"}
    end(planner, "a.0.0.0", EndCause.DONE)
    planner.decide(0.1, 100)
    assert phases(planner, "a")["a.0.1.0"] is TaskPhase.ORDERED


def test_occurrences_start_when_due():
    job = a_job("a", times=3, first_due_ms=5_000, interval_ms=2_000)
    planner = planner_with(job)
    planner.decide(0.0, 4_800)
    assert phases(planner, "a") == {}
    planner.decide(0.1, 5_000)
    assert set(phases(planner, "a")) == {"a.0.0.0"}
    planner.decide(0.2, 7_000)
    assert set(phases(planner, "a")) == {"a.0.0.0", "a.1.0.0"}


@pytest.mark.parametrize(
    ("changes", "nodes"),
    [
        ({"required_label": "fast"}, set()),
        ({"max_per_worker": 1}, {"n0", "n1"}),
        ({"data_rack": "r1-2"}, {"n1"}),
    ],
)
def test_step_runs_only_on_nodes_that_satisfy_its_constraints(changes, nodes):
    job = a_job("a", a_step(2, **changes))
    planner = planner_with(job, racks=("r1-1", "r1-2"))
    planner.decide(0.0, 0)
    records = planner.state.progress["a"].tasks.values()
    assert {record.node for record in records} == nodes


def test_job_fails_when_a_task_exhausts_its_attempts():
    planner = planner_with(a_job("a", attempts=2), nodes=3)
    for attempt in (1, 2):
        now_s = float(attempt)
        for node in ("n0", "n1", "n2"):
            report(planner, node, now_s)
        planner.decide(now_s, attempt * 1000)
        assert planner.state.record("a.0.0.0").attempt == attempt
        end(planner, "a.0.0.0", EndCause.FAILED, attempt * 1000)
        for view in planner.workers.values():
            view.quarantine(now_s - QUARANTINE_S + 0.5)
        planner.decide(now_s + 0.1, attempt * 1000 + 100)
    assert planner.state.progress["a"].state is JobState.FAILED
    assert planner.state.allocated_tasks("a") == []


@pytest.mark.parametrize(
    "cause", [EndCause.LOST, EndCause.ALONE, EndCause.REFUSED]
)
def test_ends_other_than_failures_do_not_count_as_failures(cause):
    planner = planner_with(a_job("a", attempts=1))
    planner.decide(0.0, 0)
    end(planner, "a.0.0.0", cause)
    planner.decide(0.1, 100)
    record = planner.state.record("a.0.0.0")
    assert (record.phase, record.attempt) == (TaskPhase.ORDERED, 2)


def test_cancelled_job_is_stopped_and_not_restarted():
    planner = planner_with(a_job("a", a_step(2)))
    planner.decide(0.0, 0)
    planner.state.cancelled.add("a")
    planner.decide(0.1, 100)
    assert set(phases(planner, "a").values()) == {TaskPhase.STOPPING}
    for index in range(2):
        end(planner, f"a.0.0.{index}", EndCause.STOPPED)
        planner.decide(0.2, 200)
    assert planner.state.progress["a"].state is JobState.CANCELLED
    planner.decide(0.3, 300)
    assert planner.state.allocated_tasks("a") == []


def test_draining_worker_gets_no_new_work():
    planner = planner_with(a_job("a"), nodes=1)
    report(planner, "n0", worker=a_worker(draining=True))
    planner.decide(0.0, 0)
    assert phases(planner, "a") == {}


def test_draining_worker_stops_only_checkpointable_tasks():
    saving = a_job("a", a_step(checkpointable=True))
    planner = planner_with(saving, a_job("b"), nodes=1)
    planner.decide(0.0, 0)
    report(planner, "n0", worker=a_worker(draining=True))
    planner.decide(0.1, 100)
    assert phases(planner, "a") == {"a.0.0.0": TaskPhase.STOPPING}
    assert phases(planner, "b") == {"b.0.0.0": TaskPhase.ORDERED}


def test_silent_worker_keeps_its_tasks_until_its_leases_expire():
    planner = planner_with(a_job("a"), nodes=1)
    planner.decide(0.0, 0)
    planner.decide(DEAD_AFTER_S - 0.1, 14_000)
    assert planner.state.record("a.0.0.0").attempt == 1
    planner.decide(DEAD_AFTER_S + 0.1, 15_000)
    assert phases(planner, "a") == {"a.0.0.0": TaskPhase.WAITING}


def test_worker_is_not_silent_while_its_reports_cannot_be_read():
    planner = planner_with(a_job("a"), nodes=1)
    planner.decide(0.0, 0)
    planner.reports_complete_s = DEAD_AFTER_S - 0.1
    planner.decide(DEAD_AFTER_S + 5.0, 20_000)
    assert phases(planner, "a") == {"a.0.0.0": TaskPhase.ORDERED}
    planner.reports_complete_s = DEAD_AFTER_S + 0.1
    planner.decide(DEAD_AFTER_S + 5.0, 20_000)
    assert phases(planner, "a") == {"a.0.0.0": TaskPhase.WAITING}


def test_task_is_ordered_only_where_the_orders_row_holds_its_payload():
    # It was ordered, but not handed to the worker until older runs had ended.
    jobs = [a_job(f"j{number:02d}", payload="x" * 4000) for number in range(9)]
    planner = planner_with(*jobs, nodes=1)
    wide = a_worker(capacity=(20, 20_000, 20_000))
    report(planner, "n0", worker=wide)
    planner.decide(0.0, 0)
    planner.state.add_job(a_job("late", a_step(2)))
    planner.decide(0.1, 100)
    assert phases(planner, "late") == {}
    report(planner, "n1", now_s=0.2)
    planner.decide(0.2, 200)
    for task in ("late.0.0.0", "late.0.0.1"):
        record = planner.state.record(task)
        assert record.node == "n1"
        keys = [
            order.task for order in planner.state.orders_of("n1", 1).orders
        ]
        assert task in keys


def test_orders_row_holds_all_tasks_with_the_longest_payloads():
    # Half of them were ordered, but never handed to the worker.
    payload = "x" * MAX_JOB_PAYLOAD_BYTES
    jobs = [a_job(f"j{number}", payload=payload) for number in range(8)]
    planner = planner_with(*jobs, nodes=1)
    planner.decide(0.0, 0)
    ordered = [order.task for order in planner.state.orders_of("n0", 1).orders]
    assert ordered
    assert sorted(ordered) == sorted(planner.state.tasks_on("n0"))


def test_tasks_that_wait_for_a_silent_worker_are_logged_once():
    planner = planner_with(a_job("a"), nodes=1)
    planner.decide(0.0, 0)
    lines: list[str] = []
    handler = logger.add(lines.append, format="{message}")
    try:
        for now_s in (MAX_REPORT_AGE_S, 3.0, 4.0):
            planner.decide(now_s, int(now_s * 1000))
    finally:
        logger.remove(handler)
    (line,) = [line for line in lines if "is silent" in line]
    assert "worker n0 is silent for 3.0 s since report 0 of agent" in line
    assert "1 tasks wait" in line


@pytest.mark.parametrize(
    ("recent", "seen"),
    [(True, "seen"), (False, "of unknown age, counted from")],
)
def test_worker_is_given_up_with_the_inputs_of_the_decision(
    lines, recent, seen
):
    # Nothing told on which report a worker was given up.
    planner = planner_with(a_job("a"), nodes=1)
    planner.decide(0.0, 0)
    report = a_report("n0", registration="agent-1", sequence=7)
    planner.record_report(report, 1.0, recent)
    planner.reports_complete_s = 16.0
    planner.decide(16.5, 16_500)
    (line,) = [line for line in lines if "leases have run out" in line]
    assert line == (
        "worker n0 is silent for 15.0 s: its leases have run out; report 7 "
        f"of agent agent-1 {seen} 15.50 s ago, bound {DEAD_AFTER_S:.2f} s, "
        "reports known up to 0.50 s ago, 1 of 1 tasks end"
    )


def full_planner_with_urgent_gang(guaranteed):
    """Return a planner with full workers and a waiting urgent gang."""
    low = a_job("low", a_step(2, needs=ALL_ACCELERATORS, estimate_ms=9000))
    urgent = a_job(
        "urgent",
        a_step(2, needs=ALL_ACCELERATORS, gang=True, estimate_ms=100),
        priority=0,
        accepted_ms=5000,
    )
    planner = planner_with(low, guaranteed={"divers": guaranteed})
    planner.decide(0.0, 0)
    planner.state.add_job(urgent)
    return planner


def decide_at(planner, now_ms):
    for node in ("n0", "n1"):
        report(planner, node, now_ms / 1000)
    planner.decide(now_ms / 1000, now_ms)


def test_job_within_its_guarantee_preempts_after_the_delay():
    planner = full_planner_with_urgent_gang(16)
    for now_ms in (5000, 5000 + GUARANTEE_PREEMPTION_DELAY_MS):
        decide_at(planner, now_ms)
        if now_ms == 5000:
            assert phases(planner, "urgent") == {}
    assert set(phases(planner, "urgent").values()) == {TaskPhase.ORDERED}
    assert set(phases(planner, "low").values()) == {TaskPhase.STOPPING}


def test_job_over_its_guarantee_does_not_preempt_costly_runs():
    planner = full_planner_with_urgent_gang(8)
    for now_ms in (5000, 9000):
        decide_at(planner, now_ms)
    assert phases(planner, "urgent") == {}


def test_deadline_of_an_occurrence_depends_on_its_due_time():
    times = {"times": 2, "first_due_ms": 30_000, "interval_ms": 30_000}
    timed = a_job("timed", a_step(needs=ALL_ACCELERATORS), **times)
    other = a_job("other", a_step(needs=ALL_ACCELERATORS), accepted_ms=60_200)
    planner = planner_with(timed, other, nodes=1)
    planner.state.set_record(
        "timed.0.0.0", TaskRecord(TaskPhase.DONE, attempt=1)
    )
    report(planner, "n0", 60.3)
    planner.decide(60.3, 60_300)
    assert phases(planner, "timed")["timed.1.0.0"] is TaskPhase.ORDERED


@pytest.mark.parametrize(
    ("tasks", "ran_ms", "changes", "stops"),
    [
        # The loss is small, and the job would be late if it waited.
        (1, 1000, {}, True),
        # The job can wait for the end of the other run.
        (1, 1000, {"target_ms": 10_000}, False),
        # The loss is compared with the work of one task, not of all 20.
        (20, 5000, {}, False),
    ],
)
def test_a_job_over_its_guarantee_weighs_what_it_stops(
    tasks, ran_ms, changes, stops
):
    low = a_job("low", a_step(needs=ALL_ACCELERATORS, estimate_ms=9000))
    planner = planner_with(low, nodes=1)
    planner.decide(0.0, 0)
    fields = {"priority": 0, "slack_factor": 1.5, "target_ms": 0} | changes
    step = a_step(tasks, needs=ALL_ACCELERATORS, estimate_ms=1000)
    planner.state.add_job(a_job("urgent", step, accepted_ms=ran_ms, **fields))
    report(planner, "n0", ran_ms / 1000)
    planner.decide(ran_ms / 1000, ran_ms)
    phase = TaskPhase.STOPPING if stops else TaskPhase.ORDERED
    assert phases(planner, "low") == {"low.0.0.0": phase}


def test_worker_with_failures_of_several_jobs_gets_no_new_work():
    jobs = [a_job(name, a_step(needs=ALL_ACCELERATORS)) for name in "ab"]
    planner = planner_with(*jobs, nodes=2)
    planner.decide(0.0, 0)
    planner.workers["n0"].record_end("x", True, 0.0)
    assert planner.workers["n0"].record_end("y", True, 0.1)
    assert not planner.workers["n0"].usable(0.2)
    report(planner, "n0", 9.0)
    assert planner.workers["n0"].usable(9.0)


@pytest.mark.parametrize(
    ("percents", "estimate_ms", "ordered"),
    [
        ((10, 10, 10, 10), 1000, False),
        ((10, 10, 10, 11), 1000, True),
        ((10, 11, 12, 13), 1000, True),
        # On a slow worker, one percent of a long run takes this long.
        ((10, 10, 10, 10), 100_000, True),
        ((10, 10, 10, 10), 0, True),
        # A waiting gang member, or a long-running task.
        ((0, 0, 0, 0), 1000, True),
        ((100, 100, 100, 100), 1000, True),
    ],
)
def test_worker_whose_runs_make_no_progress_gets_no_new_work(
    percents, estimate_ms, ordered
):
    step = a_step(estimate_ms=estimate_ms)
    planner = planner_with(a_job("a", step), nodes=1)
    planner.decide(0.0, 0)
    for second, percent in enumerate(percents):
        run = Run("a.0.0.0", 1, percent=percent)
        report(planner, "n0", second, running=(run,))
        planner.decide(second, second * 1000)
    planner.state.add_job(a_job("b", accepted_ms=3000))
    planner.decide(3.1, 3100)
    assert bool(phases(planner, "b")) is ordered
    assert planner.workers["n0"].stalled is not ordered


def test_stalled_worker_is_reported_once_and_usable_after_progress():
    view = WorkerView(a_report("n0", worker=a_worker()), 0.0)
    reported = [
        view.record_progress((Run("a.0.0.0", 1, percent=9),), 1000, second)
        for second in range(6)
    ]
    assert reported == [False, False, False, True, False, False]
    assert not view.usable(1.0)
    view.record_progress((Run("a.0.0.0", 1, percent=10),), 1000, 6.0)
    assert view.usable(1.0)


def test_free_resources_are_reserved_for_a_waiting_gang():
    small = [a_job(f"s{n}", a_step(needs=(4, 1, 1))) for n in range(4)]
    planner = planner_with(*small)
    planner.decide(0.0, 0)
    gang = a_step(2, needs=ALL_ACCELERATORS, gang=True)
    planner.state.add_job(a_job("big", gang, accepted_ms=1))
    for number in range(4, 8):
        late = a_job(f"s{number}", a_step(needs=(4, 1, 1)), accepted_ms=2)
        planner.state.add_job(late)
    for number in range(4):
        end(planner, f"s{number}.0.0.0", EndCause.DONE, 100 * number)
        planner.decide(0.1 * number, 100 * number)
    planner.decide(0.5, 500)
    assert set(phases(planner, "big").values()) == {TaskPhase.ORDERED}


def test_gang_reuses_the_node_of_its_failure_if_it_needs_all_nodes():
    job = a_job("a", a_step(2, needs=ALL_ACCELERATORS, gang=True), attempts=9)
    planner = planner_with(job)
    planner.decide(0.0, 0)
    end(planner, "a.0.0.0", EndCause.FAILED)
    planner.decide(0.1, 100)
    end(planner, "a.0.0.1", EndCause.BROKEN)
    planner.decide(0.2, 200)
    assert set(phases(planner, "a").values()) == {TaskPhase.ORDERED}


def test_step_waits_for_the_rack_of_its_data_while_it_is_reserved():
    big = a_job("big", a_step(1, needs=ALL_ACCELERATORS), priority=1)
    near = a_job("near", a_step(1, data_rack="r1-1"))
    planner = planner_with(a_job("s"), big, near, racks=("r1-1", "r1-2"))
    report(planner, "n1", worker=a_worker(draining=True))
    planner.decide(0.0, 0)
    assert phases(planner, "near") == {}


def test_task_of_a_silent_worker_resumes_from_its_reported_checkpoint():
    job = a_job("a", a_step(checkpointable=True))
    planner = planner_with(job, nodes=1)
    planner.decide(0.0, 0)
    report(planner, "n0", running=(Run("a.0.0.0", 1, "stored", 40),))
    planner.decide(DEAD_AFTER_S + 0.1, 15_000)
    record = planner.state.record("a.0.0.0")
    assert (record.phase, record.saved) == (TaskPhase.WAITING, "stored")


HALF_CAPACITY = (4, 16_000, 65_536)


def resize(planner, node, capacity, now_s=0.0, **changes):
    """Report that a worker has another capacity now."""
    worker = planner.workers[node].report.worker
    resized = attrs.evolve(worker, capacity=capacity)
    report(planner, node, now_s, worker=resized, **changes)


def nodes_by_job(planner):
    """Return the nodes that the tasks of each job are ordered on."""
    found = {}
    for job_id, progress in planner.state.progress.items():
        for record in progress.tasks.values():
            if record.phase is TaskPhase.ORDERED:
                found.setdefault(job_id, []).append(record.node)
    return found


@pytest.mark.parametrize(
    ("running", "step", "nodes"),
    [
        # The worker runs more than it has room for now, or as much.
        (ALL_ACCELERATORS, a_step(), ["n1"]),
        (HALF_CAPACITY, a_step(), ["n1"]),
        ((1, 1, 1), a_step(needs=HALF_CAPACITY), ["n1"]),
        ((1, 1, 1), a_step(needs=(3, 1, 1)), ["n0"]),
        ((1, 1, 1), a_step(2, needs=(3, 1, 1), gang=True), ["n0", "n1"]),
        # The rack of the data, or each rack, is too small even when idle.
        ((1, 1, 1), a_step(needs=(5, 1, 1), data_rack="r1-1"), ["n1"]),
        (
            ALL_ACCELERATORS,
            a_step(3, needs=(4, 1, 1), gang=True, same_rack=True),
            None,
        ),
        (
            (1, 1, 1),
            a_step(3, needs=(3, 1, 1), gang=True, same_rack=True),
            ["n0", "n1", "n1"],
        ),
    ],
)
def test_urgent_job_is_ordered_at_once_where_a_shrunken_site_has_room(
    running, step, nodes
):
    planner = planner_with(
        a_job("low", a_step(needs=running)),
        racks=("r1-1", "r1-2"),
        guaranteed={"divers": 16},
    )
    planner.decide(0.0, 0)
    assert nodes_by_job(planner) == {"low": ["n0"]}
    resize(planner, "n0", HALF_CAPACITY)
    planner.state.add_job(a_job("urgent", step, priority=0))
    planner.decide(0.1, 100)
    ordered = nodes_by_job(planner)
    assert ordered["low"] == ["n0"]
    assert ordered.get("urgent") == nodes


def test_job_preempts_on_a_worker_that_runs_more_than_its_capacity():
    low = a_job("low", a_step(needs=ALL_ACCELERATORS))
    planner = planner_with(low, nodes=1, guaranteed={"divers": 4})
    planner.decide(0.0, 0)
    urgent = a_job("urgent", a_step(needs=HALF_CAPACITY), priority=0)
    planner.state.add_job(urgent)
    for now_ms in (100, GUARANTEE_PREEMPTION_DELAY_MS):
        resize(planner, "n0", HALF_CAPACITY, now_ms / 1000)
        planner.decide(now_ms / 1000, now_ms)
    assert phases(planner, "low") == {"low.0.0.0": TaskPhase.STOPPING}
    assert nodes_by_job(planner) == {"urgent": ["n0"]}


def test_order_refused_by_a_shrunken_worker_waits_until_it_has_grown():
    planner = planner_with(a_job("a", a_step(needs=(5, 1, 1))), nodes=1)
    planner.decide(0.0, 0)
    refused = RunEnd("a.0.0.0", 1, EndCause.REFUSED)
    resize(planner, "n0", HALF_CAPACITY, ended=(refused,))
    for _ in range(3):
        planner.decide(0.1, 100)
        assert nodes_by_job(planner) == {}
    resize(planner, "n0", ALL_ACCELERATORS)
    planner.decide(0.2, 200)
    assert nodes_by_job(planner) == {"a": ["n0"]}


def test_waiting_job_reserved_the_room_of_a_stopping_run_twice():
    # The shrunken worker stays too small; the other one will have room.
    stopping = a_job("stopping", a_step(needs=ALL_ACCELERATORS))
    half = a_step(needs=HALF_CAPACITY, estimate_ms=9000)
    planner = planner_with(stopping, a_job("a", half), a_job("b", half))
    planner.decide(0.0, 0)
    on_stopping = planner.state.record("stopping.0.0.0").node
    assert on_stopping not in nodes_by_job(planner)["a"]
    planner.state.cancelled.add("stopping")
    resize(planner, on_stopping, HALF_CAPACITY)
    large = a_job("large", a_step(needs=ALL_ACCELERATORS), priority=1)
    planner.state.add_job(large)
    planner.state.add_job(a_job("small", a_step(needs=HALF_CAPACITY)))
    end(planner, "a.0.0.0", EndCause.DONE)
    planner.decide(0.1, 100)
    assert nodes_by_job(planner)["small"] == [on_stopping]


def test_refused_order_was_made_again_on_the_same_worker():
    # The worker may refuse every start and answer all other calls.
    planner = planner_with(a_job("a"))
    planner.decide(0.0, 0)
    (refusing,) = nodes_by_job(planner)["a"]
    end(planner, "a.0.0.0", EndCause.REFUSED)
    planner.decide(0.1, 100)
    assert nodes_by_job(planner)["a"] != [refusing]


def test_long_running_jobs_with_long_payloads_use_the_whole_worker():
    # Nine payloads fill the orders row of a worker for ever.
    worker = a_worker(capacity=(0, 64_000, 131_072))
    step = a_step(needs=(0, 1000, 100), long_running=True)
    jobs = [
        a_job(f"j{number}", step, payload=f"{number}" * 4000)
        for number in range(10)
    ]
    planner = planner_with(*jobs, nodes=1)
    report(planner, "n0", worker=worker)
    planner.decide(0.0, 0)
    assert len(planner.state.orders_of("n0", 1).orders) == 10

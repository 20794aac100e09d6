from __future__ import annotations

import pytest
from loguru import logger

from filbertlb.batch.crashes import MAX_BACKOFF_MS
from filbertlb.batch.demand import Demand
from filbertlb.batch.evacuation import Evacuations
from filbertlb.batch.job_check import MAX_JOB_PAYLOAD_BYTES
from filbertlb.batch.model import Crash
from filbertlb.batch.model import TaskRecord
from filbertlb.batch.placing import MAX_CHANGED_ROWS
from filbertlb.batch.planner import Planner
from filbertlb.batch.queue_report import LOG_PERIOD_S
from filbertlb.batch.queue_report import LOGGED_GROUPS
from filbertlb.batch.queue_report import MAX_NAME_LENGTH
from filbertlb.batch.queue_report import WaitReason
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_report
from filbertlb.batch.testing import a_step
from filbertlb.batch.testing import a_worker

ALL_ACCELERATORS = (8, 8_000, 8_000)


@pytest.fixture(name="lines")
def lines_fixture():
    """Return the list that log lines about the queue are added to."""
    lines = []
    sink = logger.add(
        lambda line: lines.append(str(line)),
        format="{message}",
        filter=lambda record: record["message"].startswith("queue:"),
    )
    yield lines
    logger.remove(sink)


def decided(
    *jobs, by_benefit=False, records=None, now_s=0.0, nodes=("n0", "n1")
):
    """Return a planner of some workers after a decision."""
    planner = Planner(demand=Demand() if by_benefit else None)
    for node in nodes:
        worker = a_worker(incarnation=f"{node}@1")
        planner.record_report(a_report(node, worker=worker), now_s)
    for job in jobs:
        planner.state.add_job(job)
    for task, record in (records or {}).items():
        planner.state.set_record(task, record)
    planner.decide(now_s, int(now_s * 1000))
    return planner


def crashed(now_ms):
    return TaskRecord(since_ms=now_ms, crashes=(Crash("n0", 5),))


@pytest.mark.parametrize(
    ("step", "reason"),
    [
        (a_step(17), WaitReason.NO_ROOM),
        (a_step(required_label="fast"), WaitReason.NO_WORKER),
        (a_step(3, gang=True, max_per_worker=1), WaitReason.CONSTRAINED),
        (a_step(3, max_per_worker=1), WaitReason.CONSTRAINED),
    ],
)
@pytest.mark.parametrize("by_benefit", [False, True])
def test_waiting_groups_are_counted_by_reason(step, reason, by_benefit):
    planner = decided(a_job("a", step), by_benefit=by_benefit)
    assert planner.queue_report.count_by_reason == {reason.value: 1}


def test_room_that_is_reserved_for_another_group_is_told_apart():
    running = a_job("r", a_step(needs=(4, 1, 1)), priority=0)
    gang = a_job("g", a_step(2, gang=True, needs=ALL_ACCELERATORS), priority=1)
    other = a_job("o", a_step(needs=(1, 1, 1)), priority=2)
    planner = decided(running, gang, other)
    assert planner.state.progress["o"].tasks == {}
    assert planner.queue_report.count_by_reason == {"reserved": 2}


def test_groups_of_equal_needs_that_end_before_a_reservation_are_told_apart():
    # The reason of the first group counted for all with its needs.
    running = a_job("r", a_step(needs=(4, 1, 1)), priority=0)
    gang = a_job("g", a_step(2, gang=True, needs=ALL_ACCELERATORS), priority=1)
    needs = (1, 1, 1)
    long = a_job("l", a_step(needs=needs), target_ms=0)
    short = a_job("s", a_step(13, gang=True, needs=needs, estimate_ms=100))
    planner = decided(running, gang, long, short)
    assert planner.queue_report.count_by_reason == {
        "reserved": 2,
        "constrained": 1,
    }


@pytest.mark.parametrize("guaranteed", [0, 32])
def test_workers_that_are_held_back_have_no_room_for_ordinary_work(guaranteed):
    # They counted as free, so groups seemed to wait for their own limits.
    planner = Planner(guaranteed={"divers": guaranteed})
    for node, zone in (("n0", "a"), ("n1", "a"), ("n2", "b")):
        worker = a_worker(incarnation=f"{node}@1", zone=zone)
        planner.record_report(a_report(node, worker=worker), 0.0)
    planner.evacuations.request("a", 1)
    planner.evacuations.withdraw("a", 0.0)
    claim = a_job("c", a_step(32, gang=True), priority=0)
    for job in (claim, a_job("o", a_step(17))):
        planner.state.add_job(job)
    planner.decide(0.0, 0)
    assert (
        planner.queue_report.count_by_reason
        == {
            True: {"constrained": 1, "no_room": 1},
            False: {"no_room": 2},
        }[guaranteed > 0]
    )


def test_worker_with_a_full_orders_row_is_no_missing_worker():
    payload = "x" * MAX_JOB_PAYLOAD_BYTES
    jobs = [a_job(f"{n:02}", payload=payload) for n in range(8)]
    planner = decided(*jobs, nodes=("n0",))
    waiting = sum(planner.queue_report.count_by_reason.values())
    assert waiting
    assert planner.queue_report.count_by_reason == {"constrained": waiting}


def test_delayed_restart_is_told_apart():
    job = a_job("a", a_step(long_running=True))
    planner = decided(job, records={"a.0.0.0": crashed(0)})
    assert planner.queue_report.count_by_reason == {"delayed": 1}
    for number in range(1, 5):
        now_s = number * (MAX_BACKOFF_MS / 1000)
        planner.workers["n0"].seen_s = now_s
        planner.decide(now_s, int(now_s * 1000))
    assert planner.queue_report.count_by_reason == {}


def test_groups_that_a_decision_does_not_reach_are_counted():
    jobs = [a_job(f"{n:03}", a_step()) for n in range(3)]
    planner = Planner()
    planner.state.changed_jobs.update(map(str, range(MAX_CHANGED_ROWS + 1)))
    planner.record_report(a_report("n0", worker=a_worker()), 0.0)
    for job in jobs:
        planner.state.add_job(job)
    planner.decide(0.0, 0)
    assert planner.queue_report.count_by_reason == {"not_tried": 3}


def test_groups_are_counted_while_evacuation_requests_are_outdated(lines):
    # The gauge kept its last values for as long as nothing was placed.
    planner = decided(a_job("a", a_step(17, gang=True)))
    assert planner.queue_report.count_by_reason == {"constrained": 1}
    planner.state.add_job(a_job("b"))
    planner.evacuations = Evacuations(max_age_s=1.0, complete_s=0.0)
    planner.decide(LOG_PERIOD_S, 5000)
    assert planner.queue_report.count_by_reason == {"requests_outdated": 2}
    assert lines[-1].startswith("queue: 2 groups wait (requests_outdated 2)")
    assert "a.0.0 of 'divers' priority 2 waited 5000 ms: req" in lines[-1]
    planner.evacuations.complete_s = LOG_PERIOD_S
    planner.workers["n0"].seen_s = planner.workers["n1"].seen_s = 6.0
    planner.decide(6.0, 6000)
    assert planner.queue_report.count_by_reason == {"constrained": 1}


@pytest.mark.parametrize("by_benefit", [False, True])
def test_log_tells_the_order_and_is_bounded(lines, by_benefit):
    # Hundreds of groups wait on a full site, and decisions follow each other
    # within 10 ms.
    names = ["x" * 300] + [f"{n:03}" for n in range(300)]
    step = a_step(17, gang=True)
    jobs = [a_job(name, step) for name in names]
    planner = decided(*jobs, by_benefit=by_benefit)
    for number in range(100):
        now_s = number * LOG_PERIOD_S / 100
        planner.decide(now_s, int(now_s * 1000))
    (line,) = lines
    assert line.startswith("queue: 301 groups wait (constrained 301), first ")
    assert line.count("priority 2 waited 0 ms") == LOGGED_GROUPS
    assert "000.0.0 of 'divers'" in line
    assert len(line) < LOGGED_GROUPS * (2 * MAX_NAME_LENGTH + 100)
    planner.decide(LOG_PERIOD_S, int(LOG_PERIOD_S * 1000))
    assert len(lines) == 2


def test_nothing_is_logged_if_nothing_waits(lines):
    planner = decided(a_job("a"))
    assert planner.queue_report.count_by_reason == {}
    assert lines == []

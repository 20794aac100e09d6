"""Division of a decision's rows into bounded transactions."""

from __future__ import annotations

from random import Random

import pytest

from filbertlb.batch.job_check import check_job
from filbertlb.batch.model import Orders
from filbertlb.batch.model import orders_key
from filbertlb.batch.model import PROGRESS_PREFIX
from filbertlb.batch.model import STATUS_PREFIX
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.model import TaskRecord
from filbertlb.batch.planner import MAX_LOST_TASKS
from filbertlb.batch.planner import Planner
from filbertlb.batch.planner_state import MAX_PAYLOAD_BYTES
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_report
from filbertlb.batch.testing import a_step
from filbertlb.batch.testing import an_order
from filbertlb.batch.testing import some_orders
from filbertlb.batch.workers import DEAD_AFTER_S
from filbertlb.batch.write_plan import changed_units
from filbertlb.batch.write_plan import divide
from filbertlb.batch.write_plan import WriteUnit
from filbertlb.table.base import Row
from filbertlb.table.base import TransactionLimits
from filbertlb.table.base import Write
from filbertlb.table.rows import decode_row
from filbertlb.table.rows import encode_value


def a_unit(name, size=10, rows=1):
    writes = tuple(
        Write(f"state/{name}{number}", b"x" * size) for number in range(rows)
    )
    return WriteUnit(writes, jobs=frozenset((name,)))


def planned(planner):
    """Return the keys of each unit of a planner's changed rows."""
    return [
        [write.key for write in unit.writes]
        for unit in changed_units(planner.state, epoch=1)
    ]


@pytest.mark.parametrize(
    ("units", "limits", "expected"),
    [
        ([a_unit("a"), a_unit("b")], {"entries": 2}, ["ab"]),
        ([a_unit("a"), a_unit("b")], {"entries": 1}, ["a", "b"]),
        (
            [a_unit("a", rows=2), a_unit("b"), a_unit("c", rows=2)],
            {"entries": 3},
            ["ab", "c"],
        ),
        (
            [a_unit("a", size=600), a_unit("b", size=600)],
            {"total_bytes": 1500},
            ["a", "b"],
        ),
    ],
)
def test_units_are_joined_in_order_up_to_the_limits(units, limits, expected):
    plan = divide(units, TransactionLimits(**limits))
    jobs = ["".join(sorted(unit.jobs)) for unit in plan.transactions]
    assert jobs == expected
    assert not plan.oversized


@pytest.mark.parametrize(
    ("unit", "limits"),
    [
        (a_unit("b", rows=4), {"entries": 3}),
        (a_unit("b", size=900), {"row_bytes": 1000}),
        (a_unit("b", size=900), {"total_bytes": 1000}),
        (
            WriteUnit((Write("state/b", b"", expected_version=1),)),
            {"entries": 1},
        ),
    ],
)
def test_unit_over_a_limit_does_not_stop_the_others(unit, limits):
    units = [a_unit("a"), unit, a_unit("c")]
    plan = divide(units, TransactionLimits(**limits))
    written = {job for unit in plan.transactions for job in unit.jobs}
    assert written == {"a", "c"}
    assert plan.oversized == (unit,)


def test_progress_precedes_orders_and_urgent_jobs_come_first():
    planner = Planner()
    planner.record_report(a_report("n1"), 0.0)
    planner.record_report(a_report("n2"), 0.0)
    planner.state.add_job(a_job("late", a_step(8), priority=2))
    planner.state.add_job(a_job("urgent", a_step(8), priority=0))
    planner.decide(0.0, 0)
    assert planned(planner) == [
        [PROGRESS_PREFIX + "urgent"],
        [PROGRESS_PREFIX + "late"],
        [orders_key(planner.state.record("urgent.0.0.0").node)],
        [orders_key(planner.state.record("late.0.0.0").node)],
    ]


def test_tasks_leave_a_silent_worker_together_with_its_orders():
    planner = Planner()
    planner.record_report(a_report("n1"), 0.0)
    planner.state.add_job(a_job("j", a_step(1)))
    planner.decide(0.0, 0)
    planner.state.mark_written(frozenset(("j",)), frozenset(("n1",)))
    now_s = DEAD_AFTER_S + 1
    planner.record_report(a_report("n2"), now_s)
    planner.decide(now_s, int(now_s * 1000))
    assert planned(planner) == [
        [orders_key("n1"), PROGRESS_PREFIX + "j"],
        [orders_key("n2")],
    ]


def test_orders_of_a_worker_back_from_silence_preceded_their_progress():
    # Its lost tasks were still to be written, as writes had been refused.
    planner = Planner()
    planner.record_report(a_report("n1"), 0.0)
    planner.state.add_job(a_job("a"))
    planner.decide(0.0, 0)
    planner.state.mark_written(frozenset(("a",)), frozenset(("n1",)))
    now_s = DEAD_AFTER_S + 1
    planner.decide(now_s, int(now_s * 1000))
    planner.state.add_job(a_job("b"))
    planner.record_report(a_report("n1"), now_s)
    planner.decide(now_s, int(now_s * 1000))
    stored = set()
    for unit in changed_units(planner.state, epoch=1):
        keys = {write.key for write in unit.writes}
        stored |= {key for key in keys if key.startswith(PROGRESS_PREFIX)}
        if orders_key("n1") in keys:
            orders = planner.state.orders_of("n1", 1).orders
            jobs = {PROGRESS_PREFIX + order.job_id for order in orders}
            assert jobs <= stored
        planner.state.mark_written(unit.jobs, unit.nodes)
    planner.decide(now_s, int(now_s * 1000))
    assert len(planner.state.tasks_on("n1")) == 2


def test_status_is_written_only_when_it_changes():
    planner = Planner()
    planner.state.add_job(a_job("j"))
    planner.state.mark_started("j")
    keys = [PROGRESS_PREFIX + "j", STATUS_PREFIX + "j"]
    assert planned(planner) == [keys]
    planner.state.mark_written(frozenset(("j",)), frozenset())
    planner.state.changed_jobs.add("j")
    assert planned(planner) == [keys[:1]]


def test_oversized_job_fails_and_its_runs_are_no_longer_ordered():
    planner = Planner()
    planner.record_report(a_report("n1"), 0.0)
    planner.state.add_job(a_job("big", a_step(8)))
    planner.decide(0.0, 0)
    limits = TransactionLimits(
        row_bytes=len(encode_value(planner.state.progress["big"]))
    )
    plan = divide(changed_units(planner.state, 1), limits)
    assert plan.oversized_jobs() == {"big"}
    planner.fail_oversized_job("big", 0)
    plan = divide(changed_units(planner.state, 1), limits)
    assert not plan.oversized
    assert planner.state.orders_of("n1", 1).orders == ()
    assert planner.state.ordered("n1") == (0, 0, 0)


def a_record(number, random):
    """Return the record of a task that resumes on one of 60 workers."""
    return TaskRecord(
        TaskPhase.ORDERED,
        attempt=2,
        node=f"side-zone-c-{number % 60}",
        incarnation=f"i-{number % 60:010x}@1796500{number % 60:06d}",
        saved=f"{random.getrandbits(64):016x}",
        since_ms=1_796_500_000_000 + random.randrange(60_000),
    )


@pytest.mark.parametrize("tasks", [1_500, 2_000])
def test_accepted_job_failed_once_its_progress_had_outgrown_a_row(tasks):
    # All of its runs were stopped once and resumed from a checkpoint.
    job = a_job("big", a_step(tasks, checkpointable=True))
    check_job(job)
    planner, random = Planner(), Random(1)
    planner.state.add_job(job)
    for number in range(tasks):
        record = a_record(number, random)
        planner.state.set_record(f"big.0.0.{number}", record)
    plan = divide(changed_units(planner.state, 1), TransactionLimits())
    assert plan.oversized_jobs() == frozenset()


def test_only_the_job_with_the_large_row_fails_of_a_silent_worker():
    planner = Planner()
    planner.record_report(a_report("n1"), 0.0)
    planner.state.add_job(a_job("big"))
    planner.state.add_job(a_job("small"))
    planner.decide(0.0, 0)
    checkpoint = "".join(str(number**5) for number in range(200))
    planner.state.record("big.0.0.0").saved = checkpoint
    planner.state.mark_written(frozenset(("big", "small")), frozenset(("n1",)))
    now_s = DEAD_AFTER_S + 1
    planner.decide(now_s, int(now_s * 1000))
    limits = TransactionLimits(
        row_bytes=len(encode_value(planner.state.progress["big"]))
    )
    plan = divide(changed_units(planner.state, 1), limits)
    assert plan.oversized_jobs() == {"big"}


def test_orders_row_leaves_the_newest_payloads_for_later():
    planner = Planner()
    for number in range(20):
        job_id = f"j{number:02d}"
        planner.state.add_job(a_job(job_id, payload="x" * 4000))
        record = TaskRecord(
            TaskPhase.ORDERED,
            attempt=1,
            node="n1",
            incarnation="w@1",
            since_ms=100 - number,
        )
        planner.state.set_record(f"{job_id}.0.0.0", record)
    row = planner.state.orders_of("n1", 1)
    assert len(row.orders) == MAX_PAYLOAD_BYTES // 4000
    oldest = planner.state.tasks_on("n1")[: len(row.orders)]
    assert [order.task for order in row.orders] == oldest


def test_jobs_of_a_silent_worker_failed_while_writes_were_refused():
    # Decision after decision added to what is written in one transaction.
    planner = Planner()
    planner.record_report(a_report("n1"), 0.0)
    for number in range(200):
        job_id = f"j{number:03d}"
        planner.state.add_job(a_job(job_id))
        record = TaskRecord(TaskPhase.ORDERED, 1, node="n1")
        planner.state.set_record(f"{job_id}.0.0.0", record)
    jobs = frozenset(planner.state.jobs)
    planner.state.mark_written(jobs, frozenset(("n1",)))
    for refused in range(10):
        now_s = DEAD_AFTER_S + 1 + refused
        planner.decide(now_s, int(now_s * 1000))
        plan = divide(changed_units(planner.state, 1), TransactionLimits())
        assert not plan.oversized
    for unit in plan.transactions:
        planner.state.mark_written(unit.jobs, unit.nodes)
    planner.decide(now_s, int(now_s * 1000))
    assert len(planner.state.tasks_on("n1")) == 200 - 2 * MAX_LOST_TASKS


def test_job_failed_as_the_orders_of_its_silent_worker_outgrew_a_row():
    # The row of all orders was blamed on the job with the most progress.
    planner, random = Planner(), Random(1)
    planner.record_report(a_report("n1"), 0.0)
    planner.state.add_job(a_job("j", a_step(2_500)))
    for number in range(2_500):
        saved = f"{random.getrandbits(128):032x}"
        record = TaskRecord(TaskPhase.ORDERED, 1, node="n1", saved=saved)
        planner.state.set_record(f"j.0.0.{number}", record)
    now_s = DEAD_AFTER_S + 1
    planner.decide(now_s, int(now_s * 1000))
    plan = divide(changed_units(planner.state, 1), TransactionLimits())
    assert not plan.oversized and not plan.oversized_jobs()
    (orders,) = (
        decode_row(Row(write.key, write.value, 1), Orders)
        for unit in plan.transactions
        for write in unit.writes
        if write.key == orders_key("n1")
    )
    oldest = planner.state.tasks_on("n1")[: len(orders.orders)]
    assert [order.task for order in orders.orders] == oldest
    assert len(oldest) > 1_000 and orders.payload_by_job_id.keys() == {"j"}


def test_newest_orders_are_left_out_but_no_stops():
    orders = [
        an_order(f"{job_id}.0.0.0", stop=job_id == "d") for job_id in "abcd"
    ]
    row = some_orders(*orders).without_newest(2)
    assert [order.job_id for order in row.orders] == ["d", "a"]
    assert row.payload_by_job_id.keys() == {"a", "d"}

"""Progress of a job in one row, or divided over a head and parts."""

from __future__ import annotations

from random import Random
from string import ascii_letters
from string import digits
from string import punctuation

import pytest

from filbertlb.batch.crashes import MAX_RECORDED_CRASHES
from filbertlb.batch.job_check import check_job
from filbertlb.batch.job_check import MAX_JOB_TASKS
from filbertlb.batch.model import Crash
from filbertlb.batch.model import GangFailures
from filbertlb.batch.model import JobState
from filbertlb.batch.model import MAX_SAVED_BYTES
from filbertlb.batch.model import Progress
from filbertlb.batch.model import PROGRESS_PREFIX
from filbertlb.batch.model import STATUS_PREFIX
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.model import TaskRecord
from filbertlb.batch.planner import Planner
from filbertlb.batch.planner_state import PlannerState
from filbertlb.batch.progress_rows import decode_progress
from filbertlb.batch.progress_rows import part_key
from filbertlb.batch.progress_rows import PART_TASKS
from filbertlb.batch.takeover import add_progress_rows
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_report
from filbertlb.batch.testing import a_step
from filbertlb.batch.workers import DEAD_AFTER_S
from filbertlb.batch.write_plan import changed_units
from filbertlb.batch.write_plan import divide
from filbertlb.table.base import stored_bytes
from filbertlb.table.base import TransactionLimits
from filbertlb.table.memory import MemoryTable
from filbertlb.table.rows import decode_row
from filbertlb.table.rows import UnreadableRowError

SMALL_ROWS = TransactionLimits(row_bytes=8_000)
SMALL_TRANSACTIONS = TransactionLimits(row_bytes=8_000, total_bytes=9_000)
JOB = a_job("j", a_step(5 * PART_TASKS))


def task(number):
    return f"j.0.0.{number}"


def a_record(number, phase=TaskPhase.ORDERED, **changes):
    """Return a record that no other task's helps to compress."""
    random = Random(number)
    fields = {
        "attempt": 1 + number % 7,
        "node": f"n{number % 50}",
        "incarnation": f"i-{random.getrandbits(128):032x}@1",
        "saved": f"{random.getrandbits(128):032x}",
    }
    return TaskRecord(phase, **(fields | changes))


def a_planner(job=JOB):
    """Return a planner that has ordered all tasks of a job."""
    planner = Planner()
    planner.state.add_job(job)
    for number in range(sum(step.count for step in job.steps)):
        planner.state.set_record(task(number), a_record(number))
    return planner


def write(state, table, limits=SMALL_ROWS, transactions=None):
    """Write the changed rows, or only the first transactions."""
    plan = divide(changed_units(state, 1, limits), limits)
    assert not plan.oversized
    for unit in plan.transactions[:transactions]:
        table.commit(unit.writes)
        state.mark_written(unit.jobs, unit.nodes)
    return len(plan.transactions)


def read(table, job=JOB):
    """Return the state that the next decider begins with."""
    state = PlannerState()
    rows = table.snapshot(PROGRESS_PREFIX).rows
    add_progress_rows(state, {job.job_id: job}, rows)
    state.add_job(job)
    return state


def test_small_progress_is_one_row_as_earlier_versions_know_it():
    planner, table = a_planner(), MemoryTable()
    write(planner.state, table, TransactionLimits())
    (row,) = table.snapshot(PROGRESS_PREFIX).rows
    assert decode_row(row, Progress) == planner.state.progress["j"]


def test_divided_progress_is_read_back_whole():
    planner, table = a_planner(), MemoryTable()
    planner.state.fail_job("j", "3 attempts of j.0.0.4", 7)
    planner.state.mark_started("j")
    write(planner.state, table)
    state = read(table)
    assert len(table.snapshot(PROGRESS_PREFIX).rows) == 6
    assert state.progress == planner.state.progress
    assert state.tasks_on("n7") == planner.state.tasks_on("n7")
    assert list(state.progress["j"].tasks) == list(
        planner.state.progress["j"].tasks
    )


def test_changed_task_writes_its_part_only():
    planner, table = a_planner(), MemoryTable()
    write(planner.state, table)
    state = read(table)
    state.set_record(task(70), a_record(70, TaskPhase.DONE))
    unit = next(changed_units(state, 1, SMALL_ROWS))
    keys = {write.key for write in unit.writes}
    assert keys == {part_key("j", 70 // PART_TASKS), PROGRESS_PREFIX + "j"}
    write(state, table)
    assert read(table).progress == state.progress


def test_earlier_version_ran_the_tasks_of_a_divided_job_again():
    # It has to find the row unreadable; it leaves such a job alone.
    planner, table = a_planner(), MemoryTable()
    write(planner.state, table)
    rows = table.snapshot(PROGRESS_PREFIX).rows
    assert len(rows) == 6
    for row in rows[:1]:
        with pytest.raises(UnreadableRowError):
            decode_row(row, Progress)
    for row in rows[1:]:
        assert PROGRESS_PREFIX + decode_row(row, Progress).job_id != row.key


@pytest.mark.parametrize("number", range(5))
def test_job_without_one_of_its_parts_is_left_alone(number):
    planner, table = a_planner(), MemoryTable()
    write(planner.state, table)
    rows = [
        row
        for row in table.snapshot(PROGRESS_PREFIX).rows
        if row.key != part_key("j", number)
    ]
    state = PlannerState()
    add_progress_rows(state, {"j": JOB}, rows)
    state.add_job(JOB)
    assert state.ignored_jobs == {"j"} and not state.jobs


def test_part_under_the_key_of_another_is_refused():
    planner, table = a_planner(), MemoryTable()
    write(planner.state, table)
    head, first, second, *others = table.snapshot(PROGRESS_PREFIX).rows
    swapped = [
        type(first)(first.key, second.value, 1),
        type(first)(second.key, first.value, 1),
    ]
    with pytest.raises(UnreadableRowError, match="belongs to"):
        decode_progress(head, [*swapped, *others], JOB)


def change_again(state, generation):
    """Change most tasks, and give some their first records."""
    for number in range(0, 100 + 20 * generation):
        phase = TaskPhase.DONE if number % 3 else TaskPhase.STOPPING
        record = a_record(number + generation, phase)
        state.set_record(task(number), record)


@pytest.mark.parametrize("divided_before", [False, True])
@pytest.mark.parametrize("transactions", range(4))
def test_task_lost_its_record_where_a_decider_died_between_parts(
    transactions, divided_before
):
    planner, table = Planner(), MemoryTable()
    state = planner.state
    state.add_job(JOB)
    count = 60 if divided_before else 10
    for number in range(count):
        state.set_record(task(number), a_record(number))
    write(state, table, SMALL_TRANSACTIONS)
    before = dict(read(table).progress["j"].tasks)
    change_again(state, 1)
    after = dict(state.progress["j"].tasks)
    assert write(state, table, SMALL_TRANSACTIONS, transactions) >= 4
    state = read(table)
    assert not state.ignored_jobs
    found = state.progress["j"].tasks
    assert found.keys() >= before.keys()
    for name, record in found.items():
        assert record in (before.get(name), after[name])
    change_again(state, 2)
    write(state, table, SMALL_TRANSACTIONS)
    assert read(table).progress == state.progress


def test_member_of_a_gang_was_stored_as_done_before_the_others():
    # Without the others' ends the gang would never have started again.
    size = 2 * PART_TASKS
    job = a_job("j", a_step(size, gang=True), a_step(size))
    state, table = PlannerState(), MemoryTable()
    state.add_job(job)
    for number in range(2 * size):
        name = f"j.0.{number // size}.{number % size}"
        state.set_record(name, a_record(number))
    write(state, table)
    for name in state.progress["j"].tasks:
        state.set_phase(name, TaskPhase.DONE, 1)
    whole = next(changed_units(state, 1, SMALL_ROWS))
    limits = TransactionLimits(total_bytes=whole.total_bytes - 1)
    units = list(changed_units(state, 1, limits))[:4]
    assert [[write.key for write in unit.writes] for unit in units] == [
        [part_key("j", 0), part_key("j", 1)],
        [part_key("j", 2)],
        [part_key("j", 3)],
        [PROGRESS_PREFIX + "j"],
    ]


def test_failed_runs_of_a_gang_were_taken_from_an_older_part():
    job = a_job("j", a_step(5 * PART_TASKS, gang=True))
    planner, table = a_planner(job), MemoryTable()
    state = planner.state
    state.set_gang_failures("j.0.0", GangFailures(1, 1))
    write(state, table)
    state.set_gang_failures("j.0.0", GangFailures(2, 3))
    assert write(state, table, SMALL_TRANSACTIONS, transactions=1) > 1
    assert read(table, job).gang_failures("j.0.0") == GangFailures(2, 3)


def test_tasks_leave_a_silent_worker_with_its_orders_also_in_parts():
    planner, table = Planner(), MemoryTable()
    planner.state.add_job(JOB)
    planner.record_report(a_report("n7"), 0.0)
    for number in range(200):
        planner.state.set_record(task(number), a_record(number))
    write(planner.state, table)
    planner.decide(DEAD_AFTER_S + 1, 60_000)
    for number in range(100, 200):
        planner.state.set_phase(task(number), TaskPhase.DONE, 60_000)
    units = changed_units(planner.state, 1, SMALL_TRANSACTIONS)
    lost = {task(number) for number in range(7, 200, 50)}
    for unit in units:
        keys = [write.key for write in unit.writes]
        if any(key.startswith("orders-") for key in keys):
            break
        assert not keys_of(lost) & set(keys)
    assert keys_of(lost) <= set(keys)
    assert PROGRESS_PREFIX + "j" in keys


def keys_of(tasks):
    numbers = {int(name.rpartition(".")[2]) for name in tasks}
    return {part_key("j", number // PART_TASKS) for number in numbers}


def a_name(random, length, letters=ascii_letters + digits):
    return "".join(random.choices(letters, k=length))


def test_accepted_job_could_outgrow_its_rows():
    # Names that don't compress, the longest checkpoints, all crashes kept.
    random = Random(1)
    job_id = a_name(random, 64)
    job = a_job(job_id, a_step(MAX_JOB_TASKS, checkpointable=True))
    check_job(job)
    state = PlannerState()
    state.add_job(job)
    nodes = [a_name(random, 63) for _ in range(750)]
    for number in range(MAX_JOB_TASKS):
        record = TaskRecord(
            TaskPhase.ORDERED,
            attempt=random.randrange(1, 1000),
            failures=random.randrange(1000),
            node=random.choice(nodes),
            incarnation=a_name(random, 63),
            saved=a_name(
                random, MAX_SAVED_BYTES, ascii_letters + digits + punctuation
            ),
            since_ms=random.getrandbits(60),
            avoid=random.choice(nodes),
            crashes=tuple(
                Crash(random.choice(nodes), random.getrandbits(60))
                for _ in range(MAX_RECORDED_CRASHES)
            ),
        )
        state.set_record(f"{job_id}.0.0.{number}", record)
    limits = TransactionLimits()
    units = list(changed_units(state, 1, limits))
    plan = divide(units, limits)
    assert not plan.oversized and not plan.oversized_jobs()
    largest = max(
        stored_bytes(write.value)
        for unit in units
        for write in unit.writes
        if write.key.startswith(PROGRESS_PREFIX)
    )
    assert largest < limits.row_bytes


def test_status_of_a_divided_job_is_written_with_its_head():
    planner, table = a_planner(), MemoryTable()
    planner.state.set_job_state("j", JobState.ACTIVE, 0)
    units = list(changed_units(planner.state, 1, SMALL_TRANSACTIONS))
    (last,) = (unit for unit in units if unit.jobs)
    assert {write.key for write in last.writes} == {
        PROGRESS_PREFIX + "j",
        STATUS_PREFIX + "j",
    }
    assert table.get(STATUS_PREFIX + "j") is None

"""Deciders that take over one after the other, in virtual time."""

from __future__ import annotations

import attrs
import pytest

from filbertlb.batch.index import JobIndex
from filbertlb.batch.model import JOB_PREFIX
from filbertlb.batch.model import Progress
from filbertlb.batch.model import PROGRESS_PREFIX
from filbertlb.batch.model import STATE_TABLE
from filbertlb.batch.model import TaskRecord
from filbertlb.batch.model import WORKER_PREFIX
from filbertlb.batch.model import WORKER_TABLE
from filbertlb.batch.planner import Planner
from filbertlb.batch.takeover import apply_report
from filbertlb.batch.takeover import build_planner
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_report
from filbertlb.batch.testing import a_step
from filbertlb.batch.testing import CAPACITY
from filbertlb.batch.version_marks import marks_write
from filbertlb.batch.workers import DEAD_AFTER_S
from filbertlb.batch.workers import MAX_REPORT_AGE_S
from filbertlb.batch.write_plan import changed_units
from filbertlb.core.clock import VirtualClock
from filbertlb.table.base import Changes
from filbertlb.table.base import Row
from filbertlb.table.base import Write
from filbertlb.table.memory import MemoryTable
from filbertlb.table.mirror import Mirror
from filbertlb.table.rows import decode_row
from filbertlb.table.rows import encode_value

TICK_S = 0.5


def follow(table, name, mirror, now_s):
    """Bring a copy of a table up to date."""
    if mirror.loaded:
        mirror.apply(table.changes(name, mirror.version, 0.0), now_s)
    else:
        mirror.replace(table.snapshot(f"{name}/"), now_s)


@attrs.define
class Entry:
    """An entry that follows the jobs, and the reports while it decides."""

    table: MemoryTable
    clock: VirtualClock
    mirror: Mirror = attrs.Factory(Mirror)
    index: JobIndex = attrs.Factory(JobIndex)
    workers: Mirror = attrs.Factory(Mirror)
    planner: Planner | None = None

    def __attrs_post_init__(self):
        self.mirror.add_listener(self.index.apply_row)

    def follow_jobs(self):
        follow(self.table, STATE_TABLE, self.mirror, self.clock.monotonic())

    def take_over(self):
        self.workers = Mirror()
        self.follow_reports()
        self.planner = build_planner(
            self.table, self.mirror, self.index, self.workers, self.clock
        )

    def follow_reports(self):
        now_s = self.clock.monotonic()
        follow(self.table, WORKER_TABLE, self.workers, now_s)

    def decide(self):
        changed = set()
        self.workers.add_listener(lambda key, _: changed.add(key))
        self.follow_reports()
        for key in sorted(changed):
            apply_report(self.planner, self.workers, self.mirror, key)
        now_s = self.clock.monotonic()
        self.planner.decide(now_s, int(now_s * 1000))
        state = self.planner.state
        for unit in list(changed_units(state, 1)):
            self.table.commit(unit.writes)
            state.mark_written(unit.jobs, unit.nodes)
        write = marks_write(self.mirror)
        if write is not None:
            self.table.commit([write])


@attrs.define
class Site:
    """Entries that take turns as the decider, and agents that report."""

    entry_count: int
    term_s: float
    table: MemoryTable = attrs.Factory(MemoryTable)
    reporting: list = attrs.Factory(list)
    entries: list = attrs.Factory(list)
    now_s: float = 0.0
    sequence: int = 0
    tells_time: bool = True

    def __attrs_post_init__(self):
        for _ in range(self.entry_count):
            self.add_entry()

    def add_entry(self):
        """Start an entry whose clock has another origin."""
        clock = VirtualClock(self.now_s + 1000.0 * len(self.entries))
        self.entries.append(Entry(self.table, clock))
        return self.entries[-1]

    def put(self, key, value):
        self.table.commit([Write(key, encode_value(value))])

    def run(self, seconds):
        """Let the entries decide in turn, each for the time of a term."""
        for _ in range(round(seconds / TICK_S)):
            self.sequence += 1
            if self.tells_time:
                self.table.clock_ms += round(1000 * TICK_S)
            for node in self.reporting:
                report = a_report(node, sequence=self.sequence)
                self.put(WORKER_PREFIX + node, report)
            for entry in self.entries:
                entry.clock.advance(TICK_S)
                entry.follow_jobs()
            term, elapsed_s = divmod(self.now_s, self.term_s)
            decider = self.entries[int(term) % len(self.entries)]
            if elapsed_s < TICK_S:
                decider.take_over()
            decider.decide()
            self.now_s += TICK_S

    def record(self, task):
        """Return the record of a task as the table holds it."""
        job_id = task.partition(".")[0]
        row = self.table.get(PROGRESS_PREFIX + job_id)
        if row is None:
            return TaskRecord()
        return decode_row(row, Progress).tasks.get(task, TaskRecord())


def site_with_a_run_on_a_worker_that_goes(
    entry_count, term_s, tells_time=True
):
    site = Site(entry_count, term_s, tells_time=tells_time)
    site.reporting = ["n0"]
    site.put(JOB_PREFIX + "j", a_job("j", a_step(needs=CAPACITY)))
    site.run(term_s)
    assert site.record("j.0.0.0").node == "n0"
    site.reporting = ["n1"]
    return site


@pytest.mark.parametrize(
    ("entry_count", "term_s"),
    [(1, 100.0), (1, 14.0), (1, 5.0), (2, 10.0), (2, 5.0), (3, 1.0)],
)
def test_task_of_a_gone_worker_runs_again_despite_frequent_take_overs(
    entry_count, term_s
):
    # Each take-over counted the last report of a gone worker as just seen.
    site = site_with_a_run_on_a_worker_that_goes(entry_count, term_s)
    site.run(DEAD_AFTER_S + 3.0)
    record = site.record("j.0.0.0")
    assert (record.node, record.attempt) == ("n1", 2)


@pytest.mark.parametrize(
    ("entry_count", "term_s"), [(1, 100.0), (1, 5.0), (2, 5.0), (3, 1.0)]
)
def test_silent_worker_keeps_its_task_while_its_leases_may_last(
    entry_count, term_s
):
    site = site_with_a_run_on_a_worker_that_goes(entry_count, term_s)
    site.run(DEAD_AFTER_S)
    assert site.record("j.0.0.0").node == "n0"


def put_unreadable(site):
    row = Write(WORKER_PREFIX + "n0", b"\x78damaged")
    site.table.commit([row])


def remove(site):
    site.table.commit([Write(WORKER_PREFIX + "n0", None)])


@pytest.mark.parametrize("damage", [put_unreadable, remove])
def test_task_of_a_gone_worker_without_a_readable_report_runs_again(damage):
    # Runs on a worker without a readable report were never ended.
    site = site_with_a_run_on_a_worker_that_goes(1, 30.0)
    damage(site)
    site.entries.clear()
    site.add_entry()
    site.now_s = 0.0
    site.run(DEAD_AFTER_S + 3.0)
    assert site.record("j.0.0.0").node == "n1"


def test_run_goes_on_while_its_agent_writes_unreadable_reports():
    # Its worker counted as silent, and the run was given up.
    site = site_with_a_run_on_a_worker_that_goes(1, 100.0)
    site.run(1.0)
    for _ in range(40):
        put_unreadable(site)
        site.run(1.0)
    record = site.record("j.0.0.0")
    assert (record.node, record.attempt) == ("n0", 1)


def replace_entries(site):
    """Replace all entries by one that has just started and decides."""
    site.entries.clear()
    site.add_entry().follow_jobs()
    site.entries[0].take_over()


def test_new_entry_waits_for_the_leases_from_its_own_start():
    # Nothing else tells it the age of a report, as the table has no clock.
    site = site_with_a_run_on_a_worker_that_goes(1, 100.0, tells_time=False)
    site.run(DEAD_AFTER_S - 2.0)
    replace_entries(site)
    site.run(DEAD_AFTER_S - 1.0)
    assert site.record("j.0.0.0").node == "n0"
    site.run(2.0)
    assert site.record("j.0.0.0").node == "n1"


def test_new_entry_waits_for_the_leases_from_the_last_report():
    site = site_with_a_run_on_a_worker_that_goes(1, 100.0)
    site.run(DEAD_AFTER_S - 2.0)
    replace_entries(site)
    site.run(1.5)
    assert site.record("j.0.0.0").node == "n0"
    site.run(4.0)
    assert site.record("j.0.0.0").node == "n1"


@pytest.mark.parametrize("gone_s", [6.0, 60.0])
def test_gone_worker_gets_no_orders_after_a_take_over(gone_s):
    # After each take-over a gone worker was offered work for some seconds.
    site = Site(2, 5.0)
    site.reporting = ["n0"]
    site.run(4.0)
    site.reporting = []
    site.run(gone_s)
    site.put(JOB_PREFIX + "j", a_job("j"))
    site.run(10.0)
    assert site.record("j.0.0.0").attempt == 0


def test_live_worker_is_chosen_beside_a_gone_one_after_a_take_over():
    # The gone worker counted as idle for some seconds.
    site = Site(1, 60.0)
    site.reporting = ["n0", "n1"]
    site.run(1.0)
    site.reporting = ["n1"]
    site.run(59.0)
    site.put(JOB_PREFIX + "j", a_job("j"))
    site.run(3.0)
    assert site.record("j.0.0.0").node == "n1"


@pytest.mark.parametrize("tells_time", [True, False])
def test_gone_worker_gets_no_orders_from_a_new_entry(tells_time):
    # After a loss of all machines old reports counted as new.
    site = Site(1, 60.0, tells_time=tells_time)
    site.reporting = ["n0"]
    site.run(4.0)
    site.reporting = []
    site.run(6.0)
    site.entries.clear()
    site.add_entry()
    site.now_s = 0.0
    site.put(JOB_PREFIX + "j", a_job("j"))
    site.run(10.0)
    assert site.record("j.0.0.0").attempt == 0
    site.reporting = ["n0"]
    site.run(1.0)
    assert site.record("j.0.0.0").node == "n0"


@pytest.mark.parametrize("life_s", [60.0, 14.0, 10.0, 5.0])
def test_task_of_a_gone_worker_runs_again_though_all_entries_restart(life_s):
    # Entries that had just started all counted its last report as new.
    site = site_with_a_run_on_a_worker_that_goes(1, 100.0)
    end_s = site.now_s + 5 * DEAD_AFTER_S
    while site.now_s < end_s:
        site.entries.clear()
        entry = site.add_entry()
        entry.follow_jobs()
        entry.take_over()
        site.run(life_s)
    assert site.record("j.0.0.0").node == "n1"


def test_gone_worker_gets_no_orders_from_an_entry_that_has_just_started():
    # Its last report counted as new, and it looked idle.
    site = Site(1, 100.0)
    site.reporting = ["n0", "n1"]
    site.run(1.0)
    site.reporting = ["n1"]
    site.run(60.0)
    site.entries.clear()
    site.put(JOB_PREFIX + "j", a_job("j"))
    entry = site.add_entry()
    entry.follow_jobs()
    entry.take_over()
    site.run(2.0)
    assert site.record("j.0.0.0").node == "n1"


@pytest.mark.parametrize(
    ("gap_s", "usable"), [(MAX_REPORT_AGE_S / 2, True), (20.0, False)]
)
def test_report_from_a_gap_of_the_state_copy_proves_no_worker_alive(
    gap_s, usable
):
    # A report written at any time in the gap counted as new at its end.
    state, workers = Mirror(), Mirror()
    state.apply(Changes((), {}, 5), 0.0)
    state.apply(Changes((), {}, 20), gap_s)
    key = WORKER_PREFIX + "n0"
    workers.put(Row(key, encode_value(a_report("n0")), 6), gap_s)
    planner = Planner()
    apply_report(planner, workers, state, key)
    assert planner.workers["n0"].usable(gap_s) is usable


@pytest.mark.parametrize(("read_s", "usable"), [(19.0, True), (0.0, False)])
def test_report_proves_its_worker_alive_while_the_state_cannot_be_read(
    read_s, usable
):
    # Its age follows from the answer before it, whichever table that was of.
    state, workers = Mirror(), Mirror()
    state.apply(Changes((), {}, 5), 0.0)
    workers.apply(Changes((), {}, 18), read_s)
    key = WORKER_PREFIX + "n0"
    row = Row(key, encode_value(a_report("n0")), 19)
    workers.apply(Changes((row,), {}, 19), 20.0)
    planner = Planner()
    apply_report(planner, workers, state, key)
    assert planner.workers["n0"].usable(20.0) is usable


def test_task_on_a_node_without_a_report_row_ends_despite_take_overs():
    # Each take-over counted the leases of such a node anew.
    site = site_with_a_run_on_a_worker_that_goes(1, DEAD_AFTER_S - 1)
    remove(site)
    site.run(10 * DEAD_AFTER_S)
    assert site.record("j.0.0.0").node == "n1"


def test_take_over_keeps_a_report_that_came_after_its_copy():
    site = site_with_a_run_on_a_worker_that_goes(1, 100.0)
    row = site.table.get(WORKER_PREFIX + "n0")
    entry = site.entries[0]
    build_planner(site.table, entry.mirror, entry.index, Mirror(), entry.clock)
    assert site.table.get(WORKER_PREFIX + "n0") == row

"""Deciders against a table with the limits of a transaction."""

from __future__ import annotations

from base64 import b64encode
from contextlib import contextmanager
from contextlib import ExitStack
from random import Random

import attrs
import pytest
from gevent import sleep
from gevent import spawn
from gevent import Timeout

from filbertlb.batch import decider as decider_module
from filbertlb.batch import workers as workers_module
from filbertlb.batch.decider import Decider
from filbertlb.batch.durations import RunTimes
from filbertlb.batch.index import JobIndex
from filbertlb.batch.learned_durations import LearnedRunTimes
from filbertlb.batch.learned_row import LEARNED_KEY
from filbertlb.batch.model import CANCEL_PREFIX
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import JOB_PREFIX
from filbertlb.batch.model import JobState
from filbertlb.batch.model import Orders
from filbertlb.batch.model import orders_key
from filbertlb.batch.model import Progress
from filbertlb.batch.model import PROGRESS_PREFIX
from filbertlb.batch.model import Run
from filbertlb.batch.model import RunEnd
from filbertlb.batch.model import STATE_TABLE
from filbertlb.batch.model import STATUS_PREFIX
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.model import TaskRecord
from filbertlb.batch.model import WORKER_PREFIX
from filbertlb.batch.model import WORKER_TABLE
from filbertlb.batch.peers import ENTRY_PREFIX
from filbertlb.batch.planner import Planner
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_report
from filbertlb.batch.testing import a_step
from filbertlb.batch.testing import a_worker
from filbertlb.batch.testing import CAPACITY
from filbertlb.batch.version_marks import VersionMarks
from filbertlb.batch.version_marks import VERSIONS_KEY
from filbertlb.core.clock import SystemClock
from filbertlb.table.base import Row
from filbertlb.table.base import RowConflictError
from filbertlb.table.base import TableRejectedError
from filbertlb.table.base import TableUnavailableError
from filbertlb.table.base import Write
from filbertlb.table.base import WriteOutcomeUnknownError
from filbertlb.table.memory import MemoryTable
from filbertlb.table.mirror import Follower
from filbertlb.table.mirror import Mirror
from filbertlb.table.rows import decode_row
from filbertlb.table.rows import encode_value
from filbertlb.table.rows import UnreadableRowError

DEADLINE_S = 30.0
REPORT_PERIOD_S = 0.1


@attrs.define
class LimitedTable(MemoryTable):
    """Rejects large transactions; refuses some calls on demand.

    Parameters
    ----------
    refused_commits : int
        Coming transactions of several rows that are refused.
    rejected_commits : int
        Coming transactions of several rows that are rejected.
    unreadable : set of str
        Prefixes whose snapshots and changes get no answer.
    unanswered : int
        Number of such calls so far.
    """

    max_entries: int = 100
    max_bytes: int = 1_000_000
    refused_commits: int = 0
    rejected_commits: int = 0
    unreadable: set = attrs.Factory(set)
    unanswered: int = 0
    rejected: int = 0
    progress_reads: int = 0

    def commit(self, writes):
        entries = sum(
            1 + (write.expected_version is not None) for write in writes
        )
        if entries > self.max_entries:
            self.rejected += 1
            raise TableRejectedError(f"{entries} entries")
        total_bytes = sum(
            len(write.key) + len(b64encode(write.value or b""))
            for write in writes
        )
        if total_bytes > self.max_bytes:
            self.rejected += 1
            raise TableRejectedError(f"{total_bytes} bytes")
        if self.rejected_commits and len(writes) > 1:
            self.rejected_commits -= 1
            raise TableRejectedError("403")
        if self.refused_commits and len(writes) > 1:
            self.refused_commits -= 1
            raise TableUnavailableError("429")
        return MemoryTable.commit(self, writes)

    def snapshot(self, prefix):
        if prefix in self.unreadable:
            self.unanswered += 1
            raise TableUnavailableError("no answer")
        self.progress_reads += prefix == PROGRESS_PREFIX
        return MemoryTable.snapshot(self, prefix)

    def changes(self, table, after, wait_s):
        if f"{table}/" in self.unreadable:
            self.unanswered += 1
            raise TableUnavailableError("no answer")
        return MemoryTable.changes(self, table, after, wait_s)


class UnreadableTable:
    """A process's view of a table whose snapshots it cannot read."""

    def __init__(self, table):
        self._table = table

    def __getattr__(self, name):
        return getattr(self._table, name)

    def snapshot(self, prefix):
        if prefix != f"{STATE_TABLE}/":
            raise TableUnavailableError("no answer")
        return self._table.snapshot(prefix)


def report_again(table):
    """Store each worker's report again and again, as its agent does."""
    while True:
        for row in MemoryTable.scan(table, WORKER_PREFIX):
            MemoryTable.commit(table, [Write(row.key, row.value)])
        sleep(REPORT_PERIOD_S)


@contextmanager
def deciding(
    table,
    name="entry",
    slow=False,
    run_times=RunTimes.DECLARED,
    by_benefit=False,
):
    """Run the tasks of one entry's decider while the agents report."""
    index, mirror, clock = JobIndex(), Mirror(), SystemClock()
    mirror.add_listener(index.apply_row)
    decider = Decider(
        *(table, mirror, index, clock, name, "coast", dict),
        slow=slow,
        run_times=run_times,
        by_benefit=by_benefit,
    )
    follower = Follower(table, STATE_TABLE, mirror, clock)
    tasks = [
        spawn(task) for task in (follower.run, decider.keep_lease, decider.run)
    ]
    tasks.append(spawn(report_again, getattr(table, "_table", table)))
    try:
        yield decider
    finally:
        for task in tasks:
            task.kill()


def wait_until(condition):
    with Timeout(DEADLINE_S):
        while not condition():
            sleep(0.01)


def put(table, key, value):
    MemoryTable.commit(table, [Write(key, encode_value(value))])


def put_workers(table, nodes):
    for node in nodes:
        put(table, WORKER_PREFIX + node, a_report(node))


def put_running_jobs(table, nodes):
    """Store one job a node whose run an earlier decider has ordered."""
    for node in nodes:
        job_id = f"job-{node}"
        record = TaskRecord(
            TaskPhase.ORDERED, attempt=1, node=node, incarnation="w@1"
        )
        progress = Progress(
            job_id, JobState.ACTIVE, True, {f"{job_id}.0.0.0": record}
        )
        put(table, JOB_PREFIX + job_id, a_job(job_id))
        put(table, PROGRESS_PREFIX + job_id, progress)


def orders_on(table, node):
    row = table.get(orders_key(node))
    if row is None:
        return None
    return [order.task for order in decode_row(row, Orders).orders]


@pytest.mark.parametrize("by_benefit", [False, True])
def test_order_that_the_settings_select_is_decided_in(by_benefit):
    # The worker has room for one of the two; only the order by benefit
    # prefers the short one, as the other has the earlier deadline.
    table = LimitedTable()
    put_workers(table, ["n0"])
    now_ms = int(SystemClock().wall() * 1000)
    for job_id, run_ms, target_ms in (
        ("long", 60_000, 0),
        ("short", 1000, 600_000),
    ):
        step = a_step(needs=(8, 8_000, 8_000), estimate_ms=run_ms)
        job = a_job(job_id, step, target_ms=target_ms, accepted_ms=now_ms)
        put(table, JOB_PREFIX + job_id, job)
    first = "short" if by_benefit else "long"
    with deciding(table, by_benefit=by_benefit):
        wait_until(lambda: orders_on(table, "n0") == [f"{first}.0.0.0"])


@pytest.mark.parametrize("count", [160, 750])
def test_take_over_of_many_workers_orders_what_was_decided(count):
    table = LimitedTable()
    nodes = [f"n{number}" for number in range(count)]
    put_workers(table, nodes)
    put_running_jobs(table, nodes)
    expected = {node: [f"job-{node}.0.0.0"] for node in nodes}
    with deciding(table):
        wait_until(
            lambda: (
                {node: orders_on(table, node) for node in nodes} == expected
            )
        )
    assert table.rejected == 0


def put_report_of_runs(table, node, incarnation, finishing):
    """Store the report of an agent whose worker runs what is ordered."""
    row = table.get(orders_key(node))
    orders = () if row is None else decode_row(row, Orders).orders
    active = [order for order in orders if order.incarnation == incarnation]
    ended = [
        RunEnd(order.task, order.attempt, EndCause.LOST)
        for order in orders
        if order.incarnation != incarnation
    ]
    if finishing:
        ended += [
            RunEnd(order.task, order.attempt, EndCause.DONE)
            for order in active
        ]
        active = []
    report = a_report(
        node,
        registration=f"agent of {incarnation}",
        worker=a_worker(incarnation=incarnation),
        running=tuple(Run(order.task, order.attempt) for order in active),
        ended=tuple(ended),
    )
    put(table, WORKER_PREFIX + node, report)


@contextmanager
def machines(table, nodes, incarnation, *, finishing):
    """Run an entry, agents and workers that all end at once.

    Parameters
    ----------
    finishing : bool
        Runs are done at once; otherwise they go on until the end.
    """

    def report_runs():
        while True:
            for node in nodes:
                put_report_of_runs(table, node, incarnation, finishing)
            sleep(REPORT_PERIOD_S)

    agents = spawn(report_runs)
    try:
        with deciding(table, f"entry of {incarnation}"):
            yield
    finally:
        agents.kill()


def progress_of(table, job_id):
    row = table.get(PROGRESS_PREFIX + job_id)
    return Progress(job_id) if row is None else decode_row(row, Progress)


def put_job(table, job_id, step, payload_bytes):
    """Store a job whose payload cannot be compressed."""
    payload = b64encode(Random(job_id).randbytes(payload_bytes)).decode()
    put(table, JOB_PREFIX + job_id, a_job(job_id, step, payload=payload))


@pytest.mark.parametrize(
    ("node_count", "tasks", "payload_bytes"),
    [(80, 2, 10), (70, 1, 20_000)],
    ids=["entries", "bytes"],
)
def test_every_job_runs_again_after_the_loss_of_all_machines(
    node_count, tasks, payload_bytes
):
    # The first decision after the loss was rejected until the day's end.
    table = LimitedTable()
    nodes = [f"n{number}" for number in range(node_count)]
    step = a_step(tasks, needs=CAPACITY)
    running = [f"running-{n}" for n in range(node_count // tasks)]
    waiting = [f"waiting-{n}" for n in range(10)]
    with machines(table, nodes, "before", finishing=False):
        for job_id in running:
            put_job(table, job_id, step, payload_bytes)
            wait_until(lambda key=job_id: progress_of(table, key).tasks)
        for job_id in waiting:
            put_job(table, job_id, step, payload_bytes)
        wait_until(
            lambda: all(progress_of(table, key).started for key in running)
        )
    with machines(table, nodes, "after", finishing=True):
        wait_until(
            lambda: all(
                progress_of(table, job_id).state is JobState.COMPLETE
                for job_id in running + waiting
            )
        )
    attempts = {
        record.attempt
        for job_id in running
        for record in progress_of(table, job_id).tasks.values()
    }
    assert attempts == {2}
    assert table.rejected == 0


def test_refused_decision_is_written_later_without_a_new_planner():
    table = LimitedTable()
    put_workers(table, ["n0"])
    with deciding(table) as decider:
        wait_until(lambda: decider.deciding and orders_on(table, "n0") == [])
        reads = table.progress_reads
        table.refused_commits = 3
        put(table, JOB_PREFIX + "j", a_job("j"))
        wait_until(lambda: orders_on(table, "n0") == ["j.0.0.0"])
        assert table.progress_reads == reads


def test_rejected_transactions_get_smaller():
    table = LimitedTable(max_entries=12)
    nodes = [f"n{number}" for number in range(40)]
    put_workers(table, nodes)
    put(table, JOB_PREFIX + "wide", a_job("wide", a_step(320)))
    with deciding(table):
        wait_until(lambda: all(orders_on(table, node) for node in nodes))
    assert 0 < table.rejected < 10


@pytest.mark.parametrize("rejections", [3, 9])
def test_rejected_transactions_fail_no_job(monkeypatch, rejections):
    monkeypatch.setattr(decider_module, "MAX_BACKOFF_S", 0.05)
    table = LimitedTable(rejected_commits=rejections)
    put_workers(table, ["n0"])
    put(table, JOB_PREFIX + "j", a_job("j"))
    with deciding(table):
        wait_until(lambda: orders_on(table, "n0") == ["j.0.0.0"])
    progress = decode_row(table.get(PROGRESS_PREFIX + "j"), Progress)
    assert progress.state is not JobState.FAILED


def test_decisions_go_on_while_the_reports_are_read_anew():
    table = LimitedTable()
    put_workers(table, ["n0"])
    with deciding(table) as decider:
        wait_until(lambda: decider.deciding and orders_on(table, "n0") == [])
        table.unreadable.add(WORKER_PREFIX)
        table.discard_history()
        put(table, WORKER_PREFIX + "n0", a_report("n0"))
        table.discard_history()
        wait_until(lambda: table.unanswered)
        put(table, JOB_PREFIX + "j", a_job("j"))
        wait_until(lambda: orders_on(table, "n0") == ["j.0.0.0"])


def test_runs_go_on_while_the_reports_cannot_be_read(monkeypatch):
    # All workers counted as silent, and their runs were given up.
    monkeypatch.setattr(workers_module, "DEAD_AFTER_S", 0.3)
    table = LimitedTable()
    with machines(table, ["n0"], "w@1", finishing=False):
        put(table, JOB_PREFIX + "j", a_job("j"))
        wait_until(lambda: progress_of(table, "j").started)
        table.unreadable.add(WORKER_PREFIX)
        wait_until(lambda: table.unanswered >= 6)
        put(table, JOB_PREFIX + "waiting", a_job("waiting"))
        wait_until(lambda: table.unanswered >= 8)
        table.unreadable.clear()
        wait_until(lambda: progress_of(table, "waiting").started)
    assert progress_of(table, "j").tasks["j.0.0.0"].attempt == 1


class DefectiveTable(UnreadableTable):
    """A process's view of a table whose progress makes it fail."""

    def snapshot(self, prefix):
        if prefix == PROGRESS_PREFIX:
            raise KeyError(prefix)
        return self._table.snapshot(prefix)


@pytest.mark.parametrize("view", [UnreadableTable, DefectiveTable])
def test_holder_that_cannot_read_leaves_the_lease_to_others(monkeypatch, view):
    monkeypatch.setattr(decider_module, "STALL_TIMEOUT_S", 0.2)
    table = LimitedTable()
    put_workers(table, ["n0"])
    put(table, JOB_PREFIX + "j", a_job("j"))
    with ExitStack() as stack:
        stack.enter_context(deciding(view(table), "cut-off"))
        wait_until(lambda: table.get("lease/coast") is not None)
        stack.enter_context(deciding(table, "sound"))
        wait_until(lambda: orders_on(table, "n0") == ["j.0.0.0"])


class OnceDefectiveTable(UnreadableTable):
    """A process's view of a table whose first read of a row fails."""

    def __init__(self, table):
        super().__init__(table)
        self.failures = 0

    def get(self, key):
        if not self.failures:
            self.failures += 1
            raise KeyError(key)
        return self._table.get(key)

    def snapshot(self, prefix):
        return self._table.snapshot(prefix)


def test_entry_decides_after_an_unexpected_error_of_its_lease():
    # The task that renews the lease ended, and its entry never decided.
    table = LimitedTable()
    put_workers(table, ["n0"])
    view = OnceDefectiveTable(table)
    with deciding(view) as decider:
        wait_until(lambda: decider.deciding)
    assert view.failures == 1


class ReportlessTable(UnreadableTable):
    """A process's view of a table whose feed of reports gets no answer."""

    def snapshot(self, prefix):
        return self._table.snapshot(prefix)

    def changes(self, table, after, wait_s):
        if table == WORKER_TABLE:
            raise TableUnavailableError("no answer")
        return self._table.changes(table, after, wait_s)


def test_holder_without_reports_leaves_the_lease_to_others(monkeypatch):
    # It renewed its lease, and no worker was fresh enough for new work.
    monkeypatch.setattr(decider_module, "REPORTS_TIMEOUT_S", 0.3)
    table = LimitedTable()
    put_workers(table, ["n0"])
    with ExitStack() as stack:
        view = ReportlessTable(table)
        cut_off = stack.enter_context(deciding(view, "cut-off"))
        wait_until(lambda: cut_off.deciding)
        sound = stack.enter_context(deciding(table, "sound"))
        wait_until(lambda: sound.deciding)


def test_free_lease_is_left_to_a_faster_machine(monkeypatch):
    monkeypatch.setattr(decider_module, "SLOW_MACHINE_DELAY_S", DEADLINE_S)
    table = LimitedTable()
    with deciding(table, "slow", slow=True) as slow:
        with deciding(table, "fast") as fast:
            wait_until(lambda: fast.deciding)
        assert not slow.deciding


def test_job_with_unreadable_progress_is_not_run_again():
    table = LimitedTable()
    put_workers(table, ["n0"])
    put(table, JOB_PREFIX + "a", a_job("a"))
    MemoryTable.commit(table, [Write(PROGRESS_PREFIX + "a", b"\x78damaged")])
    put(table, JOB_PREFIX + "b", a_job("b"))
    with deciding(table):
        wait_until(lambda: orders_on(table, "n0") == ["b.0.0.0"])
    assert table.get(PROGRESS_PREFIX + "a").value == b"\x78damaged"


DEEP = b"[" * 100_000 + b"]" * 100_000
ODD_VALUES = {
    "deep": DEEP,
    "deep member": b'{"state":' + DEEP + b"}",
    "not UTF-8": b"\xff\xfe",
}
HUGE = 10**309
HUGE_VALUES = {
    "job": (JOB_PREFIX, a_job("odd", a_step(estimate_ms=HUGE))),
    "job in time": (JOB_PREFIX, a_job("odd", first_due_ms=HUGE, times=1)),
    "progress": (
        PROGRESS_PREFIX,
        Progress(
            "job-n0",
            JobState.ACTIVE,
            True,
            {"job-n0.0.0.0": TaskRecord(since_ms=HUGE)},
        ),
    ),
    "capacity": (
        WORKER_PREFIX,
        a_report("odd", worker=a_worker(capacity=(HUGE, HUGE, HUGE))),
    ),
    "percent": (
        WORKER_PREFIX,
        a_report("odd", running=(Run("j.0.0.0", 1, "", HUGE),)),
    ),
}


MISFITS = {
    "job of another key": (JOB_PREFIX, a_job("another")),
    "job without steps": (
        JOB_PREFIX,
        attrs.evolve(a_job("odd", priority=0), steps=()),
    ),
    "step after none": (JOB_PREFIX, a_job("odd", a_step(after=(7,)))),
    "too many tasks": (JOB_PREFIX, a_job("odd", a_step(10**12))),
    "step without tasks": (JOB_PREFIX, a_job("odd", a_step(0))),
    "progress of another job": (
        PROGRESS_PREFIX,
        Progress("j", JobState.COMPLETE, True),
    ),
    "task without step": (
        PROGRESS_PREFIX,
        Progress("job-n0", tasks={"job-n0": TaskRecord(failures=1)}),
    ),
    "run without step": (
        WORKER_PREFIX,
        a_report("odd", running=(Run("job-n0", 1, "", 40),)),
    ),
    "run of no such step": (
        WORKER_PREFIX,
        a_report("odd", running=(Run("job-n0.0.7.0", 1, "", 40),)),
    ),
    "report of another node": (
        WORKER_PREFIX,
        a_report("n0", answers=False),
    ),
}


@pytest.mark.parametrize("odd", MISFITS)
def test_row_that_does_not_fit_stops_no_decider(odd):
    # Each decision failed on a step that the job does not have.
    check_decisions_beside(*MISFITS[odd])


def test_progress_of_unknown_tasks_leaves_its_job_alone():
    table = LimitedTable()
    put_workers(table, ["n0"])
    put(table, JOB_PREFIX + "a", a_job("a"))
    tasks = {"a.0.7.0": TaskRecord(TaskPhase.ORDERED, 1, node="n0")}
    put(table, PROGRESS_PREFIX + "a", Progress("a", tasks=tasks))
    put(table, JOB_PREFIX + "b", a_job("b"))
    with deciding(table):
        wait_until(lambda: orders_on(table, "n0") == ["b.0.0.0"])


@pytest.mark.parametrize("odd", HUGE_VALUES)
def test_huge_number_of_another_writer_stops_no_decider(odd):
    # Each decision failed on such an estimate, too large for a float.
    check_decisions_beside(*HUGE_VALUES[odd])


def check_decisions_beside(prefix, value):
    """Place a job beside a row of another writer."""
    table = LimitedTable()
    put(table, prefix + "odd", value)
    put_workers(table, ["n0"])
    put_running_jobs(table, ["n0"])
    put(table, JOB_PREFIX + "j", a_job("j"))
    with deciding(table):
        wait_until(
            lambda: (
                orders_on(table, "n0") and "j.0.0.0" in orders_on(table, "n0")
            )
        )


def put_odd_rows(table, value, name="odd"):
    """Store a value of another writer in each table of the decider."""
    prefixes = (
        *(WORKER_PREFIX, PROGRESS_PREFIX, JOB_PREFIX),
        *(STATUS_PREFIX, CANCEL_PREFIX, ENTRY_PREFIX),
    )
    for prefix in prefixes:
        MemoryTable.commit(table, [Write(prefix + name, value)])
    MemoryTable.commit(table, [Write(orders_key(name), value)])


@pytest.mark.parametrize("odd", ODD_VALUES)
def test_odd_rows_of_another_writer_stop_no_decider(odd):
    # Each take-over failed on them until the day's end.
    table = LimitedTable()
    put_odd_rows(table, ODD_VALUES[odd])
    put_workers(table, ["n0"])
    put_running_jobs(table, ["n0"])
    with deciding(table):
        wait_until(lambda: orders_on(table, "n0") == ["job-n0.0.0.0"])
        put_odd_rows(table, ODD_VALUES[odd], "later")
        put(table, JOB_PREFIX + "j", a_job("j"))
        wait_until(lambda: "j.0.0.0" in orders_on(table, "n0"))


def test_entry_that_does_not_decide_keeps_no_keys_of_changed_rows():
    # It kept the key of each change for ever.
    table, mirror = MemoryTable(), Mirror()
    decider = Decider(
        table, mirror, JobIndex(), SystemClock(), "entry", "coast", dict
    )
    for number in range(10):
        mirror.put(Row(f"{JOB_PREFIX}{number}", b"{}", 1 + number), 0.0)
    assert not decider._changed_keys


def test_times_of_versions_are_handed_on():
    table = LimitedTable(clock_ms=5000)
    put_workers(table, ["n0"])
    with deciding(table):
        wait_until(lambda: table.get(VERSIONS_KEY) is not None)
    (mark,) = decode_row(table.get(VERSIONS_KEY), VersionMarks).marks
    assert mark.clock_ms == 5000


def test_unreadable_times_of_versions_stop_no_decider():
    table = LimitedTable(clock_ms=5000)
    MemoryTable.commit(table, [Write(VERSIONS_KEY, b"odd")])
    put_workers(table, ["n0"])
    put(table, JOB_PREFIX + "j", a_job("j"))
    with deciding(table):
        wait_until(lambda: orders_on(table, "n0") == ["j.0.0.0"])


def test_decider_goes_on_after_an_unexpected_error(monkeypatch):
    # The deciding task ended, and its entry went on renewing the lease.
    decide, errors = Planner.decide, [KeyError("unexpected")]

    def fail_once(planner, now_s, now_ms):
        if errors:
            raise errors.pop()
        decide(planner, now_s, now_ms)

    monkeypatch.setattr(Planner, "decide", fail_once)
    table = LimitedTable()
    put_workers(table, ["n0"])
    put(table, JOB_PREFIX + "j", a_job("j"))
    with deciding(table):
        wait_until(lambda: orders_on(table, "n0") == ["j.0.0.0"])


@attrs.define
class LateTable(LimitedTable):
    """Carries out one transaction after the next read of the progress.

    It takes effect only if its conditions still hold then.

    Parameters
    ----------
    late_key : str
        Transactions of several rows with this one get no answer.
    """

    late_key: str = ""
    late_writes: tuple = ()
    landed: bool = False

    def commit(self, writes):
        keys = {write.key for write in writes}
        if self.late_key in keys and not self.landed:
            self.late_writes = tuple(writes)
            raise WriteOutcomeUnknownError("no answer")
        return LimitedTable.commit(self, writes)

    def snapshot(self, prefix):
        snapshot = LimitedTable.snapshot(self, prefix)
        if prefix == PROGRESS_PREFIX and self.late_writes and not self.landed:
            self.landed = True
            self._carry_out_late()
            version = self.get("lease/coast").version
            wait_until(lambda: self.get("lease/coast").version > version)
        return snapshot

    def _carry_out_late(self):
        try:
            LimitedTable.commit(self, self.late_writes)
        except RowConflictError:
            return
        # The agent has forgotten the end, as it is no longer ordered.
        put(self, WORKER_PREFIX + "n0", a_report("n0"))


def test_late_transaction_is_not_overwritten_with_older_progress():
    # The renewal of the lease went on from it, the decision did not know it.
    table = LateTable()
    end = RunEnd("job-n0.0.0.0", 1, EndCause.DONE)
    put(table, WORKER_PREFIX + "n0", a_report("n0", ended=(end,)))
    put_running_jobs(table, ["n0"])
    table.late_key = PROGRESS_PREFIX + "job-n0"
    with deciding(table):
        wait_until(lambda: table.landed)
        put(table, JOB_PREFIX + "j", a_job("j"))
        wait_until(lambda: "j.0.0.0" in (orders_on(table, "n0") or ()))
    assert progress_of(table, "job-n0").state is JobState.COMPLETE
    assert orders_on(table, "n0") == ["j.0.0.0"]


def test_decision_of_an_earlier_term_was_written_under_a_later_lease(
    monkeypatch,
):
    # A paused holder lost the lease and took it again within one step, and
    # overwrote what another had decided meanwhile.
    table = LimitedTable()
    put_workers(table, ["n"])
    put_job(table, "j", a_step(needs=CAPACITY), 10)
    done = TaskRecord(TaskPhase.DONE, attempt=7)
    decide = Planner.decide
    with deciding(table) as decider:
        wait_until(lambda: orders_on(table, "n"))
        keeper = decider._keeper

        def lose_and_take_lease(planner, now_s, now_ms):
            monkeypatch.setattr(Planner, "decide", decide)
            keeper.release()
            progress = Progress("j", JobState.ACTIVE, True, {"j.0.0.0": done})
            put(table, PROGRESS_PREFIX + "j", progress)
            while keeper.held() is None:
                keeper.step()
            planner.state.set_phase("j.0.0.0", TaskPhase.STOPPING, now_ms)
            decide(planner, now_s, now_ms)

        monkeypatch.setattr(Planner, "decide", lose_and_take_lease)
        wait_until(lambda: Planner.decide is decide)
        wait_until(lambda: progress_of(table, "j").state is JobState.COMPLETE)
    assert progress_of(table, "j").tasks == {"j.0.0.0": done}


def put_end(table, job_id, run_ms):
    """Report that the ordered task of a job is done."""
    wait_until(lambda: f"{job_id}.0.0.0" in (orders_on(table, "n0") or ()))
    done = RunEnd(f"{job_id}.0.0.0", 1, EndCause.DONE, run_ms=run_ms)
    put(table, WORKER_PREFIX + "n0", a_report("n0", ended=(done,)))
    wait_until(lambda: progress_of(table, job_id).state is JobState.COMPLETE)


def learned_runs(table):
    """Return the number of runs in the row of learned run times."""
    row = table.get(LEARNED_KEY)
    if row is None:
        return 0
    queues = decode_row(row, LearnedRunTimes).queues
    return sum(statistics.runs for statistics in queues.values())


def test_next_decider_goes_on_with_the_learned_run_times():
    table = LimitedTable()
    put_workers(table, ["n0"])
    for number in (1, 2):
        # Each decider writes once what it has learned.
        with deciding(table, f"entry-{number}", run_times=RunTimes.LEARNED):
            put(table, JOB_PREFIX + f"j{number}", a_job(f"j{number}"))
            put_end(table, f"j{number}", 8_000)
            wait_until(lambda count=number: learned_runs(table) == count)


@pytest.mark.parametrize(
    "value",
    [b"{", b"[]", b'{"queues":{"q":{"weight":-1}}}', b"\x78damaged"],
)
def test_unreadable_run_times_are_learned_again(value):
    table = LimitedTable()
    MemoryTable.commit(table, [Write(LEARNED_KEY, value)])
    put_workers(table, ["n0"])
    with deciding(table, run_times=RunTimes.LEARNED):
        put(table, JOB_PREFIX + "j", a_job("j"))
        put_end(table, "j", 8_000)
        wait_until(lambda: readable_runs(table) == 1)


def readable_runs(table):
    try:
        return learned_runs(table)
    except UnreadableRowError:
        return None


def test_declared_run_times_write_no_row():
    table = LimitedTable()
    put_workers(table, ["n0"])
    with deciding(table):
        put(table, JOB_PREFIX + "j", a_job("j"))
        put_end(table, "j", 8_000)
    assert table.get(LEARNED_KEY) is None


def test_decisions_go_on_if_the_learned_run_times_are_rejected(monkeypatch):
    # The row is a help only: its loss must not stop the decider.
    def reject(_):
        raise TableRejectedError("too large")

    table = LimitedTable()
    put_workers(table, ["n0"])
    with deciding(table, run_times=RunTimes.LEARNED) as decider:
        wait_until(lambda: decider.deciding)
        reads = table.progress_reads
        monkeypatch.setattr(decider_module, "learned_write", reject)
        for job_id in ("a", "b"):
            put(table, JOB_PREFIX + job_id, a_job(job_id))
            put_end(table, job_id, 8_000)
        assert table.progress_reads == reads
    assert table.get(LEARNED_KEY) is None

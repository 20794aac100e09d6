"""Gangs of the shapes that users recorded as failed with attempts left."""

from __future__ import annotations

import attrs
import pytest

from filbertlb.batch.model import EndCause
from filbertlb.batch.model import JobState
from filbertlb.batch.model import Orders
from filbertlb.batch.model import orders_key
from filbertlb.batch.model import Progress
from filbertlb.batch.model import PROGRESS_PREFIX
from filbertlb.batch.model import Run
from filbertlb.batch.model import RunEnd
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.model import WORKER_PREFIX
from filbertlb.batch.service import JobService
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_report
from filbertlb.batch.testing import a_step
from filbertlb.batch.testing import a_worker
from filbertlb.core.clock import VirtualClock
from filbertlb.table.base import Write
from filbertlb.table.memory import MemoryTable
from filbertlb.table.rows import decode_row
from filbertlb.table.rows import encode_value
from tests.batch.test_takeover import Entry

ATTEMPTS = 4
TICK_S = 0.05
MAX_TICKS = 30
RUN_MS = 568
ENTRIES = 2
GANG = "a.0.0"


def all_fail(tasks):
    return dict.fromkeys(tasks, EndCause.FAILED)


def two_fail(tasks):
    return dict.fromkeys(tasks, EndCause.BROKEN) | all_fail(tasks[-2:])


def last_fails(tasks):
    return dict.fromkeys(tasks, EndCause.BROKEN) | all_fail(tasks[-1:])


def all_lapse(tasks):
    return dict.fromkeys(tasks, EndCause.LAPSED)


def all_done(tasks):
    return dict.fromkeys(tasks, EndCause.DONE)


@attrs.define
class RecordedGang:
    """A gang whose workers hold as many members as in the record.

    Parameters
    ----------
    split : tuple of int
        Members that fit on each worker.
    replaced : bool
        The other entry takes over after each decision on ends.
    again : bool
        Agents report all ends for ever, not until their orders are gone.
    """

    split: tuple[int, ...]
    replaced: bool = False
    again: bool = False
    table: MemoryTable = attrs.Factory(MemoryTable)
    entries: list[Entry] = attrs.Factory(list)
    ends_by_node: dict[str, tuple[RunEnd, ...]] = attrs.Factory(dict)
    sequence: int = 0

    def __attrs_post_init__(self):
        self.ends_by_node = {f"n{n}": () for n in range(len(self.split))}
        for number in range(ENTRIES):
            self.start_entry(1000.0 * (number + 1))
        self.report()
        self.submit(self.entries[0])
        self.decider.take_over()

    @property
    def decider(self):
        return self.entries[0]

    @property
    def tasks(self):
        return [f"{GANG}.{index}" for index in range(sum(self.split))]

    def start_entry(self, now_s):
        entry = Entry(self.table, VirtualClock(now_s))
        entry.follow_jobs()
        self.entries.append(entry)
        return entry

    def submit(self, entry):
        """Submit the job at an entry; return whether it is new there."""
        step = a_step(sum(self.split), gang=True)
        job = a_job("a", step, attempts=ATTEMPTS)
        return self.service_of(entry).submit(job)

    def service_of(self, entry):
        return JobService(self.table, entry.mirror, entry.index, entry.clock)

    def report(self):
        """Let the agents store their reports."""
        self.sequence += 1
        for size, (node, ends) in zip(
            self.split, self.ends_by_node.items(), strict=True
        ):
            worker = a_worker(
                incarnation=f"{node}@1", capacity=(size, 32_000, 131_072)
            )
            report = a_report(
                node,
                worker=worker,
                running=self.running(node),
                ended=ends,
                sequence=self.sequence,
            )
            write = Write(WORKER_PREFIX + node, encode_value(report))
            self.table.commit([write])

    def running(self, node):
        ended = {end.key for end in self.ends_by_node[node]}
        runs = [
            Run(task, record.attempt)
            for task, record in self.stored_records().items()
            if record.phase is TaskPhase.ORDERED and record.node == node
        ]
        return tuple(run for run in runs if run.key not in ended)

    def decide(self):
        self.table.clock_ms += round(1000 * TICK_S)
        self.report()
        for entry in self.entries:
            entry.clock.advance(TICK_S)
            entry.follow_jobs()
        self.decider.decide()
        if not self.again:
            self.forget_ends_without_orders()

    def forget_ends_without_orders(self):
        for node, ends in self.ends_by_node.items():
            row = self.table.get(orders_key(node))
            orders = () if row is None else decode_row(row, Orders).orders
            keys = {order.key for order in orders}
            self.ends_by_node[node] = tuple(
                end for end in ends if end.key in keys
            )

    def take_over(self):
        self.entries.reverse()
        self.decider.take_over()

    def stored_records(self):
        row = self.table.get(PROGRESS_PREFIX + "a")
        records = {} if row is None else decode_row(row, Progress).tasks
        return {task: records[task] for task in self.tasks if task in records}

    def states(self):
        """Return what callers of all entries are told."""
        for entry in self.entries:
            entry.follow_jobs()
        return {self.service_of(entry).state("a") for entry in self.entries}

    def start_run(self):
        """Decide until all members are ordered; return their attempts."""
        for _ in range(MAX_TICKS):
            records = self.stored_records().values()
            ordered = [r for r in records if r.phase is TaskPhase.ORDERED]
            if len(ordered) == len(self.tasks):
                self.decide()
                return {record.attempt for record in ordered}
            self.decide()
        return set()

    def end_run(self, how, apart):
        """End a run at all members; the ends are read at once or apart."""
        records, causes = self.stored_records(), how(self.tasks)
        for portion in self.portions(records) if apart else [self.tasks]:
            for task in portion:
                record = records[task]
                end = RunEnd(task, record.attempt, causes[task], run_ms=RUN_MS)
                self.ends_by_node[record.node] += (end,)
            self.decide()
            if self.replaced:
                self.take_over()
        self.decide()

    def portions(self, records):
        """Return the members by worker, or halves if there is one worker."""
        if len(self.split) == 1:
            half = len(self.tasks) // 2
            return self.tasks[:half], self.tasks[half:]
        return [
            [task for task in self.tasks if records[task].node == node]
            for node in self.ends_by_node
        ]


RUNS = [
    pytest.param([all_fail, all_done], id="one-run"),
    pytest.param([all_fail] * ATTEMPTS, id="each-run"),
    pytest.param([all_fail, all_lapse] * 3 + [all_fail], id="alternate-runs"),
    pytest.param([all_fail, last_fails] * 2, id="one-in-alternate-runs"),
    pytest.param([two_fail] * ATTEMPTS, id="two-in-each-run"),
    pytest.param([last_fails] * ATTEMPTS, id="one-in-each-run"),
]
READINGS = [
    pytest.param({}, False, id="one-decision"),
    pytest.param({}, True, id="two-decisions"),
    pytest.param({"replaced": True}, True, id="new-decider"),
]


@pytest.mark.parametrize(
    "split", [(3, 2), (4, 1), (3, 1), (2, 2), (4,)], ids=str
)
@pytest.mark.parametrize("runs", RUNS)
@pytest.mark.parametrize(("how", "apart"), READINGS)
@pytest.mark.parametrize(
    ("copied", "again"),
    [(False, False), (True, False), (False, True)],
    ids=["plain", "submitted-again", "ends-reported-again"],
)
def test_job_shown_as_failed_after_one_run_of_its_gang(
    split, runs, how, apart, copied, again
):
    gang = RecordedGang(split, again=again, **how)
    for attempt, end in enumerate(runs, 1):
        assert gang.start_run() == {attempt}
        assert gang.states() == {JobState.ACTIVE}
        gang.end_run(end, apart)
        if copied and attempt == 1:
            late = Entry(gang.table, VirtualClock(5000.0))
            assert not any(map(gang.submit, [*gang.entries, late]))
    done = runs[-1] is all_done
    assert gang.states() == {JobState.COMPLETE if done else JobState.FAILED}
    assert not gang.start_run()
    attempts = {record.attempt for record in gang.stored_records().values()}
    assert attempts == {len(runs)}

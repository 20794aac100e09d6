"""Whatever ends runs, a job is failed for its failed runs only.

Deciders take over from the rows in between, and the progress of the job may
be divided over several rows. Crashes of workers are played elsewhere.
"""

from __future__ import annotations

from collections import Counter
from unittest.mock import patch

import attrs
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from filbertlb.batch import progress_rows
from filbertlb.batch.index import JobIndex
from filbertlb.batch.model import CANCEL_PREFIX
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import JOB_PREFIX
from filbertlb.batch.model import JobState
from filbertlb.batch.model import JobStatus
from filbertlb.batch.model import PROGRESS_PREFIX
from filbertlb.batch.model import RunEnd
from filbertlb.batch.model import STATUS_PREFIX
from filbertlb.batch.model import task_group_of
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.planner import Planner
from filbertlb.batch.takeover import add_progress_rows
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_report
from filbertlb.batch.testing import a_step
from filbertlb.batch.write_plan import changed_units
from filbertlb.table.base import Row
from filbertlb.table.memory import MemoryTable
from filbertlb.table.rows import encode_value

NODES = ("n0", "n1", "n2")
ATTEMPTS = 2
ROUND_S = 20
"""Longer than any delay of a retry, and than a worker is put aside."""
JOBS = {
    "single tasks": a_job("j", a_step(3), attempts=ATTEMPTS),
    "gang": a_job("j", a_step(3, gang=True), attempts=ATTEMPTS),
    "steps": a_job(
        "j", a_step(2), a_step(2, gang=True, after=(0,)), attempts=ATTEMPTS
    ),
    "occurrences": a_job(
        "j", a_step(), a_step(2, gang=True), times=3, attempts=ATTEMPTS
    ),
    "lasting": a_job(
        "j", a_step(2, long_running=True), a_step(), attempts=ATTEMPTS
    ),
}
CAUSES = [cause for cause in EndCause if cause is not EndCause.DONE]


@attrs.define
class Site:
    """A decider, its rows, and workers whose runs end as told.

    Attributes
    ----------
    failed : dict of str to set of int
        Attempts that failed of each single task or gang.
    done : set of str
        Single tasks, and gangs with a member, that are done.
    """

    job: object
    divided: bool
    table: MemoryTable = attrs.Factory(MemoryTable)
    planner: Planner = attrs.Factory(Planner)
    now_s: float = 100.0
    failed: dict = attrs.Factory(dict)
    done: set = attrs.Factory(set)

    def __attrs_post_init__(self):
        self.take_over()

    def take_over(self):
        self.planner = Planner()
        rows = self.table.snapshot(PROGRESS_PREFIX).rows
        state = self.planner.state
        add_progress_rows(state, {"j": self.job}, rows)
        state.add_job(self.job)

    @property
    def progress(self):
        return self.planner.state.progress["j"]

    def play(self, draw_cause):
        """End the ordered runs as drawn; None leaves one running."""
        ends = {node: [] for node in NODES}
        for task, record in self.progress.tasks.items():
            if record.phase not in (TaskPhase.ORDERED, TaskPhase.STOPPING):
                continue
            cause = draw_cause()
            if cause is not None:
                ends[record.node].append(RunEnd(task, record.attempt, cause))
            gang = self.planner.state.step_of(task).gang
            unit = task_group_of(task) if gang else task
            if cause is EndCause.FAILED:
                self.failed.setdefault(unit, set()).add(record.attempt)
            elif cause is EndCause.DONE:
                self.done.add(unit)
        for node in NODES:
            report = a_report(node, ended=tuple(ends[node]))
            self.planner.record_report(report, self.now_s)
        self.decide()

    def decide(self):
        state = self.planner.state
        self.planner.decide(self.now_s, int(self.now_s * 1000))
        if self.divided and "j" not in state.split_jobs:
            state.split("j")
        for unit in list(changed_units(state, 1)):
            self.table.commit(unit.writes)
            state.mark_written(unit.jobs, unit.nodes)
        self.now_s += ROUND_S

    def given_up(self):
        """Return the units that have used up their attempts."""
        return {
            unit
            for unit, attempts in self.failed.items()
            if len(attempts) >= ATTEMPTS
            and unit not in self.done
            and not self.planner.state.step_of(f"{unit}.0").long_running
        }

    def shown(self):
        """Return the state that an entry shows to callers."""
        index = JobIndex()
        value = encode_value(self.job)
        index.apply_row(f"{JOB_PREFIX}j", Row(f"{JOB_PREFIX}j", value, 1))
        for row in self.table.snapshot(STATUS_PREFIX).rows:
            index.apply_row(row.key, row)
        return index.state("j")


@pytest.mark.parametrize("divided", [False, True])
@pytest.mark.parametrize("kind", JOBS)
@settings(derandomize=True, max_examples=60, deadline=None)
@given(data=st.data())
def test_job_is_failed_for_its_failed_runs_only(kind, divided, data):
    causes = st.sampled_from([None, EndCause.FAILED, *CAUSES, EndCause.DONE])
    with patch.object(progress_rows, "PART_TASKS", 2):
        site = Site(JOBS[kind], divided)
        for _ in range(data.draw(st.integers(1, 12))):
            site.play(lambda: data.draw(causes))
            if site.shown() is JobState.FAILED:
                assert site.given_up()
                return
            if data.draw(st.booleans()):
                site.take_over()
        for _ in range(3):
            site.play(lambda: EndCause.STOPPED)
        assert bool(site.given_up()) is (site.shown() is JobState.FAILED)


@pytest.mark.parametrize("divided", [False, True])
@pytest.mark.parametrize("kind", JOBS)
@pytest.mark.parametrize(
    "cause", [cause for cause in CAUSES if cause is not EndCause.FAILED]
)
def test_runs_that_did_not_fail_counted_as_attempts(kind, divided, cause):
    with patch.object(progress_rows, "PART_TASKS", 2):
        site = Site(JOBS[kind], divided)
        for number in range(8 * ATTEMPTS):
            site.play(lambda: cause)
            if number % 3 == 0:
                site.take_over()
        attempts = [record.attempt for record in site.progress.tasks.values()]
        assert min(attempts) > 3 * ATTEMPTS
        assert site.shown() is not JobState.FAILED


def test_failures_of_tasks_steps_and_occurrences_were_added_up():
    job = a_job("j", a_step(4), a_step(4), times=4, attempts=ATTEMPTS)
    site = Site(job, divided=False)
    seen = Counter()

    def fail_once():
        return EndCause.FAILED

    site.play(fail_once)
    site.play(fail_once)
    seen.update(site.failed)
    assert len(seen) > 8
    assert not site.given_up()
    for _ in range(20):
        site.play(lambda: EndCause.DONE)
    assert site.shown() is JobState.COMPLETE


@pytest.mark.parametrize("failed_first", [False, True])
def test_job_cancelled_while_its_last_runs_were_stopped(failed_first):
    site = Site(JOBS["single tasks"], divided=False)
    site.play(lambda: None)
    causes = iter([EndCause.FAILED, None, None] * ATTEMPTS)
    site.play(lambda: next(causes))
    site.play(lambda: next(causes))
    assert site.given_up()
    assert site.progress.state is not JobState.FAILED
    if failed_first:
        site.play(lambda: EndCause.STOPPED)
    site.planner.state.cancelled.add("j")
    site.play(lambda: EndCause.STOPPED)
    assert site.progress.state is (
        JobState.FAILED if failed_first else JobState.CANCELLED
    )


FAILED = encode_value(JobStatus(JobState.FAILED, True, "why"))
ACTIVE = encode_value(JobStatus(JobState.ACTIVE, True))
EARLIER = b'{"state":"failed","started":true}'


@pytest.mark.parametrize(
    ("statuses", "cancelled", "shown"),
    [
        ([], False, JobState.QUEUED),
        ([ACTIVE], False, JobState.ACTIVE),
        ([FAILED], False, JobState.FAILED),
        ([EARLIER], False, JobState.FAILED),
        ([ACTIVE], True, JobState.CANCELLED),
        ([FAILED], True, JobState.FAILED),
        # Another writer's rows tell nothing; the last readable one holds.
        ([b"odd"], False, JobState.QUEUED),
        ([ACTIVE, b'{"state":"no such state"}'], False, JobState.ACTIVE),
        ([ACTIVE, b'{"state":7}', b"\xff"], False, JobState.ACTIVE),
        ([FAILED, None], False, JobState.QUEUED),
    ],
)
def test_job_was_shown_as_failed_without_a_row_that_says_so(
    statuses, cancelled, shown
):
    index = JobIndex()
    for version, value in enumerate(statuses, 1):
        key = f"{STATUS_PREFIX}j"
        row = None if value is None else Row(key, value, version)
        index.apply_row(key, row)
    assert index.state("j") is None
    job = encode_value(a_job("j"))
    index.apply_row(f"{JOB_PREFIX}j", Row(f"{JOB_PREFIX}j", job, 1))
    if cancelled:
        key = f"{CANCEL_PREFIX}j"
        index.apply_row(key, Row(key, b"{}", 1))
    assert index.state("j") is shown

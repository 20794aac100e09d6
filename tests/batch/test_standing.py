"""Tasks that could run and do not move, in virtual time."""

from __future__ import annotations

from functools import partial

import pytest

from filbertlb.batch.confirmations import Confirmations
from filbertlb.batch.evacuation import Evacuations
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import Run
from filbertlb.batch.model import RunEnd
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.model import TaskRecord
from filbertlb.batch.planner import Planner
from filbertlb.batch.queue_report import COUNT_PERIOD_S
from filbertlb.batch.queue_report import MAX_NAME_LENGTH
from filbertlb.batch.queue_report import WaitReason
from filbertlb.batch.standing import StandReason
from filbertlb.batch.standing_report import MAX_LINES
from filbertlb.batch.standing_report import NAMED_TASKS
from filbertlb.batch.standing_report import STANDING_S
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_report
from filbertlb.batch.testing import a_step
from filbertlb.batch.testing import a_worker
from filbertlb.batch.workers import MAX_REPORT_AGE_S

DECISION_PERIOD_S = 0.2
MOVES_S = 8.0
"""Time at which what stands moves again."""
END_S = 10.0
MAX_TOLD_S = 3.0
WHOLE_WORKER = (8, 8_000, 8_000)


def report(planner, now_s, node="n0", listed=True, **changes):
    """Report a worker; unless told otherwise it runs what is ordered."""
    fields = {
        "worker": a_worker(incarnation=f"{node}@1"),
        "running": tuple(
            Run(task, planner.state.record(task).attempt)
            for task in planner.state.tasks_on(node)
            if listed
        ),
    }
    planner.record_report(a_report(node, **(fields | changes)), now_s)


def report_end(planner, now_s, task, cause, node="n0"):
    end = RunEnd(task, planner.state.record(task).attempt, cause)
    report(planner, now_s, node, ended=(end,))


def no_room(planner, now_s):
    # "a" fills the worker, "b" waits for it.
    report(planner, now_s)
    if now_s >= MOVES_S:
        report_end(planner, now_s, "a.0.0.0", EndCause.DONE)


def no_worker(planner, now_s):
    if now_s >= MOVES_S:
        report(planner, now_s)


def requests_outdated(planner, now_s):
    complete_s = 0.0 if now_s < MOVES_S else now_s
    planner.evacuations = Evacuations(
        max_age_s=-1.0 if now_s < MOVES_S else 1.0, complete_s=complete_s
    )
    report(planner, now_s)


def not_begun(planner, now_s):
    report(planner, now_s, listed=now_s >= MOVES_S)


def not_confirmed(planner, now_s):
    # The agent is back in contact, and its orders row is not written.
    if now_s < MOVES_S:
        planner.state.confirmations = Confirmations()
    report(
        *(planner, now_s),
        listed=now_s >= MOVES_S,
        sequence=9,
        awaited_sequence=7,
    )


def not_listed(planner, now_s):
    report(planner, now_s, listed=now_s < 1.0 or now_s >= MOVES_S)


def not_stopped(planner, now_s):
    report(planner, now_s)
    if now_s >= 1.0:
        planner.state.cancelled.add("a")
    if now_s >= MOVES_S:
        report_end(planner, now_s, "a.0.0.0", EndCause.STOPPED)


def worker_silent(planner, now_s):
    if now_s <= 1.0 or now_s >= MOVES_S:
        report(planner, now_s)


def worker_unknown(planner, now_s):
    if now_s >= MOVES_S:
        report(planner, now_s, "n9")


def reports_outdated(planner, now_s):
    # Known up to a while before the order, so outdated soon after it.
    planner.reports_complete_s = now_s if now_s >= MOVES_S else -1.5
    if now_s == 0.0 or now_s >= MOVES_S:
        report(planner, now_s, listed=now_s >= MOVES_S)


def step_rerun(planner, now_s):
    # One task is done; the other is lost once and runs again.
    report(planner, now_s)
    if now_s == 1.0:
        report_end(planner, now_s, "a.0.0.0", EndCause.DONE)
        planner.decide(now_s, 1000)
        report_end(planner, now_s, "a.0.0.1", EndCause.LOST)
    if now_s >= MOVES_S:
        report_end(planner, now_s, "a.0.0.1", EndCause.DONE)


def play(planner, feed, until_s=END_S):
    """Decide and write again and again; yield each time after that."""
    for number in range(round(until_s / DECISION_PERIOD_S)):
        now_s = round(number * DECISION_PERIOD_S, 3)
        feed(planner, now_s)
        planner.decide(now_s, round(now_s * 1000))
        state = planner.state
        state.mark_written(
            frozenset(state.changed_jobs), frozenset(state.changed_nodes)
        )
        yield now_s


def max_told_s(reason):
    """Return the time after which a task that stands is told of."""
    if reason == StandReason.WORKER_SILENT:
        # It counts as silent no sooner.
        return MAX_REPORT_AGE_S + COUNT_PERIOD_S
    if reason == StandReason.STEP_RERUN:
        # It runs, and since when is known from the first look only.
        return STANDING_S + 2 * COUNT_PERIOD_S
    return MAX_TOLD_S


ONE = (a_job("a"),)
FULL = (
    a_job("a", a_step(needs=WHOLE_WORKER)),
    a_job("b", a_step(needs=WHOLE_WORKER), accepted_ms=1000),
)
TWO_STEPS = (a_job("a", a_step(2), a_step(after=(0,))),)
UNKNOWN = {"a.0.0.0": TaskRecord(TaskPhase.ORDERED, 1, node="n9")}
CASES = [
    (FULL, {}, no_room, 1.0, {WaitReason.NO_ROOM}),
    (ONE, {}, no_worker, 0.0, {WaitReason.NO_WORKER}),
    (ONE, {}, requests_outdated, 0.0, {WaitReason.REQUESTS_OUTDATED}),
    (ONE, {}, not_begun, 0.0, {StandReason.NOT_BEGUN}),
    (ONE, {}, not_confirmed, 0.0, {StandReason.NOT_CONFIRMED}),
    (ONE, {}, not_listed, 1.0, {StandReason.NOT_LISTED}),
    (ONE, {}, not_stopped, 1.0, {StandReason.NOT_STOPPED}),
    (ONE, {}, worker_silent, 1.0, {StandReason.WORKER_SILENT}),
    (ONE, UNKNOWN, worker_unknown, 0.0, {StandReason.WORKER_UNKNOWN}),
    (ONE, {}, reports_outdated, 0.0, {StandReason.REPORTS_OUTDATED}),
    (
        *(TWO_STEPS, {}, not_begun, 0.0),
        {StandReason.NOT_BEGUN, StandReason.STEP_HELD},
    ),
    (TWO_STEPS, {}, step_rerun, 1.0, {StandReason.STEP_RERUN}),
]


@pytest.mark.parametrize(
    ("jobs", "records", "feed", "onset_s", "reasons"),
    CASES,
    ids=["-".join(sorted(case[-1])) for case in CASES],
)
def test_no_line_told_why_a_task_stood(
    lines, jobs, records, feed, onset_s, reasons
):
    planner = Planner()
    for job in jobs:
        planner.state.add_job(job)
    for task, record in records.items():
        planner.state.set_record(task, record)
    seen_s = {reason: [] for reason in reasons}
    for now_s in play(planner, feed):
        assert planner.standing.count_by_reason.keys() <= reasons
        for reason in planner.standing.count_by_reason:
            seen_s[reason].append(now_s)
    for reason, times_s in seen_s.items():
        assert onset_s + STANDING_S <= times_s[0]
        assert times_s[0] <= onset_s + max_told_s(reason)
        assert times_s[-1] >= MOVES_S - DECISION_PERIOD_S
        assert times_s[-1] <= MOVES_S + COUNT_PERIOD_S
    for reason in reasons:
        stood = [line for line in lines if line.startswith("standing: ")]
        (line,) = [line for line in stood if f", {reason}: " in line]
        assert len(stood) == len(reasons)
        moved = [line for line in lines if line.startswith("standing no")]
        (line,) = [line for line in moved if f", {reason}: " in line]
        assert len(moved) == len(reasons)
    assert planner.standing.total_by_reason.keys() == reasons


@pytest.mark.parametrize(
    ("jobs", "feed", "words"),
    [
        (
            ONE,
            not_begun,
            "on n0 for 2.0 s, ordered, report 0 of agent agent seen 0",
        ),
        (
            ONE,
            not_confirmed,
            "awaits that its orders confirm report 7, they confirm None",
        ),
        (ONE, worker_silent, "leases end within 11.6 s"),
        (
            *(TWO_STEPS, not_begun),
            "waits for 2 tasks of earlier steps, first a.0.0.0 attempt 1 on "
            "n0: not_begun",
        ),
        (
            *(TWO_STEPS, step_rerun),
            "first a.0.0.1 attempt 2 on n0: runs again",
        ),
    ],
)
def test_lines_tell_what_a_reason_was_found_from(lines, jobs, feed, words):
    planner = Planner()
    for job in jobs:
        planner.state.add_job(job)
    assert list(play(planner, feed))
    assert any(line.endswith(words) or words in line for line in lines)


def busy_site(planner, now_s, nodes, jobs):
    """Report every second; runs end after 6 s, and new jobs come."""
    if now_s % 1:
        return
    for node in nodes:
        tasks = planner.state.tasks_on(node)
        records = {task: planner.state.record(task) for task in tasks}
        done = [
            RunEnd(task, record.attempt, EndCause.DONE)
            for task, record in records.items()
            if now_s * 1000 - record.since_ms >= 6000
        ]
        running = tuple(
            Run(task, record.attempt)
            for task, record in records.items()
            if task not in {end.task for end in done}
        )
        changes = {"running": running, "ended": tuple(done)}
        report(planner, now_s, node, **changes)
    accepted_ms = round(now_s * 1000)
    steps = (a_step(2), a_step(4, after=(0,)), a_step(2, gang=True))
    job = a_job(f"j{len(jobs)}", *steps, accepted_ms=accepted_ms)
    jobs.append(job)
    planner.state.add_job(job)


def test_calm_busy_site_tells_of_no_task_that_stands(lines):
    planner, jobs = Planner(), []
    nodes = [f"n{number}" for number in range(8)]
    feed = partial(busy_site, nodes=nodes, jobs=jobs)
    for _ in play(planner, feed, 40.0):
        assert planner.standing.count_by_reason == {}
    assert len(jobs) == 40
    assert planner.run_ends["done"] > 200
    assert not [line for line in lines if line.startswith("standing")]


def test_lines_of_a_look_are_bounded(lines):
    # A site without workers, where one line a group would be hundreds.
    planner = Planner()
    names = [f"{number:03}{'x' * 300}" for number in range(100)]
    for name in names:
        planner.state.add_job(a_job(name, a_step(5)))
    for now_s in play(planner, lambda *_: None, 30.0):
        stood = [line for line in lines if line.startswith("standing: ")]
        looks = 1 + max(0, now_s - STANDING_S) / COUNT_PERIOD_S
        assert len(stood) <= MAX_LINES * looks
    assert len(stood) == len(set(stood)) == len(names)
    assert all(len(line) < 3 * MAX_NAME_LENGTH + 100 for line in stood)
    assert planner.standing.count_by_reason == {"no_worker": 500}
    for name in names:
        planner.state.cancelled.add(name)
    planner.decide(31.0, 31_000)
    moved = [line for line in lines if line.startswith("standing no longer")]
    assert len(moved) == MAX_LINES + 1
    assert moved[-1].endswith("460 tasks of 92 other groups")


def test_tasks_of_a_group_share_a_line(lines):
    planner = Planner()
    planner.state.add_job(a_job("a", a_step(8)))
    assert list(play(planner, not_begun, 5.0))
    (line,) = [line for line in lines if line.startswith("standing: ")]
    assert line.startswith("standing: 8 tasks of group a.0.0, not_begun: ")
    assert line.count("attempt 1") == NAMED_TASKS
    assert f", {8 - NAMED_TASKS} more for 2." in line


def test_the_rest_of_a_group_that_runs_does_not_stand():
    planner = Planner()
    planner.state.add_job(a_job("a", a_step(20)))
    for _ in play(planner, lambda planner, now_s: report(planner, now_s)):
        assert planner.standing.count_by_reason == {}
    assert planner.queue_report.count_by_reason == {"no_room": 1}


def test_next_planner_of_a_term_tells_nothing_twice(lines):
    # A decision that could not be written is followed by a new planner.
    planner = Planner()
    planner.state.add_job(a_job("a"))
    assert list(play(planner, not_begun, 5.0))
    rebuilt = Planner(state=planner.state, standing=planner.standing)
    not_begun(rebuilt, 5.0)
    rebuilt.decide(5.0, 5000)
    assert rebuilt.standing.count_by_reason == {"not_begun": 1}
    (_,) = [line for line in lines if line.startswith("standing")]


def test_step_behind_one_that_lasts_until_cancelled_is_not_held():
    planner = Planner()
    steps = (a_step(long_running=True), a_step(after=(0,)))
    planner.state.add_job(a_job("a", *steps))
    record = TaskRecord(TaskPhase.ORDERED, 2, node="n0", incarnation="n0@1")
    planner.state.set_record("a.0.0.0", record)
    for _ in play(planner, lambda planner, now_s: report(planner, now_s)):
        assert planner.standing.count_by_reason == {}

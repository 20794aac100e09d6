from __future__ import annotations

import pytest

from filbertlb.batch.crash_evidence import is_likely_culprit
from filbertlb.batch.crash_evidence import MAX_CRASHES
from filbertlb.batch.crash_evidence import must_give_up
from filbertlb.batch.crash_evidence import PROMPT_CRASH_MS
from filbertlb.batch.crashes import backoff_ms
from filbertlb.batch.crashes import MAX_BACKOFF_MS
from filbertlb.batch.crashes import MAX_BLAME_MS
from filbertlb.batch.crashes import MAX_RECORDED_CRASHES
from filbertlb.batch.crashes import MAX_SEPARATION_MS
from filbertlb.batch.crashes import MIN_BACKOFF_MS
from filbertlb.batch.crashes import SETTLING_MS
from filbertlb.batch.crashes import with_crash
from filbertlb.batch.model import Crash
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import JobState
from filbertlb.batch.model import Progress
from filbertlb.batch.model import PROGRESS_PREFIX
from filbertlb.batch.model import RunEnd
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.model import TaskRecord
from filbertlb.batch.model import UNKNOWN_CRASHES_PER_H
from filbertlb.batch.planner import Planner
from filbertlb.batch.planner_state import PlannerState
from filbertlb.batch.preemption import GUARANTEE_PREEMPTION_DELAY_MS
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_report
from filbertlb.batch.testing import a_step
from filbertlb.batch.testing import a_worker
from filbertlb.table.base import Row
from filbertlb.table.rows import decode_row
from filbertlb.table.rows import encode_value

PROMPT = PROMPT_CRASH_MS
LATE = PROMPT + 1
ALL_ACCELERATORS = (8, 8_000, 8_000)


QUIET = 7
"""Crashes an hour of a worker of fifteen, after a quiet half minute."""
STORM = 600
"""The same if half of them crash every three seconds."""


def some_crashes(*crashes, others_per_h=QUIET):
    return tuple(
        Crash(node, run_ms, attempt, others_per_h)
        for attempt, (node, run_ms) in enumerate(crashes, 1)
    )


def crashes_after(*ages_ms, others_per_h=QUIET):
    crashes = [(f"n{index}", run_ms) for index, run_ms in enumerate(ages_ms)]
    return some_crashes(*crashes, others_per_h=others_per_h)


@pytest.mark.parametrize(
    ("crashes", "attempts", "given_up"),
    [
        ([], 1, False),
        ([("n0", 5), ("n1", PROMPT)], 2, False),
        ([("n0", 5), ("n1", 5), ("n2", 5)], 2, False),
        ([("n0", 5), ("n1", 5), ("n0", 5), ("n1", 5)], 2, True),
        ([("n0", LATE), ("n1", LATE), ("n2", LATE)], 4, False),
        ([("n0", LATE), ("n1", LATE), ("n2", LATE), ("n0", LATE)], 4, False),
        ([("n0", LATE), ("n1", LATE), ("n2", LATE)] * 2, 4, True),
        ([("n0", 5)] * 3, 4, False),
        ([("n0", 5)] * 4, 4, True),
        ([("n0", 5), ("n1", 5)] * 2, 6, False),
        ([("n0", 5), ("n1", 5)] * 3, 6, True),
        ([("n0", 5)] * MAX_RECORDED_CRASHES, 99, True),
    ],
)
def test_task_is_given_up_by_the_crashes_it_is_blamed_for(
    crashes, attempts, given_up
):
    assert must_give_up(some_crashes(*crashes), attempts) is given_up


@pytest.mark.parametrize(
    ("crashes", "culprit"),
    [
        ([], False),
        ([("n0", 5)], False),
        ([("n0", 5), ("n1", PROMPT)], True),
        ([("n0", 5), ("n0", 5)], False),
        ([("n0", 5)] * 3, True),
        ([("n0", 5), ("n1", LATE)], False),
        ([("n0", 5), ("n1", LATE), ("n2", LATE)], False),
        ([("n0", LATE), ("n1", LATE), ("n2", LATE), ("n0", LATE)], True),
    ],
)
def test_culprit_is_told_by_the_crashes_it_is_blamed_for(crashes, culprit):
    assert is_likely_culprit(some_crashes(*crashes)) is culprit


@pytest.mark.parametrize(
    "ages_ms",
    [
        (1443, 2944, 9218, 1203),
        (1020, 1207, 1196, 1445),
        (157, 654, 1190, 1444),
        (9186, 1448, 7443, 4197),
        (586, 4203, 7410, 4075),
        (124, 1204, 1410, 1206),
        (1205, 1202, 4192, 1429, 1199, 1494, 1184, 1257),
    ],
)
def test_sound_task_was_given_up_for_workers_that_crash_by_themselves(
    ages_ms,
):
    crashes = crashes_after(*ages_ms, others_per_h=STORM)
    assert not must_give_up(crashes, 4)
    assert not is_likely_culprit(crashes)


@pytest.mark.parametrize(
    ("ages_ms", "others_per_h"),
    [
        ((264, 15, 264, 263), QUIET),
        ((261, 260, 261, 261), QUIET),
        ((261, 260, 261, 261), UNKNOWN_CRASHES_PER_H),
        # Rows of an earlier version, which kept as many.
        ((261,) * MAX_RECORDED_CRASHES, UNKNOWN_CRASHES_PER_H),
        ((261,) * 7, STORM),
    ],
)
def test_task_that_crashes_workers_as_it_begins_is_given_up(
    ages_ms, others_per_h
):
    crashes = crashes_after(*ages_ms, others_per_h=others_per_h)
    assert must_give_up(crashes, 4)
    assert is_likely_culprit(crashes)


def test_long_run_clears_a_task_of_earlier_crashes():
    crashes = some_crashes(("n0", 5), ("n1", LATE))
    assert with_crash(crashes, Crash("n2", MAX_BLAME_MS + 1)) == ()


class Site:
    """Planner with workers that crash and return under a new incarnation."""

    def __init__(self, *jobs, nodes=3):
        self.jobs = jobs
        self.nodes = [f"n{number}" for number in range(nodes)]
        self.incarnation_by_node = dict.fromkeys(self.nodes, 0)
        self.now_ms = 0
        self.progress_rows = {}
        self.new_decider()

    def new_decider(self):
        self.planner = Planner()
        for job in self.jobs:
            self.planner.state.add_job(job)
        for row in self.progress_rows.values():
            self.planner.state.add_progress(decode_row(row, Progress))
        for node in self.nodes:
            self.report(node)

    def report(self, node, **changes):
        incarnation = f"{node}@{self.incarnation_by_node[node]}"
        worker = a_worker(incarnation=incarnation)
        self.planner.record_report(
            a_report(node, worker=worker, **changes), self.now_ms / 1000
        )

    def decide(self, after_ms=100):
        self.now_ms += after_ms
        for node in self.nodes:
            view = self.planner.workers[node]
            view.seen_s = self.now_ms / 1000
        self.planner.decide(self.now_ms / 1000, self.now_ms)
        for job_id, progress in self.planner.state.progress.items():
            key = PROGRESS_PREFIX + job_id
            self.progress_rows[job_id] = Row(key, encode_value(progress), 1)

    def add(self, job):
        self.jobs = (*self.jobs, job)
        self.planner.state.add_job(job)

    def end(self, task, cause):
        record = self.record(task)
        self.report(record.node, ended=(RunEnd(task, record.attempt, cause),))

    def crash(self, node, run_ms):
        """End all runs of a node; ``run_ms`` None if the cause is unknown."""
        self.incarnation_by_node[node] += 1
        ended = tuple(
            RunEnd(task, self.record(task).attempt, EndCause.LOST, "", run_ms)
            for task in self.planner.state.tasks_on(node)
        )
        self.report(node, ended=ended)

    def record(self, task):
        return self.planner.state.record(task)

    def node_of(self, task):
        record = self.record(task)
        return record.node if record.phase is TaskPhase.ORDERED else None

    def state(self, job_id):
        return self.planner.state.progress[job_id].state


def crash_until_given_up(site, task, run_ms, most=10):
    """Crash the worker of a task at each start; return the nodes."""
    nodes = []
    site.decide()
    while len(nodes) < most:
        node = site.node_of(task)
        if node is None:
            break
        nodes.append(node)
        site.crash(node, run_ms)
        site.decide()
        site.new_decider()
    return nodes


@pytest.mark.parametrize(
    ("nodes", "gang"), [(3, False), (3, True), (1, False)]
)
def test_task_crashes_one_worker_after_another(nodes, gang):
    # Each decider dies after the crash that it saw.
    step = a_step(needs=ALL_ACCELERATORS, gang=gang)
    site = Site(a_job("a", step), nodes=nodes)
    crashed = crash_until_given_up(site, "a.0.0.0", run_ms=10)
    assert len(crashed) == MAX_CRASHES
    assert len(set(crashed)) == nodes
    assert site.state("a") is JobState.FAILED
    assert site.planner.state.suspects == set()


@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize("attempts", [2, 3, 4, 6])
def test_job_was_given_up_for_fewer_crashes_than_it_has_attempts(
    attempts, gang
):
    # No run of it had failed, and its workers may have crashed by themselves.
    step = a_step(2 if gang else 1, gang=gang)
    site = Site(a_job("a", step, attempts=attempts))
    for _ in range(attempts - 1):
        site.decide(after_ms=MAX_SEPARATION_MS)
        site.crash(site.node_of("a.0.0.0"), 10)
    site.decide(after_ms=MAX_SEPARATION_MS)
    site.end("a.0.0.0", EndCause.DONE)
    site.decide()
    assert site.state("a") is JobState.COMPLETE


@pytest.mark.parametrize(
    ("nodes", "tried"), [(4, ["n0", "n1", "n2"]), (2, ["n0", "n1", "n0"])]
)
def test_task_alternated_between_the_workers_that_had_crashed_under_it(
    nodes, tried
):
    # They crash by themselves and are idle again at once.
    site = Site(a_job("a"), nodes=nodes)
    for node in tried:
        site.decide(after_ms=MAX_SEPARATION_MS)
        assert site.node_of("a.0.0.0") == node
        site.crash(node, 10)


def lose_power(site, losses):
    """Crash all workers at once, each time that tasks have just started."""
    for _ in range(losses):
        site.decide(after_ms=MAX_SEPARATION_MS)
        for node in site.nodes:
            site.crash(node, 10)
    site.decide(after_ms=MAX_SEPARATION_MS)


@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize("losses", [1, 2, MAX_CRASHES - 1])
def test_jobs_were_given_up_after_two_losses_of_power(losses, gang):
    step = a_step(needs=ALL_ACCELERATORS, gang=gang)
    jobs = [a_job("a", step, attempts=2), a_job("b", step, attempts=2)]
    site = Site(*jobs, nodes=2)
    lose_power(site, losses)
    for job_id in ("a", "b"):
        assert site.state(job_id) is not JobState.FAILED
        assert site.node_of(f"{job_id}.0.0.0") is not None


def test_tasks_that_crash_workers_at_the_same_moments_shielded_each_other():
    # Crashes of one moment seemed to be due to a loss of power.
    step = a_step(needs=ALL_ACCELERATORS)
    site = Site(a_job("a", step), a_job("b", step), nodes=2)
    lose_power(site, MAX_CRASHES)
    for job_id in ("a", "b"):
        assert site.state(job_id) is JobState.FAILED


def restart_delay_ms(site, task):
    """Return the time until a task is ordered again after a crash."""
    crashed_ms = site.now_ms
    while site.node_of(task) is None:
        site.decide(after_ms=50)
        assert site.now_ms - crashed_ms <= MAX_BACKOFF_MS + 100
    return site.now_ms - crashed_ms


@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize("guaranteed", [0, 8])
@pytest.mark.parametrize("priority", [0, 2])
def test_task_that_lasts_is_never_given_up_for_crashes(
    gang, guaranteed, priority
):
    # A lasting job failed for good after two workers had crashed under it.
    step = a_step(2 if gang else 1, long_running=True, gang=gang)
    site = Site(a_job("a", step, priority=priority))
    site.planner.guaranteed = {"divers": guaranteed}
    site.decide()
    delays = []
    for _ in range(3 * MAX_RECORDED_CRASHES):
        site.decide(after_ms=SETTLING_MS)
        site.crash(site.node_of("a.0.0.0"), 10)
        site.decide(after_ms=50)
        site.new_decider()
        site.planner.guaranteed = {"divers": guaranteed}
        delays.append(restart_delay_ms(site, "a.0.0.0"))
        assert len(site.record("a.0.0.0").crashes) <= MAX_RECORDED_CRASHES
    assert site.state("a") is not JobState.FAILED
    assert delays[0] <= MIN_BACKOFF_MS + 100
    assert delays[-1] >= MAX_BACKOFF_MS - 100
    assert delays == sorted(delays)


def test_backoff_grows_up_to_its_bound():
    delays = [backoff_ms(some_crashes(*[("n0", 5)] * n)) for n in range(9)]
    assert delays[0] == 0
    assert delays[1] == MIN_BACKOFF_MS
    assert delays == sorted(delays)
    assert set(delays[4:]) == {MAX_BACKOFF_MS}


@pytest.mark.parametrize("step_ms", [-60_000, -1000])
def test_clock_behind_does_not_extend_the_backoff(step_ms):
    site = Site(a_job("a", a_step(long_running=True)), nodes=1)
    site.now_ms = 100_000
    site.decide()
    site.crash("n0", 10)
    site.decide()
    assert site.node_of("a.0.0.0") is None
    site.now_ms += step_ms
    site.new_decider()
    site.decide()
    assert site.node_of("a.0.0.0") == "n0"


def test_delayed_task_does_not_hold_up_others_of_its_step():
    site = Site(a_job("a", a_step(2, long_running=True, max_per_worker=1)))
    site.decide()
    for _ in range(4):
        site.crash(site.node_of("a.0.0.0"), 10)
        site.decide()
        site.decide(after_ms=MAX_BACKOFF_MS)
        site.decide(after_ms=SETTLING_MS)
    for task in ("a.0.0.0", "a.0.0.1"):
        site.crash(site.node_of(task), 10)
    site.decide()
    site.decide(after_ms=MIN_BACKOFF_MS)
    assert site.node_of("a.0.0.0") is None
    assert site.node_of("a.0.0.1") is not None


def test_restart_of_a_guaranteed_task_that_lasts_keeps_apart():
    # Claims of guarantees took any node, also one where others had begun.
    site = Site(a_job("a", a_step(long_running=True), priority=0), nodes=2)
    site.planner.guaranteed = {"divers": 8}
    site.decide(after_ms=GUARANTEE_PREEMPTION_DELAY_MS)
    assert site.node_of("a.0.0.0") == "n0"
    site.crash("n0", 10)
    site.add(a_job("b", a_step(2, needs=(5, 1, 1)), accepted_ms=site.now_ms))
    site.decide()
    site.decide(after_ms=MIN_BACKOFF_MS)
    assert site.node_of("b.0.0.1") == "n1"
    assert site.node_of("a.0.0.0") is None
    site.decide(after_ms=SETTLING_MS)
    assert site.node_of("a.0.0.0") is not None


def test_runs_beside_a_task_that_lasts_and_crashes_workers_are_not_blamed():
    # A task that is restarted after any number of crashes would otherwise
    # get the tasks of other jobs that share its workers given up.
    jobs = [a_job("a", a_step(long_running=True)), a_job("b")]
    site = Site(*jobs, nodes=1)
    for number in range(12):
        site.decide(after_ms=MAX_SEPARATION_MS)
        site.decide(after_ms=SETTLING_MS)
        assert site.node_of("a.0.0.0") == "n0", number
        assert site.node_of("b.0.0.0") == "n0", number
        site.crash("n0", LATE)
        site.decide()
        if number == 0:
            crashes = some_crashes(("n1", 5), ("n2", 5))
            site.record("a.0.0.0").crashes = crashes
    assert site.state("b") is not JobState.FAILED


@pytest.mark.parametrize("run_ms", [None, MAX_BLAME_MS + 1])
def test_task_is_not_given_up_for_workers_lost_otherwise(run_ms):
    site = Site(a_job("a"))
    assert len(crash_until_given_up(site, "a.0.0.0", run_ms)) == 10
    assert site.state("a") is not JobState.FAILED


def test_task_beside_one_that_crashes_workers_is_not_given_up():
    jobs = [a_job(name, a_step(2)) for name in ("a", "b", "c")]
    site = Site(*jobs)
    for _ in range(200):
        site.decide()
        node = site.node_of("a.0.0.0")
        if node is not None:
            site.crash(node, 10)
    assert site.state("a") is JobState.FAILED
    suspects = site.planner.state.suspects
    assert not any(task.startswith("a.") for task in suspects)
    for job_id in ("b", "c"):
        assert site.state(job_id) is not JobState.FAILED
        records = site.planner.state.progress[job_id].tasks.values()
        assert all(rec.phase is TaskPhase.ORDERED for rec in records)


def test_end_of_a_suspect_without_a_job_stopped_all_decisions():
    # A worker may still report its end after the rows of its job are deleted.
    site = Site(a_job("a", a_step(long_running=True)))
    site.decide()
    site.crash(site.node_of("a.0.0.0"), 10)
    site.decide()
    state = site.planner.state
    assert state.suspects == {"a.0.0.0"}
    end = RunEnd("a.0.0.0", 1, EndCause.LOST, "", 10)
    site.report("n0", ended=(end,))
    del state.jobs["a"]
    site.add(a_job("b"))
    site.planner.decide(site.now_ms / 1000, site.now_ms)
    assert "b.0.0.0" in state.progress["b"].tasks


def test_suspect_was_kept_after_the_rows_of_its_job_were_deleted():
    state = PlannerState()
    for job_id in ("a", "b"):
        state.add_job(a_job(job_id))
        record = TaskRecord(crashes=some_crashes(("n0", 10)))
        state.set_record(f"{job_id}.0.0.0", record)
    state.forget("a")
    assert state.suspects == {"b.0.0.0"}


def test_suspect_starts_apart_from_other_runs():
    site = Site(a_job("a"), a_job("b"), nodes=2)
    site.decide()
    assert site.node_of("a.0.0.0") == site.node_of("b.0.0.0") == "n0"
    site.crash("n0", 10)
    site.decide()
    assert site.node_of("a.0.0.0") == "n1"
    assert site.node_of("b.0.0.0") == "n0"
    site.add(a_job("c"))
    site.decide()
    assert site.node_of("c.0.0.0") is None
    site.decide(after_ms=SETTLING_MS)
    assert site.node_of("c.0.0.0") is not None


def test_suspect_prefers_an_idle_worker():
    site = Site(a_job("a"), a_job("b", a_step(2, max_per_worker=1)))
    site.decide()
    site.crash("n0", 10)
    site.decide(after_ms=SETTLING_MS)
    assert site.node_of("b.0.0.1") == "n1"
    assert site.node_of("a.0.0.0") == "n2"


def test_suspects_of_one_job_start_one_after_the_other():
    site = Site(a_job("a", a_step(3, needs=ALL_ACCELERATORS)))
    site.decide()
    for node in site.nodes:
        site.crash(node, 10)
    started = []
    for _ in range(3):
        site.decide()
        running = [n for n in range(3) if site.node_of(f"a.0.0.{n}")]
        started.append(len(running))
        site.decide(after_ms=SETTLING_MS)
    assert started == [1, 2, 3]


def test_suspect_is_not_held_for_ever():
    site = Site(a_job("a"), nodes=1)
    site.decide()
    site.crash("n0", 10)
    for number in range(MAX_SEPARATION_MS // 500):
        site.add(a_job(f"b{number}", priority=0))
        site.decide(after_ms=500)
        assert site.record("a.0.0.0").attempt == 1
        site.end(f"b{number}.0.0.0", EndCause.DONE)
    site.decide(after_ms=500)
    assert site.record("a.0.0.0").attempt == 2


@pytest.mark.parametrize("step_ms", [0, -5000, -60_000])
def test_decider_with_a_clock_behind_held_starts_for_the_difference(step_ms):
    # Runs that the last decider ordered seemed to begin in the future.
    jobs = [a_job(name, a_step(needs=(4, 1, 1))) for name in ("a", "b")]
    site = Site(*jobs, nodes=1)
    site.now_ms = 100_000
    site.decide()
    site.crash("n0", 10)
    site.decide()
    site.now_ms += step_ms
    site.new_decider()
    for _ in range(5):
        site.decide(after_ms=SETTLING_MS // 4)
    for job_id in ("a", "b"):
        assert site.node_of(f"{job_id}.0.0.0") == "n0"


def test_guaranteed_job_was_kept_from_a_node_by_a_suspect():
    # It has to start within a limit that is shorter than the separation.
    site = Site(a_job("a"), nodes=1)
    site.planner.guaranteed = {"divers": 8}
    site.decide()
    site.crash("n0", 10)
    site.decide()
    assert site.node_of("a.0.0.0") == "n0"
    site.add(a_job("urgent", priority=0, accepted_ms=site.now_ms))
    site.decide(after_ms=GUARANTEE_PREEMPTION_DELAY_MS - 100)
    assert site.node_of("urgent.0.0.0") is None
    site.decide(after_ms=100)
    assert site.node_of("urgent.0.0.0") == "n0"

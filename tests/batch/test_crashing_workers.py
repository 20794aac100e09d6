"""Workers that crash by themselves, and tasks that crash workers."""

from __future__ import annotations

from random import Random

import pytest

from filbertlb.batch.crash_evidence import MAX_CRASHES
from filbertlb.batch.crashes import MAX_SEPARATION_MS
from filbertlb.batch.model import Crash
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import JobState
from filbertlb.batch.model import Progress
from filbertlb.batch.model import RunEnd
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_step
from filbertlb.table.base import Row
from filbertlb.table.rows import decode_row
from filbertlb.table.rows import encode_value
from tests.batch.test_crashes import Site

NODES = 15
TICK_MS = 100
START_MS = 50
DEADLY_MS = 261
DOWN_MS = 1500
DEADLY_DOWN_MS = 3200
STORM_PERIOD_MS = 3000
STORM_MS = 33_000
WHOLE_WORKER = (8, 8_000, 8_000)


class CrashingSite(Site):
    """Site whose workers are down for a while after they have crashed.

    Their agents report at once that they don't answer, and the ends of the
    runs when they are back.
    """

    def __init__(self, *jobs, deadly=(), nodes=NODES):
        self.deadly = set(deadly)
        self.up_at_ms_by_node = {}
        self.ages_by_node = {}
        self.crashes_of_deadly = 0
        self.most_down = 0
        super().__init__(*jobs, nodes=nodes)

    def report(self, node, **changes):
        if node in self.up_at_ms_by_node:
            changes["answers"] = False
        super().report(node, **changes)

    def take_down(self, node, down_ms):
        if node in self.up_at_ms_by_node:
            return
        state = self.planner.state
        self.ages_by_node[node] = {
            task: self.now_ms - state.record(task).since_ms - START_MS
            for task in state.tasks_on(node)
        }
        self.up_at_ms_by_node[node] = self.now_ms + down_ms
        self.report(node)

    def bring_up(self, node):
        del self.up_at_ms_by_node[node]
        self.incarnation_by_node[node] += 1
        ages_ms = self.ages_by_node.pop(node)
        ended = tuple(
            RunEnd(
                task,
                self.record(task).attempt,
                EndCause.LOST,
                "",
                age_ms if age_ms >= 0 else None,
            )
            for task, age_ms in ages_ms.items()
        )
        self.report(node, ended=ended)

    def tick(self):
        for task in self.deadly:
            node = self.node_of(task)
            age_ms = self.now_ms - self.record(task).since_ms - START_MS
            is_up = node is not None and node not in self.up_at_ms_by_node
            if is_up and age_ms >= DEADLY_MS:
                self.crashes_of_deadly += 1
                self.take_down(node, DEADLY_DOWN_MS)
        for node, up_at_ms in list(self.up_at_ms_by_node.items()):
            if self.now_ms >= up_at_ms:
                self.bring_up(node)
        self.most_down = max(self.most_down, len(self.up_at_ms_by_node))
        self.decide(after_ms=TICK_MS)

    def storm(self, random, for_ms, takeovers=False):
        """Crash half of the workers in each period, at random."""
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            if self.now_ms % STORM_PERIOD_MS == 0:
                for node in random.sample(self.nodes, len(self.nodes) // 2):
                    self.take_down(node, DOWN_MS)
                if takeovers:
                    self.new_decider()
            self.tick()


def some_jobs(count, **changes):
    """Return jobs of various widths, some of which are gangs."""
    return [
        a_job(
            f"j{number}",
            a_step(1 + number % 5, gang=number % 3 == 2, needs=(4, 100, 100)),
            **changes,
        )
        for number in range(count)
    ]


@pytest.mark.parametrize("takeovers", [False, True])
@pytest.mark.parametrize("attempts", [2, 4])
@pytest.mark.parametrize("seed", range(5))
def test_jobs_were_given_up_for_workers_that_crashed_by_themselves(
    seed, attempts, takeovers
):
    site = CrashingSite(*some_jobs(12, attempts=attempts))
    site.storm(Random(seed), STORM_MS, takeovers)
    assert not site.planner.failed_jobs
    assert all(
        site.state(job.job_id) is not JobState.FAILED for job in site.jobs
    )


@pytest.mark.parametrize("takeovers", [False, True])
@pytest.mark.parametrize("seed", range(5))
def test_task_that_crashes_workers_is_given_up_in_a_storm(seed, takeovers):
    deadly = a_job("d", a_step(needs=WHOLE_WORKER), priority=0)
    site = CrashingSite(deadly, *some_jobs(6), deadly=["d.0.0.0"])
    site.storm(Random(seed), 2 * STORM_MS, takeovers)
    assert site.state("d") is JobState.FAILED
    assert all(
        site.state(job.job_id) is not JobState.FAILED for job in site.jobs[1:]
    )


@pytest.mark.parametrize("nodes", [3, 8, NODES])
@pytest.mark.parametrize("deadly", [1, 2, 4, 8])
def test_tasks_that_crash_workers_end_a_bounded_number(deadly, nodes):
    jobs = [
        a_job(f"d{number}", a_step(needs=WHOLE_WORKER))
        for number in range(deadly)
    ]
    site = CrashingSite(
        *jobs,
        deadly=[f"d{number}.0.0.0" for number in range(deadly)],
        nodes=nodes,
    )
    for _ in range(120_000 // TICK_MS):
        site.tick()
    assert all(site.state(job.job_id) is JobState.FAILED for job in site.jobs)
    # As many as workers, in step, look like losses of power for longer.
    most = MAX_CRASHES + (2 if deadly >= nodes > 3 else 1)
    assert site.crashes_of_deadly <= most * deadly
    assert site.most_down <= min(deadly, nodes)


def crash_member(site, index):
    """Crash the worker of a member as it begins; the others end broken."""
    node = site.node_of(f"g.0.0.{index}")
    site.crash(node, DEADLY_MS)
    for other in set(site.nodes) - {node}:
        ended = tuple(
            RunEnd(task, site.record(task).attempt, EndCause.BROKEN)
            for task in site.planner.state.tasks_on(other)
        )
        site.report(other, ended=ended)
    site.decide(after_ms=0)


@pytest.mark.parametrize("takeovers", [False, True])
@pytest.mark.parametrize("rotates", [False, True])
def test_gang_was_given_up_after_the_crashes_of_each_of_its_members(
    rotates, takeovers
):
    step = a_step(4, gang=True, needs=WHOLE_WORKER)
    site = Site(a_job("g", step, attempts=2), nodes=NODES)
    # Deciders that know nothing of other workers need one crash more.
    for crash in range(MAX_CRASHES + takeovers):
        assert site.state("g") is not JobState.FAILED
        site.decide(after_ms=MAX_SEPARATION_MS)
        while site.node_of("g.0.0.0") is None:
            site.decide()
        crash_member(site, crash % 4 if rotates else 0)
        if takeovers:
            site.new_decider()
    site.decide()
    assert site.state("g") is JobState.FAILED


def test_one_run_of_a_gang_counted_once_for_each_worker_that_crashed():
    step = a_step(4, gang=True, needs=WHOLE_WORKER)
    site = CrashingSite(a_job("g", step, attempts=2), nodes=8)
    for _ in range(MAX_CRASHES - 1):
        site.decide(after_ms=MAX_SEPARATION_MS)
        nodes = [site.node_of(f"g.0.0.{index}") for index in range(4)]
        site.now_ms += START_MS + DEADLY_MS
        for node in nodes:
            site.take_down(node, 0)
        for node in nodes:
            site.bring_up(node)
        site.decide()
    assert site.state("g") is not JobState.FAILED


def test_gang_that_had_run_for_long_kept_the_crashes_of_other_members():
    step = a_step(2, gang=True, needs=WHOLE_WORKER)
    site = Site(a_job("g", step), nodes=4)
    site.decide()
    for task, run_ms in (("g.0.0.0", 10), ("g.0.0.1", 10_001)):
        site.decide(after_ms=MAX_SEPARATION_MS)
        site.crash(site.node_of(task), run_ms)
        site.decide()
        for node in site.nodes:
            tasks = site.planner.state.tasks_on(node)
            ended = tuple(
                RunEnd(task, site.record(task).attempt, EndCause.BROKEN)
                for task in tasks
            )
            site.report(node, ended=ended)
        site.decide()
    assert site.record("g.0.0.0").crashes == ()


def test_crashes_of_an_earlier_version_are_read():
    row = Row(
        "k",
        b'{"job_id":"a","tasks":{"a.0.0.0":{"crashes":[{"node":"n0",'
        b'"run_ms":261}]}}}',
        1,
    )
    record = decode_row(row, Progress).tasks["a.0.0.0"]
    assert record.crashes == (Crash("n0", 261),)
    assert len(encode_value(record)) < 400

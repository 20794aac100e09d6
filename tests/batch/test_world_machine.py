"""Planner, gates and workers under random faults, in virtual time.

What must always hold is checked by the simulated workers themselves:
no task runs twice at once, none starts again after a stored end, and
no worker is given more than it has.
"""

from __future__ import annotations

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from msgspec.json import decode
from msgspec.json import encode

from filbertlb.batch.gate import WorkerGate
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import job_of
from filbertlb.batch.model import JobState
from filbertlb.batch.model import Order
from filbertlb.batch.model import Orders
from filbertlb.batch.model import Progress
from filbertlb.batch.model import Run
from filbertlb.batch.model import RunEnd
from filbertlb.batch.model import WorkerReport
from filbertlb.batch.planner import Planner
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_step
from filbertlb.batch.testing import a_worker
from filbertlb.batch.testing import CAPACITY
from filbertlb.batch.worker_link import LEASE_S
from filbertlb.batch.worker_link import ListedEnd
from filbertlb.batch.worker_link import StartCall
from filbertlb.batch.worker_link import StartResult
from filbertlb.core.amounts import covers
from filbertlb.core.amounts import plus
from filbertlb.core.amounts import ZERO_AMOUNT

NODES = ("n0", "n1", "n2")
STEP_S = 0.25
WORK_S = 2.0
STOP_S = 0.9


@attrs.define
class SimWorker:
    """Runs what it is told, unless fenced or stopped before."""

    incarnation: str
    fence: int = 0
    lease_end_s: float = 0.0
    runs: dict = attrs.Factory(dict)
    ends: list = attrs.Factory(list)
    barred: dict = attrs.Factory(dict)
    stopping: dict = attrs.Factory(dict)
    number: int = 0

    def start(self, order, fence, now_s):
        if fence < self.fence:
            return StartResult.FENCED
        self.fence = fence
        key = (order.task, order.attempt)
        if key in self.runs:
            return StartResult.STARTED
        if order.attempt <= self.barred.get(order.task, 0):
            return StartResult.TOO_OLD
        self.runs[key] = (order.needs, now_s)
        self.lease_end_s = max(self.lease_end_s, now_s + LEASE_S)
        return StartResult.STARTED

    def end(self, key, cause):
        del self.runs[key]
        self.number += 1
        self.barred[key[0]] = key[1]
        end = RunEnd(key[0], key[1], cause)
        self.ends.append(ListedEnd(self.number, end))

    def stop(self, task, attempt, fence, now_s):
        if fence < self.fence:
            return
        self.barred[task] = max(self.barred.get(task, 0), attempt)
        if (task, attempt) in self.runs:
            self.stopping.setdefault((task, attempt), now_s + STOP_S)

    def used(self):
        total = ZERO_AMOUNT
        for needs, _ in self.runs.values():
            total = plus(total, needs)
        return total


@attrs.define
class SimAgent:
    gate: WorkerGate
    fence: int
    taken_to: int = 0


class World(RuleBasedStateMachine):
    """One decider, three agents with workers, and rows between them."""

    def __init__(self):
        super().__init__()
        self.now_s = 100.0
        self.fence = 0
        self.births = 0
        self.jobs = {}
        self.progress = {}
        self.cancelled = set()
        self.orders = {}
        self.reports = {}
        self.report_seen_s = {}
        self.workers = {}
        self.agents = {}
        self.late_starts = []
        self.lose_next = False
        self.deaf_until_s = 0.0
        self.planner = None
        self.stored_done = set()

    @initialize()
    def begin(self):
        for node in NODES:
            self.new_worker(node)
            self.new_agent(node)
        self.new_decider()

    def new_worker(self, node):
        self.births += 1
        self.workers[node] = SimWorker(f"{node}@{self.births}")
        if node in self.agents:
            self.announce(node)

    def announce(self, node):
        worker = a_worker(incarnation=self.workers[node].incarnation)
        agent = self.agents[node]
        if agent.gate.worker is None or agent.gate.worker != worker:
            agent.taken_to = 0
        agent.gate.set_worker(worker)

    def new_agent(self, node):
        self.fence += 1
        gate = WorkerGate(self.now_s)
        former = self.reports.get(node)
        if former is not None:
            gate.restore(former.ended)
        self.agents[node] = SimAgent(gate, self.fence)
        self.announce(node)
        if node in self.orders:
            gate.set_orders(decode(self.orders[node], type=Orders))

    def new_decider(self):
        self.planner = Planner(guaranteed={"divers": 8})
        for job in self.jobs.values():
            self.planner.board.add_job(job)
        for row in self.progress.values():
            self.planner.board.add_progress(decode(row, type=Progress))
        self.planner.board.cancelled.update(self.cancelled)
        for node, report in self.reports.items():
            self.planner.saw_report(report, self.report_seen_s[node])

    @rule(
        count=st.integers(1, 4),
        accelerators=st.sampled_from([1, 4, 8]),
        gang=st.booleans(),
        saves=st.booleans(),
        priority=st.integers(0, 2),
        second=st.booleans(),
    )
    def submit(self, count, accelerators, gang, saves, priority, second):
        job_id = f"j{len(self.jobs)}"
        step = a_step(
            min(count, 24 // accelerators),
            needs=(accelerators, 100, 100),
            gang=gang,
            checkpointable=saves,
        )
        steps = (step, a_step(after=(0,))) if second else (step,)
        self.jobs[job_id] = a_job(
            job_id,
            *steps,
            priority=priority,
            accepted_ms=int(self.now_s * 1000),
        )
        self.planner.board.add_job(self.jobs[job_id])

    @rule(steps=st.integers(1, 12))
    def let_time_pass(self, steps):
        for _ in range(steps):
            self.tick()

    @rule(node=st.sampled_from(NODES))
    def restart_agent(self, node):
        self.new_agent(node)

    @rule(node=st.sampled_from(NODES))
    def crash_worker(self, node):
        self.new_worker(node)

    @rule()
    def change_decider(self):
        self.new_decider()

    @rule()
    def lose_a_start(self):
        self.lose_next = True

    @rule(seconds=st.integers(1, 5))
    def pause_decider(self, seconds):
        self.deaf_until_s = self.now_s + seconds

    @rule(node=st.sampled_from(NODES))
    def store_ends_then_restart_agent(self, node):
        self.finish(self.workers[node])
        self.run_agent(node)
        self.run_agent(node)
        self.new_agent(node)

    @rule(data=st.data())
    def cancel(self, data):
        if self.jobs:
            job_id = data.draw(st.sampled_from(sorted(self.jobs)))
            self.cancelled.add(job_id)
            self.planner.board.cancelled.add(job_id)

    def tick(self):
        self.now_s += STEP_S
        for node in NODES:
            self.finish(self.workers[node])
        for node, order, fence, at_s in list(self.late_starts):
            if at_s <= self.now_s:
                self.late_starts.remove((node, order, fence, at_s))
                self.send_start(node, order, fence)
        for node in NODES:
            self.run_agent(node)
        if self.now_s >= self.deaf_until_s:
            self.planner.decide(self.now_s, int(self.now_s * 1000))
            self.write()

    def finish(self, worker):
        for key, (_, since_s) in list(worker.runs.items()):
            if worker.stopping.get(key, self.now_s + 1) <= self.now_s:
                worker.end(key, EndCause.STOPPED)
            elif since_s + WORK_S <= self.now_s:
                worker.end(key, EndCause.DONE)

    def send_start(self, node, order, fence):
        worker = self.workers[node]
        if order.incarnation != worker.incarnation:
            return StartResult.OTHER_INCARNATION
        result = worker.start(order, fence, self.now_s)
        if result is StartResult.STARTED:
            assert covers(CAPACITY, worker.used()), worker
            self.check_start(order)
        return result

    def check_start(self, order: Order):
        holders = [
            key
            for worker in self.workers.values()
            for key in worker.runs
            if key[0] == order.task
        ]
        assert len(holders) == 1, holders
        assert order.task not in self.stored_done, order

    def run_agent(self, node):
        agent, worker = self.agents[node], self.workers[node]
        gate = agent.gate
        sent_s = self.now_s
        gate.extended(sent_s)
        worker.lease_end_s = sent_s + LEASE_S
        worker.fence = max(worker.fence, agent.fence)
        worker.ends = [
            one for one in worker.ends if one.number > agent.taken_to
        ]
        running = [Run(task, attempt) for task, attempt in worker.runs]
        gate.looked(sent_s, running, worker.ends, whole=True)
        for call in gate.due(self.now_s):
            if not isinstance(call, StartCall):
                worker.stop(call.task, call.attempt, agent.fence, self.now_s)
                gate.stopped(call, answered=True, now_s=self.now_s)
            elif self.lose_next:
                self.lose_next = False
                late_s = self.now_s + 8 * STEP_S
                self.late_starts.append(
                    (node, call.order, agent.fence, late_s)
                )
                gate.started(call.order, StartResult.UNKNOWN, self.now_s)
            else:
                result = self.send_start(node, call.order, agent.fence)
                gate.started(call.order, result, self.now_s)
        self.store_report(node, agent)

    def store_report(self, node, agent):
        gate = agent.gate
        report = WorkerReport(
            node,
            "agent",
            0,
            gate.worker,
            True,
            gate.running(),
            gate.ended(),
        )
        self.reports[node] = report
        self.report_seen_s[node] = self.now_s
        agent.taken_to = gate.listed_to
        for end in report.ended:
            if end.cause is EndCause.DONE:
                self.stored_done.add(end.task)
        self.planner.saw_report(report, self.now_s)

    def write(self):
        board = self.planner.board
        for job_id in board.changed_jobs:
            self.progress[job_id] = encode(board.progress[job_id])
        for node in NODES:
            row = board.orders_of(node, 1)
            self.orders[node] = encode(row)
            self.agents[node].gate.set_orders(row)
        board.changed_jobs.clear()
        board.changed_nodes.clear()

    def teardown(self):
        if self.planner is None:
            return
        for _ in range(400):
            self.tick()
        for job_id, job in self.jobs.items():
            progress = self.planner.board.progress[job_id]
            wanted = {JobState.COMPLETE}
            if job_id in self.cancelled:
                wanted.add(JobState.CANCELLED)
            assert progress.state in wanted, (job, progress)
        assert all(not worker.runs for worker in self.workers.values())
        assert {job_of(task) for task in self.stored_done} <= set(self.jobs)


World.TestCase.settings = settings(
    derandomize=True,
    max_examples=80,
    stateful_step_count=30,
    deadline=None,
)
TestWorld = World.TestCase

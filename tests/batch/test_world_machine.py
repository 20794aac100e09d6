"""Planner, reconcilers and workers under random faults, in virtual time.

Each unit of a write plan is a transaction of its own, and a decider may die
between any two of them. The entries decide in turn, perhaps for a moment
each, and know the age of a report only as their copies of the table tell it.
Agents may be silent until their runs are given up, or cut off from the table
while they extend their leases. All machines may lose power at once, and some
never come back: others take their place.
Workers shrink and grow while they run. Some tasks crash each worker that
starts them; it returns after some seconds.
Workers restart under the id that they had, announce themselves late, and may
have carried out starts by then. Others leave: they work on after they have
deregistered, and the deregistration may arrive when the next incarnation is
there.

Each start checks the invariants: no task runs twice at the same time, no
task starts again after a stored end, and no start brings a worker over the
capacity that it has announced. A start that the worker carries out late may
do so only until the agent could withdraw it. Once the faults are over,
every job must complete, unless two workers crashed under one of its tasks;
jobs whose task crashes workers must fail, after a limited number of crashes.
"""

from __future__ import annotations

from collections import Counter
from collections import deque

import attrs
import pytest
from hypothesis import Phase
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from filbertlb.batch.crashes import MAX_CRASHES
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import job_id_of
from filbertlb.batch.model import JobState
from filbertlb.batch.model import Order
from filbertlb.batch.model import Orders
from filbertlb.batch.model import orders_key
from filbertlb.batch.model import Progress
from filbertlb.batch.model import PROGRESS_PREFIX
from filbertlb.batch.model import Run
from filbertlb.batch.model import RunEnd
from filbertlb.batch.model import WORKER_PREFIX
from filbertlb.batch.model import WorkerReport
from filbertlb.batch.planner import Planner
from filbertlb.batch.reconciler import WorkerReconciler
from filbertlb.batch.takeover import apply_report
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_step
from filbertlb.batch.testing import a_worker
from filbertlb.batch.testing import CAPACITY
from filbertlb.batch.worker_link import LEASE_S
from filbertlb.batch.worker_link import ListedEnd
from filbertlb.batch.worker_link import StartCall
from filbertlb.batch.worker_link import StartResult
from filbertlb.batch.workers import CONTACT_LOST_S
from filbertlb.batch.write_plan import changed_units
from filbertlb.core.amounts import covers
from filbertlb.core.amounts import plus
from filbertlb.core.amounts import ZERO_AMOUNT
from filbertlb.table.base import Changes
from filbertlb.table.base import Row
from filbertlb.table.base import Snapshot
from filbertlb.table.mirror import Mirror
from filbertlb.table.rows import decode_row
from filbertlb.table.rows import encode_value

NODES = ("n0", "n1", "n2")
ENTRIES = 2
TICK_S = 0.25
RUN_DURATION_S = 2.0
LONG_RUN_DURATION_S = 12.0
MAX_LONG_JOBS = 3
STOP_DURATION_S = 0.9
DOWN_DURATION_S = 2.0
FENCES_PER_AGENT = 1000
WITHDRAWAL_TICKS = 3
"""Ticks in which an agent learns of a smaller capacity and stops a start."""


@attrs.define
class SimWorker:
    """Starts runs unless the call is fenced or the attempt is too old."""

    incarnation: str
    fence: int = 0
    lease_end_s: float = 0.0
    runs: dict = attrs.Factory(dict)
    ends: list = attrs.Factory(list)
    last_attempt_by_task: dict = attrs.Factory(dict)
    stopping: dict = attrs.Factory(dict)
    last_end_number: int = 0
    capacity: tuple = CAPACITY
    draining: bool = False
    announces_at_s: float = 0.0
    starts_before_listing: bool = False
    leaves_at_s: float | None = None

    @property
    def instance_id(self):
        return self.incarnation.partition("@")[0]

    def start(self, order, fence, now_s):
        if fence < self.fence:
            return StartResult.FENCED
        self.fence = fence
        key = (order.task, order.attempt)
        if key in self.runs:
            return StartResult.STARTED
        if order.attempt <= self.last_attempt_by_task.get(order.task, 0):
            return StartResult.TOO_OLD
        self.runs[key] = (order.needs, now_s)
        self.lease_end_s = max(self.lease_end_s, now_s + LEASE_S)
        return StartResult.STARTED

    def end(self, key, cause):
        del self.runs[key]
        self.last_end_number += 1
        self.last_attempt_by_task[key[0]] = key[1]
        end = RunEnd(key[0], key[1], cause)
        self.ends.append(ListedEnd(self.last_end_number, end))

    def stop(self, task, attempt, fence, now_s):
        if fence < self.fence:
            return
        self.last_attempt_by_task[task] = max(
            self.last_attempt_by_task.get(task, 0), attempt
        )
        if (task, attempt) in self.runs:
            self.stopping.setdefault((task, attempt), now_s + STOP_DURATION_S)

    def used(self):
        total = ZERO_AMOUNT
        for needs, _ in self.runs.values():
            total = plus(total, needs)
        return total


@attrs.define
class SimAgent:
    reconciler: WorkerReconciler
    fence: int
    contact_s: float
    acked_number: int = 0


class World(RuleBasedStateMachine):
    """Two entries and three agents with workers, connected by rows."""

    def __init__(self):
        super().__init__()
        self.now_s = 100.0
        self.fence = 0
        self.incarnations = 0
        self.jobs = {}
        self.progress = {}
        self.cancelled = set()
        self.long_jobs = set()
        self.orders = {}
        self.reports = {}
        self.report_rows = {}
        self.version = 0
        self.state_copies = [Mirror() for _ in range(ENTRIES)]
        self.report_copy = Mirror()
        self.entry = 0
        self.ticks = 0
        self.term_ticks = 0
        self.nodes = list(NODES)
        self.gone = set()
        self.workers = {}
        self.agents = {}
        self.delayed_starts = []
        self.next_start_result = None
        self.node_of_failed_start = None
        self.decider_paused_until_s = 0.0
        self.written_before_death = None
        self.silent_until_s = dict.fromkeys(NODES, 0.0)
        self.cut_off_until_s = dict.fromkeys(NODES, 0.0)
        self.planner = None
        self.stored_done = set()
        self.announced = {
            node: deque([CAPACITY], WITHDRAWAL_TICKS) for node in NODES
        }
        self.crashing_tasks = set()
        self.tasks_crashed_by_node = {}
        self.down_until_s = dict.fromkeys(NODES, 0.0)
        self.deregistrations = []
        self.restart_at_next_start = None
        self.crashes = Counter()
        self.noticed_crashes = Counter()

    @initialize()
    def begin(self):
        for node in NODES:
            self.new_worker(node)
            self.new_agent(node)
        self.new_decider()

    def new_worker(self, node, instance_id=None, silent_s=0.0):
        self.incarnations += 1
        incarnation = f"{instance_id or node}@{self.incarnations}"
        self.workers[node] = SimWorker(
            incarnation, announces_at_s=self.now_s + silent_s
        )
        if node in self.agents:
            self.announce(node)

    def announce(self, node):
        worker = self.workers[node]
        if self.now_s < worker.announces_at_s:
            return
        agent = self.agents[node]
        previous = agent.reconciler.worker
        if previous is None or previous.incarnation != worker.incarnation:
            agent.acked_number = 0
            agent.fence += previous is not None
        agent.reconciler.set_worker(
            a_worker(
                incarnation=worker.incarnation,
                capacity=worker.capacity,
                draining=worker.draining,
            )
        )
        agent.reconciler.record_announcement(self.now_s)

    def new_agent(self, node):
        self.fence += FENCES_PER_AGENT
        reconciler = WorkerReconciler(self.now_s)
        previous = self.reports.get(node)
        if previous is not None:
            reconciler.restore(previous.ended)
            self.store_row(attrs.evolve(previous, answers=False, running=()))
        self.agents[node] = SimAgent(reconciler, self.fence, self.now_s)
        if node not in self.tasks_crashed_by_node:
            self.announce(node)
        if node in self.orders:
            reconciler.set_orders(self.orders[node])

    def new_decider(self):
        self.planner = Planner(guaranteed={"divers": 8})
        for job in self.jobs.values():
            self.planner.state.add_job(job)
        for row in self.progress.values():
            self.planner.state.add_progress(decode_row(row, Progress))
        self.planner.state.cancelled.update(self.cancelled)
        self.report_copy = Mirror()
        rows = tuple(self.report_rows.values())
        self.report_copy.replace(Snapshot(rows, self.version), self.now_s)
        for key in self.report_rows:
            self.apply_report(key)
        self.planner.state.changed_nodes.update(self.nodes)

    def apply_report(self, key):
        state_copy = self.state_copies[self.entry]
        apply_report(self.planner, self.report_copy, state_copy, key)

    @rule(
        count=st.integers(1, 4),
        accelerators=st.sampled_from([1, 4, 8]),
        gang=st.booleans(),
        checkpointable=st.booleans(),
        priority=st.integers(0, 2),
        two_steps=st.booleans(),
    )
    def submit(
        self, count, accelerators, gang, checkpointable, priority, two_steps
    ):
        job_id = f"j{len(self.jobs)}"
        step = a_step(
            min(count, 24 // accelerators),
            needs=(accelerators, 100, 100),
            gang=gang,
            checkpointable=checkpointable,
        )
        steps = (step, a_step(after=(0,))) if two_steps else (step,)
        self.accept(job_id, *steps, priority=priority)

    @rule(accelerators=st.sampled_from([1, 8]))
    def submit_long_job(self, accelerators):
        if len(self.long_jobs) < MAX_LONG_JOBS:
            job_id = f"j{len(self.jobs)}"
            self.long_jobs.add(job_id)
            self.accept(job_id, a_step(needs=(accelerators, 100, 100)))

    def accept(self, job_id, *steps, **changes):
        self.jobs[job_id] = a_job(
            job_id, *steps, accepted_ms=int(self.now_s * 1000), **changes
        )
        self.planner.state.add_job(self.jobs[job_id])

    @rule(data=st.data())
    def let_task_crash_its_workers(self, data):
        if self.jobs:
            job_id = data.draw(st.sampled_from(sorted(self.jobs)))
            self.crashing_tasks.add(f"{job_id}.0.0.0")

    @rule(ticks=st.integers(1, 12))
    def advance_time(self, ticks):
        for _ in range(ticks):
            self.tick()

    @rule(node=st.sampled_from(NODES))
    def restart_agent(self, node):
        if self.reaches_table(node):
            self.new_agent(node)

    def reaches_table(self, node):
        return (
            node not in self.gone and self.now_s >= self.cut_off_until_s[node]
        )

    @rule(
        node=st.sampled_from(NODES),
        keeps_id=st.booleans(),
        silent_ticks=st.integers(0, 6),
        starts_before_listing=st.booleans(),
    )
    def crash_worker(
        self, node, keeps_id, silent_ticks, starts_before_listing
    ):
        instance_id = None if keeps_id else f"{node}-{self.incarnations}"
        self.new_worker(node, instance_id, silent_ticks * TICK_S)
        self.workers[node].starts_before_listing = starts_before_listing

    @rule(silent_ticks=st.integers(0, 6), answered=st.booleans())
    def restart_worker_as_it_gets_its_next_start(self, silent_ticks, answered):
        self.restart_at_next_start = (silent_ticks * TICK_S, answered)
        for _ in range(8):
            self.tick()
            if self.restart_at_next_start is None:
                return
        self.restart_at_next_start = None

    @rule(
        data=st.data(),
        ticks_to_deregistration=st.integers(0, 4),
        ticks_on_the_way=st.integers(0, 30),
        ticks_to_end=st.integers(0, 14),
    )
    def let_busy_worker_leave(
        self, data, ticks_to_deregistration, ticks_on_the_way, ticks_to_end
    ):
        busy = [
            node
            for node in self.nodes
            if self.workers[node].runs and node not in self.gone
        ]
        if not busy:
            return
        self.let_worker_leave(
            data.draw(st.sampled_from(busy)),
            ticks_to_deregistration,
            ticks_on_the_way,
            ticks_to_end,
        )
        for _ in range(ticks_to_deregistration + ticks_to_end):
            self.tick()

    def let_worker_leave(
        self, node, ticks_to_deregistration, ticks_on_the_way, ticks_to_end
    ):
        worker = self.workers[node]
        if node in self.tasks_crashed_by_node or worker.draining:
            return
        worker.draining = True
        sent_s = self.now_s + ticks_to_deregistration * TICK_S
        arrives_s = sent_s + ticks_on_the_way * TICK_S
        self.deregistrations.append((node, worker.instance_id, arrives_s))
        worker.leaves_at_s = sent_s + ticks_to_end * TICK_S

    @rule(
        node=st.sampled_from(NODES), accelerators=st.sampled_from([0, 1, 4, 8])
    )
    def resize_worker(self, node, accelerators):
        self.workers[node].capacity = (accelerators, *CAPACITY[1:])

    @rule(entry=st.integers(0, ENTRIES - 1))
    def replace_decider(self, entry):
        self.entry = entry
        self.new_decider()

    @rule(ticks=st.sampled_from([0, 1, 4, 20, 50]))
    def change_decider_every(self, ticks):
        self.term_ticks = ticks

    @rule(node=st.sampled_from(NODES), seconds=st.integers(5, 30))
    def cut_agent_off(self, node, seconds):
        self.cut_off_until_s[node] = self.now_s + seconds

    @rule(gone=st.sets(st.sampled_from(NODES), max_size=2))
    def lose_all_power(self, gone):
        self.delayed_starts.clear()
        self.state_copies = [Mirror() for _ in range(ENTRIES)]
        for node in gone - self.gone:
            self.gone.add(node)
            self.add_node(f"r{len(self.nodes)}")
        for node in self.nodes:
            self.lose_power(node)
        self.new_decider()

    def lose_power(self, node):
        self.crashes.update(self.tasks_crashed_by_node.pop(node, ()))
        self.workers[node].runs.clear()
        self.silent_until_s[node] = self.cut_off_until_s[node] = self.now_s
        if node not in self.gone:
            self.new_worker(node)
            self.new_agent(node)

    def add_node(self, node):
        self.nodes.append(node)
        self.silent_until_s[node] = self.cut_off_until_s[node] = 0.0
        self.down_until_s[node] = 0.0
        self.announced[node] = deque([CAPACITY], WITHDRAWAL_TICKS)
        self.new_worker(node)
        self.new_agent(node)

    @rule(result=st.sampled_from([StartResult.UNKNOWN, StartResult.UNHEALTHY]))
    def fail_next_start(self, result):
        self.next_start_result = result

    @rule(
        result=st.sampled_from([StartResult.UNKNOWN, StartResult.UNHEALTHY]),
        accelerators=st.sampled_from([0, 1, 4]),
    )
    def shrink_worker_after_its_next_start_fails(self, result, accelerators):
        self.next_start_result = result
        self.node_of_failed_start = None
        for _ in range(8):
            self.tick()
            if self.node_of_failed_start is not None:
                self.resize_worker(self.node_of_failed_start, accelerators)
                return

    @rule(transactions=st.integers(0, 4))
    def die_while_writing(self, transactions):
        self.written_before_death = transactions
        self.tick()

    @rule(node=st.sampled_from(NODES), seconds=st.integers(5, 30))
    def silence_agent(self, node, seconds):
        self.silent_until_s[node] = self.now_s + seconds

    @rule(seconds=st.integers(1, 5))
    def pause_decider(self, seconds):
        self.decider_paused_until_s = self.now_s + seconds

    @rule(node=st.sampled_from(NODES))
    def store_ends_then_restart_agent(self, node):
        if not self.reaches_table(node):
            return
        self.end_due_runs(self.workers[node])
        self.run_agent(node)
        self.run_agent(node)
        self.new_agent(node)

    @rule(data=st.data())
    def cancel(self, data):
        if self.jobs:
            job_id = data.draw(st.sampled_from(sorted(self.jobs)))
            self.cancelled.add(job_id)
            self.planner.state.cancelled.add(job_id)

    def tick(self):
        self.now_s += TICK_S
        self.ticks += 1
        if self.term_ticks and self.ticks % self.term_ticks == 0:
            self.entry = (self.entry + 1) % ENTRIES
            self.new_decider()
        for node in self.nodes:
            self.end_due_runs(self.workers[node])
            if (
                node in self.tasks_crashed_by_node
                and self.now_s >= self.down_until_s[node]
            ):
                self.return_worker(node)
        self.handle_departures()
        for node, order, fence, at_s in list(self.delayed_starts):
            if at_s <= self.now_s:
                self.delayed_starts.remove((node, order, fence, at_s))
                capacity = self.workers[node].capacity
                allowed = max(capacity, *self.announced[node])
                self.send_start(node, order, fence, allowed)
        for node in self.nodes:
            silent = self.now_s < self.silent_until_s[node]
            if not silent and node not in self.gone:
                self.run_agent(node)
        for copy in self.state_copies:
            copy.apply(Changes((), {}, self.version), self.now_s)
        if self.now_s >= self.decider_paused_until_s:
            self.planner.decide(self.now_s, int(self.now_s * 1000))
            self.write_rows()

    def handle_departures(self):
        for item in list(self.deregistrations):
            node, instance_id, arrives_s = item
            if self.now_s < arrives_s:
                continue
            self.deregistrations.remove(item)
            reconciler = self.agents[node].reconciler
            current = reconciler.worker
            if (
                current is not None
                and current.draining
                and current.incarnation.partition("@")[0] == instance_id
            ):
                reconciler.record_deregistration(current.incarnation)
        for node in self.nodes:
            leaves_at_s = self.workers[node].leaves_at_s
            if leaves_at_s is not None and self.now_s >= leaves_at_s:
                self.take_worker_down(node)
                self.tasks_crashed_by_node[node] = set()
                self.workers[node].leaves_at_s = None

    def end_due_runs(self, worker):
        for key, (_, since_s) in list(worker.runs.items()):
            if worker.lease_end_s <= self.now_s:
                worker.end(key, EndCause.LAPSED)
            elif worker.stopping.get(key, self.now_s + 1) <= self.now_s:
                worker.end(key, EndCause.STOPPED)
            elif since_s + self.duration_s(key[0]) <= self.now_s:
                worker.end(key, EndCause.DONE)

    def duration_s(self, task):
        is_long = job_id_of(task) in self.long_jobs
        return LONG_RUN_DURATION_S if is_long else RUN_DURATION_S

    def send_start(self, node, order, fence, allowed):
        worker = self.workers[node]
        if node in self.tasks_crashed_by_node:
            return StartResult.UNHEALTHY
        # The call names no incarnation.
        if order.incarnation.partition("@")[0] != worker.instance_id:
            return StartResult.OTHER_INCARNATION
        runs_before = len(worker.runs)
        result = worker.start(order, fence, self.now_s)
        if len(worker.runs) > runs_before:
            assert covers(allowed, worker.used()), (str(worker), allowed)
        if result is StartResult.STARTED:
            self.check_start(order)
            if order.task in self.crashing_tasks:
                self.take_worker_down(node)
        return result

    def take_worker_down(self, node):
        runs = self.workers[node].runs
        self.tasks_crashed_by_node[node] = {task for task, _ in runs}
        self.down_until_s[node] = self.now_s + DOWN_DURATION_S
        runs.clear()

    def return_worker(self, node):
        tasks = self.tasks_crashed_by_node.pop(node)
        self.crashes.update(tasks)
        if self.agents[node].reconciler.worker_down:
            self.noticed_crashes.update(tasks)
        assert all(
            self.noticed_crashes[task] <= MAX_CRASHES
            for task in self.crashing_tasks
        ), self.noticed_crashes
        self.new_worker(node)

    def check_start(self, order: Order):
        running_keys = [
            key
            for worker in self.workers.values()
            for key in worker.runs
            if key[0] == order.task
        ]
        assert len(running_keys) == 1, running_keys
        assert order.task not in self.stored_done, order

    def run_agent(self, node):
        agent, worker = self.agents[node], self.workers[node]
        reconciler = agent.reconciler
        if node in self.tasks_crashed_by_node:
            self.run_agent_beside_crashed_worker(node, agent)
            return
        self.announce(node)
        self.announced[node].append(worker.capacity)
        self.follow_orders(node, agent)
        announced = reconciler.worker
        if announced is None or announced.incarnation != worker.incarnation:
            self.run_agent_beside_unannounced_worker(node, agent)
            return
        sent_s = self.now_s
        if self.may_extend_leases(agent):
            reconciler.record_extension(sent_s)
            worker.lease_end_s = sent_s + LEASE_S
        worker.fence = max(worker.fence, agent.fence)
        worker.ends = [
            end for end in worker.ends if end.number > agent.acked_number
        ]
        running = [Run(task, attempt) for task, attempt in worker.runs]
        reconciler.record_listing(
            sent_s, running, worker.ends, ends_complete=True
        )
        self.make_calls(node, agent)
        self.store_report(node, agent)

    def make_calls(self, node, agent):
        reconciler, worker = agent.reconciler, self.workers[node]
        for call in reconciler.due_calls(self.now_s):
            if not isinstance(call, StartCall):
                worker.stop(call.task, call.attempt, agent.fence, self.now_s)
                reconciler.record_stop(call, answered=True, now_s=self.now_s)
            else:
                result = self.make_start(node, call.order, agent.fence)
                reconciler.record_start(call.order, result, self.now_s)

    def run_agent_beside_unannounced_worker(self, node, agent):
        if not self.workers[node].starts_before_listing:
            agent.reconciler.record_other_incarnation()
        self.make_calls(node, agent)
        agent.reconciler.record_other_incarnation()
        self.store_report(node, agent, answers=False)

    def run_agent_beside_crashed_worker(self, node, agent):
        if agent.reconciler.worker is not None:
            agent.reconciler.record_down(self.now_s)
        self.follow_orders(node, agent)
        for call in agent.reconciler.due_calls(self.now_s):
            if isinstance(call, StartCall):
                agent.reconciler.record_start(
                    call.order, StartResult.UNHEALTHY, self.now_s
                )
            else:
                agent.reconciler.record_stop(call, False, self.now_s)
        self.store_report(node, agent, answers=False)

    def follow_orders(self, node, agent):
        if self.reaches_table(node) and node in self.orders:
            agent.reconciler.set_orders(self.orders[node])

    def may_extend_leases(self, agent):
        return self.now_s - agent.contact_s < CONTACT_LOST_S

    def make_start(self, node, order, fence):
        if not self.may_extend_leases(self.agents[node]):
            return StartResult.TOO_LATE
        if self.restart_at_next_start is not None:
            return self.start_on_next_incarnation(node, order, fence)
        result, self.next_start_result = self.next_start_result, None
        if result is None:
            worker = self.workers[node]
            allowed = worker.capacity
            if order.incarnation != worker.incarnation:
                allowed = max(allowed, *self.announced[node])
            return self.send_start(node, order, fence, allowed)
        self.node_of_failed_start = node
        if result is StartResult.UNKNOWN:
            delayed_to_s = self.now_s + 8 * TICK_S
            self.delayed_starts.append((node, order, fence, delayed_to_s))
        return result

    def start_on_next_incarnation(self, node, order, fence):
        silent_s, answered = self.restart_at_next_start
        self.restart_at_next_start = None
        self.new_worker(node, self.workers[node].instance_id, silent_s)
        allowed = max(*self.announced[node])
        result = self.send_start(node, order, fence, allowed)
        return result if answered else StartResult.UNKNOWN

    def store_report(self, node, agent, answers=True):
        if not self.reaches_table(node):
            return
        reconciler = agent.reconciler
        report = WorkerReport(
            node,
            "agent",
            0,
            reconciler.worker,
            answers,
            reconciler.running(),
            reconciler.ended(),
        )
        agent.contact_s = self.now_s
        agent.acked_number = reconciler.last_end_number
        for end in report.ended:
            if end.cause is EndCause.DONE:
                self.stored_done.add(end.task)
        self.store_row(report)

    def store_row(self, report):
        self.version += 1
        self.reports[report.node] = report
        key = WORKER_PREFIX + report.node
        row = Row(key, encode_value(report), self.version)
        self.report_rows[key] = row
        self.report_copy.put(row, self.now_s)
        self.apply_report(key)

    def write_rows(self):
        """Write transaction by transaction, perhaps dying in between."""
        state = self.planner.state
        left, self.written_before_death = self.written_before_death, None
        for unit in list(changed_units(state, 1)):
            if left == 0:
                self.new_decider()
                return
            left = None if left is None else left - 1
            self.store(unit)
            state.mark_written(unit.jobs, unit.nodes)

    def store(self, unit):
        for write in unit.writes:
            row = Row(write.key, write.value, 1)
            if write.key.startswith(PROGRESS_PREFIX):
                job_id = write.key.removeprefix(PROGRESS_PREFIX)
                self.progress[job_id] = row
            for node in self.nodes:
                if write.key == orders_key(node):
                    self.orders[node] = decode_row(row, Orders)

    def teardown(self):
        if self.planner is None:
            return
        for worker in self.workers.values():
            worker.capacity = CAPACITY
        for _ in range(600):
            self.tick()
        for job_id, job in self.jobs.items():
            progress = self.planner.state.progress[job_id]
            assert progress.state in self.final_states(job_id), (
                job,
                progress,
            )
        assert all(not worker.runs for worker in self.workers.values())
        assert {job_id_of(task) for task in self.stored_done} <= set(self.jobs)

    def final_states(self, job_id):
        """Return the states in which a job may be at the end."""
        states = {JobState.COMPLETE}
        if job_id in self.cancelled:
            states.add(JobState.CANCELLED)
        if any(
            count >= 2 and job_id_of(task) == job_id
            for task, count in self.crashes.items()
        ):
            states.add(JobState.FAILED)
        return states


World.TestCase.settings = settings(
    derandomize=True,
    # Shrinking a failing run takes longer than the time limit of a test,
    # which then hides the failure.
    phases=(Phase.explicit, Phase.generate),
    max_examples=80,
    stateful_step_count=30,
    deadline=None,
)
TestWorld = World.TestCase


def restarts_at_start(world, ticks):
    """Restart a worker as it gets a start; it announces itself late."""
    world.restart_worker_as_it_gets_its_next_start(ticks, answered=True)


def restarts_at_unanswered_start(world, ticks):
    world.restart_worker_as_it_gets_its_next_start(ticks, answered=False)


def restarts_before_a_late_start(world, ticks):
    """Restart a worker before it carries out a start without an answer."""
    world.fail_next_start(StartResult.UNKNOWN)
    while not world.delayed_starts:
        world.tick()
    for _ in range(ticks):
        world.tick()
    node = world.delayed_starts[0][0]
    world.crash_worker(node, True, ticks, starts_before_listing=True)


def leaves_unconfirmed(world, ticks):
    """Let a worker work on after it has deregistered."""
    for _ in range(3):
        world.tick()
    world.let_worker_leave(busy_node(world), 2, 0, 2 + 2 * ticks)


def leaves_while_an_earlier_deregistration_arrives(world, ticks):
    """Let a deregistration arrive while the next incarnation drains."""
    node = NODES[0]
    world.let_worker_leave(node, 0, 18 + ticks, 1)
    for _ in range(11):
        world.tick()
    world.submit_long_job(4)
    world.submit_long_job(4)
    for _ in range(3):
        world.tick()
    assert world.workers[node].runs
    world.let_worker_leave(node, 14, 0, 8)


def busy_node(world):
    """Return a node whose worker has a run, or the first."""
    busy = (node for node in NODES if world.workers[node].runs)
    return next(busy, NODES[0])


def nothing(world):
    """No second disruption."""


def agents_restart(world):
    for node in NODES:
        world.restart_agent(node)


def decider_changes(world):
    world.replace_decider(1)


def agents_are_cut_off(world):
    for node in NODES:
        world.cut_agent_off(node, 5)


def worker_restarts(world):
    world.crash_worker(busy_node(world), True, 3, starts_before_listing=True)


@pytest.mark.parametrize("ticks", [0, 1, 3, 6])
@pytest.mark.parametrize(
    "second",
    [
        nothing,
        agents_restart,
        decider_changes,
        agents_are_cut_off,
        worker_restarts,
    ],
)
@pytest.mark.parametrize(
    "first",
    [
        restarts_at_start,
        restarts_at_unanswered_start,
        restarts_before_a_late_start,
        leaves_unconfirmed,
        leaves_while_an_earlier_deregistration_arrives,
    ],
)
def test_task_ran_twice_where_a_worker_left_or_came_back(first, second, ticks):
    # Workers keep their id, so messages and answers may be another's.
    world = World()
    world.begin()
    for _ in range(3):
        world.tick()
    world.submit_long_job(1)
    first(world, ticks)
    second(world)
    for _ in range(60):
        world.tick()
    world.teardown()

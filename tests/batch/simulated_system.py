"""Planner, reconcilers and workers, moved on tick by tick.

Each start checks the invariants that test_world_machine.py states. A state
machine of hypothesis takes it as its first base and adds the faults.
"""

from __future__ import annotations

from collections import Counter
from collections import deque

import attrs

from filbertlb.batch.crash_evidence import MAX_CRASHES
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import job_id_of
from filbertlb.batch.model import Order
from filbertlb.batch.model import Orders
from filbertlb.batch.model import orders_key
from filbertlb.batch.model import PROGRESS_PREFIX
from filbertlb.batch.model import Run
from filbertlb.batch.model import WORKER_PREFIX
from filbertlb.batch.model import WorkerReport
from filbertlb.batch.planner import Planner
from filbertlb.batch.planner_state import ALLOCATED_PHASES
from filbertlb.batch.reconciler import WorkerReconciler
from filbertlb.batch.takeover import add_progress_rows
from filbertlb.batch.takeover import apply_report
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_worker
from filbertlb.batch.testing import CAPACITY
from filbertlb.batch.worker_link import LEASE_S
from filbertlb.batch.worker_link import StartCall
from filbertlb.batch.worker_link import StartResult
from filbertlb.batch.workers import CONTACT_LOST_S
from filbertlb.batch.write_plan import changed_units
from filbertlb.core.amounts import covers
from filbertlb.table.base import Changes
from filbertlb.table.base import Row
from filbertlb.table.base import Snapshot
from filbertlb.table.base import TransactionLimits
from filbertlb.table.mirror import Mirror
from filbertlb.table.rows import decode_row
from filbertlb.table.rows import encode_value
from tests.batch.simulated_worker import SimAgent
from tests.batch.simulated_worker import SimWorker

NODES = ("n0", "n1", "n2")
ENTRIES = 2
TICK_S = 0.25
RUN_DURATION_S = 2.0
LONG_RUN_DURATION_S = 12.0
DOWN_DURATION_S = 2.0
FENCES_PER_AGENT = 1000
MAX_TOLD_CRASHES = MAX_CRASHES
"""Crashes under one task, told by agents, after which it is given up."""
WITHDRAWAL_TICKS = 3
"""Ticks in which an agent learns of a smaller capacity and stops a start."""


class SimulatedSystem:
    """Two entries and three agents with workers, connected by rows."""

    limits = TransactionLimits()

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
        self.told_crashes = set()

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
        registration = f"agent-{self.fence // FENCES_PER_AGENT}"
        reconciler = WorkerReconciler(registration, self.now_s)
        reconciler.session.record_stored(0, self.now_s, self.now_s)
        agent = SimAgent(reconciler, self.fence)
        previous = self.reports.get(node)
        if previous is not None:
            reconciler.restore(previous.ended)
            self.store_row(
                attrs.evolve(
                    previous,
                    registration=registration,
                    sequence=0,
                    awaited_sequence=0,
                    answers=False,
                    running=(),
                )
            )
        self.agents[node] = agent
        if node not in self.tasks_crashed_by_node:
            self.announce(node)
        if node in self.orders:
            reconciler.set_orders(self.orders[node])

    def new_decider(self):
        self.planner = Planner(guaranteed={"divers": 8})
        rows = self.progress.values()
        add_progress_rows(self.planner.state, self.jobs, rows)
        for job in self.jobs.values():
            self.planner.state.add_job(job)
        self.planner.state.cancelled.update(self.cancelled)
        self.report_copy = Mirror()
        reports = tuple(self.report_rows.values())
        self.report_copy.replace(Snapshot(reports, self.version), self.now_s)
        for key in self.report_rows:
            self.apply_report(key)
        self.planner.state.changed_nodes.update(self.nodes)

    def apply_report(self, key):
        state_copy = self.state_copies[self.entry]
        apply_report(self.planner, self.report_copy, state_copy, key)

    def accept(self, job_id, *steps, **changes):
        self.jobs[job_id] = a_job(
            job_id, *steps, accepted_ms=int(self.now_s * 1000), **changes
        )
        self.planner.state.add_job(self.jobs[job_id])

    def reaches_table(self, node):
        return (
            node not in self.gone and self.now_s >= self.cut_off_until_s[node]
        )

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
            worker.lease_end_s = sent_s + LEASE_S
            reconciler.record_lease(worker.lease_end_s)
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
        return self.now_s - agent.reconciler.session.contact_s < CONTACT_LOST_S

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
        session = reconciler.session
        agent.sequence += 1
        report = WorkerReport(
            node,
            session.registration,
            agent.sequence,
            reconciler.worker,
            answers,
            reconciler.running(self.now_s),
            reconciler.ended(),
            reconciler.awaited_sequence(agent.sequence, self.now_s),
        )
        for end in report.ended:
            if end.crashed_after_ms is not None and self.awaits(end, node):
                self.told_crashes.add(end.key)
        counts = Counter(task for task, _ in self.told_crashes)
        assert all(
            counts[task] <= MAX_TOLD_CRASHES for task in self.crashing_tasks
        ), self.told_crashes
        session.record_stored(agent.sequence, self.now_s, self.now_s)
        reconciler.record_told(report)
        agent.acked_number = reconciler.last_end_number
        for end in report.ended:
            if end.cause is EndCause.DONE:
                self.stored_done.add(end.task)
        self.store_row(report)

    def awaits(self, end, node):
        """Return whether the decider has not given the run up already."""
        record = self.planner.state.record(end.task)
        return (record.attempt, record.node) == (end.attempt, node) and (
            record.phase in ALLOCATED_PHASES
        )

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
        for unit in list(changed_units(state, 1, self.limits)):
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
                self.progress[write.key] = row
            for node in self.nodes:
                if write.key == orders_key(node):
                    self.orders[node] = decode_row(row, Orders)

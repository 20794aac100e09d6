"""The simulated system with agents that are held up at any await.

Reports reach the decider late, and its transactions are done some time after
they were decided. An agent takes its steps one by one: it may be paused
between any two of them, and calls may be carried out late, without an answer.
Each start checks that no other worker runs the task.
"""

from __future__ import annotations

from filbertlb.batch.agent import WORKER_TIMEOUT_S
from filbertlb.batch.model import Run
from filbertlb.batch.model import WORKER_PREFIX
from filbertlb.batch.model import WorkerReport
from filbertlb.batch.worker_link import LEASE_S
from filbertlb.batch.worker_link import MAX_LEASE_S
from filbertlb.batch.worker_link import StartCall
from filbertlb.batch.worker_link import StartResult
from filbertlb.batch.workers import CONTACT_LOST_S
from filbertlb.batch.write_plan import changed_units
from filbertlb.table.base import Changes
from filbertlb.table.base import Row
from filbertlb.table.rows import encode_value
from tests.batch.simulated_system import NODES
from tests.batch.simulated_system import SimulatedSystem
from tests.batch.simulated_system import TICK_S

SHORT_RUN_S = 2.0
LONG_RUN_S = 25.0


class LaggingSystem(SimulatedSystem):
    """Two entries and three agents that know of each other late."""

    def __init__(self):
        super().__init__()
        self.report_lag_s = 0.0
        self.transaction_lag_s = 0.0
        self.complete_s = self.now_s
        self.undelivered = []
        self.transactions = None
        self.steps_by_node = {}
        self.pause_by_node = {}
        self.paused_until_s = dict.fromkeys(NODES, 0.0)
        self.orders_held_until_s = dict.fromkeys(NODES, 0.0)
        self.call_delay_s_by_node = {}
        self.calls_on_the_way = []

    def begin(self):
        for node in NODES:
            self.new_worker(node)
            self.new_agent(node)
        self.new_decider()

    def new_agent(self, node):
        self.steps_by_node.pop(node, None)
        self.paused_until_s[node] = self.now_s
        super().new_agent(node)

    def new_decider(self):
        self.undelivered.clear()
        self.transactions = None
        self.complete_s = self.now_s
        super().new_decider()

    def duration_s(self, task):
        is_long = task.partition(".")[0] in self.long_jobs
        return LONG_RUN_S if is_long else SHORT_RUN_S

    def tick(self):
        self.now_s += TICK_S
        for node in self.nodes:
            self.end_due_runs(self.workers[node])
        for call in list(self.calls_on_the_way):
            due_s, carry_out = call
            if due_s <= self.now_s:
                self.calls_on_the_way.remove(call)
                carry_out()
        for node in self.nodes:
            self.run_agent(node)
        for copy in self.state_copies:
            copy.apply(Changes((), {}, self.version), self.now_s)
        self.deliver_reports()
        self.step_decider()

    def check_start(self, order):
        running = [
            (node, key)
            for node, worker in self.workers.items()
            for key in worker.runs
            if key[0] == order.task
        ]
        assert len(running) == 1, (self.now_s, running)

    # The decider.

    def store_row(self, report):
        self.version += 1
        self.reports[report.node] = report
        key = WORKER_PREFIX + report.node
        row = Row(key, encode_value(report), self.version)
        self.report_rows[key] = row
        self.undelivered.append((self.now_s, row))

    def deliver_reports(self):
        known_s = self.now_s - self.report_lag_s
        self.complete_s = max(self.complete_s, known_s)
        for item in list(self.undelivered):
            stored_s, row = item
            if stored_s <= self.complete_s:
                self.undelivered.remove(item)
                self.report_copy.put(row, self.now_s)
                self.apply_report(row.key)

    def step_decider(self):
        state = self.planner.state
        if self.transactions is None:
            self.planner.reports_complete_s = self.complete_s
            self.planner.decide(self.now_s, int(self.now_s * 1000))
            units = list(changed_units(state, 1, self.limits))
            self.transactions = (self.now_s + self.transaction_lag_s, units)
        due_s, units = self.transactions
        if due_s <= self.now_s:
            self.transactions = None
            for unit in units:
                self.store(unit)
                state.mark_written(unit.jobs, unit.nodes)

    # The agents.

    def run_agent(self, node):
        if self.now_s < self.paused_until_s[node]:
            return
        if node not in self.steps_by_node:
            agent = self.agents[node]
            self.steps_by_node[node] = self.steps(node, agent)
        for _ in self.steps_by_node[node]:
            if node not in self.pause_by_node:
                continue
            steps, seconds = self.pause_by_node.pop(node)
            if steps == 0:
                self.paused_until_s[node] = self.now_s + seconds
                return
            self.pause_by_node[node] = (steps - 1, seconds)
        del self.steps_by_node[node]

    def steps(self, node, agent):
        """Run an agent for a while; each yield is an await."""
        reconciler = agent.reconciler
        self.announce(node)
        yield
        if self.now_s >= self.orders_held_until_s[node]:
            self.follow_orders(node, agent)
        yield
        yield from self.list_runs(node, agent)
        yield
        lease_end_s = self.next_lease_end_s(agent)
        calls = reconciler.due_calls(self.now_s, lease_end_s)
        if reconciler.fence_outdated:
            reconciler.fence_outdated = False
            agent.fence += 1
        for call in calls:
            if isinstance(call, StartCall):
                yield from self.start_run(node, agent, call, agent.fence)
            else:
                yield from self.stop_run(node, agent, call)
            yield
        yield from self.report(node, agent)

    def call(self, node, carry_out):
        """Return the answer to a call, or None if it is carried out late."""
        delay_s = self.call_delay_s_by_node.pop(node, None)
        if delay_s is None:
            return carry_out()
        self.calls_on_the_way.append((self.now_s + delay_s, carry_out))
        return None

    def next_lease_end_s(self, agent):
        contact_age_s = self.now_s - agent.reconciler.session.contact_s
        answer_age_s = self.now_s - agent.answer_s
        extending = (
            contact_age_s < CONTACT_LOST_S
            and answer_age_s < WORKER_TIMEOUT_S
            and agent.reconciler.may_start
            and agent.reconciler.runs_known
        )
        return self.now_s + LEASE_S if extending else None

    def list_runs(self, node, agent):
        reconciler = agent.reconciler
        if reconciler.worker is None:
            return
        incarnation, fence = reconciler.worker.incarnation, agent.fence
        acked = agent.acked_number if reconciler.runs_known else 0
        sent_s, lease_end_s = self.now_s, self.next_lease_end_s(agent)
        if lease_end_s is not None:
            reconciler.record_lease(lease_end_s)
        yield
        call = (node, incarnation, fence, acked, lease_end_s)
        answer = self.call(node, lambda: self.carry_out_listing(*call))
        yield
        if answer is None or fence != agent.fence:
            return
        answered, running, ends = answer
        if answered != reconciler.worker.incarnation:
            reconciler.record_other_incarnation()
            return
        agent.answer_s = self.now_s
        reconciler.record_listing(
            *(sent_s, running, ends),
            ends_complete=True,
            received_s=self.now_s,
        )

    def start_run(self, node, agent, start, fence):
        order = start.order
        yield
        call = (node, order, fence, start.lease_end_s)
        result = self.call(node, lambda: self.carry_out_start(*call))
        yield
        if result is StartResult.FENCED and fence != agent.fence:
            result = StartResult.UNHEALTHY
        result = result or StartResult.UNKNOWN
        agent.reconciler.record_start(order, result, self.now_s)

    def stop_run(self, node, agent, call):
        stop = (node, call.task, call.attempt, agent.fence)
        yield
        answered = self.call(node, lambda: self.carry_out_stop(*stop))
        yield
        agent.reconciler.record_stop(call, bool(answered), self.now_s)

    def report(self, node, agent):
        reconciler = agent.reconciler
        agent.sequence += 1
        sequence, sent_s = agent.sequence, self.now_s
        last_end_number = reconciler.last_end_number
        report = WorkerReport(
            *(node, reconciler.session.registration, sequence),
            reconciler.worker,
            sent_s - agent.answer_s < WORKER_TIMEOUT_S,
            reconciler.running(sent_s),
            reconciler.ended(),
            reconciler.awaited_sequence(sequence, sent_s),
        )
        yield
        if not self.reaches_table(node):
            return
        stored = self.call(node, lambda: self.carry_out_report(report))
        yield
        if not stored:
            return
        reconciler.record_told(report)
        if reconciler.session.record_stored(sequence, sent_s, self.now_s):
            agent.fence += 1
        if reconciler.worker == report.worker:
            agent.acked_number = max(agent.acked_number, last_end_number)

    # Calls that are carried out, perhaps late.

    def accepts(self, node, incarnation, fence):
        worker = self.workers[node]
        instance_id = incarnation.partition("@")[0]
        if worker.instance_id != instance_id or fence < worker.fence:
            return False
        worker.fence = fence
        return True

    def extend(self, worker, incarnation, lease_end_s):
        if lease_end_s is None:
            return
        latest_s = self.now_s + MAX_LEASE_S
        if worker.incarnation != incarnation:
            # Its clock has begun anew, and shows an earlier time.
            lease_end_s = latest_s
        lease_end_s = min(lease_end_s, latest_s)
        worker.lease_end_s = max(worker.lease_end_s, lease_end_s)

    def carry_out_listing(self, node, incarnation, fence, acked, lease_end_s):
        worker = self.workers[node]
        if not self.accepts(node, incarnation, fence):
            return None
        self.extend(worker, incarnation, lease_end_s)
        worker.ends = [end for end in worker.ends if end.number > acked]
        running = [Run(task, attempt) for task, attempt in worker.runs]
        return worker.incarnation, running, list(worker.ends)

    def carry_out_start(self, node, order, fence, lease_end_s):
        worker = self.workers[node]
        if order.incarnation.partition("@")[0] != worker.instance_id:
            return StartResult.OTHER_INCARNATION
        if not self.accepts(node, order.incarnation, fence):
            return StartResult.FENCED
        self.extend(worker, order.incarnation, lease_end_s)
        if order.key in worker.runs:
            return StartResult.STARTED
        if order.attempt <= worker.last_attempt_by_task.get(order.task, 0):
            return StartResult.TOO_OLD
        if worker.lease_end_s <= self.now_s:
            return StartResult.TOO_LATE
        worker.runs[order.key] = (order.needs, self.now_s)
        self.check_start(order)
        return StartResult.STARTED

    def carry_out_stop(self, node, task, attempt, fence):
        self.workers[node].stop(task, attempt, fence, self.now_s)
        return True

    def carry_out_report(self, report):
        """Store a report unless another one was stored meanwhile."""
        known = self.reports.get(report.node)
        if known is not None and (
            known.registration != report.registration
            or known.sequence >= report.sequence
        ):
            return False
        self.store_row(report)
        return True

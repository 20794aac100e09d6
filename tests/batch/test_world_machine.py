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
every job must complete, unless one of its tasks crashes workers and so many
did under it that it may be given up; no job may fail for workers that crash by
themselves.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from filbertlb.batch.crash_evidence import MAX_CRASHES
from filbertlb.batch.model import job_id_of
from filbertlb.batch.model import JobState
from filbertlb.batch.testing import a_step
from filbertlb.batch.testing import CAPACITY
from filbertlb.batch.worker_link import StartResult
from filbertlb.table.mirror import Mirror
from tests.batch.machine_settings import machine_settings
from tests.batch.simulated_system import ENTRIES
from tests.batch.simulated_system import NODES
from tests.batch.simulated_system import SimulatedSystem
from tests.batch.simulated_system import TICK_S

MAX_LONG_JOBS = 3


class World(SimulatedSystem, RuleBasedStateMachine):
    """The system under random faults."""

    @initialize()
    def begin(self):
        for node in NODES:
            self.new_worker(node)
            self.new_agent(node)
        self.new_decider()

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
            self.crashes[task] >= MAX_CRASHES and job_id_of(task) == job_id
            for task in self.crashing_tasks
        ):
            states.add(JobState.FAILED)
        return states


World.TestCase.settings = machine_settings(max_examples=80)
TestWorld = World.TestCase

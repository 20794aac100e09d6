"""Tasks that ran twice beside agents that were paused, cut off or replaced."""

from __future__ import annotations

from itertools import product

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from filbertlb.batch.model import JobState
from filbertlb.batch.testing import a_step
from filbertlb.batch.workers import DEAD_AFTER_S
from tests.batch.lagging_system import LaggingSystem
from tests.batch.machine_settings import machine_settings
from tests.batch.simulated_system import ENTRIES
from tests.batch.simulated_system import NODES
from tests.batch.simulated_system import TICK_S

AWAITS = 12
"""Awaits of an agent in one round with a start and a stop."""
MAX_DELAY_S = 5.0
"""Longest time after which calls are carried out late."""


class LaggingWorld(LaggingSystem, RuleBasedStateMachine):
    """The lagging system under random faults."""

    @initialize()
    def begin(self):
        super().begin()

    @rule(
        count=st.integers(1, 4),
        accelerators=st.sampled_from([1, 8]),
        is_long=st.booleans(),
    )
    def submit(self, count, accelerators, is_long):
        job_id = f"j{len(self.jobs)}"
        if is_long and len(self.long_jobs) < 3:
            self.long_jobs.add(job_id)
        count = min(count, 24 // accelerators)
        self.accept(job_id, a_step(count, needs=(accelerators, 100, 100)))

    @rule(ticks=st.integers(1, 30))
    def advance_time(self, ticks):
        for _ in range(ticks):
            self.tick()

    @rule(node=st.sampled_from(NODES), seconds=st.integers(5, 18))
    def cut_agent_off(self, node, seconds):
        self.cut_off_until_s[node] = self.now_s + seconds

    @rule(
        node=st.sampled_from(NODES),
        steps=st.integers(0, AWAITS),
        seconds=st.integers(1, 18),
    )
    def pause_agent(self, node, steps, seconds):
        self.pause_by_node[node] = (steps, seconds)

    @rule(node=st.sampled_from(NODES), seconds=st.integers(1, 18))
    def hold_orders_back(self, node, seconds):
        self.orders_held_until_s[node] = self.now_s + seconds

    @rule(
        node=st.sampled_from(NODES),
        delay_s=st.floats(TICK_S, MAX_DELAY_S),
    )
    def delay_next_call(self, node, delay_s):
        self.call_delay_s_by_node[node] = delay_s

    @rule(node=st.sampled_from(NODES))
    def restart_agent(self, node):
        if self.reaches_table(node):
            self.new_agent(node)

    @rule(
        node=st.sampled_from(NODES),
        keeps_id=st.booleans(),
        silent_ticks=st.integers(0, 6),
    )
    def crash_worker(self, node, keeps_id, silent_ticks):
        instance_id = None if keeps_id else f"{node}-{self.incarnations}"
        self.new_worker(node, instance_id, silent_ticks * TICK_S)

    @rule(entry=st.integers(0, ENTRIES - 1))
    def replace_decider(self, entry):
        self.entry = entry
        self.new_decider()

    @rule(ticks=st.integers(0, 8))
    def delay_reports(self, ticks):
        self.report_lag_s = ticks * TICK_S

    @rule(ticks=st.integers(0, 8))
    def delay_transactions(self, ticks):
        self.transaction_lag_s = ticks * TICK_S

    def teardown(self):
        if self.planner is None:
            return
        self.report_lag_s = self.transaction_lag_s = 0.0
        for _ in range(800):
            self.tick()
        for job_id in self.jobs:
            progress = self.planner.state.progress[job_id]
            assert progress.state is JobState.COMPLETE, progress


LaggingWorld.TestCase.settings = machine_settings(max_examples=60)
TestLaggingWorld = LaggingWorld.TestCase


def advance(world, seconds):
    for _ in range(round(seconds / TICK_S)):
        world.tick()


def a_world(lag_ticks):
    world = LaggingSystem()
    world.begin()
    advance(world, 1.0)
    world.report_lag_s = world.transaction_lag_s = lag_ticks * TICK_S
    return world


def node_with_a_run(world):
    return next(node for node in NODES if world.workers[node].runs)


@pytest.mark.parametrize("steps", range(AWAITS))
@pytest.mark.parametrize("lag_ticks", [0, 3])
def test_agent_paused_before_a_call_extended_a_run_that_was_given_up(
    steps, lag_ticks
):
    for silent_s, pause_s in product((2.5, 5.0, 7.5), (2.0, 5.0, 8.0, 13.0)):
        world = a_world(lag_ticks)
        world.long_jobs.add("j")
        world.accept("j", a_step(needs=(8, 100, 100)))
        advance(world, 3.0)
        node = node_with_a_run(world)
        world.cut_off_until_s[node] = world.now_s + 20.0
        advance(world, silent_s)
        world.pause_by_node[node] = (steps, pause_s)
        advance(world, 30.0)


@pytest.mark.parametrize("steps", range(AWAITS))
@pytest.mark.parametrize("lag_ticks", [0, 1, 4, 8])
def test_agent_back_in_contact_began_an_order_that_was_given_up(
    steps, lag_ticks
):
    for silent_s, pause_s in product(
        (13.0, 14.0, 14.5, 14.75, 15.0, 15.5, 16.0), (0.0, 0.25, 0.5, 1.0)
    ):
        world = a_world(lag_ticks)
        world.cut_off_until_s[NODES[0]] = world.now_s + silent_s
        world.accept("j", a_step(3, needs=(8, 100, 100)))
        advance(world, silent_s - 0.25)
        world.pause_by_node[NODES[0]] = (steps, pause_s)
        advance(world, 8.0)


@pytest.mark.parametrize("steps", range(4))
@pytest.mark.parametrize("delay_s", [4.5, 5.5, 6.5, 7.5])
@pytest.mark.parametrize("lag_ticks", [0, 3])
def test_call_for_a_crashed_worker_extended_runs_of_the_next_one(
    lag_ticks, delay_s, steps
):
    # Its deadline means nothing to the clock of the next incarnation.
    for pause_s in (4.0, 5.0, 6.0, 7.0):
        world = a_world(lag_ticks)
        node = NODES[0]
        world.call_delay_s_by_node[node] = delay_s
        world.tick()
        world.new_worker(node, world.workers[node].instance_id)
        world.long_jobs.add("j")
        world.accept("j", a_step(3, needs=(8, 100, 100)))
        for _ in range(3 + 2 * lag_ticks):
            # The next one is not heard before the agent is cut off.
            world.call_delay_s_by_node[node] = 2 * MAX_DELAY_S
            world.tick()
        world.cut_off_until_s[node] = world.now_s + 25.0
        world.pause_by_node[node] = (steps, pause_s)
        for _ in range(120):
            world.tick()
            worker, agent = world.workers[node], world.agents[node]
            given_up_s = agent.reconciler.session.contact_s + DEAD_AFTER_S
            assert not worker.runs or worker.lease_end_s <= given_up_s


class LateStarts(LaggingSystem):
    """A worker restarts as it is sent the first start, which comes late.

    Its agent is out of action from then on.
    """

    delay_s = 0.0
    node = None

    def start_run(self, node, agent, start, fence):
        if self.node is None:
            self.node = node
            self.new_worker(node, self.workers[node].instance_id, TICK_S)
            if self.delay_s:
                self.call_delay_s_by_node[node] = self.delay_s
            self.pause_by_node[node] = (1, 18.0)
        yield from super().start_run(node, agent, start, fence)


@pytest.mark.parametrize("contact_age_s", [0.25, 1.5, 3.0])
@pytest.mark.parametrize("delay_s", [0.0, 3.0, 4.0, MAX_DELAY_S])
def test_start_ran_on_the_next_incarnation_after_it_was_given_up(
    delay_s, contact_age_s
):
    # Its deadline, past or not, gives it the longest lease there.
    world = LateStarts()
    world.begin()
    advance(world, 1.0)
    world.delay_s = delay_s
    world.long_jobs.add("j")
    world.accept("j", a_step(needs=(8, 100, 100)))
    world.tick()
    node = next(node for node in NODES if world.orders[node].orders)
    world.pause_by_node[node] = (4, contact_age_s - TICK_S)
    advance(world, 40.0)
    assert world.node == node

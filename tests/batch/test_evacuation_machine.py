"""The world of random faults with failure domains that are evacuated.

A request or its deletion becomes known to the deciders after a delay of up
to a polling period. Each start checks that its domain is not evacuated, or
that the bound has not passed since the request. The time for which the
decider, or the agent's access to its orders, was held up counts on top.
"""

from __future__ import annotations

import attrs
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import rule

from filbertlb.batch.evacuation import Evacuations
from filbertlb.batch.worker_link import StartResult
from tests.batch.machine_settings import machine_settings
from tests.batch.simulated_system import NODES
from tests.batch.simulated_system import TICK_S
from tests.batch.test_world_machine import World

BOUND_S = 5.0
DELAYED_START_S = 2.0
"""Time after which the world carries out a start that got no answer."""
ZONES = ("a", "b")
MAX_DELAY_TICKS = 7
"""A polling period of 0.9 s and a read of 0.8 s."""


class EvacuatedWorld(World):
    """Two entries and three agents in two failure domains."""

    def __init__(self):
        super().__init__()
        self.evacuations = Evacuations()
        self.requested_s_by_zone = {}
        self.news = []
        self.decided_s = self.now_s
        self.followed_s_by_node = {}

    def zone_of(self, node):
        return ZONES[0] if node in NODES[:2] else ZONES[1]

    def announce(self, node):
        super().announce(node)
        reconciler = self.agents[node].reconciler
        if reconciler.worker is not None:
            reconciler.worker = attrs.evolve(
                reconciler.worker, zone=self.zone_of(node)
            )

    def new_decider(self):
        super().new_decider()
        self.planner.evacuations = self.evacuations

    @rule(
        zone=st.sampled_from(ZONES),
        delay_ticks=st.integers(0, MAX_DELAY_TICKS),
        ticks=st.integers(0, 40),
    )
    def evacuate(self, zone, delay_ticks, ticks):
        if zone not in self.requested_s_by_zone:
            self.requested_s_by_zone[zone] = self.now_s
            self.tell(zone, self.now_s + delay_ticks * TICK_S)
            for _ in range(ticks):
                self.tick()

    @rule(
        zone=st.sampled_from(ZONES),
        delay_ticks=st.integers(0, MAX_DELAY_TICKS),
    )
    def delete_request(self, zone, delay_ticks):
        if self.requested_s_by_zone.pop(zone, None) is not None:
            self.tell(zone, self.now_s + delay_ticks * TICK_S)

    def tell(self, zone, at_s):
        self.version += 1
        self.news.append((at_s, zone, self.version))

    def tick(self):
        # The newest state of the row is what is read.
        for at_s, zone, version in list(self.news):
            if at_s > self.now_s + TICK_S:
                continue
            self.news.remove((at_s, zone, version))
            if zone in self.requested_s_by_zone:
                self.evacuations.request(zone, version)
            else:
                self.evacuations.withdraw(zone, self.now_s)
        super().tick()
        if self.now_s >= self.decider_paused_until_s:
            self.decided_s = self.now_s

    def follow_orders(self, node, agent):
        if self.reaches_table(node):
            self.followed_s_by_node[node] = self.now_s
        super().follow_orders(node, agent)

    def send_start(self, node, order, fence, allowed):
        result = super().send_start(node, order, fence, allowed)
        requested_s = self.requested_s_by_zone.get(self.zone_of(node))
        if result is StartResult.STARTED and requested_s is not None:
            followed_s = self.followed_s_by_node.get(node, self.now_s)
            held_up_s = max(
                self.now_s - self.decided_s, self.now_s - followed_s
            )
            late_s = self.now_s - requested_s - held_up_s
            assert late_s <= BOUND_S, (order, late_s)
        return result

    def teardown(self):
        for zone in list(self.requested_s_by_zone):
            self.delete_request(zone, 0)
        super().teardown()


EvacuatedWorld.TestCase.settings = machine_settings(max_examples=60)
TestEvacuatedWorld = EvacuatedWorld.TestCase


def stays(world):
    """No disruption."""


def agent_is_cut_off(world):
    world.cut_agent_off(NODES[0], 7)


def agent_is_paused(world):
    world.silence_agent(NODES[0], 7)


def start_gets_no_answer(world):
    world.fail_next_start(StartResult.UNKNOWN)


def worker_is_busy(world):
    world.fail_next_start(StartResult.UNHEALTHY)


def decider_dies(world):
    world.die_while_writing(1)


def decider_changes(world):
    world.replace_decider(1)


@pytest.mark.parametrize("delay_ticks", [0, 3, MAX_DELAY_TICKS])
@pytest.mark.parametrize(
    "disruption",
    [
        stays,
        agent_is_cut_off,
        agent_is_paused,
        start_gets_no_answer,
        worker_is_busy,
        decider_dies,
        decider_changes,
    ],
)
def test_order_of_just_before_a_request_starts_in_time_or_not_at_all(
    disruption, delay_ticks
):
    # An agent that comes back carried out an order of long before.
    world = EvacuatedWorld()
    world.begin()
    world.tick()
    for _ in range(3):
        world.submit(3, 8, False, False, 1, False)
    disruption(world)
    world.tick()
    for zone in ZONES:
        world.evacuate(zone, delay_ticks, 0)
    for _ in range(60):
        world.tick()
    assert not any(worker.runs for worker in world.workers.values())
    world.teardown()

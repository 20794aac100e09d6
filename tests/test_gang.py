from __future__ import annotations

from filbertlb.core.model import JobState
from filbertlb.messages import TaskPhase
from tests.gang_world import World


def world_of(agents, *jobs):
    world = World()
    world.add_agents(agents)
    for job_id, members, each in jobs:
        world.add_job(job_id, members, each)
    return world


def test_gang_runs_to_its_end():
    world = world_of(3, ("j1", 3, 8))
    decider = world.take_over("s")
    world.begin(decider, "j1")
    world.flush()
    assert world.record("j1").state is JobState.RUNNING
    for agent in world.agents.values():
        for key in agent.running:
            world.end(agent, key, TaskPhase.SUCCEEDED)
    world.flush()
    assert world.record("j1").state is JobState.SUCCEEDED
    assert not any(agent.book.statuses() for agent in world.agents.values())
    assert world.problems == []

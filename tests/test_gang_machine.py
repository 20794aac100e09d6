"""Faults in any order must not break the guarantees of a gang start.

No gang runs in part, no member starts twice, and no job reports a
result or a state ``ran`` that its members contradict.
"""

from __future__ import annotations

from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from filbertlb.core.model import JobState
from filbertlb.errors import Ran
from filbertlb.messages import TaskPhase
from tests.gang_simulation import GangSimulation

INDEX = st.integers(min_value=0, max_value=63)


class GangMachine(RuleBasedStateMachine):
    """One scope, or two that compete, with crashes and lost messages."""

    @initialize(
        agents=st.integers(2, 4),
        each=st.sampled_from([3, 4, 8]),
        scopes=st.integers(1, 2),
        idempotent=st.sampled_from([True, True, False]),
    )
    def set_up(self, agents, each, scopes, idempotent):
        self.world = GangSimulation()
        self.world.add_agents(agents)
        self.scope_by_job_id = {}
        for number in range(3):
            job_id = f"j{number}"
            members = agents if each == 8 else agents + number
            self.world.add_job(job_id, members, each, idempotent=idempotent)
            self.scope_by_job_id[job_id] = f"s{number % scopes}"
        for scope in dict.fromkeys(self.scope_by_job_id.values()):
            self.world.take_over(scope)

    def agent(self, index):
        agents = list(self.world.agents.values())
        return agents[index % len(agents)]

    def job_id(self, index):
        return list(self.scope_by_job_id)[index % 3]

    @rule(index=INDEX, which=INDEX, count=st.integers(0, 50))
    def begin(self, index, which, count):
        job_id = self.job_id(index)
        scope = self.scope_by_job_id[job_id]
        deciders = [
            decider
            for decider in self.world.deciders
            if decider.is_alive and decider.scope == scope
        ]
        if not deciders:
            return
        decider = deciders[which % len(deciders)]
        if job_id in decider.gang_by_job_id:
            return
        if self.world.record(job_id).state is JobState.QUEUED:
            self.world.begin(decider, job_id)
            self.deliver_many(count)

    @precondition(lambda self: self.world.in_flight)
    @rule(
        index=INDEX, fault=st.sampled_from(["", "no_reply", "no_ack", "down"])
    )
    def deliver_one(self, index, fault):
        self.world.deliver(index % len(self.world.in_flight), fault=fault)

    @precondition(lambda self: self.world.in_flight)
    @rule(index=INDEX)
    def deliver_twice(self, index):
        index %= len(self.world.in_flight)
        # The result of a write is delivered to a decider only once.
        if self.world.in_flight[index][0] not in {"write", "row"}:
            self.world.deliver(index, repeat=True)

    @precondition(lambda self: self.world.in_flight)
    @rule(index=INDEX)
    def lose(self, index):
        index %= len(self.world.in_flight)
        if self.world.in_flight[index][0] not in {"write", "row"}:
            del self.world.in_flight[index]

    @precondition(lambda self: self.world.sent)
    @rule(index=INDEX, count=st.integers(1, 30))
    def replay(self, index, count):
        """Deliver commands again that were sent at any time before."""
        begin = index % len(self.world.sent)
        self.world.in_flight[:0] = self.world.sent[begin : begin + count]
        self.deliver_many(count)

    @rule(count=st.integers(1, 50))
    def deliver_many(self, count):
        for _ in range(count):
            if self.world.in_flight:
                self.world.deliver(0)

    @rule()
    def deliver_all(self):
        self.world.deliver_all()

    @rule(seconds=st.sampled_from([0.3, 2.0, 4.0, 12.0, 40.0]))
    def advance(self, seconds):
        self.world.advance(seconds)

    @rule(index=INDEX)
    def announce(self, index):
        self.world.announce(self.agent(index))

    @rule(index=INDEX, survive=st.booleans())
    def restart(self, index, survive):
        self.world.restart(self.agent(index), survive=survive)

    @rule(index=INDEX)
    def lose_endpoint(self, index):
        """Report an endpoint as lost while its worker continues to run."""
        name = self.agent(index).endpoint_id
        for decider in self.world.deciders:
            for gang in list(decider.gang_by_job_id.values()):
                if decider.is_alive:
                    effects = gang.lost(name, self.world.now_s)
                    self.world.perform(decider, gang, effects)

    @rule(
        index=INDEX, kill=st.booleans(), unannounced=st.sets(INDEX, max_size=1)
    )
    def take_over(self, index, kill, unannounced):
        scope = self.scope_by_job_id[self.job_id(index)]
        for decider in self.world.deciders:
            if kill and decider.scope == scope:
                decider.is_alive = False
        names = {self.agent(index).endpoint_id for index in unannounced}
        self.world.take_over(scope, names)

    @rule(index=INDEX)
    def cancel(self, index):
        self.world.cancel(self.job_id(index))

    @rule(index=INDEX, checkpoint=st.booleans())
    def reclaim(self, index, checkpoint):
        job_id = self.job_id(index)
        now_s = self.world.now_s
        for decider in self.world.deciders:
            gang = decider.gang_by_job_id.get(job_id)
            if decider.is_alive and gang is not None:
                stop = gang.stop(now_s, checkpoint=checkpoint, within_s=3.0)
                self.world.perform(decider, gang, stop)

    @rule(
        index=INDEX,
        phase=st.sampled_from([TaskPhase.SUCCEEDED, TaskPhase.FAILED]),
    )
    def end(self, index, phase):
        agent = self.agent(index)
        if agent.running:
            key = agent.running[index % len(agent.running)]
            self.world.end(agent, key, phase)

    @rule(index=INDEX)
    def finish_now(self, index):
        self.finish()

    @invariant()
    def check(self):
        assert self.world.problems == []

    def finish(self):
        """Without further faults every gang must run in full or not at all."""
        if not hasattr(self, "world"):
            return
        for decider in self.world.deciders:
            newest = max(
                other.epoch
                for other in self.world.deciders
                if other.scope == decider.scope
            )
            if decider.epoch < newest:
                decider.is_alive = False
        self.world.finish()
        self.check()
        for job_id in self.scope_by_job_id:
            self.check_job(job_id)

    def check_job(self, job_id):
        record = self.world.record(job_id)
        stable_states = {JobState.QUEUED, JobState.RUNNING, JobState.UNKNOWN}
        assert record.is_final or record.state in stable_states
        started = [k for k in self.world.started_keys if job_id in k[0]]
        if record.ran is Ran.NO:
            assert started == []
        if record.state is JobState.SUCCEEDED:
            succeeded_attempts = [
                attempt_id
                for attempt_id, members in self.world.attempts.items()
                if sum(k[0] == attempt_id for k in self.world.succeeded)
                == members
            ]
            assert any(
                job_id in attempt_id for attempt_id in succeeded_attempts
            )
        if not record.spec.idempotent:
            assert len({member for _, member in started}) == len(started)
        for attempt_id, members in self.world.attempts.items():
            running = self.world.running(attempt_id)
            if job_id not in attempt_id or not running:
                continue
            ended = [k for k in self.world.succeeded if k[0] == attempt_id]
            assert record.has_attempt(attempt_id)
            assert record.state is JobState.RUNNING
            assert len(running) + len(ended) == members

    def teardown(self):
        self.finish()


GangMachine.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestGangMachine = GangMachine.TestCase

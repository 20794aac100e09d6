from __future__ import annotations

from random import Random

import pytest
from attrs import define
from attrs import field
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from filbertlb.core.announcing import announce_period_s
from filbertlb.core.announcing import Announcer
from filbertlb.core.announcing import MEMBERSHIP_SHARE
from filbertlb.core.members import ChangeKind
from filbertlb.core.members import MemberMessage
from filbertlb.core.members import MemberState
from filbertlb.core.members import MemberTable
from filbertlb.core.membership import BEATS_PER_ANSWER
from filbertlb.core.membership import EndpointTable
from filbertlb.core.membership_times import MembershipTimes
from filbertlb.core.membership_times import MembershipTimesError
from filbertlb.messages import Announce
from filbertlb.messages import Beat
from filbertlb.messages import Role

TIMES = MembershipTimes()
STEP_S = 0.1
DRAIN_KNOWN_WITHIN_S = 3.0
SETTLE_S = 5.0
DEAD_KNOWN_WITHIN_S = TIMES.missed_dead * TIMES.period_s + 2 * STEP_S
SILENT = (MemberState.SUSPECT, MemberState.DEAD)


def announce(name, incarnation="1", sequence=1, draining=False, domain="a"):
    return Announce(
        endpoint_id=name,
        incarnation=incarnation,
        role=Role.WORKER,
        address="127.0.0.1:1",
        region="main",
        failure_domain=domain,
        rack="r",
        sequence=sequence,
        draining=draining,
    )


@define
class Agent:
    """Endpoint that announces itself over a lossy link."""

    name: str
    announcer: Announcer
    incarnation: int = 1
    paused: bool = False
    cut: bool = False
    drained_at_s: float | None = None
    silence_s: float = 0.0
    newest_sequence: int = 0
    former_incarnations: set = field(factory=set)
    losses: list = field(factory=lambda: [False])
    sent: int = 0

    def message(self, target):
        if not target.full:
            return Beat(
                self.name,
                str(self.incarnation),
                target.sequence,
                target.full_sequence,
            )
        draining = self.announcer.draining
        return announce(
            self.name, str(self.incarnation), target.sequence, draining
        )

    def loses_next(self):
        self.sent += 1
        return self.cut or self.losses[self.sent % len(self.losses)]


AGENTS = st.integers(0, 2)
LOSSES = st.integers(0, 6).map(lambda lost: [False] + [True] * lost)


class MembershipMachine(RuleBasedStateMachine):
    """Endpoints announce to one entry over links that drop and delay.

    ``silence_s`` of an endpoint is the time since the entry last heard it,
    without pauses of the entry. It is computed independently of the code
    under test.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 100.0
        self.rng = Random(1)
        self.table = EndpointTable(TIMES)
        self.delayed = []
        self.agents = [self.start(f"w{index}") for index in range(3)]
        self.drained = set()

    def start(self, name, incarnation=1):
        announcer = Announcer(TIMES, self.rng)
        announcer.set_entries(["entry"], self.now_s)
        return Agent(name, announcer, incarnation)

    def deliver(self, agent, message):
        before = self.table.announce_by_id.get(agent.name)
        self.deliver_one(agent, message)
        after = self.table.announce_by_id.get(agent.name)
        if before is None or after is None:
            return
        if before.incarnation == after.incarnation:
            assert after.sequence >= before.sequence
        elif after.incarnation != str(agent.incarnation):
            # The table may hold another incarnation only if the entry
            # never heard it before the current one.
            assert after.incarnation not in agent.former_incarnations

    def deliver_one(self, agent, message):
        if isinstance(message, Beat):
            heard = self.table.beat(message, TIMES.period_s, self.now_s)
        else:
            heard = self.table.announced(message, TIMES.period_s, self.now_s)
        own = message.incarnation == str(agent.incarnation)
        if heard.accepted and own:
            assert message.sequence > agent.newest_sequence
            agent.newest_sequence = message.sequence
            agent.silence_s = 0.0
        if heard.answer and own and not agent.loses_next():
            agent.announcer.handle_ack(
                "entry",
                message.sequence,
                TIMES.period_s,
                heard.wants_full,
                self.now_s,
            )

    def step(self):
        self.now_s += STEP_S
        for agent in self.agents:
            agent.silence_s += STEP_S
            if agent.paused:
                continue
            for target in agent.announcer.due(self.now_s):
                message = agent.message(target)
                if agent.loses_next():
                    self.delayed.append((agent.name, message))
                else:
                    self.deliver(agent, message)
        self.table.tick(self.now_s)
        for agent in self.agents:
            self.check(agent)

    def check(self, agent):
        known = self.table.announce_by_id.get(agent.name)
        if known is None or known.incarnation != str(agent.incarnation):
            return
        state = self.table.state(agent.name)
        if agent.silence_s < TIMES.missed_suspect * TIMES.period_s - STEP_S:
            assert state not in SILENT
        if agent.silence_s > DEAD_KNOWN_WITHIN_S:
            assert state in (MemberState.DEAD, MemberState.LEFT)
        if (agent.name, known.incarnation) in self.drained:
            assert state in (MemberState.DRAINING, MemberState.LEFT)
        if state is MemberState.DRAINING:
            self.drained.add((agent.name, known.incarnation))
        since_s = agent.drained_at_s
        if since_s is not None and self.now_s - since_s > DRAIN_KNOWN_WITHIN_S:
            assert state in (MemberState.DRAINING, MemberState.LEFT)

    @rule(seconds=st.sampled_from([0.3, 1.0, 3.5, 8.0]))
    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.step()

    @rule()
    def settle(self):
        for agent in self.agents:
            agent.losses = [False]
        self.run(SETTLE_S)
        for agent in self.agents:
            known = self.table.announce_by_id[agent.name]
            assert known.incarnation == str(agent.incarnation)
            draining = agent.announcer.draining
            state = MemberState.DRAINING if draining else MemberState.ALIVE
            assert self.table.state(agent.name) is state

    @rule(index=AGENTS, losses=LOSSES)
    def lose(self, index, losses):
        self.agents[index].losses = losses

    @rule(index=AGENTS, seconds=st.sampled_from([1.0, 4.0, 9.0]))
    def pause(self, index, seconds):
        """Pause a process, which continues later with its old state."""
        agent = self.agents[index]
        agent.paused, agent.drained_at_s = True, None
        self.run(seconds)
        agent.paused = False

    @rule(index=AGENTS, seconds=st.sampled_from([1.0, 4.0, 9.0]))
    def cut(self, index, seconds):
        agent = self.agents[index]
        agent.cut, agent.drained_at_s = True, None
        self.run(seconds)
        agent.cut = False

    @rule(index=AGENTS, losses=LOSSES)
    def drain(self, index, losses):
        """Drain while an answer to an earlier message is in flight."""
        agent = self.agents[index]
        agent.losses, agent.sent = losses, 0
        earlier = agent.announcer.sequence
        agent.announcer.drain(self.now_s)
        agent.drained_at_s = self.now_s
        agent.announcer.handle_ack(
            "entry", earlier, TIMES.period_s, False, self.now_s
        )
        self.run(DRAIN_KNOWN_WITHIN_S + STEP_S)

    @rule(index=AGENTS)
    def restart(self, index):
        """Restart a process whose last messages are still in flight."""
        old = self.agents[index]
        new = self.start(old.name, old.incarnation + 1)
        new.silence_s = STEP_S
        if old.newest_sequence:
            new.former_incarnations = old.former_incarnations | {
                str(old.incarnation)
            }
        self.agents[index] = new
        self.run(2 * TIMES.period_s)
        for sequence in (1, 2):
            sequence += old.announcer.sequence
            late = announce(old.name, str(old.incarnation), sequence)
            self.deliver(new, late)

    @rule(data=st.data())
    def deliver_late(self, data):
        """Deliver a delayed message twice."""
        if self.delayed:
            name, message = data.draw(st.sampled_from(self.delayed))
            agent = self.agents[int(name[1:])]
            self.deliver(agent, message)
            self.deliver(agent, message)
            self.check(agent)

    @rule(seconds=st.sampled_from([2.0, 30.0]))
    def pause_entry(self, seconds):
        """Pause the entry, which must not count as endpoint silence."""
        self.now_s += seconds
        for agent in self.agents:
            agent.drained_at_s = None
        self.step()

    @rule()
    def restart_entry(self):
        self.table = EndpointTable(TIMES)
        self.drained.clear()
        for agent in self.agents:
            agent.drained_at_s = None
            agent.silence_s = STEP_S
            agent.newest_sequence = 0
            agent.former_incarnations = set()


TestMembership = MembershipMachine.TestCase
TestMembership.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=40,
    stateful_step_count=25,
)


def kinds(changes):
    return [change.kind for change in changes]


def test_dead_member_resumes_when_heard_again():
    table = EndpointTable(TIMES)
    table.announced(announce("w0"), 1.0, 0.0)
    seen = []
    for tick in range(1, 70):
        seen += kinds(table.tick(tick * STEP_S))
    assert seen == [ChangeKind.SUSPECT, ChangeKind.DEAD]
    assert table.unreachable_domains() == {"a"}
    resumed = table.announced(announce("w0", sequence=2), 1.0, 7.0)
    assert kinds(resumed.changes) == [ChangeKind.RESUMED]


def test_other_incarnation_is_accepted_from_second_message():
    table = EndpointTable(TIMES)
    steps = [
        ("a", 5, True),
        ("b", 3, False),
        ("b", 3, False),
        ("a", 6, True),
        ("b", 4, False),
        ("b", 5, True),
        ("a", 7, False),
    ]
    for incarnation, sequence, accepted in steps:
        heard = table.announced(announce("w0", incarnation, sequence), 1.0, 0)
        assert heard.accepted is accepted
    for tick in range(1, 28):
        table.tick(tick * STEP_S)
    replaced = table.announced(announce("w0", "a", 8), 1.0, 2.8)
    assert kinds(replaced.changes) == [ChangeKind.REPLACED]


def test_dead_endpoint_is_forgotten():
    table = EndpointTable(TIMES)
    table.announced(announce("w0"), 1.0, 0.0)
    seen = []
    for tick in range(1, int(TIMES.forget_s) + 1):
        seen += kinds(table.tick(float(tick)))
    assert seen[-1] is ChangeKind.FORGOTTEN
    assert table.announce_by_id == {}


def test_longer_previous_period_still_applies():
    table = EndpointTable(TIMES)
    table.announced(announce("w0"), 5.0, 0.0)
    table.announced(announce("w0", sequence=2), 1.0, 4.9)
    for tick in range(1, 125):
        table.tick(4.9 + tick * STEP_S)
    assert table.state("w0") is MemberState.ALIVE


def test_beats_are_answered_periodically_and_on_updates():
    table = EndpointTable(TIMES)
    assert table.beat(Beat("w0", "1", 1, 0), 1.0, 0.0).wants_full
    table.announced(announce("w0"), 1.0, 0.0)
    answered = []
    for sequence in range(2, 2 + 2 * BEATS_PER_ANSWER):
        heard = table.beat(Beat("w0", "1", sequence, 1), 1.0, 0.1)
        answered.append(heard.answer)
    assert answered == ([False] * (BEATS_PER_ANSWER - 1) + [True]) * 2
    assert table.beat(Beat("w0", "1", 90, 1), 2.0, 0.1).answer
    assert table.beat(Beat("w0", "1", 91, 1), 2.0, 0.1, True).answer
    assert table.beat(Beat("w0", "1", 92, 99), 2.0, 0.1).wants_full


def test_shorter_period_applies_to_next_announcement():
    announcer = Announcer(TIMES, Random(1))
    announcer.set_entries(["entry"], 0.0)
    (target,) = announcer.due(TIMES.period_s)
    announcer.handle_ack("entry", target.sequence, 5.0, False, 1.0)
    (beat,) = announcer.due(2.0)
    assert announcer.next_due_s() > 2.0 + TIMES.period_s
    announcer.handle_ack("entry", beat.sequence, 1.0, False, 2.0)
    assert announcer.next_due_s() <= 2.0 + TIMES.period_s
    assert (target.full, beat.full) == (True, False)
    announcer.announce_change(3.0)
    (changed,) = announcer.due(announcer.next_due_s())
    assert changed.full


@pytest.mark.parametrize("members", [0, 10, 52, 100, 200])
def test_period_stays_within_bandwidth_budget(members):
    period_s = announce_period_s(members, 150.0, 9000.0, TIMES)
    assert TIMES.period_s <= period_s <= TIMES.max_period_s
    assert members * 150.0 / period_s <= 9000.0 * MEMBERSHIP_SHARE + 1e-6


@pytest.mark.parametrize(
    "change",
    [{"max_period_s": 0.5}, {"missed_dead": 2.0}, {"jitter": 1.0}],
)
def test_contradictory_times_are_rejected(change):
    with pytest.raises(MembershipTimesError, match=repr(min(change.values()))):
        MembershipTimes(**change)


@pytest.mark.parametrize("tick_s", [0.25, 0.9, 1.1, 2.0])
def test_member_is_found_dead_by_an_entry_whose_ticks_are_late(tick_s):
    # Each late tick counted as a pause, so no member was ever silent.
    table = MemberTable(MembershipTimes())
    table.record_message(MemberMessage("e0", "i0", 1), 1.0, 0.0)
    now_s, kinds = 0.0, set()
    while now_s < 120.0:
        now_s += tick_s
        kinds |= {change.kind for change in table.tick(now_s)}
    assert ChangeKind.DEAD in kinds


@pytest.mark.parametrize("tick_s", [1.1, 2.0])
def test_member_that_joins_between_late_ticks_is_found_dead(tick_s):
    # The first tick of a table counts whole; this member is not there yet.
    table = MemberTable(MembershipTimes())
    table.tick(0.0)
    table.record_message(MemberMessage("e0", "i0", 1), 1.0, 0.0)
    changes = []
    for number in range(1, int(120.0 / tick_s)):
        changes += table.tick(number * tick_s)
    assert ChangeKind.DEAD in kinds(changes)


@pytest.mark.parametrize("tick_s", [1.1, 2.0, 30.0])
@pytest.mark.parametrize("ticks_per_message", [1, 10])
def test_member_that_is_heard_between_late_ticks_is_never_silent(
    tick_s, ticks_per_message
):
    # The moment that a late tick counts for must not add up.
    table = MemberTable(MembershipTimes())
    now_s, changes = 0.0, []
    for number in range(1, 200):
        now_s += tick_s
        if number % ticks_per_message == 1 % ticks_per_message:
            message = MemberMessage("e0", "i0", number)
            changes += table.record_message(message, 1.0, now_s - 0.05)
        changes += table.tick(now_s)
    assert kinds(changes) == [ChangeKind.JOINED]


def test_pause_before_the_first_tick_is_no_silence_of_members():
    # An entry that had just started found all members dead after a pause.
    table = MemberTable(MembershipTimes())
    table.record_message(MemberMessage("e0", "i0", 1), 1.0, 0.0)
    assert table.tick(30.0) == []

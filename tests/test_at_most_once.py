from __future__ import annotations

from random import Random

import attrs
import pytest
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import run_state_machine_as_test

from filbertlb.agent.slots import SlotBook
from filbertlb.core import attempt_session
from filbertlb.core.attempt_effects import Ask
from filbertlb.core.attempt_effects import TellUnknown
from filbertlb.core.attempt_session import AttemptSession
from filbertlb.core.attempt_session import Purpose
from filbertlb.core.attempt_steps import TellNotRun
from filbertlb.errors import Ran
from filbertlb.messages import Refused
from filbertlb.messages import Tombstoned
from tests.attempt_world import Packet
from tests.attempt_world import Run
from tests.attempt_world import World

SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=25,
    suppress_health_check=list(HealthCheck),
    print_blob=False,
    report_multiple_bugs=False,
)
SEEDS = st.integers(0, 1_000_000)
AGENTS = ("r1", "r2")
ENTRIES = ("e1", "e2")
PURPOSES = (Purpose.ASK, Purpose.ASK, Purpose.ASK, Purpose.CANCEL)
KEYS = ("a", "b", "c")
FAULTS = (
    "drop",
    "restart",
    "drain",
    "kill_entry",
    "pass_time",
    "trouble_table",
    "end_outage",
)
MOVES = (
    *("_step",) * 5,
    *("_deliver",) * 3,
    *("_end",) * 2,
    "_cross",
    "_time_out",
    "_cannot_connect",
    "_lose_ack",
    "drain",
)
OLD_INCARNATION_SHARE = 0.1
WALKS = 2000
WALK_STEPS = 25
DUPLICATE_SHARE = 0.4
OUTAGE_SHARE = 0.4


class AtMostOnce(RuleBasedStateMachine):
    """Checks that no key starts twice and every reported outcome is true.

    Rules send, query and cancel keys and inject faults of agents,
    entries, network and table service.
    """

    session_type = AttemptSession
    book_type = SlotBook
    max_records = 3

    def __init__(self):
        super().__init__()
        self.world = World(self.session_type, self.book_type, self.max_records)
        # An agent that keeps a single record may discard answers.
        self.may_lose_answers = self.max_records == 1

    @rule(
        key=st.sampled_from(KEYS),
        entry=st.sampled_from(ENTRIES),
        other_body=st.integers(0, 5),
    )
    def send(self, key, entry, other_body):
        body = f"{key}:{other_body // 5}".encode()
        self.world.send(key, body, entry)
        if other_body < 2:
            self.world.send(key, body, "e2")

    @rule(
        key=st.sampled_from(KEYS),
        entry=st.sampled_from(ENTRIES),
        purpose=st.sampled_from(PURPOSES),
    )
    def ask_or_cancel(self, key, entry, purpose):
        self.world.send(key, b"", entry, purpose=purpose)

    @precondition(lambda self: self._runs_told(TellNotRun))
    @rule(pick=st.integers(0, 30), entry=st.sampled_from(ENTRIES))
    def send_again(self, pick, entry):
        run = _pick(self._runs_told(TellNotRun), pick)
        if run.body:
            generation = run.telling.generation
            self.world.send(run.key, run.body, entry, retry_of=generation)

    @rule(rng=SEEDS.map(Random), moves=st.integers(1, 40))
    def go_on(self, rng, moves):
        """Execute random moves, including duplicate delivery and timeouts."""
        for _ in range(moves):
            getattr(self, rng.choice(MOVES))(rng)

    @rule(rng=SEEDS.map(Random), fault=st.sampled_from(FAULTS))
    def fault(self, rng, fault):
        getattr(self, fault)(rng)

    def _step(self, rng):
        if busy := self._busy():
            old = rng.random() < OLD_INCARNATION_SHARE
            agent = rng.choice(AGENTS)
            self.world.step(rng.choice(busy), agent, -2 if old else -1)

    def _deliver(self, rng):
        if self.world.packets:
            packet = rng.choice(self.world.packets)
            if rng.random() > DUPLICATE_SHARE:
                self.world.packets.remove(packet)
            self.world.deliver(packet)

    def _cross(self, rng):
        replies = [one for one in self.world.packets if one.agent_id is None]
        if replies and (waiting := self._waiting()):
            crossed = rng.choice(replies)
            run = rng.choice(waiting)
            self.world.deliver(attrs.evolve(crossed, run=run))

    def _time_out(self, rng):
        if waiting := self._waiting():
            run = rng.choice(waiting)
            self.world.set_effect(run, run.session.on_no_reply(sent=True))

    def _cannot_connect(self, rng):
        undelivered = [
            one for one in self.world.packets if self._is_undelivered(one)
        ]
        if undelivered:
            packet = rng.choice(undelivered)
            self.world.packets.remove(packet)
            lost = packet.run.session.on_no_reply(sent=False)
            self.world.set_effect(packet.run, lost)

    def _is_undelivered(self, packet):
        effect = packet.run.effect
        return (
            isinstance(effect, Ask)
            and effect.message is packet.message
            and packet.run in self.world.runs
            and packet not in self.world.delivered
        )

    def _end(self, rng):
        ran = rng.choice([Ran.YES, Ran.YES, Ran.YES, *Ran])
        self.may_lose_answers |= ran is Ran.UNKNOWN
        self.world.end(self.world.agents[rng.choice(AGENTS)], ran)

    def _lose_ack(self, rng):
        self.world.table.faults.lose_acks = 1

    def drop(self, rng):
        if self.world.packets:
            self.world.packets.remove(rng.choice(self.world.packets))

    def restart(self, rng):
        self.may_lose_answers = True
        self.world.restart(rng.choice(AGENTS))

    def drain(self, rng):
        """Drain an agent briefly; later requests find it available."""
        agent = self.world.agents[rng.choice(AGENTS)]
        self.world.act(agent, agent.book.drain())
        agent.book.draining = False

    def kill_entry(self, rng):
        entry = rng.choice(ENTRIES)
        kept = [run for run in self.world.runs if run.entry != entry]
        self.world.runs = kept

    def pass_time(self, rng):
        self.world.now_s += rng.choice([4.0, 11.0])

    def trouble_table(self, rng):
        self.world.table.faults.down = rng.random() < OUTAGE_SHARE
        self.world.table.faults.lose_acks = rng.choice([0, 1, 2])

    def end_outage(self, rng):
        self.world.table.faults.down = False

    def teardown(self):
        """Check that every outcome is resolved once the faults are over.

        Every delivered packet is delivered once more, and packets still
        in transit are delivered after the last answers.
        """
        world = self.world
        world.table.faults.down = False
        world.table.faults.lose_acks = 0
        world.now_s += 100.0
        for agent in world.agents.values():
            world.act(agent, agent.book.expire(world.now_s))
        late = list(world.packets)
        world.packets.clear()
        self._replay(list(world.delivered))
        for key in KEYS:
            # A key without a row is cancelled, which must resolve it too.
            has_row = key in world.attempts_by_key
            purpose = Purpose.ASK if has_row else Purpose.CANCEL
            run = world.send(key, b"", "e3", purpose=purpose)
            self._finish(run)
            unknown = isinstance(run.telling, TellUnknown)
            assert not unknown or self.may_lose_answers, run.telling
        self._replay([*late, *world.delivered])

    def _replay(self, packets: list[Packet]) -> None:
        for packet in packets:
            self.world.deliver(packet)
            for agent in self.world.agents.values():
                while agent.running:
                    self.world.end(agent, Ran.YES)
        self.world.packets.clear()

    def _finish(self, run: Run) -> None:
        for _ in range(50):
            self.world.step(run, "r1")
            for packet in list(self.world.packets):
                self.world.packets.remove(packet)
                self.world.deliver(packet)
            if run.telling is not None:
                return
        raise AssertionError(f"session did not finish: {run.effect!r}")

    def _runs_told(self, kind):
        runs = self.world.runs
        return [run for run in runs if isinstance(run.telling, kind)]

    def _busy(self):
        return [
            run
            for run in self.world.runs
            if run.telling is None and not isinstance(run.effect, Ask)
        ]

    def _waiting(self):
        runs = self.world.runs
        return [run for run in runs if isinstance(run.effect, Ask)]


def _pick(items, number):
    return items[number % len(items)]


class AcceptsAnyIncarnation(SlotBook):
    """Starts requests whose token names an earlier incarnation."""

    def offer(self, invoke, now_s):
        self.incarnation = invoke.token.incarnation
        return super().offer(invoke, now_s)


class ForgetsRefusals(SlotBook):
    """Starts a late duplicate of a refused request."""

    def _refuse(self, token, code, message):
        reply = super()._refuse(token, code, message)
        self._ended.record_by_token.pop(token, None)
        return reply


class ForgetsSerialFloors(SlotBook):
    """Does not refuse serials at or below those of discarded tokens."""

    def _known_token_action(self, token):
        self._ended.floor_by_scope.clear()
        return super()._known_token_action(token)


class TombstonesOnlyKnown(SlotBook):
    """Reports unknown tokens as not run, but lets them start later."""

    def tombstone(self, token):
        if token in self._live_by_token or self._known_token_action(token):
            return super().tombstone(token)
        return Tombstoned(token, Ran.NO), []


class TreatsNoReplyAsNotRun(AttemptSession):
    """Treats a missing reply as proof that the dispatch did not run."""

    def on_no_reply(self, sent):
        token = self._row.token
        return self._record_not_run(Refused("silence", "", Ran.NO, token))


class JoinsWithoutWrite(AttemptSession):
    """Joins a dispatch without writing the row first.

    The entry that wrote the token can then still record that the token
    was never sent.
    """

    def _write_join(self, may_start):
        self._last_write = attempt_session.WriteRow(
            self.key, self._row, self._version
        )
        self._unsent_token = None
        return self._on_dispatch_written(self._row, 0.0)


class RewritesUnconditionally(AttemptSession):
    """Repeats a write unconditionally after its acknowledgement was lost."""

    def on_write_unknown(self):
        self._last_write = attrs.evolve(
            self._last_write, expected_version=None
        )
        return self._last_write


class AcceptsAnyReply(AttemptSession):
    """Accepts replies to other tokens as replies to its own."""

    def on_reply(self, reply):
        token = self._row.token
        return super().on_reply(attrs.evolve(reply, token=token))


class ReportsNotRunInOutage(AttemptSession):
    """Reports not run while the table service is down."""

    def on_table_unavailable(self):
        told = TellNotRun("not_accepted", "", 1)
        return attempt_session.Finish(told)


class AtMostOnceWithFewRecords(AtMostOnce):
    """The same checks with agents that keep a single record."""

    max_records = 1


@pytest.mark.parametrize("machine", [AtMostOnce, AtMostOnceWithFewRecords])
def test_runs_at_most_once_and_outcomes_are_true(machine):
    run_state_machine_as_test(machine, settings=SETTINGS)


@pytest.mark.parametrize(
    "broken",
    [
        AcceptsAnyIncarnation,
        ForgetsRefusals,
        ForgetsSerialFloors,
        TombstonesOnlyKnown,
        TreatsNoReplyAsNotRun,
        JoinsWithoutWrite,
        RewritesUnconditionally,
        AcceptsAnyReply,
        ReportsNotRunInOutage,
    ],
)
def test_machine_detects_broken_variant(broken):
    class Broken(
        AtMostOnceWithFewRecords
        if broken is ForgetsSerialFloors
        else AtMostOnce
    ):
        pass

    if issubclass(broken, SlotBook):
        Broken.book_type = broken
    else:
        Broken.session_type = broken
    with pytest.raises(AssertionError):
        for seed in range(WALKS):
            _walk(Broken(), Random(seed))


def test_random_walks_accept_shipped_code():
    """Random walks find no fault in the shipped code.

    They must start many requests, since a walk that starts nothing
    would find no fault either.
    """
    started = 0
    for seed in range(WALKS):
        machine = AtMostOnce()
        _walk(machine, Random(seed))
        started += len(machine.world.body_started_by_key)
    assert started > WALKS


def _walk(machine: AtMostOnce, rng: Random) -> None:
    """Execute random moves that depend only on the seed of ``rng``."""
    for _ in range(WALK_STEPS):
        key, entry = rng.choice(KEYS), rng.choice(ENTRIES)
        match rng.choice(("send", "ask", "again", "go_on", "go_on", "fault")):
            case "send":
                machine.send(key, entry, rng.randrange(6))
            case "ask":
                purpose = rng.choice(PURPOSES)
                machine.ask_or_cancel(key, entry, purpose)
            case "again" if machine._runs_told(TellNotRun):
                machine.send_again(rng.randrange(31), entry)
            case "go_on":
                machine.go_on(rng, rng.randint(1, 40))
            case "fault":
                machine.fault(rng, rng.choice(FAULTS))
    machine.teardown()

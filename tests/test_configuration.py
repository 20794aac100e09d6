from __future__ import annotations

from itertools import count

import pytest
from attrs import evolve
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from filbertlb.core.audit import AuditChainError
from filbertlb.core.audit import AuditHead
from filbertlb.core.audit import AuditOutcome
from filbertlb.core.audit import filter_entries
from filbertlb.core.audit import head_of
from filbertlb.core.audit import verify
from filbertlb.core.clock import VirtualClock
from filbertlb.core.revision_gate import Activity
from filbertlb.core.revision_gate import CONFIRMATION_TTL_S
from filbertlb.core.revision_gate import OlderRevisionError
from filbertlb.core.revision_gate import RevisionBehindError
from filbertlb.core.revision_gate import RevisionGate
from filbertlb.core.revision_gate import Standing
from filbertlb.core.revisions import ChangeRequest
from filbertlb.core.revisions import ConfigRefusedError
from filbertlb.core.revisions import RevisionConflictError
from filbertlb.core.site import FailureDomainConfig
from filbertlb.core.site import OrganisationConfig
from filbertlb.core.site import SiteConfig
from filbertlb.errors import ConflictError
from filbertlb.errors import UnavailableError
from filbertlb.table.audit import AUDIT_PREFIX
from filbertlb.table.base import Write
from filbertlb.table.configuration import ConfigurationStore
from filbertlb.table.memory import MemoryTable


def site(weight):
    return SiteConfig(
        site="jadran",
        failure_domains={"split-a": FailureDomainConfig("dalmatia")},
        organisations={"archive": OrganisationConfig(weight=float(weight))},
    )


def nothing_breaks(config, before):
    return []


def request(weight, based_on, author="ana", token=None):
    token = token or f"{author}-{weight}-{based_on}"
    return ChangeRequest(site(weight), based_on, author, token)


PROCESSES = st.integers(0, 2)
OPERATORS = st.sampled_from(["ana", "bilal"])
WEIGHTS = st.integers(1, 50)
SECONDS = st.sampled_from([0.5, 4.0, 10.0])


class RacingTable(MemoryTable):
    """Lets another operator act just before a commit is applied."""

    before = None

    def commit(self, writes):
        before, self.before = self.before, None
        if before is not None:
            before()
        return super().commit(writes)


class ConfigurationMachine(RuleBasedStateMachine):
    """Racing operators, restarts, outages, lost and late answers."""

    def __init__(self):
        super().__init__()
        self.table = RacingTable()
        self.clock = VirtualClock(1000.0)
        self.store = ConfigurationStore(self.table, self.clock)
        self.gates = [RevisionGate() for _ in range(3)]
        self.numbers = [0, 0, 0]
        self.accepted = {}
        self.heads = [(0.0, 0)]
        self.tokens = count()

    def note_head(self):
        row = self.table._row_by_key.get("config/head")
        if row is not None:
            down, self.table.faults.down = self.table.faults.down, False
            number = self.store.head_number()
            self.table.faults.down = down
            if number != self.heads[-1][1]:
                self.heads.append((self.clock.now_s, number))

    def try_apply(self, wish):
        try:
            revision = self.store.apply(wish, nothing_breaks)
        except (ConflictError, UnavailableError):
            return None
        finally:
            self.note_head()
        known = self.accepted.setdefault(revision.number, revision)
        assert known.config == revision.config == wish.config
        return revision

    def wish(self, author, weight, lag=0):
        based_on = max(0, self.heads[-1][1] - lag)
        token = f"{author}-{next(self.tokens)}"
        return request(weight, based_on, author, token)

    @rule(author=OPERATORS, weight=WEIGHTS, lag=st.integers(0, 1))
    def apply(self, author, weight, lag):
        self.try_apply(self.wish(author, weight, lag))

    @rule(weight=WEIGHTS, other=WEIGHTS)
    def race(self, weight, other):
        first, second = self.wish("ana", weight), self.wish("bilal", other)
        self.table.before = lambda: self.try_apply(second)
        self.try_apply(first)
        self.table.before = None

    @rule(weight=WEIGHTS, times=st.integers(2, 3))
    def repeat(self, weight, times):
        wish = self.wish("ana", weight)
        for _ in range(times):
            revision = self.try_apply(wish)
            if revision is not None:
                assert self.try_apply(wish) == revision

    @rule(losses=st.integers(1, 3))
    def lose_acks(self, losses):
        self.table.faults.lose_acks = losses

    @rule(down=st.booleans())
    def outage(self, down):
        self.table.faults.down = down

    @rule(seconds=SECONDS)
    def advance(self, seconds):
        self.clock.advance(seconds)

    def ask(self):
        try:
            return self.store.head(), self.clock.now_s
        except UnavailableError:
            return None, self.clock.now_s

    def answer(self, index, asked):
        head, asked_at_s = asked
        if head is not None:
            self.gates[index].install(head)
            self.gates[index].confirm(head.number, asked_at_s)

    @rule(index=PROCESSES)
    def poll(self, index):
        self.answer(index, self.ask())

    @rule(
        index=PROCESSES,
        weight=WEIGHTS,
        seconds=SECONDS,
        sender=PROCESSES,
        polls=st.booleans(),
    )
    def answer_late(self, index, weight, seconds, sender, polls):
        """Change the configuration while an answer is on its way."""
        asked = self.ask()
        self.apply("ana", weight, 0)
        if polls:
            self.poll(sender)
            self.gates[index].observe(self.gates[sender].number)
        self.advance(seconds)
        self.answer(index, asked)
        self.advance(seconds)

    @rule(index=PROCESSES, sender=PROCESSES)
    def command(self, index, sender):
        gate, number = self.gates[index], self.gates[sender].number
        highest = max(gate.highest_seen, number)
        try:
            gate.accept_command(number)
        except (OlderRevisionError, RevisionBehindError):
            assert number < highest or gate.number < highest
        else:
            assert number == gate.number == highest

    @rule(index=PROCESSES)
    def restart(self, index):
        self.gates[index] = RevisionGate()
        self.numbers[index] = 0

    @invariant()
    def revision_in_force_never_goes_down(self):
        for index, gate in enumerate(self.gates):
            assert gate.number >= self.numbers[index]
            assert gate.number <= self.heads[-1][1]
            self.numbers[index] = gate.number

    @invariant()
    def a_process_that_counts_as_current_is_current(self):
        now_s = self.clock.now_s
        head = [n for at, n in self.heads if at <= now_s - CONFIRMATION_TTL_S][
            -1
        ]
        for gate in self.gates:
            if gate.allows(Activity.START_OTHER, now_s):
                assert gate.number >= max(head, gate.highest_seen)
            if gate.in_force is None:
                assert not gate.allows(Activity.START_STOPPABLE, now_s)

    @invariant()
    def accepted_is_never_lost(self):
        if self.table.faults.down:
            return
        for number, revision in self.accepted.items():
            assert self.store.revision(number) == revision
        head = self.store.audit.verify()
        accepted = [
            entry.event.to_revision
            for entry in self.store.audit.entries()
            if entry.event.outcome is AuditOutcome.ACCEPTED
        ]
        assert accepted == list(range(1, self.heads[-1][1] + 1))
        assert head.number >= len(accepted)


TestConfiguration = ConfigurationMachine.TestCase
TestConfiguration.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=30,
)


@pytest.fixture
def store():
    return ConfigurationStore(MemoryTable(), VirtualClock(1000.0))


def test_conflict_shows_the_change_of_the_other(store):
    store.apply(request(1, 0), nothing_breaks)
    store.apply(request(2, 1, "bilal"), nothing_breaks)
    with pytest.raises(RevisionConflictError) as caught:
        store.apply(request(3, 1), nothing_breaks)
    message = caught.value.message
    assert "head is 2, by 'bilal'" in message
    assert "organisations.archive.weight: 1.0 -> 2.0" in message
    entries = filter_entries(store.audit.entries(), actor="ana", revision=1)
    *_, entry = entries
    assert entry.event.outcome is AuditOutcome.CONFLICT


def test_refused_change_names_what_it_would_break(store):
    def check(config, before):
        return ["guarantee 'previews' has no placement"]

    wish = request(1, 0)
    assert "would break:\n- guarantee" in store.plan(wish, check).render()
    with pytest.raises(ConfigRefusedError, match="'previews'"):
        store.apply(wish, check)
    assert store.head() is None
    (entry,) = store.audit.entries()
    assert entry.event.outcome is AuditOutcome.REFUSED


def test_configuration_of_another_site_is_refused(store):
    store.apply(request(1, 0), nothing_breaks)
    wish = request(1, 1, token="other")
    wish = evolve(wish, config=evolve(wish.config, site="qureshi"))
    with pytest.raises(ConfigRefusedError, match="'qureshi' is not"):
        store.apply(wish, nothing_breaks)


def test_rollback_is_a_new_revision(store):
    for number, weight in enumerate([1, 2]):
        store.apply(request(weight, number), nothing_breaks)
    revision = store.rollback(1, 2, "ana", "token", nothing_breaks)
    assert (revision.number, revision.rolled_back_to) == (3, 1)
    assert store.head().config == site(1)
    assert store.apply(request(1, 3), nothing_breaks) == revision


@pytest.mark.parametrize(
    ("steps", "standing", "allowed"),
    [
        ([], Standing.UNKNOWN, 2),
        ([("install", 1)], Standing.STALE, 3),
        ([("install", 1), ("confirm", 1)], Standing.CURRENT, 5),
        ([("install", 1), ("observe", 2)], Standing.BEHIND, 2),
        (
            [("install", 1), ("observe", 3), ("install", 2)],
            Standing.BEHIND,
            2,
        ),
        (
            [("install", 1), ("confirm", 1), ("wait", CONFIRMATION_TTL_S)],
            Standing.STALE,
            3,
        ),
    ],
)
def test_what_a_process_may_do(steps, standing, allowed, store):
    for number, weight in enumerate([1, 2, 3]):
        store.apply(request(weight, number), nothing_breaks)
    gate, now_s = RevisionGate(), 50.0
    for verb, value in steps:
        if verb == "install":
            gate.install(store.revision(value))
        elif verb == "confirm":
            gate.confirm(value, now_s)
        elif verb == "observe":
            gate.observe(value)
        else:
            now_s += value
    assert gate.standing(now_s) is standing
    assert sum(gate.allows(item, now_s) for item in Activity) == allowed


def changed_event(entries):
    event = evolve(entries[1].event, actor="mallory")
    entries[1] = evolve(entries[1], event=event)


def rehashed(entries):
    forged = evolve(entries[1], previous_hash=entries[0].hash, hash="f" * 64)
    entries[1] = forged


@pytest.mark.parametrize(
    ("tamper", "number"),
    [
        (changed_event, 2),
        (rehashed, 2),
        (lambda entries: entries.pop(1), 2),
        (lambda entries: entries.pop(), 4),
        (lambda entries: entries.insert(1, entries[1]), 3),
        (lambda entries: entries.reverse(), 1),
        (lambda entries: entries.clear(), 1),
    ],
)
def test_tampering_is_found(store, tamper, number):
    for base in range(4):
        store.apply(request(base + 1, base), nothing_breaks)
    entries, head = list(store.audit.entries()), store.audit.head()
    verify(entries, head, [head])
    tamper(entries)
    with pytest.raises(AuditChainError) as caught:
        verify(entries, head)
    assert caught.value.number == number


def test_rewritten_trail_is_found_by_a_noted_head(store):
    store.apply(request(1, 0), nothing_breaks)
    noted = store.audit.head()
    other = ConfigurationStore(MemoryTable(), VirtualClock(2000.0))
    other.apply(request(1, 0, "mallory"), nothing_breaks)
    forged = list(other.audit.entries())
    verify(forged, head_of(forged[-1]))
    for entries, head in [(forged, head_of(forged[-1])), ([], AuditHead())]:
        with pytest.raises(AuditChainError, match="noted"):
            verify(entries, head, [noted])


def test_removed_row_is_found_in_the_table():
    table = MemoryTable()
    store = ConfigurationStore(table, VirtualClock(1000.0))
    store.apply(request(1, 0), nothing_breaks)
    table.commit([Write(f"{AUDIT_PREFIX}{1:012d}", None)])
    with pytest.raises(AuditChainError):
        store.audit.verify()

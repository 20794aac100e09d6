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
from filbertlb.core.site import SiteConfig
from filbertlb.core.site_parts import FailureDomainConfig
from filbertlb.core.site_parts import OrganisationConfig
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


def no_problems(config, before):
    return []


def request(weight, based_on, author="ana", token=None):
    token = token or f"{author}-{weight}-{based_on}"
    return ChangeRequest(site(weight), based_on, author, token)


PROCESSES = st.integers(0, 2)
OPERATORS = st.sampled_from(["ana", "bilal"])
WEIGHTS = st.integers(1, 50)
SECONDS = st.sampled_from([0.5, 4.0, 10.0])


class RacingTable(MemoryTable):
    """Table that runs a callback just before the next commit."""

    before_commit = None

    def commit(self, writes):
        callback, self.before_commit = self.before_commit, None
        if callback is not None:
            callback()
        return super().commit(writes)


class ConfigurationMachine(RuleBasedStateMachine):
    """Concurrent changes, restarts, outages, lost and delayed answers."""

    def __init__(self):
        super().__init__()
        self.table = RacingTable()
        self.clock = VirtualClock(1000.0)
        self.store = ConfigurationStore(self.table, self.clock)
        self.gates = [RevisionGate() for _ in range(3)]
        self.last_numbers = [0, 0, 0]
        self.accepted = {}
        self.head_history = [(0.0, 0)]
        self.token_numbers = count()

    def record_head(self):
        row = self.table._row_by_key.get("config/head")
        if row is not None:
            down, self.table.faults.down = self.table.faults.down, False
            number = self.store.head_number()
            self.table.faults.down = down
            if number != self.head_history[-1][1]:
                self.head_history.append((self.clock.now_s, number))

    def try_apply(self, change):
        try:
            revision = self.store.apply(change, no_problems)
        except (ConflictError, UnavailableError):
            return None
        finally:
            self.record_head()
        known = self.accepted.setdefault(revision.number, revision)
        assert known.config == revision.config == change.config
        return revision

    def make_request(self, author, weight, lag=0):
        based_on = max(0, self.head_history[-1][1] - lag)
        token = f"{author}-{next(self.token_numbers)}"
        return request(weight, based_on, author, token)

    @rule(author=OPERATORS, weight=WEIGHTS, lag=st.integers(0, 1))
    def apply(self, author, weight, lag):
        self.try_apply(self.make_request(author, weight, lag))

    @rule(weight=WEIGHTS, other=WEIGHTS)
    def race(self, weight, other):
        first, second = (
            self.make_request("ana", weight),
            self.make_request("bilal", other),
        )
        self.table.before_commit = lambda: self.try_apply(second)
        self.try_apply(first)
        self.table.before_commit = None

    @rule(weight=WEIGHTS, times=st.integers(2, 3))
    def repeat(self, weight, times):
        change = self.make_request("ana", weight)
        for _ in range(times):
            revision = self.try_apply(change)
            if revision is not None:
                assert self.try_apply(change) == revision

    @rule(losses=st.integers(1, 3))
    def lose_acks(self, losses):
        self.table.faults.lose_acks = losses

    @rule(down=st.booleans())
    def outage(self, down):
        self.table.faults.down = down

    @rule(seconds=SECONDS)
    def advance(self, seconds):
        self.clock.advance(seconds)

    def read_head(self):
        try:
            return self.store.head(), self.clock.now_s
        except UnavailableError:
            return None, self.clock.now_s

    def deliver_head(self, index, response):
        head, sent_at_s = response
        if head is not None:
            self.gates[index].install(head)
            self.gates[index].confirm(head.number, sent_at_s)

    @rule(index=PROCESSES)
    def poll(self, index):
        self.deliver_head(index, self.read_head())

    @rule(
        index=PROCESSES,
        weight=WEIGHTS,
        seconds=SECONDS,
        sender=PROCESSES,
        polls=st.booleans(),
    )
    def answer_late(self, index, weight, seconds, sender, polls):
        """Change the configuration while a response is in transit."""
        response = self.read_head()
        self.apply("ana", weight, 0)
        if polls:
            self.poll(sender)
            self.gates[index].observe(self.gates[sender].number)
        self.advance(seconds)
        self.deliver_head(index, response)
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
        self.last_numbers[index] = 0

    @invariant()
    def revision_in_force_never_goes_down(self):
        for index, gate in enumerate(self.gates):
            assert gate.number >= self.last_numbers[index]
            assert gate.number <= self.head_history[-1][1]
            self.last_numbers[index] = gate.number

    @invariant()
    def a_process_that_counts_as_current_is_current(self):
        now_s = self.clock.now_s
        head = [
            n
            for at, n in self.head_history
            if at <= now_s - CONFIRMATION_TTL_S
        ][-1]
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
        assert accepted == list(range(1, self.head_history[-1][1] + 1))
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


def test_conflict_message_shows_the_other_change(store):
    store.apply(request(1, 0), no_problems)
    store.apply(request(2, 1, "bilal"), no_problems)
    with pytest.raises(RevisionConflictError) as caught:
        store.apply(request(3, 1), no_problems)
    message = caught.value.message
    assert "head is 2, by 'bilal'" in message
    assert "organisations.archive.weight: 1.0 -> 2.0" in message
    entries = filter_entries(store.audit.entries(), actor="ana", revision=1)
    *_, entry = entries
    assert entry.event.outcome is AuditOutcome.CONFLICT


def test_refused_change_lists_its_problems(store):
    def check(config, before):
        return ["guarantee 'previews' has no placement"]

    change = request(1, 0)
    assert "would break:\n- guarantee" in store.plan(change, check).render()
    with pytest.raises(ConfigRefusedError, match="'previews'"):
        store.apply(change, check)
    assert store.head() is None
    (entry,) = store.audit.entries()
    assert entry.event.outcome is AuditOutcome.REFUSED


def test_configuration_of_another_site_is_refused(store):
    store.apply(request(1, 0), no_problems)
    change = request(1, 1, token="other")
    change = evolve(change, config=evolve(change.config, site="qureshi"))
    with pytest.raises(ConfigRefusedError, match="'qureshi' is not"):
        store.apply(change, no_problems)


def test_rollback_is_a_new_revision(store):
    for number, weight in enumerate([1, 2]):
        store.apply(request(weight, number), no_problems)
    revision = store.rollback(1, 2, "ana", "token", no_problems)
    assert (revision.number, revision.rolled_back_to) == (3, 1)
    assert store.head().config == site(1)
    assert store.apply(request(1, 3), no_problems) == revision


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
def test_allowed_activities_by_standing(steps, standing, allowed, store):
    for number, weight in enumerate([1, 2, 3]):
        store.apply(request(weight, number), no_problems)
    gate, now_s = RevisionGate(), 50.0
    for step, value in steps:
        if step == "install":
            gate.install(store.revision(value))
        elif step == "confirm":
            gate.confirm(value, now_s)
        elif step == "observe":
            gate.observe(value)
        else:
            now_s += value
    assert gate.standing(now_s) is standing
    assert sum(gate.allows(item, now_s) for item in Activity) == allowed


def change_event(entries):
    event = evolve(entries[1].event, actor="mallory")
    entries[1] = evolve(entries[1], event=event)


def change_hashes(entries):
    forged = evolve(entries[1], previous_hash=entries[0].hash, hash="f" * 64)
    entries[1] = forged


@pytest.mark.parametrize(
    ("tamper", "number"),
    [
        (change_event, 2),
        (change_hashes, 2),
        (lambda entries: entries.pop(1), 2),
        (lambda entries: entries.pop(), 4),
        (lambda entries: entries.insert(1, entries[1]), 3),
        (lambda entries: entries.reverse(), 1),
        (lambda entries: entries.clear(), 1),
    ],
)
def test_tampering_is_detected(store, tamper, number):
    for base in range(4):
        store.apply(request(base + 1, base), no_problems)
    entries, head = list(store.audit.entries()), store.audit.head()
    verify(entries, head, [head])
    tamper(entries)
    with pytest.raises(AuditChainError) as caught:
        verify(entries, head)
    assert caught.value.number == number


def test_rewritten_trail_is_detected_by_a_recorded_head(store):
    store.apply(request(1, 0), no_problems)
    noted = store.audit.head()
    other = ConfigurationStore(MemoryTable(), VirtualClock(2000.0))
    other.apply(request(1, 0, "mallory"), no_problems)
    forged = list(other.audit.entries())
    verify(forged, head_of(forged[-1]))
    for entries, head in [(forged, head_of(forged[-1])), ([], AuditHead())]:
        with pytest.raises(AuditChainError, match="noted"):
            verify(entries, head, [noted])


def test_removed_audit_row_is_detected():
    table = MemoryTable()
    store = ConfigurationStore(table, VirtualClock(1000.0))
    store.apply(request(1, 0), no_problems)
    table.commit([Write(f"{AUDIT_PREFIX}{1:012d}", None)])
    with pytest.raises(AuditChainError):
        store.audit.verify()

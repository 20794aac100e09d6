"""Entries and agents of two regions in virtual time."""

from __future__ import annotations

from random import Random

from attrs import define
from attrs import field

from filbertlb.core.announcing import Announcer
from filbertlb.core.clock import VirtualClock
from filbertlb.core.membership import EndpointTable
from filbertlb.core.membership import EntryTable
from filbertlb.core.membership_times import MembershipTimes
from filbertlb.core.revision_gate import RevisionGate
from filbertlb.core.revisions import ChangeRequest
from filbertlb.core.site import FailureDomainConfig
from filbertlb.core.site import OrganisationConfig
from filbertlb.core.site import SiteConfig
from filbertlb.core.spread import spread_scopes
from filbertlb.core.spread import takeover_delay_s
from filbertlb.errors import FilbertlbError
from filbertlb.messages import Announce
from filbertlb.messages import Beat
from filbertlb.messages import EntryHello
from filbertlb.messages import Role
from filbertlb.table.configuration import ConfigurationStore
from filbertlb.table.lease import LeaseManager
from filbertlb.table.memory import MemoryTable

TIMES = MembershipTimes()
STEP_S = 0.1
HELLO_S = 1.0
CONFIG_S = 2.0
DOMAINS = {"a1": "a", "a2": "a", "b1": "b"}


@define
class Instance:
    name: str
    domain: str
    number: int
    stopping: bool = False
    seen: dict = field(factory=dict)

    @property
    def region(self):
        return DOMAINS[self.domain]


class Entry(Instance):
    def start(self, world):
        holder = f"{self.name}.{self.number}"
        self.keeper = LeaseManager(
            world.table, self.region, holder, world.clock
        )
        self.entries, self.endpoints = EntryTable(TIMES), EndpointTable(TIMES)
        self.gate = RevisionGate()
        self.lease_due_s = self.hello_due_s = self.config_due_s = 0.0

    def step(self, world, now_s):
        if now_s >= self.hello_due_s:
            self.hello_due_s = now_s + HELLO_S
            world.greet(self, now_s)
        if now_s >= self.config_due_s:
            self.config_due_s = now_s + CONFIG_S
            self.look_at_config(world, now_s)
        changes = [*self.entries.tick(now_s), *self.endpoints.tick(now_s)]
        world.log_changes(self, changes)
        ids = self.entries.usable_ids()
        same = [i for i in ids if world.region_of(i) == self.region]
        ranked = spread_scopes([self.region], same)[self.region]
        if now_s >= self.lease_due_s and not self.stopping:
            delay_s = takeover_delay_s(ranked, self.name)
            self.keeper.step(delay_s)
            self.lease_due_s = self.keeper.next_due_s(delay_s)
        lease = self.keeper.held()
        world.note(self, "epoch", lease.epoch if lease else 0)
        world.note(self, "revision", self.gate.number)
        world.note(self, "standing", self.gate.standing(now_s))

    def look_at_config(self, world, now_s):
        try:
            head = world.store.head()
        except FilbertlbError:
            return
        self.gate.install(head)
        self.gate.confirm(head.number, now_s)

    def stop(self, world):
        self.stopping = True
        if self.keeper.held() is not None:
            self.keeper.release()


class Agent(Instance):
    def start(self, world):
        self.announcer = Announcer(TIMES, world.rng)

    def step(self, world, now_s):
        names = [entry.name for entry in world.entries()]
        self.announcer.set_entries(names, now_s)
        for target in self.announcer.due(now_s):
            entry = world.by_name.get(target.entry)
            if entry is not None and world.connected(self, entry):
                self.announce(world, entry, target, now_s)

    def announce(self, world, entry, target, now_s):
        incarnation, sequence = str(self.number), target.sequence
        if target.full:
            message = Announce(
                self.name,
                incarnation,
                Role.WORKER,
                "",
                self.region,
                self.domain,
                self.domain,
                sequence,
                draining=self.announcer.draining,
            )
            heard = entry.endpoints.announced(message, 1.0, now_s)
        else:
            beat = Beat(self.name, incarnation, sequence, target.full_sequence)
            heard = entry.endpoints.beat(beat, 1.0, now_s)
        world.log_changes(entry, heard.changes)
        if heard.answer:
            self.announcer.acked(
                entry.name, sequence, 1.0, heard.wants_full, now_s
            )

    def stop(self, world):
        self.announcer.drain(world.clock.now_s)


class World:
    """Six instances, the table service and the links between them."""

    def __init__(self):
        self.clock, self.rng = VirtualClock(), Random(3)
        self.table, self.log = MemoryTable(), []
        self.store = ConfigurationStore(self.table, self.clock)
        self.apart, self.by_name = False, {}
        self.holders_at_once = 0
        self.apply(1.0)
        for domain in DOMAINS:
            self.add(Entry, f"e-{domain}", domain)
            self.add(Agent, f"w-{domain}", domain)

    def add(self, cls, name, domain, number=1):
        instance = self.by_name[name] = cls(name, domain, number)
        instance.start(self)

    def entries(self):
        return [i for i in self.by_name.values() if isinstance(i, Entry)]

    def region_of(self, name):
        return DOMAINS[name.removeprefix("e-")]

    def connected(self, one, other):
        return not self.apart or one.region == other.region

    def greet(self, sender, now_s):
        hello = EntryHello(
            sender.name,
            str(sender.number),
            sender.name,
            sender.domain,
            draining=sender.stopping,
        )
        for entry in self.entries():
            if self.connected(sender, entry):
                self.log_changes(entry, entry.entries.heard(hello, now_s))

    def note(self, instance, what, value):
        if instance.seen.get(what, 0) != value:
            instance.seen[what] = value
            self.write(at=instance.name, **{what: value})

    def log_changes(self, entry, changes):
        for change in changes:
            self.write(
                at=entry.name,
                member=f"{change.member_id}.{change.incarnation}",
                change=change.kind,
            )

    def write(self, **item):
        self.log.append({"at_s": round(self.clock.now_s, 1), **item})

    def apply(self, weight):
        config = SiteConfig(
            site="s",
            failure_domains={
                name: FailureDomainConfig(region)
                for name, region in DOMAINS.items()
            },
            organisations={"o": OrganisationConfig(weight=weight)},
        )
        try:
            number = self.store.head_number()
            wish = ChangeRequest(config, number, "ana", str(weight))
            revision = self.store.apply(wish, lambda new, old: [])
        except FilbertlbError as error:
            self.write(applied=error.code)
        else:
            self.write(applied=revision.number)

    def crash(self, *names):
        for name in names:
            del self.by_name[name]

    def stop(self, name):
        self.by_name[name].stop(self)

    def replace(self, name):
        old = self.by_name.pop(name)
        self.add(type(old), name, old.domain, old.number + 1)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            for instance in list(self.by_name.values()):
                instance.step(self, self.clock.now_s)
            for region in set(DOMAINS.values()):
                held = [
                    entry
                    for entry in self.entries()
                    if entry.region == region and entry.keeper.held()
                ]
                self.holders_at_once = max(self.holders_at_once, len(held))

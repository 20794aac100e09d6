"""Simulates entries and agents of two regions in virtual time."""

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
from filbertlb.core.site import SiteConfig
from filbertlb.core.site_parts import FailureDomainConfig
from filbertlb.core.site_parts import OrganisationConfig
from filbertlb.core.spread import rank_entries
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
HELLO_PERIOD_S = 1.0
CONFIG_POLL_PERIOD_S = 2.0
REGION_BY_DOMAIN = {"a1": "a", "a2": "a", "b1": "b"}


@define
class Instance:
    name: str
    failure_domain: str
    incarnation: int
    stopping: bool = False
    recorded: dict = field(factory=dict)

    @property
    def region(self):
        return REGION_BY_DOMAIN[self.failure_domain]


class Entry(Instance):
    def start(self, world):
        holder = f"{self.name}.{self.incarnation}"
        self.keeper = LeaseManager(
            world.table, self.region, holder, world.clock
        )
        self.entries, self.endpoints = EntryTable(TIMES), EndpointTable(TIMES)
        self.gate = RevisionGate()
        self.lease_due_s = self.hello_due_s = self.config_due_s = 0.0

    def step(self, world, now_s):
        if now_s >= self.hello_due_s:
            self.hello_due_s = now_s + HELLO_PERIOD_S
            world.broadcast_hello(self, now_s)
        if now_s >= self.config_due_s:
            self.config_due_s = now_s + CONFIG_POLL_PERIOD_S
            self.poll_config(world, now_s)
        changes = [*self.entries.tick(now_s), *self.endpoints.tick(now_s)]
        world.record_changes(self, changes)
        ids = self.entries.usable_ids()
        same_region = [i for i in ids if world.region_of(i) == self.region]
        ranked = rank_entries([self.region], same_region)[self.region]
        if now_s >= self.lease_due_s and not self.stopping:
            delay_s = takeover_delay_s(ranked, self.name)
            self.keeper.step(delay_s)
            self.lease_due_s = self.keeper.next_due_s(delay_s)
        lease = self.keeper.held()
        world.record_if_changed(self, "epoch", lease.epoch if lease else 0)
        world.record_if_changed(self, "revision", self.gate.number)
        world.record_if_changed(self, "standing", self.gate.standing(now_s))

    def poll_config(self, world, now_s):
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
        incarnation, sequence = str(self.incarnation), target.sequence
        if target.full:
            message = Announce(
                self.name,
                incarnation,
                Role.WORKER,
                "",
                self.region,
                self.failure_domain,
                self.failure_domain,
                sequence,
                draining=self.announcer.draining,
            )
            result = entry.endpoints.announced(message, 1.0, now_s)
        else:
            beat = Beat(self.name, incarnation, sequence, target.full_sequence)
            result = entry.endpoints.beat(beat, 1.0, now_s)
        world.record_changes(entry, result.changes)
        if result.answer:
            self.announcer.handle_ack(
                entry.name, sequence, 1.0, result.wants_full, now_s
            )

    def stop(self, world):
        self.announcer.drain(world.clock.now_s)


class World:
    """Three entries, three agents, the table service and their links."""

    def __init__(self):
        self.clock, self.rng = VirtualClock(), Random(3)
        self.table, self.log = MemoryTable(), []
        self.store = ConfigurationStore(self.table, self.clock)
        self.partitioned, self.by_name = False, {}
        self.max_concurrent_holders = 0
        self.apply_config(1.0)
        for domain in REGION_BY_DOMAIN:
            self.add(Entry, f"e-{domain}", domain)
            self.add(Agent, f"w-{domain}", domain)

    def add(self, cls, name, domain, incarnation=1):
        instance = self.by_name[name] = cls(name, domain, incarnation)
        instance.start(self)

    def entries(self):
        return [i for i in self.by_name.values() if isinstance(i, Entry)]

    def region_of(self, name):
        return REGION_BY_DOMAIN[name.removeprefix("e-")]

    def connected(self, first, second):
        return not self.partitioned or first.region == second.region

    def broadcast_hello(self, sender, now_s):
        hello = EntryHello(
            sender.name,
            str(sender.incarnation),
            sender.name,
            sender.failure_domain,
            draining=sender.stopping,
        )
        for entry in self.entries():
            if self.connected(sender, entry):
                self.record_changes(entry, entry.entries.heard(hello, now_s))

    def record_if_changed(self, instance, key, value):
        if instance.recorded.get(key, 0) != value:
            instance.recorded[key] = value
            self.record(at=instance.name, **{key: value})

    def record_changes(self, entry, changes):
        for change in changes:
            self.record(
                at=entry.name,
                member=f"{change.member_id}.{change.incarnation}",
                change=change.kind,
            )

    def record(self, **item):
        self.log.append({"at_s": round(self.clock.now_s, 1), **item})

    def apply_config(self, weight):
        config = SiteConfig(
            site="s",
            failure_domains={
                name: FailureDomainConfig(region)
                for name, region in REGION_BY_DOMAIN.items()
            },
            organisations={"o": OrganisationConfig(weight=weight)},
        )
        try:
            base_revision = self.store.head_number()
            request = ChangeRequest(config, base_revision, "ana", str(weight))
            revision = self.store.apply(request, lambda new, old: [])
        except FilbertlbError as error:
            self.record(applied=error.code)
        else:
            self.record(applied=revision.number)

    def crash(self, *names):
        for name in names:
            del self.by_name[name]

    def stop(self, name):
        self.by_name[name].stop(self)

    def replace(self, name):
        old = self.by_name.pop(name)
        self.add(type(old), name, old.failure_domain, old.incarnation + 1)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            for instance in list(self.by_name.values()):
                instance.step(self, self.clock.now_s)
            for region in set(REGION_BY_DOMAIN.values()):
                holders = [
                    entry
                    for entry in self.entries()
                    if entry.region == region and entry.keeper.held()
                ]
                self.max_concurrent_holders = max(
                    self.max_concurrent_holders, len(holders)
                )

"""One entry, a worker and a runner in process, on ports of the system."""

from __future__ import annotations

from contextlib import contextmanager
from contextlib import ExitStack

import attrs
from gevent import sleep

from filbertlb.agent.app import AgentSetup
from filbertlb.agent.app import open_runner_agent
from filbertlb.agent.app import open_worker_agent
from filbertlb.api.auth import make_token
from filbertlb.backend.fake import FakeRunner
from filbertlb.backend.fake import FakeWorker
from filbertlb.backend.ledger import Ledger
from filbertlb.client import CallFailedError
from filbertlb.client import Client
from filbertlb.core.clock import SystemClock
from filbertlb.core.model import Resources
from filbertlb.entry.app import open_entry
from filbertlb.entry.setup import EntrySetup
from filbertlb.settings.process import Limits
from filbertlb.table.base import ABSENT
from filbertlb.table.memory import MemoryTable
from filbertlb.transport.codec import KeyRing
from filbertlb.transport.codec import MessageCodec

HOST = "127.0.0.1"
BODY_BYTES = 20_000
EACH = {"accelerators": 8, "cores": 30.0, "memory_gib": 64.0}
PLACE = {"region": "main", "failure_domain": "swat"}
RACK = {"workers": 1, "each": EACH}
CONFIG = {
    "site": "qureshi",
    "failure_domains": {"swat": {"region": "main", "racks": {"s1": RACK}}},
    "organisations": {"dairies": {}, "traders": {}},
}


@attrs.define
class JobAckTable(MemoryTable):
    """Loses answers to the first writes of jobs only.

    Parameters
    ----------
    lose_jobs : int
        Number of coming new jobs whose answers are lost.
    then_down : bool
        Whether the service is down after a lost answer.
    """

    lose_jobs: int = 0
    then_down: bool = False

    def commit(self, writes):
        first = writes[0]
        is_new = first.expected_version == ABSENT
        if self.lose_jobs and is_new and first.key.startswith("jobs/"):
            self.lose_jobs -= 1
            self.faults.lose_acks = 1
            try:
                return MemoryTable.commit(self, writes)
            finally:
                self.faults.down = self.then_down
        return MemoryTable.commit(self, writes)


@attrs.define
class Site:
    """What the tests call, and what was really done."""

    entry: object
    table: JobAckTable
    ledger: Ledger
    agent_by_id: dict
    token_by_name: dict
    worker: object

    def client(self, name="dairies"):
        return Client(self.entry.url, self.token_by_name.get(name, name))

    def end_outage(self):
        """Switch the table on; return once the entry uses it again."""
        self.table.faults.down = False
        while not self._table_answers():
            sleep(0.05)

    def _table_answers(self):
        """Return whether the entry's circuit breaker lets calls through.

        The call must read a row of a job: reads of the configuration
        bypass the breaker.
        """
        try:
            self.call("GET", "/v1/jobs/none", "dairies")
        except CallFailedError as error:
            return error.server_code == "job_not_found"
        return False

    def call(self, method, path, name="operator", value=None):
        client = self.client(name)
        try:
            return client.json(method, path, value)
        finally:
            client.close()


@contextmanager
def open_worker(table, codec, ledger):
    """Yield the agent of the site's worker."""
    clock = SystemClock()
    setup = AgentSetup(
        "s1/0", HOST, rack="s1", capacity=Resources(**EACH), **PLACE
    )
    backend = FakeWorker(ledger=ledger, clock=clock)
    with open_worker_agent(setup, backend, table, codec, clock) as agent:
        yield agent


@contextmanager
def open_site(with_worker=True):
    """Yield a site whose endpoints are known."""
    table = JobAckTable()
    ledger = Ledger()
    clock = SystemClock()
    codec = MessageCodec(KeyRing({1: bytes(32)}))
    token, operator = make_token(None, operator=True)
    limits = Limits(body_bytes=BODY_BYTES)
    setup = EntrySetup("e1", HOST, "swat", operator=operator, limits=limits)
    runner = AgentSetup("r1", HOST, rack="", **PLACE)
    with ExitStack() as stack:
        entry = stack.enter_context(open_entry(setup, table, codec, clock))
        backend = FakeRunner(ledger=ledger)
        opened = open_runner_agent(runner, backend, table, codec, clock)
        agents = {"r1": stack.enter_context(opened)}
        worker = open_worker(table, codec, ledger)
        if with_worker:
            agents["s1/0"] = stack.enter_context(worker)
        tokens = {"operator": token}
        site = Site(entry, table, ledger, agents, tokens, worker)
        change = {"config": CONFIG, "based_on": 0}
        site.call("POST", "/v1/config", value=change)
        for name in CONFIG["organisations"]:
            made = site.call("POST", f"/v1/organisations/{name}/tokens")
            site.token_by_name[name] = made["token"]
            # Known tokens are good while the table is down.
            site.call("GET", "/v1/jobs", name)
        while (
            entry.directory.endpoint_table.announce_by_id.keys()
            != agents.keys()
        ):
            sleep(0.01)
        yield site

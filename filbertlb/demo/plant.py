"""A site's processes as tasks of one process, over loopback TCP."""

from __future__ import annotations

import secrets
from contextlib import contextmanager
from contextlib import ExitStack
from typing import TYPE_CHECKING

import attrs
from gevent import sleep

from filbertlb.agent.app import AgentSetup
from filbertlb.agent.app import open_runner_agent
from filbertlb.agent.app import open_worker_agent
from filbertlb.api.auth import make_token
from filbertlb.backend.fake import FakeRunner
from filbertlb.backend.fake import FakeWorker
from filbertlb.backend.ledger import Ledger
from filbertlb.client import Client
from filbertlb.core.revisions import ChangeRequest
from filbertlb.entry.app import open_entry
from filbertlb.entry.setup import EntrySetup
from filbertlb.errors import FilbertlbError
from filbertlb.errors import UnavailableError
from filbertlb.scheduling.dry_run import broken_guarantees
from filbertlb.table.configuration import ConfigurationStore
from filbertlb.table.memory import MemoryTable
from filbertlb.transport.codec import KEY_BYTES
from filbertlb.transport.codec import KeyRing
from filbertlb.transport.codec import MessageCodec

if TYPE_CHECKING:
    from collections.abc import Iterator

    from filbertlb.core.clock import Clock
    from filbertlb.core.model import Worker
    from filbertlb.core.site import SiteConfig
    from filbertlb.entry.app import Entry

LOOPBACK = "127.0.0.1"
RUNNERS = 10
RUNNER_SLOTS = 8
READY_POLL_S = 0.1
READY_WITHIN_S = 30.0


class SiteNotReadyError(UnavailableError):
    """The endpoints did not announce themselves in time."""

    code = "site_not_ready"


@attrs.define
class Plant:
    """The running site.

    Parameters
    ----------
    table : MemoryTable
        The platform's table service.
    ledger : Ledger
        What the fake backends were really told to do.
    entry_by_id : dict of str to Entry
        Entries that run now.
    token_by_organisation : dict of str to str
        A caller's token of each organisation.
    worker_backend_by_id : dict of str to FakeWorker
        Workers, which outlive their agents.
    """

    config: SiteConfig
    clock: Clock
    table: MemoryTable = attrs.Factory(MemoryTable)
    ledger: Ledger = attrs.Factory(Ledger)
    codec: MessageCodec = attrs.field(init=False)
    entry_by_id: dict[str, Entry] = attrs.Factory(dict)
    token_by_organisation: dict[str, str] = attrs.Factory(dict)
    worker_backend_by_id: dict[str, FakeWorker] = attrs.Factory(dict)
    _stack_by_id: dict[str, ExitStack] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        key = secrets.token_bytes(KEY_BYTES)
        self.codec = MessageCodec(KeyRing({1: key}))

    def start_entry(self, entry_id: str) -> Entry:
        """Start an entry instance."""
        domains = sorted(self.config.failure_domains)
        domain = domains[len(self._stack_by_id) % len(domains)]
        setup = EntrySetup(
            entry_id, LOOPBACK, domain, scope=self.config.scopes[0]
        )
        opened = open_entry(setup, self.table, self.codec, self.clock)
        stack = ExitStack()
        entry = stack.enter_context(opened)
        self._stack_by_id[entry_id] = stack
        self.entry_by_id[entry_id] = entry
        return entry

    def start_worker(self, worker: Worker) -> FakeWorker:
        """Start a worker and its agent."""
        backend = FakeWorker(ledger=self.ledger, clock=self.clock)
        self.worker_backend_by_id[worker.worker_id] = backend
        self.start_worker_agent(worker, backend)
        return backend

    def start_worker_agent(self, worker: Worker, backend: FakeWorker) -> None:
        """Start the agent beside a worker that runs."""
        setup = AgentSetup(
            endpoint_id=worker.worker_id,
            host=LOOPBACK,
            region=worker.region,
            failure_domain=worker.failure_domain,
            rack=worker.rack,
            capacity=worker.capacity,
        )
        self._keep(
            worker.worker_id,
            open_worker_agent(
                setup, backend, self.table, self.codec, self.clock
            ),
        )

    def start_runner(self, number: int) -> FakeRunner:
        """Start a runner and its agent."""
        domains = sorted(self.config.failure_domains)
        name = domains[number % len(domains)]
        domain = self.config.failure_domains[name]
        setup = AgentSetup(
            endpoint_id=f"runner-{number}",
            host=LOOPBACK,
            region=domain.region,
            failure_domain=name,
            rack="",
            slots=RUNNER_SLOTS,
        )
        backend = FakeRunner(ledger=self.ledger)
        self._keep(
            setup.endpoint_id,
            open_runner_agent(
                setup, backend, self.table, self.codec, self.clock
            ),
        )
        return backend

    def stop(self, process_id: str) -> None:
        """Stop an entry or an agent at once, without a drain."""
        self.entry_by_id.pop(process_id, None)
        self._stack_by_id.pop(process_id).close()

    def crash_entry(self, entry_id: str) -> None:
        """End an entry without a word: nothing is given up or deleted."""
        entry = self.entry_by_id[entry_id]
        entry.crashed = True
        self.stop(entry_id)

    def replace_worker_agent(self, worker: Worker) -> None:
        """Restart the agent beside a worker that goes on running."""
        self.stop(worker.worker_id)
        backend = self.worker_backend_by_id[worker.worker_id]
        self.start_worker_agent(worker, backend)

    def decider_id(self) -> str:
        """Return the entry that decides now, or an empty string."""
        for entry_id, entry in self.entry_by_id.items():
            if entry.decider.epoch:
                return entry_id
        return ""

    def stop_all(self) -> None:
        """Stop everything."""
        for process_id in list(self._stack_by_id):
            self.stop(process_id)

    def client(self, organisation_id: str, number: int = 0) -> Client:
        """Return a client of one of the entries, as a balancer would."""
        entries = list(self.entry_by_id.values())
        entry = entries[number % len(entries)]
        return Client(entry.url, self.token_by_organisation[organisation_id])

    def apply(self, config: SiteConfig) -> None:
        """Accept a configuration, as an operator would."""
        store = ConfigurationStore(self.table, self.clock)
        request = ChangeRequest(
            config, store.head_number(), "demo", secrets.token_hex()
        )
        store.apply(request, broken_guarantees)
        self.config = config

    def make_tokens(self) -> None:
        """Make a caller's token for each organisation."""
        entry = next(iter(self.entry_by_id.values()))
        for name in self.config.organisations:
            token, record = make_token(name)
            entry.tokens.add(record)
            self.token_by_organisation[name] = token

    def wait_ready(self, endpoints: int) -> None:
        """Wait until a decider leads and all endpoints are known.

        Raises
        ------
        SiteNotReadyError
            If that takes too long.
        """
        until_s = self.clock.monotonic() + READY_WITHIN_S
        while not self._is_ready(endpoints):
            if self.clock.monotonic() > until_s:
                raise SiteNotReadyError(
                    f"not all of {endpoints} endpoints are known after "
                    f"{READY_WITHIN_S} s"
                )
            sleep(READY_POLL_S)

    def _is_ready(self, endpoints: int) -> bool:
        entries = self.entry_by_id.values()
        known = all(
            len(entry.directory.endpoint_ids()) >= endpoints
            for entry in entries
        )
        return (
            known
            and all(entry.watcher.number() for entry in entries)
            and any(entry.decider.epoch for entry in entries)
        )

    def _keep(self, process_id: str, opened: object) -> None:
        stack = ExitStack()
        stack.enter_context(opened)  # type: ignore[arg-type]
        self._stack_by_id[process_id] = stack


@contextmanager
def open_plant(
    config: SiteConfig, clock: Clock, entries: int = 2, runners: int = RUNNERS
) -> Iterator[Plant]:
    """Run a site at its configured size while the block runs.

    Parameters
    ----------
    entries : int
        Number of entry instances.
    runners : int
        Number of runners.

    Raises
    ------
    FilbertlbError
        If the site does not come up.
    """
    plant = Plant(config, clock)
    plant.apply(config)
    try:
        for number in range(entries):
            plant.start_entry(f"entry-{number}")
        workers = config.expected_workers()
        for worker in workers:
            plant.start_worker(worker)
        for number in range(runners):
            plant.start_runner(number)
        plant.make_tokens()
        plant.wait_ready(len(workers) + runners)
        yield plant
    finally:
        _stop_quietly(plant)


def _stop_quietly(plant: Plant) -> None:
    try:
        plant.stop_all()
    except FilbertlbError:
        # The table may be down at the end of a test.
        return

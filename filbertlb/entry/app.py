"""An entry instance: serves callers, and decides while it holds a lease."""

from __future__ import annotations

import secrets
from contextlib import contextmanager
from contextlib import ExitStack
from random import Random
from typing import TYPE_CHECKING

import attrs

from filbertlb.api.app import Application
from filbertlb.api.auth import TokenStore
from filbertlb.api.configuration import OperatorRoutes
from filbertlb.api.configuration import OrganisationNotFoundError
from filbertlb.api.endpoints import EndpointRoutes
from filbertlb.api.jobs import JobRoutes
from filbertlb.api.requests import RequestRoutes
from filbertlb.api.service import ServiceRoutes
from filbertlb.core.breaker import CircuitBreaker
from filbertlb.core.gang_plan import GangTimeouts
from filbertlb.core.limits import AdmissionGate
from filbertlb.core.limits import GateLimits
from filbertlb.core.spread import rank_entries
from filbertlb.core.spread import takeover_delay_s
from filbertlb.core.table_budget import TableBudget
from filbertlb.entry.admission_control import AdmissionController
from filbertlb.entry.admission_control import enforcing_deadlines
from filbertlb.entry.configuration import ConfigWatcher
from filbertlb.entry.configuration import running_watcher
from filbertlb.entry.decider import Decider
from filbertlb.entry.directory import Directory
from filbertlb.entry.endpoint_views import RunnerChooser
from filbertlb.entry.events import ConfigChanged
from filbertlb.entry.events import EndpointLost
from filbertlb.entry.events import EndpointSeen
from filbertlb.entry.job_table import JobTable
from filbertlb.entry.job_writer import JobWriter
from filbertlb.entry.jobs import JobService
from filbertlb.entry.leadership import leader_election
from filbertlb.entry.registry import EntryRow
from filbertlb.entry.registry import registered
from filbertlb.entry.reporting import render_metrics
from filbertlb.entry.reporting import status_of
from filbertlb.entry.requests import RequestService
from filbertlb.entry.requests import TokenSource
from filbertlb.httpserver import serving_http
from filbertlb.messages import Announce
from filbertlb.messages import Beat
from filbertlb.messages import EntryHello
from filbertlb.messages import JobHint
from filbertlb.messages import TaskEnded
from filbertlb.metrics import metrics_of
from filbertlb.routing.near_first import NearFirst
from filbertlb.scheduling.guaranteed import GuaranteedScheduler
from filbertlb.scheduling.job_checker import JobChecker
from filbertlb.table.guarded import GuardedTable
from filbertlb.table.lease import LeaseManager
from filbertlb.tasks import Mailbox
from filbertlb.tasks import running_task
from filbertlb.transport.link import open_link
from filbertlb.transport.link import OutboxFullError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from filbertlb.core.clock import Clock
    from filbertlb.core.job_record import JobRecord
    from filbertlb.core.model import JobSpec
    from filbertlb.core.site import SiteConfig
    from filbertlb.entry.setup import EntrySetup
    from filbertlb.metrics import Metrics
    from filbertlb.table.base import TableService
    from filbertlb.transport.codec import Envelope
    from filbertlb.transport.codec import MessageCodec
    from filbertlb.transport.link import Link

INCARNATION_BYTES = 6


class _DeciderNotifier:
    """Forwards endpoint events to the decider's mailbox."""

    def __init__(self, mailbox: Mailbox) -> None:
        self._mailbox = mailbox

    def endpoint_seen(self, announce: Announce) -> None:
        """Forward an announcement."""
        self._mailbox.post(EndpointSeen(announce))

    def endpoint_lost(self, announce: Announce) -> None:
        """Forward that an endpoint was declared dead."""
        self._mailbox.post(EndpointLost(announce))


class Entry:
    """One running entry instance.

    Parameters
    ----------
    setup : EntrySetup
        Start-up parameters.
    link : Link
        Exchanges messages with the site's other processes.
    table : TableService
        The platform's table service.
    clock : Clock
        Source of time.
    watcher : ConfigWatcher
        Tracks the configuration in force on this entry.
    metrics : Metrics
        Metrics of this entry.
    """

    def __init__(
        self,
        setup: EntrySetup,
        link: Link,
        table: TableService,
        clock: Clock,
        watcher: ConfigWatcher,
        metrics: Metrics,
    ) -> None:
        self.setup = setup
        self.link = link
        self.clock = clock
        self.url = ""
        self.crashed = False
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.watcher = watcher
        self.watcher.listeners.append(self._config_changed)
        self._job_checker: JobChecker | None = None
        self.directory = Directory(
            link, setup.entry_id, self._make_hello, watcher.number
        )
        self.rng = Random(self.incarnation)
        self.table_budget = TableBudget()
        # Gets the unguarded table: renewals must be attempted as long as
        # the lease is held, whatever the circuit breaker and the budget say.
        self.lease_keeper = LeaseManager(
            table, setup.scope, self._holder_id(), clock
        )
        table = GuardedTable(
            table, CircuitBreaker(self.rng), self.table_budget, clock
        )
        self.table = table
        self.weight_by_id: dict[str, float] = {}
        self.gatekeeper = AdmissionController(
            AdmissionGate(GateLimits(weight_by_id=self.weight_by_id)), clock
        )
        self.tokens = TokenStore(table, clock, setup.operator)
        self.jobs = JobService(
            JobTable(table), self._admit, self.broadcast_job_change, clock
        )
        self.requests = RequestService(
            link,
            table,
            RunnerChooser(
                self.directory,
                NearFirst(setup.failure_domain),
                self.rng,
                clock,
            ),
            TokenSource(self.incarnation),
            self.gatekeeper,
            watcher.try_catch_up,
            self.rng,
            clock,
        )
        self.decider_mailbox = Mailbox("decider")
        self.decider = self._make_decider()
        route_sets = (
            JobRoutes(self.jobs, self._wait_reason),
            RequestRoutes(self.requests),
            OperatorRoutes(
                self.watcher, self.tokens, clock, self._revisions_in_force
            ),
            EndpointRoutes(
                self.directory.endpoint_table,
                link.request,
                self.watcher.store.audit,
                clock,
            ),
            ServiceRoutes(
                self.ready,
                lambda: status_of(self),
                lambda: render_metrics(self, metrics),
            ),
        )
        self.application = Application(
            self.tokens, route_sets, setup.limits.body_bytes, metrics, clock
        )

    def ready(self) -> bool:
        """Tell whether the instance accepts new work."""
        return not self.application.draining

    def drain(self) -> None:
        """Refuse new work from now on; work in flight continues."""
        self.application.draining = True

    def idle(self) -> bool:
        """Tell whether no call is in flight."""
        return self.application.in_flight == 0

    def broadcast_job_change(self, hint: JobHint) -> None:
        """Notify all live entries, this one included, of a changed job."""
        for address in self.directory.entry_addresses():
            try:
                self.link.send(address, hint)
            except OutboxFullError:
                # Hints only save time: the rows are also polled.
                continue

    def receive_job_hint(self, envelope: Envelope) -> None:
        """Wake callers that wait for the job and notify the decider."""
        self.jobs.notify_waiters(envelope.message)
        self.decider_mailbox.post(envelope)

    def update_entries(self, rows: list[EntryRow]) -> None:
        """Update the table budget and seed the directory with these rows."""
        self.table_budget.set_live_entries(
            max(1, len(rows)), self.clock.monotonic()
        )
        self.directory.seed(row.address for row in rows)

    def takeover_delay_s(self) -> float:
        """Return the seconds to wait for entries preferred for the scope."""
        scopes = {self.setup.scope}
        if self.watcher.revision_gate.in_force is not None:
            scopes |= set(self.watcher.config.scopes)
        ranked = rank_entries(scopes, self.directory.entry_ids())
        return takeover_delay_s(ranked[self.setup.scope], self.setup.entry_id)

    def _make_decider(self) -> Decider:
        writer = JobWriter(
            JobTable(self.table),
            self.lease_keeper,
            self.setup.scope,
            self.decider_mailbox,
        )
        return Decider(
            self.setup.scope,
            self.link,
            writer,
            self.decider_mailbox,
            GuaranteedScheduler,
            self.broadcast_job_change,
            lambda: self.lease_keeper.held() is not None,
            GangTimeouts(),
            self.clock,
        )

    def _holder_id(self) -> str:
        return f"{self.setup.entry_id}.{self.incarnation}"

    def _config_changed(self, config: SiteConfig) -> None:
        self._job_checker = JobChecker(config)
        self.weight_by_id.clear()
        for name, organisation in config.organisations.items():
            self.weight_by_id[name] = organisation.weight
        self.decider_mailbox.post(ConfigChanged(config))

    def _admit(self, job: JobSpec) -> JobSpec:
        self.watcher.catch_up()
        config = self.watcher.config
        if job.organisation_id not in config.organisations:
            raise OrganisationNotFoundError(
                f"organisation {job.organisation_id!r} does not exist; an "
                "operator must create it"
            )
        if self._job_checker is not None:
            self._job_checker.check(job)
        return attrs.evolve(job, scope=_scope_of(config, job))

    def _revisions_in_force(self) -> dict[str, int]:
        own = {self.setup.entry_id: self.watcher.number()}
        return own | self.directory.revision_by_id()

    def _wait_reason(self, record: JobRecord) -> str:
        reason = self.decider.why(record.spec.job_id)
        return record.state.value if reason is None else reason.value

    def _make_hello(self) -> EntryHello:
        return EntryHello(
            self.setup.entry_id,
            self.incarnation,
            self.link.address,
            self.setup.failure_domain,
            revision=self.watcher.number(),
            draining=not self.ready(),
        )


def _scope_of(config: SiteConfig, job: JobSpec) -> str:
    """Return the scope of a job's failure domain, else one by its id."""
    domain = job.shape.failure_domain
    if domain is not None:
        scope = config.scope_of(domain)
        if scope is not None:
            return scope
    scopes = config.scopes
    return scopes[int(job.job_id, 16) % len(scopes)]


@contextmanager
def open_entry(
    setup: EntrySetup, table: TableService, codec: MessageCodec, clock: Clock
) -> Iterator[Entry]:
    """Run an entry instance while the block runs.

    Parameters
    ----------
    setup : EntrySetup
        Start-up parameters.
    table : TableService
        The platform's table service.
    codec : MessageCodec
        Encodes and encrypts messages with the site's keys.
    clock : Clock
        Source of time.
    """
    with ExitStack() as stack:
        metrics = stack.enter_context(metrics_of("entry", setup.entry_id))
        watcher = ConfigWatcher(table, clock)
        link = stack.enter_context(
            open_link(
                setup.host, setup.link_port, codec, clock, watcher.number
            )
        )
        link.on_revision = watcher.observe
        entry = Entry(setup, link, table, clock, watcher, metrics)
        _start_tasks(entry, stack)
        entry.url = stack.enter_context(
            serving_http(
                entry.application, setup.host, setup.http_port, setup.limits
            )
        )
        row = EntryRow(setup.entry_id, link.address, entry.url)
        stack.enter_context(registered(table, row, entry.update_entries))
        yield entry


def _start_tasks(entry: Entry, stack: ExitStack) -> None:
    link = entry.link
    clock = entry.clock
    directory_mailbox = Mailbox("directory")
    link.subscribe(Announce, directory_mailbox.deliver)
    link.subscribe(Beat, directory_mailbox.deliver)
    link.subscribe(EntryHello, directory_mailbox.deliver)
    link.subscribe(JobHint, entry.receive_job_hint)
    link.subscribe(TaskEnded, entry.decider_mailbox.deliver)
    entry.directory.listeners.append(_DeciderNotifier(entry.decider_mailbox))
    stack.enter_context(
        running_task(entry.directory, directory_mailbox, clock)
    )
    stack.enter_context(
        running_task(entry.decider, entry.decider_mailbox, clock)
    )
    stack.enter_context(running_watcher(entry.watcher))
    stack.enter_context(enforcing_deadlines(entry.gatekeeper))
    stack.enter_context(
        leader_election(
            entry.lease_keeper,
            entry.decider_mailbox,
            clock,
            entry.takeover_delay_s,
            lambda: not entry.crashed,
        )
    )

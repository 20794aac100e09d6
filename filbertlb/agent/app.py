"""The agent process of a runner or a worker."""

from __future__ import annotations

import secrets
from contextlib import contextmanager
from contextlib import ExitStack
from random import Random
from typing import TYPE_CHECKING

import attrs
from gevent import sleep
from loguru import logger

from filbertlb.agent.announcer import AnnouncerTask
from filbertlb.agent.book import ReservationBook
from filbertlb.agent.runner import DrainNow
from filbertlb.agent.runner import RunnerAgent
from filbertlb.agent.slot_records import SlotLimits
from filbertlb.agent.slots import SlotBook
from filbertlb.agent.worker import WorkerAgent
from filbertlb.core.membership_times import MembershipTimes
from filbertlb.core.model import Resources
from filbertlb.core.refusals import StaleIncarnationError
from filbertlb.entry.registry import look_up_entries
from filbertlb.errors import FilbertlbError
from filbertlb.messages import Announce
from filbertlb.messages import AnnounceAck
from filbertlb.messages import Drain
from filbertlb.messages import Refused
from filbertlb.messages import Role
from filbertlb.tasks import Mailbox
from filbertlb.tasks import running_task
from filbertlb.transport.link import open_link

if TYPE_CHECKING:
    from collections.abc import Iterator

    from filbertlb.backend.base import RunnerBackend
    from filbertlb.backend.base import WorkerBackend
    from filbertlb.core.announcing import Announcer
    from filbertlb.core.clock import Clock
    from filbertlb.table.base import TableService
    from filbertlb.transport.codec import Envelope
    from filbertlb.transport.codec import MessageCodec
    from filbertlb.transport.link import Link

INCARNATION_BYTES = 6
MAX_RUN_S = 300.0
ADOPT_RETRY_S = 1.0


@attrs.frozen
class AgentSetup:
    """Settings with which an agent starts.

    Parameters
    ----------
    host : str
        IP address to listen on.
    link_port : int
        Port for connections from other processes of the system; 0 lets
        the operating system choose.
    slots : int
        Requests that a runner processes concurrently.
    capacity : Resources
        Resources of a worker.
    usage_lag_s : float
        Maximum age of a worker's report of its running tasks, in
        seconds; the agent waits for this long before it reads the
        report.
    """

    endpoint_id: str
    host: str
    region: str
    failure_domain: str
    rack: str
    link_port: int = 0
    slots: int = 8
    capacity: Resources = Resources()
    usage_lag_s: float = 0.0


class Agent:
    """A running agent.

    Parameters
    ----------
    setup : AgentSetup
        Settings of the agent.
    role : Role
        Kind of endpoint.
    link : Link
        Link of this process.
    """

    def __init__(self, setup: AgentSetup, role: Role, link: Link) -> None:
        self.setup = setup
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.slot_book = SlotBook(
            self.incarnation, SlotLimits(slots=setup.slots)
        )
        self.task_book = ReservationBook(self.incarnation, setup.capacity)
        self.mailbox = Mailbox(setup.endpoint_id)
        self.revision = 0
        self.announcer: Announcer | None = None
        self._role = role
        self._link = link
        link.subscribe(Drain, self.handle_drain)

    def drain(self) -> None:
        """Start draining: refuse all new work."""
        self.mailbox.post(DrainNow())

    def handle_drain(self, envelope: Envelope) -> None:
        """Start draining if the command names this incarnation."""
        command = envelope.message
        expected = Drain(self.setup.endpoint_id, self.incarnation)
        if command != expected:
            refusal = Refused(
                StaleIncarnationError.code,
                f"drain command for {command.endpoint_id!r} with incarnation "
                f"{command.incarnation!r} reached "
                f"{expected.endpoint_id!r} with incarnation "
                f"{expected.incarnation!r}; list the endpoints again",
            )
            self._link.reply(envelope, refusal)
            return
        self.drain()
        self._link.reply(envelope, command)

    def observe_revision(self, number: int) -> None:
        """Record the highest configuration revision of any message."""
        self.revision = max(self.revision, number)

    def idle(self) -> bool:
        """Return whether the agent may exit.

        It may once no work is left to end or to report and every entry
        has acknowledged that the endpoint is draining.
        """
        announcer = self.announcer
        is_drain_known = announcer is None or announcer.is_drain_acknowledged()
        is_empty = self.slot_book.idle and not self.task_book.statuses()
        return is_drain_known and is_empty

    def describe(self, sequence: int) -> Announce:
        """Return the current announcement."""
        setup = self.setup
        return Announce(
            endpoint_id=setup.endpoint_id,
            incarnation=self.incarnation,
            role=self._role,
            address=self._link.address,
            region=setup.region,
            failure_domain=setup.failure_domain,
            rack=setup.rack,
            sequence=sequence,
            capacity=setup.capacity,
            slots=setup.slots if self._role == Role.RUNNER else 0,
            in_flight=self.slot_book.in_flight,
            draining=self.slot_book.draining or self.task_book.draining,
            revision=self.revision,
            tasks=self.task_book.statuses(),
        )


@contextmanager
def open_runner_agent(
    setup: AgentSetup,
    backend: RunnerBackend,
    table: TableService,
    codec: MessageCodec,
    clock: Clock,
) -> Iterator[Agent]:
    """Run the agent of a runner for the duration of the block."""
    with ExitStack() as stack:
        link = stack.enter_context(
            open_link(setup.host, setup.link_port, codec, clock)
        )
        agent = Agent(setup, Role.RUNNER, link)
        link.on_revision = agent.observe_revision
        behaviour = RunnerAgent(
            link,
            agent.slot_book,
            backend,
            agent.mailbox,
            MAX_RUN_S,
            lambda: agent.revision,
        )
        stack.enter_context(running_task(behaviour, agent.mailbox, clock))
        stack.enter_context(_running_announcer(agent, link, table, clock))
        yield agent


@contextmanager
def open_worker_agent(
    setup: AgentSetup,
    backend: WorkerBackend,
    table: TableService,
    codec: MessageCodec,
    clock: Clock,
) -> Iterator[Agent]:
    """Run the agent of a worker for the duration of the block.

    The agent announces itself only after its worker has answered.
    """
    with ExitStack() as stack:
        link = stack.enter_context(
            open_link(setup.host, setup.link_port, codec, clock)
        )
        agent = Agent(setup, Role.WORKER, link)
        link.on_revision = agent.observe_revision
        behaviour = WorkerAgent(
            link,
            agent.task_book,
            backend,
            agent.mailbox,
            clock,
            lambda: agent.revision,
        )
        # A report made before this agent started may lack a task that
        # the previous agent process started last.
        sleep(setup.usage_lag_s)
        _adopt_running_tasks(behaviour)
        stack.enter_context(running_task(behaviour, agent.mailbox, clock))
        stack.enter_context(_running_announcer(agent, link, table, clock))
        yield agent


def _adopt_running_tasks(behaviour: WorkerAgent) -> None:
    """Adopt the worker's tasks; retry until the worker answers."""
    while True:
        try:
            return behaviour.adopt_running()
        except FilbertlbError as error:
            logger.warning(
                "worker does not answer, retrying: {}", error.message
            )
            sleep(ADOPT_RETRY_S)


@contextmanager
def _running_announcer(
    agent: Agent, link: Link, table: TableService, clock: Clock
) -> Iterator[None]:
    def look_up() -> tuple[str, ...]:
        return tuple(row.address for row in look_up_entries(table))

    announcer = AnnouncerTask(
        link,
        agent.describe,
        look_up,
        MembershipTimes(),
        Random(agent.incarnation),
    )
    agent.announcer = announcer.schedule
    mailbox = Mailbox("announcer")
    link.subscribe(AnnounceAck, mailbox.deliver)
    with running_task(announcer, mailbox, clock):
        yield

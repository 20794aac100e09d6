"""Leases of an agent that is paused, cut off or beside a worker that restarts.

The platform's worker is the stand-in, called without a network.
"""

from __future__ import annotations

from contextlib import contextmanager
from io import BytesIO

import attrs
import msgspec
import pytest
from gevent import sleep

from filbertlb.batch.agent import Agent
from filbertlb.batch.model import orders_key
from filbertlb.batch.model import ReportMark
from filbertlb.batch.model import WORKER_PREFIX
from filbertlb.batch.model import WorkerReport
from filbertlb.batch.testing import an_order
from filbertlb.batch.testing import some_orders
from filbertlb.batch.worker_clock import WorkerClock
from filbertlb.batch.worker_link import LEASE_S
from filbertlb.batch.workers import CONTACT_LOST_S
from filbertlb.batch.workers import DEAD_AFTER_S
from filbertlb.core.clock import VirtualClock
from filbertlb.httpcall import Reply
from filbertlb.platform.runner import PlatformWorkerClient
from filbertlb.platform.wire import decode_heartbeat
from filbertlb.standin.leased_worker import LeasedWorker
from filbertlb.table.base import TableUnavailableError
from filbertlb.table.base import Write
from filbertlb.table.memory import MemoryTable
from filbertlb.table.rows import decode_row
from filbertlb.table.rows import encode_value
from tests.batch.test_agent import running

DEADLINE_S = 30.0


@attrs.define
class DirectCaller:
    """Calls a worker in this process.

    Attributes
    ----------
    bodies : list of dict
        What was sent.
    """

    worker: LeasedWorker
    bodies: list = attrs.Factory(list)

    def post(self, path, body, timeout_s, headers):
        sleep(0.01)
        self.bodies.append(msgspec.json.decode(body))
        environ = {
            "HTTP_X_EXPECT_INSTANCE": headers["X-Expect-Instance"],
            "PATH_INFO": path,
            "wsgi.input": BytesIO(body),
        }
        reply = self.worker.handle(environ)
        content = msgspec.json.encode(reply.body)
        return Reply(reply.status, content, "application/json")


def a_client(worker, clock):
    client = PlatformWorkerClient("127.0.0.1:1", clock)
    client._caller = DirectCaller(worker)
    return client


def announce(worker, client, agent=None):
    body = msgspec.json.encode(worker.heartbeat("render"))
    heartbeat = decode_heartbeat(worker.instance_id, body)
    client.on_heartbeat(heartbeat)
    if agent is not None:
        agent.update_worker(heartbeat.worker)


@attrs.define
class PausedLink:
    """Link of a process that is paused as it sends a call."""

    link: PlatformWorkerClient
    clock: VirtualClock
    kind: str
    pause_s: float = 0.0
    listings: int = 0

    def _pause(self, kind):
        if kind == self.kind:
            self.clock.advance(self.pause_s)
            self.pause_s = 0.0

    def start(self, *args):
        self._pause("start")
        return self.link.start(*args)

    def stop(self, *args):
        return self.link.stop(*args)

    def list_runs(self, *args):
        self._pause("list_runs")
        listing = self.link.list_runs(*args)
        self.listings += 1
        return listing


@attrs.define
class ProtectedTable(MemoryTable):
    """Table that can refuse the reports of an agent."""

    refuses: bool = False

    def commit(self, writes):
        if self.refuses:
            raise TableUnavailableError("429")
        return MemoryTable.commit(self, writes)


def put_orders(table, *orders, sequence=0):
    """Order runs as a decider that has read a report of the agent."""
    row = MemoryTable.get(table, f"{WORKER_PREFIX}n")
    registration = decode_row(row, WorkerReport).registration
    row = attrs.evolve(
        some_orders(*orders), confirmed=ReportMark(registration, sequence)
    )
    write = Write(orders_key("n"), encode_value(row))
    MemoryTable.commit(table, [write])


def await_report(table, found):
    while True:
        sleep(0.01)
        row = table.get(f"{WORKER_PREFIX}n")
        if row is not None and found(decode_row(row, WorkerReport)):
            return decode_row(row, WorkerReport)


def pass_time(clock, link, seconds):
    """Let time pass while the worker is called."""
    while seconds > 0:
        clock.advance(min(1.0, seconds))
        seconds -= 1.0
        listings = link.listings + 2
        while link.listings < listings:
            sleep(0.01)


@pytest.mark.parametrize("kind", ["start", "list_runs"])
@pytest.mark.parametrize("pause_s", [1.0, 4.0, 12.0])
def test_agent_that_was_paused_before_a_call_sent_too_late_a_lease(
    kind, pause_s
):
    # The end of the lease was taken from the clock after the pause.
    table, clock = ProtectedTable(), VirtualClock(100.0)
    worker = LeasedWorker("i", clock)
    client = a_client(worker, clock)
    link = PausedLink(client, clock, kind)
    agent = Agent(table, link, clock, "n")
    with running(agent):
        announce(worker, client, agent)
        await_report(table, lambda report: report.answers)
        table.refuses = True
        contact_s = clock.monotonic()
        pass_time(clock, link, CONTACT_LOST_S - 0.5)
        announce(worker, client, agent)
        link.pause_s = pause_s
        put_orders(table, an_order("j.0.0.0", incarnation="i@1"))
        while link.pause_s:
            sleep(0.01)
        listings = link.listings + 2
        while link.listings < listings:
            sleep(0.01)
    latest_s = contact_s + CONTACT_LOST_S + LEASE_S
    assert worker.lease_end_ms <= 1000 * latest_s


def answers_late(client, former, worker, clock):
    announce(worker, client)
    client._caller = DirectCaller(former)
    client.list_runs("i@1", 1, 0, clock.monotonic() + LEASE_S, 0.0)


def is_heard_late(client, former, worker, clock):
    announce(worker, client)
    announce(former, client)


def has_answered(client, former, worker, clock):
    client._caller = DirectCaller(former)
    client.list_runs("i@1", 1, 0, clock.monotonic() + LEASE_S, 0.0)


def starts_a_run(client, former, worker, clock):
    announce(worker, client)
    client._caller = DirectCaller(former)
    client.start(
        an_order("j.0.0.0", incarnation="i@1"),
        *("", 1, clock.monotonic() + LEASE_S),
    )


@pytest.mark.parametrize(
    "what_happens",
    [answers_late, is_heard_late, has_answered, starts_a_run],
)
def test_lease_was_sent_by_the_clock_of_an_earlier_incarnation(what_happens):
    # It ended as late as the worker grants, counted from a late call.
    clock = VirtualClock(500.0)
    former = LeasedWorker("i", clock)
    worker = LeasedWorker("i", VirtualClock(3.0), born_ms=2)
    client = a_client(former, clock)
    announce(former, client)
    what_happens(client, former, worker, clock)
    caller = client._caller = DirectCaller(worker)
    lease_end_s = clock.monotonic() + LEASE_S
    client.list_runs("i@2", 1, 0, lease_end_s, 0.0)
    order = an_order("j.0.0.0", incarnation="i@2")
    client.start(order, "", 1, lease_end_s)
    latest_ms = 1000 * (worker.clock.monotonic() + LEASE_S)
    assert max(body.get("deadlineMs", 0) for body in caller.bodies) <= (
        latest_ms
    )


@pytest.mark.parametrize("rate", [0.98, 0.99, 1.0, 1.02])
@pytest.mark.parametrize("age_s", [0.0, 1.0, 30.0])
def test_lease_lasted_longer_than_sent_on_a_slow_clock(rate, age_s):
    reading = WorkerClock("i@1", 500_000, read_s=100.0)
    end_s = 100.0 + age_s + LEASE_S
    deadline_ms = reading.deadline_ms(end_s)
    shown_ms = 500_000 + 1000 * rate * (end_s - 100.0)
    assert deadline_ms <= shown_ms
    assert shown_ms - deadline_ms <= 1000 * 0.04 * (age_s + LEASE_S) + 1


def test_run_was_given_up_before_its_last_lease_had_ended():
    # Also if the agent's clock and the decider's differ by two percent.
    assert DEAD_AFTER_S >= 1.02 * (CONTACT_LOST_S + LEASE_S)


@contextmanager
def agent_that_was_cut_off(table, clock, silent_s):
    """Run an agent that reads an old order as it is back in contact."""
    worker = LeasedWorker("i", clock)
    client = a_client(worker, clock)
    agent = Agent(table, client, clock, "n")
    with running(agent):
        announce(worker, client, agent)
        last = await_report(table, lambda report: report.answers).sequence
        table.faults.down = True
        clock.advance(silent_s)
        announce(worker, client, agent)
        table.faults.down = False
        await_report(table, lambda report: report.sequence > last)
        put_orders(table, an_order("j.0.0.0", incarnation="i@1"))
        yield agent, worker


def test_order_that_was_given_up_was_begun_by_an_agent_back_in_contact():
    # The decider that gave it up had not seen yet that the agent was back.
    table, clock = MemoryTable(), VirtualClock(100.0)
    with agent_that_was_cut_off(table, clock, 14.7) as (agent, worker):
        report = await_report(table, lambda report: report.awaited_sequence)
        sleep(0.5)
        assert worker.starts == []
        put_orders(
            table,
            an_order("j.0.0.0", incarnation="i@1"),
            sequence=report.awaited_sequence,
        )
        while not worker.starts:
            sleep(0.01)


def test_order_of_before_a_short_silence_starts_without_a_confirmation():
    table, clock = MemoryTable(), VirtualClock(100.0)
    with agent_that_was_cut_off(table, clock, 5.0) as (agent, worker):
        while not worker.starts:
            sleep(0.01)

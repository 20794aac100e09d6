"""The agent's tasks beside a worker link that fails."""

from __future__ import annotations

from contextlib import contextmanager

import attrs
import pytest
from gevent import sleep
from gevent import spawn
from gevent import Timeout

from filbertlb.batch.agent import Agent
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import orders_key
from filbertlb.batch.model import Run
from filbertlb.batch.model import WORKER_PREFIX
from filbertlb.batch.model import WorkerReport
from filbertlb.batch.testing import a_worker
from filbertlb.batch.testing import an_order
from filbertlb.batch.testing import some_orders
from filbertlb.batch.worker_link import RunListing
from filbertlb.batch.worker_link import StartResult
from filbertlb.batch.worker_link import WorkerDownError
from filbertlb.core.clock import SystemClock
from filbertlb.core.clock import VirtualClock
from filbertlb.table.base import Write
from filbertlb.table.memory import MemoryTable
from filbertlb.table.rows import decode_row
from filbertlb.table.rows import encode_value

DEADLINE_S = 30.0


@attrs.define
class FailingLink:
    """Worker link whose first call of a kind raises an unexpected error."""

    failing: str
    calls: list = attrs.Factory(list)
    running: tuple = ()

    def start(self, order, payload, fence, extend_lease):
        self._call("start")
        self.running = (Run(order.task, order.attempt),)
        return StartResult.STARTED

    def stop(self, task, attempt, fence):
        self._call("stop")
        return True

    def list_runs(self, fence, acked_number, extend_lease, wait_s):
        sleep(0.01)
        return RunListing(self.running, (), ends_complete=True)

    def _call(self, kind):
        self.calls.append(kind)
        if kind == self.failing and self.calls.count(kind) == 1:
            raise RuntimeError("unexpected")


def put_orders(table, *orders):
    value = encode_value(some_orders(*orders))
    table.commit([Write(orders_key("n"), value)])


@pytest.mark.parametrize("failing", ["start", "stop"])
def test_call_that_fails_unexpectedly_is_made_again(failing):
    table, link = MemoryTable(), FailingLink(failing)
    agent = Agent(table, link, SystemClock(), "n")
    agent.update_worker(a_worker())
    order = an_order("j.0.0.0")
    put_orders(table, order)
    running = spawn(agent.run)
    try:
        with Timeout(DEADLINE_S):
            while "start" not in link.calls:
                sleep(0.01)
            if failing == "stop":
                put_orders(table, attrs.evolve(order, stop=True))
            while link.calls.count(failing) < 2:
                sleep(0.01)
    finally:
        running.kill()


@attrs.define
class CrashingLink:
    """Worker link whose worker crashes as soon as it starts a run."""

    down: bool = False

    def start(self, order, payload, fence, extend_lease):
        self.down = True
        return StartResult.STARTED

    def stop(self, task, attempt, fence):
        return False

    def list_runs(self, fence, acked_number, extend_lease, wait_s):
        sleep(0.01)
        if self.down:
            raise WorkerDownError("no connection")
        return RunListing((), (), ends_complete=True)


def await_report(table, holds):
    """Return the first report of the agent for which ``holds`` is true."""
    with Timeout(DEADLINE_S):
        while True:
            row = table.get(WORKER_PREFIX + "n")
            if row is not None and holds(decode_row(row, WorkerReport)):
                return decode_row(row, WorkerReport)
            sleep(0.01)


@contextmanager
def agent_beside(link, table, clock=None):
    """Run an agent with one order until the end of the block."""
    agent = Agent(table, link, clock or SystemClock(), "n")
    agent.update_worker(a_worker())
    put_orders(table, an_order("j.0.0.0"))
    running = spawn(agent.run)
    try:
        yield agent
    finally:
        running.kill()


def test_crash_of_the_worker_at_a_start_is_reported():
    table, link = MemoryTable(), CrashingLink()
    with agent_beside(link, table) as agent:
        await_report(table, lambda report: link.down and not report.answers)
        agent.update_worker(a_worker(incarnation="w@2"))
        (end,) = await_report(table, lambda report: report.ended).ended
    assert end.cause is EndCause.LOST
    assert end.crashed_after_ms is not None


def test_worker_that_has_crashed_is_offered_work():
    # The clock of the agent stands, so no time without an answer passes.
    table, link, clock = MemoryTable(), CrashingLink(), VirtualClock()
    with agent_beside(link, table, clock):
        await_report(table, lambda report: link.down and not report.answers)

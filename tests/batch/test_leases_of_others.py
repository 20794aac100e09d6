"""Leases that a worker grants by calls meant for another incarnation."""

from __future__ import annotations

import attrs
import pytest
from gevent import sleep
from gevent import spawn

from filbertlb.batch import agent as agent_module
from filbertlb.batch.agent import Agent
from filbertlb.batch.model import WORKER_PREFIX
from filbertlb.batch.model import WorkerReport
from filbertlb.batch.testing import a_worker
from filbertlb.batch.testing import an_order
from filbertlb.batch.worker_link import LEASE_S
from filbertlb.batch.worker_link import MAX_LEASE_S
from filbertlb.batch.worker_link import RunListing
from filbertlb.batch.worker_link import StartResult
from filbertlb.core.clock import SystemClock
from filbertlb.core.clock import VirtualClock
from filbertlb.table.base import ABSENT
from filbertlb.table.base import Write
from filbertlb.table.memory import MemoryTable
from filbertlb.table.rows import encode_value
from tests.batch.test_agent import await_report
from tests.batch.test_agent import FailingLink
from tests.batch.test_agent import put_orders
from tests.batch.test_agent import running

LATER, EARLIER = (a_worker(incarnation=f"w@{born}") for born in (2, 1))


@attrs.define
class CuttingLink(FailingLink):
    """Worker link of an incarnation that cuts leases meant for others.

    Attributes
    ----------
    meant_for : list of str
        Incarnations that its listings were meant for.
    cut : list of str
        Those of them that extended a lease, which means nothing to it.
    """

    meant_for: list = attrs.Factory(list)
    cut: list = attrs.Factory(list)

    def list_runs(self, incarnation, fence, acked_number, lease_end_s, wait_s):
        sleep(0.01)
        self.meant_for.append(incarnation)
        if incarnation != LATER.incarnation and lease_end_s is not None:
            self.cut.append(incarnation)
        return RunListing((), (), True, LATER.incarnation)


@pytest.mark.parametrize(
    "heard", [(EARLIER,), (LATER, EARLIER)], ids=["first", "after silence"]
)
def test_heartbeat_that_came_late_extended_runs_of_the_next_incarnation(heard):
    # They have begun, and live on for the longest lease of the worker.
    link = CuttingLink("")
    table = MemoryTable()
    agent = Agent(table, link, SystemClock(), "n")
    with running(agent):
        await_report(table, lambda report: True)
        for worker in heard:
            agent.update_worker(worker)
            while worker.incarnation not in link.meant_for:
                sleep(0.01)
        before = len(link.meant_for)
        while len(link.meant_for) < before + 2:
            sleep(0.01)
    assert link.cut == []


@pytest.mark.parametrize(
    "value",
    [encode_value(WorkerReport("n", "before")), b"unreadable"],
    ids=["readable", "unreadable"],
)
def test_process_behind_an_unreadable_report_was_taken_for_the_first(value):
    # Calls of the process before may reach the next incarnation late.
    table, link = MemoryTable(), FailingLink("")
    table.commit([Write(f"{WORKER_PREFIX}n", value, ABSENT)])
    clock = SystemClock()
    agent = Agent(table, link, clock, "n")
    agent.update_worker(a_worker())
    with running(agent):
        await_report(table, lambda report: report.answers)
        lease_left_s = agent._reconciler.lease_left_s(clock.monotonic())
    assert LEASE_S < lease_left_s <= MAX_LEASE_S * 1.03


@attrs.define
class DatedLink(FailingLink):
    """Worker link that records how long the leases of starts last.

    Attributes
    ----------
    left_s : list of float
        Times left of these leases as the starts are sent.
    """

    clock: VirtualClock = attrs.Factory(VirtualClock)
    left_s: list = attrs.Factory(list)

    def start(self, order, payload, fence, lease_end_s):
        self.left_s.append(lease_end_s - self.clock.monotonic())
        return StartResult.STARTED


@pytest.mark.parametrize("pause_s", [0.0, 2.0, LEASE_S, 3 * LEASE_S])
def test_start_was_sent_after_a_pause_to_whichever_incarnation_was_there(
    monkeypatch, pause_s
):
    # The next one has another clock, and does not refuse it as late.
    link, table = DatedLink(""), MemoryTable()
    agent = Agent(table, link, link.clock, "n")
    agent.update_worker(a_worker())
    paused = []

    def spawn_after_pause(function, *arguments):
        if function == agent._start:
            paused.append(pause_s)
            link.clock.advance(pause_s)
        return spawn(function, *arguments)

    monkeypatch.setattr(agent_module, "spawn", spawn_after_pause)
    with running(agent):
        put_orders(table, an_order("j.0.0.0"))
        while not paused:
            sleep(0.01)
        sleep(0.1)
    assert all(left_s > 0 for left_s in link.left_s)

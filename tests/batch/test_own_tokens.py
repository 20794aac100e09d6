"""Tokens that an agent raises itself beside the calls that it has sent."""

from __future__ import annotations

from collections.abc import Callable

import attrs
from gevent import sleep
from gevent.event import Event

from filbertlb.batch.agent import Agent
from filbertlb.batch.model import Run
from filbertlb.batch.report_row import FENCES_PER_REGISTRATION
from filbertlb.batch.testing import a_worker
from filbertlb.batch.testing import an_order
from filbertlb.batch.worker_link import RunListing
from filbertlb.batch.worker_link import StartResult
from filbertlb.core.clock import SystemClock
from filbertlb.table.memory import MemoryTable
from tests.batch.test_agent import await_report
from tests.batch.test_agent import FailingLink
from tests.batch.test_agent import put_orders
from tests.batch.test_agent import running
from tests.batch.test_agent import TokenLink


@attrs.define
class OvertakenLink(FailingLink):
    """Worker link whose first start is carried out as the second is sent.

    The second comes after a listing with a newer token.

    Attributes
    ----------
    raise_token : callable
        Lets the agent raise its token.
    fence, late_fence : int
        Highest token that the worker has seen, and that of the second start.
    replied : Event
        Set when the second start has its reply.
    """

    raise_token: Callable | None = None
    fence: int = 0
    late_fence: int = 0
    replied: Event = attrs.Factory(Event)

    def start(self, order, payload, fence, lease_end_s):
        self._call("start")
        if len(self.calls) == 1:
            return StartResult.UNKNOWN
        if len(self.calls) > 2:
            return StartResult.STARTED
        self.running = (Run(order.task, order.attempt),)
        self.late_fence = fence
        self.raise_token()
        while self.fence <= fence:
            sleep(0.01)
        self.replied.set()
        return StartResult.FENCED

    def list_runs(self, incarnation, fence, acked_number, lease_end_s, wait_s):
        sleep(0.01)
        self.fence = max(self.fence, fence)
        if 0 < self.late_fence < fence:
            # The worker waits for an end, as the caller asked.
            self.replied.wait()
            sleep(0.1)
        return RunListing(self.running, (), True, incarnation)


def test_run_was_lost_by_a_fenced_start_though_one_before_was_unanswered():
    # The next attempt is ordered elsewhere while this one runs.
    table, link = MemoryTable(), OvertakenLink("")
    agent = Agent(table, link, SystemClock(), "n")
    agent.update_worker(a_worker())

    def hear_an_earlier_incarnation_late():
        agent.update_worker(a_worker(incarnation="w@0"))
        agent.update_worker(a_worker())

    link.raise_token = hear_an_earlier_incarnation_late
    with running(agent):
        await_report(table, lambda report: report.answers)
        put_orders(table, an_order("j.0.0.0"))
        report = await_report(
            table, lambda report: report.ended or report.running
        )
    assert [end.cause for end in report.ended] == []
    assert link.running == (Run("j.0.0.0", 1),)


def test_late_calls_were_accepted_once_the_tokens_of_a_process_ran_out():
    table, link = MemoryTable(), TokenLink("")
    agent = Agent(table, link, SystemClock(), "n")
    agent.update_worker(a_worker())
    with running(agent):
        await_report(table, lambda report: report.answers)
        for number in range(FENCES_PER_REGISTRATION):
            agent.update_worker(a_worker(incarnation=f"w@{number + 2}"))
        before = len(link.fences)
        while len(link.fences) < before + 2:
            sleep(0.01)
        agent.update_worker(a_worker(incarnation="w@5000"))
        after = len(link.fences)
        while len(link.fences) < after + 2:
            sleep(0.01)
    assert link.fences[after + 1] > link.fences[before + 1]


@attrs.define
class ReplacedLink(FailingLink):
    """Worker link behind which the next incarnation answers.

    Attributes
    ----------
    lease_ends_s : list of float or None
        Leases sent with the listings.
    """

    lease_ends_s: list = attrs.Factory(list)

    def list_runs(self, incarnation, fence, acked_number, lease_end_s, wait_s):
        self.lease_ends_s.append(lease_end_s)
        sleep(0.01)
        answered = "w@2" if len(self.lease_ends_s) > 1 else incarnation
        return RunListing((), (), True, answered)


def test_lease_was_sent_to_an_incarnation_that_was_not_announced():
    # It would have taken the end for a time on its own clock.
    table, link = MemoryTable(), ReplacedLink("")
    agent = Agent(table, link, SystemClock(), "n")
    agent.update_worker(a_worker())
    with running(agent):
        while len(link.lease_ends_s) < 4:
            sleep(0.01)
    assert link.lease_ends_s[2:] == [None, None]

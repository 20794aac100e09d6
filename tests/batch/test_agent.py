"""The agent's tasks beside a worker link that fails."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import contextmanager

import attrs
import pytest
from gevent import sleep
from gevent import spawn
from gevent import Timeout
from gevent.event import Event

from filbertlb.batch.agent import Agent
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import Order
from filbertlb.batch.model import orders_key
from filbertlb.batch.model import Run
from filbertlb.batch.model import RunEnd
from filbertlb.batch.model import WORKER_PREFIX
from filbertlb.batch.model import WorkerReport
from filbertlb.batch.reconciler import WorkerReconciler
from filbertlb.batch.testing import a_worker
from filbertlb.batch.testing import an_order
from filbertlb.batch.testing import CAPACITY
from filbertlb.batch.testing import some_orders
from filbertlb.batch.worker_link import ListedEnd
from filbertlb.batch.worker_link import RunListing
from filbertlb.batch.worker_link import StartResult
from filbertlb.batch.worker_link import WorkerDownError
from filbertlb.batch.worker_link import WorkerSilentError
from filbertlb.batch.worker_presence import HEARTBEAT_PERIOD_S
from filbertlb.batch.worker_presence import MAX_HEARTBEAT_PERIODS
from filbertlb.batch.workers import CONTACT_LOST_S
from filbertlb.core.clock import SystemClock
from filbertlb.core.clock import VirtualClock
from filbertlb.table.base import TableUnavailableError
from filbertlb.table.base import Write
from filbertlb.table.base import WriteOutcomeUnknownError
from filbertlb.table.memory import MemoryTable
from filbertlb.table.rows import decode_row
from filbertlb.table.rows import encode_value

DEADLINE_S = 30.0
MAX_ANNOUNCEMENT_AGE_S = MAX_HEARTBEAT_PERIODS * HEARTBEAT_PERIOD_S


@attrs.define
class FailingLink:
    """Worker link whose first call of a kind raises an unexpected error."""

    failing: str
    calls: list = attrs.Factory(list)
    running: tuple = ()

    def start(self, order, payload, fence, lease_end_s):
        self._call("start")
        self.running = (Run(order.task, order.attempt),)
        return StartResult.STARTED

    def stop(self, task, attempt, fence):
        self._call("stop")
        return True

    def list_runs(self, incarnation, fence, acked_number, lease_end_s, wait_s):
        sleep(0.01)
        return RunListing(self.running, (), ends_complete=True)

    def _call(self, kind):
        self.calls.append(kind)
        if kind == self.failing and self.calls.count(kind) == 1:
            raise RuntimeError("unexpected")


@contextmanager
def running(agent):
    greenlet = spawn(agent.run)
    try:
        with Timeout(DEADLINE_S):
            yield
    finally:
        greenlet.kill()


def put_orders(table, *orders):
    """Order runs as a decider that has read the agent's registration."""
    while table.get(f"{WORKER_PREFIX}n") is None:
        sleep(0.01)
    report = decode_row(table.get(f"{WORKER_PREFIX}n"), WorkerReport)
    row = some_orders(*orders, registration=report.registration)
    table.commit([Write(orders_key("n"), encode_value(row))])


@pytest.mark.parametrize("failing", ["start", "stop"])
def test_call_that_fails_unexpectedly_is_made_again(failing):
    table, link = MemoryTable(), FailingLink(failing)
    agent = Agent(table, link, SystemClock(), "n")
    agent.update_worker(a_worker())
    order = an_order("j.0.0.0")
    with running(agent):
        put_orders(table, order)
        while "start" not in link.calls:
            sleep(0.01)
            agent.update_worker(a_worker())
        if failing == "stop":
            put_orders(table, attrs.evolve(order, stop=True))
        while link.calls.count(failing) < 2:
            sleep(0.01)
            agent.update_worker(a_worker())


@attrs.define
class CrashingLink:
    """Worker link whose worker crashes as soon as it starts a run."""

    down: bool = False

    def start(self, order, payload, fence, lease_end_s):
        self.down = True
        return StartResult.STARTED

    def stop(self, task, attempt, fence):
        return False

    def list_runs(self, incarnation, fence, acked_number, lease_end_s, wait_s):
        sleep(0.01)
        if self.down:
            raise WorkerDownError("no connection")
        return RunListing((), (), ends_complete=True)


def await_report(table, found):
    """Return the first report of the agent for which ``found`` is true."""
    while True:
        sleep(0.01)
        row = table.get(f"{WORKER_PREFIX}n")
        if row is not None and found(decode_row(row, WorkerReport)):
            return decode_row(row, WorkerReport)


@contextmanager
def agent_beside_crash(table, clock):
    """Run an agent whose worker is reported as down after a start."""
    agent = Agent(table, CrashingLink(), clock, "n")
    agent.update_worker(a_worker())
    with running(agent):
        await_report(table, lambda report: report.answers)
        put_orders(table, an_order("j.0.0.0"))
        await_report(table, lambda report: not report.answers)
        yield agent


def test_crash_of_the_worker_at_a_start_is_reported():
    table = MemoryTable()
    with agent_beside_crash(table, SystemClock()) as agent:
        agent.update_worker(a_worker(incarnation="w@2"))
        (end,) = await_report(table, lambda report: report.ended).ended
    assert end.cause is EndCause.LOST
    assert end.crashed_after_ms is not None


def test_worker_that_has_crashed_is_offered_work():
    # The clock of the agent stands, so no time without an answer passes.
    table = MemoryTable()
    with agent_beside_crash(table, VirtualClock()):
        report = decode_row(table.get(f"{WORKER_PREFIX}n"), WorkerReport)
        assert not report.answers


def test_worker_that_stopped_announcing_itself_was_reported_as_usable():
    table, clock = MemoryTable(), VirtualClock()
    agent = Agent(table, FailingLink(""), clock, "n")
    with running(agent):
        agent.update_worker(a_worker())
        await_report(table, lambda report: report.answers)
        clock.advance(MAX_ANNOUNCEMENT_AGE_S + 0.1)
        await_report(table, lambda report: not report.answers)


def test_paused_agent_relied_on_an_announcement_from_before_the_pause():
    # After a pause, several announcements wait to be read, oldest first.
    table, clock, link = MemoryTable(), VirtualClock(), FailingLink("")
    agent = Agent(table, link, clock, "n")
    with running(agent):
        agent.update_worker(a_worker())
        await_report(table, lambda report: report.answers)
        put_orders(table, an_order("j.0.0.0", needs=CAPACITY))
        clock.advance(MAX_ANNOUNCEMENT_AGE_S + 0.1)
        for accelerators in (8, 8, 4):
            capacity = (accelerators, *CAPACITY[1:])
            agent.update_worker(a_worker(capacity=capacity))
            sleep(0.02)
        await_report(table, lambda report: report.ended)
    assert link.calls == []


@attrs.define
class ListingLink(FailingLink):
    """Worker link whose listings can fail or name another incarnation."""

    incarnation: str = ""

    def list_runs(self, incarnation, fence, acked_number, lease_end_s, wait_s):
        sleep(0.01)
        self._call("list")
        runs = () if self.incarnation else self.running
        return RunListing(runs, (), True, self.incarnation)


@attrs.define
class LeavingLink(FailingLink):
    """Worker link whose worker ends some time after it deregisters."""

    down: bool = False

    def list_runs(self, incarnation, fence, acked_number, lease_end_s, wait_s):
        self._call("list")
        if self.down:
            raise WorkerDownError("no connection")
        return FailingLink.list_runs(
            self, incarnation, fence, acked_number, lease_end_s, wait_s
        )


def test_agent_gave_up_the_runs_of_a_worker_that_deregistered_unanswered():
    table, clock, link = MemoryTable(), VirtualClock(), LeavingLink("")
    agent = Agent(table, link, clock, "n")
    agent.update_worker(a_worker())
    with running(agent):
        await_report(table, lambda report: report.answers)
        put_orders(table, an_order("j.0.0.0"))
        await_report(table, lambda report: report.running)
        agent.update_worker(a_worker(draining=True))
        agent.worker_deregistered()
        clock.advance(1.0)
        listings = link.calls.count("list") + 5
        while link.calls.count("list") < listings:
            sleep(0.01)
        report = decode_row(table.get(f"{WORKER_PREFIX}n"), WorkerReport)
        assert not report.ended
        link.down = True
        (end,) = await_report(table, lambda report: report.ended).ended
    assert end.cause is EndCause.LOST


def test_orders_end_if_the_worker_only_answers_under_another_incarnation():
    # Each answer was taken for the old worker's and extended its leases.
    table, clock, link = MemoryTable(), VirtualClock(), ListingLink("")
    agent = Agent(table, link, clock, "n")
    agent.update_worker(a_worker())
    with running(agent):
        await_report(table, lambda report: report.answers)
        put_orders(table, an_order("j.0.0.0"))
        await_report(table, lambda report: report.running)
        link.incarnation = "w@2"
        while not decode_row(
            table.get(f"{WORKER_PREFIX}n"), WorkerReport
        ).ended:
            clock.advance(0.05)
            sleep(0.01)


def test_agent_lists_runs_again_after_an_unexpected_error():
    # The listing task ended, and the worker got no work until a restart.
    link = ListingLink("list")
    agent = Agent(MemoryTable(), link, SystemClock(), "n")
    agent.update_worker(a_worker())
    with running(agent):
        while link.calls.count("list") < 2:
            sleep(0.01)


def test_agent_starts_runs_after_an_unexpected_error(monkeypatch):
    # The task that calls the worker ended, and the agent reported on.
    due_calls, errors = WorkerReconciler.due_calls, [KeyError("unexpected")]

    def fail_once(reconciler, *times):
        if errors and reconciler.orders is not None:
            raise errors.pop()
        return due_calls(reconciler, *times)

    monkeypatch.setattr(WorkerReconciler, "due_calls", fail_once)
    table, link = MemoryTable(), FailingLink("")
    agent = Agent(table, link, SystemClock(), "n")
    with running(agent):
        put_orders(table, an_order("j.0.0.0"))
        while "start" not in link.calls:
            agent.update_worker(a_worker())
            sleep(0.01)


class DefectiveTable(MemoryTable):
    """Table whose calls raise unexpected errors when they are due."""

    errors = 0

    def commit(self, writes):
        if self.errors:
            self.errors -= 1
            raise RuntimeError("unexpected")
        return super().commit(writes)


@pytest.mark.parametrize("registered", [False, True])
def test_agent_reports_again_after_an_unexpected_error(registered):
    # Its process lived on, but reported nothing and carried out no orders.
    table = DefectiveTable()
    table.errors = not registered
    agent = Agent(table, FailingLink(""), SystemClock(), "n")
    with running(agent):
        await_report(table, lambda report: True)
        table.errors = registered
        agent.update_worker(a_worker())
        await_report(table, lambda report: report.answers)


@attrs.define
class ForgottenTable(MemoryTable):
    """Table that answers the first write late, and refuses the others."""

    clock: VirtualClock = attrs.Factory(VirtualClock)
    written: bool = False

    def commit(self, writes):
        if self.written:
            raise TableUnavailableError("429")
        self.written = True
        MemoryTable.commit(self, writes)
        self.clock.advance(CONTACT_LOST_S)
        raise WriteOutcomeUnknownError("no answer")


@attrs.define
class RecordingLink(FailingLink):
    """Worker link that records which listings extend the lease."""

    extensions: list = attrs.Factory(list)

    def list_runs(self, incarnation, fence, acked_number, lease_end_s, wait_s):
        self.extensions.append(lease_end_s)
        return FailingLink.list_runs(
            self, incarnation, fence, acked_number, lease_end_s, wait_s
        )


def test_registration_counts_as_contact_from_when_it_was_written():
    # Leases were extended long after the last report that was stored.
    table, link = ForgottenTable(), RecordingLink("")
    agent = Agent(table, link, table.clock, "n")
    agent.update_worker(a_worker())
    with running(agent):
        while len(link.extensions) < 5:
            sleep(0.01)
    assert all(end_s is None for end_s in link.extensions)


@attrs.define
class RestartingLink(FailingLink):
    """Worker link whose worker restarts while a listing is requested.

    Attributes
    ----------
    fence : int
        Highest token that the next incarnation has seen.
    answers : Event
        Set when the next incarnation answers.
    late_start : Order, optional
        Start that the next incarnation gets after its first listing.
    """

    fence: int = 0
    restarted: bool = False
    answers: Event = attrs.Factory(Event)
    late_start: Order | None = None
    late_fence: int = 0

    def start(self, order, payload, fence, lease_end_s):
        self._call("start")
        if fence < self.fence:
            return StartResult.FENCED
        self.fence = fence
        self.late_start, self.late_fence = order, fence
        return StartResult.UNKNOWN

    def stop(self, task, attempt, fence):
        sleep(0.2)
        self.running = ()
        return True

    def list_runs(self, incarnation, fence, acked_number, lease_end_s, wait_s):
        sleep(0.01)
        if not self.restarted:
            return RunListing((), (), True, "w@1")
        listing = RunListing(self.running, (), True, "w@2")
        self.fence = max(self.fence, fence)
        self.answers.wait()
        if self.late_start is not None and self.late_fence >= self.fence:
            self.running = (Run(self.late_start.task, 1),)
        return listing


def test_late_start_ran_on_the_next_incarnation_after_it_was_given_up():
    # A listing that was requested before shows no start that comes later.
    table, link = MemoryTable(), RestartingLink("")
    agent = Agent(table, link, SystemClock(), "n")
    agent.update_worker(a_worker())
    with running(agent):
        await_report(table, lambda report: report.answers)
        put_orders(table, an_order("j.0.0.0"))
        while link.late_start is None:
            sleep(0.01)
        link.restarted = True
        sleep(0.05)
        agent.update_worker(a_worker(incarnation="w@2"))
        link.answers.set()
        await_report(table, lambda report: report.ended)
        assert link.running == ()


@attrs.define
class FencingLink(FailingLink):
    """Worker link whose worker restarts while it is sent the first start.

    The next incarnation has carried out a copy of it.
    """

    restart: Callable | None = None

    def start(self, order, payload, fence, lease_end_s):
        if self.calls:
            return FailingLink.start(self, order, payload, fence, lease_end_s)
        self._call("start")
        self.restart()
        self.running = (Run(order.task, order.attempt),)
        sleep(0.2)
        self.running = ()
        return StartResult.FENCED


def test_agent_stopped_when_a_call_came_after_its_own_newer_token():
    table, link = MemoryTable(), FencingLink("")
    agent = Agent(table, link, SystemClock(), "n")
    agent.update_worker(a_worker())
    next_worker = a_worker(incarnation="w@2")
    link.restart = lambda: agent.update_worker(next_worker)
    with running(agent):
        await_report(table, lambda report: report.answers)
        put_orders(table, an_order("j.0.0.0"))
        await_report(table, lambda report: report.ended)
        put_orders(table, an_order("k.0.0.0", incarnation="w@2"))
        await_report(table, lambda report: report.running)
    assert link.running == (Run("k.0.0.0", 1),)


@attrs.define
class EndingLink(FailingLink):
    """Worker link whose worker drops the ends that are acknowledged."""

    incarnation: str = "w@1"
    ends: dict = attrs.Factory(dict)
    silent: bool = False

    def start(self, order, payload, fence, lease_end_s):
        self._call("start")
        return StartResult.UNKNOWN

    def list_runs(self, incarnation, fence, acked_number, lease_end_s, wait_s):
        sleep(0.01)
        if self.silent:
            self.silent = False
            raise WorkerSilentError("reset")
        for number in [
            number for number in self.ends if number <= acked_number
        ]:
            del self.ends[number]
        ends = tuple(ListedEnd(*item) for item in self.ends.items())
        return RunListing((), ends, True, self.incarnation)

    def restart(self):
        """Restart, carry out a start that had no answer, and end its run."""
        self.incarnation = "w@2"
        self.ends = {1: RunEnd("k.0.0.0", 1, EndCause.DONE)}


def loses_a_listing(link):
    link.silent = True
    link.restart()


def restarts_twice(link):
    link.incarnation = "w@x"
    sleep(0.3)
    link.restart()


@pytest.mark.parametrize("what_happens", [loses_a_listing, restarts_twice])
def test_end_of_the_next_incarnation_was_acknowledged_unread(what_happens):
    # It counts its ends from 1 again, and dropped them.
    table, link = MemoryTable(), EndingLink("")
    agent = Agent(table, link, SystemClock(), "n")
    agent.update_worker(a_worker())
    with running(agent):
        put_orders(table, an_order("j.0.0.0"), an_order("k.0.0.0"))
        while link.calls.count("start") < 2:
            sleep(0.01)
        link.ends[5] = RunEnd("j.0.0.0", 1, EndCause.DONE)
        while link.ends:
            sleep(0.01)
        what_happens(link)
        sleep(0.5)
        agent.update_worker(a_worker(incarnation="w@2"))
        report = await_report(table, lambda report: len(report.ended) == 2)
    assert {end.cause for end in report.ended} == {EndCause.DONE}


def test_start_carried_the_token_of_a_later_incarnation(monkeypatch):
    # The worker would have accepted it after the listing that counts.
    due_calls, next_worker = (
        WorkerReconciler.due_calls,
        a_worker(incarnation="w@2"),
    )
    table, link = MemoryTable(), TokenLink("")
    agent = Agent(table, link, SystemClock(), "n")

    def announce_next(reconciler, *times):
        calls = due_calls(reconciler, *times)
        if calls:
            spawn(agent.update_worker, next_worker)
        return calls

    monkeypatch.setattr(WorkerReconciler, "due_calls", announce_next)
    agent.update_worker(a_worker())
    with running(agent):
        await_report(table, lambda report: report.answers)
        put_orders(table, an_order("j.0.0.0"))
        while not link.start_fences:
            sleep(0.01)
        while link.fences[-1] == link.fences[0]:
            sleep(0.01)
    assert link.start_fences[0] < link.fences[-1]


@attrs.define
class TokenLink(FailingLink):
    """Worker link that records the fencing tokens of the calls."""

    fences: list = attrs.Factory(list)
    start_fences: list = attrs.Factory(list)

    def start(self, order, payload, fence, lease_end_s):
        self.start_fences.append(fence)
        return StartResult.UNKNOWN

    def list_runs(self, incarnation, fence, acked_number, lease_end_s, wait_s):
        self.fences.append(fence)
        return FailingLink.list_runs(
            self, incarnation, fence, acked_number, lease_end_s, wait_s
        )


@attrs.define
class SilentLink(FailingLink):
    """Worker link whose worker answers the first listing, not the next."""

    waits_s: list = attrs.Factory(list)

    def list_runs(self, incarnation, fence, acked_number, lease_end_s, wait_s):
        self.waits_s.append(wait_s)
        if len(self.waits_s) in (2, 3):
            raise WorkerSilentError("no answer")
        return super().list_runs(
            incarnation, fence, acked_number, lease_end_s, wait_s
        )


def test_worker_that_answered_again_was_taken_for_silent():
    link = SilentLink("none")
    agent = Agent(MemoryTable(), link, SystemClock(), "n")
    agent.update_worker(a_worker())
    with running(agent):
        while len(link.waits_s) < 5:
            sleep(0.01)
    # Listings that wait for an end take that much longer to time out.
    assert [wait_s > 0 for wait_s in link.waits_s[:5]] == [
        *(False, True, False, False, True),
    ]

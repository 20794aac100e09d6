from __future__ import annotations

from contextlib import ExitStack

import pytest

from filbertlb.batch.forwarding import JobForwarder
from filbertlb.batch.index import JobIndex
from filbertlb.batch.model import JobState
from filbertlb.batch.peers import Peers
from filbertlb.batch.service import JobService
from filbertlb.batch.testing import a_job
from filbertlb.core.clock import VirtualClock
from filbertlb.errors import OutcomeUnknownError
from filbertlb.errors import UnavailableError
from filbertlb.standin.wsgi import serving
from filbertlb.table.base import Row
from filbertlb.table.memory import MemoryTable
from filbertlb.table.mirror import Mirror
from filbertlb.typedserver import Service

GONE = "127.0.0.1:1"


class Entry:
    """One entry's jobs; ``up`` tells whether the table answers it."""

    def __init__(self, table, stack):
        self.up = True
        self.table = table
        self.index, self.mirror = JobIndex(), Mirror()
        self.mirror.listen(self.index.saw)
        service = JobService(table, self.mirror, self.index, VirtualClock())
        self.peers = Peers("self", "unused:1", self.mirror)
        self.jobs = JobForwarder(service, self.peers, lambda: self.up)
        url = stack.enter_context(serving(self.application))
        self.address = url.removeprefix("http://")

    def application(self, environ, start_response):
        return Service(self.jobs.handlers())(environ, start_response)

    def knows(self, *addresses):
        for number, address in enumerate(addresses):
            key = f"state/entry/other-{number}"
            self.mirror.put(Row(key, address.encode(), 1 + number), 0.0)


class Forgetful(Entry):
    """Does what it is asked, and then breaks off."""

    def application(self, environ, start_response):
        super().application(environ, lambda *_: None)
        start_response("500 -", [("Content-Length", "2")])
        return [b"{}"]


@pytest.fixture
def table():
    return MemoryTable()


@pytest.fixture
def stack():
    with ExitStack() as stack:
        yield stack


@pytest.fixture
def entries(table, stack):
    first, second = Entry(table, stack), Entry(table, stack)
    first.knows(GONE, second.address)
    second.knows(first.address)
    first.up = False
    return first, second


def stored(table):
    return [row.key for row in table.scan("state/job/")]


def test_another_entry_stores_shows_and_cancels_a_job(entries, table):
    first, second = entries
    first.jobs.submit(a_job("a"))
    first.jobs.submit(a_job("a"))
    assert stored(table) == ["state/job/a"]
    assert first.jobs.state("a") is JobState.QUEUED
    first.jobs.cancel("a")
    assert first.jobs.state("a") is JobState.CANCELLED
    assert second.jobs.state("a") is JobState.CANCELLED


def test_a_job_that_no_entry_can_store_is_refused_truly(entries, table):
    first, second = entries
    second.up = False
    with pytest.raises(UnavailableError):
        first.jobs.submit(a_job("a"))
    assert stored(table) == []


def test_a_refusal_of_the_table_is_handed_on(entries, table, stack):
    first, second = entries
    first.up = True
    # The table refuses this entry only.
    first.jobs.service = JobService(
        MemoryTable(), first.mirror, first.index, VirtualClock()
    )
    first.jobs.service.table.faults.down = True
    first.jobs.submit(a_job("a"))
    assert stored(table) == ["state/job/a"]


def test_an_answer_that_was_lost_between_entries_is_no_refusal(table, stack):
    first, other = Entry(table, stack), Forgetful(table, stack)
    first.knows(other.address)
    first.up = False
    with pytest.raises(OutcomeUnknownError):
        first.jobs.submit(a_job("a"))
    assert stored(table) == ["state/job/a"]


def test_a_job_known_here_is_not_gone_as_another_entry_is_behind(
    entries, stack
):
    first, second = entries
    first.up = True
    first.jobs.submit(a_job("a"))
    first.up = False
    second.jobs.service = JobService(
        MemoryTable(), second.mirror, second.index, VirtualClock()
    )
    assert first.jobs.state("a") is JobState.QUEUED


def test_entries_that_did_not_help_are_asked_last(entries):
    first, second = entries
    assert first.peers.addresses() == [GONE, second.address]
    first.jobs.submit(a_job("a"))
    assert first.peers.addresses() == [second.address, GONE]

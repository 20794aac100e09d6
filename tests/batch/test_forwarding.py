from __future__ import annotations

from contextlib import ExitStack

import pytest

from filbertlb.batch.forwarding import JobForwarder
from filbertlb.batch.index import JobIndex
from filbertlb.batch.model import JobState
from filbertlb.batch.peers import Peers
from filbertlb.batch.service import JobService
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import StaticContact
from filbertlb.core.clock import VirtualClock
from filbertlb.errors import OutcomeUnknownError
from filbertlb.errors import UnavailableError
from filbertlb.standin.wsgi import serving
from filbertlb.table.base import Row
from filbertlb.table.memory import MemoryTable
from filbertlb.table.mirror import Mirror
from filbertlb.typedserver import Service

UNREACHABLE = "127.0.0.1:1"


class Entry:
    """One entry's jobs; ``contact`` tells whether its table answers."""

    def __init__(self, table, stack):
        self.contact = StaticContact()
        self.table = table
        self.index, self.mirror = JobIndex(), Mirror()
        self.mirror.add_listener(self.index.apply_row)
        service = JobService(table, self.mirror, self.index, VirtualClock())
        self.peers = Peers("self", "unused:1", self.mirror)
        self.jobs = JobForwarder(service, self.peers, self.contact)
        url = stack.enter_context(serving(self.application))
        self.address = url.removeprefix("http://")

    def application(self, environ, start_response):
        return Service(self.jobs.handlers())(environ, start_response)

    def add_peers(self, *addresses):
        for number, address in enumerate(addresses):
            key = f"state/entry/other-{number}"
            self.mirror.put(Row(key, address.encode(), 1 + number), 0.0)


class UnreadableAnswerEntry(Entry):
    """Carries out each call, but answers with an unreadable error."""

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
    first.add_peers(UNREACHABLE, second.address)
    second.add_peers(first.address)
    first.contact.reachable = False
    return first, second


def stored_keys(table):
    return [row.key for row in table.scan("state/job/")]


def test_other_entry_stores_shows_and_cancels_job(entries, table):
    first, second = entries
    first.jobs.submit(a_job("a"))
    first.jobs.submit(a_job("a"))
    assert stored_keys(table) == ["state/job/a"]
    assert first.jobs.state("a") is JobState.QUEUED
    first.jobs.cancel("a")
    assert first.jobs.state("a") is JobState.CANCELLED
    assert second.jobs.state("a") is JobState.CANCELLED


def test_job_that_no_entry_can_store_is_not_stored(entries, table):
    first, second = entries
    second.contact.reachable = False
    with pytest.raises(UnavailableError):
        first.jobs.submit(a_job("a"))
    assert stored_keys(table) == []


def test_call_is_forwarded_after_table_failure(entries, table, stack):
    first, second = entries
    first.contact.reachable = True
    # The table fails for this entry only.
    first.jobs.service = JobService(
        MemoryTable(), first.mirror, first.index, VirtualClock()
    )
    first.jobs.service.table.faults.down = True
    first.jobs.submit(a_job("a"))
    assert stored_keys(table) == ["state/job/a"]


def test_unreadable_answer_of_other_entry_is_unknown_outcome(table, stack):
    first, other = Entry(table, stack), UnreadableAnswerEntry(table, stack)
    first.add_peers(other.address)
    first.contact.reachable = False
    with pytest.raises(OutcomeUnknownError):
        first.jobs.submit(a_job("a"))
    assert stored_keys(table) == ["state/job/a"]


def test_known_job_is_not_unknown_when_other_entry_lags(entries, stack):
    first, second = entries
    first.contact.reachable = True
    first.jobs.submit(a_job("a"))
    first.contact.reachable = False
    second.jobs.service = JobService(
        MemoryTable(), second.mirror, second.index, VirtualClock()
    )
    assert first.jobs.state("a") is JobState.QUEUED


def test_failed_entries_are_tried_last(entries):
    first, second = entries
    assert first.peers.addresses() == [UNREACHABLE, second.address]
    first.jobs.submit(a_job("a"))
    assert first.peers.addresses() == [second.address, UNREACHABLE]

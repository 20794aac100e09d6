from __future__ import annotations

import pytest
from gevent.event import Event

from filbertlb.batch.configuration import CurrentConfiguration
from filbertlb.batch.peers import Peers
from filbertlb.batch.row_exchange import RowExchange
from filbertlb.batch.testing import StaticContact
from filbertlb.core.clock import VirtualClock
from filbertlb.platform.configuration import CONFIGURATION_KEY
from filbertlb.platform.configuration_source import configuration_source
from filbertlb.platform.readiness import Readiness
from filbertlb.table.base import Row
from filbertlb.table.base import Snapshot
from filbertlb.table.memory import MemoryTable
from filbertlb.table.mirror import Mirror
from tests.platform.operators import configuration


@pytest.fixture
def source():
    return configuration_source(
        MemoryTable(),
        RowExchange(Peers("a", "unused:1", Mirror())),
        CurrentConfiguration(),
        VirtualClock(),
    )


@pytest.mark.parametrize(
    ("configured", "heard", "reachable", "stopping", "waits_for"),
    [
        (True, 7, True, False, None),
        (False, 0, True, False, "a first configuration"),
        (True, 8, True, False, "configuration row 8"),
        (True, 7, False, False, "the table"),
        (True, 7, True, True, "the end of the process"),
    ],
)
def test_check_says_what_an_entry_waits_for(
    lines, source, configured, heard, reachable, stopping, waits_for
):
    if configured:
        row = Row(CONFIGURATION_KEY, configuration(), 7)
        source.reader.on_row(CONFIGURATION_KEY, row)
    source.exchange.heard_version = heard
    event = Event()
    if stopping:
        event.set()
    contact = StaticContact(reachable=reachable)
    readiness = Readiness(contact, source, event)
    for _ in range(2):
        response = readiness.handle({})
    if waits_for is None:
        assert response.status == 200
        return
    assert response.status == 503
    assert response.body == {"waits_for": waits_for}
    logged = [line for line in lines if line.startswith("readiness")]
    assert logged == [f"readiness check: waits for {waits_for}"]


def test_offered_version_that_the_table_does_not_have_holds_nobody_up(source):
    source.exchange.heard_version = 8
    assert source.behind
    source.follower.mirror.replace(Snapshot((), 9), 0.0)
    assert not source.behind


@pytest.mark.parametrize(
    ("heard", "loaded", "behind"),
    [(0, False, True), (0, True, False), (8, True, True)],
)
def test_entry_may_be_behind(source, heard, loaded, behind):
    source.exchange.heard_version = heard
    source.follower.mirror.loaded = loaded
    assert source.may_be_behind() == behind

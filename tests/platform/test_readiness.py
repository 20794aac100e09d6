from __future__ import annotations

import pytest
from gevent.event import Event

from filbertlb.batch.configuration import CurrentConfiguration
from filbertlb.batch.peers import Peers
from filbertlb.batch.row_exchange import RowExchange
from filbertlb.batch.testing import StaticContact
from filbertlb.platform.configuration import CONFIGURATION_KEY
from filbertlb.platform.configuration import ConfigurationReader
from filbertlb.platform.readiness import Readiness
from filbertlb.table.base import Row
from filbertlb.table.mirror import Mirror
from tests.platform.operators import configuration


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
    lines, configured, heard, reachable, stopping, waits_for
):
    in_force = CurrentConfiguration()
    exchange = RowExchange(Peers("a", "unused:1", Mirror()))
    reader = ConfigurationReader(in_force, exchange)
    if configured:
        row = Row(CONFIGURATION_KEY, configuration(), 7)
        reader.on_row(CONFIGURATION_KEY, row)
    exchange.heard_version = heard
    event = Event()
    if stopping:
        event.set()
    contact = StaticContact(reachable=reachable)
    readiness = Readiness(contact, in_force, exchange, event)
    for _ in range(2):
        response = readiness.handle({})
    if waits_for is None:
        assert response.status == 200
        return
    assert response.status == 503
    assert response.body == {"waits_for": waits_for}
    logged = [line for line in lines if line.startswith("readiness")]
    assert logged == [f"readiness check: waits for {waits_for}"]

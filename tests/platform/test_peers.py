from __future__ import annotations

from contextlib import contextmanager
from json import dumps

import pytest
from gevent import sleep
from gevent import spawn
from gevent import Timeout

from filbertlb.batch.configuration import CurrentConfiguration
from filbertlb.batch.peers import Peers
from filbertlb.platform import configuration as configuration_module
from filbertlb.platform.configuration import ConfigurationReader
from filbertlb.standin.wsgi import serving
from filbertlb.table.base import Row
from filbertlb.table.base import Snapshot
from filbertlb.table.mirror import Mirror
from filbertlb.typedserver import Service

DEEP = b"[" * 100_000 + b"]" * 100_000
DEADLINE_S = 30.0


def row(version, row_version):
    return Row("op/config", dumps({"version": version}).encode(), row_version)


def make_reader(node, others=()):
    """Return the reader of an entry that knows the others' addresses."""
    mirror = Mirror()
    rows = [
        Row(f"state/entry/{name}", address.encode(), 1)
        for name, address in others
    ]
    mirror.replace(Snapshot(tuple(rows), 1), 0.0)
    return ConfigurationReader(
        CurrentConfiguration(), Peers(node, "unused:1", mirror)
    )


def serving_peers(reader):
    return serving(Service(reader.peers.handlers()))


@pytest.mark.parametrize(
    ("own", "theirs", "wanted"),
    [(11, 20, 20), (20, 11, 20), (11, None, 11)],
)
def test_entry_applies_only_newer_configuration_of_peer(own, theirs, wanted):
    other = make_reader("b")
    if theirs is not None:
        other.on_row("op/config", row(theirs, theirs))
    with serving_peers(other) as url:
        reader = make_reader(
            "a", [("b", url.removeprefix("http://")), ("a", "x:1")]
        )
        reader.on_row("op/config", row(own, own))
        reader._query_peers()
    assert reader.in_force.version == wanted


def test_unreachable_peer_is_skipped():
    other = make_reader("b")
    other.on_row("op/config", row(20, 20))
    with serving_peers(other) as url:
        unreachable = ("c", "127.0.0.1:1")
        reader = make_reader(
            "a", [unreachable, ("b", url.removeprefix("http://"))]
        )
        reader._query_peers()
    assert reader.in_force.version == 20


class OperatorTable:
    """Table whose only row can be changed; other entries may be asked."""

    def __init__(self, row):
        self.row = row
        self.failure = None

    def get(self, _):
        if self.failure is not None:
            raise self.failure
        return self.row


@contextmanager
def polling(reader, table):
    task = spawn(reader.poll, table)
    try:
        with Timeout(DEADLINE_S):
            yield
        assert not task.dead
    finally:
        task.kill()


@pytest.mark.parametrize(
    "value",
    [DEEP, b'{"version":3,"odd":' + DEEP + b"}", b"\xff"],
    ids=["deep", "deep member", "not UTF-8"],
)
def test_configuration_is_polled_on_after_an_odd_value(monkeypatch, value):
    # The polling task ended, and no later configuration came into force.
    monkeypatch.setattr(configuration_module, "POLL_S", 0.01)
    reader = make_reader("a")
    table = OperatorTable(Row("op/config", value, 3))
    with polling(reader, table):
        sleep(0.05)
        table.row = row(4, 4)
        while reader.in_force.version < 4:
            sleep(0.01)

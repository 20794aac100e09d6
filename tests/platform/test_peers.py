from __future__ import annotations

from contextlib import contextmanager
from json import dumps

import pytest
from gevent import sleep
from gevent import spawn
from gevent import Timeout

from filbertlb.admission import AnswerBudget
from filbertlb.batch.configuration import CurrentConfiguration
from filbertlb.batch.peers import NewestRowCall
from filbertlb.batch.peers import Peers
from filbertlb.errors import FilbertlbError
from filbertlb.platform import configuration as configuration_module
from filbertlb.platform.configuration import ConfigurationReader
from filbertlb.standin.wsgi import serving
from filbertlb.table.base import Row
from filbertlb.table.base import Snapshot
from filbertlb.table.base import TableUnavailableError
from filbertlb.table.mirror import Mirror
from filbertlb.table.wire import GetReply
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


ODD_ADDRESSES = {
    "port too large": b"127.0.0.1:70000",
    "port below 0": b"127.0.0.1:-1",
    "port is no number": b"127.0.0.1:x",
    "port is an odd digit": "127.0.0.1:8\u0660".encode(),
    "no port": b"127.0.0.1",
    "no host": b":80",
    "host is no name": b"a..b:80",
    "label too long": b"a" * 70 + b":80",
    "more lines": b"a\r\nX: y:80",
    "path": b"127.0.0.1:80/jobs",
    "not UTF-8": b"\xff\xfe:80",
    "deep": DEEP,
    "empty": b"",
}


def add_odd_peers(reader):
    for number, address in enumerate(ODD_ADDRESSES.values()):
        key = f"state/entry/0-{number}"
        reader.peers.mirror.put(Row(key, address, 2), 0.0)


def test_odd_addresses_of_entries_are_skipped():
    reader = make_reader("a", [("b", "127.0.0.1:1"), ("c", "host-c.x:80")])
    add_odd_peers(reader)
    assert reader.peers.addresses() == ["127.0.0.1:1", "host-c.x:80"]


def test_configuration_is_polled_on_beside_odd_addresses(monkeypatch):
    # The polling task ended when it asked the other entries.
    monkeypatch.setattr(configuration_module, "POLL_S", 0.01)
    other = make_reader("b")
    other.on_row("op/config", row(20, 20))
    with serving_peers(other) as url:
        reader = make_reader("a", [("b", url.removeprefix("http://"))])
        add_odd_peers(reader)
        table = OperatorTable(None)
        table.failure = TableUnavailableError("no answer")
        with polling(reader, table):
            while reader.in_force.version < 20:
                sleep(0.01)


def test_answers_of_other_entries_are_within_the_budget():
    """Guards against memory that follows from what other entries send."""
    answers = AnswerBudget(100_000, 100_000)
    other, mirror = make_reader("b"), Mirror()
    other.peers.keep_newest(Row("op/config", b"x" * 200_000, 20))
    peers = Peers("a", "unused:1", mirror, answers)
    with serving_peers(other) as url:
        address = url.removeprefix("http://")
        mirror.put(Row("state/entry/b", address.encode(), 1), 0.0)
        assert peers.fetch_rows() == []
    assert answers.refused == 1
    assert answers.held_bytes == 0


@pytest.mark.parametrize("address", ODD_ADDRESSES.values(), ids=ODD_ADDRESSES)
def test_call_to_an_odd_address_is_a_coded_error(address):
    reader = make_reader("a")
    with pytest.raises(FilbertlbError):
        reader.peers.call(
            address.decode(errors="replace"),
            "/configuration",
            NewestRowCall(),
            GetReply,
            1.0,
        )

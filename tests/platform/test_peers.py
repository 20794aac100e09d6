from __future__ import annotations

from contextlib import contextmanager
from json import dumps

import pytest
from gevent import sleep
from gevent import spawn
from gevent import Timeout

from filbertlb.batch.configuration import CurrentConfiguration
from filbertlb.batch.peers import Peers
from filbertlb.batch.row_exchange import OfferCall
from filbertlb.batch.row_exchange import OfferReply
from filbertlb.batch.row_exchange import RowExchange
from filbertlb.batch.testing import StaticContact
from filbertlb.errors import FilbertlbError
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
        CurrentConfiguration(), RowExchange(Peers(node, "unused:1", mirror))
    )


def serving_peers(reader):
    return serving(Service(reader.exchange.handlers()))


def ask_once(reader):
    return reader._take_newer(reader.exchange)


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
        ask_once(reader)
    assert reader.in_force.version == wanted


def test_unreachable_peer_is_skipped():
    other = make_reader("b")
    other.on_row("op/config", row(20, 20))
    with serving_peers(other) as url:
        unreachable = ("c", "127.0.0.1:1")
        reader = make_reader(
            "a", [unreachable, ("b", url.removeprefix("http://"))]
        )
        ask_once(reader)
    assert reader.in_force.version == 20


@contextmanager
def asking(reader, monkeypatch):
    """Ask other entries at short periods, without the table."""
    for name in ("POLL_S", "MAX_POLL_S"):
        monkeypatch.setattr(configuration_module, name, 0.01)
    contact = StaticContact(reachable=False)
    task = spawn(reader.ask_entries, reader.exchange, contact)
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
def test_entries_are_asked_on_after_an_odd_value(monkeypatch, value):
    # The asking task ended, and no later configuration came into force.
    other = make_reader("b")
    other.exchange.keep_newest(Row("op/config", value, 3))
    with serving_peers(other) as url:
        reader = make_reader("a", [("b", url.removeprefix("http://"))])
        with asking(reader, monkeypatch):
            sleep(0.05)
            other.on_row("op/config", row(4, 4))
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
        reader.exchange.peers.mirror.put(Row(key, address, 2), 0.0)


def test_odd_addresses_of_entries_are_skipped():
    reader = make_reader("a", [("b", "127.0.0.1:1"), ("c", "host-c.x:80")])
    add_odd_peers(reader)
    assert reader.exchange.peers.addresses() == ["127.0.0.1:1", "host-c.x:80"]


def test_entries_are_asked_on_beside_odd_addresses(monkeypatch):
    # The asking task ended when it asked the other entries.
    other = make_reader("b")
    other.on_row("op/config", row(20, 20))
    with serving_peers(other) as url:
        reader = make_reader("a", [("b", url.removeprefix("http://"))])
        add_odd_peers(reader)
        with asking(reader, monkeypatch):
            while reader.in_force.version < 20:
                sleep(0.01)


def test_entry_with_the_table_asks_no_other(monkeypatch):
    other = make_reader("b")
    other.on_row("op/config", row(20, 20))
    with serving_peers(other) as url:
        reader = make_reader("a", [("b", url.removeprefix("http://"))])
        monkeypatch.setattr(configuration_module, "POLL_S", 0.01)
        contact = StaticContact()
        task = spawn(reader.ask_entries, reader.exchange, contact)
        sleep(0.1)
        task.kill()
    assert reader.exchange.heard_version == 0


@pytest.mark.parametrize("address", ODD_ADDRESSES.values(), ids=ODD_ADDRESSES)
def test_call_to_an_odd_address_is_a_coded_error(address):
    reader = make_reader("a")
    with pytest.raises(FilbertlbError):
        reader.exchange.peers.call(
            address.decode(errors="replace"),
            "/configuration/offer",
            OfferCall(),
            OfferReply,
            1.0,
        )

from __future__ import annotations

from json import dumps

import pytest

from filbertlb.batch.configuration import InForce
from filbertlb.batch.peers import Peers
from filbertlb.platform.configuration import ConfigurationReader
from filbertlb.standin.wsgi import serving
from filbertlb.table.base import Row
from filbertlb.table.base import Snapshot
from filbertlb.table.mirror import Mirror
from filbertlb.typedserver import Service


def row(version, row_version):
    return Row("op/config", dumps({"version": version}).encode(), row_version)


def entry(node, others=()):
    mirror = Mirror()
    rows = [
        Row(f"state/entry/{name}", address.encode(), 1)
        for name, address in others
    ]
    mirror.replace(Snapshot(tuple(rows), 1), 0.0)
    return ConfigurationReader(InForce(), Peers(node, "unused:1", mirror))


def served(reader):
    return serving(Service(reader.peers.handlers()))


@pytest.mark.parametrize(
    ("own", "theirs", "wanted"), [(11, 20, 20), (20, 11, 20), (11, None, 11)]
)
def test_an_entry_that_is_turned_away_takes_only_what_is_newer(
    own, theirs, wanted
):
    other = entry("b")
    if theirs is not None:
        other.on_row("op/config", row(theirs, theirs))
    with served(other) as url:
        reader = entry("a", [("b", url.removeprefix("http://")), ("a", "x:1")])
        reader.on_row("op/config", row(own, own))
        reader._ask_peers()
    assert reader.in_force.version == wanted


def test_entries_that_do_not_answer_are_passed_over():
    other = entry("b")
    other.on_row("op/config", row(20, 20))
    with served(other) as url:
        gone = ("c", "127.0.0.1:1")
        reader = entry("a", [gone, ("b", url.removeprefix("http://"))])
        reader._ask_peers()
    assert reader.in_force.version == 20

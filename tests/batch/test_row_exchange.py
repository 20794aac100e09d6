from __future__ import annotations

from contextlib import contextmanager
from contextlib import ExitStack
from random import Random
from zlib import compress

import attrs
import pytest
from msgspec.json import encode

from filbertlb.admission import AnswerBudget
from filbertlb.batch.peers import Peers
from filbertlb.batch.row_exchange import PART_PATH
from filbertlb.batch.row_exchange import PartReply
from filbertlb.batch.row_exchange import RowExchange
from filbertlb.batch.row_parts import offered_row
from filbertlb.batch.row_parts import PART_BYTES
from filbertlb.batch.row_parts import PartialRow
from filbertlb.batch.row_parts import UnusableRowError
from filbertlb.errors import UnavailableError
from filbertlb.standin.wsgi import serving
from filbertlb.table.base import Row
from filbertlb.table.mirror import Mirror
from filbertlb.typedserver import Response
from filbertlb.typedserver import Service

LARGE = Random(5).randbytes(10 * PART_BYTES)
"""A value that cannot be compressed."""
BUDGET_BYTES = 1_000_000


@attrs.define
class OtherEntry:
    """Another entry; it can stop giving parts."""

    row: Row | None
    parts_left: int = 1_000
    parts_given: int = 0

    def handlers(self):
        exchange = RowExchange(Peers("other", "unused:1", Mirror()))
        if self.row is not None:
            exchange.keep_newest(self.row)
        handlers = exchange.handlers()
        give_part = handlers[PART_PATH]

        def part(path, body):
            if self.parts_left == 0:
                raise UnavailableError("no answer")
            self.parts_left -= 1
            self.parts_given += 1
            return give_part(path, body)

        return {**handlers, PART_PATH: part}


@contextmanager
def exchange_with(*entries):
    mirror = Mirror()
    answers = AnswerBudget(BUDGET_BYTES, BUDGET_BYTES)
    peers = Peers("a", "unused:1", mirror, answers)
    with ExitStack() as stack:
        for number, entry in enumerate(entries):
            url = stack.enter_context(serving(Service(entry.handlers())))
            address = url.removeprefix("http://").encode()
            mirror.put(Row(f"state/entry/{number}", address, 1), 0.0)
        yield RowExchange(peers, answers, random=Random(5))


def row(version, value=LARGE):
    return Row("op/config", value, version)


@pytest.mark.parametrize(
    ("versions", "wanted"),
    [((None,), None), ((2,), None), ((3,), 3), ((2, 5, 3), 5), ((), None)],
)
def test_newest_row_of_the_entries_is_read(versions, wanted):
    entries = [
        OtherEntry(None if version is None else row(version))
        for version in versions
    ]
    with exchange_with(*entries) as exchange:
        exchange.keep_newest(row(2, b"known"))
        assert exchange.fetch_newer() == (wanted and row(wanted))
        assert exchange.behind == (wanted is not None)
        assert exchange.answers.held_bytes == 0


def test_parts_that_had_arrived_were_read_again():
    # A read that failed began anew, with the same bytes.
    entry = OtherEntry(row(3), parts_left=6)
    with exchange_with(entry) as exchange:
        assert exchange.fetch_newer() is None
        assert exchange.behind
        entry.parts_left = 1_000
        assert exchange.fetch_newer() == row(3)
    assert entry.parts_given == len(LARGE) // PART_BYTES + 1


def test_another_entry_gives_the_parts_that_are_missing():
    entries = [OtherEntry(row(3), parts_left=4) for _ in range(3)]
    with exchange_with(*entries) as exchange:
        assert exchange.fetch_newer() == row(3)
    assert sum(entry.parts_given for entry in entries) == 11


def test_parts_of_an_older_row_are_given_up_for_a_newer_one():
    entry = OtherEntry(row(3), parts_left=6)
    newer = OtherEntry(row(4, LARGE[::-1]))
    with exchange_with(entry) as exchange:
        assert exchange.fetch_newer() is None
        with serving(Service(newer.handlers())) as url:
            address = url.removeprefix("http://").encode()
            exchange.peers.mirror.put(Row("state/entry/0", address, 2), 0.0)
            assert exchange.fetch_newer() == row(4, LARGE[::-1])
        assert exchange.answers.held_bytes == 0


def test_rows_of_other_entries_are_within_the_budget():
    """Guards against memory that follows from what other entries send."""
    with exchange_with(OtherEntry(row(3, bytes(BUDGET_BYTES)))) as exchange:
        assert exchange.fetch_newer() is None
        assert exchange.answers.refused == 1
        assert exchange.answers.held_bytes == 0


class EndlessEntry(OtherEntry):
    """Another entry whose answers are larger than all memory for them."""

    def handlers(self):
        reply = Response(200, encode(PartReply(bytes(BUDGET_BYTES))))
        return {**super().handlers(), PART_PATH: lambda *_: reply}


def test_answers_of_other_entries_are_within_the_budget():
    """Guards against memory that follows from what other entries send."""
    with exchange_with(EndlessEntry(row(3, b"x" * 100))) as exchange:
        assert exchange.fetch_newer() is None
        assert exchange.answers.refused == 1
        exchange._drop_partial()
        assert exchange.answers.held_bytes == 0


@pytest.mark.parametrize(
    "fields",
    [
        {"digest": "0" * 64},
        {"value_bytes": 99},
        {"value_bytes": 101},
        {"value_bytes": 0},
        {"compressed_bytes": 5},
    ],
)
def test_row_that_is_not_what_was_offered_is_not_used(fields):
    """Guards against values that decompress to more than was offered."""
    offered = offered_row(row(3, b"x" * 100))
    partial = PartialRow(attrs.evolve(offered.offer, **fields))
    with pytest.raises(UnusableRowError):
        partial.add(offered.compressed)
        partial.row()


@pytest.mark.parametrize("part", [b"", compress(b"x" * 100) + b"x"])
def test_part_that_does_not_fit_is_not_used(part):
    partial = PartialRow(offered_row(row(3, b"x" * 100)).offer)
    with pytest.raises(UnusableRowError):
        partial.add(part)
    assert partial.offset == 0

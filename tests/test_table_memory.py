from __future__ import annotations

import pytest

from filbertlb.table.base import ABSENT
from filbertlb.table.base import RowConflictError
from filbertlb.table.base import TableUnavailableError
from filbertlb.table.base import Write
from filbertlb.table.base import WriteOutcomeUnknownError
from filbertlb.table.memory import MemoryTable


@pytest.mark.parametrize(
    ("expected", "conflicts"),
    [(None, False), (1, False), (ABSENT, True), (7, True)],
)
def test_commit_is_conditional(expected, conflicts):
    table = MemoryTable()
    table.commit([Write("a", b"1", ABSENT)])
    writes = [Write("b", b"2"), Write("a", b"2", expected)]
    if conflicts:
        with pytest.raises(RowConflictError):
            table.commit(writes)
        assert table.get("b") is None
    else:
        assert table.commit(writes) == (2, 3)


def test_commit_with_lost_answer_is_applied():
    table = MemoryTable()
    table.faults.lose_acks = 1
    with pytest.raises(WriteOutcomeUnknownError):
        table.commit([Write("a", b"1", ABSENT)])
    assert table.get("a").value == b"1"


def test_unavailable_table_refuses_calls():
    table = MemoryTable()
    table.faults.down = True
    with pytest.raises(TableUnavailableError):
        table.get("a")


def test_recreated_row_has_a_new_version():
    table = MemoryTable()
    (first,) = table.commit([Write("a", b"1", ABSENT)])
    table.commit([Write("a", None, first)])
    table.commit([Write("a", b"1", ABSENT)])
    with pytest.raises(RowConflictError):
        table.commit([Write("a", b"2", first)])

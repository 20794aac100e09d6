from __future__ import annotations

import pytest

from filbertlb.platform.store import PlatformTable
from filbertlb.standin.row_store import RowStore
from filbertlb.standin.wsgi import serving
from filbertlb.table.base import ABSENT
from filbertlb.table.base import HistoryLostError
from filbertlb.table.base import RowConflictError
from filbertlb.table.base import TableRejectedError
from filbertlb.table.base import TableUnavailableError
from filbertlb.table.base import Write
from filbertlb.table.base import WriteOutcomeUnknownError


@pytest.fixture
def store():
    return RowStore()


@pytest.fixture
def table(store):
    with serving(store.application()) as url:
        yield PlatformTable(url.removeprefix("http://"))


def test_get_returns_committed_row(table):
    (version,) = table.commit([Write("state/job/a", b"one", ABSENT)])
    row = table.get("state/job/a")
    assert (row.key, row.value, row.version) == (
        "state/job/a",
        b"one",
        version,
    )
    assert table.get("state/job") is None


def test_snapshot_contains_only_keys_with_prefix(table):
    for key in ("state/job/a", "state/job/b", "state/worker/x", "op-x/job/a"):
        table.commit([Write(key, b"{}")])
    snapshot = table.snapshot("state/job/")
    assert [row.key for row in snapshot.rows] == [
        "state/job/a",
        "state/job/b",
    ]
    assert snapshot.version == 4


def test_failed_condition_rejects_whole_transaction(table):
    table.commit([Write("state/a", b"1", ABSENT)])
    with pytest.raises(RowConflictError):
        table.commit([Write("state/b", b"1"), Write("state/a", b"2", ABSENT)])
    assert table.get("state/b") is None


def test_changes_contain_rows_and_deletions(table):
    table.commit([Write("state/a", b"1")])
    after = table.snapshot("state/").version
    table.commit([Write("state/b", b"2"), Write("state/a", None)])
    changes = table.changes("state", after, 0.0)
    assert [row.key for row in changes.rows] == ["state/b"]
    assert changes.deleted == {"state/a": 2}
    assert changes.version == 2


def test_changes_before_kept_history_raise_history_lost(table, store):
    table.commit([Write("state/a", b"1")])
    store.forget_history()
    with pytest.raises(HistoryLostError):
        table.changes("state", 0, 0.0)


@pytest.mark.parametrize("status", [429, 503])
def test_refused_transaction_has_no_effect(table, store, status):
    store.faults.refuse = status
    with pytest.raises(TableUnavailableError):
        table.commit([Write("state/a", b"1")])
    with pytest.raises(TableUnavailableError):
        table.get("state/a")
    store.faults.refuse = 0
    assert table.get("state/a") is None


def test_lost_reply_raises_outcome_unknown(table, store):
    store.faults.lose_answers = 1
    with pytest.raises(WriteOutcomeUnknownError):
        table.commit([Write("state/a", b"1")])
    assert table.get("state/a").value == b"1"


def test_stale_read_is_unavailable(table, store):
    table.commit([Write("state/a", b"1")])
    table.commit([Write("state/a", b"2")])
    store.faults.stale_by = 1
    with pytest.raises(TableUnavailableError):
        table.get("state/a")
    store.faults.stale_by = 0
    assert table.get("state/a").value == b"2"


def test_write_to_operator_table_is_rejected(table):
    with pytest.raises(TableRejectedError):
        table.commit([Write("op/config", b"{}")])

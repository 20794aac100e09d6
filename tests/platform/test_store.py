from __future__ import annotations

from contextlib import contextmanager

import pytest

from filbertlb.admission import AnswerBudget
from filbertlb.admission import SMALL_BYTES
from filbertlb.platform.store import PlatformTable
from filbertlb.platform.store import READ_TIMEOUT_S
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


def test_snapshot_over_a_thin_link_goes_on_with_smaller_pages(table, store):
    keys = [f"state/job/{number:03d}" for number in range(90)]
    for key in keys:
        table.commit([Write(key, b"{}")])
    store.faults.longest_page = 30
    calls = store.calls
    assert [row.key for row in table.snapshot("state/job/").rows] == keys
    # Read page by page in 100, 50, 25, 31, 15, 18, 22 and 27 rows, of which
    # those over 30 fail, and none is read again from the start.
    assert store.calls - calls == 8


def test_snapshot_whose_pages_get_no_answer_fails(table, store):
    table.commit([Write("state/a", b"{}"), Write("state/b", b"{}")])
    store.faults.refuse = 503
    with pytest.raises(TableUnavailableError):
        table.snapshot("state/")


@pytest.fixture
def partitioned(store):
    with serving(store.application()) as url:
        address = url.removeprefix("http://")
        yield PlatformTable(address, {"workers": 4})


def test_rows_of_a_partitioned_table_are_read_as_one(partitioned):
    keys = [f"workers/n{number}" for number in range(20)]
    for key in keys:
        partitioned.commit([Write(key, key.encode())])
    found = {
        row.key: row.value for row in partitioned.snapshot("workers/").rows
    }
    assert found == {key: key.encode() for key in keys}
    assert partitioned.get("workers/n7").value == b"workers/n7"
    changed = partitioned.changes("workers", 0, 0.0)
    assert {row.key for row in changed.rows} == set(keys)


def test_transaction_over_several_partitions_is_rejected(partitioned):
    writes = [Write(f"workers/n{number}", b"{}") for number in range(20)]
    with pytest.raises(TableRejectedError):
        partitioned.commit(writes)


@pytest.mark.parametrize(
    "writes",
    [
        [Write(f"state/{number}", b"{}") for number in range(101)],
        [Write("state/a", b"x" * 50_000)],
    ],
)
def test_transaction_over_the_limits_is_rejected(table, writes):
    with pytest.raises(TableRejectedError):
        table.commit(writes)


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


def test_changes_too_large_to_be_read_are_read_as_a_snapshot(store):
    """Guards against a follower that asks for the same answer for ever."""
    answers = AnswerBudget(200_000, 200_000)
    with serving(store.application()) as url:
        address = url.removeprefix("http://")
        table = PlatformTable(address, answers=answers)
        keys = [f"state/{number:02d}" for number in range(20)]
        for key in keys:
            table.commit([Write(key, b"x" * 20_000)])
        with pytest.raises(HistoryLostError):
            table.changes("state", 1, 0.0)
        rows = table.snapshot("state/").rows
        assert [row.key for row in rows] == keys
        table.close()


def test_changes_without_memory_for_now_are_retried(store):
    """Guards against a short lack of memory that starts a snapshot."""
    answers = AnswerBudget(400_000, 300_000)
    with serving(store.application()) as url:
        table = PlatformTable(url.removeprefix("http://"), answers=answers)
        for number in range(10):
            table.commit([Write(f"state/{number}", b"x" * 10_000)])
        assert answers.grow(SMALL_BYTES, 270_000)
        with pytest.raises(TableUnavailableError):
            table.changes("state", 1, 0.0)
        answers.release(270_000)
        assert len(table.changes("state", 1, 0.0).rows) == 9
        table.close()


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


DEEP = "[" * 100_000 + "]" * 100_000
ODD_ROWS = {
    "value not Base64": '{"table":"state","key":"b","value":"!!!",VERSION}',
    "value cut off": '{"table":"state","key":"b","value":"YQ",VERSION}',
    "value no text": '{"table":"state","key":"b","value":3,VERSION}',
    "deep value": f'{{"table":"state","key":"b","value":{DEEP},VERSION}}',
    "version too large": '{"table":"state","key":"b","value":"YQ==",'
    f'"schemaVersion":{"9" * 300}}}',
    "version no number": '{"table":"state","key":"b","schemaVersion":"x"}',
}
ROWS_WITHOUT_KEY = {
    "no key": '{"table":"state","value":"YQ==",VERSION}',
    "key no text": '{"table":"state","key":3,VERSION}',
    "null": "null",
    "deep": DEEP,
}


@contextmanager
def replying(row):
    """Yield a table whose replies have a row between two sound ones."""
    version = '"schemaVersion":7'
    sound = '{"table":"state","key":"%s","value":"YQ==",' + version + "}"
    rows = [sound % "a", row.replace("VERSION", version), sound % "c"]
    body = f'{{"rows":[{",".join(rows)}],{version}}}'.encode()

    def reply(environ, start_response):
        start_response("200 -", [("Content-Length", str(len(body)))])
        return [body]

    with serving(reply) as url:
        yield PlatformTable(url.removeprefix("http://"))


@pytest.mark.parametrize("read", ["snapshot", "changes"])
@pytest.mark.parametrize("odd", ODD_ROWS | ROWS_WITHOUT_KEY)
def test_odd_row_is_unreadable_and_the_others_hold(odd, read):
    # The whole reply was unreadable, each time it was read.
    with replying((ODD_ROWS | ROWS_WITHOUT_KEY)[odd]) as table:
        found = (
            table.snapshot("state/")
            if read == "snapshot"
            else table.changes("state", 0, 0.0)
        )
    values = {row.key: row.value for row in found.rows}
    sound = {"state/a": b"a", "state/c": b"a"}
    # A row that is left out would count as deleted.
    assert values == (sound | {"state/b": b""} if odd in ODD_ROWS else sound)
    assert {row.version for row in found.rows} == {7}


def test_page_without_a_readable_key_is_no_end_of_the_table():
    body = b'{"rows":[null],"hasMore":true,"schemaVersion":7}'

    def reply(environ, start_response):
        start_response("200 -", [("Content-Length", str(len(body)))])
        return [body]

    with serving(reply) as url:
        table = PlatformTable(url.removeprefix("http://"))
        with pytest.raises(TableUnavailableError):
            table.snapshot("state/")


def test_newest_version_is_told_without_rows(table, store):
    (version,) = table.commit([Write("state/job/a", b"x" * 1000)])
    assert table.newest_version("state") == version
    assert table.transfers.bytes_by_kind["page"] == 0


def test_several_versions_of_a_large_row_were_read_at_once(table, store):
    # The feed brings each version; a snapshot brings the row once.
    store.write("op", "config", b"x" * 1000)
    version = store.write("op", "config", b"y" * 1000)
    assert len(table.changes("op", 0, 0.0, 4000).rows) == 2
    with pytest.raises(HistoryLostError):
        table.changes("op", 0, 0.0, 2000)
    assert table.changes("op", version, 0.0, 2000).rows == ()
    snapshot = table.snapshot("op/")
    assert [row.version for row in snapshot.rows] == [version]


def test_store_that_takes_longer_than_the_timeout_was_never_read(store):
    with serving(store.application()) as url:
        table = PlatformTable(url.removeprefix("http://"))
        store.faults.delay_s = READ_TIMEOUT_S * 1.5
        with pytest.raises(TableUnavailableError):
            table.newest_version("op")
        assert table.newest_version("op") == 0
        assert table.snapshot("op/").rows == ()

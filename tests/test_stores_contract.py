"""Contract tests of the table service and the object store.

Each test runs against the in-memory variant and over HTTP.
"""

from __future__ import annotations

from contextlib import closing

import pytest
from msgspec.json import encode

from filbertlb.httpcall import HttpCaller
from filbertlb.objects.base import ObjectConflictError
from filbertlb.objects.base import ObjectOutcomeUnknownError
from filbertlb.objects.base import ObjectsUnavailableError
from filbertlb.objects.http import HttpObjects
from filbertlb.objects.memory import MemoryObjects
from filbertlb.standin.platform import platform_service
from filbertlb.standin.wsgi import serving
from filbertlb.table.base import ABSENT
from filbertlb.table.base import RowConflictError
from filbertlb.table.base import TableUnavailableError
from filbertlb.table.base import Write
from filbertlb.table.base import WriteOutcomeUnknownError
from filbertlb.table.http import HttpTable
from filbertlb.table.memory import MemoryTable

VARIANTS = ("memory", "http")
BINARY = bytes(range(256))


@pytest.fixture
def memory_table():
    return MemoryTable()


@pytest.fixture
def memory_objects():
    return MemoryObjects()


@pytest.fixture
def base_url(memory_table, memory_objects):
    with serving(platform_service(memory_table, memory_objects)) as url:
        yield url


@pytest.fixture(params=VARIANTS)
def table(request, memory_table, base_url):
    http = request.param == "http"
    return HttpTable(base_url) if http else memory_table


@pytest.fixture(params=VARIANTS)
def objects(request, memory_objects, base_url):
    http = request.param == "http"
    return HttpObjects(base_url) if http else memory_objects


@pytest.mark.parametrize(
    ("expected", "conflicts"),
    [(None, False), (1, False), (ABSENT, True), (7, True)],
)
def test_commit_is_conditional_and_atomic(table, expected, conflicts):
    assert table.commit([Write("a", BINARY, ABSENT)]) == (1,)
    writes = [Write("b", b"2"), Write("a", b"2", expected)]
    if conflicts:
        with pytest.raises(RowConflictError, match="'a' is at version 1"):
            table.commit(writes)
        assert table.get("b") is None
        assert table.get("a").value == BINARY
    else:
        assert table.commit(writes) == (2, 3)
        assert table.get("a").value == b"2"


def test_scan_pages_in_key_order(table):
    table.commit([Write(key, b"") for key in ("p/b", "q/a", "p/a", "p/c")])
    page = table.scan("p/", limit=2)
    assert [row.key for row in page] == ["p/a", "p/b"]
    rest = table.scan("p/", after="p/b")
    assert [row.key for row in rest] == ["p/c"]


def test_deleted_row_is_absent(table):
    table.commit([Write("a", b"1")])
    assert table.commit([Write("a", None, 1)]) == (ABSENT,)
    assert table.get("a") is None


def test_commit_with_lost_answer_has_unknown_outcome(table, memory_table):
    memory_table.faults.lose_acks = 1
    with pytest.raises(WriteOutcomeUnknownError):
        table.commit([Write("a", b"1", ABSENT)])
    assert table.get("a").value == b"1"
    assert memory_table.writes == 1


@pytest.mark.parametrize(
    "call",
    [
        lambda table: table.get("a"),
        lambda table: table.scan("a"),
        lambda table: table.commit([Write("a", b"1")]),
    ],
)
def test_unavailable_table_refuses_calls(table, memory_table, call):
    memory_table.faults.down = True
    with pytest.raises(TableUnavailableError):
        call(table)
    memory_table.faults.down = False
    assert table.get("a") is None


def test_object_writes_are_conditional(objects):
    assert objects.put("o/a", BINARY, ABSENT) == 1
    with pytest.raises(ObjectConflictError, match="'o/a' is at version 1"):
        objects.put("o/a", b"2", ABSENT)
    assert objects.get("o/a").data == BINARY
    assert objects.put("o/a", b"2", 1) == 2
    objects.put("p/a", b"3")
    assert objects.names("o/") == ("o/a",)
    objects.delete("o/a")
    assert objects.get("o/a") is None


def test_object_errors_tell_whether_the_object_was_written(
    objects, memory_objects
):
    memory_objects.faults.down = True
    with pytest.raises(ObjectsUnavailableError):
        objects.put("a", b"1")
    memory_objects.faults.down = False
    memory_objects.faults.lose_acks = 1
    assert objects.get("a") is None
    with pytest.raises(ObjectOutcomeUnknownError):
        objects.put("a", b"1")
    assert objects.get("a").data == b"1"


def test_timeout_is_unknown_for_writes_and_unavailable_for_reads(
    base_url, memory_table
):
    memory_table.faults.delay_s = 5.0
    with closing(HttpTable(base_url, timeout_s=0.05)) as table:
        with pytest.raises(WriteOutcomeUnknownError):
            table.commit([Write("a", b"1")])
        with pytest.raises(TableUnavailableError):
            table.get("a")


def test_refused_connection_is_unavailable(memory_table):
    with serving(platform_service(memory_table)) as url:
        table = HttpTable(url)
    with pytest.raises(TableUnavailableError):
        table.commit([Write("a", b"1")])


def test_faults_are_set_over_http(base_url, memory_table):
    with closing(HttpCaller(base_url)) as caller:
        body = encode({"down": True, "lose_acks": 2})
        assert caller.post("/admin/table/faults", body, 1.0).status == 200
        invalid = caller.post("/admin/table/faults", b'{"down": 3}', 1.0)
        unknown_path = caller.post("/nowhere", b"", 1.0)
    assert memory_table.faults.down
    assert memory_table.faults.lose_acks == 2
    assert (invalid.status, unknown_path.status) == (400, 404)
    assert b'"invalid_input"' in invalid.body

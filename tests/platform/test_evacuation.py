"""Rows that request an evacuation, from the table to the decider."""

from __future__ import annotations

from contextlib import contextmanager

import attrs
import pytest
from gevent import sleep
from gevent import spawn
from gevent import Timeout

from filbertlb.batch.decider import Decider
from filbertlb.batch.index import JobIndex
from filbertlb.batch.model import JOB_PREFIX
from filbertlb.batch.model import Orders
from filbertlb.batch.model import orders_key
from filbertlb.batch.model import STATE_TABLE
from filbertlb.batch.model import WORKER_PREFIX
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_report
from filbertlb.batch.testing import a_worker
from filbertlb.core.clock import SystemClock
from filbertlb.core.clock import VirtualClock
from filbertlb.platform import evacuation as evacuation_module
from filbertlb.platform.configuration import OPERATOR_TABLE
from filbertlb.platform.evacuation import EVACUATION_PREFIX
from filbertlb.platform.evacuation import EvacuationReader
from filbertlb.platform.evacuation import new_evacuations
from filbertlb.platform.store import PlatformTable
from filbertlb.standin.row_store import RowStore
from filbertlb.standin.wsgi import serving
from filbertlb.table.base import TableUnavailableError
from filbertlb.table.base import Write
from filbertlb.table.memory import MemoryTable
from filbertlb.table.mirror import Follower
from filbertlb.table.mirror import Mirror
from filbertlb.table.rows import decode_row
from filbertlb.table.rows import encode_value

DEADLINE_S = 30.0
BOUND_MS = 5000
REPORT_PERIOD_S = 0.1


def reader_of(table, clock=None):
    clock = clock or VirtualClock(100.0)
    follower = Follower(table, OPERATOR_TABLE, Mirror(), clock)
    return EvacuationReader(new_evacuations(BOUND_MS), table, follower, clock)


def feed(reader, changes=None):
    """Apply what the change feed brings now, or was given."""
    mirror, table = reader.follower.mirror, reader.table
    now_s = reader.clock.monotonic()
    if changes is not None:
        mirror.apply(changes, now_s)
    elif mirror.loaded:
        mirror.apply(table.changes(OPERATOR_TABLE, mirror.version, 0), now_s)
    else:
        mirror.replace(table.snapshot(f"{OPERATOR_TABLE}/"), now_s)


def request(table, domain, value=b""):
    write = Write(EVACUATION_PREFIX + domain, value)
    return MemoryTable.commit(table, [write])[0]


def withdraw(table, domain):
    MemoryTable.commit(table, [Write(EVACUATION_PREFIX + domain, None)])


@pytest.mark.parametrize("way", [feed, EvacuationReader.refresh])
@pytest.mark.parametrize("value", [b"", b"null", b"\xff\x00", b"[" * 1000])
def test_row_requests_an_evacuation_whatever_its_value(way, value):
    table = MemoryTable()
    reader = reader_of(table)
    way(reader)
    version = request(table, "a", value)
    way(reader)
    assert reader.current().version_by_domain == {"a": version}
    other = request(table, "b", value)
    withdraw(table, "a")
    way(reader)
    assert reader.current().version_by_domain == {"b": other}


def test_other_rows_of_operators_request_no_evacuation(lines):
    table = MemoryTable()
    for key in ("op/config", "op/evacuated/a", "op/evacuate", "op/evacuate/"):
        MemoryTable.commit(table, [Write(key, b"{}")])
    reader = reader_of(table)
    feed(reader)
    reader.refresh()
    assert reader.current().version_by_domain == {}
    assert len([line for line in lines if "names no" in line]) == 1


def test_request_and_deletion_that_the_feed_missed_are_polled():
    table = MemoryTable()
    reader = reader_of(table)
    feed(reader)
    version = request(table, "a")
    reader.refresh()
    assert reader.current().version_by_domain == {"a": version}
    withdraw(table, "a")
    reader.refresh()
    assert reader.current().version_by_domain == {}


def test_late_changes_of_the_feed_undo_no_newer_request():
    # The feed brings a deletion after the poll has read the next request.
    table = MemoryTable()
    reader = reader_of(table)
    feed(reader)
    request(table, "a")
    feed(reader)
    withdraw(table, "a")
    late = table.changes(OPERATOR_TABLE, reader.follower.mirror.version, 0)
    newest = request(table, "a")
    reader.refresh()
    feed(reader, late)
    assert reader.current().version_by_domain == {"a": newest}


def test_late_changes_of_the_feed_renew_no_deleted_request():
    table = MemoryTable()
    reader = reader_of(table)
    feed(reader)
    request(table, "a")
    late = table.changes(OPERATOR_TABLE, reader.follower.mirror.version, 0)
    reader.refresh()
    withdraw(table, "a")
    reader.refresh()
    feed(reader, late)
    assert reader.current().version_by_domain == {}


def test_requests_are_as_old_as_the_latest_whole_reading():
    table = MemoryTable()
    clock = VirtualClock(100.0)
    reader = reader_of(table, clock)
    assert reader.current().outdated(clock.monotonic())
    reader.refresh()
    assert reader.current().age_s(clock.monotonic()) == 0.0
    clock.advance(BOUND_MS / 1000)
    table.faults.down = True
    with pytest.raises(TableUnavailableError):
        reader.refresh()
    assert reader.current().outdated(clock.monotonic())
    reader.follower.complete_s = clock.monotonic()
    assert not reader.current().outdated(clock.monotonic())


def test_polling_goes_on_after_failures_and_logs_them_once(monkeypatch, lines):
    monkeypatch.setattr(evacuation_module, "POLL_S", 0.01)
    table = MemoryTable()
    reader = reader_of(table)
    table.faults.down = True
    reads = []
    snapshot = reader.table.snapshot

    def counted(prefix):
        reads.append(prefix)
        if len(reads) == 5:
            raise RuntimeError("unexpected")
        return snapshot(prefix)

    monkeypatch.setattr(
        MemoryTable, "snapshot", lambda _, prefix: counted(prefix)
    )
    polling = spawn(reader.poll, lambda: True)
    try:
        with Timeout(DEADLINE_S):
            while len(reads) < 8:
                sleep(0.01)
        table.faults.down = False
        version = request(table, "a")
        with Timeout(DEADLINE_S):
            while reader.current().version_by_domain != {"a": version}:
                sleep(0.01)
    finally:
        polling.kill()
    assert len([line for line in lines if "not polled" in line]) == 1
    assert len([line for line in lines if "are read again" in line]) == 1


def test_process_that_does_not_decide_polls_nothing(monkeypatch):
    # Calls to the table are priced; all entries follow the feed anyway.
    monkeypatch.setattr(evacuation_module, "POLL_S", 0.01)
    table = MemoryTable()
    reader = reader_of(table)
    deciding = []
    polling = spawn(reader.poll, lambda: bool(deciding))
    try:
        for _ in range(10):
            sleep(0.01)
        assert table.reads == 0
        assert reader.current().complete_s == float("-inf")
        deciding.append(True)
        with Timeout(DEADLINE_S):
            while reader.current().complete_s == float("-inf"):
                sleep(0.01)
    finally:
        polling.kill()


def test_one_call_reads_all_requests():
    store = RowStore()
    with serving(store.application()) as url:
        table = PlatformTable(url.removeprefix("http://"))
        store.write("op", "config", b"{}")
        for number in range(20):
            store.write("op", f"evacuate/z{number}", b"")
        reader = reader_of(table)
        calls = store.calls
        reader.refresh()
        assert store.calls == calls + 1
        assert len(reader.current().version_by_domain) == 20
        table.close()


@attrs.define
class RequestsUnreadable(MemoryTable):
    """Refuses to read evacuation requests while it is told to."""

    unreadable: bool = False
    refused: int = 0
    feeds_refused: int = 0

    def changes(self, table, *call):
        self.feeds_refused += self.faults.down
        return MemoryTable.changes(self, table, *call)

    def snapshot(self, prefix):
        if self.unreadable and prefix == EVACUATION_PREFIX:
            self.refused += 1
            raise TableUnavailableError("503")
        return MemoryTable.snapshot(self, prefix)


def report_again(table):
    while True:
        for row in MemoryTable.scan(table, WORKER_PREFIX):
            MemoryTable.commit(table, [Write(row.key, row.value)])
        sleep(REPORT_PERIOD_S)


@contextmanager
def deciding(table, name, *, follows):
    """Run an entry's decider; with or without the feed of requests."""
    index, mirror, clock = JobIndex(), Mirror(), SystemClock()
    mirror.add_listener(index.apply_row)
    reader = reader_of(table, clock)
    decider = Decider(
        table, mirror, index, clock, name, "coast", dict, evacuations=reader
    )
    jobs = [
        Follower(table, STATE_TABLE, mirror, clock).run,
        decider.keep_lease,
        decider.run,
        lambda: report_again(table),
    ]
    if follows:
        jobs += [
            reader.follower.run,
            lambda: reader.poll(lambda: decider.deciding),
        ]
    tasks = [spawn(job) for job in jobs]
    try:
        yield decider
    finally:
        for task in tasks:
            task.kill()


def wait_until(condition):
    with Timeout(DEADLINE_S):
        while not condition():
            sleep(0.01)


def put(table, key, value):
    MemoryTable.commit(table, [Write(key, encode_value(value))])


def put_worker(table, node, zone):
    worker = a_worker(incarnation=f"{node}@1", zone=zone)
    put(table, WORKER_PREFIX + node, a_report(node, worker=worker))


def orders_on(table, node):
    row = table.get(orders_key(node))
    return () if row is None else decode_row(row, Orders).orders


def test_new_decider_reads_the_requests_before_it_decides():
    # Nothing brings the request but the reading at the take-over.
    table = RequestsUnreadable(unreadable=True)
    put_worker(table, "n0", "a")
    put_worker(table, "n1", "b")
    put(table, JOB_PREFIX + "j", a_job("j"))
    request(table, "a")
    with deciding(table, "entry", follows=False) as decider:
        wait_until(lambda: table.refused >= 2)
        assert not decider.deciding
        assert not orders_on(table, "n0")
        assert not orders_on(table, "n1")
        table.unreadable = False
        wait_until(lambda: orders_on(table, "n1"))
        assert not orders_on(table, "n0")


def test_decider_killed_before_its_next_decision_leaves_none_unwithdrawn():
    table = RequestsUnreadable()
    put_worker(table, "n0", "a")
    with deciding(table, "first", follows=True):
        put(table, JOB_PREFIX + "j", a_job("j"))
        wait_until(lambda: orders_on(table, "n0"))
    request(table, "a")
    put_worker(table, "n1", "b")
    with deciding(table, "second", follows=False):
        wait_until(lambda: all(o.stop for o in orders_on(table, "n0")))
        put(table, JOB_PREFIX + "k", a_job("k"))
        wait_until(lambda: orders_on(table, "n1"))
        assert [o.task for o in orders_on(table, "n0")] == ["j.0.0.0"]


def test_request_written_while_the_table_is_down_holds_afterwards():
    table = RequestsUnreadable()
    put_worker(table, "n0", "a")
    with deciding(table, "entry", follows=True) as decider:
        wait_until(lambda: decider.deciding)
        # The operator's own write got through.
        request(table, "a")
        table.faults.down = True
        wait_until(lambda: table.feeds_refused >= 2)
        table.faults.down = False
        put(table, JOB_PREFIX + "j", a_job("j"))
        put_worker(table, "n1", "b")
        wait_until(lambda: orders_on(table, "n1"))
        assert not orders_on(table, "n0")


def test_decider_that_cannot_read_requests_leaves_the_lease(monkeypatch):
    # Another entry may be able to read them.
    monkeypatch.setattr(evacuation_module, "POLL_S", 0.01)
    table = RequestsUnreadable()
    put_worker(table, "n0", "a")
    with deciding(table, "entry", follows=False) as decider:
        wait_until(lambda: decider.deciding)
        table.unreadable = True
        wait_until(lambda: not decider.deciding)

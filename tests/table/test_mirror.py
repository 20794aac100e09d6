from __future__ import annotations

from random import Random

import pytest
from gevent import sleep
from gevent import spawn
from gevent import Timeout
from gevent.event import Event

from filbertlb.batch.testing import StaticContact
from filbertlb.core.clock import SystemClock
from filbertlb.core.clock import VirtualClock
from filbertlb.core.response_timeout import ResponseTimeout
from filbertlb.errors import FilbertlbError
from filbertlb.table.base import Changes
from filbertlb.table.base import Row
from filbertlb.table.base import Snapshot
from filbertlb.table.base import TableUnavailableError
from filbertlb.table.base import Write
from filbertlb.table.contact import FollowerContact
from filbertlb.table.contact import PromptContact
from filbertlb.table.memory import MemoryTable
from filbertlb.table.mirror import Follower
from filbertlb.table.mirror import MIN_CHANGES_BYTES
from filbertlb.table.mirror import Mirror


def loaded_mirror(*rows, version=10):
    mirror = Mirror()
    mirror.replace(Snapshot(rows, version), 0.0)
    return mirror


def values(mirror):
    return {key: row.value for key, row in mirror.row_by_key.items()}


def test_older_version_never_replaces_a_newer_one():
    mirror = loaded_mirror(Row("t/a", b"new", 9))
    mirror.apply(Changes((Row("t/a", b"old", 4),), {"t/a": 5}, 5), 1.0)
    mirror.replace(Snapshot((), 8), 2.0)
    assert values(mirror) == {"t/a": b"new"}
    assert mirror.version == 10


def test_snapshot_removes_deleted_rows():
    mirror = loaded_mirror(Row("t/a", b"1", 3), Row("t/b", b"2", 4))
    mirror.replace(Snapshot((Row("t/b", b"2", 4),), 12), 1.0)
    assert values(mirror) == {"t/b": b"2"}


def test_late_change_does_not_restore_a_deleted_row():
    mirror = loaded_mirror(Row("t/a", b"1", 3))
    mirror.apply(Changes((), {"t/a": 11}, 11), 1.0)
    mirror.put(Row("t/a", b"1", 3), 2.0)
    assert values(mirror) == {}
    mirror.put(Row("t/a", b"again", 12), 3.0)
    assert values(mirror) == {"t/a": b"again"}


def test_listeners_are_called_once_for_each_change():
    notifications = []
    mirror = loaded_mirror()
    mirror.add_listener(
        lambda key, row: notifications.append((key, row and row.version))
    )
    row = Row("t/a", b"1", 11)
    mirror.put(row, 1.0)
    mirror.apply(Changes((row,), {}, 11), 2.0)
    mirror.apply(Changes((), {"t/a": 12}, 12), 3.0)
    assert notifications == [("t/a", 11), ("t/a", None)]


def test_follower_goes_on_after_an_unexpected_error():
    # The following task ended, and its process decided on an old copy.
    def fail_on_first_row(key, row):
        if key == "t/a":
            raise KeyError(key)

    mirror, table = loaded_mirror(version=0), MemoryTable()
    mirror.add_listener(fail_on_first_row)
    following = spawn(Follower(table, "t", mirror, SystemClock()).run)
    try:
        for key in ("t/a", "t/b"):
            table.commit([Write(key, b"1")])
        with Timeout(10.0):
            while "t/b" not in mirror.row_by_key:
                sleep(0.01)
    finally:
        following.kill()


class SlowTable(MemoryTable):
    """Table whose clock moves on by some seconds in each snapshot."""

    clock = VirtualClock()

    def snapshot(self, prefix):
        snapshot = super().snapshot(prefix)
        self.clock.advance(9.0)
        return snapshot


def test_rows_of_a_slow_snapshot_may_be_as_old_as_its_call():
    table = SlowTable()
    began_s = table.clock.monotonic()
    follower = Follower(table, "t", Mirror(), table.clock)
    following = spawn(follower.run)
    try:
        with Timeout(10.0):
            follower.mirror.changed.wait()
    finally:
        following.kill()
    versions = follower.mirror.versions
    assert versions.earliest_write_s(follower.mirror.version + 1) == began_s


class SilentTable(MemoryTable):
    """Table that refuses one call and then leaves calls without an answer."""

    def __init__(self):
        super().__init__()
        self.refuses = self.silent = True
        self.waiting = Event()

    def _simulate_faults(self):
        if self.refuses:
            self.refuses = False
            raise TableUnavailableError("refused")
        if self.silent:
            self.waiting.set()
            Event().wait()


def test_table_that_answered_again_was_taken_for_silent():
    # A call from the time of the silence gets no answer even after it.
    table = SilentTable()
    follower = Follower(table, "t", loaded_mirror(version=0), SystemClock())
    following = spawn(follower.run)
    try:
        with Timeout(10.0):
            table.waiting.wait()
            assert not FollowerContact(follower).reachable
            table.silent = False
            while not FollowerContact(follower).reachable:
                sleep(0.01)
    finally:
        following.kill()


class StaleTable(MemoryTable):
    """Table whose change feed is cut once, and whose reads are stale."""

    def __init__(self):
        super().__init__()
        self.cut = True

    def get(self, key):
        raise TableUnavailableError("stale read")

    def changes(self, table, *call):
        if self.cut:
            self.cut = False
            raise TableUnavailableError("cut")
        return super().changes(table, *call)


def test_follower_did_not_ask_for_changes_while_reads_were_stale():
    mirror, table = loaded_mirror(version=0), StaleTable()
    following = spawn(Follower(table, "t", mirror, SystemClock()).run)
    try:
        table.commit([Write("t/a", b"1")])
        with Timeout(10.0):
            while "t/a" not in mirror.row_by_key:
                sleep(0.01)
    finally:
        following.kill()


@pytest.mark.parametrize(
    ("loaded", "failure", "age_s", "reachable"),
    [
        (True, None, 60.0, True),
        (True, FilbertlbError("reset"), 0.5, True),
        (True, FilbertlbError("silent"), 1.0, False),
        (False, None, 0.0, False),
    ],
)
def test_contact_is_lost_by_a_failure_that_lasts(
    loaded, failure, age_s, reachable
):
    clock = VirtualClock()
    follower = Follower(MemoryTable(), "t", Mirror(loaded=loaded), clock)
    follower.contact_s = clock.monotonic() - age_s
    follower.failure = failure
    assert FollowerContact(follower).reachable is reachable


def test_search_for_a_table_that_answers_asked_for_all_changes():
    # Each call brought them over the link again, and they were not used.
    class RefusingOnce(MemoryTable):
        calls = 0

        def changes(self, table, *call):
            self.calls += 1
            if self.calls == 1:
                raise TableUnavailableError("refused")
            return super().changes(table, *call)

        def newest_version(self, table):
            if self.calls == 1 and len(asked) < 4:
                asked.append(table)
                raise TableUnavailableError("refused")
            return super().newest_version(table)

    asked = []
    table, mirror = RefusingOnce(), loaded_mirror(version=0)
    table.commit([Write("t/a", b"1")])
    following = spawn(Follower(table, "t", mirror, SystemClock()).run)
    try:
        with Timeout(10.0):
            while "t/a" not in mirror.row_by_key:
                sleep(0.01)
    finally:
        following.kill()
    assert asked == ["t"] * 4
    assert table.calls == 2


@pytest.mark.parametrize(
    ("table_bytes", "wanted"),
    [(0, MIN_CHANGES_BYTES), (1_000_000, 2_000_000)],
)
def test_changes_are_read_up_to_the_size_of_the_table(table_bytes, wanted):
    limits = []

    class RecordingTable(MemoryTable):
        def changes(self, table, after, wait_s, limit_bytes):
            limits.append(limit_bytes)
            return super().changes(table, after, wait_s)

    mirror = loaded_mirror(
        Row("t/a", b"x" * 9, 1), Row("t/b", b"x" * table_bytes, 2)
    )
    mirror.put(Row("t/a", b"", 3), 0.0)
    table = RecordingTable()
    following = spawn(Follower(table, "t", mirror, SystemClock()).run)
    with Timeout(10.0):
        while not limits:
            sleep(0.01)
    following.kill()
    assert limits[0] == wanted


def test_pauses_between_reads_that_fail_grow():
    follower = Follower(
        MemoryTable(), "t", Mirror(), SystemClock(), random=Random(5)
    )
    pauses = [follower._retry_delay_s() for _ in range(200)]
    assert 0.125 <= pauses[0] <= 0.25
    assert all(0.5 <= pause <= 1.0 for pause in pauses[2:])
    assert len(set(pauses)) == len(pauses)


@pytest.mark.parametrize(
    ("reachable", "response_s", "wanted"),
    [(True, 0.0, True), (True, 1.24, False), (False, 0.0, False)],
)
def test_caller_waited_for_a_write_that_a_slow_table_could_not_confirm(
    reachable, response_s, wanted
):
    response = ResponseTimeout(0.8, 3.2)
    response.on_answer(response_s, response_s)
    inner = StaticContact(reachable=reachable)
    assert PromptContact(inner, response, 0.8).reachable == wanted

from __future__ import annotations

import pytest

from filbertlb.batch.model import Run
from filbertlb.batch.testing import a_worker
from filbertlb.batch.testing import an_order
from filbertlb.batch.worker_link import WorkerDownError
from filbertlb.batch.worker_link import WorkerSilentError
from filbertlb.core.clock import VirtualClock
from filbertlb.platform.runner import PlatformWorkerClient
from filbertlb.platform.wire import Heartbeat
from filbertlb.standin.wsgi import serving


def unhealthy(environ, start_response):
    start_response("503 -", [("Content-Length", "4")])
    return [b"busy"]


def query_runs(address):
    return PlatformWorkerClient(address, VirtualClock()).list_runs(
        "i@1", 1, 0, 1.0, 0.0
    )


def test_unusable_reply_is_reported_with_its_reason():
    with (
        serving(unhealthy) as url,
        pytest.raises(WorkerSilentError, match=r"503.*busy") as raised,
    ):
        query_runs(url.removeprefix("http://"))
    assert not isinstance(raised.value, WorkerDownError)
    with pytest.raises(WorkerDownError, match="no connection"):
        query_runs("127.0.0.1:1")


GOOD_RUN = b'["j.0.0.0",1,"",10,0]'
GOOD_END = b'[1,"k.0.0.0",1,"done",""]'
DEEP = b"[" * 100_000 + b"]" * 100_000
FAIRLY_DEEP = b"[" * 900 + b"]" * 900


def list_runs(body):
    """Return the listing that is read from a reply of the worker."""

    def reply(environ, start_response):
        start_response("200 -", [("Content-Length", str(len(body)))])
        return [body]

    with serving(reply) as url:
        return query_runs(url.removeprefix("http://"))


def a_listing(runs=(), ends=()):
    return b'{"running":[%s],"finished":[%s]}' % (
        b",".join(runs),
        b",".join(ends),
    )


@pytest.mark.parametrize(
    ("runs", "ends"),
    [
        ([b'["short"]'], []),
        ([b'["j.0.0.1","x","",10]'], []),
        ([b'[["j.0.0.1"],1,"",10]'], []),
        ([DEEP], []),
        ([b'[%s,1,"",10]' % DEEP], []),
        ([b'[%s,1,"",10]' % FAIRLY_DEEP], []),
        ([b'{"odd":%s}' % DEEP], []),
        ([b"null"], []),
        ([], [b'[2,"k.0.0.1",1,"vanished",""]']),
        ([], [b'["k.0.0.1"]']),
        ([], [b'[null,"k.0.0.1",1,"done",""]']),
        ([], [b'[2,%s,1,"done",""]' % FAIRLY_DEEP]),
        ([], [DEEP]),
    ],
    ids=lambda entries: b",".join(entries)[:30].decode(),
)
def test_unreadable_entry_is_skipped_and_ends_no_run(runs, ends):
    found = list_runs(a_listing([GOOD_RUN, *runs], [GOOD_END, *ends]))
    assert found.running == (Run("j.0.0.0", 1, "", 10),)
    assert [listed.end.task for listed in found.ends] == ["k.0.0.0"]
    assert not found.ends_complete


def test_entry_may_have_more_members_than_are_read():
    body = a_listing(
        [b'["j.0.0.0",1,"",10,0,%s]' % DEEP],
        [b'[1,"k.0.0.0",1,"done","",{"more":1}]'],
    )
    found = list_runs(body)
    assert found.running == (Run("j.0.0.0", 1, "", 10),)
    assert [listed.number for listed in found.ends] == [1]
    assert found.ends_complete


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"null",
        b"[]",
        b'{"running":3}',
        b'{"finished":{"1":2}}',
        b'{"running":[],"clockMs":"x"}',
        DEEP,
    ],
    ids=lambda body: body[:20].decode(),
)
def test_unreadable_listing_was_taken_for_one_without_runs(body):
    # Such a listing counted as complete and ended each run as lost.
    with pytest.raises(WorkerSilentError):
        list_runs(body)


def test_unreadable_end_is_not_acknowledged():
    # Once acknowledged and no longer listed, its run counted as lost.
    ends = [
        GOOD_END,
        b'[2,"k.0.0.1",1,"vanished",""]',
        b'[3,"k.0.0.2",1,"done",""]',
    ]
    found = list_runs(a_listing(ends=ends))
    assert [(listed.end.task, listed.number) for listed in found.ends] == [
        ("k.0.0.0", 1),
        ("k.0.0.2", 1),
    ]


def test_start_named_the_instance_of_a_later_heartbeat():
    # It would have run on another instance than it was ordered for.
    instance_ids = []

    def reply(environ, start_response):
        instance_ids.append(environ["HTTP_X_EXPECT_INSTANCE"])
        start_response("200 -", [("Content-Length", "2")])
        return [b"{}"]

    with serving(reply) as url:
        client = PlatformWorkerClient(
            url.removeprefix("http://"), VirtualClock()
        )
        client.on_heartbeat(Heartbeat(a_worker(incarnation="i-2@9"), 1, 9, 0))
        client.start(an_order("j.0.0.0", incarnation="i-1@5"), "", 1, 1.0)
    assert instance_ids == ["i-1"]

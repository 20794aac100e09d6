from __future__ import annotations

from io import BytesIO
from json import dumps

import pytest

from filbertlb.errors import NotFoundError
from filbertlb.platform.heartbeats import HeartbeatReceiver
from filbertlb.platform.wire import UnreadableMessageError

REPORT = {
    "service": "render",
    "addr": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 8},
    "labels": ["a", "r1-3"],
    "clockMs": 482113,
    "born": 7000,
    "seq": 4,
}


class Site:
    def __init__(self):
        self.heard = []
        self.left = 0
        self.heartbeats = HeartbeatReceiver(self.heard.append, self.leave)

    def leave(self):
        self.left += 1

    def call(self, method, path, body=None):
        text = body if isinstance(body, bytes) else dumps(body).encode()
        return self.heartbeats.handle(
            {
                "REQUEST_METHOD": method,
                "PATH_INFO": path,
                "wsgi.input": BytesIO(text),
            }
        )

    def beat(self, **changes):
        return self.call("PUT", "/filbertlb/instances/i-1", REPORT | changes)


def test_a_heartbeat_tells_the_worker():
    site = Site()
    assert site.beat().status == 200
    (heard,) = site.heard
    assert heard.worker.incarnation == "i-1@7000"
    assert heard.worker.capacity == (8, 16_000, 32_768)
    assert heard.worker.rack == "r1-3"
    assert not heard.worker.draining


@pytest.mark.parametrize(
    "late", [{"seq": 3}, {"seq": 4}, {"seq": 9, "born": 6000}]
)
def test_a_late_heartbeat_changes_nothing(late):
    site = Site()
    site.beat()
    assert site.beat(**late).status == 200
    assert len(site.heard) == 1


def test_a_new_life_counts_anew():
    site = Site()
    site.beat()
    site.beat(born=8000, seq=1)
    assert site.heard[-1].worker.incarnation == "i-1@8000"


@pytest.mark.parametrize(
    "changes", [{"state": "odd"}, {"capacity": 3}, {"seq": "x"}]
)
def test_what_cannot_be_read_names_no_worker(changes):
    site = Site()
    with pytest.raises(UnreadableMessageError):
        site.beat(**changes)
    assert site.heard == []


def test_only_the_worker_heard_last_can_leave():
    site = Site()
    site.beat()
    site.call("DELETE", "/filbertlb/instances/i-0")
    assert site.left == 0
    site.call("DELETE", "/filbertlb/instances/i-1")
    assert site.left == 1


def test_other_paths_are_not_served():
    with pytest.raises(NotFoundError):
        Site().call("PUT", "/other/i-1", REPORT)

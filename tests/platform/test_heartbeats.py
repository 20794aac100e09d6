from __future__ import annotations

from io import BytesIO
from json import dumps

import pytest

from filbertlb.core.clock import VirtualClock
from filbertlb.errors import NotFoundError
from filbertlb.platform.heartbeats import HeartbeatReceiver
from filbertlb.platform.wire import MAX_COLD_LEFT_MS
from filbertlb.platform.wire import UnreadableMessageError

PERIOD_S = 1.5
HEARTBEAT = {
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


class Harness:
    """Receiver whose callbacks record what they are called with."""

    def __init__(self):
        self.received = []
        self.leave_count = 0
        self.clock = VirtualClock(1000.0)
        self.receiver = HeartbeatReceiver(
            self.received.append, self.on_leave, self.clock, PERIOD_S
        )

    def on_leave(self):
        self.leave_count += 1

    def call(self, method, path, body=None):
        text = body if isinstance(body, bytes) else dumps(body).encode()
        return self.receiver.handle(
            {
                "REQUEST_METHOD": method,
                "PATH_INFO": path,
                "wsgi.input": BytesIO(text),
            }
        )

    def send_heartbeat(self, **changes):
        return self.call(
            "PUT", "/filbertlb/instances/i-1", HEARTBEAT | changes
        )


def test_heartbeat_is_decoded_into_worker():
    harness = Harness()
    assert harness.send_heartbeat().status == 200
    (heartbeat,) = harness.received
    assert heartbeat.worker.incarnation == "i-1@7000"
    assert heartbeat.worker.capacity == (8, 16_000, 32_768)
    assert heartbeat.worker.rack == "r1-3"
    assert not heartbeat.worker.draining


@pytest.mark.parametrize(
    ("changes", "cold_left_ms"),
    [
        ({"coldLeftMs": 1500}, 1500),
        ({"coldLeftMs": -1}, 0),
        ({"coldLeftMs": None}, 0),
        ({"coldLeftMs": "x"}, 0),
        ({"coldLeftMs": True}, 0),
        ({"coldLeftMs": 10**30}, MAX_COLD_LEFT_MS),
    ],
)
def test_odd_cold_time_does_not_cost_the_heartbeat(changes, cold_left_ms):
    harness = Harness()
    assert harness.send_heartbeat(**changes).status == 200
    (heartbeat,) = harness.received
    assert heartbeat.worker.cold_left_ms == cold_left_ms


@pytest.mark.parametrize(
    "late", [{"seq": 3}, {"seq": 4}, {"seq": 9, "born": 6000}]
)
def test_outdated_heartbeat_is_ignored(late):
    harness = Harness()
    harness.send_heartbeat()
    harness.clock.advance(PERIOD_S)
    assert harness.send_heartbeat(**late).status == 200
    assert len(harness.received) == 1


@pytest.mark.parametrize("late", [{"seq": 3}, {"seq": 4}])
def test_late_heartbeat_of_silent_worker_is_ignored(late):
    harness = Harness()
    harness.send_heartbeat()
    harness.clock.advance(100.0)
    harness.send_heartbeat(**late)
    assert len(harness.received) == 1


@pytest.mark.parametrize("odd_born", [7001, 2**53])
def test_worker_is_heard_after_one_heartbeat_from_the_future(odd_born):
    # One odd heartbeat made an agent deaf to its worker for ever.
    harness = Harness()
    harness.send_heartbeat(seq=1)
    harness.send_heartbeat(born=odd_born, seq=1)
    for number in range(2, 8):
        harness.clock.advance(PERIOD_S)
        harness.send_heartbeat(seq=number)
    assert harness.received[-1].worker.incarnation == "i-1@7000"
    assert harness.received[-1].sequence == 7


def test_new_incarnation_restarts_sequence():
    harness = Harness()
    harness.send_heartbeat()
    harness.send_heartbeat(born=8000, seq=1)
    assert harness.received[-1].worker.incarnation == "i-1@8000"


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "odd"},
        {"capacity": 3},
        {"seq": "x"},
        {"seq": 10**300},
        {"born": 10**300},
        {"born": -1},
        {"clockMs": 10**300},
        {"remainingMs": 10**300},
        {"capacity": {"gpu": 10**300}},
        {"capacity": {"cpu": -1}},
        {"addr": "10.0.0.9:70000"},
        {"addr": "10.0.0.9:-1"},
        {"addr": "10.0.0.9:x"},
        {"addr": "10.0.0.9"},
        {"addr": ""},
    ],
)
def test_unreadable_heartbeat_is_rejected(changes):
    harness = Harness()
    with pytest.raises(UnreadableMessageError):
        harness.send_heartbeat(**changes)
    assert harness.received == []


def test_only_current_worker_can_deregister():
    harness = Harness()
    harness.send_heartbeat(state="draining")
    harness.call("DELETE", "/filbertlb/instances/i-0")
    assert harness.leave_count == 0
    harness.call("DELETE", "/filbertlb/instances/i-1")
    assert harness.leave_count == 1


def test_late_deregistration_was_taken_for_that_of_the_next_incarnation():
    # Its runs were given up while it worked on them.
    harness = Harness()
    harness.send_heartbeat(state="draining")
    harness.send_heartbeat(born=8000, seq=1)
    harness.call("DELETE", "/filbertlb/instances/i-1")
    assert harness.leave_count == 0
    harness.send_heartbeat(born=8000, seq=2, state="draining")
    harness.call("DELETE", "/filbertlb/instances/i-1")
    assert harness.leave_count == 1


def test_unknown_path_is_not_found():
    with pytest.raises(NotFoundError):
        Harness().call("PUT", "/other/i-1", HEARTBEAT)

from __future__ import annotations

from collections import Counter

import pytest

from filbertlb.core.adaptive_limit import AdaptiveLimit
from filbertlb.core.limits import AdmissionGate
from filbertlb.core.limits import GateLimits
from filbertlb.core.limits import QueuedRequest


def _request(number, owner="a", urgent=False, deadline_s=100.0):
    return QueuedRequest(str(number), owner, urgent, deadline_s)


def _gate(limit=4.0, **bounds):
    bounds = {"queue": 40, "urgent_queue": 4, "urgent_share": 0.25} | bounds
    # A fixed limit, so that the number of slots is known.
    fixed = AdaptiveLimit(limit, limit, limit)
    return AdmissionGate(GateLimits(**bounds), fixed)


def _run(gate, latency_s, steps, refill):
    """Complete requests in turn; count the starts by organisation."""
    running = []
    owners = Counter()
    for step in range(steps):
        for request in refill(step):
            running += gate.offer(request, 0.0).started
        ended = running.pop(0)
        started = gate.done(ended, latency_s, 0.0).started
        owners.update(one.organisation_id for one in started)
        running += started
    return owners


@pytest.mark.parametrize(
    ("weight", "b_at_a_time", "least", "most"),
    [(1.0, 3, 0.45, 0.55), (3.0, 3, 0.70, 0.80), (1.0, 1, 0.45, 0.55)],
)
def test_shares_follow_the_weights(weight, b_at_a_time, least, most):
    """Organisation a overloads the gate; b keeps a few waiting."""
    gate = _gate(weight_by_id={"b": weight})

    def refill(step):
        waiting = sum(
            request.organisation_id == "b"
            for queue in gate._normal._queue_by_id.values()
            for request in queue
        )
        yield from (_request(f"a{step}.{n}") for n in range(4))
        for number in range(b_at_a_time - waiting):
            yield _request(f"b{step}.{number}", "b")

    owners = _run(gate, 0.1, 400, refill)
    assert least <= owners["b"] / owners.total() <= most


def test_urgent_is_not_delayed_by_a_burst():
    gate = _gate()
    for number in range(40):
        gate.offer(_request(number), 0.0)
    assert gate.running == 3
    first = gate.offer(_request("u1", urgent=True), 0.0)
    assert [one.request_id for one in first.started] == ["u1"]
    waiting = _request("u2", urgent=True)
    assert gate.offer(waiting, 0.0).started == ()
    assert gate.done(_request(0), 0.1, 0.0).started == (waiting,)


def test_full_queue_sheds_newest_request_of_longest_queue():
    gate = _gate(queue=4, urgent_share=0.0)
    for number in range(8):
        assert not gate.offer(_request(number), 0.0).refused
    ((shed, error),) = gate.offer(_request(8, "b"), 0.0).refused
    assert (shed.request_id, error.code) == ("7", "overloaded")
    assert error.retry_after_s > 0
    ((shed, _),) = gate.offer(_request(9), 0.0).refused
    assert shed.request_id == "9"


def test_requests_are_shed_or_expire_before_the_deadline():
    gate = _gate(urgent_share=0.0)
    for number in range(5):
        gate.offer(_request(number), 0.0)
    # Service time is one second, four requests run and one waits.
    gate.done(_request(0), 1.0, 0.0)
    for number in range(4):
        gate.offer(_request(f"w{number}", deadline_s=5.0), 0.0)
    ((_, error),) = gate.offer(_request("x", deadline_s=0.9), 0.0).refused
    assert (error.code, error.retry_after_s) == ("overloaded", 1.0)
    expired = gate.expire(6.0).refused
    assert {error.code for _, error in expired} == {"deadline_expired"}
    assert (len(expired), gate.waiting) == (4, 0)
    assert not gate.give_up(_request("w0", deadline_s=5.0))


@pytest.mark.parametrize("capacity", [10, 40])
def test_limit_converges_to_the_capacity(capacity):
    """Latency is proportional to the load above the capacity."""
    adaptive = AdaptiveLimit()
    for _ in range(40_000):
        in_flight = adaptive.limit
        latency_s = 0.1 * max(1.0, in_flight / capacity)
        adaptive.answered(latency_s, int(in_flight))
    assert capacity <= adaptive.limit <= 3 * capacity
    for _ in range(100):
        adaptive.answered(0.1, 0)
    before = adaptive.limit
    adaptive.overloaded()
    assert adaptive.limit < before

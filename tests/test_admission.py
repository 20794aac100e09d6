"""Replays of clients that hold memory, without a network."""

from __future__ import annotations

import pytest

from filbertlb.admission import ADDRESS_SHARE
from filbertlb.admission import Admission
from filbertlb.admission import LOG_PERIOD_S
from filbertlb.admission import machine_bounds
from filbertlb.admission import MIB
from filbertlb.admission import Phase
from filbertlb.admission import SMALL_BYTES
from filbertlb.admission import STALLED_S
from filbertlb.admission import Verdict

LIMIT = 32 * MIB
BODY = 4 * MIB
BLOCK = 64 * 1024


def reading(admission, address="10.0.0.1", now_s=0.0):
    connection = admission.open(address, now_s)
    connection.enter(Phase.READING, now_s)
    return connection


def send(admission, connection, count, now_s):
    """Receive a body in blocks until it is whole or refused."""
    for _ in range(0, count, BLOCK):
        decision = admission.reserve(connection, BLOCK, now_s)
        if decision.verdict is not Verdict.GRANTED:
            return decision
        connection.move(BLOCK, now_s)
    return decision


def addresses():
    """Yield addresses, two connections each."""
    for number in range(1000):
        yield f"10.0.0.{number // 2}"


def crowd(admission, clients, now_s=0.0):
    """Let clients send bodies that stop just short of their end."""
    found = []
    for _, address in zip(range(clients), addresses(), strict=False):
        connection = reading(admission, address, now_s)
        decision = send(admission, connection, BODY, now_s)
        found.append((connection, decision))
        if decision.verdict is not Verdict.GRANTED:
            admission.close(connection)
    return found


def test_budget_is_never_exceeded_and_released_in_full():
    admission = Admission(LIMIT)
    connections = [connection for connection, _ in crowd(admission, 200)]
    assert 0 < admission.held_bytes <= LIMIT
    for connection in connections:
        admission.close(connection)
    assert admission.held_bytes == 0
    assert not admission._bytes_by_address
    assert not admission.connections


def test_small_request_is_served_beside_bodies_that_progress():
    """Guards against large bodies that take the whole budget."""
    admission = Admission(LIMIT)
    crowd(admission, 200)
    for _ in range(1000):
        small = reading(admission)
        decision = admission.reserve(small, 8000, 0.0)
        assert decision.verdict is Verdict.GRANTED
    assert admission.held_bytes <= LIMIT


def test_stalled_bodies_are_closed_for_new_ones():
    """Guards against clients that stop short and stay."""
    admission = Admission(LIMIT)
    crowd(admission, 200)
    later_s = STALLED_S
    newcomer = reading(admission, "10.0.9.9", later_s)
    decision = send(admission, newcomer, BODY, later_s)
    assert decision.verdict is Verdict.GRANTED
    assert newcomer.held_bytes == BODY


def test_what_holds_most_and_progresses_least_goes_first():
    admission = Admission(LIMIT)
    sizes = {0.0: 6 * MIB, 1.0: 2 * MIB, 2.0: 8 * MIB, 2.5: 11 * MIB}
    held = {}
    for now_s, size in sizes.items():
        held[now_s] = reading(admission, f"10.0.1.{now_s}", now_s)
        send(admission, held[now_s], size, now_s)
    newcomer = reading(admission, "10.0.9.9", 3.0)
    decision = admission.reserve(newcomer, 2 * MIB, 3.0)
    # 6 MiB for 3 s come before 8 MiB for 1 s; 11 MiB for 0.5 s progress.
    assert decision.closed == (held[0.0],)
    assert held[0.0].closing
    assert held[0.0].held_bytes == 0


def test_single_bytes_are_no_progress():
    """Guards against clients that send one byte now and then."""
    connection = reading(Admission(LIMIT))
    for second in range(1, 10):
        connection.move(1, float(second))
    assert connection.progress_s == 0.0


def test_running_requests_are_never_closed():
    """Guards against a refusal 'not run' of a request that runs."""
    admission = Admission(LIMIT)
    for connection, decision in crowd(admission, 200):
        if decision.verdict is Verdict.GRANTED:
            connection.enter(Phase.RUNNING, 0.0)
    newcomer = reading(admission, "10.0.9.9", 100.0)
    decision = send(admission, newcomer, BODY, 100.0)
    assert decision.verdict is Verdict.PROCESS_FULL
    assert not any(one.closing for one in admission.connections)
    assert not admission.make_room(
        [one for one in admission.connections if one is not newcomer],
        100,
        100.0,
    )


def test_closing_connection_gets_nothing():
    """Guards against a closed connection that goes on to run."""
    admission = Admission(LIMIT)
    connection = reading(admission)
    send(admission, connection, BODY, 0.0)
    admission.make_room([connection], 1, STALLED_S)
    decision = admission.reserve(connection, 1, STALLED_S)
    assert decision.verdict is Verdict.PROCESS_FULL
    assert admission.held_bytes == 0


def test_one_address_leaves_room_for_others():
    admission = Admission(LIMIT)
    for _ in range(200):
        connection = reading(admission)
        decision = send(admission, connection, BODY, 0.0)
        if decision.verdict is not Verdict.GRANTED:
            admission.close(connection)
    assert decision.verdict is Verdict.ADDRESS_FULL
    assert admission.held_bytes <= LIMIT * ADDRESS_SHARE
    other = reading(admission, "10.0.9.9")
    assert send(admission, other, BODY, 0.0).verdict is Verdict.GRANTED


def test_unread_responses_are_closed_when_the_budget_is_short():
    admission = Admission(LIMIT)
    for number in range(20):
        unread = reading(admission, f"10.0.0.{number}")
        closed = admission.respond(unread, 2 * MIB, number * 0.1)
    assert closed
    assert admission.held_bytes <= LIMIT


def test_room_is_made_from_the_least_useful_connections():
    """Guards against kept connections closed before silent ones."""
    admission = Admission(LIMIT)
    kept, silent, fresh = (
        admission.open("10.0.0.1", now_s) for now_s in (0.0, 1.0, 9.5)
    )
    kept.served = True
    order = admission.make_room([kept, silent, fresh], 3, 10.0)
    assert order == (silent, kept)


def test_log_lines_are_bounded():
    admission = Admission(LIMIT)
    reported = [admission.count_refusal("busy", 0.0) for _ in range(100)]
    assert reported == [1] + [0] * 99
    assert admission.count_refusal("other", 0.0) == 1
    assert admission.count_refusal("busy", LOG_PERIOD_S) == 100
    assert admission.refusals == {"busy": 101, "other": 1}


@pytest.mark.parametrize(
    ("memory_mb", "descriptors", "connections"),
    [(160, 1638, 1238), (160, 10_250, 1280), (552, 10_250, 4416), (1, 1, 32)],
)
def test_bounds_follow_from_the_machine(memory_mb, descriptors, connections):
    bounds = machine_bounds(memory_mb * MIB, descriptors)
    assert bounds.connections == connections
    assert bounds.held_bytes == int(memory_mb * MIB / 5)


def test_smallest_machine_has_room_for_the_largest_request():
    admission = Admission(machine_bounds(160 * MIB, 1638).held_bytes)
    whole = BODY + SMALL_BYTES
    decision = send(admission, reading(admission), whole, 0.0)
    assert decision.verdict is Verdict.GRANTED

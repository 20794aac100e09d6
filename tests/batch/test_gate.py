from __future__ import annotations

import pytest

from filbertlb.batch.gate import WorkerGate
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import Run
from filbertlb.batch.model import RunEnd
from filbertlb.batch.testing import a_worker
from filbertlb.batch.testing import an_order
from filbertlb.batch.testing import some_orders
from filbertlb.batch.worker_link import ListedEnd
from filbertlb.batch.worker_link import StartCall
from filbertlb.batch.worker_link import StartResult
from filbertlb.batch.worker_link import StopCall

LAPSED_S = 6.0 * 1.02 + 0.4
WHOLE_WORKER = (8, 1_000, 1_000)


def gate_with(*orders, worker=None):
    gate = WorkerGate()
    gate.set_worker(worker or a_worker())
    gate.looked(0.0, [], [], whole=True)
    gate.extended(0.0)
    gate.set_orders(some_orders(*orders))
    return gate


def causes(gate):
    return {end.task: end.cause for end in gate.ended()}


def start(gate, now_s=0.0):
    for call in gate.due(now_s):
        assert isinstance(call, StartCall)
        gate.started(call.order, StartResult.STARTED, now_s)


def test_starts_an_order_once():
    gate = gate_with(an_order("j.0.0.0"))
    (call,) = gate.due(0.0)
    assert call == StartCall(an_order("j.0.0.0"), "payload")
    assert gate.due(0.0) == []


def test_what_is_being_stopped_still_counts():
    gate = gate_with(an_order("old.0.0.0", needs=WHOLE_WORKER))
    start(gate)
    gate.set_orders(
        some_orders(
            an_order("old.0.0.0", needs=WHOLE_WORKER, stop=True),
            an_order("new.0.0.0", needs=WHOLE_WORKER),
        )
    )
    assert gate.due(1.0) == [StopCall("old.0.0.0", 1)]
    gate.stopped(StopCall("old.0.0.0", 1), answered=True, now_s=1.1)
    assert gate.due(1.2) == []
    end = RunEnd("old.0.0.0", 1, EndCause.STOPPED, "saved")
    gate.looked(1.2, [], [ListedEnd(1, end)], whole=True)
    (call,) = gate.due(1.3)
    assert call.order.task == "new.0.0.0"
    assert end in gate.ended()


def test_an_unanswered_start_keeps_its_room_until_stopped():
    gate = gate_with(an_order("a.0.0.0", needs=WHOLE_WORKER))
    (call,) = gate.due(0.0)
    gate.started(call.order, StartResult.UNKNOWN, 0.5)
    gate.set_orders(some_orders(an_order("b.0.0.0", needs=WHOLE_WORKER)))
    assert gate.due(0.6) == [StopCall("a.0.0.0", 1)]
    gate.looked(0.6, [], [], whole=True)
    gate.stopped(StopCall("a.0.0.0", 1), answered=True, now_s=0.8)
    assert gate.due(0.9) == []
    gate.looked(1.0, [], [], whole=True)
    (call,) = gate.due(1.1)
    assert call.order.task == "b.0.0.0"


@pytest.mark.parametrize(
    ("worker", "cause"),
    [
        (a_worker(draining=True), EndCause.REFUSED),
        (a_worker(incarnation="w@2"), EndCause.LOST),
    ],
)
def test_refuses_what_the_worker_must_not_get(worker, cause):
    gate = gate_with(an_order("j.0.0.0"), worker=worker)
    assert gate.due(0.0) == []
    assert causes(gate) == {"j.0.0.0": cause}


def test_an_order_without_room_is_refused_in_time():
    gate = gate_with(
        an_order("a.0.0.0", needs=WHOLE_WORKER),
        an_order("b.0.0.0", needs=WHOLE_WORKER),
    )
    start(gate)
    assert gate.due(1.9) == []
    gate.due(2.1)
    assert causes(gate) == {"b.0.0.0": EndCause.REFUSED}


def test_a_run_that_the_worker_does_not_list_is_lost():
    gate = gate_with(an_order("j.0.0.0"))
    start(gate, 1.0)
    gate.looked(0.9, [], [], whole=True)
    assert causes(gate) == {}
    gate.looked(1.1, [], [], whole=True)
    assert causes(gate) == {"j.0.0.0": EndCause.LOST}


def test_a_silent_worker_loses_its_runs_when_the_lease_is_out():
    gate = gate_with(an_order("j.0.0.0"))
    start(gate)
    gate.extended(2.0)
    gate.due(2.0 + LAPSED_S - 0.2)
    assert causes(gate) == {}
    gate.due(2.0 + LAPSED_S)
    assert causes(gate) == {"j.0.0.0": EndCause.LOST}


def test_orders_end_if_no_worker_comes_after_a_restart():
    gate = WorkerGate(opened_s=10.0)
    gate.set_orders(some_orders(an_order("j.0.0.0")))
    gate.due(10.0 + LAPSED_S - 0.2)
    assert causes(gate) == {}
    gate.due(10.0 + LAPSED_S)
    assert causes(gate) == {"j.0.0.0": EndCause.LOST}


def test_a_restarted_agent_takes_over_what_runs():
    gate = WorkerGate()
    gate.set_worker(a_worker())
    gate.set_orders(some_orders(an_order("j.0.0.0")))
    assert gate.due(0.0) == []
    gate.looked(0.1, [Run("j.0.0.0", 1, "", 30)], [], whole=True)
    assert gate.due(0.2) == []
    assert gate.running() == (Run("j.0.0.0", 1, "", 30),)


def test_a_run_that_nobody_ordered_is_stopped_before_any_start():
    gate = gate_with(an_order("j.0.0.0"))
    gate.looked(0.1, [Run("x.0.0.0", 1)], [], whole=True)
    assert gate.due(0.2) == [StopCall("x.0.0.0", 1)]


def test_an_end_stays_until_its_order_is_gone():
    gate = gate_with(an_order("j.0.0.0"))
    start(gate)
    end = RunEnd("j.0.0.0", 1, EndCause.DONE)
    gate.looked(1.0, [], [ListedEnd(4, end)], whole=True)
    assert gate.listed_to == 4
    gate.set_orders(some_orders(an_order("j.0.0.0")))
    assert gate.ended() == (end,)
    assert gate.due(1.0) == []
    gate.set_orders(some_orders())
    assert gate.ended() == ()


def test_a_newer_agent_process_ends_this_one():
    gate = gate_with(an_order("j.0.0.0"))
    (call,) = gate.due(0.0)
    gate.started(call.order, StartResult.FENCED, 0.1)
    assert gate.fenced
    assert gate.due(5.0) == []


def test_a_worker_that_left_has_lost_its_runs_soon_after():
    gate = gate_with(an_order("j.0.0.0"))
    start(gate)
    gate.worker_left("w@0", 1.0)
    assert not gate.left
    gate.worker_left("w@1", 1.0)
    gate.due(1.4)
    assert causes(gate) == {}
    gate.due(1.5)
    assert causes(gate) == {"j.0.0.0": EndCause.LOST}


def test_the_next_worker_is_served_after_one_left():
    gate = gate_with(an_order("j.0.0.0"))
    start(gate)
    gate.worker_left("w@1", 1.0)
    gate.set_worker(a_worker(incarnation="w@2"))
    gate.looked(2.0, [], [], whole=True)
    gate.set_orders(some_orders(an_order("k.0.0.0", incarnation="w@2")))
    (call,) = gate.due(2.1)
    assert call.order.task == "k.0.0.0"


def test_a_restarted_agent_keeps_the_ends_of_the_former():
    gate = WorkerGate()
    gate.restore([RunEnd("j.0.0.0", 1, EndCause.DONE)])
    gate.set_worker(a_worker())
    gate.set_orders(some_orders(an_order("j.0.0.0")))
    gate.looked(0.0, [], [], whole=True)
    assert gate.due(0.1) == []
    assert causes(gate) == {"j.0.0.0": EndCause.DONE}


def test_a_refused_copy_of_a_start_does_not_end_the_run_it_found():
    gate = gate_with(an_order("j.0.0.0"))
    for now_s in (0.0, 1.0, 2.0):
        (call,) = gate.due(now_s)
        if now_s < 2.0:
            gate.started(call.order, StartResult.UNKNOWN, now_s)
    # The first copy was carried out late, the third is refused.
    gate.looked(2.1, [Run("j.0.0.0", 1)], [], whole=True)
    gate.started(call.order, StartResult.UNHEALTHY, 2.2)
    gate.due(2.3)
    assert causes(gate) == {}
    assert gate.running() == (Run("j.0.0.0", 1),)

"""Runs and ends that a worker lists, and those that it does not."""

from __future__ import annotations

import attrs

from filbertlb.batch.model import EndCause
from filbertlb.batch.model import MAX_SAVED_BYTES
from filbertlb.batch.model import Run
from filbertlb.batch.model import RunEnd
from filbertlb.batch.testing import a_worker
from filbertlb.batch.testing import an_order
from filbertlb.batch.testing import some_orders
from filbertlb.batch.worker_link import ListedEnd
from filbertlb.batch.worker_link import StartResult
from filbertlb.batch.worker_link import StopCall
from filbertlb.table.base import Row
from filbertlb.table.rows import decode_row
from tests.batch.reconciling import a_reconciler
from tests.batch.reconciling import cause_by_task
from tests.batch.reconciling import HALF_CAPACITY
from tests.batch.reconciling import NEXT_INCARNATION
from tests.batch.reconciling import reconciler_with
from tests.batch.reconciling import run_ms_by_task
from tests.batch.reconciling import start_all


def test_run_missing_from_later_listing_is_lost():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    start_all(reconciler, 1.0)
    reconciler.record_listing(0.9, [], [], ends_complete=True)
    assert cause_by_task(reconciler) == {}
    reconciler.record_listing(1.1, [], [], ends_complete=True)
    assert cause_by_task(reconciler) == {"j.0.0.0": EndCause.LOST}


def test_restarted_agent_adopts_running_runs():
    reconciler = a_reconciler()
    reconciler.set_worker(a_worker())
    reconciler.set_orders(some_orders(an_order("j.0.0.0")))
    assert reconciler.due_calls(0.0) == []
    reconciler.record_listing(
        0.1, [Run("j.0.0.0", 1, "", 30)], [], ends_complete=True
    )
    assert reconciler.due_calls(0.2) == []
    assert reconciler.running(0.0) == (Run("j.0.0.0", 1, "", 30),)


def test_adopted_run_listed_before_its_order_kept_its_worker_from_starts():
    # After a restart the listing may come before the orders are read.
    reconciler = a_reconciler()
    reconciler.set_worker(a_worker(capacity=HALF_CAPACITY))
    reconciler.record_announcement(0.0)
    reconciler.record_listing(0.1, [Run("j.0.0.0", 1)], [], ends_complete=True)
    adopted = an_order("j.0.0.0", needs=(3, 1_000, 1_000))
    reconciler.set_orders(
        some_orders(
            adopted,
            an_order("k.0.0.0", needs=(2, 1_000, 1_000)),
            an_order("l.0.0.0"),
        )
    )
    calls = reconciler.due_calls(0.2)
    assert [call.order.task for call in calls] == ["l.0.0.0"]


def list_running(reconciler, saved):
    run = Run("j.0.0.0", 1, saved, 40)
    reconciler.record_listing(0.5, [run], [], ends_complete=True)


def replace_worker(reconciler):
    reconciler.set_worker(a_worker(incarnation="w@2"))
    reconciler.record_listing(1.0, [], [], ends_complete=True)
    reconciler.due_calls(1.0)


def test_run_lost_with_its_worker_ends_with_its_latest_checkpoint():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    start_all(reconciler)
    list_running(reconciler, "early")
    list_running(reconciler, "late")
    replace_worker(reconciler)
    lost = RunEnd("j.0.0.0", 1, EndCause.LOST, "late")
    assert reconciler.ended() == (lost,)


def test_checkpoint_of_a_lost_run_outlives_the_agent():
    reconciler = a_reconciler()
    reconciler.restore([], [Run("j.0.0.0", 1, "stored", 40)])
    reconciler.set_orders(some_orders(an_order("j.0.0.0")))
    replace_worker(reconciler)
    lost = RunEnd("j.0.0.0", 1, EndCause.LOST, "stored")
    assert reconciler.ended() == (lost,)


def test_restarted_agent_gave_up_a_run_that_the_next_incarnation_lists():
    reconciler = a_reconciler()
    reconciler.set_worker(NEXT_INCARNATION)
    reconciler.set_orders(some_orders(an_order("j.0.0.0")))
    running = [Run("j.0.0.0", 1)]
    reconciler.record_listing(0.1, running, [], ends_complete=True)
    assert reconciler.due_calls(0.2) == [StopCall("j.0.0.0", 1)]
    assert cause_by_task(reconciler) == {}


def listed_end(task, cause=EndCause.DONE):
    return ListedEnd(1, RunEnd(task, 1, cause))


def test_run_time_counts_from_the_response_to_its_start():
    # The long poll was sent 0.9 s before the run ended.
    reconciler = reconciler_with(an_order("j.0.0.0"))
    start_all(reconciler, 0.5)
    reconciler.record_listing(
        3.6, [], [listed_end("j.0.0.0")], True, received_s=4.5
    )
    assert run_ms_by_task(reconciler) == {"j.0.0.0": 4000}


def test_run_time_counts_from_the_first_listing_without_such_a_response():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    (call,) = reconciler.due_calls(0.0)
    reconciler.record_start(call.order, StartResult.UNKNOWN, 0.5)
    running = [Run("j.0.0.0", 1)]
    for sent_s in (1.0, 2.0):
        reconciler.record_listing(sent_s, running, [], True, sent_s)
    reconciler.record_listing(
        3.0, [], [listed_end("j.0.0.0")], True, received_s=3.5
    )
    assert run_ms_by_task(reconciler) == {"j.0.0.0": 2500}


def test_run_time_is_unknown_if_another_process_started_the_run():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    reconciler.record_listing(1.0, [Run("j.0.0.0", 1)], [], True, 1.0)
    reconciler.record_listing(2.0, [], [listed_end("j.0.0.0")], True, 2.5)
    assert run_ms_by_task(reconciler) == {"j.0.0.0": None}


def test_run_that_is_lost_lasted_until_it_was_last_known_to_run():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    start_all(reconciler, 0.5)
    reconciler.record_listing(2.0, [Run("j.0.0.0", 1)], [], True, 2.1)
    reconciler.record_listing(9.0, [], [], True, 9.1)
    assert cause_by_task(reconciler) == {"j.0.0.0": EndCause.LOST}
    assert run_ms_by_task(reconciler) == {"j.0.0.0": 1500}


def test_end_in_a_row_of_an_earlier_agent_has_no_run_time():
    value = b'{"task":"j.0.0.0","attempt":1,"cause":"done"}'
    assert decode_row(Row("workers/n", value, 1), RunEnd).run_ms is None


def test_checkpoint_that_no_row_holds_is_not_kept():
    reconciler = reconciler_with(an_order("j.0.0.0"))
    start_all(reconciler)
    list_running(reconciler, "early")
    list_running(reconciler, "é" * (MAX_SAVED_BYTES // 2 + 1))
    assert reconciler.running(0.0)[0].saved == ""
    end = RunEnd("j.0.0.0", 1, EndCause.STOPPED, "x" * (MAX_SAVED_BYTES + 1))
    listed = ListedEnd(1, end)
    reconciler.record_listing(0.6, [], [listed], ends_complete=True)
    assert reconciler.ended() == (attrs.evolve(end, saved=""),)

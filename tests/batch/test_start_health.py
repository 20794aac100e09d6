from __future__ import annotations

import pytest

from filbertlb.batch.start_health import COSTLY_PROBE_DELAY_S
from filbertlb.batch.start_health import EARLY_FAILURE_MS
from filbertlb.batch.start_health import MAX_PROBE_DELAY_S
from filbertlb.batch.start_health import MIN_PROBE_DELAY_S
from filbertlb.batch.start_health import PROBATION_S
from filbertlb.batch.start_health import PROOF_MAX_AGE_MS
from filbertlb.batch.start_health import StartHealth


def failed(order_ms=1000, run_ms=40, now_s=2.0):
    starts = StartHealth()
    starts.record_failure(order_ms, run_ms, now_s)
    return starts


@pytest.mark.parametrize(
    ("run_ms", "early"),
    [(0, True), (EARLY_FAILURE_MS, True), (1001, False), (None, False)],
)
def test_only_an_early_failure_puts_a_worker_on_probation(run_ms, early):
    starts = failed(run_ms=run_ms)
    assert starts.on_probation(2.0) is early
    assert starts.failed_lately(2.0) is early


@pytest.mark.parametrize(
    ("order_ms", "on_probation"), [(999, True), (1000, False), (1001, False)]
)
def test_run_that_was_ordered_earlier_did_not_clear_its_worker(
    order_ms, on_probation
):
    starts = failed(order_ms=1000)
    starts.record_survival(order_ms)
    assert starts.on_probation(2.0) is on_probation
    assert starts.failed_lately(2.0)


def test_probation_ends_without_a_run_on_the_worker():
    starts = failed(now_s=2.0)
    assert not starts.on_probation(2.0 + PROBATION_S)
    assert not starts.failed_lately(2.0 + PROBATION_S)


@pytest.mark.parametrize(
    ("orders_ms", "delay_s"),
    [
        ([1000], MIN_PROBE_DELAY_S),
        # Ordered together.
        ([1000, 1000, 1000], MIN_PROBE_DELAY_S),
        ([1000, 2000], 2 * MIN_PROBE_DELAY_S),
        ([1000, 2000, 3000, 4000, 5000], MAX_PROBE_DELAY_S),
    ],
)
def test_failing_worker_got_a_new_task_in_each_decision(orders_ms, delay_s):
    starts = StartHealth()
    for order_ms in orders_ms:
        starts.record_failure(order_ms, 40, 10.0)
    assert not starts.may_probe(10.0 + delay_s - 0.1, costly=False)
    assert starts.may_probe(10.0 + delay_s, costly=False)


def test_probe_took_the_last_spare_attempt_of_a_task():
    starts = failed(now_s=2.0)
    assert not starts.may_probe(1.9 + COSTLY_PROBE_DELAY_S, costly=True)
    assert starts.may_probe(2.0 + COSTLY_PROBE_DELAY_S, costly=True)


def test_worker_is_proven_by_a_recent_start_only():
    starts = StartHealth()
    starts.record_survival(1000)
    assert starts.is_proven(1000 + PROOF_MAX_AGE_MS)
    assert not starts.is_proven(1001 + PROOF_MAX_AGE_MS)

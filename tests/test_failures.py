from __future__ import annotations

from collections import deque
from random import Random

import pytest

from filbertlb.core.breaker import CircuitBreaker
from filbertlb.core.breaker import TableBreakerOpenError
from filbertlb.core.endpoint_health import EndpointHealth
from filbertlb.core.retries import backoff_s
from filbertlb.core.retries import may_retry
from filbertlb.core.retries import RetryBudgets
from filbertlb.core.table_budget import PendingWrite
from filbertlb.core.table_budget import SITE_WRITES_PER_S
from filbertlb.core.table_budget import TableBudget
from filbertlb.core.table_budget import WriteBacklog
from filbertlb.core.table_budget import WritePriority
from filbertlb.errors import Ran


@pytest.mark.parametrize(
    ("idempotent", "ran", "retries", "left_s", "allowed"),
    [
        (True, Ran.UNKNOWN, 0, 1.0, True),
        (True, Ran.YES, 0, 1.0, True),
        (False, Ran.NO, 0, 1.0, True),
        (False, Ran.UNKNOWN, 0, 1.0, False),
        (False, Ran.YES, 0, 1.0, False),
        (True, Ran.NO, 3, 1.0, False),
        (True, Ran.NO, 0, 0.0, False),
    ],
)
def test_may_retry(idempotent, ran, retries, left_s, allowed):
    assert may_retry(idempotent, ran, retries, left_s) is allowed


def test_budget_is_a_share_of_successes_per_organisation():
    budgets = RetryBudgets()
    spent = 0
    for _ in range(1000):
        budgets.of("a").succeeded()
        spent += budgets.of("a").spend(0.0)
    assert 100 <= spent <= 111
    # What is left is for urgent requests.
    assert not budgets.of("a").spend(0.0)
    assert budgets.of("a").spend(0.0, urgent=True)
    assert budgets.of("b").spend(0.0)


def test_backoff_doubles_and_honours_retry_after():
    rng = Random(3)
    waits = [[backoff_s(n, rng) for _ in range(200)] for n in (0, 3, 20)]
    assert [
        max(one) <= bound
        for one, bound in zip(waits, (0.02, 0.16, 2.0), strict=True)
    ] == [True, True, True]
    assert max(waits[1]) > 0.08
    assert backoff_s(0, rng, retry_after_s=5.0) >= 5.0


def test_endpoint_is_set_aside_and_probed():
    health = EndpointHealth()
    rng = Random(4)

    def fail(endpoint_id, request_id, now_s=0.0):
        health.failed(endpoint_id, request_id, 4, now_s, rng)

    for _ in range(9):
        fail("r1", "same request")
    assert not health.is_set_aside("r1")
    for endpoint_id in ("r1", "r2", "r3", "r4"):
        for number in range(6):
            fail(endpoint_id, f"q{number}")
    # Never more than half: then the fault is not theirs.
    assert health.aside_count == 2
    assert health.start_probe(0.5) is None
    assert health.start_probe(2.0) == "r1"
    fail("r1", "probe", 2.0)
    assert health.is_set_aside("r1")
    assert {health.start_probe(2.1), health.start_probe(2.2)} == {"r2", None}
    assert health.start_probe(5.0) == "r1"
    health.succeeded("r1")
    assert not health.is_set_aside("r1")


def test_breaker_opens_probes_and_closes():
    breaker = CircuitBreaker(Random(5))
    sent = []
    down_until_s = 20.0
    for tick in range(3000):
        now_s = tick / 100
        try:
            breaker.check(now_s)
        except TableBreakerOpenError as error:
            assert error.retry_after_s is not None
            continue
        sent.append(now_s)
        if now_s < down_until_s:
            breaker.failed(now_s)
        else:
            breaker.succeeded(0.01, now_s)
    during = [now_s for now_s in sent if now_s < down_until_s]
    assert len(during) < 5 + 20
    first_after = min(now_s for now_s in sent if now_s >= down_until_s)
    assert first_after <= down_until_s + 4.0
    assert len(sent) - len(during) > 100 * (30 - first_after) - 2


@pytest.mark.parametrize("entries", [1, 3, 8])
def test_site_stays_within_its_writes_in_every_second(entries):
    budgets = [TableBudget() for _ in range(entries)]
    window = deque()
    total = 0
    for tick in range(1000):
        # Nothing is written for two seconds, so that buckets fill.
        now_s = tick / 100
        for budget in budgets:
            budget.set_live_entries(entries, now_s)
            count = budget.writes.available(now_s) if tick > 200 else 0
            assert budget.writes.take(count, now_s)
            window.append((now_s, count))
            total += count
        while window[0][0] <= now_s - 1:
            window.popleft()
        assert sum(count for _, count in window) <= SITE_WRITES_PER_S
    assert total >= SITE_WRITES_PER_S * 8 * 0.7 * min(1, entries / 3)


def test_backlog_keeps_order_and_the_newest_of_a_key():
    backlog = WriteBacklog(bound=4, max_batch=3)
    budget = TableBudget()
    budget.writes.available(0.0)

    def add(key, priority, payload):
        return backlog.add(PendingWrite(key, priority, payload))

    assert add("c", WritePriority.CANCEL, 1)
    assert add("b", WritePriority.ANSWER, 2)
    assert add("a", WritePriority.ACCEPT, 3)
    assert add("b", WritePriority.ANSWER, 4)
    assert add("d", WritePriority.CANCEL, 5)
    assert not add("e", WritePriority.ACCEPT, 6)
    batch = backlog.take(budget.writes, 1.0)
    assert [(one.key, one.payload) for one in batch] == [
        ("a", 3),
        ("b", 4),
        ("c", 1),
    ]
    assert add("b", WritePriority.ANSWER, 7)
    backlog.put_back(batch, alone=True)
    taken = [backlog.take(budget.writes, 2.0) for _ in range(5)]
    assert [[one.payload for one in some] for some in taken] == [
        [3],
        [7],
        [1],
        [5],
        [],
    ]

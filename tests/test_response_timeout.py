from __future__ import annotations

import pytest

from filbertlb.core.response_timeout import ResponseTimeout


def timed_out(timeout, count):
    for _ in range(count):
        timeout.on_timeout(timeout.current_s)


@pytest.mark.parametrize(
    ("failures", "wanted_s"), [(0, 0.8), (1, 1.6), (2, 3.2), (9, 3.2)]
)
def test_timeout_grows_to_its_bound(failures, wanted_s):
    timeout = ResponseTimeout(0.8, 3.2)
    timed_out(timeout, failures)
    assert timeout.current_s == wanted_s


def test_calls_that_fail_together_count_once():
    timeout = ResponseTimeout(0.8, 3.2)
    for _ in range(5):
        timeout.on_timeout(0.8)
    assert timeout.current_s == 1.6


@pytest.mark.parametrize(
    ("answers", "response_s", "timeout_s"),
    [
        ([(1.24, 1.24)], 1.24, 2.48),
        # Changes that come early tell little.
        ([(1.24, 1.24), (0.0, 1.3), (0.0, 2.0)], 1.24, 2.48),
        ([(1.24, 1.24), (0.0, 0.5)], 0.5, 1.0),
        ([(1.24, 1.24), (0.004, 0.004)], 0.004, 0.8),
        ([(9.0, 9.0)], 9.0, 3.2),
    ],
)
def test_each_call_to_a_slow_server_failed_though_it_was_answered(
    answers, response_s, timeout_s
):
    timeout = ResponseTimeout(0.8, 3.2)
    timed_out(timeout, 1)
    for lowest_s, highest_s in answers:
        timeout.on_answer(lowest_s, highest_s)
    assert timeout.response_s == response_s
    assert timeout.current_s == timeout_s

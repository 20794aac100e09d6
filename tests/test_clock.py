from __future__ import annotations

import time

from filbertlb.core.clock import SystemClock


def test_steady_clock_counts_the_time_that_a_machine_was_suspended(
    monkeypatch,
):
    # After it, an agent took old announcements and contacts for recent.
    seconds = {time.CLOCK_MONOTONIC: 10.0, time.CLOCK_BOOTTIME: 25.0}
    monkeypatch.setattr(time, "clock_gettime", seconds.__getitem__)
    monkeypatch.setattr(time, "monotonic", lambda: 10.0)
    assert SystemClock().monotonic() == 25.0

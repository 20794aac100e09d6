from __future__ import annotations

import pytest

from benchmarks import measure_requests
from benchmarks.measure_requests import measure
from benchmarks.measure_requests import Variant
from filbertlb.core.table_budget import SITE_WRITES_PER_S


@pytest.mark.parametrize("scenario", ["together", "table_outage", "deaths"])
def test_nothing_false_is_told_and_nothing_doubled(scenario, monkeypatch):
    """A short run of the measurement, with the shipped rules."""
    for name, value in (
        ("DURATION_S", 12.0),
        ("FAULT_FROM_S", 4.0),
        ("FAULT_TO_S", 9.0),
        ("BURST", 200),
    ):
        monkeypatch.setattr(measure_requests, name, value)
    found = measure(scenario, Variant("shipped"))
    assert found["false_answers"] == 0
    assert found["doubles"] == 0
    assert found["unanswered"] == 0
    assert found["peak_writes_per_s"] <= SITE_WRITES_PER_S
    # The baseline doubles payouts under the same faults.
    blind = measure(scenario, Variant("baseline", baseline=True))
    assert scenario == "table_outage" or blind["doubles"] > 0

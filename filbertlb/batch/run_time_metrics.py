"""Metrics of what was learned on run times, for operators."""

from __future__ import annotations

from collections import Counter
from math import exp
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from filbertlb.batch.learned_durations import LearnedDurations
    from filbertlb.metrics import Metrics

SPEED_NAME_BY_BAND = {-1: "slow", 0: "usual", 1: "fast"}


def clear_run_times(metrics: Metrics) -> None:
    """Withdraw the gauges of an entry that does not decide."""
    metrics.learned_keys.clear()
    metrics.expected_run_s.clear()
    metrics.estimate_correction.clear()
    metrics.worker_speeds.clear()


def sample_run_times(metrics: Metrics, durations: LearnedDurations) -> None:
    """Set the gauges of learned run times, errors and speeds.

    Those of queues and organisations that were evicted are withdrawn.
    """
    clear_run_times(metrics)
    learned = durations.learned
    for name, by_key in (
        ("queue", learned.queues),
        ("kind", learned.kinds),
        ("caller", learned.errors),
    ):
        metrics.learned_keys.set(len(by_key), {"of": name})
    for queue, (median_ms, upper_ms) in durations.queue_times_ms().items():
        for quantile, time_ms in (("median", median_ms), ("upper", upper_ms)):
            metrics.expected_run_s.set(
                time_ms / 1000, {"queue": queue, "quantile": quantile}
            )
    for organisation, error in learned.errors.items():
        metrics.estimate_correction.set(
            exp(error.mean), {"organisation": organisation or "all"}
        )
    speeds = durations.speeds
    counts = Counter(map(speeds.band, speeds.by_node))
    for band, name in SPEED_NAME_BY_BAND.items():
        metrics.worker_speeds.set(counts[band], {"speed": name})

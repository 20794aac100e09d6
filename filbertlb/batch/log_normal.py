"""Distributions of the logarithm of run times.

Run times of one kind of task, and the ratios of run times to estimates,
spread by factors rather than by differences, so both are kept as means and
variances of logarithms. Statistics of a special kind refine the more general
distribution by the conjugate update of a normal distribution.
"""

from __future__ import annotations

from math import exp
from math import log
from math import sqrt
from statistics import NormalDist
from typing import Annotated

import attrs
from msgspec import Meta

MEMORY_RUNS = 30.0
"""Weight that the statistics keep, so that a change shows within as many."""
HALF_LIFE_MS = 6 * 3_600_000
"""Age at which a run has half its weight; loads change over a day."""
MEAN_PRIOR_RUNS = 1.0
"""Runs that the mean of the more general distribution counts for."""
SPREAD_PRIOR_RUNS = 2.0
"""Runs that the spread of the more general distribution counts for."""
MAX_LOG = 50.0
MAX_RUN_MS = 30 * 24 * 3_600_000
"""Longest run time that is predicted."""
_STANDARD = NormalDist()

LogValue = Annotated[float, Meta(ge=-MAX_LOG, le=MAX_LOG)]
Weight = Annotated[float, Meta(ge=0, le=1e6)]


@attrs.frozen
class LogNormal:
    """Normal distribution of the logarithm of a time in ms, or of a ratio."""

    mean: float
    variance: float

    @property
    def deviation(self) -> float:
        """Standard deviation of the logarithm."""
        return sqrt(self.variance)

    def quantile_ms(self, share: float) -> int:
        """Return the time that a share of the runs does not exceed."""
        value = self.mean + self.deviation * _STANDARD.inv_cdf(share)
        return round(min(MAX_RUN_MS, max(1.0, exp(min(value, MAX_LOG)))))

    def median_ms(self) -> int:
        """Return the median time."""
        return round(min(MAX_RUN_MS, max(1.0, exp(min(self.mean, MAX_LOG)))))

    def share_within(self, value: float) -> float:
        """Return the share of runs whose logarithm is at most a value."""
        return _STANDARD.cdf((value - self.mean) / self.deviation)

    def mean_above(self, bound: float) -> float:
        """Return the mean of the logarithms that exceed a bound.

        Far above the mean the ratio of density and tail loses its precision;
        there the bound itself is close.
        """
        z = (bound - self.mean) / self.deviation
        tail = _STANDARD.cdf(-z)
        if tail < 1e-9:
            return bound
        return self.mean + self.deviation * _STANDARD.pdf(z) / tail

    def combined(self, other: LogNormal) -> LogNormal:
        """Return the product with an independent estimate of the same value.

        Each counts by the inverse of its variance.
        """
        total = self.variance + other.variance
        mean = self.mean * other.variance + other.mean * self.variance
        return LogNormal(mean / total, self.variance * other.variance / total)


@attrs.define
class LogStatistics:
    """Weighted mean and squared deviations of logarithms.

    Parameters
    ----------
    weight : float
        Sum of the weights of the observations, which decay.
    squares : float
        Weighted sum of squared deviations from the mean.
    runs : int
        Number of observations ever made, for operators.
    at_ms : int
        Time of the latest observation in Unix milliseconds.
    """

    weight: Weight = 0.0
    mean: LogValue = 0.0
    squares: Weight = 0.0
    runs: Annotated[int, Meta(ge=0, le=2**53)] = 0
    at_ms: Annotated[int, Meta(ge=0, le=2**53)] = 0

    def add(self, value: float, weight: float, now_ms: int) -> None:
        """Add an observation; earlier ones lose weight."""
        kept = self.weight_at(now_ms)
        kept = min(kept, max(0.0, MEMORY_RUNS - weight))
        if self.weight > 0:
            self.squares *= kept / self.weight
        self.weight = kept + weight
        change = value - self.mean
        self.mean += change * weight / self.weight
        self.squares += weight * change * (value - self.mean)
        self.runs += 1
        self.at_ms = max(self.at_ms, now_ms)

    def weight_at(self, now_ms: int) -> float:
        """Return the weight that the observations have left at a time."""
        age_ms = max(0, now_ms - self.at_ms)
        return self.weight * float(0.5 ** (age_ms / HALF_LIFE_MS))

    def refined(self, general: LogNormal, now_ms: int) -> LogNormal:
        """Return the distribution of the next value.

        Parameters
        ----------
        general : LogNormal
            Distribution expected without the observations.
        """
        weight = self.weight_at(now_ms)
        if not weight:
            return general
        squares = self.squares * weight / self.weight
        total = weight + MEAN_PRIOR_RUNS
        change = self.mean - general.mean
        mean = general.mean + change * weight / total
        squares += change**2 * weight * MEAN_PRIOR_RUNS / total
        variance = (squares + SPREAD_PRIOR_RUNS * general.variance) / (
            weight + SPREAD_PRIOR_RUNS
        )
        return LogNormal(mean, variance * (1 + 1 / total))

    def alone(self, variance: float, now_ms: int) -> LogNormal | None:
        """Return the distribution of the next value without a general one.

        Parameters
        ----------
        variance : float
            Variance expected without the observations.
        """
        weight = self.weight_at(now_ms)
        if not weight:
            return None
        squares = self.squares * weight / self.weight
        spread = (squares + SPREAD_PRIOR_RUNS * variance) / (
            weight + SPREAD_PRIOR_RUNS
        )
        return LogNormal(self.mean, spread * (1 + 1 / weight))


def log_ms(run_ms: float) -> float:
    """Return the logarithm of a time in ms, of at least 1 ms."""
    return log(max(1.0, run_ms))

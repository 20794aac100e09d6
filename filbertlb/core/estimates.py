"""Estimates of run times, by organisation and class of job.

They derive from measured run times alone; declared ones are never used.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import attrs

if TYPE_CHECKING:
    from filbertlb.core.model import JobClass

_Key = TypeVar("_Key")

_SMOOTHING_FACTOR = 0.1
_UPPER_BOUND_FACTOR = 2.0


@attrs.define
class _Average:
    mean_s: float
    deviation_s: float


@attrs.define
class RunTimeEstimates:
    """Exponentially weighted moving averages of run times.

    Parameters
    ----------
    default_s : float
        Estimate until a job of the class has succeeded, in seconds.
    """

    default_s: float
    by_key: dict[tuple[str, JobClass], _Average] = attrs.field(factory=dict)
    by_class: dict[JobClass, _Average] = attrs.field(factory=dict)

    def record(
        self, organisation_id: str, job_class: JobClass, run_s: float
    ) -> None:
        """Update the estimates with the run time of a successful job."""
        _update(self.by_key, (organisation_id, job_class), run_s)
        _update(self.by_class, job_class, run_s)

    def expected_s(self, organisation_id: str, job_class: JobClass) -> float:
        """Return the expected run time in seconds."""
        average = self._average(organisation_id, job_class)
        return self.default_s if average is None else average.mean_s

    def upper_bound_s(
        self, organisation_id: str, job_class: JobClass
    ) -> float:
        """Return a run time that few jobs exceed, in seconds."""
        average = self._average(organisation_id, job_class)
        if average is None:
            return self.default_s * _UPPER_BOUND_FACTOR
        return average.mean_s + _UPPER_BOUND_FACTOR * average.deviation_s

    def _average(
        self, organisation_id: str, job_class: JobClass
    ) -> _Average | None:
        average = self.by_key.get((organisation_id, job_class))
        return average or self.by_class.get(job_class)


def _update(by_key: dict[_Key, _Average], key: _Key, run_s: float) -> None:
    average = by_key.get(key)
    if average is None:
        by_key[key] = _Average(run_s, run_s / 2)
        return
    error_s = run_s - average.mean_s
    average.mean_s += _SMOOTHING_FACTOR * error_s
    change_s = abs(error_s) - average.deviation_s
    average.deviation_s += _SMOOTHING_FACTOR * change_s

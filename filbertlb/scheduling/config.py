"""Settings of the scheduler."""

from __future__ import annotations

from enum import StrEnum

import attrs
from attrs.validators import ge
from attrs.validators import gt

from filbertlb.ranges import Int64


class WeightProfile(StrEnum):
    """Optimisation goal of a site: completion time or fragmentation."""

    COMPLETION_TIME = "completion_time"
    FRAGMENTATION = "fragmentation"


@attrs.frozen
class SchedulerConfig:
    """Bounds, thresholds and weights of the scheduler.

    Parameters
    ----------
    profile : WeightProfile
        Whether the score favours short jobs or large jobs.
    reclaim_within_s : float
        Time limit for freeing capacity for a claim, in seconds.
    urgent_stop_within_s : float
        Time limit for freeing capacity for an urgent job, in seconds.
    reserve_after_s : float
        Wait after which a job may hold a reservation, in seconds.
    starvation_s : float
        Wait after which younger jobs are preempted for a job, in
        seconds.
    max_reservations : int
        Number of reservations held at once, oldest job first.
    large_accelerators : int
        Number of accelerators from which a job counts as large.
    compact_interval_s : float
        Minimum interval between two compactions, in seconds.
    ageing_s : float
        Wait that halves a job's score, in seconds.
    default_run_s : float
        Run time estimate for job classes without a finished run, in
        seconds.
    max_decisions : int
        Number of decisions after which one call stops searching.
    retry_base_s, retry_max_s : float
        First and longest backoff after a failure, in seconds.
    job_failure_workers : int
        Number of healthy workers on which a job has to fail before it
        is no longer retried.
    worker_failure_jobs : int
        Number of jobs that have to fail in a row on a worker before it
        is set aside.
    max_aside_share : float
        Share of workers that may be set aside at once. If more of them
        fail, the jobs are the more likely cause.
    probe_base_s, probe_max_s : float
        First and longest period for which a worker is set aside, in
        seconds.
    forget_offline_s : float
        Time after which an offline worker no longer counts as
        configured, in seconds.
    overuse_factor : float
        Multiple of the declared need above which measured use marks a
        run as overusing; it is stopped if it crowds out other runs.
    """

    profile: WeightProfile = WeightProfile.COMPLETION_TIME
    reclaim_within_s: float = attrs.field(default=30.0, validator=gt(0))
    urgent_stop_within_s: float = attrs.field(default=0.5, validator=gt(0))
    reserve_after_s: float = attrs.field(default=600.0, validator=ge(0))
    starvation_s: float = attrs.field(default=14400.0, validator=gt(0))
    max_reservations: Int64 = attrs.field(default=4, validator=ge(1))
    large_accelerators: Int64 = attrs.field(default=8, validator=ge(1))
    compact_interval_s: float = attrs.field(default=60.0, validator=gt(0))
    ageing_s: float = attrs.field(default=3600.0, validator=gt(0))
    default_run_s: float = attrs.field(default=600.0, validator=gt(0))
    max_decisions: Int64 = attrs.field(default=32, validator=ge(1))
    retry_base_s: float = attrs.field(default=5.0, validator=gt(0))
    retry_max_s: float = attrs.field(default=300.0, validator=gt(0))
    job_failure_workers: Int64 = attrs.field(default=3, validator=ge(1))
    worker_failure_jobs: Int64 = attrs.field(default=3, validator=ge(1))
    max_aside_share: float = attrs.field(default=0.34, validator=gt(0))
    probe_base_s: float = attrs.field(default=60.0, validator=gt(0))
    probe_max_s: float = attrs.field(default=3600.0, validator=gt(0))
    forget_offline_s: float = attrs.field(default=86400.0, validator=gt(0))
    overuse_factor: float = attrs.field(default=2.0, validator=gt(1))

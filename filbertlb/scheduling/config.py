"""Settings of the placement decisions."""

from __future__ import annotations

from enum import StrEnum

import attrs
from attrs.validators import ge
from attrs.validators import gt


class WeightProfile(StrEnum):
    """What a site weighs most."""

    COMPLETION_TIME = "completion_time"
    FRAGMENTATION = "fragmentation"


@attrs.frozen
class SchedulerConfig:
    """Bounds, thresholds and weights of the scheduler.

    Parameters
    ----------
    profile : WeightProfile
        Whether short jobs or large jobs go first.
    reclaim_within_s : float
        Bound on freeing capacity for a claim, in seconds.
    urgent_stop_within_s : float
        Bound on freeing capacity for urgent work, in seconds.
    reserve_after_s : float
        Wait after which a job may hold a reservation, in seconds.
    starvation_s : float
        Wait after which a reservation stops younger work, in seconds.
    max_reservations : int
        Reservations held at once, oldest job first.
    large_accelerators : int
        Accelerators from which a job counts as large.
    compact_interval_s : float
        Least time between two moves of small jobs, in seconds.
    ageing_s : float
        Wait that halves a job's score, in seconds.
    default_run_s : float
        Estimate for classes of which nothing has run yet, in seconds.
    max_decisions : int
        Decisions after which one call looks for no more.
    retry_base_s, retry_max_s : float
        First and longest backoff after a failure, in seconds.
    job_failure_workers : int
        Failures on this many good workers end a job.
    worker_failure_jobs : int
        Failures of this many jobs in a row put a worker aside.
    max_aside_share : float
        Share of workers that may be aside at once; when more fail, the
        jobs are the likelier cause.
    probe_base_s, probe_max_s : float
        First and longest time a worker is put aside, in seconds.
    forget_offline_s : float
        Time after which an offline worker no longer counts as
        configured, in seconds.
    overuse_factor : float
        Measured use above this multiple of the claim stops a run.
    """

    profile: WeightProfile = WeightProfile.COMPLETION_TIME
    reclaim_within_s: float = attrs.field(default=30.0, validator=gt(0))
    urgent_stop_within_s: float = attrs.field(default=0.5, validator=gt(0))
    reserve_after_s: float = attrs.field(default=600.0, validator=ge(0))
    starvation_s: float = attrs.field(default=14400.0, validator=gt(0))
    max_reservations: int = attrs.field(default=4, validator=ge(1))
    large_accelerators: int = attrs.field(default=8, validator=ge(1))
    compact_interval_s: float = attrs.field(default=60.0, validator=gt(0))
    ageing_s: float = attrs.field(default=3600.0, validator=gt(0))
    default_run_s: float = attrs.field(default=600.0, validator=gt(0))
    max_decisions: int = attrs.field(default=32, validator=ge(1))
    retry_base_s: float = attrs.field(default=5.0, validator=gt(0))
    retry_max_s: float = attrs.field(default=300.0, validator=gt(0))
    job_failure_workers: int = attrs.field(default=3, validator=ge(1))
    worker_failure_jobs: int = attrs.field(default=3, validator=ge(1))
    max_aside_share: float = attrs.field(default=0.34, validator=gt(0))
    probe_base_s: float = attrs.field(default=60.0, validator=gt(0))
    probe_max_s: float = attrs.field(default=3600.0, validator=gt(0))
    forget_offline_s: float = attrs.field(default=86400.0, validator=gt(0))
    overuse_factor: float = attrs.field(default=2.0, validator=gt(1))

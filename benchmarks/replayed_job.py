"""What a replay records of one job."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from benchmarks.arrivals import Arrival


@attrs.define
class Job:
    """What happened to one job.

    Parameters
    ----------
    left_s : float
        Work that is left, in seconds of running.
    at_risk : bool
        Some guarantee of its organisation was at risk when it arrived,
        or all of its shapes were claimed.
    at_quota : bool
        Its organisation was at its quota when it arrived.
    """

    arrival: Arrival
    left_s: float
    run: int = 0
    started_at_s: float = 0.0
    first_start_s: float | None = None
    done_at_s: float | None = None
    failed: bool = False
    at_risk: bool = False
    at_quota: bool = False
    worker_ids: tuple[str, ...] = ()

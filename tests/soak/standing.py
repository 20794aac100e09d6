"""Which tasks stand still although there is room for them."""

from __future__ import annotations

from time import monotonic

import attrs

from filbertlb.batch.model import EndCause
from filbertlb.batch.workers import DEAD_AFTER_S

MAX_STANDING_S = DEAD_AFTER_S + 3.0
MAX_USED_SHARE = 0.5
CAPACITY = {"cpu": 8000, "gpu": 8}
"""Room of a worker, by resource."""


@attrs.define
class Standing:
    """Tasks without a run, from the time at which all faults are over."""

    site: object
    found: set[str] = attrs.Factory(set)
    _since_s: dict[str, float] = attrs.Factory(dict)

    def sample(self):
        """Record which tasks stand now."""
        site, now_s = self.site, monotonic()
        runs = site.history.intervals
        running = {run.unit for run in runs if run.end_s is None}
        done = {run.unit for run in runs if run.how == EndCause.DONE}
        waiting = {
            unit
            for job_id in site.accepted.keys() - site.final_states.keys()
            for unit in site.units(job_id) - running - done
        }
        if not self._has_room():
            waiting = set()
        self._since_s = {
            unit: self._since_s.get(unit, now_s) for unit in waiting
        }
        for unit, since_s in self._since_s.items():
            if now_s - since_s > MAX_STANDING_S:
                self.found.add(f"{unit} has stood still since {since_s:.2f}")

    def _has_room(self):
        """Return whether at least half of the workers' room is free."""
        site = self.site
        used = dict.fromkeys(CAPACITY, 0)
        for run in site.history.intervals:
            if run.end_s is None:
                (step,) = site.accepted[run.task.partition(".")[0]]["steps"]
                for name in used:
                    used[name] += step[name]
        share = MAX_USED_SHARE * len(site.machines)
        return all(used[name] <= share * CAPACITY[name] for name in used)

"""Workers that lease, fence and end runs, and the state of their agents."""

from __future__ import annotations

import attrs

from filbertlb.batch.model import RunEnd
from filbertlb.batch.reconciler import WorkerReconciler
from filbertlb.batch.testing import CAPACITY
from filbertlb.batch.worker_link import LEASE_S
from filbertlb.batch.worker_link import ListedEnd
from filbertlb.batch.worker_link import StartResult
from filbertlb.core.amounts import plus
from filbertlb.core.amounts import ZERO_AMOUNT

STOP_DURATION_S = 0.9


@attrs.define
class SimWorker:
    """Starts runs unless the call is fenced or the attempt is too old."""

    incarnation: str
    fence: int = 0
    lease_end_s: float = 0.0
    runs: dict = attrs.Factory(dict)
    ends: list = attrs.Factory(list)
    last_attempt_by_task: dict = attrs.Factory(dict)
    stopping: dict = attrs.Factory(dict)
    last_end_number: int = 0
    capacity: tuple = CAPACITY
    draining: bool = False
    announces_at_s: float = 0.0
    starts_before_listing: bool = False
    leaves_at_s: float | None = None

    @property
    def instance_id(self):
        return self.incarnation.partition("@")[0]

    def start(self, order, fence, now_s):
        if fence < self.fence:
            return StartResult.FENCED
        self.fence = fence
        key = (order.task, order.attempt)
        if key in self.runs:
            return StartResult.STARTED
        if order.attempt <= self.last_attempt_by_task.get(order.task, 0):
            return StartResult.TOO_OLD
        self.runs[key] = (order.needs, now_s)
        self.lease_end_s = max(self.lease_end_s, now_s + LEASE_S)
        return StartResult.STARTED

    def end(self, key, cause):
        del self.runs[key]
        self.last_end_number += 1
        self.last_attempt_by_task[key[0]] = key[1]
        end = RunEnd(key[0], key[1], cause)
        self.ends.append(ListedEnd(self.last_end_number, end))

    def stop(self, task, attempt, fence, now_s):
        if fence < self.fence:
            return
        self.last_attempt_by_task[task] = max(
            self.last_attempt_by_task.get(task, 0), attempt
        )
        if (task, attempt) in self.runs:
            self.stopping.setdefault((task, attempt), now_s + STOP_DURATION_S)

    def used(self):
        total = ZERO_AMOUNT
        for needs, _ in self.runs.values():
            total = plus(total, needs)
        return total


@attrs.define
class SimAgent:
    reconciler: WorkerReconciler
    fence: int
    sequence: int = 0
    acked_number: int = 0
    answer_s: float = float("-inf")

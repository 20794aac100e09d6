"""Everything the guaranteed scheduler knows, and the basic moves."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.core.amounts import elementwise_min
from filbertlb.core.amounts import minus
from filbertlb.core.amounts import plus
from filbertlb.core.amounts import ZERO_AMOUNT
from filbertlb.core.cluster import Cluster
from filbertlb.core.estimates import RunTimes
from filbertlb.core.guarantee_packing import GuaranteePacking
from filbertlb.core.health import Health
from filbertlb.core.model import Assignment
from filbertlb.core.queueing import JobQueue
from filbertlb.core.queueing import Shares
from filbertlb.core.runs import Run
from filbertlb.core.runs import RunTable
from filbertlb.core.scheduling import StartJob
from filbertlb.core.scheduling import StopJob

if TYPE_CHECKING:
    from filbertlb.core.amounts import Amount
    from filbertlb.core.cluster import WorkerState
    from filbertlb.core.guarantee_packing import Unit
    from filbertlb.core.queueing import Waiting
    from filbertlb.core.scheduling import Decision
    from filbertlb.scheduling.config import SchedulerConfig

Holds = dict[str, "Amount"]
"""Amount held on each worker."""


@attrs.define(eq=False)
class SchedulerState:
    """State of the guaranteed scheduler.

    Parameters
    ----------
    waiting_by_id : dict
        Queue entries of jobs that run or are planned, by job.
    holds_by_key : dict
        Holds by job that has a reservation, or by unit at risk.
    overusers : dict
        Jobs measured to use far more than they declared.
    blocked : dict
        State of the cluster in which a kind of job did not fit.
    displaced_at_s : dict
        When moving guarantees was last tried for a kind of job.
    takeover_cursor : int
        Worker at which the next search for runs to stop begins.
    compacted_at_s : float
        When small jobs were last moved together, in seconds.
    """

    config: SchedulerConfig
    cluster: Cluster
    runs: RunTable
    witness: GuaranteePacking
    queue: JobQueue
    shares: Shares
    health: Health
    run_times: RunTimes
    waiting_by_id: dict[str, Waiting] = attrs.field(factory=dict)
    holds_by_key: dict[str | Unit, Holds] = attrs.field(factory=dict)
    overusers: dict[str, None] = attrs.field(factory=dict)
    blocked: dict[object, int] = attrs.field(factory=dict)
    displaced_at_s: dict[object, float] = attrs.field(factory=dict)
    takeover_cursor: int = 0
    compacted_at_s: float = float("-inf")
    capacity_accelerators: int = 0

    @classmethod
    def create(cls, config: SchedulerConfig) -> SchedulerState:
        """Return an empty state."""
        cluster = Cluster()
        return cls(
            config,
            cluster,
            RunTable(cluster),
            GuaranteePacking(cluster),
            JobQueue(),
            Shares(),
            Health(config),
            RunTimes(config.default_run_s),
        )

    def start(
        self,
        waiting: Waiting,
        worker_ids: tuple[str, ...],
        now_s: float,
        unit: Unit | None = None,
    ) -> StartJob:
        """Start a waiting job."""
        run = self._leave_queue(waiting, worker_ids, now_s, unit)
        self.runs.start(run)
        return StartJob(Assignment(run.job.job_id, worker_ids))

    def plan(
        self,
        waiting: Waiting,
        worker_ids: tuple[str, ...],
        now_s: float,
        unit: Unit | None = None,
    ) -> StartJob | None:
        """Start a job at once, or keep capacity until stops have ended."""
        run = self._leave_queue(waiting, worker_ids, now_s, unit)
        self.runs.plan(run)
        if self.runs.plan_fits(run):
            return self.start_plan(run, now_s)
        return None

    def start_plan(self, run: Run, now_s: float) -> StartJob:
        """Start a job whose plan fits now."""
        self.runs.unplan(run)
        run.started_at_s = now_s
        self.runs.start(run)
        return StartJob(Assignment(run.job.job_id, run.worker_ids))

    def drop_plan(self, run: Run, now_s: float) -> None:
        """Queue a planned job again in its old place."""
        self.runs.unplan(run)
        self.leave(run)
        waiting = self.waiting_by_id.pop(run.job.job_id)
        self.queue.push(waiting, now_s)

    def stop(self, run: Run, within_s: float, for_job_id: str) -> StopJob:
        """Decide to stop a run."""
        run.stopping = True
        run.stop_within_s = within_s
        return StopJob(
            run.job.job_id, run.job.checkpointable, within_s, for_job_id
        )

    def leave(self, run: Run) -> None:
        """Undo the accounting of a run or plan that is over."""
        if run.unit is None:
            self.shares.count(run.job.organisation_id, -accelerators(run))
        else:
            self.witness.release(run.unit)
            run.unit = None

    def set_claim(self, run: Run, unit: Unit | None) -> None:
        """Change what a run claims, with its accounting."""
        if (run.unit is None) != (unit is None):
            sign = 1 if unit is None else -1
            change = sign * accelerators(run)
            self.shares.count(run.job.organisation_id, change)
        self.runs.set_claim(run, unit)

    def set_holds(self, key: str | Unit, holds: Holds) -> None:
        """Replace what is held for a reservation or a unit at risk."""
        by_id = self.cluster.by_id
        for name, amount in self.holds_by_key.pop(key, {}).items():
            if name in by_id:
                self.cluster.unhold(by_id[name], amount)
        for name, amount in holds.items():
            self.cluster.hold(by_id[name], amount)
        if holds:
            self.holds_by_key[key] = holds

    def set_aside(self, state: WorkerState, now_s: float) -> None:
        """Follow the health of one worker."""
        health = self.health
        state.quarantined = health.is_aside(state.worker_id)
        state.on_probation = health.is_on_probation(state.worker_id)
        self.cluster.reindex(state)
        if state.quarantined:
            self.withdraw(state, now_s)
        else:
            self.cluster.note_freed(state)

    def withdraw(self, state: WorkerState, now_s: float) -> None:
        """Take plans, guarantees and reservations off a worker."""
        for run in list(self.runs.plan_by_id.values()):
            if state.worker_id in run.members_by_worker:
                self.drop_plan(run, now_s)
        self.witness.evict_unclaimed(state)
        for key, holds in list(self.holds_by_key.items()):
            if state.worker_id in holds:
                self.set_holds(key, {})

    def borrow_room(self, state: WorkerState) -> Amount:
        """Return the room for work that may be stopped."""
        if state.on_probation and state.runs_by_id:
            return ZERO_AMOUNT
        return state.free

    def patient_room(self, state: WorkerState) -> Amount:
        """Return the room for work that delays no reservation."""
        if state.held == ZERO_AMOUNT:
            return self.borrow_room(state)
        return minus(self.borrow_room(state), state.held)

    def firm_room(self, state: WorkerState) -> Amount:
        """Return the room for work that may not be stopped."""
        if state.on_probation:
            return ZERO_AMOUNT
        if state.held == ZERO_AMOUNT:
            return elementwise_min(state.free, state.open)
        return elementwise_min(state.free, minus(state.open, state.held))

    def lasting_room(self, state: WorkerState, key: str | Unit) -> Amount:
        """Return the open room, counting what is held for one key."""
        own = self.holds_by_key.get(key, {}).get(state.worker_id, ZERO_AMOUNT)
        return minus(state.open, minus(state.held, own))

    def guarantee_room(self, state: WorkerState) -> Amount:
        """Return the capacity less guarantees, whatever runs now."""
        room = state.open
        for run in state.runs_by_id.values():
            if run.non_preemptible:
                room = plus(room, run.amount_on(state.worker_id))
        return room

    def _leave_queue(
        self,
        waiting: Waiting,
        worker_ids: tuple[str, ...],
        now_s: float,
        unit: Unit | None,
    ) -> Run:
        job = waiting.job
        self.queue.pop(job.job_id)
        self.set_holds(job.job_id, {})
        self.waiting_by_id[job.job_id] = waiting
        run = Run.create(job, waiting.need, worker_ids, now_s, unit)
        if unit is None:
            self.shares.count(job.organisation_id, accelerators(run))
        else:
            self.witness.claim(unit, job.job_id)
        return run


def accelerators(run: Run) -> int:
    """Return the accelerators of all members."""
    return run.need[0] * len(run.worker_ids)


Decisions = list["Decision"]

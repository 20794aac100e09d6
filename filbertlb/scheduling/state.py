"""State of the guaranteed scheduler and its basic transitions.

A run is preemptible if it claims no guarantee and its job may be
stopped. Non-preemptible work claims no guarantee either, but its job
may not be stopped.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.core.amounts import elementwise_min
from filbertlb.core.amounts import minus
from filbertlb.core.amounts import plus
from filbertlb.core.amounts import ZERO_AMOUNT
from filbertlb.core.cluster import Cluster
from filbertlb.core.estimates import RunTimeEstimates
from filbertlb.core.guarantee_packing import GuaranteePacking
from filbertlb.core.health import Health
from filbertlb.core.model import Assignment
from filbertlb.core.queueing import JobQueue
from filbertlb.core.queueing import Shares
from filbertlb.core.run_table import RunTable
from filbertlb.core.runs import Run
from filbertlb.core.scheduling import StartJob
from filbertlb.core.scheduling import StopJob

if TYPE_CHECKING:
    from filbertlb.core.amounts import Amount
    from filbertlb.core.cluster import WorkerState
    from filbertlb.core.guarantee_units import Unit
    from filbertlb.core.queueing import WaitingJob
    from filbertlb.core.scheduling import Decision
    from filbertlb.scheduling.config import SchedulerConfig

Holds = dict[str, "Amount"]
"""Amount held on each worker, by worker ID."""


@attrs.define(eq=False)
class SchedulerState:
    """State of the guaranteed scheduler.

    Parameters
    ----------
    waiting_by_id : dict
        Queue entries of jobs that run or are planned, by job ID.
    holds_by_key : dict
        Holds of reservations by job ID, and holds of guaranteed units
        without a placement by unit.
    overusers : dict
        IDs of jobs whose measured use exceeds their declared need by
        more than ``config.overuse_factor``, in order of detection.
    blocked_at : dict
        Value of ``cluster.freed_count`` at the last failed search, by
        kind of job. Later searches are skipped or limited to workers
        freed since.
    displace_tried_at_s : dict
        Time of the last attempt to displace unclaimed guarantees, by
        kind of job, in seconds.
    preemption_cursor : int
        Index of the worker at which the next search for runs to
        preempt begins.
    compacted_at_s : float
        Time of the last attempt at compaction, in seconds.
    capacity_accelerators : int
        Accelerators of all online workers.
    """

    config: SchedulerConfig
    cluster: Cluster
    runs: RunTable
    packing: GuaranteePacking
    queue: JobQueue
    shares: Shares
    health: Health
    run_times: RunTimeEstimates
    waiting_by_id: dict[str, WaitingJob] = attrs.field(factory=dict)
    holds_by_key: dict[str | Unit, Holds] = attrs.field(factory=dict)
    overusers: dict[str, None] = attrs.field(factory=dict)
    blocked_at: dict[object, int] = attrs.field(factory=dict)
    displace_tried_at_s: dict[object, float] = attrs.field(factory=dict)
    preemption_cursor: int = 0
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
            RunTimeEstimates(config.default_run_s),
        )

    def start(
        self,
        waiting: WaitingJob,
        worker_ids: tuple[str, ...],
        now_s: float,
        unit: Unit | None = None,
    ) -> StartJob:
        """Take a job off the queue and start it."""
        run = self._leave_queue(waiting, worker_ids, now_s, unit)
        self.runs.start(run)
        return StartJob(Assignment(run.job.job_id, worker_ids))

    def plan(
        self,
        waiting: WaitingJob,
        worker_ids: tuple[str, ...],
        now_s: float,
        unit: Unit | None = None,
    ) -> StartJob | None:
        """Start a job if it fits, or reserve its capacity until it does.

        A plan waits for runs that are being stopped on its workers.
        """
        run = self._leave_queue(waiting, worker_ids, now_s, unit)
        self.runs.plan(run)
        if self.runs.plan_fits(run):
            return self.start_plan(run, now_s)
        return None

    def start_plan(self, run: Run, now_s: float) -> StartJob:
        """Start a planned job whose capacity is free."""
        self.runs.unplan(run)
        run.started_at_s = now_s
        self.runs.start(run)
        return StartJob(Assignment(run.job.job_id, run.worker_ids))

    def drop_plan(self, run: Run, now_s: float) -> None:
        """Cancel a plan and requeue its job in its former place."""
        self.runs.unplan(run)
        self.release_run(run)
        waiting = self.waiting_by_id.pop(run.job.job_id)
        self.queue.push(waiting, now_s)

    def stop(self, run: Run, within_s: float, for_job_id: str) -> StopJob:
        """Mark a run as stopping and return the decision to stop it."""
        run.stopping = True
        run.stop_within_s = within_s
        return StopJob(
            run.job.job_id, run.job.checkpointable, within_s, for_job_id
        )

    def release_run(self, run: Run) -> None:
        """Undo the share accounting of a run or plan that has ended.

        A claimed unit is released instead: claims do not count against
        the share.
        """
        if run.unit is None:
            self.shares.count(run.job.organisation_id, -accelerators(run))
        else:
            self.packing.release(run.unit)
            run.unit = None

    def set_claim(self, run: Run, unit: Unit | None) -> None:
        """Change the unit that a run claims and its share accounting."""
        if (run.unit is None) != (unit is None):
            sign = 1 if unit is None else -1
            change = sign * accelerators(run)
            self.shares.count(run.job.organisation_id, change)
        self.runs.set_claim(run, unit)

    def set_holds(self, key: str | Unit, holds: Holds) -> None:
        """Replace the holds of a reservation or of an unplaced unit."""
        by_id = self.cluster.by_id
        for name, amount in self.holds_by_key.pop(key, {}).items():
            if name in by_id:
                self.cluster.unhold(by_id[name], amount)
        for name, amount in holds.items():
            self.cluster.hold(by_id[name], amount)
        if holds:
            self.holds_by_key[key] = holds

    def apply_worker_health(self, state: WorkerState, now_s: float) -> None:
        """Copy the health of one worker to the cluster.

        A worker that is set aside is cleared; one that is back counts as
        freed.
        """
        health = self.health
        state.quarantined = health.is_set_aside(state.worker_id)
        state.on_probation = health.is_on_probation(state.worker_id)
        self.cluster.reindex(state)
        if state.quarantined:
            self.clear_worker(state, now_s)
        else:
            self.cluster.note_freed(state)

    def clear_worker(self, state: WorkerState, now_s: float) -> None:
        """Drop plans, guarantee placements and reservations on a worker.

        Claimed guarantees stay with their runs. A plan or reservation
        that uses the worker is dropped on all its workers.
        """
        for run in list(self.runs.plan_by_id.values()):
            if state.worker_id in run.members_by_worker:
                self.drop_plan(run, now_s)
        self.packing.evict_unclaimed(state)
        for key, holds in list(self.holds_by_key.items()):
            if state.worker_id in holds:
                self.set_holds(key, {})

    def preemptible_room(self, state: WorkerState) -> Amount:
        """Return the room for preemptible work.

        A worker on probation takes one such run at a time.
        """
        if state.on_probation and state.runs_by_id:
            return ZERO_AMOUNT
        return state.free

    def unreserved_room(self, state: WorkerState) -> Amount:
        """Return the room for preemptible work outside all holds."""
        if state.held == ZERO_AMOUNT:
            return self.preemptible_room(state)
        return minus(self.preemptible_room(state), state.held)

    def non_preemptible_room(self, state: WorkerState) -> Amount:
        """Return the room for non-preemptible work.

        It excludes guarantees and all holds; a worker on probation has
        none.
        """
        if state.on_probation:
            return ZERO_AMOUNT
        if state.held == ZERO_AMOUNT:
            return elementwise_min(state.free, state.open)
        return elementwise_min(state.free, minus(state.open, state.held))

    def open_room_for(self, state: WorkerState, key: str | Unit) -> Amount:
        """Return the open room outside the holds of other keys."""
        own = self.holds_by_key.get(key, {}).get(state.worker_id, ZERO_AMOUNT)
        return minus(state.open, minus(state.held, own))

    def unguaranteed_room(self, state: WorkerState) -> Amount:
        """Return the capacity outside guarantees, occupied or not."""
        room = state.open
        for run in state.runs_by_id.values():
            if run.non_preemptible:
                room = plus(room, run.amount_on(state.worker_id))
        return room

    def _leave_queue(
        self,
        waiting: WaitingJob,
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
            self.packing.claim(unit, job.job_id)
        return run


def accelerators(run: Run) -> int:
    """Return the number of accelerators of all members of a run."""
    return run.need[0] * len(run.worker_ids)


Decisions = list["Decision"]

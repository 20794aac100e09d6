"""Current runs, and planned runs that wait for capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.core.amounts import covers

if TYPE_CHECKING:
    from filbertlb.core.amounts import Amount
    from filbertlb.core.cluster import Cluster
    from filbertlb.core.cluster import WorkerState
    from filbertlb.core.guarantee_units import Unit
    from filbertlb.core.runs import Run


@attrs.define(eq=False)
class RunTable:
    """Current and planned runs, accounted for on their workers.

    Parameters
    ----------
    by_id : dict
        Current runs by job identifier.
    plan_by_id : dict
        Planned runs by job identifier.
    """

    cluster: Cluster
    by_id: dict[str, Run] = attrs.field(factory=dict)
    plan_by_id: dict[str, Run] = attrs.field(factory=dict)

    def start(self, run: Run) -> None:
        """Add a run and account for it on its workers."""
        self.by_id[run.job.job_id] = run
        for state in self.workers(run):
            self._count(run, state)

    def end(self, run: Run) -> None:
        """Remove a run and release its resources."""
        del self.by_id[run.job.job_id]
        for state in self.workers(run):
            self._uncount(run, state)

    def plan(self, run: Run) -> None:
        """Reserve capacity for a run that waits for others to stop."""
        self.plan_by_id[run.job.job_id] = run
        for state in self.workers(run):
            self.cluster.plan(state, run.amount_on(state.worker_id))
            if run.non_preemptible:
                self.cluster.close(state, run.amount_on(state.worker_id))

    def unplan(self, run: Run) -> None:
        """Release the capacity reserved by ``plan``."""
        del self.plan_by_id[run.job.job_id]
        for state in self.workers(run):
            self.cluster.unplan(state, run.amount_on(state.worker_id))
            if run.non_preemptible:
                self.cluster.reopen(state, run.amount_on(state.worker_id))

    def plan_fits(self, run: Run) -> bool:
        """Return whether a planned run can start now.

        That is, whether each of its workers is usable and has enough
        capacity that is not in use.
        """
        for worker_id in run.members_by_worker:
            state = self.cluster.by_id[worker_id]
            amount = run.amount_on(worker_id)
            room = (
                state.capacity[0] - state.used[0],
                state.capacity[1] - state.used[1],
                state.capacity[2] - state.used[2],
            )
            if not state.usable or not covers(room, amount):
                return False
        return True

    def set_claim(self, run: Run, unit: Unit | None) -> None:
        """Set the guarantee unit that a run claims; None is no claim."""
        was_non_preemptible = run.non_preemptible
        run.unit = unit
        if was_non_preemptible == run.non_preemptible:
            return
        for state in self.workers(run):
            change = (
                self.cluster.close
                if run.non_preemptible
                else self.cluster.reopen
            )
            change(state, run.amount_on(state.worker_id))

    def set_excess(self, run: Run, excess: Amount) -> None:
        """Set the measured use of each member beyond its need."""
        if excess == run.excess:
            return
        for state in self.workers(run):
            self._uncount(run, state)
        run.excess = excess
        for state in self.workers(run):
            self._count(run, state)

    def count_on_new_worker(self, state: WorkerState) -> None:
        """Account for adopted runs on a worker that has just been added.

        A run may be adopted before all of its workers are known.
        """
        for run in self.by_id.values():
            counted = run.job.job_id in state.runs_by_id
            if state.worker_id in run.members_by_worker and not counted:
                self._count(run, state)

    def workers(self, run: Run) -> list[WorkerState]:
        """Return those workers of a run that are known to the cluster."""
        by_id = self.cluster.by_id
        names = run.members_by_worker
        return [by_id[name] for name in names if name in by_id]

    def _count(self, run: Run, state: WorkerState) -> None:
        amount = run.amount_on(state.worker_id)
        state.runs_by_id[run.job.job_id] = run
        self.cluster.occupy(state, amount)
        if run.non_preemptible:
            self.cluster.close(state, amount)

    def _uncount(self, run: Run, state: WorkerState) -> None:
        amount = run.amount_on(state.worker_id)
        del state.runs_by_id[run.job.job_id]
        self.cluster.vacate(state, amount)
        if run.non_preemptible:
            self.cluster.reopen(state, amount)

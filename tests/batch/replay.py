"""Replays load on a planner in virtual time, without a network."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.demand import Demand
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import RunEnd
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.planner import Planner
from filbertlb.batch.testing import a_report
from filbertlb.batch.testing import a_worker

if TYPE_CHECKING:
    from collections.abc import Callable

    from filbertlb.batch.model import Job

TICK_MS = 250


@attrs.define
class Replay:
    """Workers that run what the planner orders for its true time.

    Attributes
    ----------
    started_ms, done_ms : dict of str to int
        Time at which the first run of a job began and the job was complete.
    """

    planner: Planner
    nodes: list[str]
    true_ms: Callable[[Job], int]
    now_ms: int = 0
    started_ms: dict[str, int] = attrs.Factory(dict)
    done_ms: dict[str, int] = attrs.Factory(dict)

    def play(self, jobs, until_ms):
        """Submit jobs when they are accepted, and decide until a time."""
        arriving = sorted(jobs, key=lambda job: -job.accepted_ms)
        while self.now_ms <= until_ms:
            while arriving and arriving[-1].accepted_ms <= self.now_ms:
                self.planner.state.add_job(arriving.pop())
            self._report()
            self.planner.decide(self.now_ms / 1000, self.now_ms)
            self._mark_written()
            self._observe()
            self.now_ms += TICK_MS
        return self

    def _report(self):
        state = self.planner.state
        for node in self.nodes:
            ended = []
            for task in state.tasks_on(node):
                record = state.record(task)
                run_ms = self.now_ms - record.since_ms
                cause = None
                if record.phase is TaskPhase.STOPPING:
                    cause = EndCause.STOPPED
                elif run_ms >= self.true_ms(state.job_of(task)):
                    cause = EndCause.DONE
                if cause is not None:
                    ended.append(RunEnd(task, record.attempt, cause))
            worker = a_worker(incarnation=f"{node}@1")
            report = a_report(node, worker=worker, ended=tuple(ended))
            self.planner.record_report(report, self.now_ms / 1000)

    def _mark_written(self):
        state = self.planner.state
        state.mark_written(
            frozenset(state.changed_jobs), frozenset(state.changed_nodes)
        )

    def _observe(self):
        for job_id, progress in self.planner.state.progress.items():
            if progress.tasks:
                self.started_ms.setdefault(job_id, self.now_ms)
            if progress.ended_ms:
                self.done_ms.setdefault(job_id, progress.ended_ms)


def replay(jobs, nodes, until_ms, by_benefit, true_ms=None, **planner):
    """Return a replay that was played with one of the orders."""
    demand = Demand() if by_benefit else None
    names = [f"n{number}" for number in range(nodes)]
    return Replay(
        Planner(demand=demand, **planner),
        names,
        true_ms or (lambda job: job.steps[0].estimate_ms),
    ).play(jobs, until_ms)

"""Replays load on a planner in virtual time, without a network."""

from __future__ import annotations

import heapq
from collections.abc import Callable

import attrs

from filbertlb.batch.demand import Demand
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import Run
from filbertlb.batch.model import RunEnd
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.planner import Planner
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_report
from filbertlb.batch.testing import a_worker

ROUND_MS = 100
STOP_MS = 200
LONG_ROUND_MS = 250
"""Time between decisions in replays of several minutes."""


@attrs.frozen
class Outcome:
    """How and when a run ends."""

    cause: EndCause
    run_ms: int


@attrs.define
class Replay:
    """Plays jobs against a planner; runs end by their real run times.

    Attributes
    ----------
    run_ms : dict of str to int
        Real run time of each task of a job; others never end.
    failure : callable, optional
        Given a task, its node and the time, returns how a run that starts
        then fails; None if it does not.
    started_ms : dict of str to int
        Time of the latest order of each task.
    job_started_ms, job_ended_ms : dict of str to int
        Time of the first order of each job, and of its end.
    stopped : set of str
        Tasks that were stopped at least once.
    """

    planner: Planner
    racks: dict[str, str]
    run_ms: dict[str, int] = attrs.Factory(dict)
    failure: Callable[[str, str, int], Outcome | None] | None = None
    round_ms: int = ROUND_MS
    stop_ms: int = STOP_MS
    started_ms: dict[str, int] = attrs.Factory(dict)
    job_started_ms: dict[str, int] = attrs.Factory(dict)
    job_ended_ms: dict[str, int] = attrs.Factory(dict)
    stopped: set[str] = attrs.Factory(set)
    now_ms: int = 0
    _seen: set[tuple[str, int, TaskPhase]] = attrs.Factory(set)
    _ends: list[tuple[int, str, int, Outcome]] = attrs.Factory(list)
    _ended: set[tuple[str, int]] = attrs.Factory(set)

    def submit(self, job_id, step, run_ms=None, **changes):
        """Add a job that is accepted now."""
        fields = {"accepted_ms": self.now_ms} | changes
        self.add(a_job(job_id, step, **fields), run_ms)

    def add(self, job, run_ms=None):
        """Add a job whose tasks run for a time, or without end."""
        self.planner.state.add_job(job)
        if run_ms is not None:
            self.run_ms[job.job_id] = run_ms

    def play(self, until_ms, arrive=None):
        """Decide once a round; ``arrive`` is called before each."""
        while self.now_ms <= until_ms:
            if arrive is not None:
                arrive(self.now_ms)
            self._report()
            self.planner.decide(self.now_ms / 1000, self.now_ms)
            self._follow()
            state = self.planner.state
            state.mark_written(
                frozenset(state.changed_jobs), frozenset(state.changed_nodes)
            )
            self.now_ms += self.round_ms

    def ordered(self, job_id):
        """Return the nodes of the ordered tasks of a job."""
        tasks = self.planner.state.progress[job_id].tasks.values()
        return sorted(t.node for t in tasks if t.phase is TaskPhase.ORDERED)

    def end_now(self, task, cause):
        """Report the end of a task's run with the next reports."""
        attempt = self.planner.state.record(task).attempt
        entry = (self.now_ms, task, attempt, Outcome(cause, 0))
        heapq.heappush(self._ends, entry)

    def _follow(self):
        for job_id, progress in self.planner.state.progress.items():
            if progress.tasks:
                self.job_started_ms.setdefault(job_id, self.now_ms)
            if progress.ended_ms:
                self.job_ended_ms.setdefault(job_id, progress.ended_ms)
            for task, record in progress.tasks.items():
                key = (task, record.attempt, record.phase)
                if key not in self._seen:
                    self._seen.add(key)
                    self._follow_task(task, record)

    def _follow_task(self, task, record):
        outcome = None
        if record.phase is TaskPhase.ORDERED:
            self.started_ms[task] = self.now_ms
            outcome = self._outcome(task, record.node)
        elif record.phase is TaskPhase.STOPPING:
            self.stopped.add(task)
            outcome = Outcome(EndCause.STOPPED, self.stop_ms)
        if outcome is not None:
            end_ms = self.now_ms + outcome.run_ms
            entry = (end_ms, task, record.attempt, outcome)
            heapq.heappush(self._ends, entry)

    def _outcome(self, task, node):
        """Return how the run that starts now ends; None if it does not."""
        if self.failure is not None:
            failure = self.failure(task, node, self.now_ms)
            if failure is not None:
                return failure
        run_ms = self.run_ms.get(task.partition(".")[0])
        return None if run_ms is None else Outcome(EndCause.DONE, run_ms)

    def _run(self, task):
        """Return a listed run; it takes a checkpoint every 500 ms."""
        state = self.planner.state
        saved = ""
        if state.step_of(task).checkpointable:
            saved = f"{self.now_ms // 500}"
        return Run(task, state.record(task).attempt, saved)

    def _report(self):
        ended = {}
        while self._ends and self._ends[0][0] <= self.now_ms:
            _, task, attempt, outcome = heapq.heappop(self._ends)
            if (task, attempt) in self._ended:
                # A stopped run does not get done as well.
                continue
            self._ended.add((task, attempt))
            record = self.planner.state.record(task)
            end = RunEnd(task, attempt, outcome.cause, run_ms=outcome.run_ms)
            ended.setdefault(record.node, []).append(end)
        for node, view in self.planner.workers.items():
            ends = tuple(ended.get(node, ()))
            keys = {end.key for end in ends}
            runs = map(self._run, self.planner.state.tasks_on(node))
            running = tuple(run for run in runs if run.key not in keys)
            self.planner.record_report(
                attrs.evolve(view.report, running=running, ended=ends),
                self.now_ms / 1000,
            )


def replay_on(
    nodes,
    racks=None,
    round_ms=ROUND_MS,
    stop_ms=STOP_MS,
    failure=None,
    **fields,
):
    """Return a replay on workers of 8 accelerators."""
    rack_by_node = {
        f"n{number}": racks[number] if racks else "r1"
        for number in range(nodes)
    }
    replay = Replay(
        Planner(**fields),
        rack_by_node,
        failure=failure,
        round_ms=round_ms,
        stop_ms=stop_ms,
    )
    for node, rack in rack_by_node.items():
        worker = a_worker(incarnation=f"{node}@1", rack=rack)
        replay.planner.record_report(a_report(node, worker=worker), 0.0)
    return replay


def replay_of(jobs, nodes, until_ms, by_benefit, true_ms=None):
    """Return a replay of jobs that was played with one of the orders."""
    replay = replay_on(
        nodes,
        round_ms=LONG_ROUND_MS,
        stop_ms=LONG_ROUND_MS,
        demand=Demand() if by_benefit else None,
    )
    arriving = sorted(jobs, key=lambda job: -job.accepted_ms)

    def arrive(now_ms):
        while arriving and arriving[-1].accepted_ms <= now_ms:
            job = arriving.pop()
            run_ms = true_ms(job) if true_ms else job.steps[0].estimate_ms
            replay.add(job, run_ms)

    replay.play(until_ms, arrive)
    return replay

"""Replays on workers that run the same task in different times."""

from __future__ import annotations

from math import exp
from random import Random

import attrs

from filbertlb.batch.demand import Demand
from filbertlb.batch.learned_durations import LearnedDurations
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import Run
from filbertlb.batch.model import task_group_of
from filbertlb.batch.planner import Planner
from filbertlb.batch.testing import a_report
from filbertlb.batch.testing import a_step
from filbertlb.batch.testing import a_worker
from tests.batch.replay import Outcome
from tests.batch.replay import Replay

LISTING_MS = 1000
"""Time between two listings of a worker."""
COMPLETE_PERCENT = 100
LATE_WORTH = 0.2
WORKERS = 61
WORKERS_PER_RACK = 8
SPEEDS = (0.6, 1.0, 1.6)


@attrs.frozen
class Load:
    """Jobs of one queue; an urgent one is late if it waits or runs slowly."""

    queue: str
    mean_ms: int
    priority: int
    slack_factor: float
    target_ms: int
    gang: bool = True


BULK = Load("bulk", 13_000, 2, 3.0, 3_000, gang=False)
GANG = Load("gang", 11_600, 1, 3.0, 1_000)
URGENT = Load("urgent", 4_200, 0, 1.5, 306)
LOAD_BY_QUEUE = {load.queue: load for load in (BULK, GANG, URGENT)}


@attrs.frozen(order=True)
class Arrival:
    """A job of some tasks, each with some accelerators, and its time."""

    at_ms: int
    queue: str
    count: int
    accelerators: int


OTHER_ARRIVALS = (
    Arrival(0, "bulk", 4, 1),
    Arrival(0, "bulk", 21, 1),
    Arrival(0, "bulk", 17, 1),
    Arrival(0, "bulk", 55, 1),
    Arrival(0, "gang", 2, 2),
    Arrival(0, "gang", 5, 8),
    Arrival(0, "gang", 10, 8),
    Arrival(6_000, "gang", 5, 8),
    Arrival(6_000, "gang", 4, 4),
)
URGENT_ARRIVALS = (
    Arrival(9_600, "urgent", 5, 8),
    Arrival(10_900, "urgent", 5, 8),
    Arrival(10_900, "urgent", 8, 4),
    Arrival(11_300, "urgent", 2, 8),
    Arrival(12_300, "urgent", 6, 2),
    Arrival(22_500, "urgent", 5, 8),
    Arrival(22_900, "urgent", 10, 8),
    Arrival(23_500, "urgent", 4, 1),
    Arrival(29_400, "urgent", 7, 8),
)


@attrs.define
class UnlikeSpeeds(Replay):
    """Replay in which a run lasts by the speed of its worker.

    The members of a gang do equal work and end with the slowest.
    """

    speed_by_node: dict[str, float] = attrs.Factory(dict)

    def _outcome(self, task, node):
        work_ms = self.run_ms[task.partition(".")[0]]
        speed = min(self.speed_by_node[node] for node in self._nodes(task))
        return Outcome(EndCause.DONE, round(work_ms / speed))

    def _nodes(self, task):
        state = self.planner.state
        if not state.step_of(task).gang:
            return [state.record(task).node]
        members = state.members(task_group_of(task)).values()
        return [record.node for record in members]

    def _run(self, task):
        record = self.planner.state.record(task)
        age_ms = (self.now_ms - record.since_ms) % LISTING_MS
        listed_ms = self.now_ms - record.since_ms - age_ms
        work_ms = self.run_ms[task.partition(".")[0]]
        percent = int(
            COMPLETE_PERCENT
            * listed_ms
            * self.speed_by_node[record.node]
            / work_ms
        )
        return Run(
            *(task, record.attempt),
            percent=min(COMPLETE_PERCENT, percent),
            age_ms=age_ms,
        )


def replay_on_speeds(speed_by_node, **fields):
    """Return a replay on workers of 8 accelerators and given speeds."""
    planner = Planner(durations=LearnedDurations(), demand=Demand(), **fields)
    replay = UnlikeSpeeds(planner, {}, speed_by_node=speed_by_node)
    for number, node in enumerate(speed_by_node):
        worker = a_worker(
            incarnation=f"{node}@1",
            rack=f"r1-{number // WORKERS_PER_RACK}",
            capacity=(8, 64_000, 131_072),
        )
        planner.record_report(a_report(node, worker=worker), 0.0)
    return replay


@attrs.define
class UrgentBurst:
    """Urgent gangs that come while other work runs, seeded.

    Attributes
    ----------
    due_ms : dict of str to int
        Time until which each urgent job is on time.
    """

    seed: int
    replay: UnlikeSpeeds = attrs.field(init=False)
    due_ms: dict[str, int] = attrs.Factory(dict)
    _random: Random = attrs.field(init=False)
    _arrivals: list[Arrival] = attrs.field(init=False)
    _submitted: int = 0

    def __attrs_post_init__(self):
        self._random = Random(self.seed)
        speeds = [SPEEDS[number % len(SPEEDS)] for number in range(WORKERS)]
        self._random.shuffle(speeds)
        self.replay = replay_on_speeds(
            {f"n{number:02}": speed for number, speed in enumerate(speeds)}
        )
        arrivals = OTHER_ARRIVALS + URGENT_ARRIVALS
        self._arrivals = sorted(arrivals, reverse=True)

    def play(self, until_ms):
        self.replay.play(until_ms, self._arrive)

    def worth(self):
        """Return the share of the worth that the urgent jobs earned."""
        ended_ms = self.replay.job_ended_ms
        on_time = [
            ended_ms.get(job_id, float("inf")) <= due_ms
            for job_id, due_ms in self.due_ms.items()
        ]
        return sum(1.0 if ok else LATE_WORTH for ok in on_time) / len(on_time)

    def _arrive(self, now_ms):
        while self._arrivals and self._arrivals[-1].at_ms <= now_ms:
            self._submit(self._arrivals.pop())

    def _submit(self, arrival):
        load = LOAD_BY_QUEUE[arrival.queue]
        work_ms = round(load.mean_ms * exp(self._random.gauss(0, 0.4)))
        step = a_step(
            arrival.count,
            needs=(arrival.accelerators, 7_500, 20_000),
            estimate_ms=round(work_ms * exp(self._random.gauss(0, 0.2))),
            gang=load.gang,
        )
        self._submitted += 1
        job_id = f"{load.queue}{self._submitted}"
        self.replay.submit(
            *(job_id, step, work_ms),
            queue=load.queue,
            priority=load.priority,
            slack_factor=load.slack_factor,
            target_ms=load.target_ms,
        )
        if load is URGENT:
            objective_ms = load.target_ms + round(load.slack_factor * work_ms)
            self.due_ms[job_id] = self.replay.now_ms + objective_ms

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
LEAD_MS = 8_000
"""Time for which other work runs before the first urgent job."""
URGENT_SLACK = 1.5
URGENT_TARGET_MS = 306


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
    _arrivals: list[tuple[int, str, dict]] = attrs.field(init=False)
    _submitted: int = 0

    def __attrs_post_init__(self):
        self._random = Random(self.seed)
        speeds = [SPEEDS[number % len(SPEEDS)] for number in range(WORKERS)]
        self._random.shuffle(speeds)
        self.replay = replay_on_speeds(
            {f"n{number:02}": speed for number, speed in enumerate(speeds)}
        )
        others = [
            *[(0, "bulk", (count, 1)) for count in (4, 21, 17, 55)],
            *[(0, "gang", shape) for shape in ((2, 2), (5, 8), (10, 8))],
            *[(6_000, "gang", shape) for shape in ((5, 8), (4, 4))],
        ]
        urgent = [
            (LEAD_MS + at_ms, "urgent", shape)
            for at_ms, shape in (
                *((1_600, (5, 8)), (2_900, (5, 8)), (2_900, (8, 4))),
                *((3_300, (2, 8)), (4_300, (6, 2)), (14_500, (5, 8))),
                *((14_900, (10, 8)), (15_500, (4, 1)), (21_400, (7, 8))),
            )
        ]
        self._arrivals = sorted([*others, *urgent], reverse=True)

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
        while self._arrivals and self._arrivals[-1][0] <= now_ms:
            _, kind, (count, accelerators) = self._arrivals.pop()
            self._submit(kind, count, accelerators)

    def _submit(self, kind, count, accelerators):
        mean_ms, priority, slack, target_ms = {
            "bulk": (13_000, 2, 3.0, 3_000),
            "gang": (11_600, 1, 3.0, 1_000),
            "urgent": (4_200, 0, URGENT_SLACK, URGENT_TARGET_MS),
        }[kind]
        work_ms = round(mean_ms * exp(self._random.gauss(0, 0.4)))
        step = a_step(
            count,
            needs=(accelerators, 7_500, 20_000),
            estimate_ms=round(work_ms * exp(self._random.gauss(0, 0.2))),
            gang=kind != "bulk",
        )
        self._submitted += 1
        job_id = f"{kind}{self._submitted}"
        self.replay.submit(
            *(job_id, step, work_ms),
            queue=kind,
            priority=priority,
            slack_factor=slack,
            target_ms=target_ms,
        )
        if kind == "urgent":
            now_ms = self.replay.now_ms
            self.due_ms[job_id] = now_ms + target_ms + round(slack * work_ms)

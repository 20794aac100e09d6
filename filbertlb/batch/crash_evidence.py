"""Weighs whether a task ends its workers or workers crash by themselves.

A sequential probability ratio test: each crash under a task is so many times
as likely if the task ends its workers as if they crash at the rate that is
seen on workers that don't run it. The product of these ratios over the
crashes of a sound task reaches ``CONVICTING_ODDS`` with a probability of at
most its inverse, however often one looks.

A gang crashes as a whole: its evidence is that of one task, with one crash
for each run.
"""

from __future__ import annotations

from collections import deque
from math import prod
from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.crashes import MAX_BLAME_MS
from filbertlb.batch.crashes import MAX_RECORDED_CRASHES
from filbertlb.batch.model import job_id_of
from filbertlb.batch.model import task_group_of

if TYPE_CHECKING:
    from collections.abc import Iterable

    from filbertlb.batch.model import Crash
    from filbertlb.batch.planner_state import PlannerState

START_MS = 500
"""Time after a start within which a run counts as beginning."""
PROMPT_CRASH_MS = 1000
"""Time after a start within which a crash is most likely due to the run."""
MIN_CULPRIT_CRASHES = 2
"""Prompt crashes on different nodes that make a task a likely culprit."""
MIN_CULPRIT_CRASHES_ON_ONE_NODE = 3
"""The same if all were on one node, which may be at fault itself."""
MAX_CRASHES = 4
"""Crashes before which no task is given up, on whichever workers.

A task with more attempts is given up after as many, as far as its record
keeps them.
"""
CONVICTING_ODDS = 1e6
"""Odds from which a task is given up: one sound task in a million."""
LIKELY_ODDS = 100.0
"""Odds from which a task that has crashed often is a likely culprit."""
WINDOW_S = 30.0
"""Time over which crashes of other workers count."""
PRIOR_WORKER_S = 60.0
"""Time in which one crash of one worker is assumed before any is seen."""
S_PER_H = 3600


@attrs.frozen
class CrashDensity:
    """How likely a crash is at an age of the run.

    Parameters
    ----------
    max_age_ms : int
        Age up to which it holds.
    per_s : float
        Probability density, per second.
    """

    max_age_ms: int
    per_s: float


@attrs.frozen
class CulpritKind:
    """When tasks of one kind end their workers.

    Parameters
    ----------
    share : float
        Share of the tasks that end their workers.
    densities : tuple of CrashDensity
        In the order of age.
    """

    share: float
    densities: tuple[CrashDensity, ...]

    def ratio(self, crash: Crash) -> float:
        """Return how many times as likely a crash is if a task causes it."""
        for density in self.densities:
            if crash.run_ms <= density.max_age_ms:
                others_per_s = max(1, crash.others_per_h) / S_PER_H
                return density.per_s / others_per_s
        return 0.0


CRASHING_AT_START = CulpritKind(0.6, (CrashDensity(START_MS, 2.0),))
CRASHING_PROMPTLY = CulpritKind(0.1, (CrashDensity(PROMPT_CRASH_MS, 1.0),))
CRASHING_AT_ANY_AGE = CulpritKind(0.1, (CrashDensity(MAX_BLAME_MS, 0.1),))
CRASHING_MOSTLY_EARLY = CulpritKind(
    0.2,
    (
        CrashDensity(START_MS, 1.4),
        CrashDensity(PROMPT_CRASH_MS, 0.2),
        CrashDensity(MAX_BLAME_MS, 0.02),
    ),
)
CULPRIT_KINDS = (
    CRASHING_AT_START,
    CRASHING_PROMPTLY,
    CRASHING_AT_ANY_AGE,
    CRASHING_MOSTLY_EARLY,
)
"""Assumed kinds of tasks that end their workers.

Most do so as they begin, others at any time until their run shows that they
don't; a few do both. The shares add up to 1, and so do, nearly, the densities
of each kind over the ages.
"""


def odds(crashes: tuple[Crash, ...]) -> float:
    """Return how many times as likely these crashes are if a task causes them.

    1 if there are none.
    """
    if not crashes:
        return 1.0
    return sum(
        kind.share * prod(map(kind.ratio, crashes)) for kind in CULPRIT_KINDS
    )


def is_likely_culprit(crashes: tuple[Crash, ...]) -> bool:
    """Return whether a crash is due to this task and not to others."""
    prompt = [
        crash.node for crash in crashes if crash.run_ms <= PROMPT_CRASH_MS
    ]
    enough = (
        len(set(prompt)) >= MIN_CULPRIT_CRASHES
        or len(prompt) >= MIN_CULPRIT_CRASHES_ON_ONE_NODE
        or len(crashes) >= MAX_CRASHES
    )
    return enough and odds(crashes) >= LIKELY_ODDS


def must_give_up(crashes: tuple[Crash, ...], attempts: int) -> bool:
    """Return whether a task must be given up for these crashes.

    Parameters
    ----------
    attempts : int
        Failed runs after which the task is given up.
    """
    limit = min(max(MAX_CRASHES, attempts), MAX_RECORDED_CRASHES)
    return len(crashes) >= limit and odds(crashes) >= CONVICTING_ODDS


def crashes_of(state: PlannerState, task: str) -> tuple[Crash, ...]:
    """Return the crashes that a task, or the gang it is of, is blamed for.

    Those of a gang are one for each run. Rows of earlier versions don't tell
    the runs; of them, those of the member with the most count.
    """
    if not state.step_of(task).gang:
        return state.record(task).crashes
    members = state.members(task_group_of(task)).values()
    lists = [record.crashes for record in members]
    unnumbered = max(
        (
            [crash for crash in crashes if not crash.attempt]
            for crashes in lists
        ),
        key=len,
        default=[],
    )
    by_attempt: dict[int, Crash] = {}
    for crash in (crash for crashes in lists for crash in crashes):
        known = by_attempt.get(crash.attempt)
        if crash.attempt and (known is None or crash.run_ms < known.run_ms):
            by_attempt[crash.attempt] = crash
    numbered = [by_attempt[attempt] for attempt in sorted(by_attempt)]
    return tuple((*unnumbered, *numbered)[-MAX_RECORDED_CRASHES:])


def culprits_among(state: PlannerState, tasks: Iterable[str]) -> set[str]:
    """Return those of some tasks that most likely ended their workers."""
    return {
        task
        for task in tasks
        if job_id_of(task) in state.jobs
        and (task in state.suspects or state.step_of(task).gang)
        and is_likely_culprit(crashes_of(state, task))
    }


@attrs.frozen
class _SeenCrash:
    """Crash of a worker, and the tasks and gangs that ran on it."""

    at_s: float
    units: frozenset[str]


@attrs.define
class CrashRate:
    """How often workers crash that don't run a given task.

    It is not stored: the next decider counts anew, and each crash keeps the
    rate that was known when it was seen.
    """

    _crashes: deque[_SeenCrash] = attrs.Factory(deque)
    _begun_s: float | None = None

    def record_time(self, now_s: float) -> None:
        """Record that workers are watched from now on."""
        if self._begun_s is None:
            self._begun_s = now_s

    def record_crash(
        self, state: PlannerState, node: str, now_s: float
    ) -> None:
        """Record that a worker went down, or came back as another.

        One that ran a task which most likely ended it tells nothing of the
        others.
        """
        tasks = [
            task
            for task in state.tasks_on(node)
            if job_id_of(task) in state.jobs
        ]
        if culprits_among(state, tasks):
            return
        units = frozenset(_unit(state, task) for task in tasks)
        self._crashes.append(_SeenCrash(now_s, units))

    def others_per_h(
        self, state: PlannerState, task: str, workers: int, now_s: float
    ) -> int:
        """Return the crashes an hour of each worker without a task.

        For a gang it is that of as many workers as its members run on, since
        any of them ends its run.
        """
        while self._crashes and self._crashes[0].at_s < now_s - WINDOW_S:
            self._crashes.popleft()
        unit = _unit(state, task)
        seen = sum(unit not in crash.units for crash in self._crashes)
        begun_s = now_s if self._begun_s is None else self._begun_s
        watched_s = min(WINDOW_S, max(0.0, now_s - begun_s))
        per_s = (seen + 1) / (workers * watched_s + PRIOR_WORKER_S)
        return max(1, round(per_s * _nodes_of(state, task) * S_PER_H))


def _unit(state: PlannerState, task: str) -> str:
    """Return what ends as a whole: a task, or the group of a gang."""
    return task_group_of(task) if state.step_of(task).gang else task


def _nodes_of(state: PlannerState, task: str) -> int:
    """Return the number of nodes that the latest run of a task is on."""
    if not state.step_of(task).gang:
        return 1
    attempt = state.record(task).attempt
    members = state.members(task_group_of(task)).values()
    return len(
        {record.node for record in members if record.attempt == attempt}
    )

"""What the workers of the soak saw of runs and their ends."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from collections.abc import Callable
from time import monotonic

import attrs
from gevent.event import Event

from filbertlb.batch.model import EndCause
from filbertlb.batch.model import job_id_of
from filbertlb.batch.model import task_group_of


@attrs.define
class Interval:
    """Time during which a task ran on a worker.

    Attributes
    ----------
    unit : str
        The task, or the gang that it is a member of.
    """

    unit: str
    task: str
    attempt: int
    incarnation: str
    begin_s: float
    end_s: float | None = None
    how: str = ""

    @property
    def key(self):
        return self.task, self.attempt

    def __str__(self):
        end = "open" if self.end_s is None else f"{self.end_s:.2f} {self.how}"
        return (
            f"{self.task} run {self.attempt} on {self.incarnation} from "
            f"{self.begin_s:.2f} to {end}"
        )


@attrs.define
class History:
    """What the workers saw, and which promises were broken.

    Attributes
    ----------
    attempts : callable
        Returns, by the id of its job, the failed runs after which a task, or
        a gang, is given up.
    done : set of str
        Tasks and gangs whose end as done was acknowledged.
    failed : dict of str to set of int
        Attempts of tasks and gangs with an acknowledged end as failed.
    cut_off : list of str
        Tasks whose start got no answer as the worker ended.
    on_failed : Event
        Set when one of several members that fail has ended.
    first_failed : tuple of str
        Its job and worker.
    """

    attempts: Callable[[str], int]
    intervals: list[Interval] = attrs.Factory(list)
    done: set[str] = attrs.Factory(set)
    failed: dict[str, set[int]] = attrs.Factory(lambda: defaultdict(set))
    cut_off: list[str] = attrs.Factory(list)
    broken: list[str] = attrs.Factory(list)
    on_failed: Event = attrs.Factory(Event)
    first_failed: tuple[str, str] = ("", "")
    _unit_by_task: dict[str, str] = attrs.Factory(dict)

    def begin(self, task, attempt, incarnation, in_gang):
        """Record that a run begins."""
        unit = task_group_of(task) if in_gang else task
        if unit in self.done:
            self.broken.append(f"{task} begins again after it was done")
        if len(self.failed[unit]) >= self.attempts(job_id_of(task)):
            self.broken.append(
                f"{task} run {attempt} begins after runs "
                f"{sorted(self.failed[unit])} failed"
            )
        self._unit_by_task[task] = unit
        interval = Interval(unit, task, attempt, incarnation, monotonic())
        self.intervals.append(interval)
        return interval

    def acknowledge(self, task, attempt, how):
        """Record that the end of a run was acknowledged."""
        if how is EndCause.DONE:
            self._acknowledge_done(task, attempt)
        elif how is EndCause.FAILED:
            self.failed[self._unit_by_task[task]].add(attempt)

    def _acknowledge_done(self, task, attempt):
        unit = self._unit_by_task[task]
        if unit in self.done:
            return
        self.done.add(unit)
        runs = [run for run in self.intervals if run.unit == unit]
        end_s = max(run.end_s for run in runs if run.key == (task, attempt))
        for run in runs:
            if run.begin_s > end_s:
                self.broken.append(
                    f"{run} began after attempt {attempt} of {task} was done "
                    f"at {end_s:.2f}, which was acknowledged later"
                )

    def overlaps(self):
        """Yield a line for each two runs of a task or gang at one time."""
        for number, one in enumerate(self.intervals):
            for other in self.intervals[number + 1 :]:
                if one.unit != other.unit or (
                    one.task != other.task and one.attempt == other.attempt
                ):
                    continue
                begin_s = max(one.begin_s, other.begin_s)
                end_s = min(run.end_s or monotonic() for run in (one, other))
                if begin_s < end_s:
                    yield f"{end_s - begin_s:.2f} s: {one} and {other}"

    def failed_runs(self, job_id):
        """Return how many runs of one task or gang of a job failed."""
        attempts = defaultdict(set)
        for run in self.of_job(job_id):
            if run.how == EndCause.FAILED:
                attempts[run.unit].add(run.attempt)
        return max(map(len, attempts.values()), default=0)

    def of_job(self, job_id):
        """Return the runs of a job."""
        return [run for run in self.intervals if job_id_of(run.task) == job_id]

    def crashes(self, job_id):
        """Return how often runs and starts of one task ended with a worker.

        The largest number of any task of the job counts.
        """
        tasks = [
            run.task for run in self.intervals if run.how == "worker ended"
        ]
        crashes = Counter(
            task for task in tasks + self.cut_off if job_id_of(task) == job_id
        )
        return max(crashes.values(), default=0)

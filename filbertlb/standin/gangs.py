"""Gangs whose members run on several stand-in workers.

A run of a gang begins when all members are there. Its first end is the end
of all: they are done with a member that is done, and broken by any other
end unless they fail by themselves before they notice it.
"""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.model import EndCause
from filbertlb.batch.model import task_group_of

if TYPE_CHECKING:
    from filbertlb.batch.model import RunKey
    from filbertlb.standin.run_plan import RunPlan

GANG_TIMEOUT_MS = 3000
"""Time for which a member waits for the others."""


class GangWorker(Protocol):
    """Worker that runs members."""

    def begin(self, task: str, attempt: int) -> None:
        """Begin to work on a run that waited for the other members."""
        ...

    def cut(self, task: str, attempt: int, how: EndCause, in_ms: int) -> None:
        """End a run early unless it fails by itself before."""
        ...


@attrs.define
class _GangRun:
    plan: RunPlan
    workers: dict[str, GangWorker] = attrs.Factory(dict)
    ended: bool = False


@attrs.define
class Gangs:
    """Runs of gangs on the workers that share this object."""

    _runs: dict[RunKey, _GangRun] = attrs.Factory(dict)

    def join(
        self, worker: GangWorker, task: str, attempt: int, plan: RunPlan
    ) -> None:
        """Let a member wait for the others, which begin with the last one."""
        key = (task_group_of(task), attempt)
        run = self._runs.setdefault(key, _GangRun(plan))
        run.workers[task] = worker
        if run.ended:
            worker.cut(task, attempt, EndCause.BROKEN, plan.break_ms)
        elif len(run.workers) == plan.members:
            for member, its_worker in run.workers.items():
                its_worker.begin(member, attempt)

    def end(
        self, task: str, attempt: int, how: EndCause, ended_ms_ago: int
    ) -> None:
        """End the others after the first member that has ended.

        Parameters
        ----------
        ended_ms_ago : int
            Time from the end until now, as workers notice ends late.
        """
        run = self._runs.get((task_group_of(task), attempt))
        if run is None or run.ended:
            return
        run.ended = True
        others, in_ms = EndCause.BROKEN, run.plan.break_ms
        if how is EndCause.DONE:
            others, in_ms = EndCause.DONE, 0
        for member, worker in run.workers.items():
            worker.cut(member, attempt, others, in_ms - ended_ms_ago)

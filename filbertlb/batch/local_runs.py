"""Runs of one worker and their ends, as its agent knows them."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.batch.local_run import RunPhase
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import Run
from filbertlb.batch.model import RunEnd

if TYPE_CHECKING:
    from collections.abc import Iterable

    from filbertlb.batch.local_run import LocalRun
    from filbertlb.batch.model import Order
    from filbertlb.batch.model import RunKey


@attrs.define
class LocalRuns:
    """Runs and ends by task and attempt.

    Attributes
    ----------
    by_key : dict of RunKey to LocalRun
        Runs that the worker has or may have.
    ended : dict of RunKey to RunEnd
        Ends that the decider has not processed yet.
    told_by_run : dict of RunKey to int
        Numbers of the first stored reports that told these ends.
    waiting_since_s : dict of RunKey to float
        Monotonic times since which orders wait for capacity.
    checkpoint_by_run : dict of RunKey to str
        Latest checkpoints.
    crash_age_ms_by_run : dict of RunKey to int
        Ages of runs when the worker crashed under them.
    report_changed : bool
        The report's contents changed since it was last built.
    """

    by_key: dict[RunKey, LocalRun] = attrs.Factory(dict)
    ended: dict[RunKey, RunEnd] = attrs.Factory(dict)
    told_by_run: dict[RunKey, int] = attrs.Factory(dict)
    waiting_since_s: dict[RunKey, float] = attrs.Factory(dict)
    checkpoint_by_run: dict[RunKey, str] = attrs.Factory(dict)
    crash_age_ms_by_run: dict[RunKey, int] = attrs.Factory(dict)
    report_changed: bool = False
    _former: str = ""
    _former_runs: dict[RunKey, LocalRun] = attrs.Factory(dict)

    def restore(self, ended: Iterable[RunEnd], running: Iterable[Run]) -> None:
        """Restore the ends and checkpoints that the last process reported."""
        for end in ended:
            self.ended[end.key] = end
            # The registration tells them again.
            self.told_by_run[end.key] = 0
        for run in running:
            self.checkpoint_by_run[run.key] = run.saved

    def replace_incarnation(self, before: str, after: str) -> None:
        """Set the runs aside; take those back of an incarnation that returns.

        One that seemed to be replaced may still carry out a start.
        """
        former_runs: dict[RunKey, LocalRun] = {}
        if after == self._former:
            former_runs = self._former_runs
            self.crash_age_ms_by_run.clear()
        self._former, self._former_runs = before, self.by_key
        self.by_key = {
            key: run
            for key, run in former_runs.items()
            if key not in self.ended
        }

    def follow_orders(self, orders: Iterable[Order]) -> None:
        """Adopt the needs of orders; forget what concerns no ordered run.

        Ends are told until the decider has read them.
        """
        wanted = {order.key: order for order in orders}
        for key in self.by_key.keys() & wanted.keys():
            self.by_key[key].needs = wanted[key].needs
        by_run: tuple[dict[RunKey, Any], ...] = (
            self.waiting_since_s,
            self.checkpoint_by_run,
            self.crash_age_ms_by_run,
        )
        for entries in by_run:
            for key in entries.keys() - wanted.keys():
                del entries[key]

    def forget_end(self, key: RunKey) -> None:
        """Forget the end of a run."""
        del self.ended[key]
        self.told_by_run.pop(key, None)

    def running(self, now_s: float) -> tuple[Run, ...]:
        """Return the runs that the worker is known to have."""
        return tuple(
            Run(task, attempt, run.saved, run.percent, run.age_ms(now_s))
            for (task, attempt), run in self.by_key.items()
            if run.phase is not RunPhase.STARTING
        )

    def lose_orders(self, orders: Iterable[Order], reason: str) -> None:
        """End as lost all orders without a run that have not ended yet."""
        for order in orders:
            if order.key not in self.ended and order.key not in self.by_key:
                self.end(order.key, EndCause.LOST, reason)

    def end(
        self,
        key: RunKey,
        cause: EndCause,
        reason: str,
        run_ms: int | None = None,
    ) -> None:
        """Record the end of a run or order that the worker has not listed.

        Parameters
        ----------
        run_ms : int, optional
            Time for which it ran; None if that is unknown.
        """
        self.by_key.pop(key, None)
        self.waiting_since_s.pop(key, None)
        saved = self.checkpoint_by_run.get(key, "")
        crash_ms = self.crash_age_ms_by_run.get(key)
        self.ended[key] = RunEnd(
            key[0], key[1], cause, saved, crash_ms, run_ms
        )
        self.report_changed = True
        logger.info(
            "run {} attempt {} ended {}: {}{}",
            *(*key, cause.value, reason),
            ""
            if crash_ms is None
            else f", worker crashed after {crash_ms} ms",
        )

"""What an agent knows of the worker beside it and of its process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from filbertlb.batch.model import Worker

HEARTBEAT_PERIOD_S = 1.5
"""Time between the announcements of a worker, unless the site states it."""
MAX_HEARTBEAT_PERIODS = 2.2
"""Age of the latest announcement, in periods, up to which starts rely on it.

A worker that has shrunk must not be overfilled long after it has said so.
"""


@attrs.define
class WorkerPresence:
    """The present incarnation of a worker and the state of its process.

    Attributes
    ----------
    heartbeat_period_s : float
        Time between the announcements of the worker.
    worker : Worker, optional
        What the worker announced last; None before that.
    listed : bool
        The present incarnation has listed its runs.
    deregistered : bool
        The present incarnation has deregistered.
    down_since_s : float, optional
        Monotonic time since which the worker's process is known to have
        ended; None if it answers.
    """

    heartbeat_period_s: float = HEARTBEAT_PERIOD_S
    worker: Worker | None = None
    listed: bool = False
    deregistered: bool = False
    down_since_s: float | None = None
    _announced_s: float = float("-inf")
    _replaced: bool = False

    def begin_incarnation(self) -> None:
        """Forget what is known of the incarnation before."""
        self.down_since_s = None
        self.listed = False
        self.deregistered = False
        self._replaced = False

    def record_announcement(self, now_s: float) -> None:
        """Record that the worker announced itself, changed or not."""
        self._announced_s = now_s

    def record_deregistration(self, incarnation: str) -> None:
        """Record that an incarnation has deregistered."""
        if self.worker is None or self.worker.incarnation != incarnation:
            return
        self.deregistered = True

    def record_listing(self) -> None:
        """Record that the worker listed its runs."""
        self.listed = True
        self.down_since_s = None
        self._replaced = False

    def record_other_incarnation(self) -> None:
        """Record that another incarnation answers than was announced."""
        self._replaced = True

    def capacity_known(self, now_s: float) -> bool:
        """Return whether the announced capacity is recent enough."""
        max_age_s = MAX_HEARTBEAT_PERIODS * self.heartbeat_period_s
        return now_s - self._announced_s <= max_age_s

    @property
    def draining(self) -> bool:
        """Whether the worker has announced that it drains."""
        return self.worker is not None and self.worker.draining

    @property
    def down(self) -> bool:
        """Whether the worker's process has ended and not returned yet."""
        return self.down_since_s is not None

    @property
    def gone(self) -> bool:
        """Whether the worker has deregistered and its process has ended."""
        return self.deregistered and self.down

    @property
    def may_start(self) -> bool:
        """Whether a start would reach the incarnation that it is meant for.

        It would not if the worker is down, or has restarted and not
        announced itself yet.
        """
        return not self.down and not self._replaced

    @property
    def runs_known(self) -> bool:
        """Whether the latest listing came from the present incarnation."""
        return self.listed and not self._replaced

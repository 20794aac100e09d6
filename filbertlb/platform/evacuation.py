"""Reads the rows with which operators request evacuations.

The key of a row names the failure domain; its value has no meaning.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from gevent import sleep
from loguru import logger

from filbertlb.batch.evacuation import Evacuations
from filbertlb.batch.evacuation import MAX_AGE_SHARE
from filbertlb.errors import FilbertlbError
from filbertlb.platform.configuration import OPERATOR_TABLE
from filbertlb.platform.configuration import POLL_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from filbertlb.core.clock import Clock
    from filbertlb.table.base import Row
    from filbertlb.table.base import WatchedTable
    from filbertlb.table.mirror import Follower

EVACUATION_PREFIX = f"{OPERATOR_TABLE}/evacuate/"


def new_evacuations(bound_ms: int) -> Evacuations:
    """Return evacuations of which no request has been read yet.

    Parameters
    ----------
    bound_ms : int
        Time after a request from which no work may start in its domain.
    """
    max_age_s = MAX_AGE_SHARE * bound_ms / 1000
    return Evacuations(max_age_s, complete_s=float("-inf"))


@attrs.define
class EvacuationReader:
    """Keeps evacuations up to date from the operators' table.

    Parameters
    ----------
    follower : Follower
        Follows the operators' table. Rows that are read by polling are put
        into its copy, which orders them by version.
    """

    evacuations: Evacuations
    table: WatchedTable
    follower: Follower
    clock: Clock
    _refreshed_s: float = float("-inf")
    _failure: FilbertlbError | None = None

    def __attrs_post_init__(self) -> None:
        """Listen to changes of the operators' table."""
        self.follower.mirror.add_listener(self._on_row)

    def current(self) -> Evacuations:
        """Return the requests as they are known now."""
        self.evacuations.complete_s = max(
            self._refreshed_s, self.follower.complete_s
        )
        return self.evacuations

    def refresh(self) -> None:
        """Read all requests; catches changes that the change feed misses.

        Raises
        ------
        TableUnavailableError
            If the table does not answer.
        """
        sent_s = self.clock.monotonic()
        snapshot = self.table.snapshot(EVACUATION_PREFIX)
        mirror = self.follower.mirror
        present = {row.key for row in snapshot.rows}
        for key in list(mirror.row_by_key):
            if key.startswith(EVACUATION_PREFIX) and key not in present:
                mirror.delete(key, snapshot.version)
        for row in snapshot.rows:
            mirror.put(row, self.clock.monotonic())
        self._refreshed_s = sent_s

    def poll(self, needed: Callable[[], bool]) -> None:
        """Refresh every ``POLL_S`` seconds until the task is killed.

        Parameters
        ----------
        needed : callable
            Whether this process places work. Others leave the table alone.
        """
        while True:
            if needed():
                self._try_refresh()
            sleep(POLL_S)

    def _try_refresh(self) -> None:
        try:
            self.refresh()
        except FilbertlbError as error:
            self._record_failure(error)
        except Exception as error:
            # Without this task a request that the feed misses is never read.
            logger.exception("reading of evacuation requests failed")
            self._record_failure(FilbertlbError(repr(error)))
        else:
            if self._failure is not None:
                logger.info("evacuation requests are read again")
            self._failure = None

    def _record_failure(self, error: FilbertlbError) -> None:
        if self._failure is None:
            evacuations = self.current()
            age_s = evacuations.age_s(self.clock.monotonic())
            logger.warning(
                "evacuation requests not polled, known are {}, {:.1f} s old: "
                "{}",
                *(evacuations.version_by_domain, age_s, error),
            )
        self._failure = error

    def _on_row(self, key: str, row: Row | None) -> None:
        if not key.startswith(EVACUATION_PREFIX):
            return
        domain = key.removeprefix(EVACUATION_PREFIX)
        if not domain:
            logger.error("row {!r} names no failure domain, ignored", key)
        elif row is None:
            self.evacuations.withdraw(domain, self.clock.monotonic())
        else:
            self.evacuations.request(domain, row.version)

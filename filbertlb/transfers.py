"""Answers that a process reads from others, by kind of call.

A thin link is shared by all of them, so a read that is slow or fails is
logged with what else was in flight.
"""

from __future__ import annotations

from collections import Counter
from contextlib import contextmanager
from time import monotonic
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.errors import FilbertlbError

if TYPE_CHECKING:
    from collections.abc import Iterator

LOGGED_BYTES = 64 * 1024
"""Size from which the read of an answer is logged."""
LOGGED_S = 0.4
"""Time beyond the expected wait from which a read is logged."""


@attrs.define
class Transfer:
    """One answer that is being read.

    Attributes
    ----------
    size_bytes : int
        Size of the answer once it has arrived.
    """

    size_bytes: int = 0


@attrs.define
class Transfers:
    """Counts the answers that a process reads.

    Attributes
    ----------
    in_flight_by_kind : Counter
        Calls without a whole answer yet.
    bytes_by_kind : Counter
        Bytes of the bodies that have arrived whole.
    failed_by_kind : Counter
        Calls that got no whole answer.
    """

    in_flight_by_kind: Counter[str] = attrs.Factory(Counter)
    bytes_by_kind: Counter[str] = attrs.Factory(Counter)
    failed_by_kind: Counter[str] = attrs.Factory(Counter)

    @contextmanager
    def counting(self, kind: str) -> Iterator[None]:
        """Count one call that is too small to be logged."""
        self.in_flight_by_kind[kind] += 1
        try:
            yield
        except FilbertlbError:
            self.failed_by_kind[kind] += 1
            raise
        finally:
            self.in_flight_by_kind[kind] -= 1

    @contextmanager
    def reading(
        self, kind: str, what: str, wait_s: float = 0.0
    ) -> Iterator[Transfer]:
        """Count and log one call; the block sets the size of its answer.

        Parameters
        ----------
        kind : str
            Kind of the call, such as ``feed`` or ``page``.
        what : str
            What is read, for the log.
        wait_s : float
            Time for which the answer may be held back without being slow.
        """
        transfer = Transfer()
        started_s = monotonic()
        with self.counting(kind):
            try:
                yield transfer
            except FilbertlbError:
                took_s = monotonic() - started_s
                self._log("failed", kind, what, transfer, took_s)
                raise
            self.bytes_by_kind[kind] += transfer.size_bytes
            took_s = monotonic() - started_s
            slow = took_s > wait_s + LOGGED_S
            if slow or transfer.size_bytes >= LOGGED_BYTES:
                self._log("done", kind, what, transfer, took_s)

    def _log(
        self,
        outcome: str,
        kind: str,
        what: str,
        transfer: Transfer,
        took_s: float,
    ) -> None:
        others = {
            name: count - (name == kind)
            for name, count in self.in_flight_by_kind.items()
            if count > (name == kind)
        }
        logger.info(
            "{} of {} {}: {} bytes in {:.2f} s, also in flight {}",
            *(kind, what, outcome, transfer.size_bytes, took_s, others),
        )

"""Times by which the table service had reached its versions.

The versions of all tables come from one counter, so the times of two
versions bound the time at which a row between them was written. Marks on the
service's own clock carry the times from one process to the next.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import attrs

from filbertlb.ranges import Count

RECORD_PERIOD_S = 0.5
"""Time between two recorded versions."""
MAX_RECORDED = 100
"""Number of recorded versions; older ones are forgotten."""
MARK_PERIOD_MS = 2000
MAX_MARKS = 10


@attrs.frozen
class VersionMark:
    """Version that the service had reached by a time of its own clock.

    Parameters
    ----------
    clock_ms : int
        Time of the service's steady clock in milliseconds.
    """

    version: Count
    clock_ms: Count


@attrs.define
class _ReachedVersion:
    version: int
    at_s: float
    # Time at which no later version was written; None if not known.
    newest_s: float | None = None
    # Time of the service's clock in the next answer; 0 until then.
    clock_ms: int = 0


@attrs.define
class VersionTimes:
    """Times by which versions had been reached, as far as answers prove it.

    A time may be long after the write of its version, but never before it.
    """

    _reached: deque[_ReachedVersion] = attrs.Factory(
        lambda: deque(maxlen=MAX_RECORDED)
    )
    _clock_ms: int = 0
    _clock_read_s: float = 0.0

    def observe(
        self,
        version: int,
        now_s: float,
        clock_ms: int = 0,
        sent_s: float | None = None,
    ) -> None:
        """Record an answer of the service.

        Parameters
        ----------
        now_s : float
            Monotonic time of this process.
        clock_ms : int
            Time of the service's clock in the answer; 0 if it has none.
        sent_s : float, optional
            Time of the call if it asked for more than one answer. The
            version is that of the first.
        """
        if clock_ms > 0:
            self._clock_ms = clock_ms
            self._clock_read_s = now_s
            if self._reached and not self._reached[-1].clock_ms:
                self._reached[-1].clock_ms = clock_ms
        if (
            not self._reached
            or now_s - self._reached[-1].at_s >= RECORD_PERIOD_S
        ):
            newest_s = now_s if sent_s is None else sent_s
            self._reached.append(_ReachedVersion(version, now_s, newest_s))

    def reached_s(self, version: int) -> float | None:
        """Return a monotonic time at which a version had been written.

        None if the version is newer than all recorded ones.
        """
        for reached in self._reached:
            if reached.version >= version:
                return reached.at_s
        return None

    def earliest_write_s(self, version: int) -> float | None:
        """Return a monotonic time before which a version was not written.

        It is that of the last answer that did not have it, and so too late
        by at most the time which that answer took to arrive. None if there
        was no such answer: the version may be of any age.
        """
        for reached in reversed(self._reached):
            if reached.version < version:
                return reached.newest_s
        return None

    def marks(self) -> tuple[VersionMark, ...]:
        """Return recent versions with their times on the service's clock."""
        marks: list[VersionMark] = []
        for reached in reversed(self._reached):
            mark = VersionMark(reached.version, reached.clock_ms)
            if not mark.clock_ms or (
                marks and marks[-1].clock_ms - mark.clock_ms < MARK_PERIOD_MS
            ):
                continue
            marks.append(mark)
            if len(marks) == MAX_MARKS:
                break
        return tuple(reversed(marks))

    def restore(self, marks: Iterable[VersionMark]) -> None:
        """Add the marks of an earlier process that are older than all here.

        Marks from after the present time of the service's clock are ignored.
        The time of a mark is that of a later answer, so it does not tell
        that the next version was not yet written.
        """
        if not self._clock_ms or not self._reached:
            return
        for mark in sorted(marks, key=lambda mark: -mark.version):
            first = self._reached[0]
            behind_s = (self._clock_ms - mark.clock_ms) / 1000
            at_s = self._clock_read_s - behind_s
            if (
                mark.version < first.version
                and at_s < first.at_s
                and behind_s >= 0
                and len(self._reached) < MAX_RECORDED
            ):
                self._reached.appendleft(
                    _ReachedVersion(mark.version, at_s, clock_ms=mark.clock_ms)
                )

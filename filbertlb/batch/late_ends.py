"""Ends of runs that have no order any more.

A run that was given up may have ended before. Its end is told until the
decider has read it, since the worker forgets it once it is stored.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.model import EndCause

if TYPE_CHECKING:
    from collections.abc import Container
    from collections.abc import Iterable

    from filbertlb.batch.contact_session import ContactSession
    from filbertlb.batch.local_runs import LocalRuns
    from filbertlb.batch.model import RunEnd
    from filbertlb.batch.model import RunKey

MAX_LATE_ENDS = 100
"""Late ends kept at most, so that the report fits its row."""


def record_told(
    runs: LocalRuns, sequence: int, ends: Iterable[RunEnd]
) -> None:
    """Record the ends that a stored report has told."""
    for end in ends:
        if runs.ended.get(end.key) == end:
            runs.told_by_run.setdefault(end.key, sequence)


def awaited_sequence(
    runs: LocalRuns, ordered: Container[RunKey], sequence: int
) -> int:
    """Return the number of the report that must be confirmed; 0 if none.

    Parameters
    ----------
    sequence : int
        Number of the report that is about to be sent.
    """
    return max(
        (runs.told_by_run.get(key, sequence) for key in _late(runs, ordered)),
        default=0,
    )


def drop_confirmed(
    runs: LocalRuns, ordered: Container[RunKey], session: ContactSession
) -> None:
    """Drop the late ends that the decider has read, and those beyond a bound.

    The oldest are dropped first, and any before an end ``done``: others
    change nothing.
    """
    kept = []
    for key in _late(runs, ordered):
        told = runs.told_by_run.get(key)
        if told is not None and session.confirms(told):
            runs.forget_end(key)
            continue
        kept.append(key)
        # Nothing resumes from it, and it takes the most room.
        runs.ended[key] = attrs.evolve(runs.ended[key], saved="")
    kept.sort(key=lambda key: runs.ended[key].cause is EndCause.DONE)
    for key in kept[: max(0, len(kept) - MAX_LATE_ENDS)]:
        runs.forget_end(key)


def _late(runs: LocalRuns, ordered: Container[RunKey]) -> list[RunKey]:
    return [key for key in runs.ended if key not in ordered]

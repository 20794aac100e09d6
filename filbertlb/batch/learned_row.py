"""Row with which a decider hands on the learned run times.

Without it, each take-over would begin with the estimates of callers alone.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from filbertlb.batch.learned_durations import LearnedDurations
from filbertlb.batch.learned_statistics import LearnedRunTimes
from filbertlb.table.base import Write
from filbertlb.table.rows import decode_row
from filbertlb.table.rows import encode_value
from filbertlb.table.rows import UnreadableRowError

if TYPE_CHECKING:
    from filbertlb.table.base import TableService

LEARNED_KEY = "durations/learned"
"""Key ``learned`` of table ``durations``, in the deciders' partition."""
LEARNED_PERIOD_S = 5.0
"""Time between two writes of the row, which may have tens of KiB."""


def learned_write(durations: LearnedDurations) -> Write:
    """Return the write of the row."""
    return Write(LEARNED_KEY, encode_value(durations.snapshot()))


def read_learned(table: TableService, now_ms: int) -> LearnedDurations:
    """Return the run times that earlier deciders have learned.

    Times in the future, of a clock that was wrong, count as now; later runs
    would seem to be old for ever.

    Raises
    ------
    TableUnavailableError
        If the table does not answer.
    """
    row = table.get(LEARNED_KEY)
    if row is None:
        logger.info("run times are learned from the start: no row")
        return LearnedDurations()
    try:
        learned = decode_row(row, LearnedRunTimes)
    except UnreadableRowError as error:
        logger.error("run times are learned from the start: {}", error)
        return LearnedDurations()
    for by_key in (learned.queues, learned.kinds, learned.errors):
        for statistics in by_key.values():
            statistics.at_ms = min(statistics.at_ms, now_ms)
    logger.info(
        "run times of {} queues and {} kinds and speeds of {} workers from "
        "row version {}",
        *(len(learned.queues), len(learned.kinds), len(learned.speeds)),
        row.version,
    )
    return LearnedDurations(learned)

"""Row values: round trips, compression and damage."""

from __future__ import annotations

from zlib import compress

import pytest

from filbertlb.batch.model import Progress
from filbertlb.batch.model import TaskRecord
from filbertlb.table.base import Row
from filbertlb.table.rows import COMPRESSION_THRESHOLD_BYTES
from filbertlb.table.rows import decode_row
from filbertlb.table.rows import encode_value
from filbertlb.table.rows import UnreadableRowError


@pytest.mark.parametrize("tasks", [0, 1, 300])
def test_value_survives_a_round_trip(tasks):
    records = {f"j.0.0.{number}": TaskRecord() for number in range(tasks)}
    progress = Progress("j", tasks=records)
    value = encode_value(progress)
    assert decode_row(Row("progress/j", value, 1), Progress) == progress
    assert len(value) < COMPRESSION_THRESHOLD_BYTES * (1 + tasks / 40)


@pytest.mark.parametrize(
    "value",
    [b"", b"[]", b"\x78damaged", compress(b"[]"), compress(b"{}" * 99)[:-9]],
)
def test_damaged_value_is_a_coded_error(value):
    with pytest.raises(UnreadableRowError, match="progress/j"):
        decode_row(Row("progress/j", value, 1), Progress)

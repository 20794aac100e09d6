"""Bounds of what a submission takes once it is decoded."""

from __future__ import annotations

from json import dumps

import pytest

from filbertlb.platform import wire
from filbertlb.platform.wire import decode_job
from filbertlb.platform.wire import UnreadableMessageError
from tests.test_odd_numbers import QUEUE

STEP = {"count": 1, "cpu": 1000, "memMb": 100, "gpu": 1, "after": [0]}


def decode(spec, steps):
    body = dumps({"spec": spec, "steps": steps}).encode()
    return decode_job(body, "j", QUEUE, "o", 0)


def test_job_as_large_as_a_row_is_decoded():
    """Guards against a bound that a job within the limits reaches."""
    job = decode("{," * 4000, [STEP] * 3000)
    assert len(job.steps) == 3000


@pytest.mark.parametrize(
    "steps",
    [
        [{"count": 1}] * (wire.MAX_JOB_OBJECTS + 1),
        [STEP | {"after": [0] * (wire.MAX_JOB_COMMAS + 1)}],
    ],
)
def test_job_that_takes_much_memory_is_refused_unread(steps, monkeypatch):
    """Guards against memory that is many times that of the body."""
    monkeypatch.delattr(wire, "_decode")
    with pytest.raises(UnreadableMessageError, match="split it"):
        decode("a", steps)

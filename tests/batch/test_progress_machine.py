"""The simulated system with jobs whose progress is divided over rows.

Each job of two tasks or more is divided, two tasks a part, and a transaction
holds so little that parts and heads are written apart from each other, with
deciders that die in between.
"""

from __future__ import annotations

from unittest.mock import patch

from hypothesis.stateful import initialize

from filbertlb.batch import progress_rows
from filbertlb.table.base import TransactionLimits
from tests.batch.machine_settings import machine_settings
from tests.batch.test_world_machine import World


class DividedWorld(World):
    """The system under random faults, with many small rows of progress."""

    limits = TransactionLimits(total_bytes=1)

    def __init__(self):
        super().__init__()
        self.patch = patch.object(progress_rows, "PART_TASKS", 2)

    @initialize()
    def begin(self):
        self.patch.start()
        super().begin()

    def write_rows(self):
        state = self.planner.state
        for job_id in state.changed_jobs - state.split_jobs:
            if len(state.progress[job_id].tasks) > 1:
                state.split(job_id)
        super().write_rows()

    def teardown(self):
        try:
            super().teardown()
        finally:
            self.patch.stop()


DividedWorld.TestCase.settings = machine_settings(max_examples=40)
TestDividedWorld = DividedWorld.TestCase

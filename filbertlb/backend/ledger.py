"""Counts executions, so that a doubled or lost one shows."""

from __future__ import annotations

from collections import Counter

import attrs


@attrs.define
class Ledger:
    """Starts and whole executions by task and by the work's own key.

    One ledger may be shared by many backends, so that work done twice
    on different endpoints is seen as doubled.
    """

    starts_by_task_id: Counter[str] = attrs.Factory(Counter)
    starts_by_key: Counter[str] = attrs.Factory(Counter)
    done_by_key: Counter[str] = attrs.Factory(Counter)

    def started(self, task_id: str, key: str = "") -> None:
        """Count one start of a task and of its key, if it has one."""
        self.starts_by_task_id[task_id] += 1
        if key:
            self.starts_by_key[key] += 1

    def done(self, key: str) -> None:
        """Count one whole execution of a key."""
        if key:
            self.done_by_key[key] += 1

    def doubled(self) -> tuple[str, ...]:
        """Return the task ids that were started more than once."""
        return tuple(
            task_id
            for task_id, count in sorted(self.starts_by_task_id.items())
            if count > 1
        )

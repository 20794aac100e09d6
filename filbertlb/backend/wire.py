"""JSON bodies of the worker's HTTP calls."""

from __future__ import annotations

import attrs

from filbertlb.backend.base import TaskReport
from filbertlb.core.model import Resources


@attrs.frozen
class StartCall:
    """Body of ``POST /tasks/start``."""

    task_id: str
    command: str
    needs: Resources
    checkpoint: str = ""


@attrs.frozen
class TaskCall:
    """Body of the calls that name only a task."""

    task_id: str


@attrs.frozen
class ThrottleCall:
    """Body of ``POST /tasks/throttle``."""

    task_id: str
    share: float


@attrs.frozen
class UsageCall:
    """Body of ``POST /usage``."""


@attrs.frozen
class TaskReply:
    """Answer of the calls that only confirm."""


@attrs.frozen
class StatusReply:
    """Answer to ``POST /tasks/status``."""

    report: TaskReport | None


@attrs.frozen
class CheckpointReply:
    """Answer to ``POST /tasks/checkpoint``."""

    checkpoint: str

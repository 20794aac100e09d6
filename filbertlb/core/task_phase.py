"""Sets of the phases that a gang member passes through."""

from __future__ import annotations

from filbertlb.messages import TaskPhase

STARTING_PHASES = frozenset({TaskPhase.HELD, TaskPhase.ARMED})
OCCUPYING_PHASES = STARTING_PHASES | {TaskPhase.RUNNING}
ENDED_PHASES = frozenset(
    {TaskPhase.SUCCEEDED, TaskPhase.FAILED, TaskPhase.STOPPED}
)

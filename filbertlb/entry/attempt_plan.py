"""Gang plans from job records, and run ends from gang outcomes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from filbertlb.core.gang_plan import GangPlan
from filbertlb.core.scheduling import RunEnd

if TYPE_CHECKING:
    from filbertlb.core.gang_plan import GangMember
    from filbertlb.core.gang_plan import GangOutcome
    from filbertlb.core.job_record import JobRecord


def make_plan(
    job: JobRecord,
    attempt_id: str,
    epoch: int,
    members: tuple[GangMember, ...],
) -> GangPlan:
    """Return the gang plan of a job's next attempt on these members."""
    spec = job.spec
    return GangPlan(
        attempt_id=attempt_id,
        job_id=spec.job_id,
        organisation_id=spec.organisation_id,
        scope=spec.scope,
        epoch=epoch,
        members=members,
        needs=spec.shape.each,
        command=spec.command,
        checkpoints=job.checkpoints,
    )


def run_end(plan: GangPlan, outcome: GangOutcome) -> RunEnd:
    """Return the end of an attempt for the scheduling policy."""
    failed_ids = tuple(
        plan.members[index].endpoint_id for index in outcome.failed_members
    )
    return RunEnd(
        plan.job_id,
        outcome.end,
        failed_ids,
        checkpointed=bool(outcome.checkpoints),
    )

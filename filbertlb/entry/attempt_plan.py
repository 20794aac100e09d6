"""Attempts as plans for gangs, and their ends for the policy."""

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
    """Return the plan of a job's next attempt on these agents."""
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
    """Return what the scheduling policy is told of an attempt's end."""
    failed = tuple(
        plan.members[index].endpoint_id for index in outcome.failed_members
    )
    return RunEnd(
        plan.job_id,
        outcome.end,
        failed,
        checkpointed=bool(outcome.checkpoints),
    )

"""Checks of jobs and organisations before they are accepted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from filbertlb.core.amounts import copies
from filbertlb.core.amounts import covers
from filbertlb.core.amounts import needed
from filbertlb.core.amounts import times
from filbertlb.core.model import Adjacency
from filbertlb.core.queueing import guaranteed_accelerators
from filbertlb.core.scheduling import GuaranteeRefusedError
from filbertlb.core.scheduling import ImpossibleJobError
from filbertlb.core.search import candidate_groups
from filbertlb.core.search import on_one_worker

if TYPE_CHECKING:
    from collections.abc import Container

    from filbertlb.core.amounts import Amount
    from filbertlb.core.cluster import Cluster
    from filbertlb.core.model import Guarantee
    from filbertlb.core.model import JobSpec
    from filbertlb.core.model import Organisation
    from filbertlb.core.model import Shape

_LOOSENESS = {Adjacency.WORKER: 0, Adjacency.RACK: 1, Adjacency.DOMAIN: 2}


class GuaranteeMismatchError(ImpossibleJobError):
    """The job does not fit into the guarantee that it claims."""

    code = "guarantee_mismatch"


class OverQuotaError(ImpossibleJobError):
    """The job alone is larger than its organisation's quota."""

    code = "larger_than_quota"


class QuotaTooSmallError(GuaranteeRefusedError):
    """The quota is smaller than the organisation's own guarantees."""

    code = "quota_below_guarantees"


def check_job(
    cluster: Cluster, organisation: Organisation | None, job: JobSpec
) -> None:
    """Refuse a job that can never run on what is configured.

    Raises
    ------
    ImpossibleJobError
        If no known worker, rack or domain can hold it, online or not.
    """
    if job.guarantee_id is not None:
        _check_claim(organisation, job, job.guarantee_id)
    elif organisation is not None:
        _check_quota(organisation, job)
    if not fits_empty(cluster, job.shape, needed(job.shape.each)):
        raise ImpossibleJobError(
            f"job {job.job_id!r} can never run: no known workers hold"
            f" {job.shape!r}; ask for fewer members, less for each, or a"
            " wider adjacency"
        )


def check_organisation(organisation: Organisation) -> None:
    """Refuse a quota that the guarantees alone exceed.

    Raises
    ------
    QuotaTooSmallError
        If all guarantees claimed at once would exceed the quota.
    """
    quota = organisation.quota_accelerators
    guaranteed = guaranteed_accelerators(organisation)
    if quota is not None and quota < guaranteed:
        raise QuotaTooSmallError(
            f"organisation {organisation.organisation_id!r} has a quota of"
            f" {quota!r} accelerators but guarantees of {guaranteed!r};"
            " raise the quota or shrink the guarantees"
        )


def fits_empty(
    cluster: Cluster,
    shape: Shape,
    need: Amount,
    avoid: Container[str] = (),
) -> bool:
    """Tell whether a shape fits on known workers if all were empty."""
    if on_one_worker(shape):
        total = times(need, shape.members)
        domain = shape.failure_domain
        return any(
            covers(state.capacity, total)
            and domain in (None, state.worker.failure_domain)
            and state.worker_id not in avoid
            for state in cluster.by_id.values()
        )
    return any(
        sum(
            copies(state.capacity, need)
            for state in group.workers
            if state.worker_id not in avoid
        )
        >= shape.members
        for group in candidate_groups(cluster, shape, None)
    )


def fits_guarantee(shape: Shape, guarantee: Guarantee) -> bool:
    """Tell whether a job's shape fits into a guaranteed shape."""
    promised = guarantee.shape
    return (
        shape.members <= promised.members
        and promised.each.fits(shape.each)
        and _LOOSENESS[shape.adjacency] >= _LOOSENESS[promised.adjacency]
        and shape.failure_domain in (None, promised.failure_domain)
    )


def _check_claim(
    organisation: Organisation | None, job: JobSpec, guarantee_id: str
) -> None:
    guarantees = organisation.guarantees if organisation else ()
    for guarantee in guarantees:
        if guarantee.guarantee_id == guarantee_id:
            if fits_guarantee(job.shape, guarantee):
                return
            raise GuaranteeMismatchError(
                f"job {job.job_id!r} asks for {job.shape!r}, which does not"
                f" fit into guarantee {guarantee_id!r} of"
                f" {guarantee.shape!r}; shrink it or name no guarantee"
            )
    raise GuaranteeMismatchError(
        f"job {job.job_id!r} claims guarantee {guarantee_id!r}, which"
        f" organisation {job.organisation_id!r} does not have"
    )


def _check_quota(organisation: Organisation, job: JobSpec) -> None:
    quota = organisation.quota_accelerators
    if quota is None:
        return
    left = quota - guaranteed_accelerators(organisation)
    wanted = job.shape.total.accelerators
    if wanted > left:
        raise OverQuotaError(
            f"job {job.job_id!r} asks for {wanted!r} accelerators but the"
            f" quota of {job.organisation_id!r} leaves {left!r} beyond its"
            " guarantees; claim a guarantee or raise the quota"
        )

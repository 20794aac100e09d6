"""Admission checks of jobs and organisations."""

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

# From the narrowest adjacency to the widest.
_ADJACENCY_RANK = {Adjacency.WORKER: 0, Adjacency.RACK: 1, Adjacency.DOMAIN: 2}


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
    """Refuse a job that can never run.

    Raises
    ------
    ImpossibleJobError
        If the job exceeds its quota or the guarantee that it claims, or
        if no known worker, rack or failure domain can hold it, whether
        online or not.
    """
    if job.guarantee_id is not None:
        _check_claim(organisation, job, job.guarantee_id)
    elif organisation is not None:
        _check_quota(organisation, job)
    if not fits_empty_cluster(cluster, job.shape, needed(job.shape.each)):
        raise ImpossibleJobError(
            f"job {job.job_id!r} can never run: no known workers can hold"
            f" {job.shape!r}; request fewer members, less for each member,"
            " or a wider adjacency"
        )


def check_organisation(organisation: Organisation) -> None:
    """Refuse an organisation whose guarantees exceed its quota.

    Raises
    ------
    QuotaTooSmallError
        If all guarantees together exceed the quota.
    """
    quota = organisation.quota_accelerators
    guaranteed = guaranteed_accelerators(organisation)
    if quota is not None and quota < guaranteed:
        raise QuotaTooSmallError(
            f"organisation {organisation.organisation_id!r} has a quota of"
            f" {quota!r} accelerators but guarantees of {guaranteed!r};"
            " raise the quota or reduce the guarantees"
        )


def fits_empty_cluster(
    cluster: Cluster,
    shape: Shape,
    need: Amount,
    avoid: Container[str] = (),
) -> bool:
    """Return whether a shape fits on the known workers if all are idle."""
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
    """Return whether the shape of a job fits into a guaranteed shape."""
    guaranteed_shape = guarantee.shape
    return (
        shape.members <= guaranteed_shape.members
        and guaranteed_shape.each.fits(shape.each)
        and _ADJACENCY_RANK[shape.adjacency]
        >= _ADJACENCY_RANK[guaranteed_shape.adjacency]
        and shape.failure_domain in (None, guaranteed_shape.failure_domain)
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
                f"job {job.job_id!r} requests {job.shape!r}, which does not"
                f" fit into guarantee {guarantee_id!r} of"
                f" {guarantee.shape!r}; reduce it or omit the guarantee"
            )
    raise GuaranteeMismatchError(
        f"job {job.job_id!r} claims guarantee {guarantee_id!r}, which"
        f" organisation {job.organisation_id!r} does not have"
    )


def _check_quota(organisation: Organisation, job: JobSpec) -> None:
    quota = organisation.quota_accelerators
    if quota is None:
        return
    available = quota - guaranteed_accelerators(organisation)
    requested = job.shape.total.accelerators
    if requested > available:
        raise OverQuotaError(
            f"job {job.job_id!r} requests {requested!r} accelerators but the"
            f" quota of {job.organisation_id!r} leaves {available!r} beyond"
            " its guarantees; claim a guarantee or raise the quota"
        )

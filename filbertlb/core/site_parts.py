"""Parts of a site's configuration."""

from __future__ import annotations

import attrs
from attrs.validators import ge
from attrs.validators import gt
from attrs.validators import matches_re
from attrs.validators import optional

from filbertlb.core.lease import LEASE_MARGIN_S
from filbertlb.core.lease import LEASE_TTL_S
from filbertlb.core.model import Resources
from filbertlb.core.model import Shape
from filbertlb.core.site_names import NAME_PATTERN
from filbertlb.ranges import Int64
from filbertlb.settings.decode import InvalidValueError


@attrs.frozen
class RackConfig:
    """Expected workers of a rack.

    Parameters
    ----------
    workers : int
        Number of workers.
    each : Resources
        Capacity of each worker.
    """

    workers: Int64 = attrs.field(validator=ge(1))
    each: Resources


@attrs.frozen
class FailureDomainConfig:
    """One failure domain.

    Parameters
    ----------
    region : str
        Region that the failure domain belongs to.
    scope : str, optional
        Scheduling scope that the failure domain belongs to; by default
        the region.
    racks : dict
        Expected racks by name.
    """

    region: str = attrs.field(validator=matches_re(NAME_PATTERN))
    scope: str | None = attrs.field(
        default=None, validator=optional(matches_re(NAME_PATTERN))
    )
    racks: dict[str, RackConfig] = attrs.Factory(dict)

    @property
    def scope_name(self) -> str:
        """Return the scheduling scope of the failure domain."""
        return self.region if self.scope is None else self.scope


@attrs.frozen
class GuaranteeConfig:
    """Shapes that an organisation can claim at any time.

    Parameters
    ----------
    shape : Shape
        Guaranteed shape.
    count : int
        Number of such shapes that may be claimed at once.
    scope : str, optional
        Scope that provides the guarantee; required at a site with
        several scopes unless the shape names its failure domain.
    """

    shape: Shape
    count: Int64 = attrs.field(default=1, validator=ge(1))
    scope: str | None = None


@attrs.frozen
class OrganisationConfig:
    """One organisation.

    Parameters
    ----------
    guarantees : dict
        Guarantees by name.
    quota_accelerators : int, optional
        Maximum number of accelerators in use at once in each scope;
        None for no limit.
    weight : float
        Share of the capacity beyond all guarantees, relative to other
        organisations.
    """

    guarantees: dict[str, GuaranteeConfig] = attrs.Factory(dict)
    quota_accelerators: Int64 | None = attrs.field(
        default=None, validator=optional(ge(0))
    )
    weight: float = attrs.field(default=1.0, validator=gt(0))

    @property
    def guaranteed_accelerators(self) -> int:
        """Return the total number of guaranteed accelerators."""
        return sum(
            guarantee.shape.total.accelerators * guarantee.count
            for guarantee in self.guarantees.values()
        )


@attrs.frozen
class LeaseConfig:
    """Timing of the scheduling leases.

    Parameters
    ----------
    ttl_s : float
        Lifetime in seconds.
    margin_s : float
        Safety margin in seconds: the holder stops acting on the lease
        that long before the end of the lifetime.
    """

    ttl_s: float = attrs.field(default=LEASE_TTL_S, validator=gt(0))
    margin_s: float = attrs.field(default=LEASE_MARGIN_S, validator=gt(0))

    def __attrs_post_init__(self) -> None:
        if self.margin_s >= self.ttl_s:
            raise InvalidValueError(
                "lease.margin_s",
                f"{self.margin_s!r} is not less than ttl_s {self.ttl_s!r}",
            )


@attrs.frozen
class SiteLimits:
    """Limits of a site.

    Parameters
    ----------
    gang_members : int
        Maximum number of members of one job.
    queued_jobs_per_organisation : int
        Maximum number of queued jobs of one organisation.
    retry_share : float
        Maximum ratio of retries to first attempts of an organisation.
    table_writes_per_s : float
        Maximum rate of table writes of all processes together, in writes
        per second.
    control_bytes_per_s : float
        Maximum rate of control traffic of one daemon, in bytes per
        second.
    """

    gang_members: Int64 = attrs.field(default=64, validator=ge(1))
    queued_jobs_per_organisation: Int64 = attrs.field(
        default=1000, validator=ge(1)
    )
    retry_share: float = attrs.field(default=0.1, validator=ge(0))
    table_writes_per_s: float = attrs.field(default=200.0, validator=gt(0))
    control_bytes_per_s: float = attrs.field(default=9000.0, validator=gt(0))

"""Configuration of a site, shared by all its processes.

The configuration consists of one base file and an overlay for each site.
``load_settings`` merges objects key by key; any other value of the
overlay, including lists and null, replaces the value of the base file.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from attrs.validators import matches_re

from filbertlb.core.membership_times import MembershipTimes
from filbertlb.core.model import Guarantee
from filbertlb.core.model import Organisation
from filbertlb.core.model import Worker
from filbertlb.core.site_check import find_inconsistencies
from filbertlb.core.site_names import NAME_PATTERN
from filbertlb.core.site_parts import FailureDomainConfig
from filbertlb.core.site_parts import GuaranteeConfig
from filbertlb.core.site_parts import LeaseConfig
from filbertlb.core.site_parts import OrganisationConfig
from filbertlb.core.site_parts import SiteLimits
from filbertlb.scheduling.config import SchedulerConfig
from filbertlb.settings.decode import InvalidValueError
from filbertlb.settings.load import load_settings

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path


@attrs.frozen
class SiteConfig:
    """Configuration that operators can change while a site is running.

    Parameters
    ----------
    site : str
        Name of the site.
    failure_domains : dict
        Failure domains by name.
    organisations : dict
        Organisations by name.
    scheduler : SchedulerConfig
        Profile, thresholds and weights of placement.
    lease : LeaseConfig
        Timing of the scheduling leases.
    membership : MembershipTimes
        Timing of announcements and of failure detection.
    limits : SiteLimits
        Limits of the site.

    Raises
    ------
    InvalidValueError
        If values are inconsistent with each other.
    """

    site: str = attrs.field(validator=matches_re(NAME_PATTERN))
    failure_domains: dict[str, FailureDomainConfig]
    organisations: dict[str, OrganisationConfig] = attrs.Factory(dict)
    scheduler: SchedulerConfig = SchedulerConfig()
    lease: LeaseConfig = LeaseConfig()
    membership: MembershipTimes = MembershipTimes()
    limits: SiteLimits = SiteLimits()

    def __attrs_post_init__(self) -> None:
        for path, problem in find_inconsistencies(self):
            raise InvalidValueError(path, problem)

    @property
    def scopes(self) -> tuple[str, ...]:
        """Return all scopes, sorted."""
        domains = self.failure_domains.values()
        return tuple(sorted({domain.scope_name for domain in domains}))

    def scope_of(self, failure_domain: str) -> str | None:
        """Return the scope of a failure domain, or None if unknown."""
        domain = self.failure_domains.get(failure_domain)
        return None if domain is None else domain.scope_name

    def scope_of_guarantee(self, guarantee: GuaranteeConfig) -> str | None:
        """Return the scope that provides a guarantee, or None if unknown."""
        domain = guarantee.shape.failure_domain
        if domain is not None:
            return self.scope_of(domain)
        if guarantee.scope is None and len(self.scopes) == 1:
            return self.scopes[0]
        return guarantee.scope

    def model_organisations(
        self, scope: str | None = None
    ) -> tuple[Organisation, ...]:
        """Return the organisations in the scheduler's representation.

        Parameters
        ----------
        scope : str, optional
            If given, include only guarantees that this scope provides.
        """
        return tuple(
            Organisation(
                organisation_id=name,
                guarantees=self._guarantees(config, scope),
                quota_accelerators=config.quota_accelerators,
                weight=config.weight,
            )
            for name, config in sorted(self.organisations.items())
        )

    def _guarantees(
        self, config: OrganisationConfig, scope: str | None
    ) -> tuple[Guarantee, ...]:
        return tuple(
            Guarantee(key, item.shape, item.count)
            for key, item in sorted(config.guarantees.items())
            if scope is None or self.scope_of_guarantee(item) == scope
        )

    def expected_workers(self) -> tuple[Worker, ...]:
        """Return placeholders for all workers of the expected racks.

        Their identifiers have the form ``RACK/INDEX``, since the real
        identifiers are unknown until the workers announce themselves.
        """
        return tuple(
            Worker(f"{rack}/{index}", rack, name, item.each, domain.region)
            for name, domain in sorted(self.failure_domains.items())
            for rack, item in sorted(domain.racks.items())
            for index in range(item.workers)
        )


def load_site(paths: Sequence[Path]) -> SiteConfig:
    """Load the configuration from a base file and its overlays.

    Raises
    ------
    SettingsError
        If a file can't be read or is invalid; the message names the
        file, the key, the invalid value and how to correct it.
    """
    return load_settings(paths, SiteConfig)

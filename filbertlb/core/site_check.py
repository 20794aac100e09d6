"""Consistency checks across values of a site's configuration."""

from __future__ import annotations

from re import fullmatch
from typing import Protocol
from typing import TYPE_CHECKING

from filbertlb.core.site_names import NAME_PATTERN

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping
    from collections.abc import Sequence

    from filbertlb.core.model import Worker
    from filbertlb.core.site_parts import FailureDomainConfig
    from filbertlb.core.site_parts import GuaranteeConfig
    from filbertlb.core.site_parts import OrganisationConfig
    from filbertlb.core.site_parts import SiteLimits


class CheckedSite(Protocol):
    """What is checked of a site's configuration."""

    @property
    def failure_domains(self) -> Mapping[str, FailureDomainConfig]:
        """Failure domains by name."""
        ...

    @property
    def organisations(self) -> Mapping[str, OrganisationConfig]:
        """Organisations by name."""
        ...

    @property
    def limits(self) -> SiteLimits:
        """Limits of the site."""
        ...

    @property
    def scopes(self) -> Sequence[str]:
        """All scopes."""
        ...

    def scope_of_guarantee(self, guarantee: GuaranteeConfig) -> str | None:
        """Return the scope that provides a guarantee, or None if unknown."""
        ...

    def expected_workers(self) -> Sequence[Worker]:
        """Return placeholders for all workers of the expected racks."""
        ...


def find_inconsistencies(config: CheckedSite) -> Iterator[tuple[str, str]]:
    """Yield the path and a description of each inconsistent value."""
    if not config.failure_domains:
        yield "failure_domains", "is empty; add a failure domain"
    yield from _invalid_names(config)
    yield from _duplicate_racks(config)
    for name, organisation in config.organisations.items():
        path = f"organisations.{name}"
        yield from _invalid_guarantees(config, organisation, path)
        quota = organisation.quota_accelerators
        guaranteed = organisation.guaranteed_accelerators
        if quota is not None and quota < guaranteed:
            yield (
                f"{path}.quota_accelerators",
                f"{quota!r} is less than the {guaranteed} guaranteed "
                "accelerators; raise the quota or reduce the guarantees",
            )
    yield from _overcommitted_guarantees(config)


def _invalid_names(config: CheckedSite) -> Iterator[tuple[str, str]]:
    names_by_path: dict[str, Iterable[str]] = {
        "failure_domains": config.failure_domains,
        "organisations": config.organisations,
    }
    for path, keys in names_by_path.items():
        for key in keys:
            if fullmatch(NAME_PATTERN, key) is None:
                yield (
                    f"{path}.{key}",
                    f"{key!r} is not a valid name; use lower-case letters, "
                    "digits and '-'",
                )


def _duplicate_racks(config: CheckedSite) -> Iterator[tuple[str, str]]:
    domain_by_rack: dict[str, str] = {}
    for name, domain in config.failure_domains.items():
        for rack in domain.racks:
            other = domain_by_rack.setdefault(rack, name)
            if other != name:
                yield (
                    f"failure_domains.{name}.racks.{rack}",
                    f"rack {rack!r} is also in {other!r}; rename one of them",
                )


def _invalid_guarantees(
    config: CheckedSite, organisation: OrganisationConfig, path: str
) -> Iterator[tuple[str, str]]:
    for name, guarantee in organisation.guarantees.items():
        shape = guarantee.shape
        shape_path = f"{path}.guarantees.{name}.shape"
        domain = shape.failure_domain
        if domain is not None and domain not in config.failure_domains:
            yield (
                f"{shape_path}.failure_domain",
                f"{domain!r} is not a failure domain; use one of "
                f"{sorted(config.failure_domains)!r}",
            )
        scope = config.scope_of_guarantee(guarantee)
        if domain is None and scope not in config.scopes:
            yield (
                f"{path}.guarantees.{name}.scope",
                f"{scope!r} is not a scope; use one of "
                f"{list(config.scopes)!r}",
            )
        if shape.members > config.limits.gang_members:
            yield (
                f"{shape_path}.members",
                f"{shape.members!r} is more than limits.gang_members "
                f"{config.limits.gang_members!r}",
            )


def _overcommitted_guarantees(
    config: CheckedSite,
) -> Iterator[tuple[str, str]]:
    expected = sum(
        worker.capacity.accelerators for worker in config.expected_workers()
    )
    guaranteed = sum(
        organisation.guaranteed_accelerators
        for organisation in config.organisations.values()
    )
    if expected and guaranteed > expected:
        yield (
            "organisations",
            f"{guaranteed} accelerators are guaranteed but the racks have "
            f"{expected}; reduce the guarantees or add racks",
        )

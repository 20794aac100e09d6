"""Values of a site's configuration that contradict each other."""

from __future__ import annotations

from re import fullmatch
from typing import TYPE_CHECKING

from filbertlb.core.site_names import NAME_PATTERN

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from filbertlb.core.site import OrganisationConfig
    from filbertlb.core.site import SiteConfig


def find_inconsistencies(config: SiteConfig) -> Iterator[tuple[str, str]]:
    """Yield the paths of values that contradict others."""
    if not config.failure_domains:
        yield "failure_domains", "is empty; add a failure domain"
    yield from _bad_names(config)
    yield from _racks_in_two_domains(config)
    for name, organisation in config.organisations.items():
        path = f"organisations.{name}"
        yield from _bad_guarantees(config, organisation, path)
        quota = organisation.quota_accelerators
        guaranteed = organisation.guaranteed_accelerators
        if quota is not None and quota < guaranteed:
            yield (
                f"{path}.quota_accelerators",
                f"{quota!r} is less than the {guaranteed} accelerators that "
                "are guaranteed; raise it or lower the guarantees",
            )
    yield from _too_much_guaranteed(config)


def _bad_names(config: SiteConfig) -> Iterator[tuple[str, str]]:
    named: dict[str, Iterable[str]] = {
        "failure_domains": config.failure_domains,
        "organisations": config.organisations,
    }
    for path, keys in named.items():
        for key in keys:
            if fullmatch(NAME_PATTERN, key) is None:
                yield (
                    f"{path}.{key}",
                    f"{key!r} is no name; use small letters, digits and '-'",
                )


def _racks_in_two_domains(config: SiteConfig) -> Iterator[tuple[str, str]]:
    domain_by_rack: dict[str, str] = {}
    for name, domain in config.failure_domains.items():
        for rack in domain.racks:
            other = domain_by_rack.setdefault(rack, name)
            if other != name:
                yield (
                    f"failure_domains.{name}.racks.{rack}",
                    f"rack {rack!r} is also in {other!r}; rename one",
                )


def _bad_guarantees(
    config: SiteConfig, organisation: OrganisationConfig, path: str
) -> Iterator[tuple[str, str]]:
    for name, guarantee in organisation.guarantees.items():
        shape = guarantee.shape
        shape_path = f"{path}.guarantees.{name}.shape"
        domain = shape.failure_domain
        if domain is not None and domain not in config.failure_domains:
            yield (
                f"{shape_path}.failure_domain",
                f"{domain!r} is no failure domain; use one of "
                f"{sorted(config.failure_domains)!r}",
            )
        scope = config.scope_of_guarantee(guarantee)
        if domain is None and scope not in config.scopes:
            yield (
                f"{path}.guarantees.{name}.scope",
                f"{scope!r} is no scope; use one of {list(config.scopes)!r}",
            )
        if shape.members > config.limits.gang_members:
            yield (
                f"{shape_path}.members",
                f"{shape.members!r} is more than limits.gang_members "
                f"{config.limits.gang_members!r}",
            )


def _too_much_guaranteed(config: SiteConfig) -> Iterator[tuple[str, str]]:
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
            f"{guaranteed} accelerators are guaranteed but the racks hold "
            f"{expected}; lower guarantees or add racks",
        )

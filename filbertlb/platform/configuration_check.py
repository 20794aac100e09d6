"""Checks a configuration as operators write it to the row ``op/config``.

``filbertlb config check-row`` and the reader of the row make the same checks.
They do no I/O and never show an API key.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

import attrs
import msgspec

from filbertlb.decoding import decode_json
from filbertlb.decoding import MalformedDataError
from filbertlb.platform.wire import Configuration
from filbertlb.platform.wire import Route
from filbertlb.platform.wire import Tenant

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Sequence

_T = TypeVar("_T")
NULL = msgspec.Raw(b"null")

MAX_SHOWN_CHARACTERS = 80
"""Characters of a value that a message shows."""


class Severity(StrEnum):
    """Whether a finding must be corrected."""

    ERROR = "error"
    WARNING = "warning"


@attrs.frozen
class Finding:
    """Fault of a configuration.

    Parameters
    ----------
    path : str
        Place in the row, such as ``routes[2].service``.
    message : str
        The bad value and how to correct it.
    """

    code: str
    severity: Severity
    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.severity.value} {self.code} {self.path}: {self.message}"


class _RouteTimeout(msgspec.Struct, rename="camel"):
    # Not read by the product, so an odd value must not cost the route.
    timeout_ms: Any = None


class _Services(msgspec.Struct):
    services: msgspec.Raw = NULL


def check_configuration(
    body: bytes,
    *,
    accelerators: int | None = None,
    version_in_force: int | None = None,
) -> list[Finding]:
    """Return the findings about the value of a configuration row.

    Parameters
    ----------
    accelerators : int, optional
        Accelerators of the site; without it guarantees are not added up.
    version_in_force : int, optional
        Version that the configuration is to replace.

    Raises
    ------
    MalformedDataError
        If the row as a whole cannot be decoded.
    """
    row = decode_json(body, Configuration)
    findings = _check_version(row.version, version_in_force)
    routes = _decode_readable(row.routes, Route, "routes", findings)
    tenants = _decode_readable(row.tenants, Tenant, "tenants", findings)
    services = _decode_services(body, findings)
    findings += _check_duplicates("routes", _names(routes))
    findings += _check_duplicates("services", (services or {}).items())
    findings += _check_duplicates("tenants", _names(tenants))
    findings += _check_shadowed(routes)
    if services is not None:
        findings += _check_services(routes, services)
    for number, route in routes.items():
        findings += _check_limits_of_route(f"routes[{number}]", route)
        findings += _check_timeout(f"routes[{number}]", row.routes[number])
    findings += _check_api_keys(tenants)
    if accelerators is not None:
        findings += _check_guarantees(tenants.values(), accelerators)
    return findings


def read_version(body: bytes) -> int:
    """Return the version of the value of a configuration row.

    Raises
    ------
    MalformedDataError
        If the row as a whole cannot be decoded.
    """
    return decode_json(body, Configuration).version


def _error(code: str, path: str, message: str) -> Finding:
    return Finding(code, Severity.ERROR, path, message)


def _warning(code: str, path: str, message: str) -> Finding:
    return Finding(code, Severity.WARNING, path, message)


def shorten(text: str) -> str:
    """Return a text in quotes; only the start of a long one."""
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return repr(text)
    return f"{text[:MAX_SHOWN_CHARACTERS]!r}..."


def _check_version(version: int, in_force: int | None) -> list[Finding]:
    if in_force is None or version > in_force:
        return []
    message = (
        f"version {version} is not newer than {in_force} in force and would "
        f"be ignored; use {in_force + 1} or more"
    )
    return [_error("version_not_newer", "version", message)]


def _decode_readable(
    entries: Sequence[msgspec.Raw],
    cls: type[_T],
    section: str,
    findings: list[Finding],
) -> dict[int, _T]:
    """Return the readable entries by position; report the others.

    The errors of the decoder name types and fields but no values, so they
    cannot show an API key.
    """
    decoded = {}
    for number, entry in enumerate(entries):
        try:
            decoded[number] = decode_json(entry, cls)
        except MalformedDataError as error:
            message = f"{error.message}; the entry is skipped until corrected"
            path = f"{section}[{number}]"
            findings.append(_error("unreadable_entry", path, message))
    return decoded


def _decode_services(
    body: bytes, findings: list[Finding]
) -> dict[int, str] | None:
    """Return the names of services by position; ``None`` without a list.

    The list is decoded apart from the row, since the product does not read
    it and an odd one must not cost the other checks.
    """
    section = decode_json(body, _Services).services
    if section == NULL:
        return None
    try:
        entries = decode_json(section, list[msgspec.Raw])
    except MalformedDataError as error:
        message = f"{error.message}; give a list of objects with a name"
        findings.append(_error("unreadable_section", "services", message))
        return None
    names = {}
    for number, entry in enumerate(entries):
        name = name_of(decode_object(entry))
        if name is None:
            path = f"services[{number}]"
            message = "not an object with a name; give a text as name"
            findings.append(_error("unreadable_entry", path, message))
        else:
            names[number] = name
    return names


def _names(
    entries: dict[int, Route] | dict[int, Tenant],
) -> Iterator[tuple[int, str]]:
    for number, entry in entries.items():
        yield number, entry.name


def _check_duplicates(
    section: str, names: Iterable[tuple[int, str]]
) -> Iterator[Finding]:
    first_by_name: dict[str, int] = {}
    for number, name in names:
        first = first_by_name.setdefault(name, number)
        if first != number:
            yield _error(
                "duplicate_name",
                f"{section}[{number}].name",
                f"{shorten(name)} is also the name of {section}[{first}]; "
                "rename or remove one",
            )


def _check_shadowed(routes: dict[int, Route]) -> Iterator[Finding]:
    """Report routes behind another with the same host and prefix.

    Of several routes with the longest matching prefix the first is used.
    """
    first_by_address: dict[tuple[str, str], int] = {}
    for number, route in routes.items():
        address = (route.host, route.prefix)
        first = first_by_address.setdefault(address, number)
        if first != number:
            yield _error(
                "shadowed_route",
                f"routes[{number}]",
                f"never matches: routes[{first}] comes before it with host "
                f"{shorten(route.host)} and prefix {shorten(route.prefix)}; "
                "change or remove one",
            )


def _check_services(
    routes: dict[int, Route], services: dict[int, str]
) -> Iterator[Finding]:
    known = set(services.values())
    for number, route in routes.items():
        if route.service not in known:
            yield _error(
                "unknown_service",
                f"routes[{number}].service",
                f"{shorten(route.service)} is not in services; add it there "
                "or name another",
            )
    used = {route.service for route in routes.values()}
    for number, name in services.items():
        if name not in used:
            yield _warning(
                "service_without_route",
                f"services[{number}]",
                f"no route leads to {shorten(name)}; add a route or remove "
                "the service",
            )


def _check_limits_of_route(path: str, route: Route) -> Iterator[Finding]:
    if route.attempts < 1:
        yield _error(
            "too_few_attempts",
            f"{path}.attempts",
            f"{route.attempts} attempts allow no run; give 1 or more",
        )
    if route.slack_factor < 1:
        yield _error(
            "slack_factor_below_1",
            f"{path}.slackFactor",
            f"{route.slack_factor} is less time than the work itself takes; "
            "give 1 or more",
        )
    if route.target_latency_ms < 0:
        yield _error(
            "unmeetable_deadline",
            f"{path}.targetLatencyMs",
            f"{route.target_latency_ms} ms cannot be met; give 0 or more",
        )


def _check_timeout(path: str, entry: msgspec.Raw) -> Iterator[Finding]:
    path = f"{path}.timeoutMs"
    try:
        timeout_ms = decode_json(entry, _RouteTimeout).timeout_ms
    except MalformedDataError as error:
        message = f"{error.message}; give milliseconds above 0"
        yield _error("unreadable_value", path, message)
        return
    if timeout_ms is None:
        return
    if isinstance(timeout_ms, bool) or not isinstance(timeout_ms, int | float):
        kind = type(timeout_ms).__name__
        message = f"a {kind} is not a number; give milliseconds above 0"
        yield _error("unreadable_value", path, message)
    elif timeout_ms <= 0:
        shown = str(timeout_ms)[:MAX_SHOWN_CHARACTERS]
        message = f"{shown} ms cannot be met; give more than 0"
        yield _error("unmeetable_deadline", path, message)


def _check_api_keys(tenants: dict[int, Tenant]) -> Iterator[Finding]:
    owner_by_key: dict[str, tuple[int, str]] = {}
    for number, tenant in tenants.items():
        for position, key in enumerate(tenant.api_keys):
            first, owner = owner_by_key.setdefault(key, (number, tenant.name))
            if owner != tenant.name:
                yield _error(
                    "shared_api_key",
                    f"tenants[{number}].apiKeys[{position}]",
                    f"{shorten(tenant.name)} has a key of {shorten(owner)}, "
                    f"tenants[{first}]; give each a key of its own",
                )


def _check_guarantees(
    tenants: Iterable[Tenant], accelerators: int
) -> list[Finding]:
    # The last of several tenants with one name counts, as in the product.
    guaranteed = {
        tenant.name: (tenant.guaranteed or {}).get("gpu", 0)
        for tenant in tenants
    }
    total = sum(guaranteed.values())
    if total <= accelerators:
        return []
    message = (
        f"guarantees of {total} accelerators exceed the {accelerators} of "
        f"the site; reduce them by {total - accelerators}"
    )
    return [_error("guarantees_exceed_capacity", "tenants", message)]


def decode_object(entry: msgspec.Raw) -> dict[str, Any]:
    """Return an object; an empty one for anything else."""
    try:
        found = decode_json(entry)
    except MalformedDataError:
        return {}
    return found if isinstance(found, dict) else {}


def name_of(entry: dict[str, Any]) -> str | None:
    """Return the name of an entry, or ``None`` if it is not a text."""
    name = entry.get("name")
    return name if isinstance(name, str) else None

from __future__ import annotations

from json import dumps
from json import loads

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from filbertlb.decoding import MalformedDataError
from filbertlb.platform.configuration_check import check_configuration
from filbertlb.platform.wire import decode_configuration
from filbertlb.platform.wire import UnreadableMessageError
from tests.platform.test_configuration_row import DEEP
from tests.platform.test_configuration_row import ODD_ROUTES
from tests.platform.test_configuration_row import ODD_TENANTS
from tests.platform.test_configuration_row import with_entries

SECRET = "key-that-nobody-may-read"


def route(name="q", **changes):
    body = {
        "name": name,
        "host": "site.example",
        "prefix": f"/{name}/",
        "service": "render",
        "attempts": 2,
        "slackFactor": 3.0,
        "targetLatencyMs": 1000,
        "timeoutMs": 3000,
    }
    return body | changes


def tenant(name="divers", **changes):
    body = {"name": name, "apiKeys": [name], "guaranteed": {"gpu": 4}}
    return body | changes


def row(version=3, **changes):
    body = {
        "version": version,
        "routes": [route()],
        "services": [{"name": "render"}],
        "limits": {"maxBodyBytes": 4096},
        "tenants": [tenant()],
    }
    return dumps(body | changes).encode()


CASES = [
    (
        "unreadable_route",
        row(routes=[route(), route("r", attempts="x")]),
        "error unreadable_entry routes[1]: not a valid Route: Expected "
        "`int`, got `str` - at `$.attempts`; the entry is skipped until "
        "corrected",
    ),
    (
        "unreadable_tenant_without_its_keys",
        row(tenants=[tenant(apiKeys=SECRET)]),
        "error unreadable_entry tenants[0]: not a valid Tenant: Expected "
        "`array`, got `str` - at `$.apiKeys`; the entry is skipped until "
        "corrected",
    ),
    (
        "unreadable_service",
        row(services=[{"name": "render"}, {"name": 3}]),
        "error unreadable_entry services[1]: not an object with a name; "
        "give a text as name",
    ),
    (
        "unreadable_services",
        row(services=3),
        "error unreadable_section services: not a valid list: Expected "
        "`array`, got `int`; give a list of objects with a name",
    ),
    (
        "shadowed_route",
        row(routes=[route(), route("r", prefix="/q/")]),
        "error shadowed_route routes[1]: never matches: routes[0] comes "
        "before it with host 'site.example' and prefix '/q/'; change or "
        "remove one",
    ),
    (
        "duplicate_route",
        row(routes=[route(), route(prefix="/r/")]),
        "error duplicate_name routes[1].name: 'q' is also the name of "
        "routes[0]; rename or remove one",
    ),
    (
        "duplicate_tenant",
        row(tenants=[tenant(), tenant()]),
        "error duplicate_name tenants[1].name: 'divers' is also the name of "
        "tenants[0]; rename or remove one",
    ),
    (
        "duplicate_service",
        row(services=[{"name": "render"}, {"name": "render"}]),
        "error duplicate_name services[1].name: 'render' is also the name "
        "of services[0]; rename or remove one",
    ),
    (
        "unknown_service",
        row(routes=[route(), route("r", service="rendr")]),
        "error unknown_service routes[1].service: 'rendr' is not in "
        "services; add it there or name another",
    ),
    (
        "service_without_route",
        row(services=[{"name": "render"}, {"name": "idle"}]),
        "warning service_without_route services[1]: no route leads to "
        "'idle'; add a route or remove the service",
    ),
    (
        "shared_api_key_is_not_shown",
        row(
            tenants=[
                tenant(apiKeys=["a", SECRET]),
                tenant("dairies", apiKeys=[SECRET]),
            ]
        ),
        "error shared_api_key tenants[1].apiKeys[0]: 'dairies' has a key of "
        "'divers', tenants[0]; give each a key of its own",
    ),
    (
        "no_attempts",
        row(routes=[route(attempts=0)]),
        "error too_few_attempts routes[0].attempts: 0 attempts allow no "
        "run; give 1 or more",
    ),
    (
        "slack_factor",
        row(routes=[route(slackFactor=0.5)]),
        "error slack_factor_below_1 routes[0].slackFactor: 0.5 is less time "
        "than the work itself takes; give 1 or more",
    ),
    (
        "negative_target",
        row(routes=[route(targetLatencyMs=-1)]),
        "error unmeetable_deadline routes[0].targetLatencyMs: -1 ms cannot "
        "be met; give 0 or more",
    ),
    (
        "timeout_of_0",
        row(routes=[route(timeoutMs=0)]),
        "error unmeetable_deadline routes[0].timeoutMs: 0 ms cannot be met; "
        "give more than 0",
    ),
    (
        "unreadable_timeout",
        row(routes=[route(timeoutMs="x")]),
        "error unreadable_value routes[0].timeoutMs: a str is not a number; "
        "give milliseconds above 0",
    ),
    (
        "guarantees",
        row(tenants=[tenant(), tenant("dairies", guaranteed={"gpu": 5})]),
        "error guarantees_exceed_capacity tenants: guarantees of 9 "
        "accelerators exceed the 8 of the site; reduce them by 1",
    ),
    (
        "same_version",
        row(version=2),
        "error version_not_newer version: version 2 is not newer than 2 in "
        "force and would be ignored; use 3 or more",
    ),
]


@pytest.mark.parametrize(
    ("body", "expected"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_broken_configuration_has_exactly_its_finding(body, expected):
    found = check_configuration(body, accelerators=8, version_in_force=2)
    assert [str(finding) for finding in found] == [expected]


@pytest.mark.parametrize(
    "body",
    [
        row(),
        row(tenants=[tenant(guaranteed={"gpu": 8})]),
        row(tenants=[tenant(guaranteed=None, apiKeys=["a", "a"])]),
        row(routes=[route(), route("r", host="other", prefix="/q/")]),
        row(routes=[route(), route("r", prefix="/q/r/")]),
        row(routes=[route(slackFactor=1, targetLatencyMs=0, attempts=1)]),
        row(routes=[route(timeoutMs=None)]),
        # Without the list of services nothing tells which exist.
        dumps({"version": 3, "routes": [route(service="any")]}).encode(),
    ],
)
def test_sound_configuration_has_no_findings(body):
    assert check_configuration(body, accelerators=8, version_in_force=2) == []


def test_long_values_are_shortened():
    # A name may be as long as the row, and findings are logged.
    body = row(routes=[route("n" * 10_000, service="s" * 10_000)])
    found = check_configuration(body)
    assert [finding.code for finding in found] == [
        "unknown_service",
        "service_without_route",
    ]
    assert max(len(finding.message) for finding in found) < 200


@pytest.mark.parametrize(
    ("routes", "tenants", "code"),
    [
        *(([entry], [], "unreadable_entry") for entry in ODD_ROUTES),
        *(([], [entry], "unreadable_entry") for entry in ODD_TENANTS),
        (
            [f'{{"name":"odd","prefix":"/odd","timeoutMs":{DEEP}}}'],
            [],
            "unreadable_value",
        ),
        (
            [
                '{"name":"odd","prefix":"/odd","timeoutMs":-1'
                + "0" * 4000
                + "}"
            ],
            [],
            "unmeetable_deadline",
        ),
    ],
    ids=lambda entries: ",".join(entries)[:30],
)
def test_odd_entry_is_one_finding_and_no_other_error(routes, tenants, code):
    # An uncaught error would end the task that reads the configuration.
    (finding,) = check_configuration(with_entries(routes, tenants))
    assert finding.code == code
    assert len(finding.message) < 200


VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.sampled_from(["", "q", "/", "render", "\0"]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["name", "gpu", "service"]), inner, max_size=3
        )
    ),
    max_leaves=6,
)


@settings(derandomize=True, max_examples=300)
@given(
    part=st.sampled_from(["routes", "services", "limits", "tenants"]),
    field=st.sampled_from(["", *route(), *tenant()]),
    value=VALUES,
)
def test_every_row_that_is_accepted_can_be_checked(part, field, value):
    # An error of a check would end the task that applies configurations.
    entry = loads(row())[part]
    if field and part != "limits":
        entry[0][field] = value
    else:
        entry = value
    body = row(**{part: entry})
    try:
        decode_configuration(body)
    except UnreadableMessageError:
        return
    check_configuration(body, accelerators=8, version_in_force=2)


@pytest.mark.parametrize("services", [DEEP, f"[{DEEP}]", "null", "[null]"])
def test_odd_services_are_findings_and_never_other_errors(services):
    body = f'{{"version":3,"services":{services}}}'.encode()
    assert {finding.path for finding in check_configuration(body)} <= {
        "services",
        "services[0]",
    }


@pytest.mark.parametrize("body", [b"{", b"[]", b"{}", DEEP.encode()])
def test_row_that_cannot_be_decoded_is_a_coded_error(body):
    with pytest.raises(MalformedDataError):
        check_configuration(body)

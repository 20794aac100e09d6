from __future__ import annotations

from json import dumps

import pytest

from filbertlb.platform.configuration_differences import find_differences
from tests.platform.test_configuration_check import DEEP
from tests.platform.test_configuration_check import route
from tests.platform.test_configuration_check import row
from tests.platform.test_configuration_check import SECRET
from tests.platform.test_configuration_check import tenant

CASES = [
    (
        "route_added",
        row(),
        row(routes=[route("r"), route()]),
        ["added routes 'r'"],
    ),
    ("route_removed", row(), row(routes=[]), ["removed routes 'q'"]),
    (
        "route_changed",
        row(),
        row(routes=[route(attempts=3, priority=1, host="h")]),
        [
            "changed routes 'q': host: 'site.example' -> 'h', attempts: "
            "2 -> 3, priority: not given -> 1"
        ],
    ),
    (
        "true_is_not_1",
        row(routes=[route(public=True)]),
        row(routes=[route(public=1)]),
        ["changed routes 'q': public: true -> 1"],
    ),
    (
        "second_route_of_a_name",
        row(),
        row(routes=[route(), route(prefix="/r/")]),
        ["added routes 'q'"],
    ),
    (
        "value_of_an_unknown_field_is_not_shown",
        row(),
        row(routes=[route(advisor={"token": SECRET})]),
        ["changed routes 'q': 'advisor' differs"],
    ),
    (
        "services",
        row(),
        row(services=[{"name": "s"}]),
        ["removed services 'render'", "added services 's'"],
    ),
    (
        "service_changed",
        row(),
        row(services=[{"name": "render", "admissionCheck": True}]),
        ["changed services 'render': 'admissionCheck' differs"],
    ),
    (
        "limits",
        row(limits={"maxBodyBytes": 1, "maxHeaderBytes": 2, "x": SECRET}),
        row(limits={"maxBodyBytes": 3, "idleTimeoutMs": 4, "x": 1}),
        [
            "changed limits 'maxBodyBytes': 1 -> 3",
            "removed limits 'maxHeaderBytes': 2",
            "changed limits 'x'",
            "added limits 'idleTimeoutMs': 4",
        ],
    ),
    (
        "tenants_without_their_keys",
        row(tenants=[tenant(), tenant("dairies", apiKeys=[SECRET])]),
        row(tenants=[tenant(), tenant("herders", apiKeys=[SECRET])]),
        ["removed tenants 'dairies'", "added tenants 'herders'"],
    ),
    (
        "api_keys_are_only_counted",
        row(tenants=[tenant(apiKeys=["a", "b", SECRET])]),
        row(tenants=[tenant(apiKeys=[SECRET, "a", "c", "d", "e"])]),
        ["changed tenants 'divers': apiKeys: 3 added, 1 removed"],
    ),
    (
        "order_of_api_keys",
        row(tenants=[tenant(apiKeys=["a", "b"])]),
        row(tenants=[tenant(apiKeys=["b", "a"])]),
        [],
    ),
    (
        "misspelt_api_keys_are_not_shown",
        row(),
        row(tenants=[tenant(apikeys=[SECRET])]),
        ["changed tenants 'divers': 'apikeys' differs"],
    ),
    (
        "guarantee",
        row(),
        row(tenants=[tenant(guaranteed={"gpu": 8})]),
        ['changed tenants \'divers\': guaranteed: {"gpu":4} -> {"gpu":8}'],
    ),
    (
        "entry_without_a_name",
        row(),
        row(tenants=[tenant(), {"apiKeys": [SECRET]}, SECRET]),
        [
            "not compared tenants 'tenants[1]': not an object with a name",
            "not compared tenants 'tenants[2]': not an object with a name",
        ],
    ),
    (
        "odd_sections",
        row(),
        row(services=3, limits=[SECRET]),
        [
            "not compared services 'services': not a list",
            "removed services 'render'",
            "not compared limits 'limits': not an object",
        ],
    ),
    (
        "null_is_the_same_as_absent",
        dumps({"version": 1}).encode(),
        dumps({"version": 2, "services": None, "limits": None}).encode(),
        [],
    ),
    (
        "deep_values",
        dumps({"version": 1}).encode(),
        f'{{"version":2,"services":[{DEEP}],"limits":{DEEP}}}'.encode(),
        [
            "not compared services 'services[0]': not an object with a name",
            "not compared limits 'limits': not an object",
        ],
    ),
    ("same", row(), row(version=4), []),
]


@pytest.mark.parametrize(
    ("before", "after", "expected"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_differences(before, after, expected):
    # None may show an API key: the output is kept in logs and tickets.
    found = [str(one) for one in find_differences(before, after)]
    assert found == expected
    assert SECRET not in "".join(found)


@pytest.mark.parametrize(
    "changes",
    [
        {"routes": [route(host="h" * 10_000)]},
        {"routes": [route(priority=[0] * 10_000)]},
        {"tenants": [tenant(guaranteed={"g" * 10_000: 1})]},
        {"limits": {"maxBodyBytes": 4096, "n" * 10_000: 1}},
    ],
)
def test_long_values_are_shortened(changes):
    # One value could otherwise fill a terminal.
    (found,) = find_differences(row(), row(**changes))
    assert len(str(found)) < 250

from __future__ import annotations

from json import dumps
from json import loads

import pytest

from filbertlb.batch.configuration import NoQueueError
from filbertlb.platform.wire import decode_configuration
from tests.platform.operators import configuration

DEEP = "[" * 100_000 + "]" * 100_000
ODD_ROUTES = [
    "null",
    "3",
    DEEP,
    '{"name":' + DEEP + "}",
    '{"host":"odd.example"}',
    '{"name":"odd","host":"odd.example","attempts":"x"}',
]
ODD_TENANTS = ["null", DEEP, '{"apiKeys":["odd"]}', '{"name":"o","apiKeys":3}']


def with_entries(routes=(), tenants=()):
    """Return a configuration with further routes and tenants."""
    body = loads(configuration())
    members = [f'"version":{body["version"]}']
    for name, more in (("routes", routes), ("tenants", tenants)):
        entries = [*more, *(dumps(entry) for entry in body[name])]
        members.append(f'"{name}":[{",".join(entries)}]')
    return f"{{{','.join(members)}}}".encode()


@pytest.mark.parametrize(
    ("routes", "tenants"),
    [
        *(([route], []) for route in ODD_ROUTES),
        *(([], [tenant]) for tenant in ODD_TENANTS),
    ],
    ids=lambda entries: ",".join(entries)[:30],
)
def test_odd_route_or_tenant_is_skipped_and_the_others_hold(routes, tenants):
    # The whole configuration was refused.
    found = decode_configuration(with_entries(routes, tenants))
    assert found.version == 3
    assert found.queue_for("site.example", "/render/a").name == "q"
    assert found.organisation_by_key == {"key": "divers"}
    with pytest.raises(NoQueueError):
        found.queue_for("odd.example", "/")

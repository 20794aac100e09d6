"""Builders for the rows that operators write, shared by platform tests."""

from __future__ import annotations

from json import dumps


def configuration(version=3, **changes):
    """Return the value of a configuration row."""
    route = {
        "name": "q",
        "host": "site.example",
        "prefix": "/render/",
        "service": "render",
        "priority": 1,
        "attempts": 2,
        "slackFactor": 3.0,
        "targetLatencyMs": 1000,
    }
    tenant = {"name": "divers", "apiKeys": ["key"], "guaranteed": {"gpu": 4}}
    body = {"version": version, "routes": [route], "tenants": [tenant]}
    return dumps(body | changes).encode()

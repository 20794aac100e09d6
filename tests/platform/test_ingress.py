from __future__ import annotations

from io import BytesIO
from json import dumps

import pytest

from filbertlb.batch.configuration import InForce
from filbertlb.batch.handover import Handover
from filbertlb.batch.index import JobIndex
from filbertlb.batch.peers import Peers
from filbertlb.batch.service import JobService
from filbertlb.core.clock import VirtualClock
from filbertlb.platform.configuration import ConfigurationReader
from filbertlb.platform.ingress import Ingress
from filbertlb.table.base import Row
from filbertlb.table.memory import MemoryTable
from filbertlb.table.mirror import Mirror
from tests.platform.operators import configuration

JOB = {"spec": "text", "steps": [{"count": 2, "cpu": 500, "memMb": 64}]}
PATH = "/render/00000000000000aa"


class Site:
    def __init__(self):
        self.table = MemoryTable()
        self.in_force = InForce()
        self.reader = ConfigurationReader(self.in_force)
        self.row_version = 0
        self.up = True
        index, mirror = JobIndex(), Mirror()
        mirror.listen(index.saw)
        clock = VirtualClock()
        service = JobService(self.table, mirror, index, clock)
        self.codes = []
        self.ingress = Ingress(
            Handover(service, Peers("a", "unused:1", mirror), lambda: self.up),
            self.in_force,
            clock,
            lambda code, _: self.codes.append(code),
        )

    def configure(self, body):
        self.row_version += 1
        row = Row("op/config", body, self.row_version)
        self.reader.on_row("op/config", row)

    def call(
        self, method, path=PATH, body=JOB, host="site.example", key="key"
    ):
        text = body if isinstance(body, bytes) else dumps(body).encode()
        return self.ingress.handle(
            {
                "REQUEST_METHOD": method,
                "PATH_INFO": path,
                "HTTP_HOST": host,
                "HTTP_X_API_KEY": key,
                "wsgi.input": BytesIO(text),
            }
        )


@pytest.fixture
def site():
    site = Site()
    site.configure(configuration())
    return site


def test_a_job_is_accepted_shown_cancelled_and_counted(site):
    assert site.call("GET", "/render/").body == {"pending": 0}
    assert site.call("POST").status == 200
    assert site.call("POST").status == 200
    assert site.call("GET").body == {"state": "queued"}
    assert site.call("GET", "/render/").body == {"pending": 1}
    assert site.call("DELETE").status == 200
    assert site.call("GET").body == {"state": "cancelled"}
    assert site.codes == ["200"] * 7


@pytest.mark.parametrize(
    ("call", "status"),
    [
        ({"host": "other.example"}, 404),
        ({"path": "/other/00000000000000aa"}, 404),
        ({"key": "wrong"}, 401),
        ({"body": b"{"}, 400),
        ({"body": {"steps": [{"count": 1, "after": [4]}]}}, 400),
        ({"body": {"steps": [{"count": 0}]}}, 400),
    ],
)
def test_what_cannot_be_accepted_has_its_status(site, call, status):
    answer = site.call("POST", **call)
    assert answer.status == status
    assert answer.body["code"]


@pytest.mark.parametrize("method", ["GET", "DELETE"])
def test_an_unknown_job_is_gone(site, method):
    assert site.call(method).status == 410


def test_without_a_configuration_callers_come_back_later():
    answer = Site().call("POST")
    assert (answer.status, answer.retry_after_s) == (503, 1.0)


def test_a_silent_table_refuses_at_once_and_stores_nothing(site):
    site.up = False
    answer = site.call("POST")
    assert (answer.status, answer.retry_after_s) == (503, 1.0)
    assert site.table.scan("state/") == []


def test_a_refusal_of_the_table_is_final_and_true(site):
    site.table.faults.down = True
    assert site.call("POST").status == 503
    site.table.faults.down = False
    assert site.call("GET").status == 410


@pytest.mark.parametrize(
    ("body", "status"),
    [
        (configuration(version=2, tenants=[]), 200),
        (b"not a configuration", 200),
        (configuration(version=4, tenants=[]), 401),
        (configuration(version=4, routes=[]), 404),
    ],
)
def test_only_a_newer_readable_configuration_replaces_one(site, body, status):
    site.configure(body)
    assert site.call("GET", "/render/").status == status


def test_the_longest_prefix_decides(site):
    route = {"host": "site.example", "service": "render"}
    routes = [
        route | {"name": "all", "prefix": "/"},
        route | {"name": "render", "prefix": "/render/"},
    ]
    site.configure(configuration(version=9, routes=routes))
    site.call("POST")
    assert site.call("GET", "/render/").body == {"pending": 1}
    assert site.call("GET", "/").body == {"pending": 0}

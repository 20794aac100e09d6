from __future__ import annotations

from io import BytesIO
from json import dumps

import pytest

from filbertlb.batch.configuration import CurrentConfiguration
from filbertlb.batch.forwarding import JobForwarder
from filbertlb.batch.index import JobIndex
from filbertlb.batch.peers import Peers
from filbertlb.batch.service import JobService
from filbertlb.batch.testing import StaticContact
from filbertlb.core.clock import VirtualClock
from filbertlb.platform.configuration import ConfigurationReader
from filbertlb.platform.ingress import Ingress
from filbertlb.table.base import Row
from filbertlb.table.memory import MemoryTable
from filbertlb.table.mirror import Mirror
from tests.platform.operators import configuration

JOB = {"spec": "text", "steps": [{"count": 2, "cpu": 500, "memMb": 64}]}
PATH = "/render/00000000000000aa"


class Harness:
    """Ingress on a table in memory, without other entries."""

    def __init__(self):
        self.table = MemoryTable()
        self.in_force = CurrentConfiguration()
        self.reader = ConfigurationReader(self.in_force)
        self.row_version = 0
        self.contact = StaticContact()
        self.may_be_behind = False
        index, mirror = JobIndex(), Mirror()
        mirror.add_listener(index.apply_row)
        clock = VirtualClock()
        service = JobService(self.table, mirror, index, clock)
        self.statuses = []
        self.ingress = Ingress(
            JobForwarder(
                service, Peers("a", "unused:1", mirror), self.contact
            ),
            self.in_force,
            lambda: self.may_be_behind,
            clock,
            lambda status, _: self.statuses.append(status),
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
def harness():
    harness = Harness()
    harness.configure(configuration())
    return harness


def test_job_is_submitted_queried_and_cancelled(harness):
    assert harness.call("GET", "/render/").body == {"pending": 0}
    assert harness.call("POST").status == 200
    assert harness.call("POST").status == 200
    assert harness.call("GET").body == {"state": "queued"}
    assert harness.call("GET", "/render/").body == {"pending": 1}
    assert harness.call("DELETE").status == 200
    assert harness.call("GET").body == {"state": "cancelled"}
    assert harness.statuses == ["200"] * 7


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
def test_invalid_submission_is_rejected(harness, call, status):
    response = harness.call("POST", **call)
    assert response.status == status
    assert response.body["code"]


@pytest.mark.parametrize("method", ["GET", "DELETE"])
def test_unknown_job_has_status_gone(harness, method):
    assert harness.call(method).status == 410


@pytest.mark.parametrize(
    ("behind", "status"), [(False, [404, 401]), (True, [503, 503])]
)
def test_entry_that_may_be_behind_said_that_a_route_or_key_was_not_there(
    harness, behind, status
):
    harness.may_be_behind = behind
    responses = [
        harness.call("POST", "/new-route/00000000000000aa"),
        harness.call("POST", key="new-key"),
    ]
    assert [response.status for response in responses] == status
    assert all(
        (response.retry_after_s is not None) == behind
        for response in responses
    )
    assert harness.call("POST").status == 200


def test_missing_configuration_asks_callers_to_retry():
    response = Harness().call("POST")
    assert (response.status, response.retry_after_s) == (503, 1.0)


def test_unreachable_table_rejects_job_without_storing_it(harness):
    harness.contact.reachable = False
    response = harness.call("POST")
    assert (response.status, response.retry_after_s) == (503, 1.0)
    assert harness.table.scan("state/") == []


def test_job_refused_by_table_is_not_stored(harness):
    harness.table.faults.down = True
    assert harness.call("POST").status == 503
    harness.table.faults.down = False
    assert harness.call("GET").status == 410


@pytest.mark.parametrize(
    ("body", "status"),
    [
        (configuration(version=2, tenants=[]), 200),
        (b"not a configuration", 200),
        (configuration(version=4, tenants=[]), 401),
        (configuration(version=4, routes=[]), 404),
    ],
)
def test_only_newer_readable_configuration_is_applied(harness, body, status):
    harness.configure(body)
    assert harness.call("GET", "/render/").status == status


def test_longest_matching_prefix_selects_queue(harness):
    route = {"host": "site.example", "service": "render"}
    routes = [
        route | {"name": "all", "prefix": "/"},
        route | {"name": "render", "prefix": "/render/"},
    ]
    harness.configure(configuration(version=9, routes=routes))
    harness.call("POST")
    assert harness.call("GET", "/render/").body == {"pending": 1}
    assert harness.call("GET", "/").body == {"pending": 0}


STEP = {"count": 1, "gpu": 1}


@pytest.mark.parametrize(
    ("job_id", "job"),
    [
        ("aa", {"steps": []}),
        ("a.b", {"steps": [STEP]}),
        ("a" * 190, {"steps": [STEP]}),
        ("aa", {"steps": [{"count": 10**9, "gpu": 1}]}),
        ("aa", {"steps": [STEP], "times": 10**9}),
        ("aa", {"steps": [STEP], "times": 10**6, "intervalMs": 1}),
        ("aa", {"steps": [STEP], "times": -1}),
        ("aa", {"steps": [{"count": 1, "gpu": -8}]}),
        ("aa", {"steps": [STEP], "spec": "x" * 40_000}),
    ],
)
def test_job_that_would_stop_all_deciders_is_refused(harness, job_id, job):
    # Each decider in turn read the stored job and failed.
    response = harness.call("POST", f"/render/{job_id}", job)
    assert response.status == 400
    assert response.body["code"] == "invalid_job"
    assert harness.table.scan("state/") == []


def after(*numbers):
    return {"count": 1, "gpu": 1, "after": numbers}


@pytest.mark.parametrize(
    "steps",
    [
        [after(0)],
        [STEP, after(1)],
        [after(1), after(0)],
        [STEP, after(0, 3), after(1), after(2), STEP],
    ],
)
def test_job_of_steps_that_need_each_other_was_accepted(harness, steps):
    # It never ended, and never failed.
    response = harness.call("POST", body={"steps": steps})
    assert response.status == 400
    assert response.body["code"] == "invalid_job"
    assert harness.table.scan("state/") == []


@pytest.mark.parametrize(
    "job",
    [
        {"steps": [after(2), after(0, 0), STEP]},
        {"steps": [{"count": 2000, "gpu": 1}]},
        {"steps": [STEP], "times": 10**6, "startAtMs": 1, "intervalMs": 500},
        {"steps": [STEP], "spec": "x" * 4000},
    ],
)
def test_large_job_is_accepted(harness, job):
    assert harness.call("POST", body=job).status == 200

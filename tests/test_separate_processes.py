from __future__ import annotations

import base64
import json
from contextlib import ExitStack

import pytest
from gevent import sleep

from filbertlb.api.auth import make_token
from filbertlb.client import open_client
from filbertlb.client import ServerNotReachedError
from filbertlb.errors import FilbertlbError
from tests.processes import process
from tests.processes import role

KEYS = ["1:" + base64.b64encode(bytes(32)).decode()]
RACK = {"workers": 2, "each": {"accelerators": 8, "cores": 30}}
CONFIG = {
    "site": "rental-site",
    "failure_domains": {"split-a": {"region": "main", "racks": {"a1": RACK}}},
    "organisations": {"rental": {}},
}
PLACE = {"failure_domain": "split-a", "link_port": 0, "http_port": 0}


class Site:
    """A platform, two entries, two workers and a runner."""

    def __init__(self, stack, tmp_path):
        self._stack = stack
        self._tmp_path = tmp_path
        platform = stack.enter_context(process("standin", "platform"))
        self.table_url = platform.told["url"]
        self.operator_token, operator = make_token(None, operator=True)
        digest = f"{operator.token_id}:{operator.secret_sha256}"
        self.entries = [
            self._role(f"e{number}", role="entry", operator_token_hash=digest)
            for number in range(2)
        ]
        self.workers = [
            self._agent(f"w{number}", "worker") for number in range(2)
        ]
        self.runners = [self._agent("r0", "runner")]
        with open_client(self.url(0), self.operator_token) as operator:
            change = {"config": CONFIG, "based_on": 0}
            operator.json("POST", "/v1/config", change)
            path = "/v1/organisations/rental/tokens"
            self.token = operator.json("POST", path)["token"]

    def url(self, number):
        return self.entries[number].told["url"]

    def _role(self, name, **settings):
        common = {**PLACE, "table_url": self.table_url, "keys": KEYS}
        started = role(self._tmp_path, name, **common, **settings)
        return self._stack.enter_context(started)

    def _agent(self, name, kind):
        backend = self._stack.enter_context(process("standin", kind))
        endpoint = {
            "endpoint_id": name,
            "role": kind,
            "backend_url": backend.told["url"],
            "capacity": {"accelerators": 8, "cores": 30, "memory_gib": 128},
        }
        return self._role(name, role="agent", rack="a1", endpoint=endpoint)


@pytest.fixture
def site(tmp_path):
    with ExitStack() as stack:
        yield Site(stack, tmp_path)


def _invoke_until_served(client, key):
    """Send until the runner has announced itself."""
    for number in range(200):
        body = json.dumps({"key": key, "result": key}).encode()
        answer = client.invoke(
            "payout", body, key=f"{key}-{number}", idempotent=False
        )
        if answer.status == 200:
            return answer
        sleep(0.1)
    raise AssertionError(f"no runner in 200 tries: {answer}")


def test_job_and_request_go_through(site):
    job = {
        "shape": {"members": 2, "each": {"accelerators": 8}},
        "command": json.dumps({"run_s": 0.2}),
    }
    with open_client(site.url(0), site.token) as client:
        submitted = client.submit_job(job, "dive-1")
        again = client.submit_job(job, "dive-1")
        assert again["job_id"] == submitted["job_id"]
        found = client.job(submitted["job_id"], 40.0)
        assert (found["state"], found["ran"]) == ("succeeded", "yes")
        answer = _invoke_until_served(client, "family-1")
        assert answer.json()["result"] == "family-1"
    agents = [*site.workers, *site.runners]
    assert [one.stop() for one in [*agents, *site.entries]] == [0] * 5


def test_entry_killed_in_the_middle_of_a_submission(site):
    job = {
        "shape": {"members": 2, "each": {"accelerators": 4}},
        "command": json.dumps({"run_s": 0.2, "key": "dive-2"}),
        "idempotent": False,
    }
    with (
        open_client(site.url(0), site.token) as first,
        open_client(site.url(1), site.token) as second,
    ):
        first.submit_job(job, "dive-2")
        site.entries[0].process.kill()
        with pytest.raises((ServerNotReachedError, FilbertlbError)):
            first.submit_job(job, "dive-3")
        kept = second.submit_job(job, "dive-2")
        moved = second.submit_job(job, "dive-3")
        for job_id in (kept["job_id"], moved["job_id"]):
            found = second.job(job_id, 40.0)
            assert (found["state"], found["attempts"]) == ("succeeded", 1)

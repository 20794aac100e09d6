"""Errors of the HTTP interface: status, stable code and what ran."""

from __future__ import annotations

import json

import pytest
from gevent import sleep

from filbertlb.client import CallFailedError
from filbertlb.client import open_client
from filbertlb.core.breaker import FAILURE_THRESHOLD
from filbertlb.errors import Ran
from filbertlb.httpcall import HttpCaller
from filbertlb.messages import Drain
from tests.api_site import BODY_BYTES
from tests.api_site import CONFIG
from tests.api_site import open_site

JOB = {"shape": {"members": 1, "each": {"accelerators": 1}}}
WIDE = {"shape": {"members": 2, "each": {"accelerators": 8}}}
KEY = {"Idempotency-Key": "case"}
CHANGE = {"config": CONFIG, "based_on": 7}
JOBS = "/v1/jobs"
DRAIN = "/v1/endpoints/s1/0/drain"
TOKENS = "/v1/organisations/herders/tokens"
ROLLBACK = {"to": 9, "based_on": 1}
INVOKE = "/v1/requests/price"
NONE = {}
ORGS = tuple(CONFIG["organisations"])


@pytest.fixture(scope="module")
def site():
    with open_site() as opened:
        yield opened


@pytest.fixture(autouse=True)
def _table_up(site):
    site.end_outage()
    yield
    site.end_outage()


def send(site, method, path, name, body, headers):
    """Return status and decoded body of one call."""
    token = site.token_by_name.get(name, name)
    sent = {**({"Authorization": token} if token else {}), **headers}
    if name in site.token_by_name:
        sent["Authorization"] = f"Bearer {token}"
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    caller = HttpCaller(site.entry.url, 1)
    try:
        if method == "GET":
            reply = caller.get(path, 10.0, sent)
        else:
            reply = caller.post(path, data, 10.0, sent)
    finally:
        caller.close()
    return reply.status, json.loads(reply.body)


def assert_error(answer, status, code, ran="no"):
    got_status, value = answer
    error = value["error"]
    got = (got_status, error["code"], error["ran"])
    assert got == (status, code, ran), error["message"]
    assert error["message"]
    assert error["request_id"]


POSTS = [
    # path, who, body, headers, status, code
    (JOBS, "dairies", b"{", KEY, 400, "malformed_json"),
    (JOBS, "dairies", b"", KEY, 400, "malformed_json"),
    (JOBS, "dairies", b"[]", KEY, 400, "invalid_value"),
    (JOBS, "dairies", b"\xff\xfe", KEY, 400, "malformed_json"),
    (JOBS, "dairies", {**JOB, "colour": 1}, KEY, 400, "invalid_value"),
    (JOBS, "dairies", {"shape": {"members": "2"}}, KEY, 400, "invalid_value"),
    (JOBS, "dairies", {"shape": {"members": 0}}, KEY, 400, "invalid_value"),
    (JOBS, "dairies", {"job_class": "slow"}, KEY, 400, "invalid_value"),
    (JOBS, "dairies", b"x" * (BODY_BYTES + 1), KEY, 413, "body_too_large"),
    (JOBS, "dairies", JOB, NONE, 400, "key_missing"),
    (JOBS, "dairies", JOB, {"Idempotency-Key": "k" * 201}, 400, "key_missing"),
    (JOBS, "", JOB, KEY, 401, "unauthenticated"),
    (JOBS, "Basic eA==", JOB, KEY, 401, "unauthenticated"),
    (JOBS, "Bearer nonsense", JOB, KEY, 401, "unauthenticated"),
    (JOBS, "Bearer flb_00_wrong", JOB, KEY, 401, "unauthenticated"),
    (JOBS, "operator", JOB, KEY, 400, "invalid_input"),
    (f"{JOBS}?organisation=x", "operator", JOB, KEY, 404, "organisation_*"),
    (f"{JOBS}?organisation=traders", "dairies", JOB, KEY, 403, "forbidden"),
    (JOBS, "dairies", WIDE, KEY, 422, "impossible_job"),
    (f"{JOBS}/none/cancel", "dairies", b"", NONE, 404, "job_not_found"),
    ("/v1/nothing", "dairies", b"", NONE, 404, "not_found"),
    ("/healthz", "dairies", b"", NONE, 405, "method_not_allowed"),
    ("/v1/config", "dairies", CHANGE, NONE, 403, "forbidden"),
    ("/v1/config", "operator", CHANGE, NONE, 409, "revision_conflict"),
    ("/v1/config", "operator", {"config": {}}, NONE, 400, "invalid_value"),
    ("/v1/config/rollback", "operator", ROLLBACK, NONE, 404, "revision_*"),
    (TOKENS, "operator", b"", NONE, 404, "organisation_*"),
    (TOKENS, "dairies", b"", NONE, 403, "forbidden"),
    (DRAIN, "dairies", b"", NONE, 403, "forbidden"),
    (f"{DRAIN}/drain", "operator", b"", NONE, 404, "endpoint_not_found"),
    (INVOKE, "dairies", b"{}", NONE, 400, "key_missing"),
    (INVOKE, "dairies", b"{}", {**KEY, "X-Class": "x"}, 400, "header_value"),
    (INVOKE, "dairies", b"{}", {**KEY, "X-Deadline-S": "-1"}, 400, "invalid*"),
]
FULL_CODES = {
    "organisation_*": "organisation_not_found",
    "revision_*": "revision_not_found",
    "invalid*": "invalid_input",
}


@pytest.mark.parametrize(
    ("path", "who", "body", "headers", "status", "code"), POSTS
)
def test_post_that_is_refused(site, path, who, body, headers, status, code):
    before = site.table._row_by_key.keys() - {"audit/head"}
    answer = send(site, "POST", path, who, body, headers)
    assert_error(answer, status, FULL_CODES.get(code, code))
    added = site.table._row_by_key.keys() - before
    assert [key for key in added if key.startswith(("jobs", "config"))] == []


@pytest.mark.parametrize(
    ("path", "who", "status", "code"),
    [
        (JOBS, "", 401, "unauthenticated"),
        (JOBS, "operator", 400, "invalid_input"),
        (f"{JOBS}?organisation=traders", "dairies", 403, "forbidden"),
        (f"{JOBS}/none", "dairies", 404, "job_not_found"),
        (f"{JOBS}/none?wait_s=51", "dairies", 400, "invalid_input"),
        (f"{JOBS}/none?wait_s=nan", "dairies", 400, "invalid_input"),
        (f"{JOBS}/none/why", "dairies", 404, "job_not_found"),
        (f"{JOBS}/none/cancel", "dairies", 405, "method_not_allowed"),
        ("/v1/nothing", "", 404, "not_found"),
        ("/v1/config", "dairies", 403, "forbidden"),
        ("/v1/config?revision=7", "operator", 404, "revision_not_found"),
        ("/v1/config?revision=inf", "operator", 400, "invalid_input"),
        ("/v1/config?revision=1.5", "operator", 400, "invalid_input"),
        ("/v1/organisations", "dairies", 403, "forbidden"),
        ("/v1/organisations/x", "operator", 404, "organisation_not_found"),
        ("/v1/endpoints", "dairies", 403, "forbidden"),
        ("/v1/audit", "dairies", 403, "forbidden"),
        ("/v1/audit?verify=2", "operator", 400, "invalid_input"),
        ("/v1/status", "dairies", 403, "forbidden"),
    ],
)
def test_get_that_is_refused(site, path, who, status, code):
    assert_error(send(site, "GET", path, who, b"", NONE), status, code)


def submit(site, key, job=JOB, name="dairies"):
    headers = {"Idempotency-Key": key}
    return send(site, "POST", JOBS, name, job, headers)


def test_another_organisations_job_is_neither_shown_nor_cancelled(site):
    status, job = submit(site, "ours", name="dairies")
    assert status == 202
    path = f"{JOBS}/{job['job_id']}"
    for method, other in [
        ("GET", path),
        ("GET", f"{path}/why"),
        ("POST", f"{path}/cancel"),
    ]:
        answer = send(site, method, other, "traders", b"", NONE)
        assert_error(answer, 404, "job_not_found")
    listed = send(site, "GET", JOBS, "traders", b"", NONE)[1]["jobs"]
    assert job["job_id"] not in {item["job_id"] for item in listed}
    own = send(site, "GET", path, "dairies", b"", NONE)[1]
    assert not own["cancel_requested"]


def test_the_same_key_of_two_organisations_is_two_jobs(site):
    ids = {submit(site, "shared", name=name)[1]["job_id"] for name in ORGS}
    assert len(ids) == len(ORGS)


def test_key_reused_for_another_job(site):
    assert submit(site, "reused")[0] == 202
    answer = submit(site, "reused", {**JOB, "command": "{}"})
    assert_error(answer, 409, "key_reused")


def test_job_is_not_accepted_while_the_table_is_down(site):
    site.table.faults.down = True
    answer = submit(site, "down")
    site.end_outage()
    assert_error(answer, 503, "job_not_accepted", "unknown")
    assert answer[1]["error"]["retry_after_s"] > 0
    listed = site.call("GET", JOBS, "dairies")["jobs"]
    job_id = submit(site, "down")[1]["job_id"]
    assert job_id not in {item["job_id"] for item in listed}


def test_outage_has_ended_only_once_the_breaker_is_closed(site):
    site.table.faults.down = True
    for _ in range(FAILURE_THRESHOLD + 1):
        status, _ = send(site, "GET", f"{JOBS}/none", "dairies", b"", NONE)
        assert status == 503
    site.end_outage()
    assert submit(site, "after-outage")[0] == 202


def command(key):
    return {**JOB, "idempotent": False, "command": json.dumps({"key": key})}


def finished(site, job_id):
    return site.call("GET", f"{JOBS}/{job_id}?wait_s=40", "dairies")


def test_lost_answer_of_the_table_is_settled(site):
    site.table.lose_jobs = 1
    status, job = submit(site, "lost", command("lost"))
    assert (status, site.table.lose_jobs) == (202, 0)
    assert submit(site, "lost", command("lost"))[1]["job_id"] == job["job_id"]
    assert finished(site, job["job_id"])["state"] == "succeeded"
    assert site.ledger.starts_by_key["lost"] == 1


def test_submission_of_unknown_outcome_is_told_as_such(site):
    site.table.lose_jobs = 1
    site.table.then_down = True
    answer = submit(site, "unsure", command("unsure"))
    site.table.then_down = False
    assert_error(answer, 504, "write_outcome_unknown", "unknown")
    site.end_outage()
    status, job = submit(site, "unsure", command("unsure"))
    assert status == 202
    assert finished(site, job["job_id"])["attempts"] == 1
    assert site.ledger.starts_by_key["unsure"] == 1


def test_drain_is_for_one_incarnation_and_in_the_trail(site):
    agent = site.agent_by_id["r1"]
    address = site.entry.directory.address_of("r1")
    refused = site.entry.link.request(address, Drain("r1", "former"), 10.0)
    assert refused.code == "stale_incarnation"
    assert not agent.slot_book.draining
    found = site.call("POST", "/v1/endpoints/r1/drain")
    assert found["incarnation"] == agent.incarnation
    while not agent.slot_book.draining:
        sleep(0.01)
    trail = site.call("GET", "/v1/audit?action=endpoint.drain&verify=1")
    (entry,) = trail["entries"]
    assert entry["event"]["subject"] == "r1"
    assert trail["verified"]["number"] >= entry["number"]


def test_drain_is_not_done_without_its_entry_in_the_trail(site):
    site.table.faults.down = True
    with pytest.raises(CallFailedError) as caught:
        site.call("POST", DRAIN)
    assert caught.value.server_code == "table_unavailable"
    assert caught.value.ran == Ran.NO
    assert not site.agent_by_id["s1/0"].task_book.draining


def test_accepted_job_waits_for_workers_that_have_not_come_yet():
    with open_site(with_worker=False) as fresh:
        path = f"{JOBS}/{submit(fresh, 'early')[1]['job_id']}"
        reason = "queued"
        while reason == "queued":
            found = fresh.call("GET", f"{path}/why", "dairies")
            reason = found["reason"]
        assert found["state"] == "queued"
        with fresh.worker:
            found = fresh.call("GET", f"{path}?wait_s=40", "dairies")
        assert found["state"] == "succeeded"


def test_metrics_tell_calls_and_state(site):
    status, _ = send(site, "GET", JOBS, "", b"", NONE)
    assert status == 401
    with open_client(site.entry.url) as client:
        lines = client.call("GET", "/metrics").body.decode().splitlines()
    calls = 'filbertlb_requests_total{code="unauthenticated"}'
    assert any(line.startswith(calls) for line in lines)
    assert "filbertlb_revision 1.0" in lines

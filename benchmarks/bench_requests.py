"""Requests and urgent jobs through real processes, as ratios in one run.

A stand-in of the platform, one entry, a runner and a worker with their
agents run as processes of their own on loopback. The same requests go
straight to the runner and through the entry.
"""

from __future__ import annotations

import base64
import json
import statistics
import tempfile
from contextlib import ExitStack
from pathlib import Path
from time import perf_counter
from typing import Any
from typing import TYPE_CHECKING

import attrs
import psutil
from gevent import sleep
from gevent.pool import Pool

from filbertlb.api.auth import make_token
from filbertlb.client import Client
from filbertlb.httpcall import HttpCaller
from tests.processes import process
from tests.processes import role

if TYPE_CHECKING:
    from collections.abc import Callable

RESULTS = Path(__file__).parent / "results" / "bench.json"
SEQUENTIAL = 300
CONCURRENT = 2000
CALLERS = 32
URGENT_JOBS = 20
FILLERS = 8
READY_TRIES = 300
URGENT_TARGET_S = 1.4
TIMEOUT_S = 30.0
RACK = {"workers": 1, "each": {"accelerators": 8, "cores": 64}}
CONFIG = {
    "site": "bench",
    "failure_domains": {"a": {"region": "main", "racks": {"a1": RACK}}},
    "organisations": {"o": {}},
}
PLACE = {
    "failure_domain": "a",
    "rack": "a1",
    "link_port": 0,
    "http_port": 0,
    "keys": ["1:" + base64.b64encode(bytes(32)).decode()],
    "logs": {"level": "ERROR"},
}


@attrs.frozen
class Site:
    """Addresses of the processes.

    Parameters
    ----------
    entry_pid : int
        Process whose processor time is measured.
    """

    url: str
    runner_url: str
    token: str
    entry_pid: int


def _open_site(stack: ExitStack) -> Site:
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
    table_url = stack.enter_context(process("standin", "platform")).told["url"]
    operator_token, record = make_token(None, operator=True)
    digest = f"{record.token_id}:{record.secret_sha256}"
    common = {**PLACE, "table_url": table_url}
    entry = stack.enter_context(
        role(
            folder,
            "entry",
            role="entry",
            operator_token_hash=digest,
            **common,
        )
    )
    url_by_kind = {}
    for kind in ("runner", "worker"):
        backend = stack.enter_context(process("standin", kind))
        url_by_kind[kind] = backend.told["url"]
        endpoint = {
            "endpoint_id": kind,
            "role": kind,
            "backend_url": backend.told["url"],
            "capacity": {"accelerators": 8, "cores": 64, "memory_gib": 64},
            "usage_lag_s": 0.0,
        }
        stack.enter_context(
            role(folder, kind, role="agent", endpoint=endpoint, **common)
        )
    operator = Client(entry.told["url"], operator_token)
    operator.json("POST", "/v1/config", {"config": CONFIG, "based_on": 0})
    token = operator.json("POST", "/v1/organisations/o/tokens")["token"]
    _wait_ready(operator)
    return Site(
        entry.told["url"], url_by_kind["runner"], token, entry.process.pid
    )


def _wait_ready(operator: Client) -> None:
    for _ in range(READY_TRIES):
        status = operator.json("GET", "/v1/status")
        if len(status["endpoints"]) == 2 and status["epoch"]:
            return
        sleep(0.1)
    raise TimeoutError("the site did not come up")


def _times_ms(call: Callable[[int], Any], count: int) -> dict[str, float]:
    times = []
    for number in range(count):
        started_s = perf_counter()
        call(number)
        times.append((perf_counter() - started_s) * 1000)
    return {
        "p50_ms": statistics.median(times),
        "p99_ms": statistics.quantiles(times, n=100)[98],
    }


def _sequential(site: Site, client: Client) -> dict[str, Any]:
    direct = HttpCaller(site.runner_url, 1)
    direct_ms = _times_ms(
        lambda number: direct.post("/price", b"{}", TIMEOUT_S), SEQUENTIAL
    )
    through_ms = _times_ms(
        lambda number: client.invoke("price", b"{}"), SEQUENTIAL
    )
    once_ms = _times_ms(
        lambda number: client.invoke(
            "payout", b"{}", key=f"payout-{number}", idempotent=False
        ),
        SEQUENTIAL,
    )
    return {
        "direct": direct_ms,
        "idempotent": through_ms,
        "at_most_once": once_ms,
        "ratio_idempotent": through_ms["p50_ms"] / direct_ms["p50_ms"],
        "ratio_at_most_once": once_ms["p50_ms"] / direct_ms["p50_ms"],
    }


def _concurrent(site: Site, client: Client) -> dict[str, Any]:
    entry = psutil.Process(site.entry_pid)
    pool = Pool(CALLERS)
    before = sum(entry.cpu_times()[:2])
    started_s = perf_counter()
    statuses = pool.map(
        lambda number: client.invoke("price", b"{}").status, range(CONCURRENT)
    )
    took_s = perf_counter() - started_s
    processor_s = sum(entry.cpu_times()[:2]) - before
    return {
        "requests_per_s": CONCURRENT / took_s,
        "entry_processor_ms_per_request": processor_s * 1000 / CONCURRENT,
        "entry_memory_mib": entry.memory_info().rss / 2**20,
        "answered": statuses.count(200),
    }


def _urgent(client: Client, prefix: str) -> dict[str, float]:
    def run(number: int) -> None:
        job = {"job_class": "urgent", "command": json.dumps({"run_s": 0})}
        found = client.submit_job(job, f"{prefix}-{number}")
        found = client.job(found["job_id"], TIMEOUT_S)
        assert found["state"] == "succeeded", found

    return _times_ms(run, URGENT_JOBS)


def _fill(client: Client) -> None:
    job = {
        "checkpointable": True,
        "command": json.dumps({"run_s": 3600}),
    }
    for number in range(FILLERS):
        client.submit_job(job, f"filler-{number}")
    for _ in range(READY_TRIES):
        states = [one["state"] for one in client.jobs()]
        if states.count("running") == FILLERS:
            return
        sleep(0.1)
    raise TimeoutError("the worker is not full")


def main() -> None:
    """Measure, print and write the results."""
    with ExitStack() as stack:
        site = _open_site(stack)
        client = Client(site.url, site.token)
        client.invoke("price", b"{}")
        results = {
            "sequential": _sequential(site, client),
            "concurrent": _concurrent(site, client),
            "urgent_idle": _urgent(client, "idle"),
        }
        _fill(client)
        results["urgent_full"] = _urgent(client, "full")
        results["urgent_target_ms"] = URGENT_TARGET_S * 1000
    RESULTS.write_text(json.dumps(results, indent=1) + "\n")
    print(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()

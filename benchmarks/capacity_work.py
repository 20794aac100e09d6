"""Work that a site is given while its processes are measured."""

from __future__ import annotations

from json import dumps
from typing import Any
from typing import TYPE_CHECKING

from gevent import joinall
from gevent import sleep
from gevent import spawn

from benchmarks.capacity_site import DOMAIN
from benchmarks.capacity_site import LONE_DOMAIN

if TYPE_CHECKING:
    from collections.abc import Callable

    from benchmarks.capacity_site import CapacitySite
    from filbertlb.client import Client

SHORT_TASK_S = 0.2
LONG_TASK_S = 3600.0
DRAIN_S = 2.0
WITHIN_S = 20.0


class UnfinishedWorkError(RuntimeError):
    """Work of a measurement did not end as it should have."""


def gang(members: int, run_s: float, domain: str = DOMAIN) -> dict[str, Any]:
    """Return a job of some members with an accelerator each."""
    return {
        "shape": {
            "members": members,
            "each": {"accelerators": 1, "cores": 1},
            "adjacency": "domain",
            "failure_domain": domain,
        },
        "command": dumps({"run_s": run_s}),
    }


def at_rate(count: int, window_s: float, call: Callable[[int], Any]) -> list:
    """Make calls evenly over a window and return what they returned."""
    calls = []
    for number in range(count):
        calls.append(spawn(call, number))
        sleep(window_s / count)
    joinall(calls, timeout=WITHIN_S, raise_error=True)
    return [one.value for one in calls]


def run_gangs(
    site: CapacitySite, members: int, count: int, window_s: float
) -> list[str]:
    """Submit short gangs over a window and return the jobs' ids."""
    job = gang(members, SHORT_TASK_S)
    found = at_rate(count, window_s, lambda _: site.client.submit_job(job))
    sleep(DRAIN_S)
    return [one["job_id"] for one in found]


def check_ended(client: Client, job_ids: list[str]) -> None:
    """Check that jobs have run.

    Raises
    ------
    UnfinishedWorkError
        If one has not.
    """
    for job_id in job_ids:
        job = client.job(job_id, WITHIN_S)
        if job["state"] != "succeeded":
            raise UnfinishedWorkError(f"job not done: {job!r}")


def start_long(
    client: Client, members: int, count: int, domain: str = DOMAIN
) -> None:
    """Start gangs that outlast the measurement.

    Raises
    ------
    UnfinishedWorkError
        If they do not all run in time.
    """
    job = gang(members, LONG_TASK_S, domain)
    job_ids = [client.submit_job(job)["job_id"] for _ in range(count)]
    for _ in range(int(WITHIN_S)):
        states = [client.job(job_id)["state"] for job_id in job_ids]
        if set(states) == {"running"}:
            return
        sleep(1.0)
    raise UnfinishedWorkError(f"gangs do not run: {states!r}")


def start_lone(client: Client, tasks: int) -> None:
    """Start tasks at the worker that has a domain to itself."""
    start_long(client, 1, tasks, LONE_DOMAIN)


def run_requests(
    client: Client, idempotent: bool, count: int, window_s: float
) -> None:
    """Send requests over a window.

    Raises
    ------
    UnfinishedWorkError
        If one fails.
    """

    def call(number: int) -> int:
        key = f"{idempotent}-{number}"
        body = dumps({"key": key}).encode()
        return client.invoke(
            "payout", body, key=key, idempotent=idempotent
        ).status

    statuses = at_rate(count, window_s, call)
    if set(statuses) != {200}:
        raise UnfinishedWorkError(f"requests failed: {statuses!r}")

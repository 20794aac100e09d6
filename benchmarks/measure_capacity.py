"""Measures what the roles use, and what each agent and task adds.

Run as ``python -m benchmarks.measure_capacity``; writes
``benchmarks/results/capacity.json`` and the marked tables of
``docs/CAPACITY.md``. With ``--page`` it only writes the tables, from
the figures of the last run.

Real roles run as processes of their own: entries, and two processes
that hold the agents of all workers and of all runners. Processor time
is processor seconds as the system counts them, so that other load on
the machine changes it little.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import attrs
import click
from gevent import sleep

from benchmarks.capacity_page import write_page
from benchmarks.capacity_site import LONE_DOMAIN
from benchmarks.capacity_site import open_site
from benchmarks.capacity_work import check_ended
from benchmarks.capacity_work import run_gangs
from benchmarks.capacity_work import run_requests
from benchmarks.capacity_work import start_lone
from benchmarks.capacity_work import start_long
from filbertlb.messages import Role

RESULTS = Path(__file__).parent / "results" / "capacity.json"
# Agents and entries of each idle site.
IDLE_SITES = ((10, 2), (24, 2), (50, 2), (100, 2), (200, 2), (50, 4))
# One refresh of an entry's row falls into each window.
IDLE_WINDOW_S = 15.0
WORK_SITE = (100, 2)
WORK_WINDOW_S = 7.0
# Members of a gang, and gangs in a window.
GANGS = ((1, 32), (8, 16), (32, 8))
LONG_MEMBERS = 30
LONG_GANGS = 5
LONE_TASKS = 4
RUNNING_STEPS = 2
REQUESTS = 140
CHANGES = 4
DECIDED_S = 2.0
# Two rescans of the open jobs fall into each window.
RUNNING_WINDOW_S = 10.0


def measure_idle(agents: int, entries: int) -> dict[str, Any]:
    """Return the use of a site without work."""
    with open_site(agents, entries) as site:
        site.wait_ready()
        use = site.measure(lambda: sleep(IDLE_WINDOW_S))
    return {"agents": agents, "entries": entries, "use": _asdict(use)}


def measure_work() -> dict[str, Any]:
    """Return the use of a site under several kinds of work."""
    agents, entries = WORK_SITE
    with open_site(agents, entries) as site:
        site.start(
            "lone",
            failure_domain=LONE_DOMAIN,
            role=Role.WORKER,
            agents=1,
            backend_url=site.standin("worker"),
        )
        site.wait_ready()
        idle = _asdict(site.measure(lambda: sleep(RUNNING_WINDOW_S)))
        return {
            "agents": agents,
            "entries": entries,
            "idle": idle,
            "gangs": _measure_gangs(site),
            "requests": _measure_requests(site),
            "changes": _measure_changes(site),
            "running": [_running(0, 0, 0, idle), *_measure_running(site)],
        }


def _measure_gangs(site: Any) -> list[dict[str, Any]]:
    found = []
    for members, count in GANGS:
        job_ids: list[str] = []

        def work(
            members: int = members,
            count: int = count,
            job_ids: list[str] = job_ids,
        ) -> None:
            job_ids += run_gangs(site, members, count, WORK_WINDOW_S)

        window = _Window(site, work)
        check_ended(site.client, job_ids)
        found.append({"members": members, "count": count, **window.found})
    return found


def _measure_requests(site: Any) -> list[dict[str, Any]]:
    found = []
    for idempotent in (True, False):

        def work(idempotent: bool = idempotent) -> None:
            run_requests(site.client, idempotent, REQUESTS, WORK_WINDOW_S)

        window = _Window(site, work)
        found.append(
            {"idempotent": idempotent, "count": REQUESTS, **window.found}
        )
    return found


def _measure_changes(site: Any) -> dict[str, Any]:
    in_force_s = []

    def work() -> None:
        for change in range(1, CHANGES + 1):
            site.apply(change)
            wanted = site.revision
            in_force_s.append(
                site.wait_until(
                    lambda samples, wanted=wanted: all(
                        one.revision >= wanted for one in samples
                    )
                )
            )

    window = _Window(site, work)
    return {"count": CHANGES, "in_force_s": in_force_s, **window.found}


def _measure_running(site: Any) -> list[dict[str, Any]]:
    found = []
    for step in range(1, RUNNING_STEPS + 1):
        start_long(site.client, LONG_MEMBERS, LONG_GANGS)
        start_lone(site.client, LONE_TASKS)
        sleep(DECIDED_S)
        use = site.measure(lambda: sleep(RUNNING_WINDOW_S))
        lone = step * LONE_TASKS
        tasks = step * LONG_GANGS * LONG_MEMBERS + lone
        jobs = step * LONG_GANGS + lone
        found.append(_running(tasks, jobs, lone, _asdict(use)))
    return found


def _running(tasks: int, jobs: int, lone: int, use: Any) -> dict[str, Any]:
    return {"tasks": tasks, "jobs": jobs, "lone_tasks": lone, "use": use}


class _Window:
    """A window of work with its length."""

    def __init__(self, site: Any, work: Any) -> None:
        from_s = site.now_s()
        use = site.measure(work)
        self.found = {"window_s": site.now_s() - from_s, "use": _asdict(use)}


def _asdict(use: dict[str, Any]) -> dict[str, Any]:
    return {role: attrs.asdict(one) for role, one in use.items()}


def measure() -> dict[str, Any]:
    """Return all figures."""
    return {
        "idle": [measure_idle(*one) for one in IDLE_SITES],
        "work": measure_work(),
    }


@click.command()
@click.option("--page", is_flag=True, help="Only write the page's tables.")
def main(page: bool) -> None:
    """Write the figures and the tables of the page."""
    if not page:
        text = json.dumps(measure(), indent=1, sort_keys=True)
        RESULTS.write_text(text + "\n", encoding="utf-8")
    write_page(json.loads(RESULTS.read_text(encoding="utf-8")))


if __name__ == "__main__":
    main()

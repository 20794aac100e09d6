"""Factories of jobs, workers and orders for tests."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.model import Job
from filbertlb.batch.model import Order
from filbertlb.batch.model import Orders
from filbertlb.batch.model import ReportMark
from filbertlb.batch.model import Step
from filbertlb.batch.model import Worker
from filbertlb.batch.model import WorkerReport

if TYPE_CHECKING:
    from filbertlb.core.amounts import Amount

CAPACITY: Amount = (8, 32_000, 131_072)
ONE_ACCELERATOR: Amount = (1, 1_000, 1_000)


def a_worker(**changes: Any) -> Worker:
    """Return a ready worker with 8 accelerators."""
    fields: dict[str, Any] = {
        "incarnation": "w@1",
        "service": "render",
        "zone": "a",
        "capacity": CAPACITY,
        "rack": "r1-1",
    }
    return Worker(**(fields | changes))


def a_report(node: str, **changes: Any) -> WorkerReport:
    """Return the report of a responsive worker."""
    fields: dict[str, Any] = {
        "registration": "agent",
        "worker": a_worker(),
        "answers": True,
    }
    return WorkerReport(node, **(fields | changes))


def a_step(count: int = 1, **changes: Any) -> Step:
    """Return a step whose tasks need one accelerator each."""
    fields: dict[str, Any] = {"needs": ONE_ACCELERATOR, "estimate_ms": 1000}
    return Step(count, **(fields | changes))


def a_job(job_id: str, *steps: Step, **changes: Any) -> Job:
    """Return a job with the lowest priority."""
    fields: dict[str, Any] = {
        "queue": "batch",
        "service": "render",
        "organisation": "divers",
        "payload": f"payload of {job_id}",
        "priority": 2,
        "attempts": 3,
        "slack_factor": 3.0,
        "target_ms": 1000,
        "accepted_ms": 0,
    }
    return Job(job_id, steps=steps or (a_step(),), **(fields | changes))


def an_order(task: str, **changes: Any) -> Order:
    """Return an order for the worker of :func:`a_worker`."""
    fields: dict[str, Any] = {
        "attempt": 1,
        "job_id": task.partition(".")[0],
        "needs": ONE_ACCELERATOR,
        "incarnation": "w@1",
    }
    return Order(task, **(fields | changes))


def some_orders(*orders: Order, registration: str = "agent") -> Orders:
    """Return an orders row with a payload for each job.

    It confirms the first report of an agent process.
    """
    payloads = {order.job_id: "payload" for order in orders}
    return Orders(1, orders, payloads, ReportMark(registration, 0))


@attrs.define
class StaticContact:
    """Contact with the table service that a test sets."""

    reachable: bool = True
    age_s: float = 0.0

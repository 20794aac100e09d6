"""Commands about jobs."""

from __future__ import annotations

import sys
from typing import Any
from typing import TYPE_CHECKING

import click

from filbertlb.cli.context import ExitCode
from filbertlb.cli.context import pass_context
from filbertlb.cli.context import table
from filbertlb.core.model import Adjacency
from filbertlb.core.model import JobClass

if TYPE_CHECKING:
    from filbertlb.cli.context import Context

JOB_COLUMNS = ("job_id", "state", "job_class", "members", "detail")
LONGEST_WAIT_S = 50.0


@click.group()
def job() -> None:
    """Submit, watch and cancel jobs."""


@job.command()
@click.option("--members", default=1, show_default=True)
@click.option("--accelerators", default=1, show_default=True)
@click.option("--cores", default=1.0, show_default=True)
@click.option("--memory-gib", default=1.0, show_default=True)
@click.option(
    "--adjacency",
    type=click.Choice([item.value for item in Adjacency]),
    default=Adjacency.RACK.value,
    show_default=True,
)
@click.option("--failure-domain", default=None)
@click.option(
    "--class",
    "job_class",
    type=click.Choice([item.value for item in JobClass]),
    default=JobClass.ARCHIVAL.value,
    show_default=True,
)
@click.option("--guarantee", "guarantee_id", default=None)
@click.option("--idempotent/--not-idempotent", default=True)
@click.option("--checkpointable/--not-checkpointable", default=False)
@click.option("--declared-run-s", default=0.0)
@click.option("--key", default="", help="Idempotency key of the submission.")
@click.option("--wait-s", default=0.0, help="Wait for the end this long.")
@click.argument("command", default="")
@pass_context
def submit(context: Context, key: str, wait_s: float, **options: Any) -> None:
    """Submit a job that runs COMMAND on each member."""
    body = _job_body(options)
    with context.client() as client:
        found = client.submit_job(body, key, context.organisation)
        if wait_s:
            found = client.job(
                found["job_id"],
                min(wait_s, LONGEST_WAIT_S),
                context.organisation,
            )
    context.show(found, table([found], JOB_COLUMNS))
    if found["state"] in ("failed", "cancelled"):
        sys.exit(ExitCode.FAILED)


def _job_body(options: dict[str, Any]) -> dict[str, Any]:
    shape_names = ("members", "adjacency", "failure_domain")
    shape = {name: options.pop(name) for name in shape_names}
    each_names = ("accelerators", "cores", "memory_gib")
    shape["each"] = {name: options.pop(name) for name in each_names}
    return {"shape": shape, **options}


@job.command()
@click.argument("job_id")
@click.option("--wait-s", default=0.0, help="Wait for the end this long.")
@pass_context
def status(context: Context, job_id: str, wait_s: float) -> None:
    """Show what became of a job."""
    with context.client() as client:
        found = client.job(
            job_id, min(wait_s, LONGEST_WAIT_S), context.organisation
        )
    context.show(found, table([found], JOB_COLUMNS))


@job.command()
@click.argument("job_id")
@pass_context
def cancel(context: Context, job_id: str) -> None:
    """Cancel a job."""
    with context.client() as client:
        found = client.cancel_job(job_id, context.organisation)
    context.show(found, table([found], JOB_COLUMNS))


@job.command(name="list")
@pass_context
def list_jobs(context: Context) -> None:
    """List the organisation's jobs."""
    with context.client() as client:
        found = client.jobs(context.organisation)
    context.show(found, table(found, JOB_COLUMNS))


@job.command()
@click.argument("job_id")
@pass_context
def why(context: Context, job_id: str) -> None:
    """Say why a job waits."""
    with context.client() as client:
        found = client.why(job_id, context.organisation)
    context.show(found, f"{found['job_id']}: {found['reason']}")

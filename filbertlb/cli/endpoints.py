"""Commands about runners and workers."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import click

from filbertlb.cli.context import pass_context
from filbertlb.cli.context import table

if TYPE_CHECKING:
    from filbertlb.cli.context import Context

COLUMNS = (
    "endpoint_id",
    "role",
    "state",
    "failure_domain",
    "rack",
    "in use",
    "heard_ago_s",
)


@click.group()
def endpoint() -> None:
    """List and drain runners and workers."""


@endpoint.command(name="list")
@pass_context
def list_endpoints(context: Context) -> None:
    """List the endpoints that the entry knows."""
    with context.client() as client:
        found = client.endpoints()
    rows = [{**item, "in use": _in_use(item)} for item in found]
    context.show(found, table(rows, COLUMNS))


@endpoint.command()
@click.argument("endpoint_id")
@pass_context
def drain(context: Context, endpoint_id: str) -> None:
    """Let an endpoint end its work and take no more.

    It takes work again after a restart of its agent.
    """
    with context.client() as client:
        found = client.drain_endpoint(endpoint_id)
    context.show(found, f"{endpoint_id} takes no new work")


def _in_use(item: dict[str, Any]) -> str:
    if item["role"] == "runner":
        return f"{item['in_flight']} of {item['slots']} slots"
    return f"{len(item['tasks'])} tasks"

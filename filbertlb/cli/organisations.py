"""Commands about organisations."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING
from urllib.parse import quote

import click

from filbertlb.cli.context import encode
from filbertlb.cli.context import pass_context

if TYPE_CHECKING:
    from filbertlb.cli.context import Context

PATH = "/v1/organisations"


@click.group()
def organisation() -> None:
    """Create and show organisations, and make their tokens."""


@organisation.command()
@click.argument("organisation_id")
@click.option("--weight", default=1.0, show_default=True)
@click.option("--quota-accelerators", type=int, default=None)
@pass_context
def create(context: Context, **body: Any) -> None:
    """Create an organisation without guarantees.

    Guarantees are given with 'filbertlb config apply'.
    """
    with context.client() as client:
        found = client.json("POST", PATH, body)
    name = body["organisation_id"]
    context.show(found, f"{name} is created by revision {found['revision']}")


@organisation.command(name="list")
@pass_context
def list_organisations(context: Context) -> None:
    """List the organisations."""
    with context.client() as client:
        found = client.json("GET", PATH)["organisations"]
    context.show(found, "\n".join(found) or "there is no organisation")


@organisation.command()
@click.argument("organisation_id")
@pass_context
def show(context: Context, organisation_id: str) -> None:
    """Show an organisation's guarantees, quota and weight."""
    with context.client() as client:
        found = client.json("GET", f"{PATH}/{quote(organisation_id)}")
    context.show(found, encode(found))


@organisation.command()
@click.argument("organisation_id")
@pass_context
def token(context: Context, organisation_id: str) -> None:
    """Make a caller's token; it is shown this once."""
    path = f"{PATH}/{quote(organisation_id)}/tokens"
    with context.client() as client:
        found = client.json("POST", path)
    context.show(found, found["token"])

"""The command that shows how an entry stands."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import click

from filbertlb.cli.context import pass_context

if TYPE_CHECKING:
    from filbertlb.cli.context import Context


@click.command()
@pass_context
def status(context: Context) -> None:
    """Show how the entry that answers stands."""
    with context.client() as client:
        found = client.json("GET", "/v1/status")
    lines = [f"{name}: {_text(value)}" for name, value in found.items()]
    context.show(found, "\n".join(lines))


def _text(value: Any) -> str:
    if isinstance(value, dict):
        return ", ".join(f"{name} {item}" for name, item in value.items())
    if isinstance(value, list):
        return ", ".join(_text(item) for item in value) or "none"
    return str(value)

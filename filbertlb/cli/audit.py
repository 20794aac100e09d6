"""The command that shows the audit trail."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import click

from filbertlb.cli.context import pass_context
from filbertlb.cli.context import table
from filbertlb.cli.context import utc

if TYPE_CHECKING:
    from filbertlb.cli.context import Context

COLUMNS = ("number", "at", "actor", "action", "subject", "outcome", "detail")


@click.command()
@click.option("--actor", default="", help="Only what this token's id did.")
@click.option("--action", default="", help="Only this, as config.apply.")
@click.option("--verify", is_flag=True, help="Check the whole chain first.")
@pass_context
def audit(context: Context, actor: str, action: str, verify: bool) -> None:
    """Show who changed what, oldest first."""
    with context.client() as client:
        found = client.audit(actor, action, verify)
    text = table([_row(item) for item in found["entries"]], COLUMNS)
    head = found["verified"]
    if head is not None:
        text += (
            f"\nthe chain of {head['number']} entries is whole; its hash: "
            f"{head['hash']}"
        )
    context.show(found, text)


def _row(item: dict[str, Any]) -> dict[str, Any]:
    event = item["event"]
    # A change of several values is shown in full by --json.
    first, _, rest = event["detail"].partition("\n")
    return {
        **event,
        "number": item["number"],
        "at": utc(event["at_s"]),
        "detail": f"{first} ..." if rest else first,
    }

"""Commands about running on the users' platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click
import msgspec

from filbertlb.cli.context import exit_code
from filbertlb.cli.context import report_failure
from filbertlb.errors import FilbertlbError
from filbertlb.platform.settings import load_settings_file

if TYPE_CHECKING:
    from filbertlb.cli.context import Context


@click.group()
def platform() -> None:
    """Check what the platform gives a process."""


@platform.command()
@click.argument("path", type=click.Path(dir_okay=False))
@click.pass_obj
def settings(context: Context, path: str) -> None:
    """Show what a role reads from a settings file of the platform."""
    try:
        found = load_settings_file(path)
    except FilbertlbError as error:
        report_failure(error, as_json=context.as_json)
        raise SystemExit(exit_code(error)) from error
    for name, value in msgspec.to_builtins(found).items():
        click.echo(f"{name}: {value}")

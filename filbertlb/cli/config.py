"""Commands about the configuration of a site."""

from __future__ import annotations

import secrets
import sys
from pathlib import Path
from typing import Any
from typing import BinaryIO
from typing import TYPE_CHECKING

import click

from filbertlb.cli.context import encode
from filbertlb.cli.context import ExitCode
from filbertlb.cli.context import pass_context
from filbertlb.cli.context import report_failure
from filbertlb.cli.context import table
from filbertlb.cli.context import utc
from filbertlb.cli.sending import send_until_settled
from filbertlb.core.site import load_site
from filbertlb.decoding import MalformedDataError
from filbertlb.platform.configuration_check import check_configuration
from filbertlb.platform.configuration_check import read_version
from filbertlb.platform.configuration_check import Severity
from filbertlb.platform.configuration_differences import find_differences
from filbertlb.scheduling.dry_run import broken_guarantees

if TYPE_CHECKING:
    from filbertlb.cli.context import Context
    from filbertlb.client import Client

TOKEN_BYTES = 8
HISTORY_COLUMNS = ("number", "at", "author", "note")

files_argument = click.argument(
    "paths",
    nargs=-1,
    required=True,
    metavar="BASE OVERLAY...",
    type=click.Path(path_type=Path),
)
based_on_option = click.option(
    "--based-on",
    type=int,
    default=None,
    help="Revision that you looked at; by default the latest now.",
)
request_token_option = click.option(
    "--request-token",
    default="",
    help="Of an earlier call with an unknown outcome, to repeat it.",
)
yes_option = click.option("--yes", is_flag=True, help="Don't ask.")


@click.group()
def config() -> None:
    """Check, show and change the configuration of the site."""


@config.command()
@files_argument
@pass_context
def check(context: Context, paths: tuple[Path, ...]) -> None:
    """Check files without a running site."""
    with context.reporting():
        site = load_site(paths)
    problems = broken_guarantees(site)
    value = {"site": site.site, "problems": problems}
    context.show(value, _problem_text(problems) or f"{site.site}: fine")
    _exit_if(problems)


@config.command("check-row")
@click.argument("file", type=click.File("rb"))
@click.option(
    "--against",
    type=click.File("rb"),
    default=None,
    help="The version in force; shows what differs from it.",
)
@click.option(
    "--accelerators",
    type=click.IntRange(0),
    default=None,
    help="Accelerators of the site, for the sum of the guarantees.",
)
@pass_context
def check_row(
    context: Context,
    file: BinaryIO,
    against: BinaryIO | None,
    accelerators: int | None,
) -> None:
    """Check a value of the row op/config of the users' platform.

    Exit codes: 0 no errors, 1 errors, 2 wrong usage or unreadable file.
    """
    body, version = _read_row(context, file)
    before, in_force = b"", None
    if against is not None:
        before, in_force = _read_row(context, against)
    findings = check_configuration(
        body, accelerators=accelerators, version_in_force=in_force
    )
    differences = None if against is None else find_differences(before, body)
    value = {
        "version": version,
        "findings": findings,
        "differences": differences,
    }
    errors = sum(found.severity is Severity.ERROR for found in findings)
    lines = [
        f"configuration {version}: errors: {errors}, "
        f"warnings: {len(findings) - errors}",
        *(str(finding) for finding in findings),
    ]
    if differences is not None:
        lines.append(f"differences from {in_force}: {len(differences)}")
        lines += [str(difference) for difference in differences]
    context.show(value, "\n".join(lines))
    if errors:
        sys.exit(ExitCode.FAILED)


@config.command()
@click.option("--revision", type=click.IntRange(1), default=None)
@pass_context
def show(context: Context, revision: int | None) -> None:
    """Show a revision, by default the latest."""
    with context.client() as client:
        found = client.revision(revision or 0)
    if found is None:
        context.show(None, "no configuration has been applied yet")
        return
    heading = (
        f"revision {found['number']}, {utc(found['at_s'])} UTC, by "
        f"{found['author']}: {found['note']}"
    )
    context.show(found, f"{heading}\n{encode(found['config'])}")


@config.command()
@files_argument
@click.option("--dry-run", is_flag=True, help="Only show the change.")
@click.option("--note", default="", help="Your reason, for the history.")
@based_on_option
@request_token_option
@yes_option
@pass_context
def apply(
    context: Context,
    paths: tuple[Path, ...],
    dry_run: bool,
    note: str,
    based_on: int | None,
    request_token: str,
    yes: bool,
) -> None:
    """Show what files would change and make the change."""
    with context.reporting():
        site = load_site(paths)
    with context.client() as client:
        change = {
            "config": site,
            "based_on": _seen(client, based_on),
            "note": note,
            "token": request_token or secrets.token_hex(TOKEN_BYTES),
        }
        if dry_run:
            _plan(context, client, change)
            return
        if not (yes or request_token or context.as_json):
            _plan(context, client, change)
            click.confirm("Make this change?", abort=True)
        found = send_until_settled(client.apply_config, change)
    context.show(found, f"revision {found['revision']} is accepted")


@config.command()
@pass_context
def history(context: Context) -> None:
    """List the revisions."""
    with context.client() as client:
        found = client.history()
    rows = [{**item, "at": utc(item["at_s"])} for item in found]
    context.show(found, table(rows, HISTORY_COLUMNS))


@config.command()
@click.argument("number", type=click.IntRange(1))
@based_on_option
@request_token_option
@pass_context
def rollback(
    context: Context, number: int, based_on: int | None, request_token: str
) -> None:
    """Bring revision NUMBER back, as a new revision."""
    with context.client() as client:
        wish = {
            "to": number,
            "based_on": _seen(client, based_on),
            "token": request_token or secrets.token_hex(TOKEN_BYTES),
        }
        found = send_until_settled(client.roll_back, wish)
    text = f"revision {found['revision']} brings {number} back"
    context.show(found, text)


@config.command()
@pass_context
def status(context: Context) -> None:
    """Show which process runs which revision."""
    with context.client() as client:
        found = client.json("GET", "/v1/config/status")
    rows = [
        {"process": name, "revision": number}
        for name, number in sorted(found["in_force"].items())
    ]
    listing = table(rows, ("process", "revision"))
    context.show(found, f"latest revision: {found['head']}\n{listing}")


def _read_row(context: Context, file: BinaryIO) -> tuple[bytes, int]:
    """Return a configuration row and its version.

    An unreadable file ends the command. The message shows none of the
    file's content, which may be an API key.
    """
    try:
        body = file.read()
        return body, read_version(body)
    except OSError as error:
        raise click.UsageError(f"{file.name}: {error}") from error
    except MalformedDataError as error:
        named = MalformedDataError(f"{file.name}: {error.message}")
        report_failure(named, context.as_json)
        sys.exit(ExitCode.USAGE)


def _seen(client: Client, based_on: int | None) -> int:
    """Return the revision that the change is based on."""
    if based_on is not None:
        return based_on
    head = client.revision()
    return 0 if head is None else int(head["number"])


def _plan(context: Context, client: Client, change: dict[str, Any]) -> None:
    """Show what a change would do; end the command if it is refused."""
    plan = client.apply_config({**change, "dry_run": True})
    based_on = change["based_on"]
    value = {"based_on": based_on, **plan}
    context.show(value, f"based on revision {based_on}:\n{plan['text']}")
    _exit_if(plan["problems"])


def _problem_text(problems: list[str]) -> str:
    return "\n".join(f"would break: {problem}" for problem in problems)


def _exit_if(problems: list[str]) -> None:
    if problems:
        sys.exit(ExitCode.REFUSED)

"""Options that all operator's and caller's commands share."""

from __future__ import annotations

import sys
from contextlib import contextmanager
from datetime import datetime
from datetime import UTC
from enum import IntEnum
from typing import Any
from typing import TYPE_CHECKING

import attrs
import click
import msgspec

from filbertlb.client import CallFailedError
from filbertlb.client import open_client
from filbertlb.errors import FilbertlbError
from filbertlb.errors import Ran

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping
    from collections.abc import Sequence

    from filbertlb.client import Client


class ExitCode(IntEnum):
    """Exit codes of the commands; ``docs/cli.md`` explains them."""

    OK = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    UNKNOWN = 4
    UNAVAILABLE = 5


@attrs.frozen
class Context:
    """Where the commands call, and how they print.

    Parameters
    ----------
    url : str
        Base URL of an entry or of the balancer.
    token : str
        Token of the caller or operator.
    as_json : bool
        Print JSON for programs.
    organisation : str
        Organisation that an operator acts for.
    """

    url: str
    token: str
    as_json: bool
    organisation: str = ""

    @contextmanager
    def client(self) -> Iterator[Client]:
        """Yield a client; a failure ends the command with its code."""
        with self.reporting(), open_client(self.url, self.token) as client:
            yield client

    @contextmanager
    def reporting(self) -> Iterator[None]:
        """End the command with the code of a failure in the block."""
        try:
            yield
        except FilbertlbError as error:
            report_failure(error, self.as_json)
            sys.exit(exit_code(error))

    def show(self, value: Any, text: str) -> None:
        """Print a value as JSON, or its text for people."""
        click.echo(encode(value) if self.as_json else text)


pass_context = click.make_pass_decorator(Context)


def encode(value: Any) -> str:
    """Return a value as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


def exit_code(error: FilbertlbError) -> ExitCode:
    """Return the exit code that tells a failure."""
    if error.ran == Ran.UNKNOWN:
        return ExitCode.UNKNOWN
    status = error.status
    if isinstance(error, CallFailedError):
        status = error.http_status
    if status >= 500:
        return ExitCode.UNAVAILABLE
    return ExitCode.REFUSED


def report_failure(error: FilbertlbError, as_json: bool) -> None:
    """Print a failure with its code on standard error."""
    code = error.code
    if isinstance(error, CallFailedError):
        code = error.server_code
    details = {"code": code, "message": error.message, "ran": error.ran}
    text = f"{code}: {error.message} (ran: {error.ran.value})"
    click.echo(encode({"error": details}) if as_json else text, err=True)


def utc(at_s: float) -> str:
    """Return seconds since the Unix epoch as a date and time."""
    return datetime.fromtimestamp(at_s, UTC).strftime("%Y-%m-%d %H:%M:%S")


def table(rows: Sequence[Mapping[str, Any]], columns: Sequence[str]) -> str:
    """Return rows as aligned text with a heading."""
    cells = [[str(row.get(name, "")) for name in columns] for row in rows]
    lines = [list(columns), *cells]
    widths = [max(len(line[i]) for line in lines) for i in range(len(columns))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )

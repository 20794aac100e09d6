"""Repeats a change of the configuration until its outcome is known."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import click
from gevent import sleep

from filbertlb.errors import FilbertlbError
from filbertlb.errors import Ran

if TYPE_CHECKING:
    from collections.abc import Callable

SEND_ATTEMPTS = 4
RETRY_S = 0.5


def send_until_settled(
    send: Callable[[dict[str, Any]], dict[str, Any]], change: dict[str, Any]
) -> dict[str, Any]:
    """Send one change, with its token, until its outcome is known.

    Raises
    ------
    FilbertlbError
        The last failure; if its outcome is unknown, the way to repeat
        the very same change is printed first.
    """
    for attempt in range(1, SEND_ATTEMPTS + 1):
        try:
            return send(change)
        except FilbertlbError as error:
            if error.ran != Ran.UNKNOWN:
                raise
            if attempt == SEND_ATTEMPTS:
                _tell_how_to_repeat(change)
                raise
            sleep(RETRY_S)
    raise AssertionError("not reached")


def _tell_how_to_repeat(change: dict[str, Any]) -> None:
    click.echo(
        "repeat the same command with "
        f"--based-on {change['based_on']} --request-token {change['token']}",
        err=True,
    )

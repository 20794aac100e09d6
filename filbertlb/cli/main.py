"""The ``filbertlb`` command."""

from __future__ import annotations

import click

from filbertlb import __version__
from filbertlb.cli.audit import audit
from filbertlb.cli.config import config
from filbertlb.cli.context import Context
from filbertlb.cli.demo import demo
from filbertlb.cli.endpoints import endpoint
from filbertlb.cli.jobs import job
from filbertlb.cli.organisations import organisation
from filbertlb.cli.platform import platform
from filbertlb.cli.roles import agent
from filbertlb.cli.roles import entry
from filbertlb.cli.standin import standin
from filbertlb.cli.status import status
from filbertlb.cli.tokens import token

DEFAULT_URL = "http://127.0.0.1:8080"


@click.group()
@click.version_option(__version__)
@click.option(
    "--url",
    envvar="FILBERTLB_URL",
    default=DEFAULT_URL,
    show_default=True,
    help="An entry instance or the balancer before several.",
)
@click.option(
    "--token",
    envvar="FILBERTLB_TOKEN",
    default="",
    help="Token of the caller or operator.",
)
@click.option(
    "--organisation", default="", help="Organisation an operator acts for."
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_context
def main(
    ctx: click.Context, url: str, token: str, organisation: str, as_json: bool
) -> None:
    """Scheduler for multi-accelerator jobs under guarantees.

    Exit codes: 0 done, 1 the job, the demo or a check failed, 2 wrong
    usage, 3 refused, 4 outcome unknown (ask again), 5 not available
    (nothing was done; try again).
    """
    ctx.obj = Context(url, token, as_json, organisation)


COMMANDS = (
    agent,
    audit,
    config,
    demo,
    endpoint,
    entry,
    job,
    organisation,
    platform,
    standin,
    status,
    token,
)
for command in COMMANDS:
    main.add_command(command)


if __name__ == "__main__":
    main()

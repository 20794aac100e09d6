"""Commands that run the roles."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any
from typing import TYPE_CHECKING

import click

from filbertlb.agent.app import AgentSetup
from filbertlb.agent.app import open_runner_agent
from filbertlb.agent.app import open_worker_agent
from filbertlb.api.auth import TokenRecord
from filbertlb.backend.http import HttpRunner
from filbertlb.backend.http import HttpWorker
from filbertlb.cli.context import encode
from filbertlb.cli.context import exit_code
from filbertlb.cli.context import report_failure
from filbertlb.core.clock import SystemClock
from filbertlb.entry.app import open_entry
from filbertlb.entry.setup import EntrySetup
from filbertlb.errors import FilbertlbError
from filbertlb.errors import InvalidInputError
from filbertlb.lifecycle import serve_until_stopped
from filbertlb.logs import logging_to
from filbertlb.messages import Role
from filbertlb.settings.load import load_settings
from filbertlb.settings.process import ProcessRole
from filbertlb.settings.process import ProcessSettings
from filbertlb.table.http import HttpTable
from filbertlb.transport.codec import KeyRing
from filbertlb.transport.codec import MessageCodec

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import AbstractContextManager


settings_option = click.option(
    "--settings",
    "paths",
    multiple=True,
    required=True,
    type=click.Path(path_type=Path),
    help="Settings file; repeat for overlays, later ones win.",
)


class WrongRoleError(InvalidInputError):
    """The settings are for another role than the command."""

    code = "wrong_role"


@click.command()
@settings_option
def entry(paths: tuple[Path, ...]) -> None:
    """Run an entry instance."""
    _run(paths, ProcessRole.ENTRY, _serve_entry)


@click.command()
@settings_option
def agent(paths: tuple[Path, ...]) -> None:
    """Run the agent beside a runner or a worker."""
    _run(paths, ProcessRole.AGENT, _serve_agent)


def _run(
    paths: tuple[Path, ...],
    role: ProcessRole,
    serve: Callable[[ProcessSettings], int],
) -> None:
    try:
        settings = load_settings(paths, ProcessSettings)
        if settings.role != role:
            raise WrongRoleError(
                f"the settings are for role {settings.role.value!r}; run "
                f"'filbertlb {settings.role.value}'"
            )
        with logging_to(settings.logs):
            code = serve(settings)
    except FilbertlbError as error:
        report_failure(error, as_json=False)
        sys.exit(exit_code(error))
    sys.exit(code)


def _serve_entry(settings: ProcessSettings) -> int:
    setup = EntrySetup(
        entry_id=settings.instance_id,
        host=settings.address,
        failure_domain=settings.failure_domain,
        http_port=settings.http_port,
        link_port=settings.link_port,
        scope=settings.region,
        limits=settings.limits,
        operator=_operator(settings),
    )
    clock = SystemClock()
    with open_entry(setup, _table(settings), _codec(settings), clock) as one:
        _tell({"url": one.url, "link": one.link.address})
        return serve_until_stopped(one, clock, settings.limits.drain_s)


def _serve_agent(settings: ProcessSettings) -> int:
    endpoint = settings.endpoint
    assert endpoint is not None
    setup = AgentSetup(
        endpoint_id=endpoint.endpoint_id,
        host=settings.address,
        region=settings.region,
        failure_domain=settings.failure_domain,
        rack=settings.rack,
        link_port=settings.link_port,
        slots=endpoint.slots,
        capacity=endpoint.capacity,
        usage_lag_s=endpoint.usage_lag_s,
    )
    clock = SystemClock()
    opened: AbstractContextManager[Any]
    if endpoint.role == Role.RUNNER:
        opened = open_runner_agent(
            setup,
            HttpRunner(endpoint.backend_url),
            _table(settings),
            _codec(settings),
            clock,
        )
    else:
        opened = open_worker_agent(
            setup,
            HttpWorker(endpoint.backend_url),
            _table(settings),
            _codec(settings),
            clock,
        )
    with opened as one:
        _tell({"endpoint_id": endpoint.endpoint_id})
        return serve_until_stopped(one, clock, settings.limits.drain_s)


def _operator(settings: ProcessSettings) -> TokenRecord | None:
    if not settings.operator_token_hash:
        return None
    token_id, _, digest = settings.operator_token_hash.partition(":")
    return TokenRecord(token_id, digest, operator=True)


def _table(settings: ProcessSettings) -> HttpTable:
    return HttpTable(settings.table_url, settings.table_timeout_s)


def _codec(settings: ProcessSettings) -> MessageCodec:
    return MessageCodec(KeyRing.parse(settings.keys))


def _tell(value: dict[str, Any]) -> None:
    """Print one line of JSON once the role serves."""
    click.echo(encode(value).replace("\n", ""))

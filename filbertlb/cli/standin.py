"""The command that serves a stand-in until it is told to stop."""

from __future__ import annotations

from contextlib import contextmanager
from json import dumps
from signal import SIGINT
from signal import SIGTERM
from typing import TYPE_CHECKING

import click
import gevent
from gevent.event import Event

from filbertlb.standin.endpoint import runner_service
from filbertlb.standin.endpoint import worker_service
from filbertlb.standin.platform import platform_service
from filbertlb.standin.wsgi import serving

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from filbertlb.typedserver import Service

MAX_PORT = 65535

_service_by_kind: dict[str, Callable[[], Service]] = {
    "platform": platform_service,
    "runner": runner_service,
    "worker": worker_service,
}


@click.command()
@click.argument(
    "kind", type=click.Choice(list(_service_by_kind)), default="platform"
)
@click.option(
    "--host",
    default="127.0.0.1",
    show_default=True,
    help="IP number to listen on.",
)
@click.option(
    "--port",
    default=0,
    show_default=True,
    type=click.IntRange(0, MAX_PORT),
    help="Port; 0 lets the system choose.",
)
def standin(kind: str, host: str, port: int) -> None:
    """Serve a small stand-in of the platform, a runner or a worker.

    Prints its URL as JSON, then runs until SIGTERM or SIGINT. It keeps
    everything in memory: for tests and trials only.
    """
    service = _service_by_kind[kind]()
    with stop_event() as stop, serving(service, host, port) as url:
        click.echo(dumps({"url": url}))
        stop.wait()


@contextmanager
def stop_event() -> Iterator[Event]:
    """Yield an event that SIGTERM and SIGINT set."""
    stop = Event()
    handlers = [
        gevent.signal_handler(number, stop.set) for number in (SIGTERM, SIGINT)
    ]
    try:
        yield stop
    finally:
        for handler in handlers:
            handler.cancel()

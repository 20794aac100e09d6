"""What both roles on the platform share: listeners, the table, signals."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import attrs
from gevent import signal_handler
from gevent.event import Event
from loguru import logger

from filbertlb.addresses import split_address
from filbertlb.admission import Admission
from filbertlb.admission import AnswerBudget
from filbertlb.admission import machine_bounds
from filbertlb.batch.model import WORKER_PARTITIONS
from filbertlb.batch.model import WORKER_TABLE
from filbertlb.errors import FilbertlbError
from filbertlb.httpserver import serving_http
from filbertlb.platform.settings import load_settings_file
from filbertlb.platform.store import PlatformTable
from filbertlb.settings.process import Limits
from filbertlb.table.base import TransactionLimits

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence
    from contextlib import ExitStack

    from filbertlb.platform.settings import Settings

DRAIN_S = 2.5
METRICS_OFFSET = 1
"""The deploy file declares the second port of the range for metrics."""
LIMITS = Limits(drain_s=DRAIN_S, connection_idle_s=30.0)
MAIN_LISTENER_SHARE = 5 / 8
"""Share of the connections for callers of an entry or an agent's worker.

The rest is divided among the other listeners, so that a crowd at one of
them leaves those of operators and other entries reachable.
"""


def open_admission(settings: Settings) -> Admission:
    """Return the budget for requests that the machine allows."""
    bounds = machine_bounds(settings.memory_bytes, settings.descriptors)
    return Admission(bounds.held_bytes)


def open_answers(settings: Settings) -> AnswerBudget:
    """Return the budget for answers to calls that the machine allows."""
    bounds = machine_bounds(settings.memory_bytes, settings.descriptors)
    return AnswerBudget(bounds.answer_bytes, bounds.answers_bytes)


def serve(
    stack: ExitStack,
    settings: Settings,
    admission: Admission,
    listeners: Sequence[tuple[str, Callable[..., Iterable[bytes]]]],
) -> None:
    """Serve applications at their addresses, the main listener first.

    All listeners share one budget; each has connections of its own.
    """
    bounds = machine_bounds(settings.memory_bytes, settings.descriptors)
    main = int(bounds.connections * MAIN_LISTENER_SHARE)
    other = (bounds.connections - main) // (len(listeners) - 1)
    for number, (address, application) in enumerate(listeners):
        connections = other if number else min(main, LIMITS.connections)
        limits = attrs.evolve(LIMITS, connections=connections)
        host, port = split_address(address)
        stack.enter_context(
            serving_http(application, host, port, limits, admission)
        )


def open_table(settings: Settings, answers: AnswerBudget) -> PlatformTable:
    """Return the table service of the platform."""
    return PlatformTable(
        settings.store_address,
        {WORKER_TABLE: WORKER_PARTITIONS},
        TransactionLimits(row_bytes=settings.store_row_bytes),
        answers,
    )


def stop_event(settings: Settings) -> Event:
    """Return an event that SIGTERM and SIGINT set; SIGHUP checks settings."""
    event = Event()
    signal_handler(signal.SIGHUP, _check_settings, settings)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal_handler(number, event.set)
    return event


def port_range_address(settings: Settings, offset: int) -> str:
    """Return the address at an offset into this process's port range."""
    return f"{settings.ip}:{settings.first_port + offset}"


def _check_settings(settings: Settings) -> None:
    """Read the settings file again and log whether it has changed.

    All settings take effect only at a restart, so none is applied here.
    """
    try:
        changed = load_settings_file() != settings
    except FilbertlbError as error:
        logger.error("cannot reload settings, keeping current ones: {}", error)
        return
    if changed:
        logger.warning("settings changed; restart to apply them")
    else:
        logger.info("settings reloaded, no changes")

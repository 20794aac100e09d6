"""Entry on the platform: serves callers and decides while it leads."""

from __future__ import annotations

from contextlib import ExitStack
from typing import TYPE_CHECKING

from gevent import sleep
from loguru import logger

from filbertlb.batch.configuration import CurrentConfiguration
from filbertlb.batch.decider import Decider
from filbertlb.batch.forwarding import JobForwarder
from filbertlb.batch.index import JobIndex
from filbertlb.batch.model import STATE_TABLE
from filbertlb.batch.peers import Peers
from filbertlb.batch.placing_context import CheckpointCosts
from filbertlb.batch.row_exchange import RowExchange
from filbertlb.batch.service import JobService
from filbertlb.core.clock import SystemClock
from filbertlb.metrics_page import AdmissionSampler
from filbertlb.metrics_page import ContactSampler
from filbertlb.metrics_page import MetricsPage
from filbertlb.metrics_page import TransferSampler
from filbertlb.platform.configuration_source import configuration_source
from filbertlb.platform.entry_metrics import ConfigurationSampler
from filbertlb.platform.entry_metrics import DeciderSampler
from filbertlb.platform.entry_metrics import JobSampler
from filbertlb.platform.evacuation import EvacuationReader
from filbertlb.platform.evacuation import new_evacuations
from filbertlb.platform.http import json_application
from filbertlb.platform.ingress import Ingress
from filbertlb.platform.process import METRICS_OFFSET
from filbertlb.platform.process import open_admission
from filbertlb.platform.process import open_answers
from filbertlb.platform.process import open_table
from filbertlb.platform.process import port_range_address
from filbertlb.platform.process import serve
from filbertlb.platform.process import stop_event
from filbertlb.platform.readiness import Readiness
from filbertlb.platform.settings import QueueOrder
from filbertlb.platform.store import READ_TIMEOUT_S
from filbertlb.table.contact import FollowerContact
from filbertlb.table.contact import PromptContact
from filbertlb.table.mirror import Follower
from filbertlb.table.mirror import Mirror
from filbertlb.tasks import running_all
from filbertlb.typedserver import Service

if TYPE_CHECKING:
    from collections.abc import Callable

    from filbertlb.platform.configuration_source import ConfigurationSource
    from filbertlb.platform.settings import Settings
    from filbertlb.platform.store import PlatformTable

READINESS_DRAIN_S = 2.3
"""Time for which a stopping entry still serves while it reports unready.

The load balancer probes every second and removes an entry after two failed
probes.
"""
FAST_MACHINE_CORES = 1.0
"""Processor of a machine that should decide for a site."""
PEER_OFFSET = 2
"""Offset into the port range at which other entries are served."""


def run_entry(settings: Settings) -> None:
    """Run an entry: serve callers; schedule jobs while it holds the lease."""
    clock = SystemClock()
    answers = open_answers(settings)
    table = open_table(settings, answers)
    admission = open_admission(settings)
    index, mirror = JobIndex(), Mirror()
    mirror.add_listener(index.apply_row)
    state_follower = Follower(table, STATE_TABLE, mirror, clock)
    contact = PromptContact(
        FollowerContact(state_follower), table.response, READ_TIMEOUT_S
    )
    peers = Peers(
        settings.node,
        port_range_address(settings, PEER_OFFSET),
        mirror,
        answers,
    )
    exchange = RowExchange(peers, answers, table.transfers)
    source = configuration_source(
        table, exchange, CurrentConfiguration(), clock
    )
    evacuations = _evacuation_reader(settings, source.follower)
    decider = _decider(
        settings, table, state_follower, index, source, evacuations
    )
    page = MetricsPage(
        "entry",
        settings.node,
        (
            JobSampler(index),
            DeciderSampler(decider, settings.region),
            ConfigurationSampler(source, evacuations),
            ContactSampler(contact),
            AdmissionSampler(admission, answers),
            TransferSampler(table.transfers),
        ),
    )
    service = JobService(table, mirror, index, clock)
    forwarder = JobForwarder(service, peers, contact)
    peer_service = Service({**exchange.handlers(), **forwarder.handlers()})
    ingress = Ingress(
        forwarder, source.in_force, source.may_be_behind, clock, page.observe
    )
    stopping = stop_event(settings)
    readiness = Readiness(contact, source, stopping)
    tasks: list[Callable[[], None]] = [
        state_follower.run,
        *source.tasks(),
        decider.keep_lease,
        decider.run,
        lambda: peers.announce(table),
        page.load_soon,
    ]
    if evacuations is not None:
        poll = evacuations.poll
        tasks.append(lambda: poll(lambda: decider.deciding))
    metrics_address = port_range_address(settings, METRICS_OFFSET)
    listeners = (
        (settings.client_address, json_application(ingress.handle)),
        (settings.readiness_address, json_application(readiness.handle)),
        (metrics_address, page.application),
        (peers.address, peer_service),
    )
    with ExitStack() as stack:
        stack.enter_context(running_all(tasks))
        serve(stack, settings, admission, listeners)
        logger.info("entry {} serves", settings.node)
        stopping.wait()
        logger.info("entry {} leaves", settings.node)
        decider.step_down()
        sleep(READINESS_DRAIN_S)
    logger.info("entry {} stopped", settings.node)


def _decider(
    settings: Settings,
    table: PlatformTable,
    state_follower: Follower,
    index: JobIndex,
    source: ConfigurationSource,
    evacuations: EvacuationReader | None,
) -> Decider:
    """Return a decider that follows the entry's copies of the tables."""
    return Decider(
        table,
        state_follower.mirror,
        index,
        state_follower.clock,
        settings.node,
        settings.region,
        source.in_force.guaranteed,
        table.limits,
        slow=settings.processor_cores < FAST_MACHINE_CORES,
        run_times=settings.run_times,
        checkpoints=CheckpointCosts(
            interval_ms=int(settings.checkpoint_interval_s * 1000),
            restore_ms=settings.restore_ms,
        ),
        evacuations=evacuations,
        by_benefit=settings.queue_order is QueueOrder.BENEFIT,
    )


def _evacuation_reader(
    settings: Settings, follower: Follower
) -> EvacuationReader | None:
    """Return a reader of evacuation requests where there can be any."""
    if not settings.evacuate_ms:
        return None
    evacuations = new_evacuations(settings.evacuate_ms)
    return EvacuationReader(
        evacuations, follower.table, follower, follower.clock
    )

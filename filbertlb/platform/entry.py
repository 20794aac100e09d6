"""Entry on the platform: serves callers and decides while it leads."""

from __future__ import annotations

from collections import Counter
from contextlib import ExitStack
from typing import TYPE_CHECKING

from gevent import sleep
from loguru import logger

from filbertlb.batch.configuration import CurrentConfiguration
from filbertlb.batch.decider import Decider
from filbertlb.batch.forwarding import JobForwarder
from filbertlb.batch.index import JobIndex
from filbertlb.batch.model import JobState
from filbertlb.batch.model import STATE_TABLE
from filbertlb.batch.peers import Peers
from filbertlb.batch.placing_context import CheckpointCosts
from filbertlb.batch.queue_report import WaitReason
from filbertlb.batch.row_exchange import RowExchange
from filbertlb.batch.service import JobService
from filbertlb.core.clock import SystemClock
from filbertlb.metrics_page import AdmissionSampler
from filbertlb.metrics_page import GrowthSampler
from filbertlb.metrics_page import MetricsPage
from filbertlb.metrics_page import TransferSampler
from filbertlb.platform.configuration import ConfigurationCurrency
from filbertlb.platform.configuration import ConfigurationReader
from filbertlb.platform.configuration import OPERATOR_TABLE
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
from filbertlb.table.contact import FollowerContact
from filbertlb.table.mirror import Follower
from filbertlb.table.mirror import Mirror
from filbertlb.tasks import running_all
from filbertlb.typedserver import Service

if TYPE_CHECKING:
    from collections.abc import Callable

    from filbertlb.metrics import Metrics
    from filbertlb.platform.settings import Settings

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
    sampler = AdmissionSampler(admission, answers)
    transfers = TransferSampler(table.transfers)
    index, mirror, in_force = JobIndex(), Mirror(), CurrentConfiguration()
    mirror.add_listener(index.apply_row)
    state_follower = Follower(table, STATE_TABLE, mirror, clock)
    contact = FollowerContact(state_follower)
    operator_mirror = Mirror()
    peers = Peers(
        settings.node,
        port_range_address(settings, PEER_OFFSET),
        mirror,
        answers,
    )
    exchange = RowExchange(peers, answers, table.transfers)
    reader = ConfigurationReader(in_force, exchange)
    operator_mirror.add_listener(reader.on_row)
    operator_follower = Follower(table, OPERATOR_TABLE, operator_mirror, clock)
    operator_contact = FollowerContact(operator_follower)
    currency = ConfigurationCurrency(operator_contact, exchange)
    evacuation_reader = _evacuation_reader(settings, operator_follower)
    decider = Decider(
        table,
        mirror,
        index,
        clock,
        settings.node,
        settings.region,
        in_force.guaranteed,
        table.limits,
        slow=settings.processor_cores < FAST_MACHINE_CORES,
        run_times=settings.run_times,
        checkpoints=CheckpointCosts(
            interval_ms=int(settings.checkpoint_interval_s * 1000),
            restore_ms=settings.restore_ms,
        ),
        evacuations=evacuation_reader,
        by_benefit=settings.queue_order is QueueOrder.BENEFIT,
    )
    lost_work, failed_jobs = GrowthSampler("cause"), GrowthSampler("cause")
    run_ends, failed_runs = GrowthSampler("cause"), GrowthSampler("unit")
    stopping = stop_event(settings)

    def sample(metrics: Metrics) -> None:
        counts = Counter(index.state(job_id) for job_id in index.jobs)
        metrics.queued_jobs.set(counts[JobState.QUEUED])
        metrics.running_jobs.set(counts[JobState.ACTIVE])
        waiting = decider.waiting_groups
        for reason in WaitReason:
            metrics.waiting_groups.set(
                waiting.get(reason.value, 0), {"reason": reason.value}
            )
        metrics.leader.set(int(decider.deciding), {"scope": settings.region})
        lost_work.sample(metrics.lost_core_seconds, decider.lost_core_s)
        failed_jobs.sample(metrics.failed_jobs, decider.failed_jobs)
        run_ends.sample(metrics.run_ends, decider.run_ends)
        failed_runs.sample(metrics.failed_runs, decider.failed_runs)
        decider.sample(metrics)
        metrics.revision.set(in_force.version)
        metrics.revision_row.set(exchange.version)
        metrics.heard_revision_row.set(exchange.heard_version)
        if evacuation_reader is not None:
            evacuations = evacuation_reader.current()
            metrics.evacuated_domains.set(len(evacuations.version_by_domain))
        metrics.contact_age_s.set(contact.age_s)
        sampler.sample(metrics)
        transfers.sample(metrics)

    page = MetricsPage("entry", settings.node, sample)
    service = JobService(table, mirror, index, clock)
    forwarder = JobForwarder(service, peers, contact)
    peer_service = Service({**exchange.handlers(), **forwarder.handlers()})
    ingress = Ingress(
        forwarder, in_force, currency.may_be_behind, clock, page.observe
    )
    readiness = Readiness(contact, in_force, exchange, stopping)

    tasks: list[Callable[[], None]] = [
        state_follower.run,
        operator_follower.run,
        decider.keep_lease,
        decider.run,
        lambda: reader.ask_entries(exchange, operator_contact),
        lambda: peers.announce(table),
        page.load_soon,
    ]
    if evacuation_reader is not None:
        poll = evacuation_reader.poll
        tasks.append(lambda: poll(lambda: decider.deciding))
    with ExitStack() as stack:
        stack.enter_context(running_all(tasks))
        serve(
            stack,
            settings,
            admission,
            (
                (settings.client_address, json_application(ingress.handle)),
                (
                    settings.readiness_address,
                    json_application(readiness.handle),
                ),
                (
                    port_range_address(settings, METRICS_OFFSET),
                    page.application,
                ),
                (peers.address, peer_service),
            ),
        )
        logger.info("entry {} serves", settings.node)
        stopping.wait()
        logger.info("entry {} leaves", settings.node)
        decider.step_down()
        sleep(READINESS_DRAIN_S)
    logger.info("entry {} stopped", settings.node)


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

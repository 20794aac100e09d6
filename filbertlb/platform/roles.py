"""Main functions of the two roles on the platform, entry and agent."""

from __future__ import annotations

import signal
from collections import Counter
from contextlib import ExitStack
from typing import TYPE_CHECKING

import attrs
from gevent import signal_handler
from gevent import sleep
from gevent.event import Event
from loguru import logger

from filbertlb.addresses import split_address
from filbertlb.admission import Admission
from filbertlb.admission import AnswerBudget
from filbertlb.admission import machine_bounds
from filbertlb.batch.agent import Agent
from filbertlb.batch.configuration import CurrentConfiguration
from filbertlb.batch.decider import Decider
from filbertlb.batch.forwarding import JobForwarder
from filbertlb.batch.index import JobIndex
from filbertlb.batch.model import JobState
from filbertlb.batch.model import STATE_TABLE
from filbertlb.batch.model import WORKER_PARTITIONS
from filbertlb.batch.model import WORKER_TABLE
from filbertlb.batch.peers import Peers
from filbertlb.batch.placing_context import CheckpointCosts
from filbertlb.batch.queue_report import WaitReason
from filbertlb.batch.service import JobService
from filbertlb.core.clock import SystemClock
from filbertlb.errors import FilbertlbError
from filbertlb.httpserver import serving_http
from filbertlb.metrics_page import MetricsPage
from filbertlb.metrics_page import sample_admission
from filbertlb.platform.configuration import ConfigurationReader
from filbertlb.platform.configuration import OPERATOR_TABLE
from filbertlb.platform.evacuation import EvacuationReader
from filbertlb.platform.evacuation import new_evacuations
from filbertlb.platform.heartbeats import HeartbeatReceiver
from filbertlb.platform.http import json_application
from filbertlb.platform.http import JsonResponse
from filbertlb.platform.ingress import Ingress
from filbertlb.platform.runner import PlatformWorkerClient
from filbertlb.platform.settings import load_settings_file
from filbertlb.platform.settings import QueueOrder
from filbertlb.platform.store import PlatformTable
from filbertlb.settings.process import Limits
from filbertlb.table.base import TransactionLimits
from filbertlb.table.mirror import Follower
from filbertlb.table.mirror import Mirror
from filbertlb.tasks import running_all
from filbertlb.typedserver import Service

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence
    from typing import Any

    from filbertlb.metrics import Metrics
    from filbertlb.platform.settings import Settings
    from filbertlb.platform.wire import Heartbeat

UNREADY_AFTER_S = 1.0
"""Time without a table reply after which a failed call makes an entry unready.

An unready entry forwards submissions to other entries or rejects them at
once, and the load balancer uses other entries. A single reset connection
must not cause this.
"""
READINESS_DRAIN_S = 2.3
"""Time for which a stopping entry still serves while it reports unready.

The load balancer probes every second and removes an entry after two failed
probes.
"""
DRAIN_S = 2.5
FAST_MACHINE_CORES = 1.0
"""Processor of a machine that should decide for a site."""
METRICS_OFFSET = 1
"""The deploy file declares the second port of the range for metrics."""
PEER_OFFSET = 2
LIMITS = Limits(drain_s=DRAIN_S, connection_idle_s=30.0)
MAIN_LISTENER_SHARE = 5 / 8
"""Share of the connections for callers of an entry or an agent's worker.

The rest is divided among the other listeners, so that a crowd at one of
them leaves those of operators and other entries reachable.
"""


def run_entry(settings: Settings) -> None:
    """Run an entry: serve callers; schedule jobs while it holds the lease."""
    clock = SystemClock()
    answers = _open_answers(settings)
    table = _open_table(settings, answers)
    admission = _open_admission(settings)
    index, mirror, in_force = JobIndex(), Mirror(), CurrentConfiguration()
    mirror.add_listener(index.apply_row)
    state_follower = Follower(table, STATE_TABLE, mirror, clock)
    operator_mirror = Mirror()
    peers = Peers(
        settings.node, _port_range_address(settings, PEER_OFFSET), mirror
    )
    reader = ConfigurationReader(in_force, peers)
    operator_mirror.add_listener(reader.on_row)
    operator_follower = Follower(table, OPERATOR_TABLE, operator_mirror, clock)
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
    counted_core_s: dict[str, float] = {}
    stopping = _stop_event(settings)

    def available() -> bool:
        if not mirror.loaded:
            return False
        contact_age_s = clock.monotonic() - state_follower.contact_s
        return (
            state_follower.failure is None or contact_age_s < UNREADY_AFTER_S
        )

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
        for cause, core_s in decider.lost_core_s.items():
            metrics.lost_core_seconds.add(
                core_s - counted_core_s.get(cause, 0.0), {"cause": cause}
            )
            counted_core_s[cause] = core_s
        decider.sample(metrics)
        metrics.revision.set(in_force.version)
        if evacuation_reader is not None:
            evacuations = evacuation_reader.current()
            metrics.evacuated_domains.set(len(evacuations.version_by_domain))
        metrics.contact_age_s.set(clock.monotonic() - state_follower.contact_s)
        sample_admission(metrics, admission, answers)

    page = MetricsPage("entry", settings.node, sample)
    service = JobService(table, mirror, index, clock)
    forwarder = JobForwarder(service, peers, available)
    peer_service = Service({**peers.handlers(), **forwarder.handlers()})
    ingress = Ingress(forwarder, in_force, clock, page.observe)

    def handle_readiness(_: Mapping[str, Any]) -> JsonResponse:
        ready = available() and in_force.version >= 0
        return JsonResponse(200 if ready and not stopping.is_set() else 503)

    tasks: list[Callable[[], None]] = [
        state_follower.run,
        operator_follower.run,
        decider.keep_lease,
        decider.run,
        lambda: reader.poll(table),
        lambda: peers.announce(table),
        page.load_soon,
    ]
    if evacuation_reader is not None:
        poll = evacuation_reader.poll
        tasks.append(lambda: poll(lambda: decider.deciding))
    with ExitStack() as stack:
        stack.enter_context(running_all(tasks))
        _serve(
            stack,
            settings,
            admission,
            (
                (settings.client_address, json_application(ingress.handle)),
                (
                    settings.readiness_address,
                    json_application(handle_readiness),
                ),
                (
                    _port_range_address(settings, METRICS_OFFSET),
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


def run_agent(settings: Settings) -> None:
    """Run an agent: execute the orders for the worker on this machine."""
    clock = SystemClock()
    answers = _open_answers(settings)
    table = _open_table(settings, answers)
    admission = _open_admission(settings)
    worker = PlatformWorkerClient(settings.worker_address, clock, answers)
    agent = Agent(
        table, worker, clock, settings.node, settings.heartbeat_period_s
    )

    def on_heartbeat(heartbeat: Heartbeat) -> None:
        worker.on_heartbeat(heartbeat)
        agent.update_worker(heartbeat.worker)

    stopping = _stop_event(settings)
    application = json_application(
        HeartbeatReceiver(
            on_heartbeat,
            agent.worker_deregistered,
            clock,
            settings.heartbeat_period_s,
        ).handle
    )

    def run_until_superseded() -> None:
        agent.run()
        stopping.set()

    def sample(metrics: Metrics) -> None:
        agent.sample(metrics)
        sample_admission(metrics, admission, answers)

    page = MetricsPage("agent", settings.node, sample)
    with ExitStack() as stack:
        stack.enter_context(running_all((run_until_superseded,)))
        _serve(
            stack,
            settings,
            admission,
            (
                (settings.heartbeat_address, application),
                (
                    _port_range_address(settings, METRICS_OFFSET),
                    page.application,
                ),
            ),
        )
        logger.info("agent {} serves", settings.node)
        stopping.wait()
    logger.info("agent {} stopped", settings.node)


def _open_admission(settings: Settings) -> Admission:
    bounds = machine_bounds(settings.memory_bytes, settings.descriptors)
    return Admission(bounds.held_bytes)


def _open_answers(settings: Settings) -> AnswerBudget:
    bounds = machine_bounds(settings.memory_bytes, settings.descriptors)
    return AnswerBudget(bounds.answer_bytes, bounds.answers_bytes)


def _serve(
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


def _open_table(settings: Settings, answers: AnswerBudget) -> PlatformTable:
    return PlatformTable(
        settings.store_address,
        {WORKER_TABLE: WORKER_PARTITIONS},
        TransactionLimits(row_bytes=settings.store_row_bytes),
        answers,
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


def _stop_event(settings: Settings) -> Event:
    """Return an event that SIGTERM and SIGINT set; SIGHUP checks settings."""
    event = Event()
    signal_handler(signal.SIGHUP, _check_settings, settings)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal_handler(number, event.set)
    return event


def _port_range_address(settings: Settings, offset: int) -> str:
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

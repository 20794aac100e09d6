"""The two programs that run on the platform's machines."""

from __future__ import annotations

import signal
from collections import Counter
from contextlib import contextmanager
from contextlib import ExitStack
from typing import TYPE_CHECKING

from gevent import signal_handler
from gevent import sleep
from gevent import spawn
from gevent.event import Event
from loguru import logger

from filbertlb.batch.agent import Agent
from filbertlb.batch.configuration import InForce
from filbertlb.batch.decider import Decider
from filbertlb.batch.handover import Handover
from filbertlb.batch.index import JobIndex
from filbertlb.batch.model import JobState
from filbertlb.batch.model import STATE_TABLE
from filbertlb.batch.peers import Peers
from filbertlb.batch.service import JobService
from filbertlb.core.clock import SystemClock
from filbertlb.errors import FilbertlbError
from filbertlb.httpserver import serving_http
from filbertlb.metrics_page import MetricsPage
from filbertlb.platform.configuration import ConfigurationReader
from filbertlb.platform.configuration import OPERATOR_TABLE
from filbertlb.platform.heartbeats import HeartbeatReceiver
from filbertlb.platform.http import json_application
from filbertlb.platform.http import JsonResponse
from filbertlb.platform.http import split_address
from filbertlb.platform.ingress import Ingress
from filbertlb.platform.runner import PlatformWorkerClient
from filbertlb.platform.settings import load_settings_file
from filbertlb.platform.store import PlatformTable
from filbertlb.settings.process import Limits
from filbertlb.table.mirror import Follower
from filbertlb.table.mirror import Mirror
from filbertlb.typedserver import Service

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Mapping
    from typing import Any

    from filbertlb.metrics import Metrics
    from filbertlb.platform.settings import Settings
    from filbertlb.platform.wire import Heartbeat

UNREADY_AFTER_S = 1.0
"""Age of the table's last answer at which a failure counts.

Then submissions are refused at once and the balancer goes elsewhere; a
single reset connection is no reason.
"""
LEAVE_S = 2.3
"""The balancer looks each second and stops after two misses."""
DRAIN_S = 2.5
METRICS_OFFSET = 1
"""The deploy file names the second of the ports that are ours."""
PEER_OFFSET = 2
LIMITS = Limits(drain_s=DRAIN_S, connection_idle_s=30.0)


def run_entry(settings: Settings) -> None:
    """Serve callers, and place jobs while holding the lease."""
    clock = SystemClock()
    table = PlatformTable(settings.store_address)
    index, mirror, in_force = JobIndex(), Mirror(), InForce()
    mirror.listen(index.saw)
    jobs = Follower(table, STATE_TABLE, mirror, clock)
    operators = Mirror()
    peers = Peers(settings.node, _own_address(settings, PEER_OFFSET), mirror)
    reader = ConfigurationReader(in_force, peers)
    operators.listen(reader.on_row)
    decider = Decider(
        table,
        mirror,
        index,
        clock,
        settings.node,
        settings.region,
        in_force.guaranteed,
    )
    stopping = _stop_event(settings)

    def available() -> bool:
        if not mirror.loaded:
            return False
        silent_s = clock.monotonic() - jobs.contact_s
        return jobs.failure is None or silent_s < UNREADY_AFTER_S

    def sample(metrics: Metrics) -> None:
        counts = Counter(index.state(job_id) for job_id in index.jobs)
        metrics.queued_jobs.set(counts[JobState.QUEUED])
        metrics.running_jobs.set(counts[JobState.ACTIVE])
        metrics.leader.set(int(decider.deciding), {"scope": settings.region})
        metrics.revision.set(in_force.version)
        metrics.contact_age_s.set(clock.monotonic() - jobs.contact_s)

    page = MetricsPage("entry", settings.node, sample)
    service = JobService(table, mirror, index, clock)
    handover = Handover(service, peers, available)
    for_entries = Service({**peers.handlers(), **handover.handlers()})
    ingress = Ingress(handover, in_force, clock, page.observe)

    def ready(_: Mapping[str, Any]) -> JsonResponse:
        good = available() and in_force.version >= 0
        return JsonResponse(200 if good and not stopping.is_set() else 503)

    tasks = (
        jobs.run,
        Follower(table, OPERATOR_TABLE, operators, clock).run,
        decider.keep_lease,
        decider.run,
        lambda: reader.poll(table),
        lambda: peers.announce(table),
        page.load_soon,
    )
    with ExitStack() as stack:
        stack.enter_context(_running(tasks))
        for address, application in (
            (settings.client_address, json_application(ingress.handle)),
            (settings.readiness_address, json_application(ready)),
            (_own_address(settings, METRICS_OFFSET), page.application),
            (peers.address, for_entries),
        ):
            host, port = split_address(address)
            stack.enter_context(serving_http(application, host, port, LIMITS))
        logger.info("entry {} serves", settings.node)
        stopping.wait()
        logger.info("entry {} leaves", settings.node)
        decider.retire()
        sleep(LEAVE_S)
    logger.info("entry {} stopped", settings.node)


def run_agent(settings: Settings) -> None:
    """Run the orders of the worker on this machine."""
    clock = SystemClock()
    table = PlatformTable(settings.store_address)
    worker = PlatformWorkerClient(settings.worker_address, clock)
    agent = Agent(table, worker, clock, settings.node)

    def heard(heartbeat: Heartbeat) -> None:
        worker.on_heartbeat(heartbeat)
        agent.announced(heartbeat.worker)

    stopping = _stop_event(settings)
    host, port = split_address(settings.heartbeat_address)
    application = json_application(HeartbeatReceiver(heard, agent.left).handle)

    def serve() -> None:
        agent.run()
        stopping.set()

    page = MetricsPage("agent", settings.node, agent.sample)
    with (
        _running((serve,)),
        serving_http(application, host, port, LIMITS),
        serving_http(
            page.application,
            *split_address(_own_address(settings, METRICS_OFFSET)),
            LIMITS,
        ),
    ):
        logger.info("agent {} serves", settings.node)
        stopping.wait()
    logger.info("agent {} stopped", settings.node)


def _stop_event(settings: Settings) -> Event:
    event = Event()
    signal_handler(signal.SIGHUP, _reload, settings)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal_handler(number, event.set)
    return event


def _own_address(settings: Settings, offset: int) -> str:
    """Return an address on one of the ports that are ours."""
    return f"{settings.ip}:{settings.first_port + offset}"


@contextmanager
def _running(tasks: tuple[Callable[[], None], ...]) -> Iterator[None]:
    running = [spawn(task) for task in tasks]
    try:
        yield
    finally:
        for task in running:
            task.kill()


def _reload(settings: Settings) -> None:
    """Read the settings again; they hold only what needs a restart."""
    try:
        changed = load_settings_file() != settings
    except FilbertlbError as error:
        logger.error("settings not reloaded, the former hold: {}", error)
        return
    if changed:
        logger.warning("settings differ; they hold from the next start")
    else:
        logger.info("settings reloaded, nothing differs")

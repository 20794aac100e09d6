"""Agent on the platform: carries out orders beside one worker."""

from __future__ import annotations

from contextlib import ExitStack
from typing import TYPE_CHECKING

from loguru import logger

from filbertlb.batch.agent import Agent
from filbertlb.core.clock import SystemClock
from filbertlb.metrics_page import AdmissionSampler
from filbertlb.metrics_page import MetricsPage
from filbertlb.platform.heartbeats import HeartbeatReceiver
from filbertlb.platform.http import json_application
from filbertlb.platform.process import METRICS_OFFSET
from filbertlb.platform.process import open_admission
from filbertlb.platform.process import open_answers
from filbertlb.platform.process import open_table
from filbertlb.platform.process import port_range_address
from filbertlb.platform.process import serve
from filbertlb.platform.process import stop_event
from filbertlb.platform.runner import PlatformWorkerClient
from filbertlb.tasks import running_all

if TYPE_CHECKING:
    from filbertlb.platform.settings import Settings
    from filbertlb.platform.wire import Heartbeat


def run_agent(settings: Settings) -> None:
    """Run an agent: execute the orders for the worker on this machine."""
    clock = SystemClock()
    answers = open_answers(settings)
    table = open_table(settings, answers)
    admission = open_admission(settings)
    worker = PlatformWorkerClient(settings.worker_address, clock, answers)
    agent = Agent(
        *(table, worker, clock, settings.node),
        heartbeat_period_s=settings.heartbeat_period_s,
        max_lease_s=settings.max_lease_s,
    )

    def on_heartbeat(heartbeat: Heartbeat) -> None:
        worker.on_heartbeat(heartbeat)
        agent.update_worker(heartbeat.worker)

    stopping = stop_event(settings)
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

    samplers = (agent, AdmissionSampler(admission, answers))
    page = MetricsPage("agent", settings.node, samplers)
    with ExitStack() as stack:
        stack.enter_context(running_all((run_until_superseded,)))
        serve(
            stack,
            settings,
            admission,
            (
                (settings.heartbeat_address, application),
                (
                    port_range_address(settings, METRICS_OFFSET),
                    page.application,
                ),
            ),
        )
        logger.info("agent {} serves", settings.node)
        stopping.wait()
    logger.info("agent {} stopped", settings.node)

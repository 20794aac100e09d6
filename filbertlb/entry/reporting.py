"""Status and metrics of an entry."""

from __future__ import annotations

from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

import attrs

from filbertlb.messages import Role

if TYPE_CHECKING:
    from filbertlb.api.app import Application
    from filbertlb.core.clock import Clock
    from filbertlb.entry.admission_control import AdmissionController
    from filbertlb.entry.configuration import ConfigWatcher
    from filbertlb.entry.decider import Decider
    from filbertlb.entry.directory import Directory
    from filbertlb.entry.setup import EntrySetup
    from filbertlb.metrics import Metrics
    from filbertlb.transport.link import Link


class ReportedEntry(Protocol):
    """What is reported of an entry."""

    setup: EntrySetup
    clock: Clock
    link: Link
    watcher: ConfigWatcher
    directory: Directory
    decider: Decider
    gatekeeper: AdmissionController
    application: Application
    weight_by_id: dict[str, float]


def status_of(entry: ReportedEntry) -> dict[str, Any]:
    """Return the status of an instance for operators."""
    now_s = entry.clock.monotonic()
    return {
        "entry_id": entry.setup.entry_id,
        "scope": entry.setup.scope,
        "epoch": entry.decider.epoch,
        "revision": entry.watcher.number(),
        "standing": entry.watcher.revision_gate.standing(now_s),
        "guarantees_at_risk": entry.decider.risks(),
        "entries": entry.directory.entry_ids(),
        "endpoints": entry.directory.endpoint_ids(),
        "traffic": attrs.asdict(entry.link.traffic),
    }


def render_metrics(entry: ReportedEntry, metrics: Metrics) -> bytes:
    """Update the gauges and return the rendered metrics."""
    _set_traffic(entry, metrics)
    for role in Role:
        count = len(entry.directory.endpoints(role))
        metrics.endpoints.set(count, {"role": role.value})
    metrics.requests_in_flight.set(entry.application.in_flight)
    metrics.requests_waiting.set(entry.gatekeeper.waiting)
    metrics.revision.set(entry.watcher.number())
    scope = {"scope": entry.setup.scope}
    metrics.leader.set(int(entry.decider.epoch > 0), scope)
    queued, running = entry.decider.job_counts()
    metrics.queued_jobs.set(queued, scope)
    metrics.running_jobs.set(running, scope)
    _set_guarantees_at_risk(entry, metrics)
    return metrics.render()


def _set_traffic(entry: ReportedEntry, metrics: Metrics) -> None:
    traffic = entry.link.traffic
    for direction, frames, size in (
        ("in", traffic.frames_in, traffic.bytes_in),
        ("out", traffic.frames_out, traffic.bytes_out),
    ):
        label = {"direction": direction}
        metrics.frames.set(frames, label)
        metrics.frame_bytes.set(size, label)


def _set_guarantees_at_risk(entry: ReportedEntry, metrics: Metrics) -> None:
    missing_by_id = dict.fromkeys(entry.weight_by_id, 0)
    for risk in entry.decider.risks():
        subtotal = missing_by_id.get(risk.organisation_id, 0)
        missing_by_id[risk.organisation_id] = subtotal + risk.missing
    for name, missing in missing_by_id.items():
        metrics.guarantees_at_risk.set(missing, {"organisation": name})

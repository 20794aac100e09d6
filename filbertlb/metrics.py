"""Metrics of one role, readable by Prometheus.

Each role owns a :class:`Metrics`; nothing is kept globally, so several
roles can live in one process.
"""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry
from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import generate_latest

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from opentelemetry.metrics import CallbackOptions
    from opentelemetry.metrics import Histogram
    from opentelemetry.metrics import Meter

METRICS_CONTENT_TYPE = CONTENT_TYPE_LATEST
DURATION_BOUNDS_S = (
    *(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5),
    *(1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0, 1800.0, 7200.0),
)


class ClearableGauge:
    """Gauge whose values can be withdrawn.

    Other gauges show the last value of each set of attributes for good.
    """

    def __init__(self, meter: Meter, name: str) -> None:
        self._value_by_attributes: dict[
            tuple[tuple[str, str], ...], float
        ] = {}
        meter.create_observable_gauge(name, (self._observe,))

    def set(self, value: float, attributes: Mapping[str, str]) -> None:
        """Set the value that is shown for some attributes."""
        key = tuple(sorted(attributes.items()))
        self._value_by_attributes[key] = value

    def clear(self) -> None:
        """Show no value until one is set again."""
        self._value_by_attributes.clear()

    def _observe(self, _: CallbackOptions) -> Iterable[Observation]:
        return [
            Observation(value, dict(key))
            for key, value in self._value_by_attributes.items()
        ]


class Metrics:
    """Instruments of one role, created once.

    Parameters
    ----------
    role : str
        Such as ``entry`` or ``agent``.
    instance_id : str
        Entry or endpoint that is measured.

    Attributes
    ----------
    requests : Counter
        Calls of the HTTP interface by ``code``: the status, or the
        error's code.
    request_s : Histogram
        Time from a call to its whole answer, in seconds.
    requests_in_flight : Gauge
        Calls without an answer yet.
    requests_waiting : Gauge
        Requests that wait for admission.
    frames, frame_bytes : Gauge
        Frames and bytes between processes since the start, by
        ``direction``.
    endpoints : Gauge
        Endpoints known, by ``role``.
    queued_jobs, running_jobs : Gauge
        Jobs of the scope, while this instance decides.
    evacuated_domains : Gauge
        Failure domains that an operator has asked to evacuate.
    waiting_groups : Gauge
        Groups of tasks that are ready and wait, by ``reason``, while this
        instance decides.
    standing_tasks : Gauge
        Tasks that could run and have stood still for long, by ``reason``,
        while this instance decides.
    stands : Counter
        Tasks that began to stand while this instance decided, by ``reason``.
    probation_workers : Gauge
        Workers that get one run at a time after runs that failed as soon as
        they started, while this instance decides.
    guarantees_at_risk : Gauge
        Guaranteed shapes without a placement, by ``organisation``.
    lost_core_seconds : Counter
        Work lost by preemption that this instance decided, by ``cause``:
        ``guarantee`` or ``deadline``. An accelerator counts as 8 cores.
    failed_jobs : Counter
        Jobs that failed while this instance decided, by ``cause``:
        ``attempts``, ``crashes`` or
        ``progress_too_large``.
    run_ends : Counter
        Ends of runs that this instance processed while it decided, by
        ``cause``; one for each member of a gang.
    late_ends : Counter
        Ends that were reported after their runs had counted as ended, by
        ``cause``; as all that the decider counts, at the entry that decides.
    failed_runs : Counter
        Failed runs among them, by ``unit``: ``task`` or ``gang``. A run of a
        gang counts once, however many of its members fail.
    revision : Gauge
        Configuration revision in force.
    revision_row, heard_revision_row : Gauge
        Version of the configuration's row in force, and of the newest that
        this entry has heard of.
    leader : Gauge
        1 while this instance holds the lease of ``scope``.
    runs : Gauge
        Runs that an agent's worker holds.
    contact_age_s : Gauge
        Time since the table answered last, in seconds.
    lease_left_s : Gauge
        Time until the latest lease that an agent sent to its worker ends,
        in seconds; negative after it.
    learned_keys : ClearableGauge
        Learned statistics, by ``of``: ``queue``, ``kind`` of task or
        ``caller``; as all that follow, at the entry that decides.
    expected_run_s : ClearableGauge
        Learned run time by ``queue`` and ``quantile``, ``median`` or
        ``upper``, in seconds.
    estimate_correction : ClearableGauge
        Mean ratio of run times to estimates by ``organisation``.
    worker_speeds : ClearableGauge
        Workers with a learned speed, by ``speed``: ``slow``, ``usual`` or
        ``fast``.
    connections : Gauge
        Connections to this process's HTTP listeners.
    held_bytes : Gauge
        Memory held for requests and unread responses.
    refusals : Counter
        Requests refused and connections closed by the HTTP server, by
        ``kind``.
    answer_bytes : Gauge
        Memory held for answers to calls while they are read.
    answers_refused : Counter
        Answers to calls that were too large or found no memory.
    reads_in_flight : Gauge
        Reads from the table and from other entries without a whole answer
        yet, by ``call``.
    read_bytes : Counter
        Bytes that they have brought, by ``call``.
    failed_reads : Counter
        Reads that got no whole answer, by ``call``.
    """

    def __init__(self, role: str, instance_id: str) -> None:
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            prefix="filbertlb",
            scope_info_enabled=False,
            registry=self._registry,
        )
        resource = Resource({"role": role, "instance_id": instance_id})
        self._provider = MeterProvider(
            (reader,), resource, shutdown_on_exit=False
        )
        meter = self._provider.get_meter("filbertlb")

        def duration(name: str) -> Histogram:
            return meter.create_histogram(
                name, explicit_bucket_boundaries_advisory=DURATION_BOUNDS_S
            )

        counter = meter.create_counter
        gauge = meter.create_gauge
        self.requests = counter("requests")
        self.request_s = duration("request_seconds")
        self.requests_in_flight = gauge("requests_in_flight")
        self.requests_waiting = gauge("requests_waiting")
        self.frames = gauge("frames")
        self.frame_bytes = gauge("frame_bytes")
        self.endpoints = gauge("endpoints")
        self.queued_jobs = gauge("queued_jobs")
        self.running_jobs = gauge("running_jobs")
        self.evacuated_domains = gauge("evacuated_domains")
        self.waiting_groups = gauge("waiting_groups")
        self.standing_tasks = gauge("standing_tasks")
        self.stands = counter("stands")
        self.probation_workers = gauge("probation_workers")
        self.guarantees_at_risk = gauge("guarantees_at_risk")
        self.lost_core_seconds = counter("lost_core_seconds")
        self.failed_jobs = counter("failed_jobs")
        self.run_ends = counter("run_ends")
        self.late_ends = counter("late_ends")
        self.failed_runs = counter("failed_runs")
        self.revision = gauge("revision")
        self.revision_row = gauge("revision_row")
        self.heard_revision_row = gauge("heard_revision_row")
        self.leader = gauge("leader")
        self.runs = gauge("runs")
        self.contact_age_s = gauge("contact_age_seconds")
        self.lease_left_s = gauge("lease_left_seconds")
        self.learned_keys = ClearableGauge(meter, "learned_keys")
        self.expected_run_s = ClearableGauge(meter, "expected_run_seconds")
        self.estimate_correction = ClearableGauge(meter, "estimate_correction")
        self.worker_speeds = ClearableGauge(meter, "worker_speeds")
        self.connections = gauge("connections")
        self.held_bytes = gauge("held_bytes")
        self.refusals = counter("refusals")
        self.answer_bytes = gauge("answer_bytes")
        self.answers_refused = counter("answers_refused")
        self.reads_in_flight = gauge("reads_in_flight")
        self.read_bytes = counter("read_bytes")
        self.failed_reads = counter("failed_reads")

    def render(self) -> bytes:
        """Return all values in the text format of Prometheus."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Stop collecting."""
        self._provider.shutdown()


@contextmanager
def metrics_of(role: str, instance_id: str) -> Iterator[Metrics]:
    """Own the metrics of one role while it runs."""
    metrics = Metrics(role, instance_id)
    try:
        yield metrics
    finally:
        metrics.close()

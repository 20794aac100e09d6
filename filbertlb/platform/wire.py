"""Decodes the platform's JSON messages into the scheduler's types."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec

from filbertlb.addresses import InvalidAddressError
from filbertlb.addresses import split_address
from filbertlb.batch.configuration import Queue
from filbertlb.batch.configuration import SiteConfiguration
from filbertlb.batch.model import Job
from filbertlb.batch.model import Step
from filbertlb.batch.model import Worker
from filbertlb.core.amounts import Amount
from filbertlb.decoding import decode_entries
from filbertlb.decoding import decode_json
from filbertlb.decoding import MalformedDataError
from filbertlb.errors import InvalidInputError
from filbertlb.ranges import Count
from filbertlb.ranges import Factor
from filbertlb.ranges import Int64

if TYPE_CHECKING:
    from collections.abc import Mapping

WORKER_STATES = frozenset(("ready", "draining"))
RACK_LABEL_PREFIX = "r"
MAX_COLD_LEFT_MS = 3_600_000
"""Longest time for which a worker counts as cold; longer ones are odd."""


MAX_JOB_OBJECTS = 32_768
"""Most objects in a submission.

A job's row holds under 3,000 steps, and its payload of 8,000 characters may
hold braces. A body of 4 MiB with 349,523 short steps took 120 MB to decode.
"""
MAX_JOB_COMMAS = 262_144
"""Most values in a submission; 2,000,000 dependencies took 55 MB."""


class UnreadableMessageError(InvalidInputError):
    """A message of another writer cannot be used."""

    code = "unreadable_message"


class Route(msgspec.Struct, rename="camel"):
    """Entry of ``routes`` in the configuration row."""

    name: str
    host: str = ""
    prefix: str = "/"
    service: str = ""
    priority: Int64 = 0
    attempts: Count = 1
    slack_factor: Factor = 1.0
    # Time allowed on top of the work itself, not a bound on response times.
    target_latency_ms: Int64 = 0
    public: bool = False
    advisor: dict[str, Any] | None = None


class Tenant(msgspec.Struct, rename="camel"):
    """Entry of ``tenants`` in the configuration row."""

    name: str
    api_keys: list[str] = []
    guaranteed: dict[str, Count] | None = None


class Configuration(msgspec.Struct, rename="camel"):
    """Value of the configuration row, with undecoded entries."""

    version: Count
    routes: list[msgspec.Raw] = []
    tenants: list[msgspec.Raw] = []


class _Step(msgspec.Struct, rename="camel"):
    count: Count
    # Thousandths of a core.
    cpu: Int64 = 0
    mem_mb: Int64 = 0
    gpu: Int64 = 0
    estimate_ms: Int64 = 0
    after: tuple[Count, ...] = ()
    checkpointable: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_server: Count = 0
    long_running: bool = False
    fill_count: bool = False
    image: str = ""


class _Job(msgspec.Struct, rename="camel"):
    steps: tuple[_Step, ...]
    spec: str = ""
    times: Int64 = 0
    start_at_ms: Int64 = 0
    interval_ms: Int64 = 0


class _Capacity(msgspec.Struct, rename="camel"):
    cpu: Count = 0
    mem_mb: Count = 0
    gpu: Count = 0


class _Heartbeat(msgspec.Struct, rename="camel"):
    service: str
    addr: str
    zone: str
    state: str
    seq: Count
    capacity: _Capacity
    labels: list[str]
    # Start of this incarnation of the worker, Unix milliseconds.
    born: Count = 0
    # The worker's monotonic clock.
    clock_ms: Count = 0
    remaining_ms: Int64 = 0
    # Only shifts new work, so an odd value must not cost the heartbeat.
    cold_left_ms: Any = 0


class Heartbeat(msgspec.Struct):
    """A worker's report about itself.

    Parameters
    ----------
    sequence : int
        Number of the heartbeat, increasing within one incarnation.
    born_ms : int
        Start of the incarnation, Unix milliseconds.
    clock_ms : int
        The worker's monotonic clock.
    """

    worker: Worker
    sequence: int
    born_ms: int
    clock_ms: Count

    @property
    def order(self) -> tuple[int, int]:
        """Position among the heartbeats of all incarnations."""
        return (self.born_ms, self.sequence)


def decode_heartbeat(instance_id: str, body: bytes) -> Heartbeat:
    """Decode the body of a heartbeat."""
    heartbeat = _decode(body, _Heartbeat)
    if heartbeat.state not in WORKER_STATES:
        raise UnreadableMessageError(
            f"unknown worker state {heartbeat.state!r}"
        )
    try:
        split_address(heartbeat.addr)
    except InvalidAddressError as error:
        raise UnreadableMessageError(error.message) from error
    rack = next((label for label in heartbeat.labels if _is_rack(label)), "")
    worker = Worker(
        incarnation_name(instance_id, heartbeat.born),
        heartbeat.service,
        heartbeat.zone,
        _amount(heartbeat.capacity),
        tuple(heartbeat.labels),
        rack,
        heartbeat.state == "draining",
        heartbeat.remaining_ms,
        _cold_left_ms(heartbeat.cold_left_ms),
    )
    return Heartbeat(worker, heartbeat.seq, heartbeat.born, heartbeat.clock_ms)


def _cold_left_ms(value: Any) -> int:
    """Return a time up to ``MAX_COLD_LEFT_MS``; 0 for an odd value."""
    if isinstance(value, bool) or not isinstance(value, int):
        return 0
    return max(0, min(value, MAX_COLD_LEFT_MS))


def _is_rack(label: str) -> bool:
    return label.startswith(RACK_LABEL_PREFIX) and "-" in label


def incarnation_name(instance_id: str, born_ms: int) -> str:
    """Return the name of one incarnation of a worker."""
    return f"{instance_id}@{born_ms}"


def instance_id_of(incarnation: str) -> str:
    """Return the platform's instance id from the name of an incarnation."""
    return incarnation.rpartition("@")[0]


def decode_job(
    body: bytes, job_id: str, queue: Queue, organisation: str, now_ms: int
) -> Job:
    """Decode the body of a job submission."""
    if body.count(b"{") > MAX_JOB_OBJECTS or body.count(b",") > MAX_JOB_COMMAS:
        raise UnreadableMessageError(
            f"a job of {len(body)!r} bytes has more than {MAX_JOB_OBJECTS} "
            f"objects or {MAX_JOB_COMMAS} values; split it"
        )
    submission = _decode(body, _Job)
    step_count = len(submission.steps)
    for step in submission.steps:
        if step.count < 1 or any(
            not 0 <= number < step_count for number in step.after
        ):
            raise UnreadableMessageError(
                f"step {step!r} has no tasks or depends on a step that the "
                "job does not have"
            )
    return Job(
        job_id,
        queue.name,
        queue.service,
        organisation,
        submission.spec,
        tuple(_convert_step(step) for step in submission.steps),
        queue.priority,
        queue.attempts,
        queue.slack_factor,
        queue.target_ms,
        now_ms,
        submission.times,
        submission.start_at_ms,
        submission.interval_ms,
        queue.advised,
    )


def decode_configuration(body: bytes) -> SiteConfiguration:
    """Decode the value of the configuration row.

    Malformed routes and tenants are skipped, the others hold.
    """
    configuration = _decode(body, Configuration)
    queues_by_host: dict[str, tuple[Queue, ...]] = {}
    for route in decode_entries(configuration.routes, Route):
        queue = Queue(
            route.name,
            route.host,
            route.prefix,
            route.service,
            route.priority,
            route.attempts,
            route.slack_factor,
            route.target_latency_ms,
            route.public,
            route.advisor is not None,
        )
        queues_by_host[route.host] = (
            *queues_by_host.get(route.host, ()),
            queue,
        )
    organisation_by_key: dict[str, str] = {}
    guaranteed: dict[str, int] = {}
    for tenant in decode_entries(configuration.tenants, Tenant):
        organisation_by_key.update(dict.fromkeys(tenant.api_keys, tenant.name))
        guaranteed[tenant.name] = (tenant.guaranteed or {}).get("gpu", 0)
    return SiteConfiguration(
        configuration.version, queues_by_host, organisation_by_key, guaranteed
    )


def _convert_step(step: _Step) -> Step:
    cpu = 0 if step.fill_count else step.cpu
    return Step(
        step.count,
        (step.gpu, cpu, step.mem_mb),
        step.estimate_ms,
        step.after,
        step.checkpointable,
        step.gang,
        step.same_rack,
        step.required_label,
        step.data_rack,
        step.max_per_server,
        step.long_running,
        step.image,
    )


def _amount(capacity: _Capacity) -> Amount:
    return (capacity.gpu, capacity.cpu, capacity.mem_mb)


def _decode(body: bytes, cls: Any) -> Any:
    try:
        return decode_json(body, cls)
    except MalformedDataError as error:
        raise UnreadableMessageError(
            f"cannot decode {body[:80]!r}: {error}"
        ) from error


def request_header(environ: Mapping[str, Any], name: str) -> str:
    """Return the value of a request header, or an empty string."""
    return str(environ.get("HTTP_" + name.upper().replace("-", "_"), ""))

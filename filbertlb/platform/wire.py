"""Names of the platform's messages, decoded into the product's types."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec

from filbertlb.batch.configuration import Queue
from filbertlb.batch.configuration import SiteConfiguration
from filbertlb.batch.model import Job
from filbertlb.batch.model import Step
from filbertlb.batch.model import Worker
from filbertlb.core.amounts import Amount
from filbertlb.errors import InvalidInputError

if TYPE_CHECKING:
    from collections.abc import Mapping

STATES = frozenset(("ready", "draining"))
RACK_LABEL_PREFIX = "r"


class UnreadableMessageError(InvalidInputError):
    """A message of another writer cannot be used."""

    code = "unreadable_message"


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str = ""
    prefix: str = "/"
    service: str = ""
    priority: int = 0
    attempts: int = 1
    slack_factor: float = 1.0
    # Allowance on top of the work itself, not a bound of response times.
    target_latency_ms: int = 0
    public: bool = False
    advisor: dict[str, Any] | None = None


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    guaranteed: dict[str, int] | None = None


class _Configuration(msgspec.Struct, rename="camel"):
    version: int
    routes: list[_Route] = []
    tenants: list[_Tenant] = []


class _Step(msgspec.Struct, rename="camel"):
    count: int
    # Thousandths of a core.
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointable: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_server: int = 0
    long_running: bool = False
    fill_count: bool = False


class _Job(msgspec.Struct, rename="camel"):
    steps: tuple[_Step, ...]
    spec: str = ""
    times: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0


class _Capacity(msgspec.Struct, rename="camel"):
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _Heartbeat(msgspec.Struct, rename="camel"):
    service: str
    addr: str
    zone: str
    state: str
    seq: int
    capacity: _Capacity
    labels: list[str]
    # Start of this life of the worker, Unix milliseconds.
    born: int = 0
    # The worker's own steady clock.
    clock_ms: int = 0
    remaining_ms: int = 0


class Heartbeat(msgspec.Struct):
    """A worker's report about itself.

    Parameters
    ----------
    sequence : int
        Grows with each heartbeat of one incarnation.
    born_ms : int
        Start of the incarnation, Unix milliseconds.
    clock_ms : int
        The worker's steady clock.
    """

    worker: Worker
    sequence: int
    born_ms: int
    clock_ms: int


def decode_heartbeat(instance_id: str, body: bytes) -> Heartbeat:
    """Return a worker's report about itself."""
    found = _decode(body, _Heartbeat)
    if found.state not in STATES:
        raise UnreadableMessageError(f"state {found.state!r} is not known")
    rack = next((one for one in found.labels if _is_rack(one)), "")
    worker = Worker(
        incarnation_name(instance_id, found.born),
        found.service,
        found.zone,
        _amount(found.capacity),
        tuple(found.labels),
        rack,
        found.state == "draining",
        found.remaining_ms,
    )
    return Heartbeat(worker, found.seq, found.born, found.clock_ms)


def _is_rack(label: str) -> bool:
    return label.startswith(RACK_LABEL_PREFIX) and "-" in label


def incarnation_name(instance_id: str, born_ms: int) -> str:
    """Return the name of one life of a worker."""
    return f"{instance_id}@{born_ms}"


def instance_id_of(incarnation: str) -> str:
    """Return the id that the platform knows a worker's life by."""
    return incarnation.rpartition("@")[0]


def decode_job(
    body: bytes, job_id: str, queue: Queue, organisation: str, now_ms: int
) -> Job:
    """Return a job as a caller sent it."""
    found = _decode(body, _Job)
    count = len(found.steps)
    for step in found.steps:
        if step.count < 1 or any(not 0 <= one < count for one in step.after):
            raise UnreadableMessageError(
                f"step {step!r} has no tasks or follows no step of the job"
            )
    return Job(
        job_id,
        queue.name,
        queue.service,
        organisation,
        found.spec,
        tuple(_step(step) for step in found.steps),
        queue.priority,
        queue.attempts,
        queue.slack_factor,
        queue.target_ms,
        now_ms,
        found.times,
        found.start_at_ms,
        found.interval_ms,
        queue.advised,
    )


def decode_configuration(body: bytes) -> SiteConfiguration:
    """Return the configuration that an operator wrote."""
    found = _decode(body, _Configuration)
    by_host: dict[str, tuple[Queue, ...]] = {}
    for route in found.routes:
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
        by_host[route.host] = (*by_host.get(route.host, ()), queue)
    owners: dict[str, str] = {}
    guaranteed: dict[str, int] = {}
    for tenant in found.tenants:
        owners.update(dict.fromkeys(tenant.api_keys, tenant.name))
        guaranteed[tenant.name] = (tenant.guaranteed or {}).get("gpu", 0)
    return SiteConfiguration(found.version, by_host, owners, guaranteed)


def _step(step: _Step) -> Step:
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
    )


def _amount(capacity: _Capacity) -> Amount:
    return (capacity.gpu, capacity.cpu, capacity.mem_mb)


def _decode(body: bytes, cls: Any) -> Any:
    try:
        return msgspec.json.decode(body, type=cls)
    except msgspec.MsgspecError as error:
        raise UnreadableMessageError(
            f"{body[:80]!r} is no {cls.__name__[1:].lower()}: {error}"
        ) from error


def request_header(environ: Mapping[str, Any], name: str) -> str:
    """Return a request header's value; empty if it is not there."""
    return str(environ.get("HTTP_" + name.upper().replace("-", "_"), ""))

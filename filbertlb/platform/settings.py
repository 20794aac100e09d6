"""Loads the settings file that the platform writes for a process."""

from __future__ import annotations

import os
from enum import StrEnum
from pathlib import Path
from typing import TypeVar

import msgspec

from filbertlb.admission import MIB
from filbertlb.batch.durations import RunTimes
from filbertlb.batch.worker_link import MAX_LEASE_S
from filbertlb.decoding import decode_json
from filbertlb.decoding import MalformedDataError
from filbertlb.errors import InvalidInputError
from filbertlb.ranges import Count
from filbertlb.ranges import Factor
from filbertlb.ranges import Port

SETTINGS_VARIABLE = "FILBERTLB_SETTINGS"
RUN_TIMES_VARIABLE = "FILBERTLB_RUN_TIMES"
QUEUE_ORDER_VARIABLE = "FILBERTLB_QUEUE_ORDER"
MAX_SHOWN_CHARACTERS = 80
"""Characters of a bad value that a message shows."""

MIN_EVACUATE_MS = 2000
"""Shortest bound of an evacuation.

No work is placed while the requests are older than half of it, and they are
only polled every 0.9 s; with a shorter bound an entry would rarely place any.
"""

_Choice = TypeVar("_Choice", bound=StrEnum)


class QueueOrder(StrEnum):
    """Order in which ready tasks are placed."""

    DEADLINE = "deadline"
    BENEFIT = "benefit"


class SettingsFileError(InvalidInputError):
    """The settings file cannot be used."""

    code = "settings_file"


class RunTimesSettingError(InvalidInputError):
    """The source of the expected run times is unknown."""

    code = "run_times_setting"


class QueueOrderSettingError(InvalidInputError):
    """The order of the queue is unknown."""

    code = "queue_order_setting"


class _Listen(msgspec.Struct, rename="camel"):
    client_addr: str = ""
    readiness: str = ""
    admin: str = ""


class _Store(msgspec.Struct, rename="camel"):
    addr: str
    # Largest value of a row, in characters of base64.
    row_bytes: Count = 65_536


class _Machine(msgspec.Struct, rename="camel"):
    # Share of one core, as fast as `cores` cores together.
    cpu_share: float = 1.0
    cores: float = 1.0
    # Defaults of the smallest machine that the platform has.
    memory_mb: Count = 160
    max_fds: Count = 1638


class _Bounds(msgspec.Struct, rename="camel"):
    # Time between two checkpoints of a run.
    checkpoint_interval_s: Factor = 2.0
    # Time until a run that resumes from a checkpoint does new work.
    restore_ms: Count = 100
    evacuate_ms: Count | None = None
    # Longest lease that a worker grants.
    hold_max_ms: Count = round(1000 * MAX_LEASE_S)


class _File(msgspec.Struct, rename="camel"):
    node: str
    role: str
    ip: str
    zone: str
    region: str
    listen: _Listen
    platform: _Store
    limits: _Machine = msgspec.field(default_factory=_Machine)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    heartbeat_ms: Count = 1500
    port_range: tuple[Port, Port] = (0, 0)
    # Address of the worker on an agent's machine.
    app: str = ""
    seeds: list[str] = []


class Settings(msgspec.Struct, frozen=True):
    """Settings of one process, fixed until its restart.

    Parameters
    ----------
    client_address, readiness_address : str
        Addresses on which an entry serves callers and readiness checks.
    heartbeat_address : str
        Address on which an agent receives its worker's heartbeats.
    heartbeat_period_s : float
        Time between two heartbeats of a worker.
    max_lease_s : float
        Longest lease that a worker grants, by its own clock.
    worker_address : str
        Address at which an agent calls its worker.
    store_address : str
        Address of the platform's row store.
    store_row_bytes : int
        Largest value of a row in base64.
    processor_cores : float
        Processor time available to the process, in cores.
    first_port : int
        Start of the port range assigned to the process.
    checkpoint_interval_s : float
        Time between two checkpoints of a run.
    restore_ms : int
        Time until a run that resumes from a checkpoint does new work.
    evacuate_ms : int
        Time after a request to evacuate a failure domain from which no work
        may start there; 0 in a deployment without evacuation.
    memory_bytes, descriptors : int
        Memory of the machine, and descriptors that the process may open.
    run_times : RunTimes
        Source of the expected run times, from ``FILBERTLB_RUN_TIMES``.
    queue_order : QueueOrder
        Order in which an entry that decides places ready tasks.
    """

    node: str
    role: str
    ip: str
    zone: str
    region: str
    client_address: str
    readiness_address: str
    heartbeat_address: str
    heartbeat_period_s: float
    max_lease_s: float
    worker_address: str
    store_address: str
    store_row_bytes: int
    processor_cores: float
    first_port: int
    checkpoint_interval_s: float
    restore_ms: int
    evacuate_ms: int
    memory_bytes: int
    descriptors: int
    run_times: RunTimes = RunTimes.DECLARED
    queue_order: QueueOrder = QueueOrder.DEADLINE


def load_settings_file(path: str | None = None) -> Settings:
    """Load the settings file.

    Parameters
    ----------
    path : str, optional
        Path of the file; by default that in ``FILBERTLB_SETTINGS``.

    Raises
    ------
    SettingsFileError
        If the file is missing or invalid, or a value is out of range.
    RunTimesSettingError
        If ``FILBERTLB_RUN_TIMES`` has an unknown value.
    QueueOrderSettingError
        If ``FILBERTLB_QUEUE_ORDER`` has an unknown value.
    """
    file_path = path or os.environ.get(SETTINGS_VARIABLE, "")
    try:
        file = decode_json(Path(file_path).read_bytes(), _File)
    except (OSError, MalformedDataError) as error:
        raise SettingsFileError(
            f"settings file {file_path!r} cannot be used: {error}; set "
            f"{SETTINGS_VARIABLE} to the path of a settings file written by "
            "the platform"
        ) from error
    evacuate_ms = file.bounds.evacuate_ms or 0
    if 0 < evacuate_ms < MIN_EVACUATE_MS:
        raise SettingsFileError(
            f"settings file {file_path!r} cannot be used: 'evacuateMs' in "
            f"'bounds' is {evacuate_ms}; set it to {MIN_EVACUATE_MS} or more, "
            "or to 0 for a deployment without evacuation"
        )
    return Settings(
        file.node,
        file.role,
        file.ip,
        file.zone,
        file.region,
        file.listen.client_addr,
        file.listen.readiness,
        file.listen.admin,
        file.heartbeat_ms / 1000,
        file.bounds.hold_max_ms / 1000,
        file.app,
        file.platform.addr,
        file.platform.row_bytes,
        file.limits.cpu_share * file.limits.cores,
        file.port_range[0],
        file.bounds.checkpoint_interval_s,
        file.bounds.restore_ms,
        evacuate_ms,
        file.limits.memory_mb * MIB,
        file.limits.max_fds,
        _variable(RUN_TIMES_VARIABLE, RunTimes.DECLARED, RunTimesSettingError),
        _variable(
            QUEUE_ORDER_VARIABLE, QueueOrder.DEADLINE, QueueOrderSettingError
        ),
    )


def _variable(
    name: str, default: _Choice, error_class: type[InvalidInputError]
) -> _Choice:
    """Return the choice that an environment variable makes.

    Raises
    ------
    InvalidInputError
        An ``error_class`` if the value is unknown; an empty one is too.
    """
    value = os.environ.get(name, default)
    choices = type(default)
    try:
        return choices(value)
    except ValueError as error:
        raise error_class(
            f"{name} is {value[:MAX_SHOWN_CHARACTERS]!r}; set it to one of "
            f"{', '.join(choices)}, or leave it unset for {default}"
        ) from error

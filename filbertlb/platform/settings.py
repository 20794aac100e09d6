"""Loads the settings file that the platform writes for a process."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec

from filbertlb.decoding import decode_json
from filbertlb.decoding import MalformedDataError
from filbertlb.errors import InvalidInputError
from filbertlb.ranges import Count
from filbertlb.ranges import Port

MIB = 1024 * 1024
SETTINGS_VARIABLE = "FILBERTLB_SETTINGS"


class SettingsFileError(InvalidInputError):
    """The settings file cannot be used."""

    code = "settings_file"


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


class _File(msgspec.Struct, rename="camel"):
    node: str
    role: str
    ip: str
    zone: str
    region: str
    listen: _Listen
    platform: _Store
    limits: _Machine = msgspec.field(default_factory=_Machine)
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
    memory_bytes, descriptors : int
        Memory of the machine, and descriptors that the process may open.
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
    worker_address: str
    store_address: str
    store_row_bytes: int
    processor_cores: float
    first_port: int
    memory_bytes: int
    descriptors: int


def load_settings_file(path: str | None = None) -> Settings:
    """Load the settings file.

    Parameters
    ----------
    path : str, optional
        Path of the file; by default that in ``FILBERTLB_SETTINGS``.

    Raises
    ------
    SettingsFileError
        If the file is missing or invalid.
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
        file.app,
        file.platform.addr,
        file.platform.row_bytes,
        file.limits.cpu_share * file.limits.cores,
        file.port_range[0],
        file.limits.memory_mb * MIB,
        file.limits.max_fds,
    )

"""Settings file of the platform, decoded into what the roles need."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec

from filbertlb.errors import InvalidInputError

SETTINGS_VARIABLE = "FILBERTLB_SETTINGS"


class SettingsFileError(InvalidInputError):
    """The settings file cannot be used."""

    code = "settings_file"


class _Listen(msgspec.Struct, rename="camel"):
    client_addr: str = ""
    readiness: str = ""
    admin: str = ""


class _Store(msgspec.Struct):
    addr: str


class _File(msgspec.Struct, rename="camel"):
    node: str
    role: str
    ip: str
    zone: str
    region: str
    listen: _Listen
    platform: _Store
    port_range: tuple[int, int] = (0, 0)
    # Address of the worker on an agent's machine.
    app: str = ""
    seeds: list[str] = []


class Settings(msgspec.Struct, frozen=True):
    """What a process needs to know before it starts.

    Parameters
    ----------
    client_address, readiness_address : str
        Where an entry listens for callers and for the balancer.
    heartbeat_address : str
        Where an agent listens for its worker.
    worker_address : str
        Where an agent calls its worker.
    """

    node: str
    role: str
    ip: str
    zone: str
    region: str
    client_address: str
    readiness_address: str
    heartbeat_address: str
    worker_address: str
    store_address: str
    first_port: int


def load_settings_file(path: str | None = None) -> Settings:
    """Return the settings from the file that the platform names.

    Raises
    ------
    SettingsFileError
        If the file is missing or lacks something.
    """
    name = path or os.environ.get(SETTINGS_VARIABLE, "")
    try:
        found = msgspec.json.decode(Path(name).read_bytes(), type=_File)
    except (OSError, msgspec.MsgspecError) as error:
        raise SettingsFileError(
            f"settings file {name!r} cannot be used: {error}; set "
            f"{SETTINGS_VARIABLE} to a file as the platform writes it"
        ) from error
    return Settings(
        found.node,
        found.role,
        found.ip,
        found.zone,
        found.region,
        found.listen.client_addr,
        found.listen.readiness,
        found.listen.admin,
        found.app,
        found.platform.addr,
        found.port_range[0],
    )

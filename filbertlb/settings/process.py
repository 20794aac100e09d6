"""Settings of one process: its role, addresses, place and limits."""

from __future__ import annotations

from enum import StrEnum
from ipaddress import ip_address
from typing import Any

import attrs
from attrs.validators import ge
from attrs.validators import gt
from attrs.validators import le
from attrs.validators import matches_re
from attrs.validators import min_len

from filbertlb.core.model import Resources
from filbertlb.logs import LogSettings
from filbertlb.messages import Role
from filbertlb.settings.decode import secret

MAX_PORT = 65535
MIB = 1024 * 1024


class ProcessRole(StrEnum):
    """What a process is."""

    ENTRY = "entry"
    AGENT = "agent"
    STANDIN = "standin"


def _check_address(_: Any, __: Any, value: str) -> None:
    try:
        ip_address(value)
    except ValueError as error:
        raise ValueError(f"{error}; write an IP number") from error


def _port(default: int) -> Any:
    return attrs.field(default=default, validator=[ge(0), le(MAX_PORT)])


def _url() -> Any:
    return attrs.field(default="", validator=matches_re(r"(https?://\S+)?"))


def _positive(default: float) -> Any:
    return attrs.field(default=default, validator=gt(0))


@attrs.frozen
class Limits:
    """Bounds of what one process takes at once.

    Parameters
    ----------
    body_bytes : int
        Largest body of a request.
    header_bytes : int
        Largest sum of a request's headers.
    body_s : float
        Longest time that a request's body may take to arrive.
    connections : int
        Most connections from callers at once; further ones wait.
    connection_idle_s : float
        Time after which a silent connection is closed; also the longest
        time that headers may take to arrive.
    drain_s : float
        Time that a planned stop gives to work in flight.
    held_bytes : int
        Most memory for requests and unread responses of all connections.
    progress_s : float
        Longest time without a byte of a request that has begun, or for
        sending one block of a response.
    """

    body_bytes: int = _positive(4 * MIB)
    header_bytes: int = _positive(16 * 1024)
    body_s: float = _positive(30.0)
    connections: int = _positive(1024)
    connection_idle_s: float = _positive(60.0)
    drain_s: float = _positive(30.0)
    held_bytes: int = _positive(32 * MIB)
    progress_s: float = _positive(10.0)


@attrs.frozen
class EndpointSettings:
    """The endpoint that an agent stands beside.

    Parameters
    ----------
    endpoint_id : str
        Name used in announcements.
    role : Role
        ``runner`` or ``worker``.
    backend_url : str
        Where the endpoint takes its work.
    slots : int
        Requests that a runner takes at once.
    capacity : Resources
        What a worker has.
    usage_lag_s : float
        Longest age of a worker's report of what runs, in seconds.
    """

    endpoint_id: str = attrs.field(validator=min_len(1))
    role: Role
    backend_url: str = _url()
    slots: int = attrs.field(default=8, validator=ge(1))
    capacity: Resources = Resources()
    usage_lag_s: float = attrs.field(default=5.0, validator=ge(0))


@attrs.frozen
class ProcessSettings:
    """Settings of one process.

    Parameters
    ----------
    role : ProcessRole
        ``entry``, ``agent`` or ``standin``.
    instance_id : str
        Name of the process in logs and metrics.
    address : str
        IP number on which it listens and which others dial.
    http_port, link_port : int
        Ports for HTTP and for the system's own messages; 0 lets the
        system choose.
    region, failure_domain, rack : str
        Where the process is.
    table_url, objects_url : str
        Where the platform's services are.
    keys : tuple of str
        Site keys as ``ID:BASE64``; the first seals and all open.
    operator_token_hash : str
        Hash of an operator's token as ``filbertlb token operator`` shows
        it; valid also while the table service is down.
    """

    role: ProcessRole
    instance_id: str = attrs.field(validator=min_len(1))
    address: str = attrs.field(default="127.0.0.1", validator=_check_address)
    http_port: int = _port(8080)
    link_port: int = _port(8081)
    region: str = "main"
    failure_domain: str = ""
    rack: str = ""
    table_url: str = _url()
    objects_url: str = _url()
    table_timeout_s: float = _positive(2.0)
    keys: tuple[str, ...] = secret(default=())
    operator_token_hash: str = attrs.field(
        default="", validator=matches_re(r"([0-9a-f]+:[0-9a-f]{64})?")
    )
    logs: LogSettings = LogSettings()
    limits: Limits = Limits()
    endpoint: EndpointSettings | None = None

    def __attrs_post_init__(self) -> None:
        if self.role == ProcessRole.AGENT and self.endpoint is None:
            raise ValueError(
                "an agent needs 'endpoint'; add the endpoint beside it"
            )
        if self.role != ProcessRole.STANDIN and not self.keys:
            raise ValueError(
                "'keys' is empty; add at least one 'ID:BASE64' text"
            )

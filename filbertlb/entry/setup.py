"""Start-up parameters of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.settings.process import Limits

if TYPE_CHECKING:
    from filbertlb.api.auth import TokenRecord


@attrs.frozen
class EntrySetup:
    """Start-up parameters of an entry.

    Parameters
    ----------
    host : str
        IP address to listen on.
    http_port, link_port : int
        Ports for callers and for the site's other processes; with 0 the
        operating system chooses a free port.
    scope : str
        Scope for which the entry may become the decider.
    limits : Limits
        Limits on requests and connections.
    operator : TokenRecord, optional
        Token of an operator that is accepted even while the table
        service is down.
    """

    entry_id: str
    host: str
    failure_domain: str
    http_port: int = 0
    link_port: int = 0
    scope: str = "main"
    limits: Limits = Limits()
    operator: TokenRecord | None = None

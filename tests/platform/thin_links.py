"""Entries behind links of a limited rate, in one process.

All that an entry reads from the store and from other entries shares its
link, as on a machine of its own.
"""

from __future__ import annotations

from contextlib import contextmanager
from contextlib import ExitStack
from contextlib import suppress
from json import dumps
from random import Random
from socket import SO_RCVBUF
from socket import SO_SNDBUF
from socket import SOL_SOCKET
from string import ascii_lowercase
from time import monotonic

import attrs
from gevent import killall
from gevent import sleep
from gevent import spawn
from gevent.pool import Pool
from gevent.server import StreamServer
from gevent.socket import socket

from filbertlb.addresses import split_address
from filbertlb.batch.configuration import CurrentConfiguration
from filbertlb.batch.peers import Peers
from filbertlb.batch.row_exchange import RowExchange
from filbertlb.core.clock import SystemClock
from filbertlb.platform.configuration_source import configuration_source
from filbertlb.platform.store import PlatformTable
from filbertlb.standin.wsgi import serving
from filbertlb.table.base import Row
from filbertlb.table.mirror import Mirror
from filbertlb.typedserver import Service

CHUNK_BYTES = 8 * 1024
WINDOW_BYTES = 64 * 1024


@attrs.define
class Link:
    """Link of one machine; all its connections share each direction.

    Attributes
    ----------
    silent : bool
        Nothing passes between this machine and the store.
    read_bytes : int
        Bytes that have reached the machine.
    """

    bytes_per_s: float
    silent: bool = False
    read_bytes: int = 0
    _free_s_by_direction: dict[str, float] = attrs.Factory(dict)

    def carry(self, direction, count):
        """Wait until the link has carried some bytes."""
        start_s = max(
            monotonic(), self._free_s_by_direction.get(direction, 0.0)
        )
        free_s = start_s + count / self.bytes_per_s
        self._free_s_by_direction[direction] = free_s
        sleep(max(0.0, free_s - monotonic()))
        if direction == "down":
            self.read_bytes += count


@attrs.frozen
class Relay:
    """Connections of a machine to one server.

    Parameters
    ----------
    server_link : Link, optional
        Link of the server's machine; None for the store's.
    """

    server_address: str
    link: Link
    server_link: Link | None = None

    def forward(self, client, _):
        """Carry one connection's bytes until either side closes it."""
        client.setsockopt(SOL_SOCKET, SO_SNDBUF, WINDOW_BYTES)
        upstream = socket()
        upstream.setsockopt(SOL_SOCKET, SO_RCVBUF, WINDOW_BYTES)
        upstream.connect(split_address(self.server_address))
        calls = spawn(self._copy_calls, client, upstream)
        try:
            with suppress(OSError):
                self._copy_answers(upstream, client)
        finally:
            calls.kill()
            upstream.close()
            client.close()

    def _is_cut(self):
        return self.link.silent and self.server_link is None

    def _copy_calls(self, client, upstream):
        with suppress(OSError):
            while data := client.recv(CHUNK_BYTES):
                if not self._is_cut():
                    upstream.sendall(data)
        upstream.close()

    def _copy_answers(self, upstream, client):
        while data := upstream.recv(CHUNK_BYTES):
            if self.server_link is not None:
                self.server_link.carry("up", len(data))
            self.link.carry("down", len(data))
            if not self._is_cut():
                client.sendall(data)


@contextmanager
def relaying(server_address, link, server_link=None):
    """Yield an address at which a machine reaches a server over its link."""
    relay = Relay(server_address, link, server_link)
    server = StreamServer(("127.0.0.1", 0), relay.forward, spawn=Pool())
    server.start()
    try:
        yield f"127.0.0.1:{server.server_port}"
    finally:
        server.stop(timeout=0)


@attrs.define
class Entry:
    """What an entry knows of the configuration, and its link."""

    name: str
    link: Link
    in_force: CurrentConfiguration = attrs.Factory(CurrentConfiguration)
    mirror: Mirror = attrs.Factory(Mirror)


@contextmanager
def running_entries(store_address, links):
    """Yield entries that read the store, each over its own link."""
    entries = [Entry(f"e{n}", link) for n, link in enumerate(links)]
    with ExitStack() as stack:
        tables = [
            PlatformTable(
                stack.enter_context(relaying(store_address, entry.link))
            )
            for entry in entries
        ]
        exchanges = [
            RowExchange(Peers(entry.name, "unused:1", entry.mirror))
            for entry in entries
        ]
        addresses = [
            stack.enter_context(
                serving(Service(exchange.handlers()))
            ).removeprefix("http://")
            for exchange in exchanges
        ]
        for entry in entries:
            for other, address in zip(entries, addresses, strict=True):
                if other is not entry:
                    relayed = stack.enter_context(
                        relaying(address, entry.link, other.link)
                    )
                    key = f"state/entry/{other.name}"
                    entry.mirror.put(Row(key, relayed.encode(), 1), 0.0)
        tasks = []
        for read in zip(entries, tables, exchanges, strict=True):
            tasks += start_reading(*read)
        try:
            yield entries
        finally:
            killall(tasks)


def start_reading(entry, table, exchange):
    source = configuration_source(
        table, exchange, entry.in_force, SystemClock()
    )
    return [spawn(task) for task in source.tasks()]


def large_configuration(version, routes):
    """Return a configuration row with names like those of a real one."""
    random = Random(5)

    def name():
        return "".join(random.choices(ascii_lowercase, k=8))

    return dumps(
        {
            "version": version,
            "routes": [
                {
                    "name": f"r-{name()}",
                    "host": f"{name()}.example",
                    "prefix": f"/{name()}/",
                    "kind": "mutating",
                    "timeoutMs": 3036,
                    "targetLatencyMs": 253,
                    "priority": 0,
                    "service": "s",
                    "attempts": 2,
                    "slackFactor": 1.5,
                    "public": False,
                }
                for _ in range(routes)
            ],
            "services": [{"name": "s", "healthPath": "/healthz"}],
            "tenants": [],
        }
    ).encode()

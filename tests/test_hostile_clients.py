"""Processes of the system against clients and servers beyond the limits.

Guards against a process that ends, hangs or outgrows its machine because
of what others send: in a trial, clients ended a process that ran out of
memory. Each test starts real processes with the memory and descriptors of
the smallest machine, so these tests run one at a time and apart from other
tests; see CONTRIBUTING.md.
"""

from __future__ import annotations

import re
from contextlib import contextmanager
from contextlib import ExitStack
from contextlib import suppress
from json import dumps
from json import loads
from os import listdir
from pathlib import Path

import gevent
import pytest
from gevent.socket import create_connection
from gevent.socket import SO_RCVBUF
from gevent.socket import SO_SNDBUF
from gevent.socket import SOL_SOCKET

from filbertlb.addresses import split_address
from filbertlb.errors import FilbertlbError
from filbertlb.httpcall import HttpCaller
from filbertlb.platform.roles import METRICS_OFFSET
from filbertlb.platform.roles import PEER_OFFSET
from filbertlb.standin.wsgi import serving
from tests.platform.test_whole_path import DEADLINE_S
from tests.platform.test_whole_path import HEADERS
from tests.platform.test_whole_path import Site

pytestmark = pytest.mark.hostile

MIB = 1024 * 1024
MEMORY_MB = {"entry": 160, "agent": 168}
"""Memory of the smallest machine of a role, and the bound of the tests."""
MAX_FDS = 512
"""Descriptors of a process, and the bound of the tests."""
BODY_BYTES = 4 * MIB
"""Largest legal body."""
BODY_CLIENTS = 2 * MEMORY_MB["entry"] // 4
"""Their legal bodies take twice the memory of the machine."""
FLOOD_CLIENTS = 20
FLOOD_BYTES = 2 * MEMORY_MB["entry"] * MIB // FLOOD_CLIENTS
"""Sent by one client without end; all send twice the machine's memory."""
CONNECTIONS = MAX_FDS + 88
"""More than the descriptors of the process."""
PIPELINED = 2_000
ORDINARY_REQUESTS = 5
BLOCK_BYTES = 64 * 1024
SOCKET_BUFFER_BYTES = 16 * 1024
"""Small, so that data waits in the process under test, not in the system."""
CLIENT_PATIENCE_S = 10.0
"""A client that makes no progress for this time stops sending."""

POST = b"POST /render/00000000000000ab HTTP/1.1\r\nHost: site.example\r\n"
GET = b"GET /render/ HTTP/1.1\r\nHost: site.example\r\nX-Api-Key: key\r\n\r\n"
METRICS_GET = b"GET /metrics HTTP/1.1\r\nHost: site.example\r\n\r\n"
LEGAL = POST + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
BLOCK = b"x" * BLOCK_BYTES
CHUNK = b"%x\r\n%s\r\n" % (BLOCK_BYTES, BLOCK)
HEADER_BLOCK = b"X-Field: %s\r\n" % (b"x" * 1000) * 64


def repeated(start, block, total_bytes):
    """Yield a start, then a block until a number of bytes."""
    yield start
    for _ in range(0, total_bytes, len(block)):
        yield block


def legal_body(end_short_by=0):
    """Yield a legal request in blocks, stopped short of its end."""
    left = BODY_BYTES - end_short_by
    yield LEGAL
    while left > 0:
        yield BLOCK[:left]
        left -= BLOCK_BYTES


def in_fragments(end_short_by=0):
    """Yield a legal request in fragments of changing size."""
    left, size = BODY_BYTES - end_short_by, 1
    yield LEGAL
    while left > 0:
        yield BLOCK[: min(size, left)]
        left -= min(size, left)
        size = size * 3 % 32_771


def announced(announced_bytes):
    return POST + b"Content-Length: %d\r\n\r\n" % announced_bytes


ATTACKS = {
    "announced_far_over_the_limit": (
        FLOOD_CLIENTS,
        lambda: repeated(announced(10**12), BLOCK, FLOOD_BYTES),
    ),
    "legal_length_sent_on": (
        FLOOD_CLIENTS,
        lambda: repeated(LEGAL, BLOCK, FLOOD_BYTES),
    ),
    "chunked_sent_on": (
        FLOOD_CLIENTS,
        lambda: repeated(
            POST + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK, FLOOD_BYTES
        ),
    ),
    "header_lines_without_end": (
        FLOOD_CLIENTS,
        lambda: repeated(POST, HEADER_BLOCK, FLOOD_BYTES),
    ),
    "request_line_without_end": (
        FLOOD_CLIENTS,
        lambda: repeated(b"GET /", BLOCK, FLOOD_BYTES),
    ),
    "thousands_of_header_fields": (
        FLOOD_CLIENTS,
        lambda: repeated(POST, b"a: b\r\n" * 1000, 60_000),
    ),
    "large_legal_bodies": (BODY_CLIENTS, legal_body),
    "large_legal_bodies_in_fragments": (BODY_CLIENTS, in_fragments),
    "large_legal_bodies_stopped_short": (
        BODY_CLIENTS,
        lambda: legal_body(1),
    ),
    "fragments_stopped_short": (BODY_CLIENTS, lambda: in_fragments(1)),
    "bodies_stopped_half_way": (
        2 * BODY_CLIENTS,
        lambda: legal_body(BODY_BYTES // 2),
    ),
    "announced_and_not_sent": (BODY_CLIENTS, lambda: [LEGAL]),
    "connections_that_send_nothing": (CONNECTIONS, lambda: []),
    "headers_stopped_short": (
        CONNECTIONS,
        lambda: [POST + b"X: " + b"x" * 8000],
    ),
    "pipelined_requests": (FLOOD_CLIENTS, lambda: [GET * PIPELINED]),
    "pipelined_large_responses": (
        FLOOD_CLIENTS,
        lambda: [METRICS_GET * PIPELINED],
    ),
    "pipelined_legal_bodies": (
        FLOOD_CLIENTS,
        lambda: [part for _ in range(4) for part in legal_body()],
    ),
}


class Crowd:
    """Clients that send and never read.

    Parameters
    ----------
    address : str
        Where they connect.
    clients : int
        How many connect at once.
    parts : callable
        Returns what one client sends, part by part.
    """

    def __init__(self, address, clients, parts):
        self._place = split_address(address)
        self._parts = parts
        self._sockets = []
        tasks = [gevent.spawn(self._send) for _ in range(clients)]
        gevent.joinall(tasks, raise_error=True)

    def leave(self):
        for sock in self._sockets:
            sock.close()

    def _send(self):
        # A refusal or a closed connection is allowed to end a client.
        with suppress(OSError):
            sock = create_connection(self._place, CLIENT_PATIENCE_S)
            self._sockets.append(sock)
            sock.setsockopt(SOL_SOCKET, SO_SNDBUF, SOCKET_BUFFER_BYTES)
            sock.setsockopt(SOL_SOCKET, SO_RCVBUF, SOCKET_BUFFER_BYTES)
            for part in self._parts():
                sock.sendall(part)


class HostileSite(Site):
    """Site whose processes have little memory and few descriptors."""

    def __init__(self, folder, stack):
        super().__init__(folder, stack)
        self.ports = {}

    def write_settings(self, role, name):
        path = super().write_settings(role, name)
        body = loads(path.read_bytes())
        body["limits"] = {"memoryMb": MEMORY_MB[role], "maxFds": MAX_FDS}
        path.write_text(dumps(body))
        first_port = body["portRange"][0]
        self.ports[role] = {
            "callers": body["listen"]["clientAddr"],
            "readiness": body["listen"]["readiness"],
            "heartbeats": body["listen"]["admin"],
            "metrics": f"127.0.0.1:{first_port + METRICS_OFFSET}",
            "entries": f"127.0.0.1:{first_port + PEER_OFFSET}",
        }
        return path

    @contextmanager
    def watched(self, role):
        """Start a process and yield its watch once it serves."""
        with self.process(role) as process:
            watch = Watch(self, role, process)
            watch.check_service()
            # The first call loads the metrics library for good.
            watch.check_service("metrics", "/metrics")
            yield watch


class Watch:
    """Memory, descriptors and service of one process."""

    def __init__(self, site, role, process):
        self._process = process
        self._role = role
        self._addresses = site.ports[role]
        self._ordinary = (
            ("callers", "/render/")
            if role == "entry"
            else ("metrics", "/metrics")
        )

    def address(self, listener):
        return self._addresses[listener]

    def keep_asking(self):
        """Make ordinary requests; some may be refused."""
        while True:
            with suppress(FilbertlbError):
                self._ask(*self._ordinary)
            gevent.sleep(0.05)

    def check(self):
        """Check that the process serves and is within its machine."""
        # More than one request, so that all sent data had its turn.
        for _ in range(ORDINARY_REQUESTS):
            self.check_service()
        peak_mb = self._status_kb("VmHWM") / 1024
        kept_mb = self._status_kb("VmRSS") / 1024
        descriptors = len(listdir(f"/proc/{self._process.pid}/fd"))
        print(f"peak {peak_mb:.0f} MB, {kept_mb:.0f} MB, {descriptors} fds")
        assert peak_mb < MEMORY_MB[self._role]
        assert descriptors < MAX_FDS

    def check_service(self, *request):
        """Ask until an ordinary request is answered."""
        reply = None
        with gevent.Timeout(DEADLINE_S, False):
            while reply is None or reply.status != 200:
                assert self._process.poll() is None, "the process ended"
                with suppress(FilbertlbError):
                    reply = self._ask(*(request or self._ordinary))
                gevent.sleep(0.05)
        assert reply is not None and reply.status == 200, reply

    def _ask(self, listener, path):
        caller = HttpCaller(f"http://{self.address(listener)}", 1)
        try:
            return caller.get(path, 5.0, HEADERS)
        finally:
            caller.close()

    def _status_kb(self, name):
        text = Path(f"/proc/{self._process.pid}/status").read_text()
        return int(re.search(rf"{name}:\s+(\d+) kB", text)[1])


@pytest.fixture
def site(tmp_path):
    with ExitStack() as stack:
        yield HostileSite(tmp_path, stack)


def attack(watch, listener, clients, parts):
    """Check a process beside a crowd and after it has left."""
    ordinary_caller = gevent.spawn(watch.keep_asking)
    try:
        crowd = Crowd(watch.address(listener), clients, parts)
        try:
            watch.check()
        finally:
            crowd.leave()
    finally:
        ordinary_caller.kill()
    watch.check()


@pytest.mark.parametrize("name", ATTACKS)
def test_entry_withstands_callers(site, name):
    with site.watched("entry") as watch:
        attack(watch, "callers", *ATTACKS[name])


@pytest.mark.parametrize(
    ("role", "listener"),
    [
        ("entry", "readiness"),
        ("entry", "metrics"),
        ("entry", "entries"),
        ("agent", "heartbeats"),
        ("agent", "metrics"),
    ],
)
def test_listener_withstands_bodies_stopped_short(site, role, listener):
    """Guards against a listener that is left out of the budget."""
    name = "large_legal_bodies_stopped_short"
    with site.watched(role) as watch:
        attack(watch, listener, *ATTACKS[name])


def test_bodies_on_all_listeners_share_one_budget(site):
    """Guards against a budget for each listener instead of the process."""
    clients, parts = ATTACKS["large_legal_bodies_stopped_short"]
    with site.watched("entry") as watch, ExitStack() as stack:
        for listener in ("callers", "readiness", "metrics", "entries"):
            crowd = Crowd(watch.address(listener), clients // 4, parts)
            stack.callback(crowd.leave)
        watch.check()


def test_largest_legal_request_is_served_without_overload(site):
    """Guards against a budget that is too small for one legal request."""
    with site.watched("entry") as watch:
        caller = HttpCaller(f"http://{watch.address('callers')}", 1)
        path = "/render/00000000000000ab"
        # The body is no job, so it gets the answer of the application.
        reply = caller.post(path, b"x" * BODY_BYTES, DEADLINE_S, HEADERS)
        assert reply.status == 400
        watch.check()


def filled(start, item, end):
    """Return a largest legal body that repeats an item."""
    count = (BODY_BYTES - len(start) - len(end)) // (len(item) + 1)
    return start + b",".join([item] * count) + end


@pytest.mark.parametrize(
    "parts",
    [
        (b'{"spec":"a","steps":[', b'{"count":1}', b"]}"),
        (b'{"spec":"a","steps":[{"count":1,"after":[', b"0", b"]}]}"),
        (b'{"spec":"a","steps":[{"count":1}],"x":[', b"{}", b"]}"),
    ],
    ids=["steps", "dependencies", "unknown"],
)
def test_largest_jobs_are_decoded_within_the_machine(site, parts):
    """Guards against a legal body that takes much more once decoded."""
    body = filled(*parts)
    with site.watched("entry") as watch:
        caller = HttpCaller(f"http://{watch.address('callers')}", 1)
        for number in range(ORDINARY_REQUESTS):
            path = f"/render/{number:016x}"
            caller.post(path, body, DEADLINE_S, HEADERS)
        watch.check()


def endless(length):
    """Return an application whose answers take more than the machine has."""

    def application(environ, start_response):
        headers = [] if length is None else [("Content-Length", str(length))]
        start_response("200 OK", headers)
        return repeated(b"[", BLOCK, length or 2 * MEMORY_MB["entry"] * MIB)

    return application


class Switch:
    """Application that can be replaced while it serves."""

    def __init__(self, usual):
        self.usual = self.current = usual
        self.hostile_calls = 0

    def __call__(self, environ, start_response):
        self.hostile_calls += self.current is not self.usual
        return self.current(environ, start_response)


@pytest.mark.parametrize(
    ("role", "key"), [("entry", "platform"), ("agent", "app")]
)
@pytest.mark.parametrize("length", [None, 60 * MIB, 10**12])
def test_process_withstands_answers_without_end(site, role, key, length):
    """Guards against a store or worker whose answers are read whole."""
    usual = site.store if key == "platform" else site.worker
    switch = Switch(usual.application())
    with serving(switch) as url:
        address = url.removeprefix("http://")
        site.common_settings[key] = (
            {"addr": address} if key == "platform" else address
        )
        with site.watched(role) as watch:
            switch.current = endless(length)
            with gevent.Timeout(DEADLINE_S, False):
                while switch.hostile_calls < ORDINARY_REQUESTS:
                    gevent.sleep(0.05)
            assert switch.hostile_calls >= ORDINARY_REQUESTS
            switch.current = switch.usual
            watch.check()

"""Seeded random input for the reader of requests.

Guards against input that raises an exception which nobody handles, keeps
memory in the budget, or leaves a server that serves no further request.
"""

from __future__ import annotations

from contextlib import suppress
from random import Random

import gevent
import pytest
from gevent import get_hub
from gevent.socket import create_connection
from gevent.socket import SHUT_WR

from filbertlb.admission import Admission
from filbertlb.httpcall import HttpCaller
from filbertlb.httpserver import serving_http
from filbertlb.settings.process import Limits

SEEDS = range(20)
REQUESTS_PER_SEED = 30
LIMITS = Limits(
    body_bytes=100_000,
    header_bytes=2_000,
    held_bytes=400_000,
    connections=8,
    body_s=0.2,
    connection_idle_s=0.2,
    progress_s=0.1,
)
METHODS = (b"GET", b"POST", b"PUT", b"HEAD", b"DELETE", b"", b"get", b"\xff")
PATHS = (b"/", b"/x?y=%zz", b"//", b"/%00%ff", b"*", b"", b"/" + b"a" * 9000)
VERSIONS = (
    *(b"HTTP/1.1",) * 6,
    *(b"HTTP/1.0", b"HTTP/0.9", b"HTTP/2.0", b"HTTP/1", b"HTTP/a.b", b""),
)
LENGTHS = (
    *(b"0", b"5", b"70000", b"99999", b"100001", b"-1", b"1_0", b"+5"),
    *(b"", b"x", b"9" * 30, b"9" * 1500, b"\xb2", b"5, 5", b"0x5"),
)
FIELDS = (
    *(b"Host: h", b"Connection: close", b"Connection: keep-alive"),
    *(b"Expect: 100-continue", b"Expect: x", b"Transfer-Encoding: chunked"),
    *(b"Transfer-Encoding: ", b"Upgrade: websocket", b"no colon", b": none"),
    *(b" folded", b"\tfolded", b"a:b", b"A_B: c", b"X: \xff\x00", b"\x00"),
    *(b"X: " + b"x" * 3000, b"Cookie: a", b"Cookie: b", b"From: x", b"-"),
    *(b"Content-Type: \xe9", b"Content-Type:", b"GET / HTTP/1.1"),
)
ENDS = (*(b"\r\n",) * 8, b"\n", b"\r", b"")


def request(random):
    """Return what is mostly almost a request."""
    pick = random.choice
    start = b" ".join((pick(METHODS), pick(PATHS), pick(VERSIONS)))
    lines = [start, *random.choices(FIELDS, k=random.randrange(4))]
    if random.random() < 0.7:
        lines.append(b"Content-Length: " + pick(LENGTHS))
    text = b"".join(line + pick(ENDS) for line in lines) + pick(ENDS)
    text += random.randbytes(pick((0, 0, 5, 100, 70_000, 100_001)))
    if random.random() < 0.2:
        place = random.randrange(len(text) + 1)
        text = text[:place] + random.randbytes(3) + text[place + 3 :]
    if random.random() < 0.2:
        text = text[: random.randrange(len(text) + 1)]
    return text


def send(url, random):
    """Send a few requests, perhaps in fragments, and read or leave."""
    address = ("127.0.0.1", int(url.rsplit(":", 1)[1]))
    text = b"".join(request(random) for _ in range(random.randrange(1, 4)))
    with (
        suppress(OSError),
        create_connection(address, 5.0) as sock,
    ):
        size = random.choice((7, 1000, 100_000))
        for start in range(0, min(len(text), 50 * size), size):
            sock.sendall(text[start : start + size])
            gevent.sleep(0)
        if random.random() < 0.3:
            sock.shutdown(SHUT_WR)
        if random.random() < 0.8:
            while sock.recv(65536):
                pass


def echo(environ, start_response):
    body = environ["wsgi.input"].read()
    start_response("200 OK", [("Content-Length", str(len(body)))])
    return [body]


@pytest.mark.parametrize("seed", SEEDS)
def test_odd_requests_raise_nothing_and_keep_nothing(seed, monkeypatch):
    raised = []
    monkeypatch.setattr(
        get_hub(), "handle_error", lambda *error: raised.append(error)
    )
    admission = Admission(LIMITS.held_bytes)
    random = Random(seed)
    with serving_http(echo, "127.0.0.1", 0, LIMITS, admission) as url:
        clients = [
            gevent.spawn(send, url, Random(random.random()))
            for _ in range(REQUESTS_PER_SEED)
        ]
        gevent.joinall(clients, raise_error=True)
        with gevent.Timeout(30):
            while admission.connections:
                gevent.idle()
        assert admission.held_bytes == 0
        caller = HttpCaller(url, 1)
        assert caller.post("/x", b"hi", 30.0).body == b"hi"
        caller.close()
    assert raised == []

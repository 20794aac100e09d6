"""Calls of servers whose answers are larger than a process can hold."""

from __future__ import annotations

from contextlib import closing
from contextlib import contextmanager
from contextlib import suppress

import gevent
import pytest
from gevent.server import StreamServer

from filbertlb.admission import AnswerBudget
from filbertlb.admission import SMALL_BYTES
from filbertlb.httpcall import CallOutcomeUnknownError
from filbertlb.httpcall import HttpCaller

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"1000\r\n" + b"x" * 4096 + b"\r\n"
MANY = 20_000
ANSWER_BYTES = 300_000


@contextmanager
def server(start, block, blocks):
    """Serve one answer; yield its URL and the count of blocks sent."""
    sent = []

    def handle(sock, _):
        with closing(sock), suppress(OSError):
            sock.recv(65536)
            sock.sendall(start)
            for _ in range(blocks):
                sock.sendall(block)
                sent.append(len(block))

    with closing(StreamServer(("127.0.0.1", 0), handle)) as listener:
        listener.start()
        yield f"http://127.0.0.1:{listener.server_port}", sent


@pytest.mark.parametrize(
    ("start", "block"),
    [
        (CHUNKED, CHUNK),
        (HEAD + b"Content-Length: 80000000\r\n\r\n", CHUNK),
        (HEAD + b"X: ", b"x" * 4096),
        (HEAD, b"X: %s\r\n" % (b"x" * 1000) * 4),
        (HEAD, b"a:b\r\n" * 800),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 160),
    ],
    ids=["chunks", "length", "header", "headers", "fields", "interim"],
)
def test_answer_without_end_is_not_read_on(start, block):
    """Guards against memory that follows from what a server sends."""
    answers = AnswerBudget(ANSWER_BYTES, ANSWER_BYTES)
    with (
        server(start, block, MANY) as (url, sent),
        closing(HttpCaller(url, answers=answers)) as caller,
    ):
        with pytest.raises(CallOutcomeUnknownError):
            caller.post("/x", b"", 30.0)
        # The connection is closed, so the server cannot send the rest.
        gevent.idle()
        assert len(sent) < MANY
    assert answers.held_bytes == 0


def test_answer_up_to_its_bound_is_read():
    answers = AnswerBudget(ANSWER_BYTES, ANSWER_BYTES)
    body = b"x" * (ANSWER_BYTES - SMALL_BYTES)
    start = HEAD + b"Content-Length: %d\r\n\r\n" % len(body)
    with (
        server(start, body, 1) as (url, _),
        closing(HttpCaller(url, answers=answers)) as caller,
    ):
        assert caller.get("/x", 30.0).body == body
    assert answers.held_bytes == 0
    assert answers.refused == 0


def test_callers_share_the_budget_and_small_answers_are_read():
    """Guards against many large answers at once."""
    answers = AnswerBudget(ANSWER_BYTES, ANSWER_BYTES)
    held = 0
    while answers.grow(held, 16_384):
        held += 16_384
    assert answers.held_bytes <= ANSWER_BYTES
    assert not answers.grow(SMALL_BYTES, ANSWER_BYTES - SMALL_BYTES)
    assert answers.grow(0, SMALL_BYTES)
    assert answers.refused == 2

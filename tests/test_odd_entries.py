"""Bytes of other writers, however odd, are decoded or a coded error."""

from __future__ import annotations

from base64 import urlsafe_b64encode
from pathlib import Path
from re import search
from re import sub
from zlib import compress

import attrs
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from msgspec import msgpack
from msgspec.json import encode

from filbertlb.agent.labels import decode_label
from filbertlb.api.auth import TokenRecord
from filbertlb.api.calls import Call
from filbertlb.api.calls import Identity
from filbertlb.backend.fake import FakeWorker
from filbertlb.backend.fake import parse_command
from filbertlb.batch.configuration import Queue
from filbertlb.batch.forwarding import JobCall
from filbertlb.batch.model import Job
from filbertlb.batch.model import JobStatus
from filbertlb.batch.model import Orders
from filbertlb.batch.model import Progress
from filbertlb.batch.model import Run
from filbertlb.batch.model import WorkerReport
from filbertlb.batch.testing import an_order
from filbertlb.client import Answer
from filbertlb.core import job_record
from filbertlb.core.attempt_rows import decode_attempt
from filbertlb.core.clock import VirtualClock
from filbertlb.core.lease import LeaseRecord
from filbertlb.core.model import Resources
from filbertlb.decoding import decode_json
from filbertlb.decoding import MalformedDataError
from filbertlb.decoding import MAX_DEPTH
from filbertlb.entry.registry import EntryRow
from filbertlb.errors import FilbertlbError
from filbertlb.errors import OutcomeUnknownError
from filbertlb.errors import UnavailableError
from filbertlb.httpcall import Reply
from filbertlb.messages import MESSAGE_VERSION
from filbertlb.platform.runner import PlatformWorkerClient
from filbertlb.platform.settings import load_settings_file
from filbertlb.platform.store import PlatformTable
from filbertlb.platform.wire import decode_configuration
from filbertlb.platform.wire import decode_heartbeat
from filbertlb.platform.wire import decode_job
from filbertlb.settings.load import load_settings
from filbertlb.settings.process import ProcessSettings
from filbertlb.table.base import Row
from filbertlb.table.rows import decode_row
from filbertlb.table.rows import encode_value
from filbertlb.table.rows import MAX_VALUE_BYTES
from filbertlb.table.rows import UnreadableRowError
from filbertlb.table.wire import GetReply
from filbertlb.transport.codec import KeyRing
from filbertlb.transport.codec import MessageCodec
from filbertlb.typedcall import TypedCaller
from filbertlb.typedserver import typed

QUEUE = Queue("q", "h", "/", "s", 0, 1, 1.0, 0, True, False)
CODEC = MessageCodec(KeyRing({1: b"k" * 32}))
DEEP = b"[" * 100_000 + b"]" * 100_000
DEEP_OBJECTS = b'{"a":' * 100_000 + b"1" + b"}" * 100_000


class FixedCaller:
    """Answers every call with the same reply."""

    def __init__(self, status, body):
        self.reply = Reply(status, body, "application/json")

    def post(self, *_, **__):
        return self.reply

    get = post


def read_snapshot(body):
    table = PlatformTable("127.0.0.1:1")
    table._caller = FixedCaller(200, body)
    table.snapshot("state/")


def read_changes(body):
    table = PlatformTable("127.0.0.1:1")
    table._feed_caller = FixedCaller(200, body)
    table.changes("state", 0, 0.0)


def list_runs(body):
    client = PlatformWorkerClient("127.0.0.1:1", VirtualClock())
    client._caller = FixedCaller(200, body)
    client.list_runs("i@1", 1, 0, 1.0, 0.0)


def start_run(body):
    client = PlatformWorkerClient("127.0.0.1:1", VirtualClock())
    client._caller = FixedCaller(409, body)
    client.start(an_order("j.0.0.0"), "", 1, 1.0)


def call_peer(status):
    def decode(body):
        caller = FixedCaller(status, body)
        TypedCaller(caller, 1.0, UnavailableError, OutcomeUnknownError).call(
            "/configuration", JobCall("j"), GetReply
        )

    return decode


def decode_api_body(body):
    Call(Identity("t"), {}, {}, {}, body).json(EntryRow)


def restore_fake(body):
    FakeWorker().start("t", "", Resources(), body.decode("latin-1"))


def row_decoder(cls):
    return lambda body: decode_row(Row("state/x", body, 1), cls)


def open_frame(payload):
    CODEC.decode(CODEC.keys.seal(payload))


def decode_packed_label(packed):
    decode_label("flb." + urlsafe_b64encode(packed).decode())


JSON_DECODERS = {
    "api body": decode_api_body,
    "attempt": decode_attempt,
    "client": lambda body: Answer(200, body, "").json(),
    "configuration": decode_configuration,
    "entry": row_decoder(EntryRow),
    "fake checkpoint": restore_fake,
    "fake command": parse_command,
    "heartbeat": lambda body: decode_heartbeat("i-1", body),
    "hold reply": list_runs,
    "job": lambda body: decode_job(body, "j", QUEUE, "o", 0),
    "job record": job_record.decode,
    "job row": row_decoder(Job),
    "lease": row_decoder(LeaseRecord),
    "orders": row_decoder(Orders),
    "peer call": lambda body: typed(GetReply, attrs.asdict)("/x", body),
    "peer error": call_peer(503),
    "peer reply": call_peer(200),
    "progress": row_decoder(Progress),
    "start reply": start_run,
    "status": row_decoder(JobStatus),
    "store changes": read_changes,
    "store page": read_snapshot,
    "token": row_decoder(TokenRecord),
    "worker report": row_decoder(WorkerReport),
}
PACKED_DECODERS = {"frame": open_frame, "label": decode_packed_label}

ODD_TEXTS = {
    "arrays": DEEP,
    "objects": DEEP_OBJECTS,
    "deep member": b'{"odd":' + DEEP + b"}",
    "deep known members": b"{%s}"
    % b",".join(
        b'"%s":%s' % (name, DEEP)
        for name in (b"version", b"rows", b"running", b"finished", b"steps")
    ),
    "unfinished": DEEP[:100_000],
    "quote": b'["' + DEEP,
    "not UTF-8": b'"\xff\xfe"',
    "member not UTF-8": b'{"version":"\xff"}',
    "surrogate": b'{"version":"\\ud800"}',
    "empty": b"",
    "null": b"null",
}


def assert_decoded_or_coded(decode, body):
    """Fail on any error that has no code."""
    try:
        decode(body)
    except FilbertlbError as error:
        assert error.code
        assert len(error.message) < 2000


@pytest.mark.parametrize("name", JSON_DECODERS)
@pytest.mark.parametrize("odd", ODD_TEXTS)
def test_odd_text_is_decoded_or_a_coded_error(name, odd):
    # Deep nesting raised RecursionError past every handler.
    assert_decoded_or_coded(JSON_DECODERS[name], ODD_TEXTS[odd])


@pytest.mark.parametrize(
    ("start", "end"), [("[", "]"), ('{"a":', "}"), ("[1,", "]")]
)
def test_deep_value_in_one_route_leaves_the_others(start, end):
    # Cutting off deep objects left text that is no JSON.
    deep = start * 5000 + "1" + end * 5000
    route = '{"name":"r","host":"h","service":"s"}'
    body = f'{{"version":1,"routes":[{route},{{"junk":{deep}}}]}}'
    configuration = decode_configuration(body.encode())
    assert [queue.name for queue in configuration.queues_by_host["h"]] == ["r"]


@pytest.mark.parametrize("depth", [MAX_DEPTH, MAX_DEPTH + 1, 200])
@pytest.mark.parametrize(("start", "end"), [("[", "]"), ('{"a":', "}")])
def test_no_part_of_a_value_without_a_type_is_dropped(depth, start, end):
    # The values of a caller's body were cut off without a word.
    text = start * depth + "1" + end * depth
    if depth <= MAX_DEPTH:
        assert encode(decode_json(text)).decode() == text
    else:
        with pytest.raises(MalformedDataError):
            decode_json(text)


DEEP_PACKED = b"\x91" * 100_000 + b"\x01"
ODD_PACKED = {
    "deep": DEEP_PACKED,
    "deep part": b"\x94" + DEEP_PACKED * 4,
    "deep body": msgpack.encode(
        (MESSAGE_VERSION, "StartMember", "m", "", "s", 0)
    ).replace(b"\x96", b"\x97", 1)
    + DEEP_PACKED,
    "truncated": b"\x97\x01",
    "kind of a wrong type": msgpack.encode(
        (MESSAGE_VERSION, [], "m", "", "s", 0, {})
    ),
}


@pytest.mark.parametrize("name", PACKED_DECODERS)
@pytest.mark.parametrize("odd", ODD_PACKED)
def test_odd_packed_bytes_are_decoded_or_a_coded_error(name, odd):
    assert_decoded_or_coded(PACKED_DECODERS[name], ODD_PACKED[odd])


@pytest.mark.parametrize(
    "text",
    [DEEP, DEEP_OBJECTS, b'{"a":' * 900 + b"1" + b"}" * 900],
    ids=["arrays", "objects", "fewer objects"],
)
@pytest.mark.parametrize(
    "load",
    [
        lambda path: load_settings_file(str(path)),
        lambda path: load_settings([path], ProcessSettings),
    ],
    ids=["platform", "process"],
)
def test_deeply_nested_settings_file_is_a_coded_error(load, text, tmp_path):
    path = tmp_path / "settings.json"
    path.write_bytes(text)
    with pytest.raises(FilbertlbError):
        load(path)


@given(st.binary(max_size=200), st.sampled_from(sorted(JSON_DECODERS)))
@settings(derandomize=True, deadline=None, max_examples=500)
def test_any_bytes_are_decoded_or_a_coded_error(body, name):
    assert_decoded_or_coded(JSON_DECODERS[name], body)


@given(st.binary(max_size=200), st.sampled_from(sorted(PACKED_DECODERS)))
@settings(derandomize=True, deadline=None, max_examples=300)
def test_any_packed_bytes_are_decoded_or_a_coded_error(body, name):
    assert_decoded_or_coded(PACKED_DECODERS[name], body)


LONG_REPORT = WorkerReport(
    "n", "r", running=tuple(Run(f"j.0.0.{n}", 1) for n in range(50))
)
COMPRESSED = encode_value(LONG_REPORT)
DAMAGED_VALUES = {
    "without checksum": COMPRESSED[:-4],
    "without a byte": COMPRESSED[:-1],
    "half": COMPRESSED[: len(COMPRESSED) // 2],
    "first byte": COMPRESSED[:1],
    "wrong checksum": COMPRESSED[:-1] + bytes((COMPRESSED[-1] ^ 1,)),
    "more after the end": COMPRESSED + b"{}",
    "too long": compress(b"{}" + b" " * MAX_VALUE_BYTES),
}


@pytest.mark.parametrize("damage", DAMAGED_VALUES)
def test_damaged_compressed_value_is_unreadable(damage):
    # A value without its last bytes was read as if it were whole.
    assert decode_row(Row("k", COMPRESSED, 1), WorkerReport) == LONG_REPORT
    row = Row("k", DAMAGED_VALUES[damage], 1)
    with pytest.raises(UnreadableRowError):
        decode_row(row, WorkerReport)


READERS_OF_OWN_FILES = {
    "filbertlb/core/charts.py",
    "filbertlb/settings/load.py",
    "filbertlb/settings/decode.py",
}


def test_foreign_bytes_are_decoded_in_one_module():
    # A decoder called elsewhere raises errors that have no code.
    root = Path(__file__).parent.parent
    direct = [
        str(path.relative_to(root))
        for path in sorted((root / "filbertlb").rglob("*.py"))
        if search(
            r"json\.decode|msgpack\.decode|msgspec\.convert|json\.loads"
            r"|import (decode|loads|convert)\b",
            sub(
                r"from filbertlb\.\S+ import.*",
                "",
                path.read_text(encoding="utf-8"),
            ),
        )
        and "standin" not in path.parts
    ]
    assert set(direct) - READERS_OF_OWN_FILES == {"filbertlb/decoding.py"}

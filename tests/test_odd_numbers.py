"""Numbers of other writers are in their range, or the value is refused."""

from __future__ import annotations

from json import dumps
from json import loads

import attrs
import pytest
from msgspec import inspect
from msgspec import structs
from msgspec.json import encode

from filbertlb.api.auth import TokenRecord
from filbertlb.batch.configuration import Queue
from filbertlb.batch.forwarding import JobCall
from filbertlb.batch.forwarding import StateReply
from filbertlb.batch.model import Crash
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import Job
from filbertlb.batch.model import JobState
from filbertlb.batch.model import JobStatus
from filbertlb.batch.model import Orders
from filbertlb.batch.model import Progress
from filbertlb.batch.model import Run
from filbertlb.batch.model import RunEnd
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.model import TaskRecord
from filbertlb.batch.model import WorkerReport
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_report
from filbertlb.batch.testing import an_order
from filbertlb.batch.testing import some_orders
from filbertlb.core.attempt_rows import AttemptRow
from filbertlb.core.audit import AuditHead
from filbertlb.core.clock import VirtualClock
from filbertlb.core.job_record import JobRecord
from filbertlb.core.lease import LeaseRecord
from filbertlb.core.revisions import Revision
from filbertlb.entry.registry import EntryRow
from filbertlb.errors import FilbertlbError
from filbertlb.httpcall import Reply
from filbertlb.platform import runner
from filbertlb.platform import settings as platform_settings
from filbertlb.platform import store
from filbertlb.platform import wire
from filbertlb.platform.runner import PlatformWorkerClient
from filbertlb.platform.store import PlatformTable
from filbertlb.platform.wire import decode_configuration
from filbertlb.platform.wire import decode_heartbeat
from filbertlb.platform.wire import decode_job
from filbertlb.settings.decode import convert
from filbertlb.settings.decode import InvalidValueError
from filbertlb.settings.process import Limits
from filbertlb.table.audit import _StoredEntry
from filbertlb.table.base import Row
from filbertlb.table.configuration import ConfigHead
from filbertlb.table.rows import decode_row
from filbertlb.table.wire import CommitCall
from filbertlb.table.wire import CommitReply
from filbertlb.table.wire import GetReply
from filbertlb.table.wire import ScanCall
from filbertlb.table.wire import ScanReply
from tests.platform.operators import configuration
from tests.platform.test_heartbeats import HEARTBEAT

MAX_INT64 = 2**63 - 1
QUEUE = Queue("q", "h", "/", "s", 0, 1, 1.0, 0, True, False)
ROW_CLASSES = (
    *(AttemptRow, AuditHead, CommitCall, CommitReply, ConfigHead, EntryRow),
    *(GetReply, Job, JobCall, JobRecord, JobStatus, LeaseRecord, Orders),
    *(Progress, Revision, ScanCall, ScanReply, StateReply, TokenRecord),
    *(WorkerReport, _StoredEntry),
    *(platform_settings._File, runner._CallReply, runner._HoldReply),
    *(runner._ListedEnd, runner._ListedRun, runner._NumberedEnd),
    *(store._Rows, wire.Configuration, wire._Heartbeat, wire._Job),
    *(wire.Route, wire.Tenant),
)


def numbers_without_range(kind, path, seen):
    """Yield the paths of integers below a type that may be of any length."""
    if isinstance(kind, inspect.IntType) and None in (kind.ge, kind.le):
        yield path
    parts = [
        getattr(kind, name, None)
        for name in ("item_type", "key_type", "value_type")
    ]
    parts += getattr(kind, "item_types", ())
    parts += getattr(kind, "types", ())
    for part in parts:
        if isinstance(part, inspect.Type):
            yield from numbers_without_range(part, path, seen)
    cls = getattr(kind, "cls", None)
    if cls not in seen:
        seen.add(cls)
        for field in getattr(kind, "fields", ()):
            name = f"{cls.__qualname__}.{field.name}"
            yield from numbers_without_range(field.type, name, seen)


@pytest.mark.parametrize("cls", ROW_CLASSES)
def test_every_integer_that_is_decoded_has_a_range(cls):
    kind = inspect.type_info(cls)
    assert list(numbers_without_range(kind, cls.__name__, {None})) == []


class FixedCaller:
    """Answers every call with the same reply."""

    def __init__(self, body):
        self.reply = Reply(200, body, "application/json")

    def post(self, *_, **__):
        return self.reply

    get = post


def list_runs(body):
    client = PlatformWorkerClient("127.0.0.1:1", VirtualClock())
    client._caller = FixedCaller(body)
    client.list_runs("i@1", 1, 0, 1.0, 0.0)
    # The clock of the reply is part of each later call.
    listing = client.list_runs("i@1", 1, 0, 1.0, 0.0)
    return [listing, client._deadline_ms(listing.incarnation, 1.0)]


def read_changes(body):
    table = PlatformTable("127.0.0.1:1")
    table._feed_caller = FixedCaller(body)
    return table.changes("state", 0, 0.0)


def row_decoder(cls):
    return lambda body: decode_row(Row("state/x", body, 1), cls)


PROGRESS = Progress(
    "j",
    JobState.ACTIVE,
    True,
    {
        "j.0.0.0": TaskRecord(
            TaskPhase.ORDERED, 1, node="n", crashes=(Crash("n", 3),)
        )
    },
)
REPORT = a_report(
    "n",
    running=(Run("j.0.0.0", 1, "", 40),),
    ended=(RunEnd("j.0.0.1", 1, EndCause.LOST, "", 200),),
)
JOB_BODY = {
    "spec": "s",
    "times": 2,
    "startAtMs": 5,
    "intervalMs": 5,
    "steps": [
        {
            "count": 1,
            "cpu": 1,
            "memMb": 1,
            "gpu": 1,
            "estimateMs": 1,
            "after": [0],
            "maxPerServer": 1,
        }
    ],
}
HOLD_REPLY = {
    "clockMs": 5,
    "born": 7,
    "running": [["j.0.0.0", 1, "", 41]],
    "finished": [[58, "j.0.0.9", 1, "done", ""]],
}
STORE_REPLY = {
    "rows": [{"table": "state", "key": "a", "schemaVersion": 3, "value": ""}],
    "schemaVersion": 3,
}
SAMPLES = {
    "configuration": (loads(configuration()), decode_configuration),
    "heartbeat": (
        HEARTBEAT | {"remainingMs": 3},
        lambda body: decode_heartbeat("i", body),
    ),
    "hold reply": (HOLD_REPLY, list_runs),
    "job": (JOB_BODY, lambda body: decode_job(body, "j", QUEUE, "o", 0)),
    "job row": (loads(encode(a_job("j"))), row_decoder(Job)),
    "orders": (
        loads(encode(some_orders(an_order("j.0.0.0")))),
        row_decoder(Orders),
    ),
    "progress": (loads(encode(PROGRESS)), row_decoder(Progress)),
    "store changes": (STORE_REPLY, read_changes),
    "worker report": (loads(encode(REPORT)), row_decoder(WorkerReport)),
}


def number_paths(value, path=()):
    """Yield the paths of the numbers in a decoded JSON value."""
    if isinstance(value, dict):
        for key, item in value.items():
            yield from number_paths(item, (*path, key))
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield from number_paths(item, (*path, index))
    elif isinstance(value, int | float) and not isinstance(value, bool):
        yield path


def with_text(value, path, text):
    """Return JSON in which a text stands at a path."""
    copy = loads(dumps(value))
    place = copy
    for key in path[:-1]:
        place = place[key]
    place[path[-1]] = "@"
    return dumps(copy).replace('"@"', text).encode()


def numbers_in(value):
    """Yield the numbers in a decoded value."""
    if attrs.has(type(value)):
        value = attrs.asdict(value, recurse=False)
    elif hasattr(type(value), "__struct_fields__"):
        value = structs.asdict(value)
    if isinstance(value, dict):
        value = [*value.keys(), *value.values()]
    if isinstance(value, list | tuple | set):
        for item in value:
            yield from numbers_in(item)
    elif isinstance(value, int | float):
        yield value


ODD_NUMBERS = {
    "300 digits": "9" * 300,
    "400 digits": "9" * 400,
    "minus 300 digits": "-" + "9" * 300,
    "5000 digits": "9" * 5000,
    "over 64 bits": str(2**63),
    "large float": "1e308",
    "infinite": "1e400",
    "NaN": "NaN",
    "Infinity": "Infinity",
    "text": '"x"',
    "fraction": "1.5",
    "null": "null",
    "list": "[1]",
}


@pytest.mark.parametrize("odd", ODD_NUMBERS)
@pytest.mark.parametrize(
    ("name", "path"),
    [
        (name, path)
        for name, (sample, _) in SAMPLES.items()
        for path in number_paths(sample)
    ],
    ids=lambda part: (
        ".".join(map(str, part)) if isinstance(part, tuple) else part
    ),
)
def test_odd_number_is_refused_or_in_range(name, path, odd):
    # An integer of any length was kept, and failed where it met a float.
    sample, decode = SAMPLES[name]
    body = with_text(sample, path, ODD_NUMBERS[odd])
    try:
        decoded = decode(body)
    except FilbertlbError:
        return
    assert all(abs(number) <= MAX_INT64 for number in numbers_in(decoded))


@pytest.mark.parametrize("name", SAMPLES)
def test_samples_of_odd_numbers_are_decoded(name):
    sample, decode = SAMPLES[name]
    assert list(numbers_in(decode(dumps(sample).encode())))


@pytest.mark.parametrize("name", ["configuration", "heartbeat", "job"])
def test_fields_of_value_zero_may_be_left_out(name):
    sample, decode = SAMPLES[name]
    left_out = {
        "heartbeat": ("born", "clockMs", "remainingMs"),
        "job": ("times", "startAtMs", "intervalMs"),
        "configuration": ("tenants",),
    }[name]
    body = {key: sample[key] for key in sample if key not in left_out}
    decode(dumps(body).encode())


@pytest.mark.parametrize(
    ("name", "number"),
    [
        ("connections", 10**300),
        ("connections", 2**63),
        ("drain_s", float("inf")),
        ("drain_s", float("nan")),
        ("drain_s", 10**300),
    ],
    ids=["300 digits", "over 64 bits", "infinite", "NaN", "as a float"],
)
def test_odd_number_in_settings_is_refused(name, number):
    with pytest.raises(InvalidValueError, match=name):
        convert({name: number}, Limits)

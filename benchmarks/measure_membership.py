"""Measures announcements: bytes, time and memory for each member.

Run as ``python -m benchmarks.measure_membership``; writes
``benchmarks/results/membership.json`` and prints it.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from random import Random
from time import process_time
from tracemalloc import get_traced_memory
from tracemalloc import start
from tracemalloc import stop
from typing import Any

import attrs
from msgspec import msgpack

from benchmarks.membership_timers import exponential
from benchmarks.membership_timers import jittered
from benchmarks.membership_timers import run_timer
from benchmarks.membership_timers import spread_by_entries
from benchmarks.membership_timers import spread_by_samples
from filbertlb.core.announcing import announce_period_s
from filbertlb.core.membership import BEATS_PER_ANSWER
from filbertlb.core.membership import EndpointTable
from filbertlb.core.membership_times import MembershipTimes
from filbertlb.core.model import Resources
from filbertlb.core.site_parts import SiteLimits
from filbertlb.messages import Announce
from filbertlb.messages import AnnounceAck
from filbertlb.messages import Beat
from filbertlb.messages import Role
from filbertlb.messages import TaskPhase
from filbertlb.messages import TaskStatus
from filbertlb.messages import Token
from filbertlb.transport.codec import Envelope
from filbertlb.transport.codec import KeyRing
from filbertlb.transport.codec import MessageCodec

RESULTS_PATH = Path("benchmarks") / "results" / "membership.json"
MEMBERS = (10, 100, 107, 375, 750)
ENTRIES = 7
TASKS_PER_WORKER = 3
ROUNDS = 20
LOSS = 0.01
TIMER_S = 600.0
SEED = 20
ADDRESS = "10.20.30.40:8081"
# TCP and IP headers, and the eight bytes of length of an nng message.
FRAMING_BYTES = 20 + 20 + 8

TIMES = MembershipTimes()
CODEC = MessageCodec(KeyRing({1: bytes(32)}))


def status(index: int) -> TaskStatus:
    """Return a running member of a job."""
    token = Token(f"{index:032x}", index, "0123456789abcdef", "dalmatia", 7)
    return TaskStatus(
        token=token,
        job_id=f"{index:032x}",
        organisation_id="coastal-rental",
        phase=TaskPhase.RUNNING,
        needs=Resources(2, 8.0, 24.0),
    )


def announce(name: str, sequence: int, tasks: int) -> Announce:
    """Return a worker's full announcement."""
    return Announce(
        endpoint_id=name,
        incarnation="0123456789abcdef",
        role=Role.WORKER,
        address=ADDRESS,
        region="dalmatia",
        failure_domain="split-a",
        rack="split-a-1",
        sequence=sequence,
        capacity=Resources(8, 30.0, 119.0),
        revision=780,
        tasks=tuple(status(index) for index in range(tasks)),
    )


def beat(name: str, sequence: int) -> Beat:
    """Return a worker's beat."""
    return Beat(name, "0123456789abcdef", sequence, 1, 2)


def answer(entries: int) -> AnnounceAck:
    """Return an entry's answer that lists some entries."""
    addresses = tuple(f"10.20.30.{index}:8081" for index in range(entries))
    return AnnounceAck("entry-split-a-1", addresses, 1.0, 780, 123456)


def frame(message: Any) -> bytes:
    """Return a message as it is sent."""
    envelope = Envelope("0123abcd1f", "", ADDRESS, 780, message)
    return CODEC.encode(envelope)


def wire_bytes(message: Any) -> int:
    """Return the bytes that a message takes on the wire."""
    return len(frame(message)) + FRAMING_BYTES


def array_bytes(message: Any) -> int:
    """Return the bytes of a message without the names of its fields."""
    names = len(msgpack.encode(message)) - len(
        msgpack.encode(attrs.astuple(message))
    )
    return wire_bytes(message) - names


def measure_bytes() -> dict[str, int]:
    """Return the size of each message."""
    return {
        "announce": wire_bytes(announce("worker-0001", 1, 0)),
        "announce_with_tasks": wire_bytes(
            announce("worker-0001", 1, TASKS_PER_WORKER)
        ),
        "beat": wire_bytes(beat("worker-0001", 123456)),
        "ack": wire_bytes(answer(0)),
        "ack_with_entries": wire_bytes(answer(ENTRIES)),
        "beat_as_array": array_bytes(beat("worker-0001", 123456)),
        "ack_as_array": array_bytes(answer(0)),
    }


def receive(table: EndpointTable, data: bytes, now_s: float) -> None:
    """Do what an entry does with one announcement."""
    message = CODEC.decode(data).message
    if isinstance(message, Beat):
        heard = table.beat(message, TIMES.period_s, now_s)
    else:
        heard = table.announced(message, TIMES.period_s, now_s)
    if heard.answer:
        frame(answer(0))


def measure_time(members: int) -> dict[str, float]:
    """Return processor time at the entry, in microseconds."""
    names = [f"worker-{index:04d}" for index in range(members)]
    full = [frame(announce(name, 1, TASKS_PER_WORKER)) for name in names]
    table = EndpointTable(TIMES)
    full_us = _microseconds(full, table, 0.0) / members
    beats = [
        frame(beat(name, sequence))
        for sequence in range(2, ROUNDS + 2)
        for name in names
    ]
    beat_us = _microseconds(beats, table, 0.5) / len(beats)
    started_s = process_time()
    for index in range(ROUNDS):
        table.tick(0.5 + index / 100)
    tick_us = (process_time() - started_s) * 1e6 / ROUNDS
    return {"full_us": full_us, "beat_us": beat_us, "tick_us": tick_us}


def _microseconds(
    frames: list[bytes], table: EndpointTable, now_s: float
) -> float:
    started_s = process_time()
    for data in frames:
        receive(table, data, now_s)
    return (process_time() - started_s) * 1e6


def measure_memory(members: int) -> float:
    """Return the bytes that an entry holds for each member."""
    table = EndpointTable(TIMES)
    frames = [
        frame(announce(f"worker-{index:04d}", 1, TASKS_PER_WORKER))
        for index in range(members)
    ]
    start()
    before, _ = get_traced_memory()
    for data in frames:
        receive(table, data, 0.0)
    after, _ = get_traced_memory()
    stop()
    return (after - before) / members


def measure_period(members: int, exchange_bytes: float) -> dict[str, float]:
    """Return the period that an entry tells, and what that costs it."""
    budget = SiteLimits().control_bytes_per_s
    period_s = announce_period_s(members, exchange_bytes, budget, TIMES)
    mean_s = period_s * (1.0 - TIMES.jitter / 2)
    return {
        "period_s": period_s,
        "entry_bytes_per_s": members * exchange_bytes / mean_s,
        "agent_bytes_per_s": exchange_bytes / mean_s,
        "suspect_s": period_s * TIMES.missed_suspect,
        "dead_s": period_s * TIMES.missed_dead,
    }


def measure_timers(members: int, period_s: float) -> dict[str, Any]:
    """Compare the plain way with exponential timers and samples."""
    results = {}
    threshold_s = period_s * TIMES.missed_suspect
    for name, make in (("jittered", jittered), ("exponential", exponential)):
        rng = Random(SEED)
        wait = make(TIMES, period_s, rng)
        results[name] = attrs.asdict(
            run_timer(wait, members, threshold_s, LOSS, TIMER_S, rng)
        )
    rng = Random(SEED)
    plain = spread_by_entries(members, ENTRIES, period_s, 1.0, rng)
    samples = spread_by_samples(members, period_s, rng)
    results["spread_by_entries_s"] = plain[-1]
    results["spread_by_samples_s"] = samples[-1]
    return results


def measure() -> dict[str, Any]:
    """Return all figures."""
    sizes = measure_bytes()
    exchange_bytes = sizes["beat"] + sizes["ack"] / BEATS_PER_ANSWER
    array_exchange_bytes = (
        sizes["beat_as_array"] + sizes["ack_as_array"] / BEATS_PER_ANSWER
    )
    by_members = {}
    for members in MEMBERS:
        period = measure_period(members, exchange_bytes)
        arrays = measure_period(members, array_exchange_bytes)
        by_members[members] = {
            **period,
            "as_array": arrays,
            **measure_time(members),
            "bytes_held_per_member": measure_memory(members),
            **measure_timers(members, period["period_s"]),
        }
    return {"bytes": sizes, "by_members": by_members}


def main() -> None:
    """Write the figures."""
    text = json.dumps(measure(), indent=2)
    RESULTS_PATH.parent.mkdir(exist_ok=True)
    RESULTS_PATH.write_text(text + "\n", encoding="utf-8")
    sys.stdout.write(text + "\n")


if __name__ == "__main__":
    main()

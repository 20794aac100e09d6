"""One entry, or many agents, in a process that tells what it has used.

Run as ``python -m benchmarks.capacity_process SETTINGS`` by
``benchmarks.capacity_site``; answers a :class:`Sample` as a line of JSON
to each line that it reads, and stops at the end of its input.
"""

from __future__ import annotations

import sys
from collections import Counter
from contextlib import contextmanager
from contextlib import ExitStack
from time import process_time
from typing import TYPE_CHECKING

import attrs
from gevent.fileobject import FileObject
from loguru import logger
from msgspec.json import decode
from msgspec.json import encode
from psutil import Process

from filbertlb.agent.app import AgentSetup
from filbertlb.agent.app import open_runner_agent
from filbertlb.agent.app import open_worker_agent
from filbertlb.api.auth import TokenRecord
from filbertlb.backend.fake import FakeRunner
from filbertlb.backend.fake import FakeWorker
from filbertlb.backend.http import HttpWorker
from filbertlb.core.clock import SystemClock
from filbertlb.core.model import Resources
from filbertlb.entry.app import open_entry
from filbertlb.entry.setup import EntrySetup
from filbertlb.messages import Role
from filbertlb.table.http import HttpTable
from filbertlb.transport.codec import KeyRing
from filbertlb.transport.codec import MessageCodec

if TYPE_CHECKING:
    from collections.abc import Iterator

    from filbertlb.entry.app import Entry

HOST = "127.0.0.1"
WORKER_CAPACITY = Resources(8, 30.0, 128.0)


@attrs.frozen
class ProcessPlan:
    """What the process runs.

    Parameters
    ----------
    role : Role, optional
        Kind of the agents; None for an entry.
    agents : int
        Number of agents.
    backend_url : str
        Stand-in of the one worker; empty for workers in process.
    """

    name: str
    table_url: str
    key: str
    failure_domain: str
    role: Role | None = None
    agents: int = 0
    backend_url: str = ""
    operator: TokenRecord | None = None


@attrs.frozen
class Sample:
    """What the process has used since its start.

    Parameters
    ----------
    frames_in, frames_out : dict of str to int
        Frames by kind of message.
    bytes_in, bytes_out : dict of str to int
        Their bytes, without the headers of TCP and IP.
    table_reads, table_commits, rows_written : int
        Calls of the table service, and rows in its transactions.
    epoch, revision, endpoints : int
        Of an entry: its epoch as decider, its revision and the number
        of endpoints that it knows.
    """

    cpu_s: float
    rss_bytes: int
    frames_in: dict[str, int]
    frames_out: dict[str, int]
    bytes_in: dict[str, int]
    bytes_out: dict[str, int]
    table_reads: int
    table_commits: int
    rows_written: int
    epoch: int = 0
    revision: int = 0
    endpoints: int = 0
    url: str = ""


class CountedCodec:
    """A codec that counts frames and bytes by kind of message."""

    def __init__(self, codec: MessageCodec) -> None:
        self.frames_in: Counter[str] = Counter()
        self.frames_out: Counter[str] = Counter()
        self.bytes_in: Counter[str] = Counter()
        self.bytes_out: Counter[str] = Counter()
        self._codec = codec

    def encode(self, envelope):
        """Encode and count."""
        frame = self._codec.encode(envelope)
        kind = type(envelope.message).__name__
        self.frames_out[kind] += 1
        self.bytes_out[kind] += len(frame)
        return frame

    def decode(self, frame):
        """Decode and count."""
        envelope = self._codec.decode(frame)
        kind = type(envelope.message).__name__
        self.frames_in[kind] += 1
        self.bytes_in[kind] += len(frame)
        return envelope


class CountedTable:
    """A table service that counts calls."""

    def __init__(self, table: HttpTable) -> None:
        self.reads = 0
        self.commits = 0
        self.rows_written = 0
        self._table = table

    def get(self, key):
        """Read and count."""
        self.reads += 1
        return self._table.get(key)

    def scan(self, prefix, *, after="", limit=1000):
        """Read and count."""
        self.reads += 1
        return self._table.scan(prefix, after=after, limit=limit)

    def commit(self, writes):
        """Write and count."""
        self.commits += 1
        self.rows_written += len(writes)
        return self._table.commit(writes)


@attrs.frozen
class Hosted:
    """What the process runs, with its counters."""

    codec: CountedCodec
    table: CountedTable
    entry: Entry | None
    process: Process = attrs.Factory(Process)

    def sample(self) -> Sample:
        """Return what has been used until now."""
        codec, table, entry = self.codec, self.table, self.entry
        own = {}
        if entry is not None:
            own = {
                "epoch": entry.decider.epoch,
                "revision": entry.watcher.number(),
                "endpoints": len(entry.directory.endpoint_ids()),
                "url": entry.url,
            }
        return Sample(
            process_time(),
            self.process.memory_info().rss,
            codec.frames_in,
            codec.frames_out,
            codec.bytes_in,
            codec.bytes_out,
            table.reads,
            table.commits,
            table.rows_written,
            **own,
        )


@contextmanager
def hosting(plan: ProcessPlan) -> Iterator[Hosted]:
    """Run the entry or the agents while the block runs."""
    codec = CountedCodec(MessageCodec(KeyRing.parse([plan.key])))
    table = CountedTable(HttpTable(plan.table_url))
    clock = SystemClock()
    with ExitStack() as stack:
        entry = None
        if plan.role is None:
            setup = EntrySetup(
                plan.name, HOST, plan.failure_domain, operator=plan.operator
            )
            entry = stack.enter_context(open_entry(setup, table, codec, clock))
        for number in range(plan.agents):
            stack.enter_context(_agent(plan, number, table, codec, clock))
        yield Hosted(codec, table, entry)


def _agent(plan, number, table, codec, clock):
    name = f"{plan.name}-{number}"
    runner = plan.role == Role.RUNNER
    setup = AgentSetup(
        endpoint_id=name,
        host=HOST,
        region="main",
        failure_domain=plan.failure_domain,
        rack="" if runner else f"{plan.failure_domain}-1",
        capacity=Resources() if runner else WORKER_CAPACITY,
    )
    if runner:
        return open_runner_agent(setup, FakeRunner(), table, codec, clock)
    url = plan.backend_url
    backend = HttpWorker(url) if url else FakeWorker()
    return open_worker_agent(setup, backend, table, codec, clock)


def main() -> None:
    """Answer samples until the input ends."""
    logger.remove()
    logger.add(sys.stderr, level="ERROR")
    plan = decode(sys.argv[1], type=ProcessPlan)
    with hosting(plan) as hosted:
        for _ in FileObject(sys.stdin.buffer, "rb"):
            sys.stdout.buffer.write(encode(hosted.sample()) + b"\n")
            sys.stdout.buffer.flush()


if __name__ == "__main__":
    main()

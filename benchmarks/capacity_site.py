"""A site of real roles in processes of their own, and what they use."""

from __future__ import annotations

import base64
import sys
from contextlib import contextmanager
from contextlib import ExitStack
from time import monotonic
from typing import Any
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

import attrs
from gevent import sleep
from gevent import spawn
from gevent.server import StreamServer
from gevent.socket import create_connection
from gevent.subprocess import DEVNULL
from gevent.subprocess import PIPE
from gevent.subprocess import Popen
from msgspec.json import decode
from msgspec.json import encode

from benchmarks.capacity_process import ProcessPlan
from benchmarks.capacity_process import Sample
from filbertlb.api.auth import make_token
from filbertlb.client import Client
from filbertlb.messages import Role

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

HOST = "127.0.0.1"
# TCP and IP headers, and the eight bytes of length of an nng message.
FRAMING_BYTES = 20 + 20 + 8
BLOCK_BYTES = 64 * 1024
POLL_S = 0.2
READY_WITHIN_S = 30.0
SETTLE_S = 2.0
DOMAIN = "split-a"
LONE_DOMAIN = "split-b"
ORGANISATION = "rental"


class CountedPipe:
    """Passes a process's calls on to the table and counts their bytes.

    Parameters
    ----------
    url : str
        Where the table service is.
    """

    def __init__(self, url: str) -> None:
        self.bytes_sent = 0
        self.bytes_answered = 0
        target = urlsplit(url)
        self._target = (target.hostname, target.port)
        self._server = StreamServer((HOST, 0), self._serve)
        self._server.start()
        self.url = f"http://{HOST}:{self._server.server_port}"

    def close(self) -> None:
        """Stop passing on."""
        self._server.stop(timeout=0)

    def _serve(self, caller: Any, _: Any) -> None:
        service = create_connection(self._target)
        answers = spawn(self._copy, service, caller, "bytes_answered")
        self._copy(caller, service, "bytes_sent")
        answers.kill()
        service.close()

    def _copy(self, source: Any, sink: Any, counter: str) -> None:
        try:
            while block := source.recv(BLOCK_BYTES):
                setattr(self, counter, getattr(self, counter) + len(block))
                sink.sendall(block)
        except OSError:
            return


class Hosted:
    """A running process of the site."""

    def __init__(self, process: Popen, pipe: CountedPipe, agents: int) -> None:
        self.agents = agents
        self._process = process
        self._pipe = pipe

    def sample(self) -> tuple[float, Sample, int]:
        """Return the time, what it has used and its bytes of the table."""
        self._process.stdin.write(b"\n")
        self._process.stdin.flush()
        sample = decode(self._process.stdout.readline(), type=Sample)
        table_bytes = self._pipe.bytes_sent + self._pipe.bytes_answered
        return monotonic(), sample, table_bytes


@attrs.frozen
class Use:
    """What a process used in a window, a second.

    Parameters
    ----------
    cpu : float
        Processor seconds a second.
    rss_bytes : int
        Memory at the end of the window.
    bytes_in, bytes_out : float
        Bytes of links a second with the headers of TCP and IP.
    frames_in, frames_out : dict of str to float
        Frames a second by kind of message.
    bytes_in_by_kind, bytes_out_by_kind : dict of str to float
        Their bytes a second.
    table_bytes : float
        Bytes a second of calls of the table and their answers, without
        the headers of TCP and IP.
    """

    cpu: float
    rss_bytes: int
    bytes_in: float
    bytes_out: float
    frames_in: dict[str, float]
    frames_out: dict[str, float]
    bytes_in_by_kind: dict[str, float]
    bytes_out_by_kind: dict[str, float]
    table_reads: float
    table_commits: float
    rows_written: float
    table_bytes: float


def use_between(first: tuple, last: tuple) -> Use:
    """Return the use between two samples."""
    (from_s, old, old_bytes), (to_s, new, new_bytes) = first, last
    window_s = to_s - from_s

    def rate(field: str) -> float:
        return (getattr(new, field) - getattr(old, field)) / window_s

    def rates(field: str) -> dict[str, float]:
        before, after = getattr(old, field), getattr(new, field)
        found = {
            kind: (after[kind] - before.get(kind, 0)) / window_s
            for kind in sorted(after)
        }
        return {kind: value for kind, value in found.items() if value}

    def with_headers(direction: str) -> dict[str, float]:
        frames = rates(f"frames_{direction}")
        found = rates(f"bytes_{direction}")
        return {
            kind: found[kind] + FRAMING_BYTES * frames[kind] for kind in found
        }

    bytes_in, bytes_out = with_headers("in"), with_headers("out")
    return Use(
        rate("cpu_s"),
        new.rss_bytes,
        sum(bytes_in.values()),
        sum(bytes_out.values()),
        rates("frames_in"),
        rates("frames_out"),
        bytes_in,
        bytes_out,
        rate("table_reads"),
        rate("table_commits"),
        rate("rows_written"),
        (new_bytes - old_bytes) / window_s,
    )


class CapacitySite:
    """A platform, entries and agents in processes of their own."""

    def __init__(self, stack: ExitStack) -> None:
        self.hosted_by_name: dict[str, Hosted] = {}
        self.key = "1:" + base64.b64encode(bytes(32)).decode()
        self._stack = stack
        self._table_url = self.standin("platform")
        self._operator_token, self._operator = make_token(None, operator=True)
        self.operator: Client | None = None
        self.client: Client | None = None
        self.revision = 0

    def standin(self, kind: str) -> str:
        """Start a stand-in and return its URL."""
        process = self._start("filbertlb", "standin", kind)
        return decode(process.stdout.readline())["url"]

    def start(self, name: str, **plan: Any) -> None:
        """Start an entry, or agents."""
        pipe = CountedPipe(self._table_url)
        self._stack.callback(pipe.close)
        settings = ProcessPlan(
            name, pipe.url, self.key, operator=self._operator, **plan
        )
        process = self._start(
            "benchmarks.capacity_process", encode(settings).decode()
        )
        self.hosted_by_name[name] = Hosted(process, pipe, settings.agents)

    def open_clients(self) -> None:
        """Apply a configuration and make a caller's token."""
        url = self.hosted_by_name["entry-0"].sample()[1].url
        self.operator = Client(url, self._operator_token)
        self.apply(0)
        path = f"/v1/organisations/{ORGANISATION}/tokens"
        token = self.operator.json("POST", path)["token"]
        self.client = Client(url, token)

    def apply(self, change: int) -> None:
        """Apply a configuration that differs from the one before."""
        config = {
            "site": "capacity",
            "failure_domains": {
                DOMAIN: {"region": "main"},
                LONE_DOMAIN: {"region": "main"},
            },
            "organisations": {
                ORGANISATION: {"quota_accelerators": 10_000 + change}
            },
        }
        body = {"config": config, "based_on": self.revision}
        self.operator.json("POST", "/v1/config", body)
        self.revision += 1

    def wait_ready(self) -> None:
        """Wait until the entries know all endpoints and one decides."""
        agents = sum(one.agents for one in self.hosted_by_name.values())

        def ready(samples: list[Sample]) -> bool:
            return any(one.epoch for one in samples) and all(
                one.endpoints >= agents and one.revision >= self.revision
                for one in samples
            )

        self.wait_until(ready)
        sleep(SETTLE_S)

    def wait_until(self, ready: Callable[[list[Sample]], bool]) -> float:
        """Wait until a condition on the entries' samples holds.

        Returns
        -------
        float
            Time that it took, in seconds.

        Raises
        ------
        TimeoutError
            If that takes too long.
        """
        from_s = monotonic()
        while not ready(self._entry_samples()):
            if monotonic() > from_s + READY_WITHIN_S:
                raise TimeoutError(f"not ready: {self._entry_samples()!r}")
            sleep(POLL_S)
        return monotonic() - from_s

    def measure(self, work: Callable[[], Any]) -> dict[str, Use]:
        """Do some work and return what each process used meanwhile."""
        first = self._samples()
        work()
        last = self._samples()
        return {
            self._role_of(name, last[name][1]): use_between(
                first[name], last[name]
            )
            for name in first
        }

    @staticmethod
    def now_s() -> float:
        """Return monotonic time in seconds."""
        return monotonic()

    def _role_of(self, name: str, sample: Sample) -> str:
        if not name.startswith("entry"):
            return name
        return "decider" if sample.epoch else "follower"

    def _samples(self) -> dict[str, tuple]:
        return {k: one.sample() for k, one in self.hosted_by_name.items()}

    def _entry_samples(self) -> list[Sample]:
        return [
            one.sample()[1]
            for name, one in self.hosted_by_name.items()
            if name.startswith("entry")
        ]

    def _start(self, *arguments: str) -> Popen:
        process = Popen(
            [sys.executable, "-m", *arguments],
            stdin=PIPE,
            stdout=PIPE,
            stderr=DEVNULL,
        )
        self._stack.callback(_stop, process)
        return process


def _stop(process: Popen) -> None:
    process.kill()
    process.wait()


@contextmanager
def open_site(agents: int, entries: int) -> Iterator[CapacitySite]:
    """Run a site, one half runners and one half workers."""
    with ExitStack() as stack:
        site = CapacitySite(stack)
        # The last one decides, so that the first is only a front door.
        for number in reversed(range(entries)):
            site.start(f"entry-{number}", failure_domain=DOMAIN)
            site.wait_until(lambda samples: any(o.epoch for o in samples))
        for role in (Role.WORKER, Role.RUNNER):
            site.start(
                role.value,
                failure_domain=DOMAIN,
                role=role,
                agents=agents // 2,
            )
        site.open_clients()
        yield site

"""End-to-end tests: entry and agent processes against stand-ins."""

from __future__ import annotations

import signal
import subprocess
import sys
from contextlib import contextmanager
from contextlib import ExitStack
from contextlib import suppress
from json import dumps
from json import loads

import pytest
from gevent import sleep
from gevent import spawn
from geventhttpclient import HTTPClient

from filbertlb.addresses import split_address
from filbertlb.batch.durations import RunTimes
from filbertlb.batch.learned_row import LEARNED_KEY
from filbertlb.batch.learned_statistics import LearnedRunTimes
from filbertlb.core.clock import SystemClock
from filbertlb.httpcall import CallNotSentError
from filbertlb.httpcall import HttpCaller
from filbertlb.platform.settings import RUN_TIMES_VARIABLE
from filbertlb.platform.settings import SETTINGS_VARIABLE
from filbertlb.standin.leased_worker import LeasedWorker
from filbertlb.standin.row_store import RowStore
from filbertlb.standin.wsgi import serving
from filbertlb.table.base import Row
from filbertlb.table.rows import decode_row
from tests.platform.operators import configuration
from tests.ports import free_address
from tests.ports import free_port

HEADERS = {"Host": "site.example", "X-Api-Key": "key"}
JOB = "/render/00000000000000aa"
DEADLINE_S = 30.0


class Site:
    """Stand-ins, settings files and processes of one site."""

    def __init__(self, folder, stack):
        self.folder = folder
        self.clock = SystemClock()
        self.store = RowStore()
        self.worker = LeasedWorker("i-1", self.clock)
        self.store.write("op", "config", configuration(7))
        self.refuse_other_entry = False
        self.more_settings = {}
        self.environment = {}
        self._store_application = self.store.application()
        store_url = stack.enter_context(serving(self._store_application))
        other_store_url = stack.enter_context(serving(self._serve_other_entry))
        worker_url = stack.enter_context(serving(self.worker.application()))
        self.client_address = free_address()
        self.other_client_address = free_address()
        self.heartbeat_address = free_address()
        self.other_settings = {
            "platform": {"addr": other_store_url.removeprefix("http://")}
        }
        self.common_settings = {
            "ip": "127.0.0.1",
            "zone": "a",
            "region": "coast",
            "platform": {"addr": store_url.removeprefix("http://")},
            "app": worker_url.removeprefix("http://"),
        }
        heartbeats = spawn(self.send_heartbeats)
        stack.callback(heartbeats.kill)

    def _serve_other_entry(self, environ, start_response):
        """Serve the store to the other entry, or refuse its calls."""
        if self.refuse_other_entry:
            start_response("503 -", [("Content-Length", "0")])
            return [b""]
        return self._store_application(environ, start_response)

    def write_settings(self, role, name):
        port = free_port()
        is_other = name == "other"
        client = self.other_client_address if is_other else self.client_address
        listen = {
            "clientAddr": client,
            "readiness": free_address(),
            "admin": self.heartbeat_address,
        }
        body = (
            self.common_settings
            | self.more_settings
            | {
                "node": f"{role}-{name}",
                "role": role,
                "listen": listen,
                "portRange": [port - 1, port + 10],
            }
        )
        if is_other:
            body |= self.other_settings
        path = self.folder / f"{role}-{name}.json"
        path.write_text(dumps(body))
        return path

    @contextmanager
    def process(self, role, name="1"):
        command = [sys.executable, "-m", "filbertlb.platform"]
        environment = {
            SETTINGS_VARIABLE: str(self.write_settings(role, name)),
            **self.environment,
        }
        log = (self.folder / f"{role}-{name}.log").open("a")
        process = subprocess.Popen(
            command, env=environment, stdout=log, stderr=log
        )
        try:
            yield process
        finally:
            process.kill()
            process.wait()
            log.close()

    def send_heartbeats(self):
        while True:
            body = dumps(self.worker.heartbeat("render")).encode()
            host, port = split_address(self.heartbeat_address)
            # Some tests stop the agent; the next heartbeat retries.
            with suppress(OSError):
                client = HTTPClient(host, port)
                client.put("/filbertlb/instances/i-1", body).read()
                client.close()
            sleep(0.2)

    def caller(self):
        return HttpCaller(f"http://{self.client_address}")

    def wait_until(self, path, condition, caller=None):
        """Poll a path until a condition holds; fail at the deadline."""
        end_s = self.clock.monotonic() + DEADLINE_S
        reply = None
        while self.clock.monotonic() < end_s:
            try:
                used_caller = caller or self.caller()
                reply = used_caller.get(path, 2.0, HEADERS)
            except CallNotSentError:
                reply = None
            if reply is not None and reply.status == 200:
                body = loads(reply.body)
                if condition(body):
                    return body
            sleep(0.05)
        raise AssertionError(
            f"{path} did not meet the condition, last reply {reply!r}"
        )

    def wait_until_stored(self, table, key):
        """Wait until the store has a row; fail at the deadline."""
        end_s = self.clock.monotonic() + DEADLINE_S
        while self.store.read(table, key) is None:
            assert self.clock.monotonic() < end_s, key
            sleep(0.05)

    def wait_until_learned(self, runs):
        """Wait until the stored run times are of a number of runs.

        The ends of two tasks may be reported apart, and the row is written
        again only after a period.
        """
        end_s = self.clock.monotonic() + DEADLINE_S
        while self._learned_runs() < runs:
            assert self.clock.monotonic() < end_s
            sleep(0.05)

    def _learned_runs(self):
        value = self.store.read("durations", "learned")
        if value is None:
            return 0
        learned = decode_row(Row(LEARNED_KEY, value, 1), LearnedRunTimes)
        return sum(queue.runs for queue in learned.queues.values())

    def wait_until_logged(self, log, text):
        """Wait until a process has logged a text; fail at the deadline."""
        end_s = self.clock.monotonic() + DEADLINE_S
        while text not in log.read_text():
            assert self.clock.monotonic() < end_s, text
            sleep(0.05)

    def submit(self, run_ms, path=JOB, caller=None):
        self.wait_until("/render/", lambda body: True)
        step = {"count": 2, "cpu": 1000, "memMb": 100, "gpu": 1}
        job = {"spec": str(run_ms), "steps": [step]}
        used_caller = caller or self.caller()
        return used_caller.post(path, dumps(job).encode(), 5.0, HEADERS)


@pytest.fixture
def site(tmp_path):
    with ExitStack() as stack:
        yield Site(tmp_path, stack)


def is_complete(body):
    return body == {"state": "complete"}


def test_job_completes_and_resubmission_does_not_rerun_it(site):
    with site.process("entry"), site.process("agent"):
        assert site.submit(100).status == 200
        site.wait_until(JOB, is_complete)
        assert site.submit(100).status == 200
    assert sorted(site.worker.starts) == [
        ("00000000000000aa.0.0.0", 1),
        ("00000000000000aa.0.0.1", 1),
    ]


def test_job_runs_once_although_processes_are_killed(site):
    with site.process("entry"):
        with site.process("agent"):
            site.submit(2500)
            site.wait_until(JOB, lambda body: body == {"state": "active"})
        with site.process("agent"):
            pass
    with site.process("entry"), site.process("agent"):
        site.wait_until(JOB, is_complete)
    assert sorted(site.worker.starts) == [
        ("00000000000000aa.0.0.0", 1),
        ("00000000000000aa.0.0.1", 1),
    ]


def test_sigterm_ends_processes_with_success(site):
    with site.process("entry") as entry, site.process("agent") as agent:
        site.submit(50)
        site.wait_until(JOB, is_complete)
        for process in (entry, agent):
            process.send_signal(signal.SIGTERM)
            assert process.wait(DEADLINE_S) == 0


def test_sighup_reloads_settings_without_stopping(site):
    with site.process("entry") as entry, site.process("agent"):
        site.wait_until("/render/", lambda body: True)
        entry.send_signal(signal.SIGHUP)
        site.submit(50)
        site.wait_until(JOB, is_complete)
        assert entry.poll() is None
    assert "settings reloaded" in (site.folder / "entry-1.log").read_text()


def test_entry_refused_by_store_forwards_jobs_to_peer(site):
    with site.process("entry"), site.process("entry", "other"):
        other = HttpCaller(f"http://{site.other_client_address}")
        site.wait_until("/render/", lambda body: True)
        site.wait_until("/render/", lambda body: True, other)
        site.wait_until_stored("state", "entry/entry-1")
        # Changes arrive in order: an entry that sees this job has also read
        # the address of the first entry.
        site.submit(50)
        site.wait_until("/render/", lambda body: body == {"pending": 1}, other)
        site.refuse_other_entry = True
        path = "/render/00000000000000bb"
        assert site.submit(50, path, other).status == 200
        with site.process("agent"):
            site.wait_until(path, is_complete)
            site.wait_until(path, is_complete, other)
    assert len(site.worker.starts) == 4


def test_evacuated_domain_gets_work_only_after_the_row_is_deleted(site):
    # The feed misses both changes, so the processes must poll.
    site.more_settings = {"bounds": {"evacuateMs": 5000}}
    site.store.faults.missed_prefix = "op/evacuate/"
    log = site.folder / "entry-1.log"
    with site.process("entry"), site.process("agent"):
        assert site.submit(50).status == 200
        site.wait_until(JOB, is_complete)
        site.store.write("op", "evacuate/a", b"")
        site.wait_until_logged(log, "failure domain a: 1 workers get no new")
        path = "/render/00000000000000bb"
        assert site.submit(50, path).status == 200
        site.wait_until_logged(log, "group 00000000000000bb.0.0 waits")
        assert len(site.worker.starts) == 2
        site.store.remove("op", "evacuate/a")
        site.wait_until(path, is_complete)


def test_row_changes_nothing_in_a_deployment_without_evacuation(site):
    site.store.write("op", "evacuate/a", b"")
    with site.process("entry"), site.process("agent"):
        assert site.submit(50).status == 200
        site.wait_until(JOB, is_complete)


def test_learned_run_times_outlive_the_deciding_process(site):
    # As deployed; other tests here run with the declared times.
    site.environment = {RUN_TIMES_VARIABLE: RunTimes.LEARNED}
    with site.process("agent"):
        with site.process("entry"):
            site.submit(300)
            site.wait_until(JOB, is_complete)
            site.wait_until_learned(runs=2)
        with site.process("entry"):
            path = "/render/00000000000000bb"
            site.submit(50, path)
            site.wait_until(path, is_complete)
    log = (site.folder / "entry-1.log").read_text()
    assert "run times are learned from the start: no row" in log
    assert "run times of 1 queues" in log
    assert "by 2 runs of its kind" in log

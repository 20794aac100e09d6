"""Processes, stand-ins and callers of the soak."""

from __future__ import annotations

import signal
import subprocess
import sys
from contextlib import contextmanager
from contextlib import ExitStack
from json import dumps
from json import loads

import attrs
from gevent import sleep

from filbertlb.batch.durations import RunTimes
from filbertlb.batch.model import FINAL_STATES
from filbertlb.errors import FilbertlbError
from filbertlb.httpcall import HttpCaller
from filbertlb.platform.settings import RUN_TIMES_VARIABLE
from filbertlb.platform.settings import SETTINGS_VARIABLE
from filbertlb.standin.gangs import Gangs
from filbertlb.standin.row_store import RowStore
from filbertlb.standin.wsgi import serving
from tests.platform.operators import configuration
from tests.ports import free_address
from tests.ports import free_port
from tests.soak.history import History
from tests.soak.store_link import StoreLink
from tests.soak.workers import HEARTBEAT_S
from tests.soak.workers import WorkerMachine

HEADERS = {"Host": "site.example", "X-Api-Key": "key"}
CALL_TIMEOUT_S = 2.0
WORKER_PACES = (1.0, 1.0, 1.0)
"""Seconds that the clock of each machine's worker counts in a second."""
ENTRIES = 2
NOT_ACCEPTED = (429, 503)
REGION = "coast"
(ROUTE,) = loads(configuration())["routes"]
ATTEMPTS = ROUTE["attempts"]


@attrs.frozen
class Queue:
    """A queue of the site, and the failed runs that it allows."""

    name: str
    attempts: int

    def route(self):
        """Return its route in the configuration."""
        return ROUTE | {
            "name": self.name,
            "prefix": f"/{self.name}/",
            "attempts": self.attempts,
        }


FEW_ATTEMPTS = Queue("render", ATTEMPTS)
MORE_ATTEMPTS = Queue("press", 4)
CONFIGURATION = configuration(
    7, routes=[FEW_ATTEMPTS.route(), MORE_ATTEMPTS.route()]
)


@attrs.define
class Process:
    """A process of the system, which is restarted with its settings."""

    role: str
    settings_path: str
    log_path: str
    store: StoreLink
    running: subprocess.Popen | None = None

    def start(self):
        with open(self.log_path, "a") as log:
            self.running = subprocess.Popen(
                [sys.executable, "-m", "filbertlb.platform"],
                env={
                    SETTINGS_VARIABLE: self.settings_path,
                    # As deploy/system.toml sets it.
                    RUN_TIMES_VARIABLE: RunTimes.LEARNED,
                },
                stdout=log,
                stderr=log,
            )

    def send(self, number):
        self.running.send_signal(number)

    def wait(self):
        """Wait for the process without blocking the stand-ins."""
        while self.running.poll() is None:
            sleep(0.02)


class Site:
    """Entries, and an agent beside the worker of each machine.

    Parameters
    ----------
    serving_stores : ExitStack
        Ends the listeners of the store, one for each process.
    paces : sequence of float
        Pace of the clock of each machine's worker.
    """

    def __init__(self, folder, store, serving_stores, paces):
        self.queue_by_job_id = {}
        self.history = History(self.attempts)
        self.machines = []
        self.entries = []
        self.agents = []
        self.callers = []
        self.accepted = {}
        self.final_states = {}
        self._polls = 0
        self._store = store
        self._folder = folder
        self._serving_stores = serving_stores
        for number in range(ENTRIES):
            client_address = free_address()
            self.callers.append(HttpCaller(f"http://{client_address}"))
            self.entries.append(
                self._process("entry", number, {"clientAddr": client_address})
            )
        gangs = Gangs()
        for number, pace in enumerate(paces):
            admin_address, port = free_address(), free_port()
            self.machines.append(
                WorkerMachine(
                    *(f"w{number}", port, admin_address),
                    *(self.history, gangs, pace),
                )
            )
            self.agents.append(
                self._process(
                    "agent",
                    number,
                    {"admin": admin_address},
                    app=f"127.0.0.1:{port}",
                )
            )

    def _process(self, role, number, listen, **more):
        name = f"{role}-{number}"
        port = free_port()
        link = StoreLink(name, self._store)
        store_url = self._serving_stores.enter_context(
            serving(link.application())
        )
        settings = {
            "node": name,
            "role": role,
            "ip": "127.0.0.1",
            "zone": "a",
            "region": REGION,
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "listen": {"readiness": free_address(), **listen},
            "platform": {"addr": store_url.removeprefix("http://")},
            "portRange": [port, port + 4],
            **more,
        }
        path = self._folder / f"{name}.json"
        path.write_text(dumps(settings))
        log_path = self._folder / f"{name}.log"
        return Process(role, str(path), str(log_path), link)

    def attempts(self, job_id):
        """Return the failed runs that the queue of a job allows."""
        return self.queue_by_job_id[job_id].attempts

    def submit(self, job_id, queue, body, entry):
        """Submit a job until it is accepted or refused."""
        self.queue_by_job_id[job_id] = queue
        path = self._path(job_id)
        while True:
            caller = self.callers[entry % ENTRIES]
            entry += 1
            status = self._call(caller.post, path, dumps(body).encode())[0]
            if status == 200:
                self.accepted[job_id] = body
            if status == 200 or status in NOT_ACCEPTED:
                return
            sleep(0.1)

    def leader(self):
        """Return the number of the entry that holds the lease, or None."""
        row = self._store.read("lease", REGION)
        holder = loads(row)["holder_id"] if row else ""
        for number in range(ENTRIES):
            if holder.startswith(f"entry-{number}-"):
                return number
        return None

    def progress(self, job_id):
        """Return the stored progress of a job as bytes, or None."""
        return self._store.read("progress", job_id)

    def report(self, number):
        """Return the stored report of a machine as bytes, or None."""
        return self._store.read("workers", f"agent-{number}")

    def poll(self):
        """Ask an entry, another one each time, for all unfinished jobs.

        Returns
        -------
        bool
            Whether all accepted jobs have a final state.
        """
        self._polls += 1
        caller = self.callers[self._polls % ENTRIES]
        for job_id in self.accepted.keys() - self.final_states.keys():
            state = self._state(job_id, caller)
            if state in FINAL_STATES:
                self.final_states[job_id] = state
        return len(self.final_states) == len(self.accepted)

    def disagreements(self):
        """Yield a line for each final state that an entry tells otherwise."""
        for job_id, final in self.final_states.items():
            for number, caller in enumerate(self.callers):
                state = self._state(job_id, caller)
                if state in FINAL_STATES and state != final:
                    yield f"{job_id} was {final}, entry-{number}: {state}"

    def _state(self, job_id, caller):
        status, body = self._call(caller.get, self._path(job_id))
        return loads(body)["state"] if status == 200 else ""

    def _path(self, job_id):
        return f"/{self.queue_by_job_id[job_id].name}/{job_id}"

    def units(self, job_id):
        """Return the tasks of a job, or its gang."""
        (step,) = self.accepted[job_id]["steps"]
        gang = f"{job_id}.0.0"
        if step.get("gang"):
            return {gang}
        return {f"{gang}.{index}" for index in range(step["count"])}

    def _call(self, method, path, *body):
        try:
            reply = method(path, *body, CALL_TIMEOUT_S, HEADERS)
        except FilbertlbError:
            return 0, b""
        return reply.status, reply.body


@contextmanager
def running_site(folder, paces=WORKER_PACES):
    """Run a site until the block ends."""
    store = RowStore()
    store.write("op", "config", CONFIGURATION)
    with ExitStack() as serving_stores:
        site = Site(folder, store, serving_stores, paces)
        processes = [*site.entries, *site.agents]
        try:
            for process in processes:
                process.start()
            for machine in site.machines:
                machine.boot()
            yield site
        finally:
            for process in processes:
                process.send(signal.SIGKILL)
                process.running.wait()
            for machine in site.machines:
                machine.end()

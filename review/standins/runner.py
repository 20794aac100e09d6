"""Runner: one machine's worker, with its boots, runs, leases and ends."""

from __future__ import annotations

import http.client
import json
import threading
import time
from typing import Any

import attrs

from standins.http import Answer
from standins.http import JsonServer
from standins.record import Record

HOLD_MAX_MS = 6000
STOP_S = 0.5
"""Time until a run that is told to stop has ended."""
TICK_S = 0.01
MAX_WAIT_MS = 2000
BEAT_TIMEOUT_S = 1.0


@attrs.define
class Interval:
    """Time during which a task ran on a runner."""

    task: str
    attempt: int
    runner: str
    begin_s: float
    end_s: float | None = None
    how: str = ""


@attrs.define
class _Run:
    interval: Interval
    work_s: float
    stops_s: float | None = None

    @property
    def lasts(self) -> bool:
        return self.work_s == 0

    def due_end(self, now_s: float) -> str:
        """Return how the run ends by now; empty if it goes on."""
        if not self.lasts and now_s >= self.interval.begin_s + self.work_s:
            return "done"
        if self.stops_s is not None and now_s >= self.stops_s:
            return "stopped"
        return ""

    def percent(self, now_s: float) -> int:
        if self.lasts:
            return 100
        return min(
            99, int(100 * (now_s - self.interval.begin_s) / self.work_s)
        )


class Runner:
    """One runner; ``boot`` starts a life of it under its only id.

    A task's work is the number of seconds in its spec; 0 lasts.

    Parameters
    ----------
    admin : tuple of str and int
        Where it sends its liveness reports.
    """

    def __init__(
        self,
        name: str,
        port: int,
        admin: tuple[str, int],
        record: Record,
        service: str = "renders",
        gpu: int = 8,
        labels: tuple[str, ...] = (),
        beat_s: float = 1.5,
    ) -> None:
        self.name = name
        self.id = f"i-{name}"
        self.admin = admin
        self.intervals: list[Interval] = []
        self.up = False
        self.draining = False
        self.acked = False
        self.on_start: Any = None
        self._port = port
        self.record = record
        self._service = service
        self._gpu = gpu
        self._labels = labels
        self._beat_s = beat_s
        self._lock = threading.RLock()
        self._changed = threading.Condition(self._lock)
        self._boot = 0
        self._server: JsonServer | None = None
        self._reset()

    def boot(self, first_beat_s: float = 0.0) -> None:
        """Start a new life, which holds and knows nothing of before."""
        with self._lock:
            self._reset()
            self._boot += 1
            self.born_ms = int(time.time() * 1000)
            self._clock_zero_s = time.monotonic()
            self.up = True
            self.draining = False
            self.acked = False
        self._server = JsonServer(self._port, self._handle)
        self._say(f"boot {self._boot}, born {self.born_ms}")
        number = self._boot
        threading.Thread(
            target=self._tick, args=(number,), daemon=True
        ).start()
        threading.Thread(
            target=self._beat, args=(number, first_beat_s), daemon=True
        ).start()

    def end(self, how: str) -> None:
        """End this life; all that runs ends with it."""
        with self._lock:
            self.up = False
            for run in self._runs.values():
                self._close(run, how)
            self._runs.clear()
            self._changed.notify_all()
        if self._server is not None:
            self._server.stop()
        self._say(f"boot {self._boot} ended: {how}")

    def running(self) -> list[str]:
        """Return the tasks that run now."""
        with self._lock:
            return list(self._runs)

    def send_beat(self) -> bool:
        """Send one liveness report; return whether it was acknowledged."""
        return self.call_admin(
            "PUT", json.dumps(self.beat()).encode(), self.admin
        )

    def beat(self) -> dict[str, Any]:
        """Return the next liveness report."""
        with self._lock:
            self._seq += 1
            body: dict[str, Any] = {
                "service": self._service,
                "addr": f"127.0.0.1:{self._port}",
                "zone": "z1",
                "version": "v1",
                "slots": 64,
                "state": "draining" if self.draining else "ready",
                "coldLeftMs": 0,
                "capacity": {
                    "cpu": 32000,
                    "memMb": 131072,
                    "gpu": self._gpu,
                },
                "labels": ["a", *self._labels],
                "clockMs": self._clock_ms(),
                "seq": self._seq,
                "born": self.born_ms,
            }
            if self.draining:
                body["remainingMs"] = 2000
            return body

    def call_admin(
        self,
        method: str,
        body: bytes | None,
        admin: tuple[str, int],
        timeout_s: float = BEAT_TIMEOUT_S,
    ) -> bool:
        """Call the address for liveness reports on its machine."""
        connection = http.client.HTTPConnection(*admin, timeout=timeout_s)
        try:
            headers = {"Content-Type": "application/json"}
            path = f"/filbertlb/instances/{self.id}"
            connection.request(method, path, body, headers)
            return 200 <= connection.getresponse().status < 300
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def _reset(self) -> None:
        self.born_ms = 0
        self._clock_zero_s = time.monotonic()
        self._runs: dict[str, _Run] = {}
        self._barred: dict[str, int] = {}
        self._finished: list[list[Any]] = []
        self._number = 0
        self._seq = 0
        self._fence = 0
        self._lease_end_ms = 0

    def _beat(self, number: int, first_beat_s: float) -> None:
        time.sleep(first_beat_s)
        while self.up and self._boot == number:
            if self.send_beat() and not self.acked:
                self._say(f"boot {number}: first liveness report acknowledged")
                self.acked = True
            time.sleep(self._beat_s)

    def _tick(self, number: int) -> None:
        while self.up and self._boot == number:
            with self._lock:
                self._end_due()
            time.sleep(TICK_S)

    def _end_due(self) -> None:
        now_s = self.record.now_s()
        lapsed = self._clock_ms() >= self._lease_end_ms
        for task, run in list(self._runs.items()):
            how = run.due_end(now_s)
            if how or lapsed:
                self._finish(task, how or "lapsed")

    def _finish(self, task: str, how: str) -> None:
        run = self._runs.pop(task)
        self._close(run, how)
        self._barred[task] = run.interval.attempt
        self._number += 1
        self._finished.append(
            [self._number, task, run.interval.attempt, how, ""]
        )
        self._changed.notify_all()

    def _close(self, run: _Run, how: str) -> None:
        run.interval.end_s = self.record.now_s()
        run.interval.how = how
        self._say(f"{run.interval.task} run {run.interval.attempt} ends {how}")

    def _handle(
        self, _: str, path: str, __: dict[str, str], headers: Any, body: Any
    ) -> Answer:
        call = path.rpartition("/")[2]
        if headers.get("X-Expect-Instance", self.id) != self.id:
            return 421, {"clockMs": self._clock_ms()}
        with self._lock:
            self._require_up()
            fence = body.get("fencingToken", 0)
            if fence < self._fence:
                return self._refuse("fence")
            self._fence = fence
            self._extend(body.get("deadlineMs", 0))
            if call == "run-start":
                return self._start(body)
            if call == "run-stop":
                return self._stop(body)
            return self._hold(body)

    def _require_up(self) -> None:
        """Give no answer once this life has ended."""
        if not self.up:
            raise ConnectionResetError

    def _start(self, body: dict[str, Any]) -> Answer:
        task, attempt = body["task"], body["attempt"]
        run = self._runs.get(task)
        if run is not None and run.interval.attempt == attempt:
            return self._answer(200)
        if attempt <= self._barred.get(task, 0) or run is not None:
            return self._refuse("old")
        if self._clock_ms() >= self._lease_end_ms:
            return self._refuse("late")
        interval = Interval(task, attempt, self.name, self.record.now_s())
        self._runs[task] = _Run(interval, float(body["spec"]))
        self.intervals.append(interval)
        self._say(f"{task} run {attempt} begins, boot {self._boot}")
        if self.on_start is not None:
            self.on_start(self, task)
        return self._answer(200)

    def _stop(self, body: dict[str, Any]) -> Answer:
        task, attempt = body["task"], body["attempt"]
        run = self._runs.get(task)
        if (
            run is not None
            and run.interval.attempt <= attempt
            and run.stops_s is None
        ):
            run.stops_s = self.record.now_s() + STOP_S
            self._say(f"{task} run {run.interval.attempt} is stopping")
        self._barred[task] = max(attempt, self._barred.get(task, 0))
        return self._answer(200)

    def _hold(self, body: dict[str, Any]) -> Answer:
        acked = body.get("ackedSeq", 0)
        self._finished = [end for end in self._finished if end[0] > acked]
        wait_ms = min(MAX_WAIT_MS, body.get("waitMs", 0))
        end_s = time.monotonic() + wait_ms / 1000
        while not self._finished and self.up:
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                break
            self._changed.wait(left_s)
        self._require_up()
        now_s = self.record.now_s()
        running = [
            [task, run.interval.attempt, "", run.percent(now_s), 0]
            for task, run in self._runs.items()
        ]
        return self._answer(
            200,
            born=self.born_ms,
            running=running,
            finished=self._finished[:500],
        )

    def _extend(self, until_ms: int) -> None:
        latest_ms = self._clock_ms() + HOLD_MAX_MS
        self._lease_end_ms = max(self._lease_end_ms, min(until_ms, latest_ms))

    def _clock_ms(self) -> int:
        return 1000 + int((time.monotonic() - self._clock_zero_s) * 1000)

    def _refuse(self, reason: str) -> Answer:
        return self._answer(409, reason=reason)

    def _answer(self, status: int, **fields: Any) -> Answer:
        return status, {"clockMs": self._clock_ms(), **fields}

    def _say(self, text: str) -> None:
        self.record.write(f"runner {self.name}: {text}")

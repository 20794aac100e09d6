"""Stand-in of the platform's worker, speaking its protocol.

Runs go as the plan in their payload says. The worker knows leases, fencing
tokens and incarnations. Workers of one site share their gangs.
"""

from __future__ import annotations

from json import loads
from typing import Any
from typing import TYPE_CHECKING

import attrs

from filbertlb.batch.model import EndCause
from filbertlb.platform.http import json_application
from filbertlb.platform.http import JsonResponse
from filbertlb.standin.gangs import GANG_TIMEOUT_MS
from filbertlb.standin.gangs import Gangs
from filbertlb.standin.run_plan import decode_plan

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from filbertlb.core.clock import Clock
    from filbertlb.standin.run_plan import RunPlan

LEASE_MS = 6000


@attrs.define
class _Run:
    attempt: int
    plan: RunPlan
    ends_ms: int
    how: EndCause


@attrs.define
class LeasedWorker:
    """One worker in memory.

    Attributes
    ----------
    starts : list of tuple of str and int
        Task and attempt of each run that began.
    """

    instance_id: str
    clock: Clock
    born_ms: int = 1
    gangs: Gangs = attrs.Factory(Gangs)
    fence: int = 0
    lease_end_ms: int = 0
    starts: list[tuple[str, int]] = attrs.Factory(list)
    finished: list[list[Any]] = attrs.Factory(list)
    _runs: dict[str, _Run] = attrs.Factory(dict)
    _barred: dict[str, int] = attrs.Factory(dict)
    _number: int = 0
    _beats: int = 0

    def application(self) -> Callable[..., Iterable[bytes]]:
        """Return the WSGI application."""
        return json_application(self.handle)

    def heartbeat(self, service: str, state: str = "ready") -> dict[str, Any]:
        """Return the body of the next heartbeat."""
        self._beats += 1
        return {
            "service": service,
            "addr": "127.0.0.1:1",
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": state,
            "coldLeftMs": 0,
            "capacity": {"cpu": 8000, "memMb": 8000, "gpu": 8},
            "labels": ["a", "r1-1"],
            "clockMs": self._now_ms(),
            "born": self.born_ms,
            "seq": self._beats,
        }

    def handle(self, environ: Mapping[str, Any]) -> JsonResponse:
        """Answer one call."""
        self._advance()
        body = loads(environ["wsgi.input"].read())
        if environ.get("HTTP_X_EXPECT_INSTANCE") != self.instance_id:
            return self._answer(421)
        if body.get("fencingToken", 0) < self.fence:
            return self._answer(409, reason="fence")
        self.fence = body.get("fencingToken", 0)
        self._extend(body.get("deadlineMs", 0))
        call = environ["PATH_INFO"].rpartition("/")[2]
        if call == "run-start":
            return self._start(body)
        if call == "run-stop":
            return self._stop(body)
        return self._hold(body)

    def _start(self, body: dict[str, Any]) -> JsonResponse:
        task, attempt = body["task"], body["attempt"]
        if self._run(task, attempt) is not None:
            return self._answer(200)
        if attempt <= self._barred.get(task, 0):
            return self._answer(409, reason="old")
        if self.lease_end_ms <= self._now_ms():
            return self._answer(409, reason="late")
        plan = decode_plan(body["spec"])
        alone_ms = self._now_ms() + GANG_TIMEOUT_MS
        self._runs[task] = _Run(attempt, plan, alone_ms, EndCause.ALONE)
        self.starts.append((task, attempt))
        if plan.members:
            self.gangs.join(self, task, attempt, plan)
        else:
            self.begin(task, attempt)
        return self._answer(200)

    def begin(self, task: str, attempt: int) -> None:
        """Begin to work on a run."""
        run = self._run(task, attempt)
        if run is not None:
            run_ms, run.how = run.plan.ending(task, attempt)
            run.ends_ms = self._now_ms() + run_ms

    def cut(self, task: str, attempt: int, how: EndCause, in_ms: int) -> None:
        """End a run early unless it fails by itself before."""
        run = self._run(task, attempt)
        ends_ms = self._now_ms() + in_ms
        if run is None:
            return
        if run.how is not EndCause.FAILED or ends_ms < run.ends_ms:
            run.ends_ms, run.how = ends_ms, how

    def _run(self, task: str, attempt: int) -> _Run | None:
        run = self._runs.get(task)
        return run if run is not None and run.attempt == attempt else None

    def _stop(self, body: dict[str, Any]) -> JsonResponse:
        task, attempt = body["task"], body["attempt"]
        if self._run(task, attempt) is not None:
            self._end(task, EndCause.STOPPED, self._now_ms())
        self._barred[task] = max(attempt, self._barred.get(task, 0))
        return self._answer(200)

    def _hold(self, body: dict[str, Any]) -> JsonResponse:
        acked = body.get("ackedSeq", 0)
        self.finished = [end for end in self.finished if end[0] > acked]
        running = [
            [task, run.attempt, "", 50] for task, run in self._runs.items()
        ]
        return self._answer(
            200, born=self.born_ms, running=running, finished=self.finished
        )

    def _advance(self) -> None:
        now_ms = self._now_ms()
        for task, run in list(self._runs.items()):
            if self.lease_end_ms <= min(now_ms, run.ends_ms):
                self._end(task, EndCause.LAPSED, self.lease_end_ms)
            elif run.ends_ms <= now_ms:
                self._end(task, run.how, run.ends_ms)

    def _end(self, task: str, how: EndCause, ended_ms: int) -> None:
        run = self._runs.pop(task)
        self._barred[task] = run.attempt
        self._number += 1
        self.finished.append([self._number, task, run.attempt, how, ""])
        ago_ms = self._now_ms() - ended_ms
        self.gangs.end(task, run.attempt, how, ago_ms)

    def _extend(self, until_ms: int) -> None:
        latest_ms = self._now_ms() + LEASE_MS
        self.lease_end_ms = max(self.lease_end_ms, min(until_ms, latest_ms))

    def _now_ms(self) -> int:
        return int(self.clock.monotonic() * 1000)

    def _answer(self, status: int, **fields: Any) -> JsonResponse:
        return JsonResponse(status, {"clockMs": self._now_ms(), **fields})

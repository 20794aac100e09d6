"""Stand-ins of a runner and a worker over HTTP.

A runner answers every POST whose path it does not know otherwise; a
worker answers the calls of ``filbertlb.backend.wire``. Both take their
switches at ``/admin/faults`` and show their starts at
``/admin/ledger``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.backend.fake import BackendFaults
from filbertlb.backend.fake import FakeRunner
from filbertlb.backend.fake import FakeWorker
from filbertlb.backend.wire import CheckpointReply
from filbertlb.backend.wire import StartCall
from filbertlb.backend.wire import StatusReply
from filbertlb.backend.wire import TaskCall
from filbertlb.backend.wire import TaskReply
from filbertlb.backend.wire import ThrottleCall
from filbertlb.backend.wire import UsageCall
from filbertlb.typedserver import Response
from filbertlb.typedserver import Service
from filbertlb.typedserver import typed

if TYPE_CHECKING:
    from filbertlb.backend.base import Usage
    from filbertlb.typedserver import Handler

RUNNER_TIMEOUT_S = 3600.0


@attrs.frozen
class LedgerCall:
    """Body of ``POST /admin/ledger``."""


@attrs.frozen
class LedgerReply:
    """Starts by task id, and whole executions by the work's key."""

    starts_by_task_id: dict[str, int]
    done_by_key: dict[str, int]


def runner_service(runner: FakeRunner | None = None) -> Service:
    """Return the stand-in of a runner."""
    runner = FakeRunner() if runner is None else runner

    def invoke(path: str, body: bytes) -> Response:
        answer = runner.invoke(path, body, RUNNER_TIMEOUT_S)
        return Response(answer.status, answer.body, answer.content_type)

    return Service(_admin_handlers(runner), fallback=invoke)


def worker_service(worker: FakeWorker | None = None) -> Service:
    """Return the stand-in of a worker."""
    worker = FakeWorker() if worker is None else worker
    return Service({**_admin_handlers(worker), **_task_handlers(worker)})


def _task_handlers(worker: FakeWorker) -> dict[str, Handler]:
    def start(call: StartCall) -> TaskReply:
        worker.start(call.task_id, call.command, call.needs, call.checkpoint)
        return TaskReply()

    def status(call: TaskCall) -> StatusReply:
        return StatusReply(worker.status(call.task_id))

    def checkpoint(call: TaskCall) -> CheckpointReply:
        return CheckpointReply(worker.checkpoint(call.task_id))

    def throttle(call: ThrottleCall) -> TaskReply:
        worker.throttle(call.task_id, call.share)
        return TaskReply()

    def stop(call: TaskCall) -> TaskReply:
        worker.stop(call.task_id)
        return TaskReply()

    def usage(_: UsageCall) -> Usage:
        return worker.usage()

    return {
        "/tasks/start": typed(StartCall, start),
        "/tasks/status": typed(TaskCall, status),
        "/tasks/checkpoint": typed(TaskCall, checkpoint),
        "/tasks/throttle": typed(ThrottleCall, throttle),
        "/tasks/stop": typed(TaskCall, stop),
        "/usage": typed(UsageCall, usage),
    }


def _admin_handlers(backend: FakeRunner | FakeWorker) -> dict[str, Handler]:
    def faults(new: BackendFaults) -> BackendFaults:
        for name, value in attrs.asdict(new).items():
            setattr(backend.faults, name, value)
        return backend.faults

    def ledger(_: LedgerCall) -> LedgerReply:
        return LedgerReply(
            dict(backend.ledger.starts_by_task_id),
            dict(backend.ledger.done_by_key),
        )

    return {
        "/admin/faults": typed(BackendFaults, faults),
        "/admin/ledger": typed(LedgerCall, ledger),
    }

from __future__ import annotations

import pytest

from filbertlb.backend.base import BackendOutcomeUnknownError
from filbertlb.backend.base import BackendRefusedError
from filbertlb.backend.base import CheckpointFailedError
from filbertlb.backend.fake import FakeRunner
from filbertlb.backend.fake import FakeWorker
from filbertlb.core.clock import VirtualClock
from filbertlb.core.model import Resources
from filbertlb.errors import InvalidInputError
from filbertlb.errors import Ran
from filbertlb.messages import TaskPhase

NEEDS = Resources(accelerators=2)


def fake_worker(**kwargs):
    clock = VirtualClock()
    return FakeWorker(clock=clock, **kwargs), clock


@pytest.mark.parametrize(
    ("command", "fail_all", "phase"),
    [
        ('{"run_s": 3}', False, TaskPhase.SUCCEEDED),
        ('{"run_s": 3, "fail": true}', False, TaskPhase.FAILED),
        ('{"run_s": 3}', True, TaskPhase.FAILED),
    ],
)
def test_task_ends_after_its_run_time(command, fail_all, phase):
    worker, clock = fake_worker()
    worker.faults.fail_all = fail_all
    worker.start("t", command, NEEDS)
    clock.advance(2.9)
    assert worker.status("t").phase == TaskPhase.RUNNING
    clock.advance(0.2)
    assert worker.status("t").phase == phase
    assert worker.status("other") is None


def test_malformed_command_fails_at_once():
    worker, _ = fake_worker()
    worker.start("t", '{"run_s": "long"}', NEEDS)
    report = worker.status("t")
    assert report.phase == TaskPhase.FAILED
    assert "run_s" in report.detail


def test_checkpoint_keeps_progress_on_another_worker():
    first, clock = fake_worker()
    second = FakeWorker(ledger=first.ledger, clock=clock)
    command = '{"run_s": 10, "key": "k"}'
    first.start("a", command, NEEDS)
    clock.advance(6)
    reference = first.checkpoint("a")
    first.stop("a")
    second.start("b", command, NEEDS, reference)
    second.throttle("b", 0.5)
    clock.advance(7.9)
    assert second.status("b").phase == TaskPhase.RUNNING
    clock.advance(0.2)
    assert second.status("b").phase == TaskPhase.SUCCEEDED
    assert first.status("a").phase == TaskPhase.STOPPED
    assert first.ledger.starts_by_key["k"] == 2
    assert first.ledger.done_by_key["k"] == 1
    with pytest.raises(CheckpointFailedError):
        second.checkpoint("b")
    with pytest.raises(InvalidInputError):
        second.throttle("b", 0.0)


def test_ledger_sees_a_second_start():
    worker, _ = fake_worker()
    worker.start("once", "{}", NEEDS)
    worker.start("twice", "{}", NEEDS)
    worker.start("twice", "{}", NEEDS)
    assert worker.ledger.doubled() == ("twice",)


def test_usage_lags_and_may_exceed_capacity():
    worker, clock = fake_worker(usage_lag_s=5.0)
    clock.advance(100)
    worker.start("a", '{"run_s": 10}', NEEDS)
    clock.advance(1)
    worker.start("b", '{"run_s": 1}', NEEDS)
    assert worker.usage().task_ids == ()
    clock.advance(5)
    assert worker.usage().used == Resources(accelerators=4)
    clock.advance(1)
    assert worker.usage().task_ids == ("a",)


@pytest.mark.parametrize(
    ("switch", "error", "starts"),
    [
        ({"down": True}, BackendRefusedError, 0),
        ({"lose_answers": 1}, BackendOutcomeUnknownError, 1),
    ],
)
def test_faults_tell_whether_it_ran(switch, error, starts):
    worker, _ = fake_worker()
    runner = FakeRunner(ledger=worker.ledger)
    for backend in (worker, runner):
        for name, value in switch.items():
            setattr(backend.faults, name, value)
    with pytest.raises(error) as caught:
        worker.start("t", "{}", NEEDS)
    with pytest.raises(error):
        runner.invoke("/r", b"{}", 1.0)
    assert worker.ledger.starts_by_task_id["t"] == starts
    assert worker.ledger.starts_by_task_id["/r"] == starts
    assert caught.value.ran == (Ran.UNKNOWN if starts else Ran.NO)


@pytest.mark.parametrize(
    ("body", "status"),
    [
        (b'{"result": "ok"}', 200),
        (b'{"fail": true}', 500),
        (b'{"run_s": []}', 400),
        (b"{", 400),
    ],
)
def test_runner_answers(body, status):
    waits = []
    runner = FakeRunner(sleep_s=waits.append)
    assert runner.invoke("/r", body, 1.0).status == status
    assert runner.in_flight == 0


def test_runner_that_takes_too_long_is_unknown():
    waits = []
    runner = FakeRunner(sleep_s=waits.append)
    with pytest.raises(BackendOutcomeUnknownError):
        runner.invoke("/r", b'{"run_s": 5, "key": "k"}', 2.0)
    assert waits == [2.0]
    assert runner.ledger.starts_by_key["k"] == 1
    assert runner.ledger.done_by_key["k"] == 1

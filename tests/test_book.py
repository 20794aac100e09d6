from __future__ import annotations

import pytest
from attrs import evolve

from filbertlb.agent.book import ReservationBook
from filbertlb.agent.effects import ForgetTask
from filbertlb.agent.effects import ReportEnd
from filbertlb.agent.effects import StartTask
from filbertlb.agent.effects import StopTask
from filbertlb.core.model import Resources
from filbertlb.messages import Abort
from filbertlb.messages import Arm
from filbertlb.messages import Refused
from filbertlb.messages import Release
from filbertlb.messages import Reserve
from filbertlb.messages import Stop
from filbertlb.messages import StopMode
from filbertlb.messages import TaskEndedAck
from filbertlb.messages import TaskPhase
from filbertlb.messages import Token

CAPACITY = Resources(accelerators=8, cores=30, memory_gib=128)


def command(kind, attempt="b", member=0, size=8, epoch=1, agent="i1"):
    token = Token(attempt, member, agent, "scope", epoch)
    match kind:
        case "reserve":
            job_id = attempt.partition(".")[0]
            return Reserve(token, job_id, "org", Resources(size), 10.0)
        case "arm":
            return Arm(token, 30.0, "work", "saved")
        case "release":
            return Release(token)
        case "abort":
            return Abort(token)
        case "stop":
            return Stop(token, StopMode.CHECKPOINT, 5.0)
        case "ack":
            return TaskEndedAck(token)


def summary(reply):
    if isinstance(reply, Refused):
        return f"{reply.code} ran {reply.ran}"
    return str(reply.phase)


HELD = (0, "reserve", {}, "held")
ARMED = [HELD, (1, "arm", {}, "armed")]
RUNNING = [*ARMED, (2, "release", {}, "running")]
CLOSED = "token_closed ran no"


@pytest.mark.parametrize(
    "steps",
    [
        pytest.param([*RUNNING, *RUNNING[2:] * 2], id="starts_once"),
        pytest.param(
            [*RUNNING, (3, "reserve", {}, "running")], id="late_reserve"
        ),
        pytest.param(
            [HELD, (10, "arm", {}, CLOSED), (11, "reserve", {}, CLOSED)],
            id="hold_expires",
        ),
        pytest.param([*ARMED, (31, "release", {}, CLOSED)], id="arm_expires"),
        pytest.param(
            [
                HELD,
                (1, "release", {}, "not_armed ran no"),
                (2, "arm", {}, CLOSED),
                (2, "release", {}, CLOSED),
            ],
            id="release_before_arm_closes",
        ),
        pytest.param(
            [
                (0, "release", {}, "not_held ran no"),
                (1, "reserve", {}, CLOSED),
            ],
            id="release_before_reserve_closes",
        ),
        pytest.param(
            [
                (0, "abort", {}, "stopped"),
                (1, "reserve", {}, CLOSED),
                (1, "arm", {}, CLOSED),
                (1, "release", {}, CLOSED),
                (2, "abort", {}, "stopped"),
            ],
            id="abort_before_reserve",
        ),
        pytest.param(
            [
                *RUNNING,
                (3, "abort", {}, "already_started ran yes"),
                (3, "ack", {}, "already_started ran yes"),
            ],
            id="abort_after_start",
        ),
        pytest.param(
            [*ARMED, (2, "stop", {}, "stopped"), (3, "release", {}, CLOSED)],
            id="stop_before_start",
        ),
        pytest.param(
            [
                HELD,
                (1, "arm", {"epoch": 2}, "armed"),
                (2, "release", {}, "stale_epoch ran unknown"),
                (3, "release", {"epoch": 2}, "running"),
                (4, "stop", {}, "stale_epoch ran yes"),
                (4, "ack", {}, "stale_epoch ran yes"),
            ],
            id="fencing",
        ),
        pytest.param(
            [
                *ARMED,
                (
                    2,
                    "release",
                    {"agent": "i0"},
                    "stale_incarnation ran unknown",
                ),
                (2, "release", {}, "running"),
                (3, "abort", {"agent": "i0"}, "stale_incarnation ran yes"),
            ],
            id="incarnation",
        ),
        pytest.param(
            [
                HELD,
                (1, "reserve", {"attempt": "c"}, "no_capacity ran no"),
                (1, "reserve", {"attempt": "a"}, "held"),
                (1, "arm", {}, CLOSED),
            ],
            id="stronger_hold_prevails",
        ),
        pytest.param(
            [
                *ARMED,
                (
                    1,
                    "reserve",
                    {"attempt": "a"},
                    "reservation_contended ran no",
                ),
                (2, "release", {}, "running"),
                (3, "reserve", {"attempt": "a"}, "no_capacity ran no"),
            ],
            id="armed_does_not_give_way",
        ),
        pytest.param(
            [
                (0, "reserve", {"attempt": "b", "size": 2}, "held"),
                (0, "reserve", {"attempt": "c", "size": 2}, "held"),
                (0, "reserve", {"attempt": "d", "size": 2}, "held"),
                (0, "reserve", {"attempt": "a", "size": 4}, "held"),
                (1, "arm", {"attempt": "d"}, CLOSED),
                (1, "arm", {"attempt": "c"}, "armed"),
                (1, "arm", {"attempt": "b"}, "armed"),
            ],
            id="only_as_many_give_way_as_needed",
        ),
        pytest.param(
            [
                HELD,
                (1, "reserve", {"attempt": "z", "epoch": 2}, "held"),
                (1, "arm", {}, "stale_epoch ran no"),
            ],
            id="holds_of_a_replaced_decider_give_way",
        ),
        pytest.param(
            [(0, "reserve", {"size": 9}, "no_capacity ran no")],
            id="never_fits",
        ),
    ],
)
def test_replies(steps):
    book = ReservationBook("i1", CAPACITY)
    started = []
    for now_s, kind, changes, expected in steps:
        answer = book.handle(command(kind, **changes), now_s)
        assert (kind, now_s, summary(answer.reply)) == (kind, now_s, expected)
        started += [e for e in answer.effects if isinstance(e, StartTask)]
    running = [s for s in book.statuses() if s.phase is TaskPhase.RUNNING]
    assert len(started) == len(running)
    assert all((s.command, s.checkpoint) == ("work", "saved") for s in started)


def running_book():
    book = ReservationBook("i1", CAPACITY)
    for now_s, kind, changes, _ in RUNNING:
        book.handle(command(kind, **changes), now_s)
    return book


def test_end_is_reported_until_acknowledged():
    book = running_book()
    token = command("arm").token
    (first,) = book.ended(token, TaskPhase.SUCCEEDED, 5.0, detail="ok")
    assert book.ended(token, TaskPhase.FAILED, 5.0) == []
    assert book.free == CAPACITY
    assert book.tick(5.5) == []
    assert book.tick(book.next_due_s()) == [first]
    assert isinstance(first, ReportEnd)
    assert first.message.status == book.statuses()[0]
    answer = book.handle(command("ack"), 7.0)
    assert answer.effects == (ForgetTask(token),)
    assert book.statuses() == ()
    assert book.tick(100.0) == []
    late = book.handle(command("reserve"), 8.0).reply
    assert summary(late) == "token_closed ran yes"


def test_stop_is_escalated_and_enforced():
    book = running_book()
    token = command("stop").token
    soft = book.handle(command("stop"), 3.0)
    assert soft.effects == (StopTask(token, StopMode.CHECKPOINT, 5.0),)
    assert book.handle(command("stop"), 4.0).effects == ()
    hard = Stop(token, StopMode.CANCEL, 1.0)
    assert len(book.handle(hard, 5.0).effects) == 1
    assert book.tick(5.9) == []
    assert book.tick(6.0) == [StopTask(token, StopMode.CANCEL, 0.0)]
    assert len(book.tick(7.0)) == 1
    book.ended(token, TaskPhase.STOPPED, 7.5, checkpoint="later")
    assert book.statuses()[0].checkpoint == "later"


def test_draining_refuses_new_members():
    book = ReservationBook("i1", CAPACITY)
    for attempt in ("a", "b"):
        book.handle(command("reserve", attempt, size=4), 0.0)
    book.handle(command("arm", "a"), 0.0)
    book.drain()
    replies = [
        summary(book.handle(command(kind, attempt), 1.0).reply)
        for kind, attempt in [("reserve", "c"), ("arm", "b"), ("release", "a")]
    ]
    assert replies == ["draining ran no", "draining ran no", "running"]


@pytest.mark.parametrize("bound", [{"closed_limit": 2}, {"closed_keep_s": 5}])
def test_discarded_members_never_start(bound):
    book = ReservationBook("i1", CAPACITY, **bound)
    attempts = ["a", "b", "c", "d"]
    for now_s, attempt in enumerate(attempts):
        book.handle(command("abort", attempt), now_s)
    book.tick(8.0)
    replies = [
        summary(book.handle(command("reserve", attempt), 8.0).reply)
        for attempt in attempts
    ]
    old = "token_too_old ran unknown"
    assert replies[:2] == [old, old]
    assert not any(book.statuses())
    assert summary(book.handle(command("abort", "a"), 8.0).reply) == old
    assert summary(book.handle(command("reserve", "e"), 8.0).reply) == "held"


def test_adopted_task_accepts_commands_for_new_incarnation():
    previous = running_book()
    (status,) = previous.statuses()
    book = ReservationBook("i2", CAPACITY)
    book.adopt(status)
    assert book.free == CAPACITY.minus(status.needs)
    stop = evolve(command("stop"), token=book.statuses()[0].token)
    assert summary(book.handle(stop, 0.0).reply) == "running"
    old = book.handle(command("abort"), 0.0).reply
    assert summary(old) == "stale_incarnation ran yes"

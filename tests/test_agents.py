from __future__ import annotations

from json import dumps

import pytest
from gevent import idle
from loguru import logger

from filbertlb.agent.book import ReservationBook
from filbertlb.agent.labels import encode_label
from filbertlb.agent.runner import RunnerAgent
from filbertlb.agent.slots import SlotBook
from filbertlb.agent.worker import WorkerAgent
from filbertlb.backend.fake import FakeRunner
from filbertlb.backend.fake import FakeWorker
from filbertlb.core.clock import VirtualClock
from filbertlb.core.model import Resources
from filbertlb.messages import Done
from filbertlb.messages import Invoke
from filbertlb.messages import Refused
from filbertlb.messages import Reserve
from filbertlb.messages import TaskPhase
from filbertlb.messages import TaskStatus
from filbertlb.messages import Token
from filbertlb.tasks import Mailbox
from filbertlb.transport.codec import Envelope

REVISION = 7
TOKEN = Token("a", 0, "inc", "s", 1)
INVOKE = Invoke(TOKEN, "r", "o", "/p", b"", 5.0, True)
RESERVE = Reserve(TOKEN, "j", "o", Resources(accelerators=1), 5.0)


class StubLink:
    """Records the replies of an agent."""

    def __init__(self):
        self.replies = []

    def subscribe(self, cls, handler):
        assert callable(handler)

    def reply(self, envelope, message):
        self.replies.append((envelope.message_id, message))


def _runner(link, slots=1):
    book = SlotBook("inc")
    return RunnerAgent(
        link, book, FakeRunner(), Mailbox("m"), 1.0, lambda: REVISION
    )


def _worker(link):
    book = ReservationBook("inc", Resources(accelerators=1))
    return WorkerAgent(
        link,
        book,
        FakeWorker(),
        Mailbox("m"),
        VirtualClock(),
        lambda: REVISION,
    )


def _envelope(number, revision, message):
    return Envelope(str(number), "", "tcp://127.0.0.1:1", revision, message)


@pytest.mark.parametrize(
    ("make", "message"), [(_runner, INVOKE), (_worker, RESERVE)]
)
def test_command_of_an_older_revision_is_refused(make, message):
    link = StubLink()
    make(link).receive(_envelope(1, REVISION - 1, message), 0.0)
    ((_, refused),) = link.replies
    assert (refused.code, refused.ran) == ("older_revision", "no")


def test_refused_request_never_starts_later():
    link = StubLink()
    agent = _runner(link)
    agent.receive(_envelope(1, REVISION - 1, INVOKE), 0.0)
    agent.receive(_envelope(2, REVISION, INVOKE), 0.0)
    assert [type(message) for _, message in link.replies] == [Refused] * 2
    assert {message.ran for _, message in link.replies} == {"no"}


def test_reservation_with_current_revision_is_held():
    link = StubLink()
    _worker(link).receive(_envelope(1, REVISION, RESERVE), 0.0)
    ((_, done),) = link.replies
    assert isinstance(done, Done)


def test_restarted_agent_adopts_task_that_has_ended():
    clock = VirtualClock()
    backend = FakeWorker(clock=clock)
    status = TaskStatus(
        TOKEN, "j", "o", TaskPhase.RUNNING, Resources(accelerators=1)
    )
    command = dumps({"run_s": 0.2})
    backend.start(encode_label(status), command, status.needs)
    clock.advance(1.0)
    book = ReservationBook("next", Resources(accelerators=1))
    agent = WorkerAgent(
        StubLink(), book, backend, Mailbox("m"), clock, lambda: REVISION
    )
    agent.adopt_running()
    (adopted,) = book.statuses()
    assert adopted.phase is TaskPhase.SUCCEEDED
    assert adopted.token.attempt_id == TOKEN.attempt_id


def test_agent_logs_request_id():
    extras = []
    handler = logger.add(
        lambda message: extras.append(message.record["extra"]), level="DEBUG"
    )
    try:
        _runner(StubLink()).receive(_envelope(1, REVISION, INVOKE), 0.0)
        idle()
    finally:
        logger.remove(handler)
    assert {"request_id": "r"} in extras

from __future__ import annotations

import pytest
from gevent.event import Event

from filbertlb.core.clock import SystemClock
from filbertlb.entry.directory import Directory
from filbertlb.entry.directory import TICK_PERIOD_S
from filbertlb.messages import Announce
from filbertlb.messages import Beat
from filbertlb.messages import EntryHello
from filbertlb.messages import Role
from filbertlb.tasks import Mailbox
from filbertlb.tasks import running_all
from filbertlb.tasks import running_task
from filbertlb.transport.codec import Envelope

REVISION = 5


class LateBehaviour:
    """Is always late and counts ticks before its last message."""

    def __init__(self, messages):
        self.left = messages
        self.ticks = 0
        self.ticks_at_end = None
        self.ended = Event()

    def receive(self, message, now_s):
        self.left -= 1
        if not self.left:
            self.ticks_at_end = self.ticks
            self.ended.set()

    def tick(self, now_s):
        self.ticks += 1

    def next_due_s(self, now_s):
        return 0.0


@pytest.mark.parametrize("messages", [1, 100])
def test_messages_do_not_put_off_a_tick(messages):
    behaviour = LateBehaviour(messages)
    mailbox = Mailbox("late")
    for number in range(messages):
        mailbox.post(number)
    with running_task(behaviour, mailbox, SystemClock()):
        assert behaviour.ended.wait(30)
    assert behaviour.ticks_at_end == messages


class Sent:
    """A link that keeps what is sent."""

    address = "tcp://e0"

    def __init__(self):
        self.messages = []

    def send(self, address, message):
        self.messages.append(message)


def opened_directory():
    link = Sent()
    hello = EntryHello("e0", "a", link.address, "split-a")
    return link, Directory(link, "e0", lambda: hello, lambda: REVISION)


def envelope(message):
    # Agents seal with revision 0: they don't follow the configuration.
    return Envelope("m", "", "tcp://r0", 0, message)


def announce(revision):
    return Announce(
        endpoint_id="r0",
        incarnation="b",
        role=Role.RUNNER,
        address="tcp://r0",
        region="main",
        failure_domain="split-a",
        rack="",
        sequence=1,
        revision=revision,
    )


@pytest.mark.parametrize(("revision", "answers"), [(5, 0), (4, 1), (6, 0)])
def test_beat_is_answered_if_the_announced_revision_is_old(revision, answers):
    link, directory = opened_directory()
    directory.receive(envelope(announce(revision)), 0.0)
    link.messages.clear()
    directory.receive(envelope(Beat("r0", "b", 2, 1)), 1.0)
    assert len(link.messages) == answers


def test_announcements_do_not_put_off_the_directory():
    _, directory = opened_directory()
    directory.tick(10.0)
    directory.receive(envelope(announce(REVISION)), 10.1)
    assert directory.next_due_s(10.1) == 10.0 + TICK_PERIOD_S


@pytest.mark.parametrize("error", [RecursionError("nested"), KeyError("row")])
def test_task_runs_again_after_unexpected_error(error):
    # An entry whose polling task had ended kept its old configuration.
    runs = []
    ran_again = Event()

    def task():
        runs.append(None)
        if len(runs) == 1:
            raise error
        ran_again.set()

    with running_all((task,)):
        assert ran_again.wait(30)
    assert len(runs) == 2

from __future__ import annotations

from json import dumps
from os import environ
from pathlib import Path

import pytest

from filbertlb.core.attempt_effects import Ask
from filbertlb.core.attempt_session import Purpose
from filbertlb.errors import Ran
from tests.attempt_world import World

GOLDEN = Path(__file__).parent / "golden"
WRITE_GOLDEN = "FILBERTLB_WRITE_GOLDEN"


class Story:
    """A world that notes every effect of every run."""

    def __init__(self):
        self.world = World()
        self.lines = []

    def send(self, key="a", entry="e1", **options):
        run = self.world.send(key, f"{key}:pay".encode(), entry, **options)
        self.note(run)
        return run

    def note(self, run):
        effect = run.effect
        told = getattr(effect, "telling", None)
        line = {
            "at_s": self.world.now_s,
            "entry": run.entry,
            "purpose": run.session.purpose.value,
            "effect": type(effect).__name__,
        }
        if hasattr(effect, "row"):
            line["writes"] = effect.row.state.value
        if isinstance(effect, Ask):
            line["asks"] = type(effect.message).__name__
        if told is not None:
            line["told"] = type(told).__name__
            line["code"] = getattr(told, "code", "")
        line["started"] = sorted(self.world.body_started_by_key)
        self.lines.append(line)

    def step(self, run, times=1, agent="r1"):
        for _ in range(times):
            self.world.step(run, agent)
            self.note(run)

    def pump(self, run):
        """Deliver until nothing is under way, then end what runs."""
        for _ in range(2):
            while self.world.net:
                self.world.deliver(self.world.net.pop(0))
            self.world.end(self.world.agents["r1"], Ran.YES)
        while self.world.net:
            self.world.deliver(self.world.net.pop(0))
        self.note(run)

    def lose(self, run, sent):
        self.world.net.clear()
        self.world.take(run, run.session.on_no_reply(sent))
        self.note(run)


def answered(story):
    run = story.send()
    story.step(run, 3)
    story.pump(run)
    story.step(run)


def lost_ack_of_the_dispatch(story):
    run = story.send()
    story.step(run, 2)
    story.world.table.faults.lose_acks = 1
    story.step(run, 2)
    story.pump(run)
    story.step(run)


def entry_dies_and_another_resumes(story):
    first = story.send()
    story.step(first, 3)
    story.world.runs.remove(first)
    second = story.send(entry="e2")
    story.step(second, 2)
    story.pump(second)
    story.step(second)


def no_reply_then_asked_after_its_time(story):
    run = story.send()
    story.step(run, 3)
    story.lose(run, sent=True)
    story.step(run)
    story.world.now_s = 20.0
    later = story.send(entry="e2", purpose=Purpose.ASK)
    story.step(later, 2)
    story.pump(later)
    story.step(later, 3)


def never_sent_goes_elsewhere(story):
    run = story.send()
    story.step(run, 3)
    story.lose(run, sent=False)
    story.step(run)
    story.step(run, 2, agent="r2")


def never_sent_but_joined_meanwhile(story):
    first = story.send()
    story.step(first, 3)
    packets = list(story.world.net)
    second = story.send(entry="e2")
    story.step(second, 2)
    story.world.net = [one for one in story.world.net if one not in packets]
    lost = first.session.on_no_reply(sent=False)
    story.world.take(first, lost)
    story.note(first)
    story.step(first, 3)
    story.pump(second)


def table_down_before_the_row(story):
    run = story.send()
    story.step(run, 2)
    story.world.table.faults.down = True
    story.step(run)


def table_down_when_the_answer_comes(story):
    run = story.send()
    story.step(run, 3)
    story.world.table.faults.down = True
    story.pump(run)
    story.step(run)


def cancelled_before_use_then_sent(story):
    cancel = story.send(purpose=Purpose.CANCEL)
    story.step(cancel, 2)
    run = story.send(entry="e2")
    story.step(run)


@pytest.mark.parametrize(
    "story",
    [
        answered,
        lost_ack_of_the_dispatch,
        entry_dies_and_another_resumes,
        no_reply_then_asked_after_its_time,
        never_sent_goes_elsewhere,
        never_sent_but_joined_meanwhile,
        table_down_before_the_row,
        table_down_when_the_answer_comes,
        cancelled_before_use_then_sent,
    ],
)
def test_golden_session(story):
    told = Story()
    story(told)
    lines = "".join(dumps(line) + "\n" for line in told.lines)
    path = GOLDEN / f"attempt_{story.__name__}.jsonl"
    if WRITE_GOLDEN in environ:
        path.write_text(lines, encoding="utf-8")
    assert lines == path.read_text(encoding="utf-8")

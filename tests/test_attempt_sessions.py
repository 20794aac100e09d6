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


class Scenario:
    """Records every effect of every run for a golden file."""

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

    def deliver_all(self, run):
        """Deliver all packets and end running requests, then record."""
        for _ in range(2):
            while self.world.packets:
                self.world.deliver(self.world.packets.pop(0))
            self.world.end(self.world.agents["r1"], Ran.YES)
        while self.world.packets:
            self.world.deliver(self.world.packets.pop(0))
        self.note(run)

    def lose(self, run, sent):
        self.world.packets.clear()
        self.world.set_effect(run, run.session.on_no_reply(sent))
        self.note(run)


def answered(scenario):
    run = scenario.send()
    scenario.step(run, 3)
    scenario.deliver_all(run)
    scenario.step(run)


def lost_ack_of_the_dispatch(scenario):
    run = scenario.send()
    scenario.step(run, 2)
    scenario.world.table.faults.lose_acks = 1
    scenario.step(run, 2)
    scenario.deliver_all(run)
    scenario.step(run)


def entry_dies_and_another_resumes(scenario):
    first = scenario.send()
    scenario.step(first, 3)
    scenario.world.runs.remove(first)
    second = scenario.send(entry="e2")
    scenario.step(second, 2)
    scenario.deliver_all(second)
    scenario.step(second)


def no_reply_then_asked_after_its_time(scenario):
    run = scenario.send()
    scenario.step(run, 3)
    scenario.lose(run, sent=True)
    scenario.step(run)
    scenario.world.now_s = 20.0
    later = scenario.send(entry="e2", purpose=Purpose.ASK)
    scenario.step(later, 2)
    scenario.deliver_all(later)
    scenario.step(later, 3)


def never_sent_goes_elsewhere(scenario):
    run = scenario.send()
    scenario.step(run, 3)
    scenario.lose(run, sent=False)
    scenario.step(run)
    scenario.step(run, 2, agent="r2")


def never_sent_but_joined_meanwhile(scenario):
    first = scenario.send()
    scenario.step(first, 3)
    sent_by_first = list(scenario.world.packets)
    second = scenario.send(entry="e2")
    scenario.step(second, 2)
    scenario.world.packets = [
        packet
        for packet in scenario.world.packets
        if packet not in sent_by_first
    ]
    effect = first.session.on_no_reply(sent=False)
    scenario.world.set_effect(first, effect)
    scenario.note(first)
    scenario.step(first, 3)
    scenario.deliver_all(second)


def table_down_before_the_row(scenario):
    run = scenario.send()
    scenario.step(run, 2)
    scenario.world.table.faults.down = True
    scenario.step(run)


def table_down_when_the_answer_comes(scenario):
    run = scenario.send()
    scenario.step(run, 3)
    scenario.world.table.faults.down = True
    scenario.deliver_all(run)
    scenario.step(run)


def cancelled_before_use_then_sent(scenario):
    cancel = scenario.send(purpose=Purpose.CANCEL)
    scenario.step(cancel, 2)
    run = scenario.send(entry="e2")
    scenario.step(run)


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
    scenario = Scenario()
    story(scenario)
    lines = "".join(dumps(line) + "\n" for line in scenario.lines)
    path = GOLDEN / f"attempt_{story.__name__}.jsonl"
    if WRITE_GOLDEN in environ:
        path.write_text(lines, encoding="utf-8")
    assert lines == path.read_text(encoding="utf-8")

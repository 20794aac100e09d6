"""Virtual time, runners and a journal for the request measurement."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from collections.abc import Callable
from heapq import heappop
from heapq import heappush
from itertools import count
from random import Random

import attrs

from filbertlb.agent.slot_records import Reply
from filbertlb.agent.slot_records import SlotLimits
from filbertlb.agent.slot_records import Start
from filbertlb.agent.slots import SlotBook
from filbertlb.errors import Ran
from filbertlb.messages import Invoke
from filbertlb.messages import InvokeResult
from filbertlb.messages import Refused
from filbertlb.messages import Token
from filbertlb.messages import Tombstone

HOP_S = 0.0005
CLIENT_HOP_S = 0.001
RUN_SIGMA = 0.5
FAIL_S = 0.005
ANNOUNCE_S = 1.0
ANNOUNCE_LOSS = 0.05
RUNNERS = 10
DOMAINS = ("split-a", "split-b", "zadar-c")

OnReply = Callable[[object], None]
OnLost = Callable[[bool], None]


class Sim:
    """Events in the order of their virtual time."""

    def __init__(self, seed: int) -> None:
        self.now_s = 0.0
        self.rng = Random(seed)
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def after(self, wait_s: float, event: Callable[[], None]) -> None:
        """Have an event happen after some seconds."""
        due_s = self.now_s + wait_s
        heappush(self._heap, (due_s, next(self._numbers), event))

    def every(self, period_s: float, event: Callable[[], None]) -> None:
        """Have an event happen again and again."""

        def again() -> None:
            event()
            self.after(period_s, again)

        self.after(self.rng.uniform(0.0, period_s), again)

    def run(self, until_s: float) -> None:
        """Let all events up to a time happen."""
        while self._heap and self._heap[0][0] <= until_s:
            self.now_s, _, event = heappop(self._heap)
            event()
        self.now_s = until_s


@attrs.frozen
class ClientRequest:
    """One request of the workload.

    Parameters
    ----------
    kind : str
        ``urgent``, ``preview`` or ``payout``; payouts are not
        idempotent.
    run_s : float
        Time that it needs on a healthy runner, in seconds.
    """

    request_id: str
    organisation_id: str
    kind: str
    run_s: float
    within_s: float

    @property
    def idempotent(self) -> bool:
        """Tell whether a second execution does no harm."""
        return self.kind != "payout"

    @property
    def body(self) -> bytes:
        """Return a body that no other request has."""
        return self.request_id.encode()


@attrs.define
class Journal:
    """What really ran, kept by the runners."""

    starts_by_id: Counter[str] = attrs.Factory(Counter)
    sends: int = 0


class Runner:
    """A runner with its agent's book."""

    def __init__(
        self, sim: Sim, number: int, limits: SlotLimits, journal: Journal
    ) -> None:
        self.sim = sim
        self.endpoint_id = f"runner-{number}"
        self.failure_domain = DOMAINS[number % len(DOMAINS)]
        self.limits = limits
        self.journal = journal
        self.slowness = 1.0
        self.fails_all = False
        self.reply_loss = 0.0
        self.alive = True
        self.lives = 0
        self.start()

    @property
    def incarnation(self) -> str:
        """Return the name of the agent's present incarnation."""
        return f"{self.endpoint_id}/{self.lives}"

    def start(self) -> None:
        """Start the next incarnation."""
        self.lives += 1
        self.alive = True
        self.book = SlotBook(self.incarnation, self.limits)
        self.waiting: defaultdict[Token, list[tuple[OnReply, OnLost]]] = (
            defaultdict(list)
        )

    def die(self, down_s: float) -> None:
        """Break all connections and come back after some seconds."""
        self.alive = False
        for callbacks in self.waiting.values():
            for _, on_lost in callbacks:
                self.sim.after(HOP_S, _call(on_lost, True))
        self.waiting.clear()
        self.sim.after(down_s, self.start)

    def receive(
        self, message: object, on_reply: OnReply, on_lost: OnLost
    ) -> None:
        """Take a message as its agent does."""
        if not self.alive:
            self.sim.after(HOP_S, _call(on_lost, False))
            return
        if isinstance(message, Tombstone):
            told, actions = self.book.tombstone(message.token)
            self._reply(on_reply, told)
        else:
            assert isinstance(message, Invoke)
            self.journal.sends += 1
            self.waiting[message.token].append((on_reply, on_lost))
            actions = self.book.offer(message, self.sim.now_s)
        self._act(actions)

    def _act(self, actions: list) -> None:
        for action in actions:
            if isinstance(action, Start):
                self._start_one(action.invoke)
            if isinstance(action, Reply):
                for on_reply, _ in self.waiting.pop(action.token, ()):
                    self._reply(on_reply, action.message)

    def _reply(self, on_reply: OnReply, message: object) -> None:
        if self.sim.rng.random() >= self.reply_loss:
            self.sim.after(HOP_S, _call(on_reply, message))

    def _start_one(self, invoke: Invoke) -> None:
        request_id, _, run_s = invoke.body.decode().partition(" ")
        self.journal.starts_by_id[request_id] += 1
        lives = self.lives

        def end() -> None:
            if self.alive and self.lives == lives:
                self._act(self._end(invoke))

        run_for_s = float(run_s) * self.slowness
        self.sim.after(FAIL_S if self.fails_all else run_for_s, end)

    def _end(self, invoke: Invoke) -> list:
        token = invoke.token
        if self.fails_all:
            refusal = Refused("runner_failed", "", Ran.UNKNOWN, token)
            return self.book.fail(token, refusal, self.sim.now_s)
        result = InvokeResult(token, invoke.request_id, 200, invoke.body)
        return self.book.finish(result, self.sim.now_s)


def _call(callback: Callable, argument: object) -> Callable[[], None]:
    return lambda: callback(argument)

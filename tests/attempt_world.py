"""Simulated entries, agents and lossy network for tests of attempts.

The simulation records which bodies actually started and compares every
outcome reported to a caller with that record.
"""

from __future__ import annotations

from collections import defaultdict
from itertools import count

import attrs

from filbertlb.agent.slot_records import Reply
from filbertlb.agent.slot_records import SlotLimits
from filbertlb.agent.slot_records import Start
from filbertlb.agent.slots import SlotBook
from filbertlb.core.attempt_effects import Ask
from filbertlb.core.attempt_effects import ChooseEndpoint
from filbertlb.core.attempt_effects import Finish
from filbertlb.core.attempt_effects import KeepWaiting
from filbertlb.core.attempt_effects import ReadRow
from filbertlb.core.attempt_effects import TellUnknown
from filbertlb.core.attempt_effects import WriteRow
from filbertlb.core.attempt_rows import decode_attempt
from filbertlb.core.attempt_rows import encode_attempt
from filbertlb.core.attempt_rows import KeyedRequest
from filbertlb.core.attempt_rows import KeyReusedError
from filbertlb.core.attempt_rows import request_digest
from filbertlb.core.attempt_session import AttemptSession
from filbertlb.core.attempt_session import Purpose
from filbertlb.core.attempt_steps import TellAnswer
from filbertlb.core.attempt_steps import TellNotRun
from filbertlb.errors import Ran
from filbertlb.messages import Invoke
from filbertlb.messages import InvokeResult
from filbertlb.messages import Refused
from filbertlb.messages import Token
from filbertlb.messages import Tombstone
from filbertlb.table.base import ABSENT
from filbertlb.table.base import RowConflictError
from filbertlb.table.base import TableUnavailableError
from filbertlb.table.base import Write
from filbertlb.table.base import WriteOutcomeUnknownError
from filbertlb.table.memory import MemoryTable

LIMITS = SlotLimits(slots=1, queue=1, urgent_queue=1)


@attrs.define(eq=False)
class Run:
    """A session of a caller's request at one entry."""

    session: AttemptSession
    entry: str
    key: str
    body: bytes
    effect: object
    telling: object = None


@attrs.define(eq=False)
class Packet:
    """A message in transit, to an agent or back to a run."""

    run: Run
    message: object
    agent_id: str | None = None


@attrs.define(eq=False)
class Agent:
    """An agent with its slots, running requests and waiting runs."""

    agent_id: str
    book: SlotBook
    incarnations: list[str]
    running: list[Invoke] = attrs.Factory(list)
    waiters: dict[Token, list[Run]] = attrs.field(
        factory=lambda: defaultdict(list)
    )


@attrs.define(eq=False)
class World:
    """Entries, agents, network and table service with a shared clock."""

    session_type: type[AttemptSession] = AttemptSession
    book_type: type[SlotBook] = SlotBook
    max_records: int = 3
    now_s: float = 0.0
    table: MemoryTable = attrs.Factory(MemoryTable)
    agents: dict[str, Agent] = attrs.Factory(dict)
    runs: list[Run] = attrs.Factory(list)
    packets: list[Packet] = attrs.Factory(list)
    delivered: dict[Packet, None] = attrs.Factory(dict)
    body_started_by_key: dict[str, bytes] = attrs.Factory(dict)
    reported_not_run: set[object] = attrs.Factory(set)
    attempts_by_key: dict[str, set[tuple[int, str]]] = attrs.field(
        factory=lambda: defaultdict(set)
    )
    numbers: count = attrs.field(factory=lambda: count(1))

    def __attrs_post_init__(self) -> None:
        for agent_id in ("r1", "r2"):
            self.agents[agent_id] = Agent(agent_id, None, [])
            self.restart(agent_id)

    def restart(self, agent_id: str) -> None:
        """Restart an agent and its runner as a new incarnation."""
        agent = self.agents[agent_id]
        agent.incarnations.append(f"{agent_id}/{next(self.numbers)}")
        limits = attrs.evolve(LIMITS, max_records=self.max_records)
        agent.book = self.book_type(agent.incarnations[-1], limits)
        agent.running.clear()
        agent.waiters.clear()

    def send(self, key: str, body: bytes, entry: str, **options) -> Run:
        """Start a session of a caller's request."""
        purpose = options.get("purpose", Purpose.RUN)
        is_query = purpose is not Purpose.RUN
        request = KeyedRequest(
            "chitral",
            key,
            "" if is_query else request_digest("/pay", body),
            self.now_s + 10.0,
            options.get("retry_of", 0),
        )
        token = Token("", 0, "")
        invoke = Invoke(token, "q", "chitral", "/pay", body, 10.0, False)
        session = self.session_type(
            request,
            invoke,
            entry,
            lambda: f"id{next(self.numbers)}",
            lambda attempt_id, incarnation: Token(
                attempt_id, 0, incarnation, entry, next(self.numbers)
            ),
            purpose,
        )
        run = Run(session, entry, key, body, session.begin())
        self.runs.append(run)
        return run

    def step(self, run: Run, agent_id: str, incarnation: int = -1) -> None:
        """Execute the pending effect of a run unless it waits for a reply."""
        match run.effect:
            case ReadRow():
                effect = self._read(run, run.effect)
            case WriteRow():
                effect = self._write(run, run.effect)
            case ChooseEndpoint(avoid=avoid) if agent_id in avoid:
                effect = run.session.on_no_endpoint()
            case ChooseEndpoint():
                known = self.agents[agent_id].incarnations
                chosen = known[max(incarnation, -len(known))]
                effect = run.session.on_endpoint(agent_id, "", chosen)
            case _:
                return
        self.set_effect(run, effect)

    def set_effect(self, run: Run, effect: object) -> None:
        """Store a run's next effect, send its message or check its outcome."""
        if isinstance(effect, KeepWaiting):
            return
        run.effect = effect
        if isinstance(effect, Ask):
            self.packets.append(
                Packet(run, effect.message, effect.endpoint_id)
            )
        if isinstance(effect, Finish):
            self._check_outcome(run, effect)

    def _read(self, run: Run, effect: ReadRow) -> object:
        try:
            row = self.table.get(effect.key)
        except TableUnavailableError:
            return run.session.on_table_unavailable()
        try:
            if row is None:
                return run.session.on_row(None, ABSENT, self.now_s)
            decoded = decode_attempt(row.value)
            return run.session.on_row(decoded, row.version, self.now_s)
        except KeyReusedError:
            assert self.body_started_by_key.get(run.key) != run.body
            self.reported_not_run.add((run.key, run.body))
            return Finish(TellUnknown("key_reused", ""))

    def _write(self, run: Run, effect: WriteRow) -> object:
        row = effect.row
        value = encode_attempt(row)
        try:
            (version,) = self.table.commit(
                [Write(effect.key, value, effect.expected_version)]
            )
        except TableUnavailableError:
            return run.session.on_table_unavailable()
        except RowConflictError:
            return run.session.on_conflict()
        except WriteOutcomeUnknownError:
            self._record_attempt(run, row)
            return run.session.on_write_unknown()
        self._record_attempt(run, row)
        return run.session.on_written(version, self.now_s)

    def _record_attempt(self, run: Run, row: object) -> None:
        self.attempts_by_key[run.key].add((row.generation, row.attempt_id))

    def deliver(self, packet: Packet) -> None:
        """Deliver a packet to its agent or its run."""
        run = packet.run
        self.delivered[packet] = None
        if packet.agent_id is None:
            if isinstance(run.effect, Ask) and run in self.runs:
                self.set_effect(run, run.session.on_reply(packet.message))
            return
        agent = self.agents[packet.agent_id]
        if isinstance(packet.message, Tombstone):
            reply, actions = agent.book.tombstone(packet.message.token)
            self.packets.append(Packet(run, reply))
        else:
            agent.waiters[packet.message.token].append(run)
            actions = agent.book.offer(packet.message, self.now_s)
        self.act(agent, actions)

    def act(self, agent: Agent, actions: list[object]) -> None:
        """Execute an agent's actions: start requests and send replies."""
        for action in actions:
            if isinstance(action, Start):
                self._start(agent, action.invoke)
            if isinstance(action, Reply):
                for run in agent.waiters.pop(action.token, ()):
                    self.packets.append(Packet(run, action.message))

    def _start(self, agent: Agent, invoke: Invoke) -> None:
        key = invoke.body.decode().partition(":")[0]
        assert key not in self.body_started_by_key, "the key was started twice"
        assert invoke.token.attempt_id not in self.reported_not_run, (
            "started although its caller was told that it did not run"
        )
        assert (key, invoke.body) not in self.reported_not_run, (
            "started although its body was refused as a reused key"
        )
        assert invoke.within_s > 0, "started after its deadline"
        self.body_started_by_key[key] = invoke.body
        agent.running.append(invoke)

    def end(self, agent: Agent, ran: Ran) -> None:
        """End the oldest running request, with an answer if ``ran`` is yes."""
        if not agent.running:
            return
        invoke = agent.running.pop(0)
        token = invoke.token
        if ran is Ran.YES:
            body = b"done " + invoke.body
            result = InvokeResult(token, "q", 200, body)
            actions = agent.book.finish(result, self.now_s)
        else:
            if ran is Ran.NO:
                # The request did not reach the runner.
                del self.body_started_by_key[invoke.body[:1].decode()]
            refusal = Refused("runner", "", ran, token)
            actions = agent.book.fail(token, refusal, self.now_s)
        self.act(agent, actions)

    def _check_outcome(self, run: Run, finish: Finish) -> None:
        run.telling = finish.telling
        started = self.body_started_by_key.get(run.key)
        match finish.telling:
            case TellAnswer(answer=answer):
                assert started is not None
                assert answer.body == b"done " + started
                asked = run.session.purpose is not Purpose.RUN
                assert asked or started == run.body
            case TellNotRun(generation=generation):
                assert started is None, (
                    "the caller was told that it did not run, but it did"
                )
                self.reported_not_run |= {
                    attempt_id
                    for number, attempt_id in self.attempts_by_key.get(
                        run.key, ()
                    )
                    if number <= generation
                }
            case TellUnknown(ran=Ran.YES):
                assert started is not None
        if finish.acknowledge is not None:
            book = self.agents[finish.endpoint_id].book
            book.acknowledge(finish.acknowledge)

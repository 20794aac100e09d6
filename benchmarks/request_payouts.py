"""An entry that takes payouts through their attempts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from functools import partial

import attrs

from benchmarks.request_entries import Entry
from benchmarks.request_entries import Going
from benchmarks.request_sim import ClientRequest
from benchmarks.request_sim import Sim
from filbertlb.core.attempt_effects import Ask
from filbertlb.core.attempt_effects import ChooseEndpoint
from filbertlb.core.attempt_effects import Finish
from filbertlb.core.attempt_effects import ReadRow
from filbertlb.core.attempt_effects import TellUnknown
from filbertlb.core.attempt_effects import WriteRow
from filbertlb.core.attempt_rows import decode_attempt
from filbertlb.core.attempt_rows import encode_attempt
from filbertlb.core.attempt_rows import KeyedRequest
from filbertlb.core.attempt_rows import request_digest
from filbertlb.core.attempt_rows import Stamp
from filbertlb.core.attempt_session import AttemptSession
from filbertlb.core.attempt_session import Purpose
from filbertlb.core.attempt_steps import TellAnswer
from filbertlb.core.attempts import record_late_answer
from filbertlb.core.breaker import CircuitBreaker
from filbertlb.core.table_budget import PendingWrite
from filbertlb.core.table_budget import TableBudget
from filbertlb.core.table_budget import WriteBacklog
from filbertlb.core.table_budget import WritePriority
from filbertlb.errors import Ran
from filbertlb.errors import UnavailableError
from filbertlb.messages import InvokeResult
from filbertlb.messages import Refused
from filbertlb.table.base import ABSENT
from filbertlb.table.base import RowConflictError
from filbertlb.table.base import TableUnavailableError
from filbertlb.table.base import Write
from filbertlb.table.base import WriteOutcomeUnknownError
from filbertlb.table.memory import MemoryTable

TABLE_S = 0.005
FLUSH_S = 0.05


@attrs.define
class SimTable:
    """The table service with its load second by second."""

    sim: Sim
    table: MemoryTable = attrs.Factory(MemoryTable)
    ack_loss: float = 0.0
    calls_by_second: Counter[int] = attrs.Factory(Counter)
    writes_by_second: Counter[int] = attrs.Factory(Counter)

    def commit(self, writes: list[Write]) -> tuple[int, ...]:
        """Commit as the service does, losing some acks."""
        second = int(self.sim.now_s)
        self.calls_by_second[second] += 1
        self.writes_by_second[second] += len(writes)
        if self.sim.rng.random() < self.ack_loss:
            self.table.faults.lose_acks = 1
        return self.table.commit(writes)

    def get(self, key: str) -> tuple:
        """Return a row and its version."""
        self.calls_by_second[int(self.sim.now_s)] += 1
        row = self.table.get(key)
        if row is None:
            return None, ABSENT
        return decode_attempt(row.value), row.version


class PayoutEntry(Entry):
    """The shipped rules, with attempts for payouts."""

    def __init__(
        self, *arguments: object, table: SimTable, **options: object
    ) -> None:
        super().__init__(*arguments, **options)  # type: ignore[arg-type]
        self.table = table
        self.breaker = CircuitBreaker(self.sim.rng)
        self.budget = TableBudget()
        self.backlog: WriteBacklog[WriteRow] = WriteBacklog()
        self._ids = 0
        self.sim.every(FLUSH_S, self._flush)

    def begin(self, going: Going) -> None:
        """Start with an admitted request."""
        if going.request.idempotent:
            super().begin(going)
            return
        session = self.session(going.request, Purpose.RUN)
        self._follow(session, going, session.begin())

    def ask(
        self, request: ClientRequest, on_told: Callable[[object], None]
    ) -> None:
        """Ask for the outcome of a payout, as a caller may later."""
        session = self.session(request, Purpose.ASK)
        self._follow(session, on_told, session.begin())

    def session(
        self, request: ClientRequest, purpose: Purpose
    ) -> AttemptSession:
        """Return a session on a payout's attempt."""
        asking = purpose is Purpose.ASK
        token = self.new_token("", "")
        message = self.invoke(request, token, 0.0)
        keyed = KeyedRequest(
            request.organisation_id,
            request.request_id,
            "" if asking else request_digest("/", message.body),
            self.sim.now_s + request.within_s,
        )
        return AttemptSession(
            keyed,
            message,
            self.entry_id,
            self._new_id,
            self.new_token,
            purpose,
        )

    def _new_id(self) -> str:
        self._ids += 1
        return f"{self.entry_id}.{self._ids}"

    def _follow(
        self, session: AttemptSession, going: object, effect: object
    ) -> None:
        match effect:
            case ReadRow():
                bucket = self.budget.reads
                call = partial(self._read, session, going, effect)
                self._call_table(bucket, call, session, going)
            case WriteRow():
                bucket = self.budget.writes
                call = partial(self._write, session, going, effect)
                self._call_table(bucket, call, session, going)
            case ChooseEndpoint(avoid=avoid):
                self._choose(session, going, avoid)
            case Ask():
                self._ask_agent(session, going, effect)
            case Finish():
                self._finish(going, effect)

    def _call_table(
        self, bucket: object, call: Callable, session: object, going: object
    ) -> None:
        now_s = self.sim.now_s
        if not bucket.take(1, now_s):  # type: ignore[attr-defined]
            wait_s = bucket.wait_s(1, now_s) + 0.001  # type: ignore
            again = partial(self._call_table, bucket, call, session, going)
            self.sim.after(wait_s, again)
            return
        try:
            self.breaker.check(now_s)
        except UnavailableError:
            effect = session.on_table_unavailable()  # type: ignore
            self._follow(session, going, effect)  # type: ignore[arg-type]
            return
        self.sim.after(TABLE_S, call)

    def _read(
        self, session: AttemptSession, going: object, effect: ReadRow
    ) -> None:
        now_s = self.sim.now_s
        try:
            row, version = self.table.get(effect.key)
        except TableUnavailableError:
            self.breaker.failed(now_s - TABLE_S, now_s)
            self._follow(session, going, session.on_table_unavailable())
            return
        self.breaker.succeeded(TABLE_S, now_s)
        self._follow(session, going, session.on_row(row, version, now_s))

    def _write(
        self, session: AttemptSession, going: object, effect: WriteRow
    ) -> None:
        now_s = self.sim.now_s
        try:
            (version,) = self.table.commit([_as_write(effect)])
        except TableUnavailableError:
            self.breaker.failed(now_s - TABLE_S, now_s)
            self._follow(session, going, session.on_table_unavailable())
        except RowConflictError:
            self._follow(session, going, session.on_conflict())
        except WriteOutcomeUnknownError:
            self.breaker.failed(now_s - TABLE_S, now_s)
            self._follow(session, going, session.on_write_unknown())
        else:
            self.breaker.succeeded(TABLE_S, now_s)
            self._follow(session, going, session.on_written(version, now_s))

    def _choose(
        self, session: AttemptSession, going: object, avoid: frozenset[str]
    ) -> None:
        chosen = self.choose(avoid, may_probe=False)
        if chosen is None:
            self._follow(session, going, session.on_no_endpoint())
            return
        incarnation = self.known_by_id[chosen.endpoint_id].incarnation
        effect = session.on_endpoint(chosen.endpoint_id, "", incarnation)
        self._follow(session, going, effect)

    def _ask_agent(
        self, session: AttemptSession, going: object, ask: Ask
    ) -> None:
        if isinstance(going, Going):
            going.sent_at_s = self.sim.now_s

        def replied(reply: object) -> None:
            if isinstance(reply, InvokeResult):
                self.health.succeeded(ask.endpoint_id)
            if isinstance(reply, Refused) and reply.ran is Ran.UNKNOWN:
                self._note(going, ask)
            if isinstance(reply, Refused) and reply.code == "queue_full":
                self.gate.adaptive.overloaded()
            effect = session.on_reply(reply)  # type: ignore[arg-type]
            self._follow(session, going, effect)

        def lost(sent: bool) -> None:
            self._note(going, ask)
            self._follow(session, going, session.on_no_reply(sent))

        self.send(ask.endpoint_id, ask.message, replied, lost, 4.0)

    def _note(self, going: object, ask: Ask) -> None:
        if isinstance(going, Going):
            self.note_failure(ask.endpoint_id, going.request)

    def _finish(self, going: object, finish: Finish) -> None:
        if finish.acknowledge is not None:
            runner = self.known_by_id[finish.endpoint_id].runner
            runner.book.acknowledge(finish.acknowledge)
        if finish.pending_answer is not None:
            write = finish.pending_answer
            pending = PendingWrite(write.key, WritePriority.ANSWER, write)
            self.backlog.add(pending)
        if not isinstance(going, Going):
            going(finish.telling)  # type: ignore[operator]
            return
        match finish.telling:
            case TellAnswer(answer=answer):
                self._answer(going, "answer", Ran.YES, answer.body)
            case TellUnknown(code=code, ran=ran):
                self._answer(going, code, ran)
            case telling:
                self._answer(going, telling.code, Ran.NO)

    def _flush(self) -> None:
        if not len(self.backlog):
            return
        now_s = self.sim.now_s
        try:
            self.breaker.check(now_s)
        except UnavailableError:
            return
        batch = self.backlog.take(self.budget.writes, now_s)
        if not batch:
            return
        try:
            self.table.commit([_as_write(one.payload) for one in batch])
        except (TableUnavailableError, WriteOutcomeUnknownError):
            self.breaker.failed(now_s, now_s)
            self.backlog.requeue(batch, alone=False)
        except RowConflictError:
            self._retry_conflict(batch)
        else:
            self.breaker.succeeded(TABLE_S, now_s)

    def _retry_conflict(self, batch: list[PendingWrite[WriteRow]]) -> None:
        """Send the rows one by one, each over what others wrote."""
        if len(batch) > 1:
            self.backlog.requeue(batch, alone=True)
            return
        (pending,) = batch
        current, version = self.table.get(pending.key)
        stamp = Stamp(self._new_id(), self.entry_id)
        row = record_late_answer(current, pending.payload.row, stamp)
        if row is not None:
            write = WriteRow(pending.key, row, version)
            self.backlog.add(attrs.evolve(pending, payload=write))


def _as_write(effect: WriteRow) -> Write:
    value = encode_attempt(effect.row)
    return Write(effect.key, value, effect.expected_version)
